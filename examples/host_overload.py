"""Measures how an overloaded tenant whose endpoint stalls affects nineteen other tenants of its host.

    python examples/host_overload.py [SEEDS]

Runs each of SEEDS seeds (default 3) twice on loopback, without the overload and with it. The other tenants'
requests are sent at random times that do not depend on the responses (an open loop). Prints for each run how
many requests were sent to the overloaded tenant, how many of the others' requests were served, and their
latency.
"""

from __future__ import annotations

import asyncio
import random
import sys
from typing import NamedTuple

from aiohttp import web
from host_stubs import LISTEN, StubServer, request_head, running_host

OTHER_TENANT_COUNT = 19
RUN_S = 8.0
REQUESTS_PER_TENANT_PER_S = 6.0
OVERLOAD_CLIENT_COUNT = 64
SERVICE_TIME_MS = 20.0
STALL_S = 3600.0
ACCOUNT_COUNT = 40
REQUEST_TIMEOUT_MS = 2000
DEFAULT_SEED_COUNT = 3


class Outcome(NamedTuple):
    """The result of a request, and its latency, counted from the time at which it was due."""

    served: bool
    latency_ms: float


class SlowEndpoints(StubServer):
    """A stub server whose endpoint stalls for tenant t0 and takes `SERVICE_TIME_MS` for the others."""

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers as the endpoint, after the delay."""
        is_stalled = request.headers["Host"].startswith("t0.")
        await asyncio.sleep(STALL_S if is_stalled else SERVICE_TIME_MS / 1000)
        return await super().answer(request)


async def send_request(host: str, request_id: str) -> bool:
    """Sends a request on a new connection; returns whether it got a 200."""
    reader, writer = await asyncio.open_connection(*LISTEN)
    try:
        account = sum(map(ord, request_id)) % ACCOUNT_COUNT
        writer.write(request_head(host, request_id, account, REQUEST_TIMEOUT_MS))
        return b" 200 " in await reader.readuntil(b"\r\n")
    except (OSError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()


async def overload(end: float) -> int:
    """Sends requests to the stalled tenant, one after the other without a pause; returns their number."""
    loop = asyncio.get_running_loop()
    count = 0
    while loop.time() < end:
        await send_request("t0.example", f"r{random.getrandbits(48):x}")
        count += 1
    return count


async def send_at_random_times(seed: int, end: float) -> list[Outcome]:
    """Sends requests to the other tenants as a Poisson process, regardless of the responses."""
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    outcomes: list[Outcome] = []

    async def send_timed(host: str, request_id: str, due: float) -> None:
        served = await send_request(host, request_id)
        outcomes.append(Outcome(served, (loop.time() - due) * 1000))

    tasks: list[asyncio.Task[None]] = []
    due = loop.time()
    while due < end:
        due += rng.expovariate(OTHER_TENANT_COUNT * REQUESTS_PER_TENANT_PER_S)
        await asyncio.sleep(max(0.0, due - loop.time()))
        host = f"t{1 + rng.randrange(OTHER_TENANT_COUNT)}.example"
        request_id = f"o{seed}-{len(tasks) + 1}"
        tasks.append(asyncio.create_task(send_timed(host, request_id, due)))
    await asyncio.gather(*tasks)
    return outcomes


async def run_once(seed: int, is_overloaded: bool, address: str) -> str:
    """Starts a host and sends it the requests of one run; returns the line to print."""
    async with running_host(OTHER_TENANT_COUNT + 1, address):
        end = asyncio.get_running_loop().time() + RUN_S
        client_count = OVERLOAD_CLIENT_COUNT if is_overloaded else 0
        overload_tasks = [asyncio.create_task(overload(end)) for _ in range(client_count)]
        outcomes = await send_at_random_times(seed, end)
        overload_count = sum(await asyncio.gather(*overload_tasks))
    latencies = sorted(outcome.latency_ms for outcome in outcomes if outcome.served)
    load = f"overload of {overload_count}" if is_overloaded else "no overload"
    return (
        f"seed {seed}, {load:>17}: {len(latencies) / len(outcomes):.3f} of {len(outcomes)} served, "
        f"p50 {latencies[len(latencies) // 2]:.0f} ms, p99 {latencies[len(latencies) * 99 // 100]:.0f} ms"
    )


async def main() -> None:
    """Prints two lines for each seed: without the overload and with it."""
    seed_count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEED_COUNT
    endpoints = SlowEndpoints()
    await endpoints.open()
    for seed in range(1, seed_count + 1):
        for is_overloaded in (False, True):
            print(await run_once(seed, is_overloaded, endpoints.address))


if __name__ == "__main__":
    asyncio.run(main())
