"""The handlers of the administration API's operations, and the JSON representation of its resources."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from aiohttp import web
from pydantic import BaseModel, ValidationError

from drumgw.config.host_file import NamedTenantSpec, TenantSpec
from drumgw.hosting.api_operations import ApiOperation
from drumgw.hosting.authentication import OPERATOR_ONLY_KEYS, ApiToken, Permission, Role
from drumgw.hosting.errors import (
    BodyTimeoutError,
    CallerDisconnectedError,
    FieldError,
    MalformedBodyError,
    OperationNotFoundError,
    OutOfRangeError,
    PermissionDeniedError,
    UnsupportedMediaTypeError,
)
from drumgw.hosting.openapi import openapi_document
from drumgw.hosting.problem_details import invalid_spec
from drumgw.hosting.tenant_registry import (
    JsonObject,
    LongRunningOperation,
    Tenant,
    TenantChange,
    TenantRegistry,
)
from drumgw.hosting.tenant_services import TenantServices
from drumgw.hosting.tenant_states import TenantCommand

BODY_TIMEOUT_S = 5.0
DEFAULT_PAGE_SIZE = "50"
MAX_PAGE_SIZE = 200
MAX_PAGE_SIZE_DIGITS = 6  # leading digits that the range check converts: int() rejects huge numbers
MAX_IDEMPOTENCY_KEY_LENGTH = 128
MAX_PARSE_ERROR_LENGTH = 200

Model = TypeVar("Model", bound=BaseModel)


@dataclass(frozen=True)
class ApiCall:
    """An authorized call: the operation, its HTTP request and the caller's token."""

    operation: ApiOperation
    request: web.Request
    caller: ApiToken

    @property
    def tenant_name(self) -> str:
        """The tenant name in the path; raises KeyError for a path without one."""
        return self.request.match_info["tenant"]

    @property
    def if_match(self) -> str | None:
        """The entity tag of the version that the change is based on; None without If-Match."""
        return self.request.headers.get("If-Match")


def openapi_response() -> web.Response:
    """Returns the OpenAPI document as a response."""
    return web.json_response(openapi_document())


class AdminHandlers:
    """One handler for each kind of operation.

    A handler that makes a change returns once the change is stored.
    """

    def __init__(self, services: TenantServices) -> None:
        self._services = services

    @property
    def _registry(self) -> TenantRegistry:
        return self._services.registry

    async def list_tenants(self, call: ApiCall) -> web.Response:
        """Returns a page of the tenants that the caller may see, and the name to continue after, if any."""
        after = call.request.query.get("after", "")
        limit = _parse_page_size(call.request.query.get("limit", DEFAULT_PAGE_SIZE))
        tenants, next_after = self._registry.list_page(after, limit, only_name=call.caller.tenant)
        return web.json_response(
            {"tenants": [tenant_resource(tenant) for tenant in tenants], "after": next_after}
        )

    async def create(self, call: ApiCall) -> web.Response:
        """Creates a tenant, or returns the one that an earlier call with the same idempotency key created."""
        idempotency_key = call.request.headers.get("Idempotency-Key")
        if idempotency_key is not None and not 1 <= len(idempotency_key) <= MAX_IDEMPOTENCY_KEY_LENGTH:
            raise OutOfRangeError(
                "Idempotency-Key", f"Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} characters"
            )
        named = parse_spec(NamedTenantSpec, await read_json(call.request))
        change = await self._services.change(
            lambda registry: registry.create(named.name, named.spec(), idempotency_key=idempotency_key)
        )
        return _tenant_response(change.tenant, 201, Location=f"/v1/tenants/{change.tenant.name}")

    async def read(self, call: ApiCall) -> web.Response:
        """Returns a tenant, or the part of its spec that the path names."""
        tenant = self._registry.get(call.tenant_name)
        if call.operation.spec_key is not None:
            part = tenant.spec[call.operation.spec_key]
            return web.json_response(part, headers={"ETag": entity_tag(tenant)})
        return _tenant_response(tenant)

    async def replace(self, call: ApiCall) -> web.Response:
        """Replaces a tenant's spec, or the part of it that the path names."""
        body = await read_json(call.request)
        spec_key = call.operation.spec_key

        def make_change(registry: TenantRegistry) -> TenantChange:
            old = registry.get(call.tenant_name).spec
            new_spec = body if spec_key is None else {**old, spec_key: body}
            spec = parse_spec(TenantSpec, new_spec).model_dump(mode="json")
            if call.caller.role is Role.TENANT:
                _forbid_operator_only_changes(old, spec)
            return registry.replace_spec(call.tenant_name, spec, call.if_match)

        change = await self._services.change(make_change)
        return _tenant_response(change.tenant)

    async def apply_command(self, call: ApiCall) -> web.Response:
        """Suspends, resumes, drains or removes a tenant.

        Drain and remove return a long-running operation, which the caller polls at Location.
        """
        command = TenantCommand(call.operation.permission.value)
        change = await self._services.change(
            lambda registry: registry.apply_command(call.tenant_name, command, call.if_match)
        )
        if command not in (TenantCommand.DRAIN, TenantCommand.REMOVE):
            return _tenant_response(change.tenant)
        operation = self._registry.get_operation(change.tenant.operation_id or "")
        return web.json_response(
            operation_resource(operation),
            status=202,
            headers={"Location": f"/v1/operations/{operation.id}"},
        )

    async def read_usage(self, call: ApiCall) -> web.Response:
        """Returns a tenant's current usage and the state of its service."""
        tenant = self._registry.get(call.tenant_name)
        return web.json_response(self._services.usage_report(tenant.name))

    async def read_operation(self, call: ApiCall) -> web.Response:
        """Returns a long-running operation; a tenant's token may read only those of its own tenant."""
        operation = self._registry.get_operation(call.request.match_info["operation"])
        if call.caller.role is Role.TENANT and operation.tenant != call.caller.tenant:
            raise OperationNotFoundError("your tenant has no such operation")
        return web.json_response(operation_resource(operation))


Handler = Callable[[AdminHandlers, ApiCall], Awaitable[web.Response]]

HANDLERS: dict[Permission, Handler] = {
    Permission.LIST: AdminHandlers.list_tenants,
    Permission.CREATE: AdminHandlers.create,
    Permission.READ: AdminHandlers.read,
    Permission.READ_PART: AdminHandlers.read,
    Permission.REPLACE: AdminHandlers.replace,
    Permission.REPLACE_PART: AdminHandlers.replace,
    Permission.REMOVE: AdminHandlers.apply_command,
    Permission.SUSPEND: AdminHandlers.apply_command,
    Permission.RESUME: AdminHandlers.apply_command,
    Permission.DRAIN: AdminHandlers.apply_command,
    Permission.READ_USAGE: AdminHandlers.read_usage,
    Permission.READ_OPERATION: AdminHandlers.read_operation,
}


# JSON representations of resources


def tenant_resource(tenant: Tenant) -> JsonObject:
    """Returns the JSON representation of a tenant."""
    return {
        "name": tenant.name,
        "version": tenant.version,
        "state": tenant.state.value,
        "operation": tenant.operation_id,
        "spec": tenant.spec,
    }


def operation_resource(operation: LongRunningOperation) -> JsonObject:
    """Returns the JSON representation of a long-running operation."""
    return {
        "id": operation.id,
        "kind": operation.kind.value,
        "tenant": operation.tenant,
        "serial": operation.serial,
        "state": operation.state.value,
    }


def entity_tag(tenant: Tenant) -> str:
    """Returns a tenant's version as an entity tag, which callers send back in If-Match."""
    return f'"{tenant.version}"'


def _tenant_response(tenant: Tenant, status: int = 200, **headers: str) -> web.Response:
    headers["ETag"] = entity_tag(tenant)
    return web.json_response(tenant_resource(tenant), status=status, headers=headers)


# Request bodies and parameters


async def read_json(request: web.Request) -> Any:
    """Returns the parsed body of a request.

    Raises:
        ApiError: the body took longer than BODY_TIMEOUT_S, the caller disconnected, the Content-Type is
            wrong, or the body is not JSON.
    """
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            text = await request.read()
    except TimeoutError as error:
        raise BodyTimeoutError from error
    except ConnectionError as error:
        error.__traceback__ = None  # would refer to the body, which keeps the error
        raise CallerDisconnectedError from None
    if request.content_type != "application/json":
        raise UnsupportedMediaTypeError
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise MalformedBodyError(str(error)[:MAX_PARSE_ERROR_LENGTH]) from error


def parse_spec(model: type[Model], body: Any) -> Model:
    """Validates a body against a model; raises InvalidSpecError, which lists the invalid fields."""
    try:
        return model.model_validate_json(json.dumps(body))
    except ValidationError as error:
        raise invalid_spec(error) from error


def _parse_page_size(text: str) -> int:
    is_number = text.isascii() and text.isdigit()
    if not is_number or not 1 <= int(text[:MAX_PAGE_SIZE_DIGITS]) <= MAX_PAGE_SIZE:
        raise OutOfRangeError("limit", f"limit must be 1 to {MAX_PAGE_SIZE}")
    return int(text)


def _forbid_operator_only_changes(old: JsonObject, new: JsonObject) -> None:
    for key in OPERATOR_ONLY_KEYS:
        if new[key] != old[key]:
            detail = f"only an operator may change {key}"
            raise PermissionDeniedError(detail, [FieldError(f"/{key}", detail)])
