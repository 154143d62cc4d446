"""A stand-in worker: cores, a queue, a cold start and falling over, drains, and what can be wrong with it.

No I/O: whoever carries submissions to it (a socket, or the virtual wire) hands in a Ticket and is told once.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Literal

from drumgw.config.sections import RulesSection
from drumgw.testbed.clocks import Handle, TestbedClock
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.scenario import EndpointSection

if TYPE_CHECKING:
    from drumgw.testbed.clients import ClientAttempt

Says = Literal["settled", "error", "full", "reset", "spoilt"]
Tell = Callable[["ReceivedAttempt", Says], None]


class ReceivedAttempt:
    """One submission that came whole to a worker. Told once, unless it was given up or its answer is lost."""

    __slots__ = ("number", "attempt_id", "client_attempt", "gateway", "on_end", "endpoint", "state", "timer")

    def __init__(self, number: int, name: str, asked: ClientAttempt | None, gate: int, tell: Tell) -> None:
        self.number, self.attempt_id, self.client_attempt, self.gateway, self.on_end = (
            number,
            name,
            asked,
            gate,
            tell,
        )
        self.endpoint: EmulatedEndpoint | None = None
        self.state: Literal["queued", "running", "over"] = "queued"
        self.timer: Handle | None = None


@dataclass
class ActiveFaults:
    """What is wrong with a worker now; troubles change it and put it back."""

    slowdown: float = 1.0
    failing_classes: set[str | None] = field(default_factory=set)  # products; none: all
    is_silent: bool = False  # takes connections and says nothing
    reset_share: float = 0.0  # share of submissions whose connection breaks
    lost_share: float = 0.0  # share whose answer never comes, though they ran
    delay_ms: float = 0.0
    corrupt_share: float = 0.0
    max_connections: int | None = None


class DeduplicationStore:
    """Referenced txns that groups of workers remember; emptied by time."""

    def __init__(self, clock: TestbedClock) -> None:
        self.clock, self.remembered_until = clock, dict[tuple[str, object], float]()

    def is_repeat(self, name: str, group: object, for_ms: float) -> bool:
        now = self.clock.now()
        self.remembered_until = (
            {k: until for k, until in self.remembered_until.items() if until > now}
            if len(self.remembered_until) > 999
            else self.remembered_until
        )
        known = self.remembered_until.get((name, group), 0.0) > now
        if not known:
            self.remembered_until[name, group] = now + for_ms
        return known


def nothing() -> None: ...


class EmulatedEndpoint:
    def __init__(
        self,
        name: str,
        number: int,
        zone: str,
        cell: int,
        born_ms: float | None,
        kind: EndpointSection,
        rules: RulesSection,
        clock: TestbedClock,
        record: EventLog,
        memory: DeduplicationStore,
        chance: random.Random,
    ) -> None:
        self.name, self.number, self.zone, self.cell, self.started_at_ms = name, number, zone, cell, born_ms
        self.section, self.rules, self.clock, self.event_log, self.deduplication = (
            kind,
            rules,
            clock,
            record,
            memory,
        )
        self.random, self.faults = chance, ActiveFaults()
        self.speed = kind.speed * chance.uniform(1 - kind.speed_spread, 1 + kind.speed_spread)
        self.is_up, self.is_draining = True, False
        self.running: dict[int, ReceivedAttempt] = {}  # emptied as they end
        self.queue: deque[ReceivedAttempt] = deque()  # bounded by the kind's queue
        self.connections: dict[int, int] = {}  # connections by gatekeeper; emptied as they close
        self.recent_work: deque[tuple[float, float]] = deque()  # work that came within the falling time
        self.service_ms = 0.0
        self.on_down: Callable[[], None] = nothing  # what its machine does then, where it is on sockets
        self.on_up: Callable[[], None] = nothing
        record.add(
            clock.now(),
            "worker",
            worker=name,
            state="starts",
            zone=zone,
            cell=cell,
            cold=born_ms is not None,
            cores=kind.cores,
            speed=round(self.speed, 4),
        )

    # Connections

    def accept_connection(self, gate: int) -> bool:
        """A new connection; the machine refuses it when it is down or holds as many as it can."""
        most = (
            self.faults.max_connections
            if self.faults.max_connections is not None
            else self.section.connections
        )
        if not self.is_up or sum(self.connections.values()) >= most:
            return False
        self.connections[gate] = self.connections.get(gate, 0) + 1
        return True

    def connection_closed(self, gate: int) -> None:
        self.connections[gate] = self.connections.get(gate, 0) - 1
        if self.connections[gate] <= 0:
            del self.connections[gate]

    # Submissions

    def warm_up_fraction(self) -> float:
        if self.started_at_ms is None:
            return 1.0
        age = (self.clock.now() - self.started_at_ms) / max(1.0, self.rules.cold_ms)
        return min(1.0, self.rules.cold_from + (1 - self.rules.cold_from) * age)

    def receive(self, ticket: ReceivedAttempt, first_ms: float | None = None) -> None:
        """Its last byte is here. The work of what is turned away presses a cold worker too."""
        now, asked = self.clock.now(), ticket.client_attempt
        ticket.endpoint = self
        work = asked.work_ms if asked else 0.0
        self.log_received(ticket, now if first_ms is None else first_ms, work)
        if not self.is_up:
            return self.end_attempt(ticket, "reset", ran=False)
        if self.press(now, work):
            return None
        if self.faults.is_silent:
            return None  # it may stay out until it is given up
        if self.random.random() < self.faults.reset_share:
            return self.begin(ticket, "reset")
        if (
            self.is_draining
            or len(self.running) >= self.section.cores
            and len(self.queue) >= self.section.queue
        ):
            return self.end_attempt(ticket, "full", ran=False)
        if len(self.running) >= self.section.cores:
            self.queue.append(ticket)
            return None
        return self.begin(ticket)

    def log_received(self, ticket: ReceivedAttempt, first_ms: float, work: float = 0.0) -> None:
        """It came whole, whatever becomes of it."""
        self.event_log.add(
            self.clock.now(),
            "came",
            txn=ticket.attempt_id,
            ticket=ticket.number,
            worker=self.name,
            gate=ticket.gateway,
            first=round(first_ms, 3),
            work=round(work, 3),
        )

    def press(self, now: float, work: float) -> bool:
        """True where a cold worker falls over: more came within the window than it can bear."""
        warmth = self.warm_up_fraction()
        if warmth >= 1.0:
            return False
        self.recent_work.append((now, work))
        while self.recent_work[0][0] <= now - self.rules.fall_ms:
            self.recent_work.popleft()
        can = self.section.cores * self.speed * warmth * self.rules.fall_ms
        if (
            sum(w for _, w in self.recent_work) <= self.rules.fall_multiple * can + 3 * work
        ):  # a little for chance
            return False
        self.event_log.add(now, "worker", worker=self.name, state="falls")
        self.go_down(self.section.down_ms)
        return True

    def begin(self, ticket: ReceivedAttempt, ends: Says | None = None) -> None:
        asked = ticket.client_attempt
        assert asked is not None
        ticket.state = "running"
        self.running[ticket.number] = ticket
        product = asked.request_class
        took = asked.work_ms / self.speed / self.warm_up_fraction() * self.faults.slowdown
        if product.repeat == "referenced":
            group = {"all": None, "zone": self.zone, "cell": self.cell}[product.group]
            if self.deduplication.is_repeat(asked.idempotency_key, group, product.remember_ms):
                took = 0.1  # known by its reference: answered without running again
            else:
                self.event_log.add(
                    self.clock.now(),
                    "ran",
                    txn=ticket.attempt_id,
                    reference=asked.idempotency_key,
                    worker=self.name,
                )
        self.service_ms += 0.1 * (took - self.service_ms)
        ticket.timer = self.clock.call_at(
            self.clock.now() + took, lambda: self.done(ticket, ends or self.says(asked))
        )

    def says(self, asked: ClientAttempt) -> Says:
        if asked.request_class.name in self.faults.failing_classes or None in self.faults.failing_classes:
            return "error"
        return "spoilt" if self.random.random() < self.faults.corrupt_share else "settled"

    def done(self, ticket: ReceivedAttempt, says: Says) -> None:
        self.running.pop(ticket.number, None)
        if self.faults.lost_share and self.random.random() < self.faults.lost_share:
            self.event_log.add(self.clock.now(), "lost answer", txn=ticket.attempt_id, ticket=ticket.number)
        elif self.faults.delay_ms:
            self.clock.call_at(
                self.clock.now() + self.faults.delay_ms, lambda: self.end_attempt(ticket, says, ran=True)
            )
        else:
            self.end_attempt(ticket, says, ran=True)
        self.next()

    def next(self) -> None:
        while self.queue and len(self.running) < self.section.cores and self.is_up:
            self.begin(self.queue.popleft())

    def end_attempt(self, ticket: ReceivedAttempt, says: Says, ran: bool) -> None:
        if ticket.state == "over":
            return
        ticket.state = "over"
        self.event_log.add(
            self.clock.now(), "ended", txn=ticket.attempt_id, ticket=ticket.number, how=says, ran=ran
        )
        ticket.on_end(ticket, says)

    def abandon(self, ticket: ReceivedAttempt) -> None:
        """Its connection was closed by the gatekeeper. What runs goes on; what waits is dropped."""
        if ticket.state == "over":
            return
        self.event_log.add(self.clock.now(), "given up", txn=ticket.attempt_id, ticket=ticket.number)
        if ticket.state == "queued" and ticket in self.queue:
            self.queue.remove(ticket)
        ticket.state = "over"

    # The machine

    def drop_all(self, ran: bool = True) -> None:
        tickets = [*self.running.values(), *self.queue]
        self.running.clear()
        self.queue.clear()
        for ticket in tickets:
            if ticket.timer is not None:
                ticket.timer.cancel()
            self.end_attempt(ticket, "reset", ran=ran and ticket.state == "running")

    def go_down(self, for_ms: float | None) -> None:
        """Its process dies; it is back after a time, cold, or not at all."""
        self.is_up = False
        self.connections.clear()
        self.drop_all()
        self.event_log.add(self.clock.now(), "worker", worker=self.name, state="down")
        self.on_down()
        if for_ms is not None:
            self.clock.call_at(self.clock.now() + for_ms, self.come_back)

    def come_back(self) -> None:
        self.is_up, self.is_draining, self.started_at_ms = True, False, self.clock.now()
        self.recent_work.clear()
        self.event_log.add(
            self.started_at_ms,
            "worker",
            worker=self.name,
            state="starts",
            zone=self.zone,
            cell=self.cell,
            cold=True,
            cores=self.section.cores,
            speed=round(self.speed, 4),
        )
        self.on_up()
