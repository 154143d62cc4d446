"""HTTP client of a host's administration API."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any, NamedTuple
from urllib.parse import quote

import click

CALL_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.2


class ApiResponse(NamedTuple):
    """A response of the API.

    Attributes:
        headers: by name as received.
        body: the parsed JSON; None for an empty body.
    """

    headers: dict[str, str]
    body: Any


class ApiProblemError(click.ClickException):
    """The API responded with problem details (RFC 9457). Printed to standard error; the exit code is 1."""

    def __init__(self, status: int, problem: dict[str, Any]) -> None:
        lines = [f"{problem.get('title', status)}: {problem.get('detail', '')}"]
        lines += [f"  {error['pointer']}: {error['detail']}" for error in problem.get("errors", ())]
        super().__init__("\n".join(lines))

    def show(self, file: Any = None) -> None:
        """Prints the problem without the prefix "Error:" that click would add."""
        click.echo(self.message, err=True)


class AdminClient:
    """Client of the API at one address, with a bearer token."""

    def __init__(self, api: str, token: str) -> None:
        self._api = api
        self._token = token

    def call(self, method: str, path: str, body: Any = None, **headers: str) -> ApiResponse:
        """Calls the API.

        Args:
            method: the HTTP method.
            path: the path, with the query string if there is one.
            body: sent as JSON; None sends no body.
            **headers: further request headers; underscores in their names become dashes.

        Raises:
            ApiProblemError: the status of the response is 400 or above.
            click.ClickException: the API cannot be reached, or its response is not HTTP with JSON.
        """
        request_headers = {"Authorization": f"Bearer {self._token}"}
        request_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        content = None
        if body is not None:
            content = json.dumps(body).encode()
            request_headers["Content-Type"] = "application/json"
        status, response = self._exchange(method, path, content, request_headers)
        if status >= 400:
            raise ApiProblemError(status, response.body)
        return response

    def _exchange(
        self, method: str, path: str, content: bytes | None, request_headers: dict[str, str]
    ) -> tuple[int, ApiResponse]:
        connection = http.client.HTTPConnection(self._api, timeout=CALL_TIMEOUT_S)
        try:
            connection.request(method, path, content, request_headers)
            http_response = connection.getresponse()
            body = json.loads(http_response.read() or b"null")
            return http_response.status, ApiResponse(dict(http_response.getheaders()), body)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise click.ClickException(f"no valid response from the API at {self._api}: {error}") from error
        finally:
            connection.close()

    def current_etag(self, tenant: str) -> str:
        """Returns the entity tag of a tenant's current version, for use in If-Match."""
        return self.call("GET", tenant_path(tenant)).headers["ETag"]

    def wait_for_operation(self, operation: Any, timeout_s: float) -> Any:
        """Polls a long-running operation until it ends or the time-out expires; returns it as last read."""
        deadline = time.monotonic() + timeout_s
        while operation["state"] == "running" and time.monotonic() < deadline:
            time.sleep(POLL_INTERVAL_S)
            operation = self.call("GET", operation_path(operation["id"])).body
        return operation


def tenant_path(name: str) -> str:
    """Returns the API path of a tenant, with the name percent-encoded."""
    return f"/v1/tenants/{quote(name, safe='')}"


def operation_path(operation_id: str) -> str:
    """Returns the API path of a long-running operation, with the id percent-encoded."""
    return f"/v1/operations/{quote(operation_id, safe='')}"
