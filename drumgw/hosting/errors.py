"""What the administration API answers in place of a result: one exception a cause.

Each has the status and the title of its problem details (RFC 9457). Nothing was changed where one is raised.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class FieldError:
    """A mistake in a body: a JSON pointer to the field, and what is wrong there."""

    pointer: str
    detail: str


class ApiError(Exception):
    """A call that is not done.

    Attributes:
        status: the HTTP status.
        title: a few words for the kind of problem, the same each time.
        detail: this problem, in one line.
        field_errors: the fields that caused it, if any did.
    """

    status = 500
    title = "Fault"

    def __init__(self, detail: str, field_errors: Sequence[FieldError] = ()) -> None:
        super().__init__(detail)
        self.detail = detail
        self.field_errors = tuple(field_errors)


class InternalError(ApiError):
    """A fault of this program; the log has its trace."""

    def __init__(self) -> None:
        super().__init__("a fault of our own; nothing was changed")


class HttpStatusError(ApiError):
    """A status that the HTTP library chose: unknown path, method not allowed, body too large."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.title = reason


# Who calls


class AuthenticationRequiredError(ApiError):
    """The call has no token that this host knows."""

    status = 401
    title = "No token"

    def __init__(self) -> None:
        super().__init__("say Authorization: Bearer and a token of this host")


class PermissionDeniedError(ApiError):
    """The token is known but does not permit this."""

    status = 403
    title = "Not yours"


class ReadOnlyError(ApiError):
    """A change was requested on a host without a state folder."""

    status = 405
    title = "Read only"

    def __init__(self) -> None:
        super().__init__("tenants come from the operator's file: no folder lasts here")


class TooManyCallsError(ApiError):
    """As many calls as the host takes are open already."""

    status = 429
    title = "Too many calls"

    def __init__(self, max_calls: int) -> None:
        super().__init__(f"{max_calls} calls are open")


# What was sent


class MalformedBodyError(ApiError):
    """The body is no JSON."""

    status = 400
    title = "Not JSON"


class OutOfRangeError(ApiError):
    """A parameter or header is beyond its range."""

    status = 400
    title = "Out of range"

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(detail, [FieldError(name, detail)])


class BodyTimeoutError(ApiError):
    """The body was not received in time."""

    status = 408
    title = "Too slow"

    def __init__(self) -> None:
        super().__init__("the body was not complete in time")


class UnsupportedMediaTypeError(ApiError):
    """The body is declared as something else than JSON."""

    status = 415
    title = "Not JSON"

    def __init__(self) -> None:
        super().__init__("say Content-Type: application/json")


class InvalidSpecError(ApiError):
    """A spec that is JSON but cannot be used."""

    status = 422
    title = "Unusable"


# What stands


class TenantNotFoundError(ApiError):
    """There is no tenant of this name."""

    status = 404
    title = "No such tenant"

    def __init__(self, name: str) -> None:
        super().__init__(f"there is no tenant {name!r}")


class OperationNotFoundError(ApiError):
    """There is no such long-running operation, or it was dropped since."""

    status = 404
    title = "No such operation"


class InvalidTransitionError(ApiError):
    """The tenant's state does not allow this command."""

    status = 409
    title = "Not now"


class NameTakenError(ApiError):
    """A tenant of this name exists."""

    status = 409
    title = "Name taken"

    def __init__(self, name: str) -> None:
        detail = f"there is a tenant {name!r}"
        super().__init__(detail, [FieldError("/name", detail)])


class TooManyTenantsError(ApiError):
    """The host has as many tenants as it takes."""

    status = 409
    title = "Full"

    def __init__(self, max_tenants: int) -> None:
        super().__init__(f"there are {max_tenants} tenants")


class RouteTakenError(ApiError):
    """Another tenant has one of the routes."""

    status = 409
    title = "Route taken"

    def __init__(self, position: int, detail: str) -> None:
        super().__init__(detail, [FieldError(f"/route/{position}", detail)])


class CreatedTenantGoneError(ApiError):
    """An idempotency key came again, and what it created was removed meanwhile."""

    status = 410
    title = "Gone"

    def __init__(self, name: str) -> None:
        super().__init__(f"what this key created is no more: {name!r}")


class VersionMismatchError(ApiError):
    """The tenant changed since the version that the caller read."""

    status = 412
    title = "Changed meanwhile"

    def __init__(self, name: str, version: int) -> None:
        super().__init__(f"{name!r} is at version {version}")


class IdempotencyKeyReusedError(ApiError):
    """An idempotency key came again with another body."""

    status = 422
    title = "Key used"

    def __init__(self) -> None:
        super().__init__("this idempotency key came with another body")


class VersionRequiredError(ApiError):
    """A change without If-Match."""

    status = 428
    title = "Version wanted"

    def __init__(self) -> None:
        super().__init__("say in If-Match which version this was made from")
