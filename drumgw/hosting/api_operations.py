"""The table of the administration API's operations.

Both the routes that are served and the OpenAPI document are generated from it, so that they cannot differ.
Clients depend on the paths, the statuses and the names of body schemas; summaries and response descriptions
are texts for people.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from drumgw.hosting.authentication import Permission

TENANTS_PATH = "/v1/tenants"
TENANT_PATH = "/v1/tenants/{tenant}"
OPERATION_PATH = "/v1/operations/{operation}"

# Parts of a tenant's spec that can be read and replaced on their own: path segment to key of the spec.
SPEC_KEY_BY_PART = {"plans": "plan", "routes": "route", "limits": "allowed"}


class BodySchema(Enum):
    """The schema of a request body; the value is its published name in the OpenAPI document."""

    NAMED_SPEC = "Named"
    SPEC = "Spec"
    PLANS = "plans"
    ROUTES = "routes"
    LIMITS = "limits"


@dataclass(frozen=True)
class ApiOperation:
    """An operation of the API.

    Attributes:
        method: the HTTP method.
        path: the path, with its parameters in braces.
        permission: the permission that a caller needs.
        summary: its summary in the OpenAPI document.
        responses: descriptions by status, without the statuses that possible_responses adds.
        body: the schema of its request body; None if it has no body.
        spec_key: the key of the tenant's spec that it reads or replaces; None if it concerns the whole spec,
            or no spec.
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
        """Whether it can be called without a token."""
        return self.permission is Permission.DESCRIBE

    @property
    def is_change(self) -> bool:
        """Whether it may change state. Such calls are audited, and fail on a host without a state folder."""
        return self.method in ("POST", "PUT", "DELETE")

    @property
    def requires_version(self) -> bool:
        """Whether a caller must send If-Match with the version that the change is based on."""
        return 428 in self.responses


NOT_FOUND_RESPONSE = {404: "tenant not found"}
VERSIONED_CHANGE_ERRORS = {
    **NOT_FOUND_RESPONSE,
    409: "invalid state transition, or route already in use",
    412: "version conflict",
    428: "If-Match required",
}
TENANT_READ_RESPONSES = {200: "the tenant", **NOT_FOUND_RESPONSE}
TENANT_CHANGE_RESPONSES = {200: "the tenant", **VERSIONED_CHANGE_ERRORS}
OPERATION_STARTED_RESPONSES = {202: "a long-running operation to poll", **VERSIONED_CHANGE_ERRORS}

_OPENAPI_OPERATION = ApiOperation(
    "GET", "/openapi.json", Permission.DESCRIBE, "Read this document", responses={200: "OpenAPI 3.1 document"}
)
_TENANT_OPERATIONS = [
    ApiOperation(
        "GET",
        TENANTS_PATH,
        Permission.LIST,
        "List tenants by name, in pages",
        responses={200: "a page of tenants", 400: "limit out of range"},
    ),
    ApiOperation(
        "POST",
        TENANTS_PATH,
        Permission.CREATE,
        "Create a tenant; calls repeated with one Idempotency-Key take effect once",
        responses={
            201: "the created tenant",
            409: "name or route already in use, or tenant limit reached",
            410: "the tenant created with this Idempotency-Key was removed",
        },
        body=BodySchema.NAMED_SPEC,
    ),
    ApiOperation("GET", TENANT_PATH, Permission.READ, "Read a tenant", responses=TENANT_READ_RESPONSES),
    ApiOperation(
        "PUT",
        TENANT_PATH,
        Permission.REPLACE,
        "Replace a tenant's spec",
        responses=TENANT_CHANGE_RESPONSES,
        body=BodySchema.SPEC,
    ),
    ApiOperation(
        "DELETE",
        TENANT_PATH,
        Permission.REMOVE,
        "Remove a tenant; its requests in flight are completed",
        responses=OPERATION_STARTED_RESPONSES,
    ),
]
_COMMAND_OPERATIONS = [
    ApiOperation(
        "POST",
        f"{TENANT_PATH}/suspend",
        Permission.SUSPEND,
        "Suspend a tenant: reject its new requests",
        responses=TENANT_CHANGE_RESPONSES,
    ),
    ApiOperation(
        "POST",
        f"{TENANT_PATH}/resume",
        Permission.RESUME,
        "Resume a suspended, draining or drained tenant",
        responses=TENANT_CHANGE_RESPONSES,
    ),
    ApiOperation(
        "POST",
        f"{TENANT_PATH}/drain",
        Permission.DRAIN,
        "Drain a tenant: reject its new requests, complete those in flight",
        responses=OPERATION_STARTED_RESPONSES,
    ),
]
_STATUS_OPERATIONS = [
    ApiOperation(
        "GET",
        f"{TENANT_PATH}/use",
        Permission.READ_USAGE,
        "Read a tenant's current usage and the state of its service",
        responses={200: "the current usage", **NOT_FOUND_RESPONSE},
    ),
    ApiOperation(
        "GET",
        OPERATION_PATH,
        Permission.READ_OPERATION,
        "Read a long-running operation",
        responses={200: "the operation", 404: "operation not found, or no longer kept"},
    ),
]
_SPEC_PART_OPERATIONS = [
    operation
    for part, spec_key in SPEC_KEY_BY_PART.items()
    for operation in (
        ApiOperation(
            "GET",
            f"{TENANT_PATH}/{part}",
            Permission.READ_PART,
            f"Read a tenant's {part}",
            responses={200: part, **NOT_FOUND_RESPONSE},
            spec_key=spec_key,
        ),
        ApiOperation(
            "PUT",
            f"{TENANT_PATH}/{part}",
            Permission.REPLACE_PART,
            f"Replace a tenant's {part}",
            responses=TENANT_CHANGE_RESPONSES,
            body=BodySchema(part),
            spec_key=spec_key,
        ),
    )
]
OPERATIONS = (
    _OPENAPI_OPERATION,
    *_TENANT_OPERATIONS,
    *_COMMAND_OPERATIONS,
    *_STATUS_OPERATIONS,
    *_SPEC_PART_OPERATIONS,
)

AUTHENTICATED_CALL_ERRORS = {
    401: "authentication required",
    403: "permission denied",
    429: "too many concurrent calls",
    500: "internal server error",
}
PUBLIC_CALL_ERRORS = {429: AUTHENTICATED_CALL_ERRORS[429], 500: AUTHENTICATED_CALL_ERRORS[500]}
CHANGE_ERRORS = {405: "read-only host"}
BODY_ERRORS = {
    400: "malformed JSON",
    405: "read-only host",
    408: "request timeout",
    413: "request body too large",
    415: "unsupported media type",
    422: "invalid spec",
}


def possible_responses(operation: ApiOperation) -> dict[int, str]:
    """Returns the description of every status that a call of the operation may get."""
    if operation.is_public:
        return {**operation.responses, **PUBLIC_CALL_ERRORS}
    if operation.body is not None:
        return {**AUTHENTICATED_CALL_ERRORS, **BODY_ERRORS, **operation.responses}
    if operation.is_change:
        return {**AUTHENTICATED_CALL_ERRORS, **CHANGE_ERRORS, **operation.responses}
    return {**AUTHENTICATED_CALL_ERRORS, **operation.responses}
