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

    __slots__ = ("arrival", "deadline_ms", "attempt_count", "idempotency_key")

    def __init__(self, arrival: Arrival, now: float) -> None:
        self.arrival, self.deadline_ms, self.attempt_count = arrival, now + arrival.request_class.expiry_ms, 0
        self.idempotency_key = f"{arrival.number:x}"


class ClientAttempt:
    """One request of a client. Over at its answer, its end, or when the client goes away."""

    __slots__ = ("attempt_id", "request", "gateway", "time_left_ms", "sent_at_ms", "is_closed", "timers")

    def __init__(self, name: str, order: ClientRequest, gate: int, left_ms: float, sent_at: float) -> None:
        self.attempt_id, self.request, self.gateway, self.time_left_ms, self.sent_at_ms = (
            name,
            order,
            gate,
            left_ms,
            sent_at,
        )
        self.is_closed, self.timers = False, list[Handle]()

    @property
    def request_class(self) -> RequestClassSection:
        return self.request.arrival.request_class

    @property
    def customer(self) -> Customer:
        return self.request.arrival.customer

    @property
    def work_ms(self) -> float:
        return self.request.arrival.work_ms

    @property
    def idempotency_key(self) -> str:
        return self.request.idempotency_key


class AttemptSender(Protocol):
    """How tries reach gatekeepers; the clients are told by answered, closed or unreached."""

    def send(self, one: ClientAttempt) -> None: ...

    def cancel(self, one: ClientAttempt) -> None: ...


class ClientPopulation:
    def __init__(self, day: Scenario, book: Workload, clock: TestbedClock, record: EventLog) -> None:
        self.scenario, self.workload, self.clock, self.event_log = day, book, clock, record
        self.random: random.Random = book.random_stream("clients")
        self.sender: AttemptSender | None = None
        self.start_ms = 0.0
        self.arrivals: Iterator[Arrival] = iter(())
        self.in_rotation = [True] * day.fleet.gatekeepers  # by the front: it takes clients
        self.open_attempts: dict[str, ClientAttempt] = {}  # emptied as tries end
        self.known_attempts: dict[str, ClientAttempt] = {}  # known to stand-in workers; emptied a while after
        self.leave_share = day.clients.leave
        self.sent_count = self.sent_late_count = 0

    def start(self) -> None:
        self.start_ms, self.arrivals = self.clock.now(), self.workload.arrivals()
        self.schedule()

    def schedule(self) -> None:
        arrival = next(self.arrivals, None)
        if arrival is not None:
            self.clock.call_at(self.start_ms + arrival.at_ms, lambda: self.arrive(arrival))

    def arrive(self, arrival: Arrival) -> None:
        self.schedule()
        intended = self.start_ms + arrival.at_ms
        self.sent_count += 1
        if (late := self.clock.now() - intended) > LATE_MS:
            self.sent_late_count += 1
            self.event_log.add(self.clock.now(), "lab late", by=round(late, 3))
        order = ClientRequest(arrival, intended)  # its time runs from when it should have been sent
        self.event_log.add(
            self.clock.now(),
            "wanted",
            order=arrival.number,
            product=arrival.request_class.name,
            plan=arrival.customer.plan.name,
            units=arrival.units,
            intended=round(intended, 3),
        )
        self.attempt(order)

    # Tries

    def attempt(self, order: ClientRequest) -> None:
        now, a = self.clock.now(), order.arrival
        left = (order.deadline_ms - now) * self.random.uniform(self.scenario.clients.patience, 1.0)
        if left < 5.0:
            return
        gate, order.attempt_count = self.choose(a.customer), order.attempt_count + 1
        one = ClientAttempt(f"{self.random.getrandbits(64):016x}", order, gate, round(left, 3), now)
        self.open_attempts[one.attempt_id] = self.known_attempts[one.attempt_id] = one
        self.event_log.add(
            now,
            "asked",
            txn=one.attempt_id,
            order=a.number,
            gate=gate,
            product=a.request_class.name,
            plan=a.customer.plan.name,
            customer=a.customer.number,
            units=a.units,
            left=one.time_left_ms,
        )
        one.timers.append(self.clock.call_at(now + left + STAYS_MS, lambda: self.weary(one)))
        if self.leave_share and self.random.random() < self.leave_share:
            one.timers.append(
                self.clock.call_at(now + left * self.random.uniform(0.05, 0.6), lambda: self.go(one))
            )
        assert self.sender is not None
        self.sender.send(one)

    def choose(self, c: Customer) -> int:
        up = [(g, w) for g, w in zip(c.gateways, c.weights, strict=True) if self.in_rotation[g]]
        gates, weights = zip(*(up or zip(c.gateways, c.weights, strict=True)), strict=True)
        return int(self.random.choices(gates, weights)[0])

    def over(self, one: ClientAttempt) -> bool:
        """True once; from then on nothing more is expected of it."""
        if one.is_closed:
            return False
        one.is_closed = True
        self.open_attempts.pop(one.attempt_id, None)
        for timer in one.timers:
            timer.cancel()
        self.clock.call_at(self.clock.now() + 2 * one.request_class.expiry_ms, lambda: self.forget(one))
        return True

    def forget(self, one: ClientAttempt) -> None:
        self.known_attempts.pop(one.attempt_id, None)

    def go(self, one: ClientAttempt) -> None:
        if self.over(one):
            self.event_log.add(self.clock.now(), "left", txn=one.attempt_id)
            assert self.sender is not None
            self.sender.cancel(one)

    def weary(self, one: ClientAttempt) -> None:
        """Never answered; the judge says whose fault that is."""
        if self.over(one):
            self.event_log.add(self.clock.now(), "weary", txn=one.attempt_id)
            assert self.sender is not None
            self.sender.cancel(one)
            self.again(one, one.request_class.repeat == "inquiry-like", 0.0)

    # What comes back

    def response_received(self, one: ClientAttempt, status: int, mark: str, retry_after_ms: float) -> None:
        """mark: the txn that the answer was made for, as its body says."""
        if one.is_closed:
            self.event_log.add(
                self.clock.now(), "answered", txn=one.attempt_id, status=status, mark=mark, more=True
            )
            return
        self.over(one)
        self.event_log.add(
            self.clock.now(),
            "answered",
            txn=one.attempt_id,
            status=status,
            mark=mark,
            wait=round(retry_after_ms, 3),
        )
        if status != 200:
            declined = status in (429, 503)
            self.again(
                one,
                declined or one.request_class.repeat == "inquiry-like",
                retry_after_ms if declined else 0.0,
            )

    def connection_closed(self, one: ClientAttempt) -> None:
        """Its connection ended with no whole answer."""
        if self.over(one):
            self.event_log.add(self.clock.now(), "closed", txn=one.attempt_id)
            self.again(one, one.request_class.repeat == "inquiry-like", 0.0)

    def connect_failed(self, one: ClientAttempt) -> None:
        """No connection came up: the gatekeeper never had it."""
        if self.over(one):
            self.event_log.add(self.clock.now(), "unreached", txn=one.attempt_id)
            self.again(one, True, 0.0)

    def again(self, one: ClientAttempt, harmless: bool, wait_ms: float) -> None:
        kind = self.scenario.clients
        if not harmless or one.request.attempt_count > kind.retries:
            return
        observes = wait_ms > 0 and self.random.random() < kind.observe
        wait = wait_ms if observes else kind.backoff_ms * self.random.uniform(0.5, 1.5)
        if self.clock.now() + wait < one.request.deadline_ms:
            self.clock.call_at(self.clock.now() + wait, lambda: self.attempt(one.request))

    # The front

    def set_in_rotation(self, gate: int, up: bool) -> None:
        """Told at once who is ready, and after some time who has died."""
        self.in_rotation[gate] = up
