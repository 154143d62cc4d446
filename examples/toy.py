"""A toy back end for one gateway on loopback: two endpoints, a counter server and a discovery server.

    python examples/toy.py

Each endpoint responds after 50 ms with its name. Type the name of an endpoint (toy-1 or toy-2) and Return to
drain it, or to make it available again. Ctrl-C stops the back end.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

HOST = "127.0.0.1"
ENDPOINT_PORTS = {"toy-1": 9001, "toy-2": 9002}
DISCOVERY_PORT = 8500
COUNTER_PORT = 6400
SERVICE_TIME_S = 0.05
MAX_TOTAL_AGE_S = 60.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class ToyEndpoints:
    """Endpoints that wait for `SERVICE_TIME_S` and respond with their name."""

    def handler(self, name: str) -> Handler:
        """Returns the request handler of the endpoint with this name."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            await request.read()
            await asyncio.sleep(SERVICE_TIME_S)
            print(f"{name}: {request.method} {request.path_qs}, id {request.headers.get('Request-Id')}")
            headers = {"Billed-Units": "1", "Server-Load": f"TEXT mean_ms={SERVICE_TIME_S * 1000:.0f}"}
            return web.Response(text=f"{name} did it\n", headers=headers)

        return handle


@dataclass
class Total:
    """The sum under one key, and the monotonic time at which it expires."""

    units: float
    expires_at: float


class ToyCounter:
    """A shared counter: `POST /counters/KEY?by=UNITS&expire_ms=MS` adds the units and returns the total."""

    def __init__(self) -> None:
        self.totals: dict[str, Total] = {}  # by key; expired ones are removed at each call

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Adds the units of a call to the total of its key."""
        now = time.monotonic()
        self.totals = {key: total for key, total in self.totals.items() if total.expires_at > now}
        age_s = min(MAX_TOTAL_AGE_S, float(request.query["expire_ms"]) / 1000)
        key = request.path.rsplit("/", 1)[-1]
        total = self.totals.setdefault(key, Total(0.0, now + age_s))
        total.units += float(request.query["by"])
        return web.Response(text=f"{total.units:.7g}")


class ToyDiscovery:
    """Serves the endpoint list: at once, or as a long poll with `since` and `timeout_ms`."""

    def __init__(self) -> None:
        self.lifecycles = dict.fromkeys(ENDPOINT_PORTS, "up")
        self.generation = 1
        self._changed = asyncio.Condition()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the complete list, or waits up to `timeout_ms` for one newer than generation `since`."""
        if "since" not in request.query:
            return self._list(is_complete=True)
        if int(request.query["since"]) < self.generation or await self._wait_for_change(request):
            return self._list(is_complete=False)
        return self._no_change()

    async def _wait_for_change(self, request: web.BaseRequest) -> bool:
        timeout_s = float(request.query.get("timeout_ms", 0)) / 1000
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def toggle(self, name: str) -> None:
        """Drains an endpoint, or makes it available again."""
        self.lifecycles[name] = "draining" if self.lifecycles[name] == "up" else "up"
        self.generation += 1
        async with self._changed:
            self._changed.notify_all()
        print(f"{name} is {self.lifecycles[name]}")

    def _list(self, is_complete: bool) -> web.Response:
        return self._answer(is_complete, [self._row(name) for name in ENDPOINT_PORTS])

    def _no_change(self) -> web.Response:
        return self._answer(False, [])

    def _answer(self, is_complete: bool, rows: list[dict[str, Any]]) -> web.Response:
        return web.json_response({"generation": self.generation, "reset": is_complete, "instances": rows})

    def _row(self, name: str) -> dict[str, Any]:
        return {
            "instanceId": name,
            "hostPort": f"{HOST}:{ENDPOINT_PORTS[name]}",
            "zone": "a",
            "cell": 0,
            "machineType": "toy",
            "lifecycle": self.lifecycles[name],
            "weight": 1.0,
            "startedAtMs": 0,
        }


async def main() -> None:
    """Serves until Ctrl-C, and toggles the endpoints named on standard input."""
    loop = asyncio.get_running_loop()
    endpoints = ToyEndpoints()
    discovery = ToyDiscovery()
    handlers: dict[int, Handler] = {DISCOVERY_PORT: discovery.handle, COUNTER_PORT: ToyCounter().handle}
    for name, port in ENDPOINT_PORTS.items():
        handlers[port] = endpoints.handler(name)
    for port, handler in handlers.items():
        await loop.create_server(web.Server(handler), HOST, port)
    print("toy-1 and toy-2 are up; type a name to drain the endpoint or to make it available again")
    while line := await asyncio.to_thread(sys.stdin.readline):
        if line.strip() in ENDPOINT_PORTS:
            await discovery.toggle(line.strip())
    await asyncio.Event().wait()  # standard input is closed: keep serving until Ctrl-C


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
