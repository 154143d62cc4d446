"""What a txn and a tenant cost a host: CPU and memory with 1, 20 and 200 tenants, on loopback.

    python examples/host_cost.py [TXNS]

Starts `drumgw host` for each number, with one stand-in for all workers, discoveries and counters in this
process, asks it through sixteen connections, and reads what the kernel booked for it. Ends what it started.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import tempfile

from aiohttp import web

NUMBERS, LINES, IDLE_S = (1, 20, 200), 16, 4.0
TICK = os.sysconf("SC_CLK_TCK")
PRODUCT = {"name": "preview", "sla_ms": 3000.0, "expiry_ms": 10000.0, "repeat": "inquiry-like"}
PLAN = {"name": "basic", "units_per_s": 100000.0, "burst_units": 100000.0}


class StandIns:
    """A worker that answers at once, a discovery that lists it, a counter that adds."""

    def __init__(self) -> None:
        self.place, self.totals = "", dict[str, float]()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        if request.path.startswith("/registry"):
            if "since" in request.query:
                await asyncio.sleep(float(request.query["timeout_ms"]) / 1000)
                return web.json_response({"generation": 1, "reset": False, "instances": []})
            row = {
                "instanceId": "w",
                "hostPort": self.place,
                "zone": "a",
                "cell": 0,
                "machineType": "std",
                "lifecycle": "up",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            return web.json_response({"generation": 1, "reset": True, "instances": [row]})
        if request.path.startswith("/counters/"):
            name = request.path
            self.totals[name] = self.totals.get(name, 0.0) + float(request.query["by"])
            return web.Response(text=f"{self.totals[name]:.7g}")
        return web.Response(text="ok")


def house(tenants: int, place: str) -> str:
    """JSON is nearly TOML: a file of inline tables."""

    def table(value: object) -> str:
        if isinstance(value, dict):
            return "{ " + ", ".join(f"{k} = {table(v)}" for k, v in value.items()) + " }"
        return "[" + ", ".join(map(table, value)) + "]" if isinstance(value, list) else json.dumps(value)

    rows = [
        {
            "name": f"t{n}",
            "route": [{"host": f"t{n}.example"}],
            "discovery": place,
            "counter": place,
            "product": [PRODUCT],
            "plan": [PLAN],
        }
        for n in range(tenants)
    ]
    return (
        f'version = 1\ntenant = {table(rows)}\n[host]\nname = "h"\nlisten = "127.0.0.1:18080"\n'
        'api = "127.0.0.1:19090"\n'
    )


def cost(pid: int) -> tuple[float, float]:
    """CPU in ms, memory in MB."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return (int(fields[11]) + int(fields[12])) * 1000 / TICK, pages * os.sysconf("SC_PAGE_SIZE") / 2**20


async def ask(tenants: int, line: int, txns: int) -> int:
    served, chance = 0, random.Random(line)
    reader, writer = await asyncio.open_connection("127.0.0.1", 18080)
    for n in range(txns):
        host = f"t{chance.randrange(tenants)}.example"
        writer.write(
            (
                f"GET /preview?account={n % 50:016x} HTTP/1.1\r\nHost: {host}\r\n"
                f"Request-Id: {line}-{n}\r\nPlan: basic\r\nRequest-Timeout: 9000m\r\n"
                "Quota-Info: units=1,spread=1,first=0\r\n\r\n"
            ).encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split()[0])
        await reader.readexactly(length)
        served += b" 200 " in head[:15]
    writer.close()
    return served


async def measure(tenants: int, place: str, txns: int) -> str:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "host.toml"
        path.write_text(house(tenants, place))
        run = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-m", "drumgw.cli", "host", str(path), stderr=asyncio.subprocess.PIPE
        )
        assert run.stderr
        ready = 0
        while ready < tenants:
            line = await run.stderr.readline()
            assert line, "it ended early"
            ready += b": serves" in line
        started, _ = cost(run.pid)
        await asyncio.sleep(IDLE_S)
        began, memory = cost(run.pid)
        served = sum(await asyncio.gather(*(ask(tenants, line, txns // LINES) for line in range(LINES))))
        ended, after = cost(run.pid)
        run.send_signal(signal.SIGTERM)
        await run.communicate()
    asked = txns // LINES * LINES
    return (
        f"{tenants:4} tenants: {memory:6.1f} MB idle, {after:6.1f} MB after; "
        f"{(ended - began) / asked:5.2f} ms of CPU a txn, {served} of {asked} served; "
        f"idle {(began - started) / IDLE_S:.0f} ms of CPU a second, start {started:.0f} ms"
    )


async def main() -> None:
    txns, stand_ins = int(sys.argv[1]) if len(sys.argv) > 1 else 8000, StandIns()
    server = await asyncio.get_running_loop().create_server(web.Server(stand_ins.serve), "127.0.0.1", 0)
    stand_ins.place = "{}:{}".format(*server.sockets[0].getsockname())
    for tenants in NUMBERS:
        print(await measure(tenants, stand_ins.place, txns))


if __name__ == "__main__":
    asyncio.run(main())
