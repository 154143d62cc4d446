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

    __slots__ = ("number", "name", "asked", "gate", "tell", "worker", "state", "timer")

    def __init__(self, number: int, name: str, asked: ClientAttempt | None, gate: int, tell: Tell) -> None:
        self.number, self.name, self.asked, self.gate, self.tell = number, name, asked, gate, tell
        self.worker: EmulatedEndpoint | None = None
        self.state: Literal["queued", "running", "over"] = "queued"
        self.timer: Handle | None = None


@dataclass
class ActiveFaults:
    """What is wrong with a worker now; troubles change it and put it back."""

    slow: float = 1.0
    failing: set[str | None] = field(default_factory=set)  # products; none: all
    silent: bool = False  # takes connections and says nothing
    resets: float = 0.0  # share of submissions whose connection breaks
    lost: float = 0.0  # share whose answer never comes, though they ran
    late_ms: float = 0.0
    spoilt: float = 0.0
    connections: int | None = None


class DeduplicationStore:
    """Referenced txns that groups of workers remember; emptied by time."""

    def __init__(self, clock: TestbedClock) -> None:
        self.clock, self.seen = clock, dict[tuple[str, object], float]()

    def repeats(self, name: str, group: object, for_ms: float) -> bool:
        now = self.clock.now()
        self.seen = (
            {k: until for k, until in self.seen.items() if until > now} if len(self.seen) > 999 else self.seen
        )
        known = self.seen.get((name, group), 0.0) > now
        if not known:
            self.seen[name, group] = now + for_ms
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
        self.name, self.number, self.zone, self.cell, self.born = name, number, zone, cell, born_ms
        self.kind, self.rules, self.clock, self.record, self.memory = kind, rules, clock, record, memory
        self.chance, self.ills = chance, ActiveFaults()
        self.speed = kind.speed * chance.uniform(1 - kind.speed_spread, 1 + kind.speed_spread)
        self.up, self.draining = True, False
        self.running: dict[int, ReceivedAttempt] = {}  # emptied as they end
        self.queue: deque[ReceivedAttempt] = deque()  # bounded by the kind's queue
        self.lines: dict[int, int] = {}  # connections by gatekeeper; emptied as they close
        self.lately: deque[tuple[float, float]] = deque()  # work that came within the falling time
        self.service_ms = 0.0
        self.went_down: Callable[[], None] = nothing  # what its machine does then, where it is on sockets
        self.came_back: Callable[[], None] = nothing
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

    def takes(self, gate: int) -> bool:
        """A new connection; the machine refuses it when it is down or holds as many as it can."""
        most = self.ills.connections if self.ills.connections is not None else self.kind.connections
        if not self.up or sum(self.lines.values()) >= most:
            return False
        self.lines[gate] = self.lines.get(gate, 0) + 1
        return True

    def closed(self, gate: int) -> None:
        self.lines[gate] = self.lines.get(gate, 0) - 1
        if self.lines[gate] <= 0:
            del self.lines[gate]

    # Submissions

    def warmth(self) -> float:
        if self.born is None:
            return 1.0
        age = (self.clock.now() - self.born) / max(1.0, self.rules.cold_ms)
        return min(1.0, self.rules.cold_from + (1 - self.rules.cold_from) * age)

    def come(self, ticket: ReceivedAttempt, first_ms: float | None = None) -> None:
        """Its last byte is here. The work of what is turned away presses a cold worker too."""
        now, asked = self.clock.now(), ticket.asked
        ticket.worker = self
        work = asked.work_ms if asked else 0.0
        self.sight(ticket, now if first_ms is None else first_ms, work)
        if not self.up:
            return self.end(ticket, "reset", ran=False)
        if self.press(now, work):
            return None
        if self.ills.silent:
            return None  # it may stay out until it is given up
        if self.chance.random() < self.ills.resets:
            return self.begin(ticket, "reset")
        if self.draining or len(self.running) >= self.kind.cores and len(self.queue) >= self.kind.queue:
            return self.end(ticket, "full", ran=False)
        if len(self.running) >= self.kind.cores:
            self.queue.append(ticket)
            return None
        return self.begin(ticket)

    def sight(self, ticket: ReceivedAttempt, first_ms: float, work: float = 0.0) -> None:
        """It came whole, whatever becomes of it."""
        self.record.add(
            self.clock.now(),
            "came",
            txn=ticket.name,
            ticket=ticket.number,
            worker=self.name,
            gate=ticket.gate,
            first=round(first_ms, 3),
            work=round(work, 3),
        )

    def press(self, now: float, work: float) -> bool:
        """True where a cold worker falls over: more came within the window than it can bear."""
        warmth = self.warmth()
        if warmth >= 1.0:
            return False
        self.lately.append((now, work))
        while self.lately[0][0] <= now - self.rules.fall_ms:
            self.lately.popleft()
        can = self.kind.cores * self.speed * warmth * self.rules.fall_ms
        if sum(w for _, w in self.lately) <= self.rules.fall_multiple * can + 3 * work:  # a little for chance
            return False
        self.record.add(now, "worker", worker=self.name, state="falls")
        self.down(self.kind.down_ms)
        return True

    def begin(self, ticket: ReceivedAttempt, ends: Says | None = None) -> None:
        asked = ticket.asked
        assert asked is not None
        ticket.state = "running"
        self.running[ticket.number] = ticket
        product = asked.product
        took = asked.work_ms / self.speed / self.warmth() * self.ills.slow
        if product.repeat == "referenced":
            group = {"all": None, "zone": self.zone, "cell": self.cell}[product.group]
            if self.memory.repeats(asked.reference, group, product.remember_ms):
                took = 0.1  # known by its reference: answered without running again
            else:
                self.record.add(
                    self.clock.now(), "ran", txn=ticket.name, reference=asked.reference, worker=self.name
                )
        self.service_ms += 0.1 * (took - self.service_ms)
        ticket.timer = self.clock.at(
            self.clock.now() + took, lambda: self.done(ticket, ends or self.says(asked))
        )

    def says(self, asked: ClientAttempt) -> Says:
        if asked.product.name in self.ills.failing or None in self.ills.failing:
            return "error"
        return "spoilt" if self.chance.random() < self.ills.spoilt else "settled"

    def done(self, ticket: ReceivedAttempt, says: Says) -> None:
        self.running.pop(ticket.number, None)
        if self.ills.lost and self.chance.random() < self.ills.lost:
            self.record.add(self.clock.now(), "lost answer", txn=ticket.name, ticket=ticket.number)
        elif self.ills.late_ms:
            self.clock.at(self.clock.now() + self.ills.late_ms, lambda: self.end(ticket, says, ran=True))
        else:
            self.end(ticket, says, ran=True)
        self.next()

    def next(self) -> None:
        while self.queue and len(self.running) < self.kind.cores and self.up:
            self.begin(self.queue.popleft())

    def end(self, ticket: ReceivedAttempt, says: Says, ran: bool) -> None:
        if ticket.state == "over":
            return
        ticket.state = "over"
        self.record.add(self.clock.now(), "ended", txn=ticket.name, ticket=ticket.number, how=says, ran=ran)
        ticket.tell(ticket, says)

    def give_up(self, ticket: ReceivedAttempt) -> None:
        """Its connection was closed by the gatekeeper. What runs goes on; what waits is dropped."""
        if ticket.state == "over":
            return
        self.record.add(self.clock.now(), "given up", txn=ticket.name, ticket=ticket.number)
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
            self.end(ticket, "reset", ran=ran and ticket.state == "running")

    def down(self, for_ms: float | None) -> None:
        """Its process dies; it is back after a time, cold, or not at all."""
        self.up = False
        self.lines.clear()
        self.drop_all()
        self.record.add(self.clock.now(), "worker", worker=self.name, state="down")
        self.went_down()
        if for_ms is not None:
            self.clock.at(self.clock.now() + for_ms, self.back)

    def back(self) -> None:
        self.up, self.draining, self.born = True, False, self.clock.now()
        self.lately.clear()
        self.record.add(
            self.born,
            "worker",
            worker=self.name,
            state="starts",
            zone=self.zone,
            cell=self.cell,
            cold=True,
            cores=self.kind.cores,
            speed=round(self.speed, 4),
        )
        self.came_back()
