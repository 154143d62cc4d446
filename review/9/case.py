"""A host gets SIGTERM while callers of its administration API have not finished their calls."""

from __future__ import annotations

import asyncio
import hashlib
import os
import pathlib
import random
import signal
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab_2 import HOST, ROOT, TROUBLE, Agent, Case, Client, CouldNotRun, Gateway, Worker, free_port, main, now

CALLERS = 2
WORKERS = 4
CLIENTS = 150
PAUSE_S = (1.0, 8.0)
LONGEST_S = 2.5  # the longest deadline of the tenant
LINGER_S = 0.7
TOKEN = "token-of-this-case"

FILE = """version = 1
[host]
name = "h0"
listen = "{listen}"
api = "{api}"
state = "{state}"
[limits]
sockets = 1024
memory_mb = 192
[[token]]
id = "ops"
role = "operator"
sha256 = "{sha256}"
[[tenant]]
name = "a"
route = [{{ host = "origin.svc" }}]
discovery = "{discovery}"
plan = [{{ name = "basic", units_per_s = 1000, burst_units = 5000 }}]
[[tenant.product]]
name = "preview"
sla_ms = 1500
expiry_ms = 2500
repeat = "inquiry-like"
[[tenant.product]]
name = "sold-copy"
value = 3
sla_ms = 800
expiry_ms = 2500
repeat = "once-only"
"""


class HostProcess(Gateway):
    """A host process, started as deploy/host.toml says."""

    api_port = 0

    def start(self) -> None:
        self.api_port = free_port()
        path = self.folder / "host.toml"
        path.write_text(FILE.format(
            listen=f"{HOST}:{self.port}", api=f"{HOST}:{self.api_port}", state=self.folder,
            sha256=hashlib.sha256(TOKEN.encode()).hexdigest(), discovery=self.discovery,
        ))  # fmt: skip
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [ROOT / ".venv/bin/drumgw", "host", path], cwd=ROOT, env=dict(os.environ), stdout=log, stderr=log
            )


async def call_unfinished(host: HostProcess) -> asyncio.StreamWriter:
    """Begins a call of the API, and sends half of its body."""
    _, writer = await asyncio.open_connection(HOST, host.api_port)
    writer.write(
        f"POST /v1/tenants HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {TOKEN}\r\n"
        'Content-Type: application/json\r\nContent-Length: 1000\r\n\r\n{"name": "b"'.encode()
    )
    await writer.drain()
    return writer


async def play(case: Case) -> bool:
    rng = random.Random()
    workers = [await case.open(Worker(f"s-{n}", case.record, lambda: rng.uniform(0.23, 0.42))) for n in range(WORKERS)]
    agent = await case.open(Agent(case.record, workers))
    host = HostProcess(case.temporary, "h0", agent.address, agent.known(), {})
    case.gateways.append(host)
    host.start()
    await host.wait_ready()
    clients = [Client(host.port, case.record, rng.getrandbits(32)) for _ in range(CLIENTS)]
    for client in clients:
        client.sends_again = False  # it would find nobody, and what counts is how the first connection ended
    killed_at = 0.0
    terminated_at = 0.0

    async def story() -> None:
        nonlocal killed_at, terminated_at
        await asyncio.sleep(10.0)
        callers = [await call_unfinished(host) for _ in range(CALLERS)] if TROUBLE else []
        await asyncio.sleep(0.2)
        host.signal(signal.SIGTERM)
        terminated_at = now()
        case.record.line("SIGTERM")
        await asyncio.sleep(LINGER_S + LONGEST_S)
        case.record.line(f"SIGKILL, exit code before it: {host.process.poll()}")
        host.signal(signal.SIGKILL)
        killed_at = now()
        for writer in callers:
            writer.transport.abort()

    async def ask(client: Client) -> None:
        """Asks now and then, on the connection that the client keeps; no new ones come 0.3 s after SIGTERM."""
        while True:
            await asyncio.sleep(rng.uniform(*PAUSE_S))
            is_ending = terminated_at and now() > terminated_at + 0.3
            if killed_at or (is_ending and (not client.idle or client.idle[-1][0].at_eof())):
                return
            name = "preview" if rng.random() < 0.61 else "sold-copy"
            await client.request(name, rng.randrange(200), "basic", 2500.0)

    await asyncio.gather(story(), *(ask(client) for client in clients))
    results = [result for client in clients for result in client.results]
    if not any(result.status == 200 for result in results):
        raise CouldNotRun("nothing was served")
    ran = {request_id for worker in workers for request_id, _, _ in worker.runs}
    lost = [
        result
        for result in results
        if result.status == 0
        and terminated_at + LINGER_S < result.sent_at < killed_at - 0.02
        and result.ended_at >= killed_at
        and result.request_id in ran  # so the host had read it
    ]
    for result in lost:
        case.record.line(f"LOST  {result.request_id} sent {result.sent_at - terminated_at:.3f} s after SIGTERM, {result.how}")
    after = sum(result.sent_at > terminated_at + LINGER_S and result.how != "refused" for result in results)
    case.record.say(f"{len(results)} requests, {after} of them taken later than {LINGER_S} s after SIGTERM, {len(lost)} of those unanswered at SIGKILL")
    return bool(lost)


main(__file__, play)
