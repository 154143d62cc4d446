"""Shared by the host examples: a stub server for the host's peers, its host file, and its process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator

from aiohttp import web

LISTEN = ("127.0.0.1", 18080)
API = ("127.0.0.1", 19090)
REQUEST_CLASS = {"name": "preview", "sla_ms": 3000.0, "expiry_ms": 10000.0, "repeat": "inquiry-like"}
PLAN = {"name": "basic", "units_per_s": 100000.0, "burst_units": 100000.0}


class StubServer:
    """Acts as an endpoint, as the discovery that lists this endpoint, and as the counter, on one port.

    Attributes:
        address: host:port; empty until `open` has returned.
    """

    def __init__(self) -> None:
        self.address = ""
        self._totals: dict[str, float] = {}  # the counter's totals, by request path

    async def open(self) -> None:
        """Listens on a free port."""
        server = await asyncio.get_running_loop().create_server(web.Server(self.handle), "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers as discovery, counter or endpoint, depending on the path."""
        await request.read()
        if request.path.startswith("/registry"):
            return await self._list_endpoints(request)
        if request.path.startswith("/counters/"):
            return self._add_to_counter(request)
        return await self.answer(request)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers as the endpoint; subclasses override it to add a delay."""
        return web.Response(text="ok")

    async def _list_endpoints(self, request: web.BaseRequest) -> web.Response:
        if "since" in request.query:  # a long poll for changes, of which there are none
            await asyncio.sleep(float(request.query["timeout_ms"]) / 1000)
            return web.json_response({"generation": 1, "reset": False, "instances": []})
        endpoint = {
            "instanceId": "w",
            "hostPort": self.address,
            "zone": "a",
            "cell": 0,
            "machineType": "std",
            "lifecycle": "up",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        return web.json_response({"generation": 1, "reset": True, "instances": [endpoint]})

    def _add_to_counter(self, request: web.BaseRequest) -> web.Response:
        total = self._totals.get(request.path, 0.0) + float(request.query["by"])
        self._totals[request.path] = total
        return web.Response(text=f"{total:.7g}")


def host_file(tenant_count: int, address: str) -> str:
    """Returns a host file with tenants t0, t1, ... that all use the stub server at this address."""
    tenants = [
        {
            "name": f"t{n}",
            "route": [{"host": f"t{n}.example"}],
            "discovery": address,
            "counter": address,
            "product": [REQUEST_CLASS],
            "plan": [PLAN],
        }
        for n in range(tenant_count)
    ]
    listen = "{}:{}".format(*LISTEN)
    api = "{}:{}".format(*API)
    return (
        f"version = 1\ntenant = {_inline_toml(tenants)}\n"
        f'[host]\nname = "h"\nlisten = "{listen}"\napi = "{api}"\n'
    )


def _inline_toml(value: object) -> str:
    """Returns a value as inline TOML, which differs from JSON in its tables only."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {_inline_toml(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(map(_inline_toml, value)) + "]"
    return json.dumps(value)


@contextlib.asynccontextmanager
async def running_host(tenant_count: int, address: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """Starts `drumgw host`, waits until all tenants are ready, and terminates it on exit.

    Raises:
        RuntimeError: the host exited before all tenants were ready.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "host.toml"
        path.write_text(host_file(tenant_count, address))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-m", "drumgw.cli", "host", str(path), stderr=asyncio.subprocess.PIPE
        )
        assert process.stderr is not None
        ready_count = 0
        while ready_count < tenant_count:
            line = await process.stderr.readline()
            if not line:
                raise RuntimeError("the host exited before all tenants were ready")
            ready_count += b": ready, " in line
        reading_log = asyncio.create_task(process.stderr.read())
        try:
            yield process
        finally:
            process.send_signal(signal.SIGTERM)
            await reading_log
            await process.wait()


def request_head(host: str, request_id: str, account: int, timeout_ms: int) -> bytes:
    """Returns a GET request of one unit; the host name selects the tenant."""
    return (
        f"GET /preview?account={account:016x} HTTP/1.1\r\nHost: {host}\r\n"
        f"Request-Id: {request_id}\r\nPlan: basic\r\nRequest-Timeout: {timeout_ms}m\r\n"
        "Quota-Info: units=1,spread=1,first=0\r\n\r\n"
    ).encode()
