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
        self.held = self.worker.accept_connection(self.gate)
        self.lab.endpoint_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lab.endpoint_connections.discard(self)
        if self.held:
            self.worker.connection_closed(self.gate)
        if self.ticket is not None and self.ticket.state != "over":
            self.worker.abandon(self.ticket)

    def message(self, head: bytes, body: bytes, first_at: float) -> None:
        world, name = self.lab.environment, headers(head).get("request-id", "")
        if world.is_partitioned(self.gate, self.worker.zone):
            return
        asked = world.clients.known_attempts.get(name)
        self.ticket = ReceivedAttempt(world.next_attempt_number(), name, asked, self.gate, self.told)
        if asked is None:
            self.worker.log_received(self.ticket, first_at)
            self.write(answer(400 if name else 404))
        elif not self.held:
            self.worker.log_received(self.ticket, first_at)
            self.worker.end_attempt(self.ticket, "full", ran=False)
        else:
            self.worker.receive(self.ticket, first_at)

    def told(self, ticket: ReceivedAttempt, says: Says) -> None:
        if self.lab.environment.is_partitioned(self.gate, self.worker.zone):
            return
        if says == "settled":
            assert ticket.client_attempt is not None
            self.write(
                answer(
                    200,
                    ticket.attempt_id.encode(),
                    Billed_Units=str(ticket.client_attempt.request.arrival.true_units),
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
        ready, counter = self.turns.take(), self.lab.environment.counter
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
        registry = self.lab.environment.discovery
        if registry.is_silent:
            return  # the agent says nothing while discovery is down
        told = registry.updates_since(self.gate, since)
        if told is not None:
            self.tell(told)
            return
        timer = self.lab.clock.call_at(self.clock() + min(wait, 60000.0), lambda: self.wake(since))

        def woken() -> None:
            timer.cancel()
            self.wake(since)

        registry.watchers[self.gate] = woken

    def wake(self, since: int | None) -> None:
        registry = self.lab.environment.discovery
        registry.watchers[self.gate] = None
        if not registry.is_silent:
            self.tell(
                registry.updates_since(self.gate, since)
                or {
                    "generation": since or registry.seen_generations[self.gate],
                    "reset": False,
                    "instances": [],
                }
            )

    def tell(self, told: dict[str, Any]) -> None:
        if self.transport is not None and not self.transport.is_closing():
            rows = [
                {**row, "hostPort": self.lab.address(self.gate, row["instanceId"])}
                for row in told["instances"]
            ]
            self.write(answer(200, json.dumps({**told, "instances": rows}).encode()))
