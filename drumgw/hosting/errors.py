"""The errors of the administration API: one exception class for each cause.

Each carries the status and title of its problem details (RFC 9457). An operation that raises one has changed
nothing.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class FieldError:
    """An invalid field: a JSON pointer into the body, or the name of a parameter or header, and the error."""

    pointer: str
    detail: str


class ApiError(Exception):
    """A failed API call, sent to the caller as problem details.

    Attributes:
        status: the HTTP status.
        title: a short text that is the same for every error of the class; HttpStatusError sets it per error.
        detail: this occurrence of the problem, in one line.
        field_errors: the fields that caused the error; empty if it concerns the call as a whole.
    """

    status = 500
    title = "Internal server error"

    def __init__(self, detail: str, field_errors: Sequence[FieldError] = ()) -> None:
        super().__init__(detail)
        self.detail = detail
        self.field_errors = tuple(field_errors)


class InternalError(ApiError):
    """An unhandled exception in this program; its traceback is in the log."""

    def __init__(self) -> None:
        super().__init__("internal error; nothing was changed")


class HttpStatusError(ApiError):
    """An error that the HTTP library raised: unknown path, method not allowed, body too large."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.title = reason


# Authentication, authorization and limits


class AuthenticationRequiredError(ApiError):
    """The call has no token, or one that is unknown to this host."""

    status = 401
    title = "Authentication required"

    def __init__(self) -> None:
        super().__init__("send Authorization: Bearer with a valid token of this host")


class PermissionDeniedError(ApiError):
    """The token is valid, but its role does not permit the operation on this resource."""

    status = 403
    title = "Permission denied"


class ReadOnlyError(ApiError):
    """A change was requested on a host without a state folder, where it would not survive a restart."""

    status = 405
    title = "Read-only host"

    def __init__(self) -> None:
        super().__init__("no state folder is set: tenants are defined by the host file only")


class TooManyCallsError(ApiError):
    """The limit of concurrent API calls is reached."""

    status = 429
    title = "Too many concurrent calls"

    def __init__(self, max_calls: int) -> None:
        super().__init__(f"limit of {max_calls} concurrent API calls reached")


# Invalid requests


class MalformedBodyError(ApiError):
    """The body cannot be parsed as JSON."""

    status = 400
    title = "Malformed JSON"


class OutOfRangeError(ApiError):
    """A query parameter or header has a value or length outside its range."""

    status = 400
    title = "Value out of range"

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(detail, [FieldError(name, detail)])


class BodyTimeoutError(ApiError):
    """The body was not received within the time limit."""

    status = 408
    title = "Request timeout"

    def __init__(self) -> None:
        super().__init__("the request body was not received within the time limit")


class CallerDisconnectedError(ApiError):
    """The caller closed its connection before its body was complete; only the audit log has the status."""

    status = 499  # not a registered status, but the one that servers usually log for this
    title = "Caller disconnected"

    def __init__(self) -> None:
        super().__init__("the connection was closed before the request body was complete")


class UnsupportedMediaTypeError(ApiError):
    """The Content-Type is not application/json."""

    status = 415
    title = "Unsupported media type"

    def __init__(self) -> None:
        super().__init__("the Content-Type must be application/json")


class InvalidSpecError(ApiError):
    """The body is JSON, but not a valid spec, or no gateway can be configured from it."""

    status = 422
    title = "Invalid spec"


# Missing resources and conflicts with the stored state


class TenantNotFoundError(ApiError):
    """There is no tenant with this name."""

    status = 404
    title = "Tenant not found"

    def __init__(self, name: str) -> None:
        super().__init__(f"tenant {name!r} does not exist")


class OperationNotFoundError(ApiError):
    """The long-running operation never existed, was dropped as one of the oldest, or is another tenant's."""

    status = 404
    title = "Operation not found"


class InvalidTransitionError(ApiError):
    """The command is not possible in the tenant's current state."""

    status = 409
    title = "Invalid state transition"


class NameTakenError(ApiError):
    """A tenant with this name already exists."""

    status = 409
    title = "Name already in use"

    def __init__(self, name: str) -> None:
        detail = f"a tenant named {name!r} already exists"
        super().__init__(detail, [FieldError("/name", detail)])


class TooManyTenantsError(ApiError):
    """The limit of tenants on this host is reached."""

    status = 409
    title = "Tenant limit reached"

    def __init__(self, max_tenants: int) -> None:
        super().__init__(f"limit of {max_tenants} tenants reached")


class RouteTakenError(ApiError):
    """A route conflicts with one of another tenant."""

    status = 409
    title = "Route already in use"

    def __init__(self, position: int, detail: str) -> None:
        super().__init__(detail, [FieldError(f"/route/{position}", detail)])


class CreatedTenantRemovedError(ApiError):
    """A create was repeated with its idempotency key, but its tenant has been removed since."""

    status = 410
    title = "Created tenant removed"

    def __init__(self, name: str) -> None:
        super().__init__(f"tenant {name!r}, created with this idempotency key, was removed")


class VersionMismatchError(ApiError):
    """If-Match does not name the tenant's current version: it changed after the caller read it."""

    status = 412
    title = "Version conflict"

    def __init__(self, name: str, version: int) -> None:
        super().__init__(f"tenant {name!r} is at version {version}")


class IdempotencyKeyReusedError(ApiError):
    """An idempotency key was sent again with a different body."""

    status = 422
    title = "Idempotency key reused"

    def __init__(self) -> None:
        super().__init__("this idempotency key was already used with a different body")


class VersionRequiredError(ApiError):
    """A change was sent without If-Match."""

    status = 428
    title = "If-Match required"

    def __init__(self) -> None:
        super().__init__("If-Match must name the version that the change is based on")
