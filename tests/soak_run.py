"""One seeded soak run: a gateway process under signals, changing endpoints and, on some seeds, a crowd.

Usage: python -m tests.soak_run FIRST_SEED LAST_SEED. Runs the seeds one after the other, prints a line for
each and a line for each broken rule, and exits with 1 if there is one.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import uvloop

from tests.flood_clients import Flood
from tests.soak_clients import SentRequest, SoakClient
from tests.soak_gateway import SoakGateway
from tests.soak_peers import Attempt, SoakAgent, SoakEndpoint, now_ms
from tests.soak_rules import broken_rules

RUN_S = 8.0
CLIENTS = 12
ENDPOINTS = 4
SAMPLE_S = 0.05
SETTLE_S = 8.0
"""Longer than any deadline with its half second: all requests have ended by then."""
DEADLINES_MS = (400.0, 900.0, 2500.0, 6000.0)
MEMORY_LIMITS_MB = (64.0, 96.0, 192.0)
CROWD_EVERY_SEEDS = 3
MAX_CROWD = 560
CROWD_FLOODS = (
    Flood.SMALL_CHUNKS,
    Flood.FIELDS_AND_HALF_BODY,
    Flood.PARTIAL_BODY,
    Flood.PIPELINE,
    Flood.LARGE_PIPELINE,
    Flood.UNREAD_PIPELINE,
    Flood.NEW_CUSTOMERS,
)


class SoakResult(NamedTuple):
    """What a run has shown.

    Attributes:
        problems: The rules that were broken, a line each.
        summary: One line of figures.
    """

    problems: list[str]
    summary: str


class SoakRun:
    """One run; all its choices follow from the seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.choices = random.Random(seed)
        self.attempts: dict[str, list[Attempt]] = {}
        self.endpoints = [
            SoakEndpoint(f"s-{number}", self.attempts, random.Random(f"{seed}-{number}"))
            for number in range(ENDPOINTS)
        ]
        self.agent = SoakAgent(self.endpoints)
        self.deadline_ms = self.choices.choice(DEADLINES_MS)
        self.memory_mb = self.choices.choice(MEMORY_LIMITS_MB)
        self.has_crowd = not seed % CROWD_EVERY_SEEDS
        self.most_lag_ms = 0.0
        self.clients: list[SoakClient] = []

    async def run(self) -> SoakResult:
        """Plays the run."""
        for endpoint in self.endpoints:
            await endpoint.open()
        await self.agent.open()
        self.gateway = SoakGateway(
            self.agent.addresses[0], self.agent.rows(), self.deadline_ms, self.memory_mb
        )
        await self.gateway.start()
        watching = asyncio.create_task(self._watch())
        self.clients = [self._client(number) for number in range(CLIENTS)]
        sending = [asyncio.create_task(client.run()) for client in self.clients]
        crowd = [asyncio.create_task(self._run_crowd())] if self.has_crowd else []
        try:
            await asyncio.gather(
                self._repeat(self._restart, 3.0),
                self._repeat(self._reload, 0.8),
                self._repeat(self._change_endpoint, 1.5),
                *crowd,
            )
            for client in self.clients:
                client.is_stopping = True
            await asyncio.wait(sending, timeout=SETTLE_S)
            await self.gateway.end()
        finally:
            for task in (watching, *sending, *crowd):
                task.cancel()
            self._close()
        return self._result()

    def _client(self, number: int) -> SoakClient:
        choices = random.Random(f"{self.seed}-client-{number}")
        return SoakClient(f"c{number}", self.gateway.port, choices, self.deadline_ms, self._may_cross)

    def _may_cross(self, request_id: str, is_new: bool) -> bool:
        """Whether a request whose connection was closed without an answer may not have been read.

        It was if it was sent on. The first request of a connection may be closed unread only by a process
        that ends, or while a crowd fills the connections.
        """
        if request_id in self.attempts:
            return False
        return not is_new or self.gateway.is_ending or self.has_crowd

    # What happens during a run

    async def _repeat(self, action: Callable[[], Awaitable[None]], mean_pause_s: float) -> None:
        """Repeats an action after random pauses until the run is over."""
        end_ms = now_ms() + RUN_S * 1000
        while True:
            pause_s = self.choices.uniform(0.2, 1.8) * mean_pause_s
            if now_ms() + pause_s * 1000 > end_ms:
                return
            await asyncio.sleep(pause_s)
            await action()

    async def _restart(self) -> None:
        """Ends the process, with further signals while it shuts down, and starts it again.

        Some endpoints may hang from shortly before until it has ended.
        """
        hanging = self.choices.sample(self.endpoints, self.choices.randrange(ENDPOINTS))
        for endpoint in hanging:
            endpoint.is_hanging = True
        await asyncio.sleep(self.choices.uniform(0.0, 0.5))
        ending = asyncio.create_task(self.gateway.end())
        for _ in range(self.choices.randrange(4)):
            await asyncio.sleep(self.choices.uniform(0.0, 0.3))
            if not ending.done():
                self.gateway.signal(self.choices.choice((signal.SIGTERM, signal.SIGHUP)))
        await ending
        for endpoint in hanging:
            endpoint.is_hanging = False
        await self.gateway.start()

    async def _reload(self) -> None:
        """Sends SIGHUP, once or several times in a row, after a change of the configuration."""
        if self.gateway.is_ending:
            return
        if self.choices.random() < 0.3:
            self.gateway.spoil_config()
        else:
            self.gateway.write_config(self.choices.choice(self.agent.addresses))
        for _ in range(self.choices.randint(1, 3)):
            self.gateway.signal(signal.SIGHUP)
        await asyncio.sleep(0.1)
        self.gateway.write_config()

    async def _change_endpoint(self) -> None:
        """Drains an endpoint and later replaces its process, or replaces it at once."""
        endpoint = self.choices.choice([e for e in self.endpoints if e.state == "up"])
        if self.choices.random() < 0.5:
            endpoint.state = "draining"
            self.agent.publish()
            await asyncio.sleep(self.choices.uniform(0.5, 1.5))
        keeps_name = self.choices.random() < 0.5 and endpoint.state == "up"
        name = endpoint.name if keeps_name else f"s-{len(self.agent.drains_told_ms)}-{now_ms():.0f}"
        await endpoint.replace(name)
        self.agent.publish()

    async def _run_crowd(self) -> None:
        flood = self.choices.choice(CROWD_FLOODS)
        clients = self.choices.randint(50, MAX_CROWD)
        await asyncio.sleep(self.choices.uniform(0.0, 2.0))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tests.flood_clients", "127.0.0.1", str(self.gateway.port)),
            *(flood.name, str(clients), str(self.choices.uniform(2.0, 5.0))),
            stdout=asyncio.subprocess.DEVNULL,
        )
        await process.wait()

    async def _watch(self) -> None:
        """Samples the gateway, and how late this process itself is."""
        while True:
            began_ms = now_ms()
            await asyncio.sleep(SAMPLE_S)
            self.most_lag_ms = max(self.most_lag_ms, now_ms() - began_ms - SAMPLE_S * 1000)
            self.gateway.check_alive()

    def _close(self) -> None:
        for endpoint in self.endpoints:
            endpoint.close()
        self.agent.close()
        for client in self.clients:
            client.close()
        self.gateway.signal(signal.SIGKILL)
        self.gateway.close()

    # What was seen

    def _result(self) -> SoakResult:
        requests: list[SentRequest] = [request for client in self.clients for request in client.requests]
        problems = self.gateway.problems + broken_rules(requests, self.attempts, self.agent.drains_told_ms)
        if self.gateway.most_mb > self.memory_mb:
            problems.append(f"{self.gateway.most_mb:.0f} MB resident of {self.memory_mb:.0f}")
        if not any(request.status == 200 for request in requests):
            problems.append("no request was served")
        statuses = Counter(request.status or request.ending.name for request in requests)
        crowd = "crowd" if self.has_crowd else "no crowd"
        summary = (
            f"seed {self.seed}: {len(problems)} problems, {len(requests)} requests {dict(statuses)}, "
            f"{sum(request.crossings for request in requests)} crossed, deadline {self.deadline_ms:.0f} ms, "
            f"{crowd}, {self.gateway.most_mb:.0f} of {self.memory_mb:.0f} MB, "
            f"{self.gateway.kill_count} killed, own lag {self.most_lag_ms:.0f} ms"
        )
        return SoakResult(problems, summary)


def run_seed(seed: int) -> SoakResult:
    """Plays the run of a seed in an event loop of its own."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(SoakRun(seed).run())


def main() -> int:
    """Runs the seeds of the command line; returns the exit code."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    has_failed = False
    for seed in range(first, last + 1):
        result = run_seed(seed)
        print(result.summary, flush=True)
        for problem in result.problems:
            print(f"  {problem}", flush=True)
        has_failed = has_failed or bool(result.problems)
    return int(has_failed)


if __name__ == "__main__":
    sys.exit(main())
