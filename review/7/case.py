"""Bad clients send the id of another client's open request."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab_2 import TROUBLE, Agent, Case, Client, SlowLink, Worker, main, now, settings

WORKERS = 4
PLAY_S = 60.0
RATE = 40.0
CLIENT_S = 0.001  # one way between clients and gateways
WORK_S = (0.095, 0.160)
SHARE_COPIED = 0.25


async def play(case: Case) -> bool:
    rng = random.Random()
    workers = [await case.open(Worker(f"s-{n}", case.record, lambda: rng.uniform(*WORK_S))) for n in range(WORKERS)]
    agent = await case.open(Agent(case.record, workers))
    gateway = case.gateway("n0", agent.address, agent.known(), settings(1, 0))
    gateway.start()
    await gateway.wait_ready()
    link = await case.open(SlowLink(gateway.port, CLIENT_S))
    usual = Client(link.port, case.record, rng.getrandbits(32))
    bad = Client(link.port, case.record, rng.getrandbits(32))
    copies: list[str] = []

    async def ask(customer: int) -> None:
        request_id = usual.new_id()
        request = asyncio.ensure_future(usual.request("sold-copy", customer, "basic", 2500.0, request_id=request_id))
        copy = None
        if TROUBLE and rng.random() < SHARE_COPIED:
            await asyncio.sleep(rng.uniform(0.02, WORK_S[1]))
            if not request.done():  # its client still waits: it is open
                copies.append(request_id)
                case.record.line(f"copy  {request_id}")
                copy = asyncio.ensure_future(bad.request("sold-copy", 7, "basic", 2500.0, request_id=request_id))
        await request
        if copy is not None:
            await copy

    tasks = []
    end = now() + PLAY_S
    while now() < end:
        await asyncio.sleep(rng.expovariate(RATE))
        tasks.append(asyncio.ensure_future(ask(rng.randrange(200))))
    await asyncio.gather(*tasks)
    runs: dict[str, int] = {}
    for worker in workers:
        for request_id, _, _ in worker.runs:
            runs[request_id] = runs.get(request_id, 0) + 1
    twice = [request_id for request_id, count in runs.items() if count > 1]
    served = [result.request_id for result in bad.results if result.status == 200]
    for request_id in twice:
        case.record.line(f"TWICE {request_id}")
    case.record.say(f"{len(usual.results)} requests, {len(copies)} copied while open, {len(served)} copies served, {len(twice)} once-only requests run twice")
    return bool(twice or served)


main(__file__, play)
