"""What a tenant whose workers stall and whose clients rush does to nineteen others, on loopback.

    python examples/host_rush.py [SEEDS]

For each seed twice, without the rush and with it: the others ask at times drawn ahead, whatever came back.
What they were served and how long it took is printed, and how much was rushed. Ends what it started.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys
import tempfile

from aiohttp import web
from host_cost import StandIns, house

OTHERS, SECONDS, EACH_PER_S, RUSHERS, WORK_MS = 19, 8.0, 6.0, 64, 20.0


class Fleet(StandIns):
    """The first tenant's workers say nothing; the others' take their time."""

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path.startswith("/preview"):
            await asyncio.sleep(3600.0 if request.headers["Host"].startswith("t0.") else WORK_MS / 1000)
        return await super().serve(request)


async def one(host: str, name: str) -> bool:
    reader, writer = await asyncio.open_connection("127.0.0.1", 18080)
    try:
        writer.write(
            (
                f"GET /preview?account={hash_of(name):016x} HTTP/1.1\r\nHost: {host}\r\n"
                f"Request-Id: {name}\r\nPlan: basic\r\nRequest-Timeout: 2000m\r\n"
                "Quota-Info: units=1,spread=1,first=0\r\n\r\n"
            ).encode()
        )
        return b" 200 " in await reader.readuntil(b"\r\n")
    except (OSError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()


def hash_of(name: str) -> int:
    return sum(map(ord, name)) % 40


async def rush(end: float) -> int:
    asked, loop = 0, asyncio.get_running_loop()
    while loop.time() < end:
        await one("t0.example", f"r{random.getrandbits(48):x}")
        asked += 1
    return asked


async def others(seed: int, end: float) -> list[tuple[bool, float]]:
    chance, loop = random.Random(seed), asyncio.get_running_loop()
    found, tasks = list[tuple[bool, float]](), list[asyncio.Task[None]]()

    async def timed(host: str, name: str, due: float) -> None:
        served = await one(host, name)
        found.append((served, (loop.time() - due) * 1000))

    due, count = loop.time(), 0
    while due < end:
        due += chance.expovariate(OTHERS * EACH_PER_S)
        await asyncio.sleep(max(0.0, due - loop.time()))
        count += 1
        host = f"t{1 + chance.randrange(OTHERS)}.example"
        tasks.append(asyncio.create_task(timed(host, f"o{seed}-{count}", due)))
    await asyncio.gather(*tasks)
    return found


async def play(seed: int, rushing: bool, place: str) -> str:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "host.toml"
        path.write_text(house(OTHERS + 1, place))
        run = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-m", "drumgw.cli", "host", str(path), stderr=asyncio.subprocess.PIPE
        )
        assert run.stderr
        ready = 0
        while ready <= OTHERS:
            line = await run.stderr.readline()
            assert line, "it ended early"
            ready += b": serves" in line
        drain = asyncio.create_task(run.stderr.read())
        end = asyncio.get_running_loop().time() + SECONDS
        rushers = [asyncio.create_task(rush(end)) for _ in range(RUSHERS if rushing else 0)]
        found = await others(seed, end)
        asked = sum(await asyncio.gather(*rushers))
        run.send_signal(signal.SIGTERM)
        await drain
        await run.wait()
    took = sorted(ms for served, ms in found if served)
    served = len(took) / len(found)
    rushed = f"rush of {asked}" if rushing else "no rush"
    return (
        f"seed {seed}, {rushed:>13}: {served:.3f} of {len(found)} served, "
        f"p50 {took[len(took) // 2]:.0f} ms, p99 {took[len(took) * 99 // 100]:.0f} ms"
    )


async def main() -> None:
    fleet = Fleet()
    server = await asyncio.get_running_loop().create_server(web.Server(fleet.serve), "127.0.0.1", 0)
    fleet.place = "{}:{}".format(*server.sockets[0].getsockname())
    for seed in range(1, 1 + (int(sys.argv[1]) if len(sys.argv) > 1 else 3)):
        for rushing in (False, True):
            print(await play(seed, rushing, fleet.place))


if __name__ == "__main__":
    asyncio.run(main())
