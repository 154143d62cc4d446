"""Builds the error responses of the administration API: problem details (RFC 9457)."""

from __future__ import annotations

from typing import Any

from aiohttp import web
from pydantic import ValidationError

from drumgw.hosting.errors import ApiError, AuthenticationRequiredError, FieldError, InvalidSpecError

PROBLEM_CONTENT_TYPE = "application/problem+json"
MAX_FIELD_ERRORS = 50


def problem_response(error: ApiError, headers: dict[str, str] | None = None) -> web.Response:
    """Returns an error as a problem details response.

    A 401 gets the WWW-Authenticate header in place of the given headers.
    """
    body: dict[str, Any] = {
        "type": "about:blank",
        "title": error.title,
        "status": error.status,
        "detail": error.detail,
    }
    if error.field_errors:
        body["errors"] = [
            {"pointer": field_error.pointer, "detail": field_error.detail}
            for field_error in error.field_errors
        ]
    if isinstance(error, AuthenticationRequiredError):
        headers = {"WWW-Authenticate": "Bearer"}
    return web.json_response(body, status=error.status, headers=headers, content_type=PROBLEM_CONTENT_TYPE)


def allowed_methods(error: web.HTTPException) -> dict[str, str] | None:
    """Returns the Allow header of a 405 that the HTTP library raised; None for its other errors."""
    return {"Allow": error.headers["Allow"]} if "Allow" in error.headers else None


def invalid_spec(error: ValidationError) -> InvalidSpecError:
    """Converts a validation error; lists at most MAX_FIELD_ERRORS fields, with the total in the detail."""
    details = error.errors(include_url=False, include_input=False)[:MAX_FIELD_ERRORS]
    field_errors = [FieldError(_json_pointer(detail["loc"]), detail["msg"]) for detail in details]
    return InvalidSpecError(f"{error.error_count()} validation error(s)", field_errors)


def _json_pointer(location: tuple[int | str, ...]) -> str:
    return "".join(f"/{part}" for part in location)
