"""What the host examples share: stand-ins for what a host talks to, its file, and its process."""

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


class StandIns:
    """An endpoint that answers at once, a discovery that lists it, and a counter that adds, on one port.

    Attributes:
        address: host:port, once it serves.
    """

    def __init__(self) -> None:
        self.address = ""
        self._totals: dict[str, float] = {}  # of the counter, by path

    async def open(self) -> None:
        """Serves on a free port."""
        server = await asyncio.get_running_loop().create_server(web.Server(self.handle), "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers as the part that the path names."""
        await request.read()
        if request.path.startswith("/registry"):
            return await self._list_endpoints(request)
        if request.path.startswith("/counters/"):
            return self._add_to_counter(request)
        return await self.answer(request)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers as the endpoint."""
        return web.Response(text="ok")

    async def _list_endpoints(self, request: web.BaseRequest) -> web.Response:
        if "since" in request.query:  # a watch: nothing ever changes
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
    """Returns an operator's file of tenants t0, t1, ... that all use the stand-ins at an address."""
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
    """Returns a value as TOML; but for the tables it looks as in JSON."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {_inline_toml(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(map(_inline_toml, value)) + "]"
    return json.dumps(value)


@contextlib.asynccontextmanager
async def running_host(tenant_count: int, address: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """Starts `drumgw host`, waits until all tenants are served, and ends it afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "host.toml"
        path.write_text(host_file(tenant_count, address))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-m", "drumgw.cli", "host", str(path), stderr=asyncio.subprocess.PIPE
        )
        assert process.stderr is not None
        served_count = 0
        while served_count < tenant_count:
            line = await process.stderr.readline()
            if not line:
                raise RuntimeError("the host ended before it served")
            served_count += b": serves" in line
        reading_log = asyncio.create_task(process.stderr.read())
        try:
            yield process
        finally:
            process.send_signal(signal.SIGTERM)
            await reading_log
            await process.wait()


def request_head(host: str, request_id: str, account: int, timeout_ms: int) -> bytes:
    """Returns a request of one unit."""
    return (
        f"GET /preview?account={account:016x} HTTP/1.1\r\nHost: {host}\r\n"
        f"Request-Id: {request_id}\r\nPlan: basic\r\nRequest-Timeout: {timeout_ms}m\r\n"
        "Quota-Info: units=1,spread=1,first=0\r\n\r\n"
    ).encode()
