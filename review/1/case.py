"""Case 1: a few bad clients at full speed take a gateway over its memory limit within seconds.

Three gateways take 60 usual requests a second each. At each gateway four bad clients send what cannot be used,
and send the same again the moment it is turned away: two of them heads that never end, two bodies of 60 MB
(rude.py). This process plays the platform, which kills a gateway that is over `memory_mb`. It counts only memory
that is the process's own and not backed by a file (RssAnon).
"""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import sys
from collections import Counter as Tally
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import Agent, Answer, Client, Counter, Gateway, Record, Worker, now_ms  # noqa: E402

GATEWAYS = 3
WORKERS = 8
RATE_PER_S = 60.0
ONCE_SHARE = 0.39
CUSTOMERS = 4000
QUIET_MS = 3000.0
BAD_CLIENTS = 4
BAD_S = 25
SAMPLE_S = 0.02
NOTE_EVERY = 25
"""Every so many samples are written to the record."""


def memory_mb(gateway: Gateway) -> float:
    """Returns the anonymous resident memory of a gateway's process; 0 if it has ended."""
    assert gateway.process is not None
    try:
        status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    except OSError:
        return 0.0
    kilobytes = [line.split()[1] for line in status.splitlines() if line.startswith("RssAnon:")]
    return int(kilobytes[0]) / 1024 if kilobytes else 0.0


class Platform:
    """Watches the memory of a gateway, and kills it over the limit."""

    def __init__(self, gateway: Gateway, record: Record) -> None:
        self.gateway = gateway
        self.record = record
        self.limit_mb = float(gateway.config["limits"]["memory_mb"])
        self.most_mb = 0.0
        self.crash = ""
        """Why the gateway has crashed; empty if it has not."""

    async def watch(self) -> None:
        """Runs until the gateway has crashed."""
        process = self.gateway.process
        assert process is not None
        samples = 0
        while not self.crash:
            used_mb = memory_mb(self.gateway)
            self.most_mb = max(self.most_mb, used_mb)
            if samples % NOTE_EVERY == 0:
                self.record.write(self.gateway.name, f"holds {used_mb:.0f} MB")
            samples += 1
            if process.poll() is not None:
                self.crash = f"exited with {process.returncode}"
            elif used_mb > self.limit_mb:
                self.crash = f"killed for memory: {used_mb:.0f} MB, the limit is {self.limit_mb:.0f} MB"
                self.gateway.signal(signal.SIGKILL)
            await asyncio.sleep(SAMPLE_S)
        self.record.write("CRASH", f"{self.gateway.name} {self.crash}")


async def case(record: Record, folder: Path, has_trouble: bool) -> int:
    """Runs the case; see the module's docstring."""
    workers = [
        Worker(f"s-{index}", record, lambda r: random.expovariate(1 / (127.0 if r.method == "POST" else 320.0)))
        for index in range(WORKERS)
    ]
    counter = Counter(record)
    agents = [Agent(f"agent-{index}", record) for index in range(GATEWAYS)]
    for server in (*workers, counter, *agents):
        await server.open()
    rows = [standins.row(worker, "hall-" + "abc"[index % 3], index % 3) for index, worker in enumerate(workers)]
    gateways, clients = [], []
    for index, address in enumerate(standins.free_addresses(GATEWAYS)):
        agents[index].set_rows(rows)
        config = standins.gateway_config(
            f"n{index}", address, agents[index], counter, standins.settings(index, GATEWAYS)
        )
        gateways.append(Gateway(f"n{index}", folder, config, record))
        clients.append(Client(f"till-{index}", address, record))
    platforms = [Platform(gateway, record) for gateway in gateways]
    sending: set[asyncio.Task[Answer]] = set()
    watching: list[asyncio.Task[None]] = []
    bad: list[subprocess.Popen[str]] = []

    async def load(client: Client, platform: Platform, end_ms: float) -> None:
        next_ms = now_ms()
        while next_ms < end_ms and not platform.crash:
            next_ms += random.expovariate(RATE_PER_S) * 1000.0
            await asyncio.sleep(max(0.0, next_ms - now_ms()) / 1000.0)
            once = random.random() < ONCE_SHARE
            task = asyncio.ensure_future(
                client.send(
                    "/sold-copy/7" if once else "/preview/7",
                    random.randrange(CUSTOMERS),
                    "basic",
                    round((2500.0 if once else 10000.0) * random.uniform(0.5, 1.0)),
                    once,
                    f"units=1,spread={GATEWAYS},first=0",
                    b"one copy" if once else b"",
                )
            )
            sending.add(task)
            task.add_done_callback(sending.discard)

    async def send_bad() -> None:
        for gateway in gateways:
            host, port = gateway.address.rsplit(":", 1)
            command = [sys.executable, str(FOLDER / "rude.py"), host, port, str(BAD_CLIENTS), str(BAD_S)]
            record.write("bad", f"{BAD_CLIENTS} bad clients begin at {gateway.name}")
            bad.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))
        while any(process.poll() is None for process in bad) and not all(p.crash for p in platforms):
            await asyncio.sleep(0.1)
        for process, gateway in zip(bad, gateways, strict=True):
            process.send_signal(signal.SIGTERM)  # it ends its clients and prints what they got
            output, _ = await asyncio.to_thread(process.communicate)
            record.write("bad", f"at {gateway.name}: {output.strip()}")

    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                raise RuntimeError(f"{gateway.name} is not ready: {gateway.log()}")
        end_ms = now_ms() + QUIET_MS + BAD_S * 1000.0
        watching += [asyncio.ensure_future(platform.watch()) for platform in platforms]
        loads = [asyncio.ensure_future(load(c, p, end_ms)) for c, p in zip(clients, platforms, strict=True)]
        await asyncio.sleep(QUIET_MS / 1000.0)
        if has_trouble:
            await send_bad()
        await asyncio.gather(*loads)
        while sending:
            await asyncio.sleep(0.05)
        return judge(record, platforms, clients)
    finally:
        for task in watching:
            task.cancel()
        for process in bad:
            if process.poll() is None:
                process.kill()
                process.wait()
        for gateway in gateways:
            gateway.end()
        for client in clients:
            client.close()
        for server in (*workers, counter, *agents):
            server.close()


def judge(record: Record, platforms: list[Platform], clients: list[Client]) -> int:
    """Looks for gateways that crashed."""
    statuses = Tally(answer.status for client in clients for answer in client.answers)
    record.write("test", f"usual requests by status (0: no answer): {dict(statuses)}")
    for platform in platforms:
        state = platform.crash or "runs"
        record.write("test", f"{platform.gateway.name}: {state}; at most {platform.most_mb:.0f} MB")
    crashed = [platform for platform in platforms if platform.crash]
    most = ", ".join(f"{platform.most_mb:.0f}" for platform in platforms)
    unanswered = statuses[0]
    print(f"gateways that crashed: {len(crashed)} of {len(platforms)}; most memory {most} MB; unanswered {unanswered}")
    return standins.BROKEN if crashed else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(case, FOLDER))
