"""Calls the administration API of a host over HTTP."""

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
    """What the API answered.

    Attributes:
        headers: as received.
        body: the JSON.
    """

    headers: dict[str, str]
    body: Any


class ApiProblemError(click.ClickException):
    """The API answered with problem details, which go to standard error as they are; exit code 1."""

    def __init__(self, status: int, problem: dict[str, Any]) -> None:
        lines = [f"{problem.get('title', status)}: {problem.get('detail', '')}"]
        lines += [f"  {error['pointer']}: {error['detail']}" for error in problem.get("errors", ())]
        super().__init__("\n".join(lines))

    def show(self, file: Any = None) -> None:
        """Prints the problem; click would put "Error:" before it."""
        click.echo(self.message, err=True)


class AdminClient:
    """A caller of the API with its token."""

    def __init__(self, api: str, token: str) -> None:
        self._api = api
        self._token = token

    def call(self, method: str, path: str, body: Any = None, **headers: str) -> ApiResponse:
        """Calls the API.

        Args:
            method: of HTTP.
            path: with its query.
            body: sent as JSON, unless it is None.
            **headers: sent too; underscores in their names become dashes.

        Raises:
            ApiProblemError: the API did not do it.
            click.ClickException: the API cannot be reached, or what answers is no such API.
        """
        fields = {"Authorization": f"Bearer {self._token}"}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        content = None
        if body is not None:
            content = json.dumps(body).encode()
            fields["Content-Type"] = "application/json"
        status, response = self._exchange(method, path, content, fields)
        if status >= 400:
            raise ApiProblemError(status, response.body)
        return response

    def _exchange(
        self, method: str, path: str, content: bytes | None, fields: dict[str, str]
    ) -> tuple[int, ApiResponse]:
        connection = http.client.HTTPConnection(self._api, timeout=CALL_TIMEOUT_S)
        try:
            connection.request(method, path, content, fields)
            answer = connection.getresponse()
            body = json.loads(answer.read() or b"null")
            return answer.status, ApiResponse(dict(answer.getheaders()), body)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise click.ClickException(f"no answer from the API at {self._api}: {error}") from error
        finally:
            connection.close()

    def current_version(self, tenant: str) -> str:
        """Returns the entity tag of a tenant, for If-Match."""
        return self.call("GET", tenant_path(tenant)).headers["ETag"]

    def wait_for_operation(self, operation: Any, timeout_s: float) -> Any:
        """Polls a long-running operation until it ends or the time is over; returns its last state."""
        deadline = time.monotonic() + timeout_s
        while operation["state"] == "running" and time.monotonic() < deadline:
            time.sleep(POLL_INTERVAL_S)
            operation = self.call("GET", operation_path(operation["id"])).body
        return operation


def tenant_path(name: str) -> str:
    """Returns the path of a tenant."""
    return f"/v1/tenants/{quote(name, safe='')}"


def operation_path(operation_id: str) -> str:
    """Returns the path of a long-running operation."""
    return f"/v1/operations/{quote(operation_id, safe='')}"
