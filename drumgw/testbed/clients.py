"""The clients behind their front: they send when the day says, and try again as products allow."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Protocol

from drumgw.config.sections import RequestClassSection
from drumgw.testbed.clocks import Handle, TestbedClock
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.scenario import Scenario
from drumgw.testbed.workload import Arrival, Customer, Workload

STAYS_MS = 500.0  # a client listens so long beyond its time; an answer in that time earns nothing
TERM_SEEN_MS = 300.0  # until the front sends no more clients to a gatekeeper told to end
LATE_MS = 20.0  # sent later than intended by more than this: the lab could not keep up


class ClientRequest:
    """What a client wants; its tries follow one another."""

    __slots__ = ("arrival", "deadline", "tries", "reference")

    def __init__(self, arrival: Arrival, now: float) -> None:
        self.arrival, self.deadline, self.tries = arrival, now + arrival.product.expiry_ms, 0
        self.reference = f"{arrival.order:x}"


class ClientAttempt:
    """One request of a client. Over at its answer, its end, or when the client goes away."""

    __slots__ = ("name", "order", "gate", "left_ms", "sent_at", "over", "timers")

    def __init__(self, name: str, order: ClientRequest, gate: int, left_ms: float, sent_at: float) -> None:
        self.name, self.order, self.gate, self.left_ms, self.sent_at = name, order, gate, left_ms, sent_at
        self.over, self.timers = False, list[Handle]()

    @property
    def product(self) -> RequestClassSection:
        return self.order.arrival.product

    @property
    def customer(self) -> Customer:
        return self.order.arrival.customer

    @property
    def work_ms(self) -> float:
        return self.order.arrival.work_ms

    @property
    def reference(self) -> str:
        return self.order.reference


class AttemptSender(Protocol):
    """How tries reach gatekeepers; the clients are told by answered, closed or unreached."""

    def send(self, one: ClientAttempt) -> None: ...

    def leave(self, one: ClientAttempt) -> None: ...


class ClientPopulation:
    def __init__(self, day: Scenario, book: Workload, clock: TestbedClock, record: EventLog) -> None:
        self.day, self.book, self.clock, self.record = day, book, clock, record
        self.chance: random.Random = book.chance("clients")
        self.gates: AttemptSender | None = None
        self.start_ms = 0.0
        self.arrivals: Iterator[Arrival] = iter(())
        self.believed = [True] * day.fleet.gatekeepers  # by the front: it takes clients
        self.open: dict[str, ClientAttempt] = {}  # emptied as tries end
        self.works: dict[str, ClientAttempt] = {}  # known to stand-in workers; emptied a while after
        self.leaving = day.clients.leave
        self.sent = self.late = 0

    def begin(self) -> None:
        self.start_ms, self.arrivals = self.clock.now(), self.book.arrivals()
        self.schedule()

    def schedule(self) -> None:
        arrival = next(self.arrivals, None)
        if arrival is not None:
            self.clock.at(self.start_ms + arrival.at_ms, lambda: self.arrive(arrival))

    def arrive(self, arrival: Arrival) -> None:
        self.schedule()
        intended = self.start_ms + arrival.at_ms
        self.sent += 1
        if (late := self.clock.now() - intended) > LATE_MS:
            self.late += 1
            self.record.add(self.clock.now(), "lab late", by=round(late, 3))
        order = ClientRequest(arrival, intended)  # its time runs from when it should have been sent
        self.record.add(
            self.clock.now(),
            "wanted",
            order=arrival.order,
            product=arrival.product.name,
            plan=arrival.customer.plan.name,
            units=arrival.units,
            intended=round(intended, 3),
        )
        self.attempt(order)

    # Tries

    def attempt(self, order: ClientRequest) -> None:
        now, a = self.clock.now(), order.arrival
        left = (order.deadline - now) * self.chance.uniform(self.day.clients.patience, 1.0)
        if left < 5.0:
            return
        gate, order.tries = self.choose(a.customer), order.tries + 1
        one = ClientAttempt(f"{self.chance.getrandbits(64):016x}", order, gate, round(left, 3), now)
        self.open[one.name] = self.works[one.name] = one
        self.record.add(
            now,
            "asked",
            txn=one.name,
            order=a.order,
            gate=gate,
            product=a.product.name,
            plan=a.customer.plan.name,
            customer=a.customer.number,
            units=a.units,
            left=one.left_ms,
        )
        one.timers.append(self.clock.at(now + left + STAYS_MS, lambda: self.weary(one)))
        if self.leaving and self.chance.random() < self.leaving:
            one.timers.append(
                self.clock.at(now + left * self.chance.uniform(0.05, 0.6), lambda: self.go(one))
            )
        assert self.gates is not None
        self.gates.send(one)

    def choose(self, c: Customer) -> int:
        up = [(g, w) for g, w in zip(c.gates, c.weights, strict=True) if self.believed[g]]
        gates, weights = zip(*(up or zip(c.gates, c.weights, strict=True)), strict=True)
        return int(self.chance.choices(gates, weights)[0])

    def over(self, one: ClientAttempt) -> bool:
        """True once; from then on nothing more is expected of it."""
        if one.over:
            return False
        one.over = True
        self.open.pop(one.name, None)
        for timer in one.timers:
            timer.cancel()
        self.clock.at(self.clock.now() + 2 * one.product.expiry_ms, lambda: self.forget(one))
        return True

    def forget(self, one: ClientAttempt) -> None:
        self.works.pop(one.name, None)

    def go(self, one: ClientAttempt) -> None:
        if self.over(one):
            self.record.add(self.clock.now(), "left", txn=one.name)
            assert self.gates is not None
            self.gates.leave(one)

    def weary(self, one: ClientAttempt) -> None:
        """Never answered; the judge says whose fault that is."""
        if self.over(one):
            self.record.add(self.clock.now(), "weary", txn=one.name)
            assert self.gates is not None
            self.gates.leave(one)
            self.again(one, one.product.repeat == "inquiry-like", 0.0)

    # What comes back

    def answered(self, one: ClientAttempt, status: int, mark: str, retry_after_ms: float) -> None:
        """mark: the txn that the answer was made for, as its body says."""
        if one.over:
            self.record.add(self.clock.now(), "answered", txn=one.name, status=status, mark=mark, more=True)
            return
        self.over(one)
        self.record.add(
            self.clock.now(),
            "answered",
            txn=one.name,
            status=status,
            mark=mark,
            wait=round(retry_after_ms, 3),
        )
        if status != 200:
            declined = status in (429, 503)
            self.again(
                one, declined or one.product.repeat == "inquiry-like", retry_after_ms if declined else 0.0
            )

    def closed(self, one: ClientAttempt) -> None:
        """Its connection ended with no whole answer."""
        if self.over(one):
            self.record.add(self.clock.now(), "closed", txn=one.name)
            self.again(one, one.product.repeat == "inquiry-like", 0.0)

    def unreached(self, one: ClientAttempt) -> None:
        """No connection came up: the gatekeeper never had it."""
        if self.over(one):
            self.record.add(self.clock.now(), "unreached", txn=one.name)
            self.again(one, True, 0.0)

    def again(self, one: ClientAttempt, harmless: bool, wait_ms: float) -> None:
        kind = self.day.clients
        if not harmless or one.order.tries > kind.retries:
            return
        observes = wait_ms > 0 and self.chance.random() < kind.observe
        wait = wait_ms if observes else kind.backoff_ms * self.chance.uniform(0.5, 1.5)
        if self.clock.now() + wait < one.order.deadline:
            self.clock.at(self.clock.now() + wait, lambda: self.attempt(one.order))

    # The front

    def front(self, gate: int, up: bool) -> None:
        """Told at once who is ready, and after some time who has died."""
        self.believed[gate] = up
