"""Stand-ins on sockets: each gatekeeper has addresses of its own for every party, so all know who asks."""

from __future__ import annotations

import asyncio
import json
import math
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from drumgw.testbed.endpoint import EmulatedEndpoint, ReceivedAttempt, Says
from drumgw.testbed.http_wire import Messages, Turns, answer, headers

if TYPE_CHECKING:
    from drumgw.testbed.socket_runner import SocketRunner

NOISE = b"\x00\x01spoilt\xff\r\n\r\n"


class Line(Messages):
    """A gatekeeper's connection to a stand-in."""

    def __init__(self, lab: SocketRunner, gate: int) -> None:
        super().__init__()
        self.lab, self.gate = lab, gate

    def clock(self) -> float:
        return self.lab.clock.now()


class WorkerLine(Line):
    """A connection to a worker; one submission at a time."""

    def __init__(self, lab: SocketRunner, worker: EmulatedEndpoint, gate: int) -> None:
        super().__init__(lab, gate)
        self.worker = worker
        self.ticket: ReceivedAttempt | None = None
        self.held = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.held = self.worker.takes(self.gate)
        self.lab.worker_lines.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lab.worker_lines.discard(self)
        if self.held:
            self.worker.closed(self.gate)
        if self.ticket is not None and self.ticket.state != "over":
            self.worker.give_up(self.ticket)

    def message(self, head: bytes, body: bytes, first_at: float) -> None:
        world, name = self.lab.world, headers(head).get("request-id", "")
        if world.parted(self.gate, self.worker.zone):
            return
        asked = world.clients.works.get(name)
        self.ticket = ReceivedAttempt(world.ticket(), name, asked, self.gate, self.told)
        if asked is None:
            self.worker.sight(self.ticket, first_at)
            self.write(answer(400 if name else 404))
        elif not self.held:
            self.worker.sight(self.ticket, first_at)
            self.worker.end(self.ticket, "full", ran=False)
        else:
            self.worker.come(self.ticket, first_at)

    def told(self, ticket: ReceivedAttempt, says: Says) -> None:
        if self.lab.world.parted(self.gate, self.worker.zone):
            return
        if says == "settled":
            assert ticket.asked is not None
            self.write(
                answer(
                    200,
                    ticket.name.encode(),
                    Billed_Units=str(ticket.asked.order.arrival.true_units),
                    Server_Load=f"TEXT mean_ms={self.worker.service_ms:.1f}",
                )
            )
        elif says == "full":
            self.write(answer(503, Not_Started="1"))
        elif says == "error":
            self.write(answer(500))
        elif says == "spoilt":
            self.write(NOISE)
        else:
            self.abort()


class CounterLine(Line):
    """Calls may be written one behind another; answers come in their order."""

    def __init__(self, lab: SocketRunner, gate: int) -> None:
        super().__init__(lab, gate)
        self.turns = Turns(self.write)

    def message(self, head: bytes, body: bytes, first_at: float) -> None:
        ready, counter = self.turns.take(), self.lab.world.counter
        called = read_call(head)
        if called is None or counter is None:
            ready(answer(400))
            return
        name, amount, lives = called
        counter.call(
            self.gate,
            name,
            amount,
            lives,
            lambda says, total: ready(
                answer(200, f"{total:.7g}".encode()) if says == "added" else answer(503)
            ),
        )


def read_call(head: bytes) -> tuple[str, float, float] | None:
    method, target, _ = head.split(b"\r\n", 1)[0].decode("latin-1").split(" ", 2)
    url = urlsplit(target)
    query = parse_qs(url.query)
    try:
        amount, lives = float(query["by"][0]), float(query["expire_ms"][0])
    except (KeyError, ValueError):
        return None
    name = url.path.removeprefix("/counters/")
    fits = method == "POST" and url.path != name and 1 <= len(name) <= 64 and abs(amount) <= 1e9
    return (name, amount, lives) if fits and math.isfinite(amount) and math.isfinite(lives) else None


class RegistryLine(Line):
    """The agent: lists and watches."""

    def message(self, head: bytes, body: bytes, first_at: float) -> None:
        target = head.split(b" ", 2)[1].decode("latin-1")
        query = parse_qs(urlsplit(target).query)
        since = int(query["since"][0]) if "since" in query else None
        wait = float(query["timeout_ms"][0]) if "timeout_ms" in query else 0.0
        registry = self.lab.world.registry
        if registry.lost:
            return  # the agent says nothing while discovery is down
        told = registry.news(self.gate, since)
        if told is not None:
            self.tell(told)
            return
        timer = self.lab.clock.at(self.clock() + min(wait, 60000.0), lambda: self.wake(since))

        def woken() -> None:
            timer.cancel()
            self.wake(since)

        registry.waiting[self.gate] = woken

    def wake(self, since: int | None) -> None:
        registry = self.lab.world.registry
        registry.waiting[self.gate] = None
        if not registry.lost:
            self.tell(
                registry.news(self.gate, since)
                or {"generation": since or registry.seen[self.gate], "reset": False, "instances": []}
            )

    def tell(self, told: dict[str, Any]) -> None:
        if self.transport is not None and not self.transport.is_closing():
            rows = [
                {**row, "hostPort": self.lab.address(self.gate, row["instanceId"])}
                for row in told["instances"]
            ]
            self.write(answer(200, json.dumps({**told, "instances": rows}).encode()))
