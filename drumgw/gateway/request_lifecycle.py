"""The txns in hand: what the module is told, what it answers, and how each txn ends. No I/O, no clock.

Every call takes the time and returns the effects, in order, for the adapters to carry out. The endings are
the wire's: the first settled submission ends its txn, a cancelled or overdue one is told at once, each
submission is told exactly once, and a txn that the module leaves open at its expiry is ended here.
"""

from __future__ import annotations

from collections import deque
from math import inf
from typing import Any, NamedTuple, Protocol

from drumgw.gateway.invariants import invariant
from drumgw.model.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    FailRequest,
    ForwardRequest,
    LogMessage,
    RejectRequest,
    SetTimer,
)
from drumgw.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsUpdated,
    Event,
    GatewayStopping,
    Outcome,
    RequestReceived,
    TimerFired,
)
from drumgw.model.settings import GatewaySettings

NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)
OK, FAILED, REFUSED = 200, 500, 503


class StartAttempt(NamedTuple):
    request_id: int
    attempt: int
    endpoint_id: int
    deadline_ms: float
    write_by_ms: float = inf


class AbortAttempt(NamedTuple):
    """Give up a submission: its connection is closed; nothing more is told of it."""

    request_id: int
    attempt: int


class SendResponse(NamedTuple):
    """The final answer; answer is the worker's, for OK."""

    request_id: int
    status: int
    retry_after_ms: float
    response: Any


class ScheduleDeadline(NamedTuple):
    """Call core.alarm then; submission -1 is the txn's expiry."""

    at_ms: float
    request_id: int
    attempt: int


class ReportFault(NamedTuple):
    """The module failed; its error, for the log."""

    error: Exception


Command = (
    StartAttempt
    | AbortAttempt
    | SendResponse
    | ScheduleDeadline
    | ReportFault
    | AddToCounter
    | SetTimer
    | LogMessage
)


class PolicyEngineProtocol(Protocol):
    """The decision module."""

    def start(self, now: float) -> list[Action]: ...

    def handle(self, now: float, event: Event) -> list[Action]: ...


class InFlightRequest:
    """A txn taken. Dropped once it is answered and each submission has ended."""

    __slots__ = ("expiry", "owed", "ran", "tries", "out")

    def __init__(self, expiry: float) -> None:
        self.expiry, self.owed, self.ran, self.tries = expiry, True, False, 0
        self.out: dict[int, tuple[int, float]] = {}  # submission: worker, sent at (less our stalls)


class RequestLifecycle:
    def __init__(self, policy: PolicyEngineProtocol, settings: GatewaySettings) -> None:
        self.policy, self.most, self.copies = policy, settings.max_attempts, settings.hedging_allowed
        self.in_flight: dict[int, InFlightRequest] = {}  # emptied by answers and ended submissions
        self.ticks: dict[int, float] = {}  # label: interval; the module's few labels
        self.events: deque[Event] = deque()  # emptied by each call
        self.commands: list[Command] = []
        self.received_count = 0
        self.stalled_ms = 0.0  # ms in which our own loop stood; they are in no submission's time

    def start(self, now: float, listed: EndpointsUpdated) -> list[Command]:
        for action in self.policy.start(now):
            self.act(now, action)
        return self.tell(now, listed)

    def request_received(
        self, now: float, asked: RequestReceived, waited_ms: float = 0.0
    ) -> tuple[int, list[Command]]:
        """A request that came while our loop stood has less time left than it says."""
        self.received_count += 1
        txn, left_ms = self.received_count, max(0.0, asked.time_left_ms - waited_ms)
        self.in_flight[txn] = InFlightRequest(now + left_ms)
        self.commands.append(ScheduleDeadline(now + left_ms, txn, -1))
        return txn, self.tell(now, asked._replace(request_id=txn, time_left_ms=left_ms))

    def attempt_ended(
        self,
        now: float,
        txn: int,
        submission: int,
        end: Outcome,
        units: float,
        load: dict[str, float],
        answer: Any,
    ) -> list[Command]:
        """A submission ended by itself. One that was given up meanwhile is told no second time."""
        h = self.in_flight.get(txn)
        if h is None or submission not in h.out:
            return []
        first = h.owed and end is Outcome.SUCCEEDED
        if first:
            self.reply(txn, h, OK, 0.0, answer)
        self.close(now, txn, h, submission, end, units if first else 0.0, load)
        return self.tell(now)

    def client_disconnected(self, now: float, txn: int) -> list[Command]:
        h = self.in_flight.get(txn)
        if h is None or not h.owed:
            return []
        h.owed = False
        self.drop(txn, h)
        return self.tell(now, ClientDisconnected(txn))

    def deadline_reached(self, now: float, txn: int, submission: int) -> list[Command]:
        h = self.in_flight.get(txn)
        if h is None:
            return []
        for n in list(h.out) if submission < 0 else [submission] if submission in h.out else []:
            self.commands.append(AbortAttempt(txn, n))
            self.close(now, txn, h, n, Outcome.TIMED_OUT, 0.0, {})
        commands = self.tell(now)  # its answers come first, and are kept
        if submission < 0 and h.owed:  # guards clients against a module that forgot the txn
            self.end_by_self(now, txn, h)
        return commands + self.tell(now)

    def endpoints_updated(self, now: float, listed: EndpointsUpdated) -> list[Command]:
        return self.tell(now, listed)

    def gateway_stopping(self, now: float) -> list[Command]:
        return self.tell(now, GatewayStopping())

    def timer_fired(self, now: float, label: int) -> list[Command]:
        return self.tell(now, TimerFired(label))

    def counter_replied(
        self, now: float, name: int, end: Outcome, total: float, took_ms: float
    ) -> list[Command]:
        return self.tell(now, CounterReplied(name, end, total, took_ms))

    def abandon_request(self, now: float, txn: int) -> list[Command]:
        """An adapter failed at this txn: it is answered here."""
        h = self.in_flight.get(txn)
        if h is not None and h.owed:
            self.end_by_self(now, txn, h)
        return self.tell(now)

    # Telling the module and carrying its actions over

    def tell(self, now: float, *events: Event) -> list[Command]:
        """Returns all effects since the last call's; what acting brings about is told after them."""
        self.events.extend(events)
        while self.events:
            event = self.events.popleft()
            try:
                actions = self.policy.handle(now, event)
            except Exception as error:  # the module's own failure, whatever it is
                self.fault(now, event, error)
                continue
            for action in actions:
                self.act(now, action)
        commands, self.commands = self.commands, []
        return commands

    def act(self, now: float, action: Action) -> None:
        match action:
            case ForwardRequest():
                self.submit(now, action)
            case RejectRequest():
                self.finish(action.request_id, REFUSED, action.retry_after_ms)
            case FailRequest():
                self.finish(action.request_id, FAILED, 0.0)
            case CancelAttempt():
                h = self.in_flight.get(action.request_id)
                if h is not None and action.attempt in h.out:
                    self.commands.append(AbortAttempt(action.request_id, action.attempt))
                    self.close(now, action.request_id, h, action.attempt, Outcome.CANCELLED, 0.0, {})
            case SetTimer():
                self.ticks[action.timer_id] = action.delay_ms
                self.commands.append(action)
            case AddToCounter() | LogMessage():
                self.commands.append(action)

    def submit(self, now: float, a: ForwardRequest) -> None:
        h = self.in_flight.get(a.request_id)
        invariant(h is not None and h.owed, "a txn is submitted only while in hand")
        if h is None or not h.owed:
            return
        n, stop_at = h.tries, min(a.deadline_ms or h.expiry, h.expiry)
        h.tries += 1
        if n >= self.most or min(stop_at, a.write_by_ms) <= now or h.out and not self.copies:
            self.events.append(
                AttemptEnded(a.request_id, n, a.endpoint_id, Outcome.NOT_SENT, 0.0, False, 0.0, {})
            )
            return
        h.out[n] = a.endpoint_id, now - self.stalled_ms
        self.commands.append(StartAttempt(a.request_id, n, a.endpoint_id, stop_at, a.write_by_ms))
        if stop_at < h.expiry:
            self.commands.append(ScheduleDeadline(stop_at, a.request_id, n))

    def finish(self, txn: int, status: int, retry_after_ms: float) -> None:
        h = self.in_flight.get(txn)
        invariant(h is not None and h.owed, "a txn is answered once")
        if h is not None and h.owed:
            self.reply(txn, h, status, retry_after_ms, None)
            self.drop(txn, h)

    def reply(self, txn: int, h: InFlightRequest, status: int, retry_after_ms: float, answer: Any) -> None:
        h.owed = False
        self.commands.append(SendResponse(txn, status, retry_after_ms, answer))

    def close(
        self,
        now: float,
        txn: int,
        h: InFlightRequest,
        n: int,
        end: Outcome,
        units: float,
        load: dict[str, float],
    ) -> None:
        worker, sent = h.out.pop(n)
        h.ran = h.ran or end not in NEVER_RAN
        took = now - self.stalled_ms - sent
        self.events.append(AttemptEnded(txn, n, worker, end, took, not h.owed, units, load))
        self.drop(txn, h)

    def drop(self, txn: int, h: InFlightRequest) -> None:
        if not h.owed and not h.out:
            self.in_flight.pop(txn, None)

    # Failures of our own

    def fault(self, now: float, event: Event, error: Exception) -> None:
        """The txn at hand is answered; the others go on, and at worst end at their expiry."""
        self.commands.append(ReportFault(error))
        if isinstance(event, TimerFired):  # the tick must not die with one fault
            self.commands.append(SetTimer(self.ticks.get(event.timer_id, 0.0), event.timer_id))
        elif isinstance(event, RequestReceived | AttemptEnded):
            h = self.in_flight.get(event.request_id)
            if h is not None and h.owed:
                self.end_by_self(now, event.request_id, h)

    def end_by_self(self, now: float, txn: int, h: InFlightRequest) -> None:
        """503 says that trying again is harmless: only where no submission may have run."""
        ran = h.ran or bool(h.out)
        self.reply(txn, h, FAILED if ran else REFUSED, 0.0, None)
        for n in list(h.out):
            self.commands.append(AbortAttempt(txn, n))
            self.close(now, txn, h, n, Outcome.CANCELLED, 0.0, {})
        self.drop(txn, h)
        self.events.append(ClientDisconnected(txn))
