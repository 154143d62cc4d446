"""The requests in flight: what the policy engine learns of them, and how each of them ends.

This is the gateway's core. It does no I/O and reads no clock: every public method takes the current time and
returns typed commands (`commands.py`), in the order in which they are to be carried out. Four rules hold
here, whatever the policy engine does:

* The first attempt that succeeds ends its request; its response goes to the client.
* The end of an attempt is reported to the engine exactly once, also if it was cancelled or timed out.
* A request is answered exactly once. One that the engine leaves open is answered here, at its deadline.
* An answer of this module's own says "nothing was done" (503) only where no attempt may have run.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from drumgw.gateway.commands import (
    STATUS_FAILED,
    STATUS_REJECTED,
    STATUS_SUCCEEDED,
    AbortAttempt,
    Command,
    ReportFault,
    ScheduleDeadline,
    SendResponse,
    StartAttempt,
)
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


class PolicyEngineProtocol(Protocol):
    """The policy engine, as the lifecycle calls it."""

    def start(self, now: float) -> list[Action]:
        """Called once, before any event."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Takes one event and returns what is to be done, in order."""


class InFlightAttempt(NamedTuple):
    """An attempt that has not ended."""

    endpoint_id: int
    started_at_ms: float
    """On a clock that does not advance while this process is stalled."""


@dataclass(slots=True)
class InFlightRequest:
    """A request from its arrival until it is answered and each of its attempts has ended.

    Written by `RequestLifecycle` only.
    """

    request_id: int
    deadline_ms: float
    is_answer_owed: bool = True
    """False once the client has been answered, or has gone."""
    started_attempts: int = 0
    """How many attempts the engine asked for; the next attempt's number."""
    attempts: dict[int, InFlightAttempt] = field(default_factory=dict)
    """Attempts in flight, by number."""
    ended_attempt_may_have_run: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether some attempt may have run; one in flight may."""
        return self.ended_attempt_may_have_run or bool(self.attempts)


class RequestLifecycle:
    """Turns what the gateway's clients report into the engine's events, and its actions into commands.

    Args:
        policy: the policy engine; nobody else calls it.
        settings: how many attempts a request may have, and whether two may be in flight.
    """

    def __init__(self, policy: PolicyEngineProtocol, settings: GatewaySettings) -> None:
        self.policy = policy
        self.in_flight: dict[int, InFlightRequest] = {}
        self.received_count = 0
        """Requests received since the start; the last one's number."""
        self.stalled_ms = 0.0
        """For how long this process was stalled since its start; that time counts for no attempt."""
        self._max_attempts = settings.max_attempts
        self._hedging_allowed = settings.hedging_allowed
        self._timer_delays: dict[int, float] = {}  # by timer_id; the engine uses a few
        self._pending_events: deque[Event] = deque()  # emptied by each call of _process
        self._commands: list[Command] = []  # emptied by each call of _process

    def start(self, now: float, endpoints: EndpointsUpdated) -> list[Command]:
        """Starts the engine, with the endpoints that are known so far."""
        for action in self.policy.start(now):
            self._apply(now, action)
        return self._process(now, endpoints)

    def request_received(
        self, now: float, received: RequestReceived, waited_ms: float = 0.0
    ) -> tuple[int, list[Command]]:
        """Takes a request in.

        Args:
            now: the current time.
            received: the request; its number is assigned here.
            waited_ms: how long it may have waited unread while this process was stalled. Its client has
                waited as well, so the request has that much less time left than it says.

        Returns:
            The request's number, and the commands.
        """
        self.received_count += 1
        request_id = self.received_count
        time_left_ms = max(0.0, received.time_left_ms - waited_ms)
        deadline_ms = now + time_left_ms
        self.in_flight[request_id] = InFlightRequest(request_id, deadline_ms)
        self._commands.append(ScheduleDeadline(deadline_ms, request_id, None))
        event = received._replace(request_id=request_id, time_left_ms=time_left_ms)
        return request_id, self._process(now, event)

    def attempt_ended(
        self,
        now: float,
        request_id: int,
        attempt: int,
        outcome: Outcome,
        billed_units: float,
        load_report: dict[str, float],
        response: Any,
    ) -> list[Command]:
        """An attempt ended by itself. Ignored if it was aborted meanwhile: its end has been reported."""
        request = self.in_flight.get(request_id)
        if request is None or attempt not in request.attempts:
            return []
        is_answer = request.is_answer_owed and outcome is Outcome.SUCCEEDED
        if is_answer:
            self._answer(request, STATUS_SUCCEEDED, 0.0, response)
        units = billed_units if is_answer else 0.0
        self._end_attempt(now, request, attempt, outcome, units, load_report)
        return self._process(now)

    def client_disconnected(self, now: float, request_id: int) -> list[Command]:
        """The client has gone. Ignored if it was answered before."""
        request = self.in_flight.get(request_id)
        if request is None or not request.is_answer_owed:
            return []
        request.is_answer_owed = False
        self._drop_if_finished(request)
        return self._process(now, ClientDisconnected(request_id))

    def deadline_reached(self, now: float, request_id: int, attempt: int | None) -> list[Command]:
        """The deadline of an attempt has come or, where `attempt` is None, that of the request."""
        request = self.in_flight.get(request_id)
        if request is None:
            return []
        is_request_deadline = attempt is None
        overdue_attempts = list(request.attempts) if attempt is None else [attempt]
        for overdue in overdue_attempts:
            self._abort_attempt(now, request, overdue, Outcome.TIMED_OUT)
        commands = self._process(now)  # the engine may answer as it learns of that
        if is_request_deadline and request.is_answer_owed:
            # Guards the client against an engine that lost its request: it would wait for ever.
            self._answer_without_engine(now, request)
        return commands + self._process(now)

    def endpoints_updated(self, now: float, endpoints: EndpointsUpdated) -> list[Command]:
        """The endpoint list has changed."""
        return self._process(now, endpoints)

    def gateway_stopping(self, now: float) -> list[Command]:
        """All requests are finished, and the gateway is about to exit."""
        return self._process(now, GatewayStopping())

    def timer_fired(self, now: float, timer_id: int) -> list[Command]:
        """A timer that the engine set has fired."""
        return self._process(now, TimerFired(timer_id))

    def counter_replied(
        self, now: float, counter_key: int, outcome: Outcome, total: float, duration_ms: float
    ) -> list[Command]:
        """A call to the shared counter has ended."""
        return self._process(now, CounterReplied(counter_key, outcome, total, duration_ms))

    def abandon_request(self, now: float, request_id: int) -> list[Command]:
        """A command for this request could not be carried out: it is answered here."""
        request = self.in_flight.get(request_id)
        if request is not None and request.is_answer_owed:
            self._answer_without_engine(now, request)
        return self._process(now)

    # The policy engine: events to it, actions from it

    def _process(self, now: float, *events: Event) -> list[Command]:
        """Passes these events to the engine, and then those that its actions cause.

        Returns:
            All commands since the last call.
        """
        self._pending_events.extend(events)
        while self._pending_events:
            event = self._pending_events.popleft()
            try:
                actions = self.policy.handle(now, event)
            except Exception as error:  # a defect of the engine's must not end the process
                self._recover_from_fault(now, event, error)
                continue
            for action in actions:
                self._apply(now, action)
        commands, self._commands = self._commands, []
        return commands

    def _apply(self, now: float, action: Action) -> None:
        match action:
            case ForwardRequest():
                self._forward(now, action)
            case RejectRequest():
                self._answer_for_engine(action.request_id, STATUS_REJECTED, action.retry_after_ms)
            case FailRequest():
                self._answer_for_engine(action.request_id, STATUS_FAILED, 0.0)
            case CancelAttempt():
                request = self.in_flight.get(action.request_id)
                if request is not None:
                    self._abort_attempt(now, request, action.attempt, Outcome.CANCELLED)
            case SetTimer():
                self._timer_delays[action.timer_id] = action.delay_ms
                self._commands.append(action)
            case AddToCounter() | LogMessage():
                self._commands.append(action)

    def _forward(self, now: float, action: ForwardRequest) -> None:
        request = self.in_flight.get(action.request_id)
        is_open = request is not None and request.is_answer_owed
        invariant(is_open, "a request is forwarded only while its client waits")
        if request is None or not request.is_answer_owed:
            return
        number = request.started_attempts
        request.started_attempts += 1
        deadline_ms = min(action.deadline_ms or request.deadline_ms, request.deadline_ms)
        if not self._may_start(now, request, number, min(deadline_ms, action.write_by_ms)):
            self._pending_events.append(
                AttemptEnded(
                    request.request_id,
                    number,
                    action.endpoint_id,
                    Outcome.NOT_SENT,
                    duration_ms=0.0,
                    is_final=False,
                    billed_units=0.0,
                    load_report={},
                )
            )
            return
        request.attempts[number] = InFlightAttempt(action.endpoint_id, now - self.stalled_ms)
        self._commands.append(
            StartAttempt(request.request_id, number, action.endpoint_id, deadline_ms, action.write_by_ms)
        )
        if deadline_ms < request.deadline_ms:
            self._commands.append(ScheduleDeadline(deadline_ms, request.request_id, number))

    def _may_start(self, now: float, request: InFlightRequest, number: int, latest_start_ms: float) -> bool:
        if number >= self._max_attempts or latest_start_ms <= now:
            return False
        return self._hedging_allowed or not request.attempts

    # How requests and attempts end

    def _answer_for_engine(self, request_id: int, status: int, retry_after_ms: float) -> None:
        request = self.in_flight.get(request_id)
        is_open = request is not None and request.is_answer_owed
        invariant(is_open, "a request is answered once")
        if request is not None and request.is_answer_owed:
            self._answer(request, status, retry_after_ms, None)
            self._drop_if_finished(request)

    def _answer(self, request: InFlightRequest, status: int, retry_after_ms: float, response: Any) -> None:
        request.is_answer_owed = False
        self._commands.append(SendResponse(request.request_id, status, retry_after_ms, response))

    def _abort_attempt(self, now: float, request: InFlightRequest, attempt: int, outcome: Outcome) -> None:
        if attempt in request.attempts:
            self._commands.append(AbortAttempt(request.request_id, attempt))
            self._end_attempt(now, request, attempt, outcome, 0.0, {})

    def _end_attempt(
        self,
        now: float,
        request: InFlightRequest,
        number: int,
        outcome: Outcome,
        billed_units: float,
        load_report: dict[str, float],
    ) -> None:
        attempt = request.attempts.pop(number)
        if outcome.may_have_run:
            request.ended_attempt_may_have_run = True
        self._pending_events.append(
            AttemptEnded(
                request.request_id,
                number,
                attempt.endpoint_id,
                outcome,
                now - self.stalled_ms - attempt.started_at_ms,
                not request.is_answer_owed,
                billed_units,
                load_report,
            )
        )
        self._drop_if_finished(request)

    def _drop_if_finished(self, request: InFlightRequest) -> None:
        if not request.is_answer_owed and not request.attempts:
            self.in_flight.pop(request.request_id, None)

    # Faults of this program

    def _recover_from_fault(self, now: float, event: Event, error: Exception) -> None:
        """Answers the request that the engine failed at. Others go on, and end at their deadline at worst."""
        self._commands.append(ReportFault(error))
        if isinstance(event, TimerFired):
            # Guards the engine's periodic work: it sets its timer anew as it handles this event.
            delay_ms = self._timer_delays.get(event.timer_id, 0.0)
            self._commands.append(SetTimer(delay_ms, event.timer_id))
        elif isinstance(event, RequestReceived | AttemptEnded):
            request = self.in_flight.get(event.request_id)
            if request is not None and request.is_answer_owed:
                self._answer_without_engine(now, request)

    def _answer_without_engine(self, now: float, request: InFlightRequest) -> None:
        """Answers 503 only where no attempt may have run, as it promises that trying again is harmless."""
        status = STATUS_FAILED if request.may_have_run else STATUS_REJECTED
        self._answer(request, status, 0.0, None)
        for attempt in list(request.attempts):
            self._abort_attempt(now, request, attempt, Outcome.CANCELLED)
        self._drop_if_finished(request)
        self._pending_events.append(ClientDisconnected(request.request_id))
