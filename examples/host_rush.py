"""What a tenant whose endpoints stall and whose clients rush does to nineteen others, on loopback.

    python examples/host_rush.py [SEEDS]

For each seed twice, without the rush and with it: the others' requests come at times drawn beforehand,
whatever was answered. What they were served and how long it took is printed, and how much was rushed. Ends
what it started.
"""

from __future__ import annotations

import asyncio
import random
import sys
from typing import NamedTuple

from aiohttp import web
from host_stand_ins import LISTEN, StandIns, request_head, running_host

OTHER_TENANT_COUNT = 19
SECONDS = 8.0
REQUESTS_PER_TENANT_PER_S = 6.0
RUSHING_CLIENT_COUNT = 64
WORK_MS = 20.0
STALL_S = 3600.0
ACCOUNT_COUNT = 40
REQUEST_TIMEOUT_MS = 2000
DEFAULT_SEED_COUNT = 3


class Outcome(NamedTuple):
    """How a request ended, and after how long since it was due."""

    served: bool
    took_ms: float


class Endpoints(StandIns):
    """The first tenant's endpoint is silent; the others' takes its time."""

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers as the endpoint."""
        is_stalled = request.headers["Host"].startswith("t0.")
        await asyncio.sleep(STALL_S if is_stalled else WORK_MS / 1000)
        return await super().answer(request)


async def send_request(host: str, request_id: str) -> bool:
    """Sends a request on a connection of its own; returns whether it was served."""
    reader, writer = await asyncio.open_connection(*LISTEN)
    try:
        account = sum(map(ord, request_id)) % ACCOUNT_COUNT
        writer.write(request_head(host, request_id, account, REQUEST_TIMEOUT_MS))
        return b" 200 " in await reader.readuntil(b"\r\n")
    except (OSError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()


async def rush(end: float) -> int:
    """Sends requests to the stalled tenant, each as soon as the one before is answered; returns how many."""
    loop = asyncio.get_running_loop()
    count = 0
    while loop.time() < end:
        await send_request("t0.example", f"r{random.getrandbits(48):x}")
        count += 1
    return count


async def send_others(seed: int, end: float) -> list[Outcome]:
    """Sends the other tenants' requests at random times that do not depend on the answers."""
    loop = asyncio.get_running_loop()
    chance = random.Random(seed)
    outcomes: list[Outcome] = []

    async def send_timed(host: str, request_id: str, due: float) -> None:
        served = await send_request(host, request_id)
        outcomes.append(Outcome(served, (loop.time() - due) * 1000))

    tasks: list[asyncio.Task[None]] = []
    due = loop.time()
    while due < end:
        due += chance.expovariate(OTHER_TENANT_COUNT * REQUESTS_PER_TENANT_PER_S)
        await asyncio.sleep(max(0.0, due - loop.time()))
        host = f"t{1 + chance.randrange(OTHER_TENANT_COUNT)}.example"
        request_id = f"o{seed}-{len(tasks) + 1}"
        tasks.append(asyncio.create_task(send_timed(host, request_id, due)))
    await asyncio.gather(*tasks)
    return outcomes


async def play(seed: int, is_rushing: bool, address: str) -> str:
    """Returns a line on how the others fared."""
    async with running_host(OTHER_TENANT_COUNT + 1, address):
        end = asyncio.get_running_loop().time() + SECONDS
        client_count = RUSHING_CLIENT_COUNT if is_rushing else 0
        rushing = [asyncio.create_task(rush(end)) for _ in range(client_count)]
        outcomes = await send_others(seed, end)
        rushed_count = sum(await asyncio.gather(*rushing))
    took_ms = sorted(outcome.took_ms for outcome in outcomes if outcome.served)
    rushed = f"rush of {rushed_count}" if is_rushing else "no rush"
    return (
        f"seed {seed}, {rushed:>13}: {len(took_ms) / len(outcomes):.3f} of {len(outcomes)} served, "
        f"p50 {took_ms[len(took_ms) // 2]:.0f} ms, p99 {took_ms[len(took_ms) * 99 // 100]:.0f} ms"
    )


async def main() -> None:
    """Plays each seed without the rush and with it."""
    seed_count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEED_COUNT
    endpoints = Endpoints()
    await endpoints.open()
    for seed in range(1, seed_count + 1):
        for is_rushing in (False, True):
            print(await play(seed, is_rushing, endpoints.address))


if __name__ == "__main__":
    asyncio.run(main())
