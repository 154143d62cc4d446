"""The administration API: a listener of its own, tokens, versions, problem details. It offers LIST."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from aiohttp import web
from loguru import logger
from pydantic import BaseModel, ValidationError

from drumgw.config.host_file import NamedTenantSpec, TenantSpec
from drumgw.gateway.process_config import ConfigError
from drumgw.hosting.authentication import NOT_ITS_OWN, TENANT, Authenticator, Token, is_allowed
from drumgw.hosting.tenant_registry import ChangeRejected, JsonObject, Tenant, TenantChange, TenantRegistry
from drumgw.hosting.tenant_services import TenantServices

MAX_BODY_BYTES, MOST_CALLS, BODY_S, MOST_PAGE = 256 * 1024, 16, 5.0, 200
PARTS = {"plans": "plan", "routes": "route", "limits": "allowed"}
Handler = Callable[["AdminApi", web.Request, Token], Awaitable[web.Response]]


class Action(NamedTuple):
    method: str
    path: str
    name: str  # as access knows it
    summary: str
    body: str | None  # its schema
    answers: dict[int, str]  # beside the refusals that any call may get


class AdminApi:
    def __init__(self, hosting: TenantServices, access: Authenticator) -> None:
        self.hosting, self.access, self.calls = hosting, access, 0
        self.app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[self.guard])
        for action, handler in LIST:
            self.app.router.add_route(action.method, action.path, self.handler(action, handler))
        self.runner = web.AppRunner(self.app, access_log=None, keepalive_timeout=10.0)

    async def open(self, address: tuple[str, int]) -> tuple[str, int]:
        await self.runner.setup()
        site = web.TCPSite(self.runner, *address, backlog=64)
        await site.start()
        place = self.runner.addresses[0]
        return place[0], place[1]

    async def close(self) -> None:
        await self.runner.cleanup()

    # Every call

    @web.middleware
    async def guard(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Guards serving against a flood of calls, and callers against anything but an answer in our form."""
        if self.calls >= MOST_CALLS:
            no = ChangeRejected(429, "Too many calls", f"{MOST_CALLS} calls are open")
            return problem(no, {"Retry-After": "1"})
        self.calls += 1
        try:
            found: web.StreamResponse = await handler(request)
            return found
        except ChangeRejected as refused:
            return problem(refused)
        except web.HTTPException as other:
            return problem(ChangeRejected(other.status, other.reason, other.reason), allow(other))
        except ConfigError as bad:
            return problem(ChangeRejected(422, "Unusable", str(bad)))
        except asyncio.CancelledError:
            raise
        except Exception as error:
            logger.opt(exception=error).error("fault in the API: {!r}", error)
            return problem(ChangeRejected(500, "Fault", "a fault of our own; nothing was changed"))
        finally:
            self.calls -= 1

    def handler(self, action: Action, handler: Handler) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            if action.name == "describe":
                return await handler(self, request, Token("", "", None, ""))
            who = self.access.who(request.headers.get("Authorization"))
            if who is None:
                raise ChangeRejected(401, "No token", "say Authorization: Bearer and a token of this host")
            if not is_allowed(who, action.name, request.match_info.get("tenant")):
                raise ChangeRejected(403, "Not yours", f"a {who.role} may not {action.name} there")
            if action.method in ("POST", "PUT", "DELETE"):
                return await self.audited(action, request, who, handler)
            return await handler(self, request, who)

        return handle

    async def audited(
        self, action: Action, request: web.Request, who: Token, handler: Handler
    ) -> web.Response:
        """A line for each change that was asked for, without its body and without the token."""
        status, where = 500, request.match_info.get("tenant", "")
        try:
            if self.hosting.store is None:
                raise ChangeRejected(
                    405, "Read only", "tenants come from the operator's file: no folder lasts here"
                )
            found = await handler(self, request, who)
            status, where = found.status, found.headers.get("Location", where)
            return found
        except ChangeRejected as no:
            status = no.status
            raise
        except ConfigError:
            status = 422
            raise
        finally:
            logger.info("audit: {} asked to {} {}: {}", who.id, action.name, where, status)

    # Bodies

    async def told(self, request: web.Request) -> Any:
        try:
            async with asyncio.timeout(BODY_S):
                text = await request.read()
        except TimeoutError as late:
            raise ChangeRejected(408, "Too slow", "the body did not come whole in time") from late
        if request.content_type != "application/json":
            raise ChangeRejected(415, "Not JSON", "say Content-Type: application/json")
        try:
            return json.loads(text)
        except (ValueError, RecursionError) as bad:
            raise ChangeRejected(400, "Not JSON", str(bad)[:200]) from bad

    def tenant(self, request: web.Request) -> Tenant:
        return self.hosting.registry.get(request.match_info["tenant"])

    async def change(self, make: Callable[[TenantRegistry], tuple[Any, TenantChange | None]]) -> Any:
        return await self.hosting.change(make)

    async def put(
        self, request: web.Request, who: Token, whole: Callable[[JsonObject], JsonObject]
    ) -> web.Response:
        """Replaces the spec by what whole makes of the one that stands."""
        name, match = request.match_info["tenant"], request.headers.get("If-Match")

        def make(registry: TenantRegistry) -> tuple[Any, TenantChange | None]:
            old = registry.get(name).spec
            spec = checked(TenantSpec, whole(old)).model_dump(mode="json")
            for key in NOT_ITS_OWN if who.role == TENANT else ():
                if spec[key] != old[key]:
                    raise ChangeRejected(403, "Not yours", f"only an operator changes {key}", f"/{key}")
            return registry.replace(name, spec, match)

        tenant = await self.change(make)
        return answer(tenant.told(), tenant=tenant)

    # Calls

    async def describe(self, request: web.Request, who: Token) -> web.Response:
        from drumgw.hosting.openapi import document

        return answer(document())

    async def list_all(self, request: web.Request, who: Token) -> web.Response:
        after, limit = request.query.get("after", ""), request.query.get("limit", "50")
        if not (limit.isascii() and limit.isdigit() and 1 <= int(limit[:6]) <= MOST_PAGE):
            raise ChangeRejected(400, "Out of range", f"limit is 1 to {MOST_PAGE}", "limit")
        found, further = self.hosting.registry.page(after, int(limit), who.tenant)
        return answer({"tenants": [tenant.told() for tenant in found], "after": further})

    async def create(self, request: web.Request, who: Token) -> web.Response:
        key = request.headers.get("Idempotency-Key")
        if key is not None and not 1 <= len(key) <= 128:
            raise ChangeRejected(
                400, "Out of range", "Idempotency-Key has 1 to 128 characters", "Idempotency-Key"
            )
        named = checked(NamedTenantSpec, await self.told(request))
        tenant = await self.change(lambda registry: registry.create(named.name, named.spec(), key))
        return answer(tenant.told(), 201, tenant=tenant, Location=f"/v1/tenants/{tenant.name}")

    async def read(self, request: web.Request, who: Token) -> web.Response:
        tenant = self.tenant(request)
        return answer(tenant.told(), tenant=tenant)

    async def replace(self, request: web.Request, who: Token) -> web.Response:
        told = await self.told(request)
        return await self.put(request, who, lambda old: told)

    async def read_part(self, request: web.Request, who: Token) -> web.Response:
        tenant = self.tenant(request)
        return answer(tenant.spec[PARTS[request.path.rsplit("/", 1)[1]]], tenant=tenant)

    async def replace_part(self, request: web.Request, who: Token) -> web.Response:
        told, part = await self.told(request), PARTS[request.path.rsplit("/", 1)[1]]
        return await self.put(request, who, lambda old: {**old, part: told})

    async def mark(self, request: web.Request, who: Token) -> web.Response:
        word = "remove" if request.method == "DELETE" else request.path.rsplit("/", 1)[1]
        name, match = request.match_info["tenant"], request.headers.get("If-Match")
        tenant = await self.change(lambda registry: registry.mark(name, word, match))
        if word not in ("remove", "drain"):
            return answer(tenant.told(), tenant=tenant)
        operation = self.hosting.registry.operation(tenant.operation or "")
        return answer(operation._asdict(), 202, Location=f"/v1/operations/{operation.id}")

    async def use(self, request: web.Request, who: Token) -> web.Response:
        return answer(self.hosting.use(self.tenant(request).name))

    async def operation(self, request: web.Request, who: Token) -> web.Response:
        found = self.hosting.registry.operation(request.match_info["operation"])
        if who.role == TENANT and found.tenant != who.tenant:
            raise ChangeRejected(404, "No such operation", "there is no such operation of yours")
        return answer(found._asdict())


def checked(model: type[BaseModel], told: Any) -> Any:
    """What the model makes of it; every mistake with the path to its field."""
    try:
        return model.model_validate_json(json.dumps(told))
    except ValidationError as bad:
        errors = [
            {"pointer": "".join(f"/{part}" for part in error["loc"]), "detail": error["msg"]}
            for error in bad.errors(include_url=False, include_input=False)[:50]
        ]
        raise ChangeRejected(422, "Unusable", f"{bad.error_count()} mistake(s)", errors=errors) from bad


def answer(told: Any, status: int = 200, tenant: Tenant | None = None, **headers: str) -> web.Response:
    if tenant is not None:
        headers["ETag"] = f'"{tenant.version}"'
    return web.json_response(told, status=status, headers=headers)


def problem(no: ChangeRejected, headers: dict[str, str] | None = None) -> web.Response:
    errors = no.errors or ([{"pointer": no.pointer, "detail": no.detail}] if no.pointer else [])
    told: JsonObject = {"type": "about:blank", "title": no.title, "status": no.status, "detail": no.detail}
    if errors:
        told["errors"] = errors
    kind = "application/problem+json"
    if no.status == 401:
        headers = {"WWW-Authenticate": "Bearer"}
    return web.json_response(told, status=no.status, headers=headers, content_type=kind)


def allow(no: web.HTTPException) -> dict[str, str] | None:
    return {"Allow": no.headers["Allow"]} if "Allow" in no.headers else None


ALL, ONE = "/v1/tenants", "/v1/tenants/{tenant}"
BY_NAME = {404: "no such tenant"}
VERSIONED = {**BY_NAME, 409: "not now, or a route taken", 412: "changed meanwhile", 428: "no If-Match"}
CHANGED, BEGUN = {200: "the tenant", **VERSIONED}, {202: "an operation to poll", **VERSIONED}
LIST: list[tuple[Action, Handler]] = [
    (Action("GET", "/openapi.json", "describe", "This text", None, {200: "OpenAPI 3.1"}), AdminApi.describe),
    (
        Action("GET", ALL, "list", "Tenants by name, paged", None, {200: "a page", 400: "limit"}),
        AdminApi.list_all,
    ),
    (
        Action(
            "POST",
            ALL,
            "create",
            "Create a tenant; repeats under one Idempotency-Key act once",
            "Named",
            {201: "created", 409: "name or route taken", 410: "what the key created is gone"},
        ),
        AdminApi.create,
    ),
    (Action("GET", ONE, "read", "Read a tenant", None, {200: "the tenant", **BY_NAME}), AdminApi.read),
    (
        Action("PUT", ONE, "replace", "Replace what a tenant is made of", "Spec", CHANGED),
        AdminApi.replace,
    ),
    (Action("DELETE", ONE, "remove", "Remove a tenant; its txns finish", None, BEGUN), AdminApi.mark),
    (Action("POST", f"{ONE}/suspend", "suspend", "Turn its txns away", None, CHANGED), AdminApi.mark),
    (Action("POST", f"{ONE}/resume", "resume", "Serve it again", None, CHANGED), AdminApi.mark),
    (
        Action("POST", f"{ONE}/drain", "drain", "Take nothing new; its txns finish", None, BEGUN),
        AdminApi.mark,
    ),
    (Action("GET", f"{ONE}/use", "use", "Use and state now", None, {200: "use", **BY_NAME}), AdminApi.use),
    (
        Action(
            "GET",
            "/v1/operations/{operation}",
            "operation",
            "What takes time",
            None,
            {200: "it", 404: "unknown, or long ago"},
        ),
        AdminApi.operation,
    ),
]
for _part in PARTS:
    _path = f"{ONE}/{_part}"
    LIST.append(
        (
            Action("GET", _path, "read part", f"Read its {_part}", None, {200: _part, **BY_NAME}),
            AdminApi.read_part,
        )
    )
    LIST.append(
        (Action("PUT", _path, "replace part", f"Replace its {_part}", _part, CHANGED), AdminApi.replace_part)
    )
