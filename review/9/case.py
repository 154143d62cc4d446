"""Some workers' answers never end: they consist of 1xx answers, one behind another."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab_2 import TROUBLE, Agent, Case, Client, CouldNotRun, Worker, main, now, settings

WORKERS = 4
PLAY_S = 30.0
TROUBLE_FROM_S = 5.0
RATE = 30.0
SHARE_ENDLESS = 0.01
PIECE = b"HTTP/1.1 102 Processing\r\n\r\n" * 2000
PIECE_EVERY_S = 0.001
LATEST_S = 0.55  # half a second after its time, and the 50 ms of the rules on sockets


class EndlessWorker(Worker):
    endless = 0
    begins_at = 0.0

    async def respond(self, reader, writer, request_id) -> bool:
        if TROUBLE and now() > EndlessWorker.begins_at and random.random() < SHARE_ENDLESS:
            EndlessWorker.endless += 1
            self.record.line(f"endless {self.name} {request_id}")
            while True:
                writer.write(PIECE)
                await writer.drain()
                await asyncio.sleep(PIECE_EVERY_S)
        return await super().respond(reader, writer, request_id)


async def watch_lag(lags: list[float]) -> None:
    """Measures how late the stand-ins and clients themselves run."""
    while True:
        due = now() + 0.02
        await asyncio.sleep(0.02)
        lags.append(now() - due)


async def play(case: Case) -> bool:
    rng = random.Random()
    workers = [await case.open(EndlessWorker(f"s-{n}", case.record, lambda: rng.uniform(0.02, 0.04))) for n in range(WORKERS)]
    agent = await case.open(Agent(case.record, workers))
    gateway = case.gateway("n0", agent.address, agent.known(), settings(1, 0))
    gateway.start()
    await gateway.wait_ready()
    client = Client(gateway.port, case.record, rng.getrandbits(32))
    EndlessWorker.begins_at = now() + TROUBLE_FROM_S
    lags: list[float] = []
    watch = asyncio.ensure_future(watch_lag(lags))
    tasks = []
    end = now() + PLAY_S
    while now() < end:
        await asyncio.sleep(rng.expovariate(RATE))
        name, time_ms = ("preview", 5000.0) if rng.random() < 0.61 else ("sold-copy", 1500.0)
        tasks.append((time_ms, asyncio.ensure_future(client.request(name, rng.randrange(200), "basic", time_ms))))
    lost = 0
    worst = 0.0
    for time_ms, task in tasks:
        result = await task
        late_s = result.ended_at - result.sent_at - time_ms / 1000
        worst = max(worst, late_s)
        if late_s > LATEST_S or (result.status == 0 and result.how != "refused"):
            lost += 1
            case.record.line(f"LOST  {result.request_id} {result.status} {result.how} {late_s * 1000:.0f} ms after its time")
    watch.cancel()
    case.record.say(f"stand-ins and clients ran {max(lags) * 1000:.0f} ms late at most")
    if max(lags) > 0.2:
        raise CouldNotRun("the machine was too busy")
    case.record.say(f"{len(tasks)} requests, {EndlessWorker.endless} endless answers, {lost} lost, the latest answer {worst * 1000:.0f} ms after its time")
    return bool(lost)


main(__file__, play)
