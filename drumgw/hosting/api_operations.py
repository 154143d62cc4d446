"""The operations of the administration API: the one table that serving and describing are made of.

Paths, summaries and the names of body schemas are on the wire.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from drumgw.hosting.authentication import Permission

TENANTS_PATH = "/v1/tenants"
TENANT_PATH = "/v1/tenants/{tenant}"
OPERATION_PATH = "/v1/operations/{operation}"

# Parts of a tenant's spec with a path of their own, and their keys in it.
SPEC_KEYS_OF_PARTS = {"plans": "plan", "routes": "route", "limits": "allowed"}


class BodySchema(Enum):
    """What an operation's body must be; the value is the published name of the schema."""

    NAMED_SPEC = "Named"
    SPEC = "Spec"
    PLANS = "plans"
    ROUTES = "routes"
    LIMITS = "limits"


@dataclass(frozen=True)
class ApiOperation:
    """An operation of the API.

    Attributes:
        method: of HTTP.
        path: with its parameters in braces.
        permission: what a caller needs.
        summary: for readers of the description.
        responses: the statuses beside those that any call may get, with a word on each.
        body: what its body must be; None for an operation without one.
        spec_key: the key of the tenant's spec that it reads or replaces; None for all of it.
    """

    method: str
    path: str
    permission: Permission
    summary: str
    responses: Mapping[int, str]
    body: BodySchema | None = None
    spec_key: str | None = None

    @property
    def is_public(self) -> bool:
        """Whether it needs no token."""
        return self.permission is Permission.DESCRIBE

    @property
    def is_change(self) -> bool:
        """Whether it may change something: such calls are audited."""
        return self.method in ("POST", "PUT", "DELETE")

    @property
    def requires_version(self) -> bool:
        """Whether a caller must name the version that its change was made from."""
        return 428 in self.responses


FOUND_BY_NAME = {404: "no such tenant"}
FOUND_AT_VERSION = {
    **FOUND_BY_NAME,
    409: "not now, or a route taken",
    412: "changed meanwhile",
    428: "no If-Match",
}
TENANT_FOUND = {200: "the tenant", **FOUND_BY_NAME}
TENANT_CHANGED = {200: "the tenant", **FOUND_AT_VERSION}
OPERATION_BEGUN = {202: "an operation to poll", **FOUND_AT_VERSION}

_DESCRIBE = ApiOperation(
    "GET", "/openapi.json", Permission.DESCRIBE, "This text", responses={200: "OpenAPI 3.1"}
)
_TENANTS = [
    ApiOperation(
        "GET",
        TENANTS_PATH,
        Permission.LIST,
        "Tenants by name, paged",
        responses={200: "a page", 400: "limit"},
    ),
    ApiOperation(
        "POST",
        TENANTS_PATH,
        Permission.CREATE,
        "Create a tenant; repeats under one Idempotency-Key act once",
        responses={201: "created", 409: "name or route taken", 410: "what the key created is gone"},
        body=BodySchema.NAMED_SPEC,
    ),
    ApiOperation("GET", TENANT_PATH, Permission.READ, "Read a tenant", responses=TENANT_FOUND),
    ApiOperation(
        "PUT",
        TENANT_PATH,
        Permission.REPLACE,
        "Replace what a tenant is made of",
        responses=TENANT_CHANGED,
        body=BodySchema.SPEC,
    ),
    ApiOperation(
        "DELETE",
        TENANT_PATH,
        Permission.REMOVE,
        "Remove a tenant; its requests in flight finish",
        responses=OPERATION_BEGUN,
    ),
]
_COMMANDS = [
    ApiOperation(
        "POST",
        f"{TENANT_PATH}/suspend",
        Permission.SUSPEND,
        "Reject its requests",
        responses=TENANT_CHANGED,
    ),
    ApiOperation(
        "POST", f"{TENANT_PATH}/resume", Permission.RESUME, "Serve it again", responses=TENANT_CHANGED
    ),
    ApiOperation(
        "POST",
        f"{TENANT_PATH}/drain",
        Permission.DRAIN,
        "Take nothing new; its requests in flight finish",
        responses=OPERATION_BEGUN,
    ),
]
_STATUS = [
    ApiOperation(
        "GET",
        f"{TENANT_PATH}/use",
        Permission.READ_USAGE,
        "Use and state now",
        responses={200: "use", **FOUND_BY_NAME},
    ),
    ApiOperation(
        "GET",
        OPERATION_PATH,
        Permission.READ_OPERATION,
        "What takes time",
        responses={200: "it", 404: "unknown, or long ago"},
    ),
]
_PARTS = [
    operation
    for part, spec_key in SPEC_KEYS_OF_PARTS.items()
    for operation in (
        ApiOperation(
            "GET",
            f"{TENANT_PATH}/{part}",
            Permission.READ_PART,
            f"Read its {part}",
            responses={200: part, **FOUND_BY_NAME},
            spec_key=spec_key,
        ),
        ApiOperation(
            "PUT",
            f"{TENANT_PATH}/{part}",
            Permission.REPLACE_PART,
            f"Replace its {part}",
            responses=TENANT_CHANGED,
            body=BodySchema(part),
            spec_key=spec_key,
        ),
    )
]
OPERATIONS = (_DESCRIBE, *_TENANTS, *_COMMANDS, *_STATUS, *_PARTS)

ANY_CALL = {401: "no token", 403: "not yours", 429: "too many calls", 500: "a fault of ours"}
PUBLIC_CALL = {429: ANY_CALL[429], 500: ANY_CALL[500]}
ANY_CHANGE = {405: "read only"}
ANY_BODY = {
    400: "not JSON",
    405: "read only",
    408: "too slow",
    413: "too large",
    415: "not JSON",
    422: "unusable",
}


def possible_responses(operation: ApiOperation) -> dict[int, str]:
    """Returns every status that a call of the operation may get, with a word on each."""
    if operation.is_public:
        return {**operation.responses, **PUBLIC_CALL}
    if operation.body is not None:
        return {**ANY_CALL, **ANY_BODY, **operation.responses}
    if operation.is_change:
        return {**ANY_CALL, **ANY_CHANGE, **operation.responses}
    return {**ANY_CALL, **operation.responses}
