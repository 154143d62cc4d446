"""Test case that runs a host on sockets, with a scripted endpoint and a discovery for each tenant."""

from __future__ import annotations

import asyncio
import json
import re
import tempfile
from collections import defaultdict
from typing import Any, NamedTuple
from unittest import mock

from loguru import logger

from drumgw.config.host_file import HostFile
from drumgw.hosting.authentication import hash_token
from drumgw.hosting.host_process import HostProcess
from tests.gateway_case import GatewayCase, endpoint_row, list_response
from tests.scripted_server import ScriptedServer, http_response, read_message

OPERATOR_TOKEN = "operator-token"
TENANT_TOKEN = "tenant-token"
REQUEST_CLASSES = [
    {"name": "preview", "sla_ms": 2000.0, "expiry_ms": 8000.0, "repeat": "inquiry-like"},
    {"name": "sale", "value": 3.0, "sla_ms": 800.0, "expiry_ms": 2500.0, "repeat": "once-only"},
]
PLANS = [{"name": "p", "units_per_s": 1000.0, "burst_units": 1000.0}]
TARGET = "/preview?account=00000000b4d65521"
NEW_FOLDER = ""
POLL_S = 0.001


class ApiResponse(NamedTuple):
    """A response of the administration API; `body` is the decoded JSON, None if empty."""

    status: int
    body: Any
    headers: dict[str, str]


class SharedCounter:
    """The answers of a counter server that sums up the reported units by counter key."""

    def __init__(self) -> None:
        self.totals: defaultdict[str, float] = defaultdict(float)

    def answer(self, head: bytes, body: bytes) -> bytes:
        """Adds the units of a call to the total of its key, and returns the total."""
        call = re.match(rb"POST /counters/([^?]+)\?by=([^&]+)", head)
        assert call
        key = call[1].decode()
        self.totals[key] += float(call[2])
        return http_response(f"{self.totals[key]:.7g}".encode())


class HostCase(GatewayCase):
    """A test that starts hosts, which are closed after it."""

    def setUp(self) -> None:
        """Empties the table of endpoints, which `tenant` fills."""
        self.endpoints: dict[str, ScriptedServer] = {}  # by tenant name

    async def tenant(self, name: str, answer: Any = None, **more: Any) -> dict[str, Any]:
        """Starts a tenant's endpoint and discovery; returns the tenant's entry for the host file.

        By default the endpoint responds with the tenant's name.
        """
        endpoint = await self.start_server(http_response(name.encode()) if answer is None else answer)
        endpoint_list = list_response(endpoint_row("s-0", endpoint.address))  # the same id for all tenants
        discovery = await self.start_server(
            lambda head, body: endpoint_list if b"since=" not in head else None
        )
        self.endpoints[name] = endpoint
        return {
            "name": name,
            "route": [{"host": f"{name}.example"}],
            "discovery": discovery.address,
            "zone": "x",
            "zones": ["x"],
            "product": REQUEST_CLASSES,
            "plan": PLANS,
            **more,
        }

    def folder(self) -> str:
        """Returns a new temporary folder, which is removed after the test."""
        return self.enterContext(tempfile.TemporaryDirectory())

    async def start_host(
        self, *tenants: dict[str, Any], state: str | None = NEW_FOLDER, ready: bool = True, **more: Any
    ) -> HostProcess:
        """Starts a host, by default with a state folder, and waits until all tenants are ready.

        Args:
            tenants: the tenants of the host file.
            state: the state folder; None for a host without one.
            ready: whether to wait for the tenants.
            more: further keys of the host file's table `host`.
        """
        file = {
            "version": 1,
            "host": {
                "name": "h0",
                "listen": "127.0.0.1:0",
                "api": "127.0.0.1:0",
                "state": self.folder() if state == NEW_FOLDER else state,
                **more,
            },
            "token": [
                {"id": "ops", "role": "operator", "sha256": hash_token(OPERATOR_TOKEN)},
                {"id": "own", "role": "tenant", "tenant": "t1", "sha256": hash_token(TENANT_TOKEN)},
            ],
            "tenant": list(tenants),
        }
        host_process = HostProcess(HostFile.model_validate_json(json.dumps(file)))
        self.host_process = host_process
        self.listen_address, self.api = await host_process.open()
        self.addAsyncCleanup(self.close_host, host_process)
        if ready:
            await self.wait_until_ready()
        return host_process

    async def close_host(self, host_process: HostProcess) -> None:
        """Closes a host, without the delay in which it still accepts clients."""
        with mock.patch("drumgw.hosting.host_process.SHUTDOWN_LINGER_MS", 0.0):
            await host_process.close()

    async def wait_until_ready(self) -> None:
        """Waits until all services and their replacements are ready."""
        services = self.host_process.services
        while services.replacements or not all(s.is_ready for s in services.services.values()):
            await asyncio.sleep(POLL_S)

    async def wait_until_services_closed(self) -> None:
        """Waits until all replaced and removed services are closed."""
        while self.host_process.services.closing:
            await asyncio.sleep(POLL_S)

    async def wait_until_received(self, endpoint: ScriptedServer) -> None:
        """Waits until a server has received a request."""
        while not endpoint.requests:
            await asyncio.sleep(POLL_S)

    async def wait_until_done(self, operation_id: str) -> None:
        """Polls a long-running operation until it ends."""
        while (await self.call("GET", f"/v1/operations/{operation_id}")).body["state"] == "running":
            await asyncio.sleep(POLL_S)

    async def send(self, tenant: str, target: str = TARGET, **headers: str | None) -> tuple[int, bytes]:
        """Sends a request to a tenant, selected by host name; returns status and body."""
        defaults = {"Host": f"{tenant}.example", "Request_Timeout": "2500m", "Plan": "p"}
        status, body, _ = await self.send_request(target, "GET", b"", None, **{**defaults, **headers})
        return status, body

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        token: str | None = OPERATOR_TOKEN,
        raw: bytes | None = None,
        **headers: str,
    ) -> ApiResponse:
        """Calls the administration API on a new connection.

        Args:
            method: the HTTP method.
            path: the path, with the query.
            body: sent as JSON, unless `raw` is given; None sends an empty body.
            token: the bearer token; None sends none.
            raw: the body as it is sent.
            headers: further headers, with "_" for "-".
        """
        reader, writer = await asyncio.open_connection(*self.api)
        content = b"" if body is None else json.dumps(body).encode()
        if raw is not None:
            content = raw
        fields = {
            "Host": "api",
            "Connection": "close",
            "Content-Type": "application/json",
            "Content-Length": str(len(content)),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if token is not None:
            fields["Authorization"] = f"Bearer {token}"
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
        writer.write("\r\n".join(lines).encode() + content)
        head, answer = await read_message(reader)
        writer.close()
        response_headers = dict(
            line.split(": ", 1) for line in head.decode().split("\r\n")[1:] if ": " in line
        )
        return ApiResponse(int(head.split()[1]), json.loads(answer or b"null"), response_headers)

    def log_lines(self) -> list[str]:
        """Returns a list to which log lines are appended until the end of the test."""
        lines: list[str] = []
        sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
        self.addCleanup(logger.remove, sink)
        return lines
