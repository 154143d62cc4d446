"""A toy back end for one gatekeeper: two workers, a counter and a discovery, on loopback.

    python examples/toy.py

Each worker answers after 50 ms and says which it is. Type the name of a worker (toy-1 or toy-2) and Return to
drain it or to bring it back; Ctrl-C ends.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any

from aiohttp import web

WORKERS = {"toy-1": 9001, "toy-2": 9002}
DISCOVERY, COUNTER = 8500, 6400


class Toy:
    def __init__(self) -> None:
        self.states = dict.fromkeys(WORKERS, "up")
        self.generation = 1
        self.changed = asyncio.Condition()
        self.counts: dict[str, tuple[float, float]] = {}  # name: total, forgotten at; emptied as calls come

    async def work(self, name: str, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        await asyncio.sleep(0.05)
        print(f"{name}: {request.method} {request.path_qs}, id {request.headers.get('Request-Id')}")
        told = {"Billed-Units": "1", "Server-Load": "TEXT mean_ms=50"}
        return web.Response(text=f"{name} did it\n", headers=told)

    async def count(self, request: web.BaseRequest) -> web.StreamResponse:
        now, name = time.monotonic(), request.path.rsplit("/", 1)[-1]
        self.counts = {n: c for n, c in self.counts.items() if c[1] > now}
        total, until = self.counts.get(name, (0.0, now + min(60.0, float(request.query["expire_ms"]) / 1000)))
        self.counts[name] = total + float(request.query["by"]), until
        return web.Response(text=f"{self.counts[name][0]:.7g}")

    async def list(self, request: web.BaseRequest) -> web.StreamResponse:
        whole = "since" not in request.query
        if not whole and int(request.query["since"]) >= self.generation:
            try:
                async with asyncio.timeout(float(request.query.get("timeout_ms", 0)) / 1000), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                return self.told(False, [])
        return self.told(whole, [self.row(name) for name in WORKERS])

    def told(self, whole: bool, rows: list[dict[str, Any]]) -> web.Response:
        return web.json_response({"generation": self.generation, "reset": whole, "instances": rows})

    def row(self, name: str) -> dict[str, Any]:
        return {
            "instanceId": name,
            "hostPort": f"127.0.0.1:{WORKERS[name]}",
            "zone": "a",
            "cell": 0,
            "machineType": "toy",
            "lifecycle": self.states[name],
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def flip(self, name: str) -> None:
        self.states[name] = "draining" if self.states[name] == "up" else "up"
        self.generation += 1
        async with self.changed:
            self.changed.notify_all()
        print(f"{name} is {self.states[name]}")


async def main() -> None:
    toy, loop = Toy(), asyncio.get_running_loop()
    places: list[tuple[int, Any]] = [(DISCOVERY, toy.list), (COUNTER, toy.count)]
    places += [(port, lambda request, name=name: toy.work(name, request)) for name, port in WORKERS.items()]
    for port, handler in places:
        await loop.create_server(web.Server(handler), "127.0.0.1", port)
    print("toy-1 and toy-2 work; type a name to drain it or to bring it back")
    while line := await asyncio.to_thread(sys.stdin.readline):
        if line.strip() in WORKERS:
            await toy.flip(line.strip())
    await asyncio.Event().wait()  # no one types


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        pass
