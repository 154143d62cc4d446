"""Tracks requests in flight, passes events to the policy engine, and turns its actions into commands.

This is the gateway's core. It does no I/O and reads no clock: every public method takes the current time and
returns typed commands (`commands.py`) in the order in which they must be executed. It enforces four rules,
regardless of what the policy engine does:

* The first successful attempt completes its request, and its response is sent to the client.
* The end of each attempt is reported to the engine exactly once, including cancelled and timed-out attempts.
* Each request gets exactly one response. If the engine has not decided on one by the request's deadline, this
  module sends one.
* A response that this module decides on has status 503 (not executed) only if no attempt may have run.
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
    LogEngineError,
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
    """The interface of the policy engine that the lifecycle uses."""

    def start(self, now: float) -> list[Action]:
        """Called once, before any event."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Processes one event and returns the resulting actions, in order."""


class InFlightAttempt(NamedTuple):
    """An attempt that has not ended."""

    endpoint_id: int
    started_at_ms: float
    """On a clock that does not advance while this process is stalled."""


@dataclass(slots=True)
class InFlightRequest:
    """A request from its arrival until its response is decided and all its attempts have ended.

    Only `RequestLifecycle` modifies it.
    """

    request_id: int
    deadline_ms: float
    awaits_response: bool = True
    """False once a response has been decided, or the client has disconnected."""
    started_attempts: int = 0
    """Number of attempts that the engine requested; also the number of the next attempt."""
    attempts: dict[int, InFlightAttempt] = field(default_factory=dict)
    """Attempts in flight, by number."""
    ended_attempt_may_have_run: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have executed the request; true while any attempt is in flight."""
        return self.ended_attempt_may_have_run or bool(self.attempts)


class RequestLifecycle:
    """Converts transport callbacks into policy events, and policy actions into commands.

    Args:
        policy: the policy engine; it has no other caller.
        settings: supplies the limit on attempts per request, and whether hedging (several attempts of one
            request in flight at once) is allowed.
    """

    def __init__(self, policy: PolicyEngineProtocol, settings: GatewaySettings) -> None:
        self.policy = policy
        self.in_flight: dict[int, InFlightRequest] = {}
        self.received_count = 0
        """Number of requests received since the start; also the id of the latest request."""
        self.stalled_ms = 0.0
        """Total time this process has been stalled since its start; excluded from attempt durations."""
        self._max_attempts = settings.max_attempts
        self._hedging_allowed = settings.hedging_allowed
        self._timer_delays: dict[int, float] = {}  # by timer_id; few, so never removed
        self._pending_events: deque[Event] = deque()  # drained by every call of _process
        self._commands: list[Command] = []  # drained by every call of _process

    def start(self, now: float, endpoints: EndpointsUpdated) -> list[Command]:
        """Starts the engine with the endpoints known so far."""
        for action in self.policy.start(now):
            self._apply(now, action)
        return self._process(now, endpoints)

    def request_received(
        self, now: float, received: RequestReceived, waited_ms: float = 0.0
    ) -> tuple[int, list[Command]]:
        """Registers a new request.

        Args:
            now: the current time.
            received: the request; its `request_id` is assigned here.
            waited_ms: how long ago the request's last byte may have arrived. The client has been waiting
                since then, so it is deducted from the request's remaining time.

        Returns:
            The request id and the commands.
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
        """Handles an attempt that ended. Ignored if it was aborted before, as its end was reported then."""
        request = self.in_flight.get(request_id)
        if request is None or attempt not in request.attempts:
            return []
        is_final_response = request.awaits_response and outcome is Outcome.SUCCEEDED
        if is_final_response:
            self._respond(request, STATUS_SUCCEEDED, 0.0, response)
        units = billed_units if is_final_response else 0.0
        self._end_attempt(now, request, attempt, outcome, units, load_report)
        return self._process(now)

    def client_disconnected(self, now: float, request_id: int) -> list[Command]:
        """Handles a client's disconnect. Ignored if a response has already been decided."""
        request = self.in_flight.get(request_id)
        if request is None or not request.awaits_response:
            return []
        request.awaits_response = False
        self._drop_if_finished(request)
        return self._process(now, ClientDisconnected(request_id))

    def deadline_reached(self, now: float, request_id: int, attempt: int | None) -> list[Command]:
        """Handles the expiry of an attempt's deadline or, if `attempt` is None, of the request's deadline."""
        request = self.in_flight.get(request_id)
        if request is None:
            return []
        is_request_deadline = attempt is None
        overdue_attempts = list(request.attempts) if attempt is None else [attempt]
        for overdue in overdue_attempts:
            self._abort_attempt(now, request, overdue, Outcome.TIMED_OUT)
        commands = self._process(now)  # on AttemptEnded the engine may decide on a response
        if is_request_deadline and request.awaits_response:
            # The engine did not decide on a response; without this, the client would wait forever.
            self._respond_without_engine(now, request)
        return commands + self._process(now)

    def endpoints_updated(self, now: float, endpoints: EndpointsUpdated) -> list[Command]:
        """Passes a changed endpoint list to the engine."""
        return self._process(now, endpoints)

    def gateway_stopping(self, now: float) -> list[Command]:
        """Notifies the engine that all requests are finished and the gateway is about to exit."""
        return self._process(now, GatewayStopping())

    def timer_fired(self, now: float, timer_id: int) -> list[Command]:
        """Handles a timer, set by the engine, that has fired."""
        return self._process(now, TimerFired(timer_id))

    def counter_replied(
        self, now: float, counter_key: int, outcome: Outcome, total: float, duration_ms: float
    ) -> list[Command]:
        """Passes the result of a call to the shared counter to the engine."""
        return self._process(now, CounterReplied(counter_key, outcome, total, duration_ms))

    def abandon_request(self, now: float, request_id: int) -> list[Command]:
        """Answers a request for which executing a command raised an exception."""
        request = self.in_flight.get(request_id)
        if request is not None and request.awaits_response:
            self._respond_without_engine(now, request)
        return self._process(now)

    # Exchange of events and actions with the policy engine

    def _process(self, now: float, *events: Event) -> list[Command]:
        """Passes events to the engine, followed by the events that its actions cause.

        Returns:
            All commands accumulated since the last call.
        """
        self._pending_events.extend(events)
        while self._pending_events:
            event = self._pending_events.popleft()
            try:
                actions = self.policy.handle(now, event)
            except Exception as error:  # a bug in the engine must not terminate the process
                self._recover_from_engine_error(now, event, error)
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
                self._respond_for_engine(action.request_id, STATUS_REJECTED, action.retry_after_ms)
            case FailRequest():
                self._respond_for_engine(action.request_id, STATUS_FAILED, 0.0)
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
        awaits_response = request is not None and request.awaits_response
        invariant(awaits_response, "a request is forwarded only while its response is pending")
        if request is None or not request.awaits_response:
            return
        number = request.started_attempts
        request.started_attempts += 1
        deadline_ms = min(action.deadline_ms or request.deadline_ms, request.deadline_ms)
        if not self._may_start(now, request, number, min(deadline_ms, action.write_deadline_ms)):
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
            StartAttempt(
                request.request_id, number, action.endpoint_id, deadline_ms, action.write_deadline_ms
            )
        )
        if deadline_ms < request.deadline_ms:
            self._commands.append(ScheduleDeadline(deadline_ms, request.request_id, number))

    def _may_start(self, now: float, request: InFlightRequest, number: int, latest_start_ms: float) -> bool:
        if number >= self._max_attempts or latest_start_ms <= now:
            return False
        return self._hedging_allowed or not request.attempts

    # Completion of requests and attempts

    def _respond_for_engine(self, request_id: int, status: int, retry_after_ms: float) -> None:
        request = self.in_flight.get(request_id)
        awaits_response = request is not None and request.awaits_response
        invariant(awaits_response, "a request gets exactly one response")
        if request is not None and request.awaits_response:
            self._respond(request, status, retry_after_ms, None)
            self._drop_if_finished(request)

    def _respond(self, request: InFlightRequest, status: int, retry_after_ms: float, response: Any) -> None:
        request.awaits_response = False
        self._commands.append(
            SendResponse(request.request_id, status, retry_after_ms, response, request.may_have_run)
        )

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
                not request.awaits_response,
                billed_units,
                load_report,
            )
        )
        self._drop_if_finished(request)

    def _drop_if_finished(self, request: InFlightRequest) -> None:
        if not request.awaits_response and not request.attempts:
            self.in_flight.pop(request.request_id, None)

    # Internal errors

    def _recover_from_engine_error(self, now: float, event: Event, error: Exception) -> None:
        """Answers the request whose event the engine failed to handle.

        Other requests are unaffected; at worst they end at their deadline.
        """
        self._commands.append(LogEngineError(error))
        if isinstance(event, TimerFired):
            # The engine re-arms its periodic timer while it handles this event. As it raised an exception
            # instead, the timer is re-armed here; otherwise the engine's periodic work would stop.
            delay_ms = self._timer_delays.get(event.timer_id, 0.0)
            self._commands.append(SetTimer(delay_ms, event.timer_id))
        elif isinstance(event, RequestReceived | AttemptEnded):
            request = self.in_flight.get(event.request_id)
            if request is not None and request.awaits_response:
                self._respond_without_engine(now, request)

    def _respond_without_engine(self, now: float, request: InFlightRequest) -> None:
        """Answers without the engine's decision.

        The status is 503 only if no attempt may have run, as clients may safely retry after a 503.
        """
        status = STATUS_FAILED if request.may_have_run else STATUS_REJECTED
        self._respond(request, status, 0.0, None)
        for attempt in list(request.attempts):
            self._abort_attempt(now, request, attempt, Outcome.CANCELLED)
        self._drop_if_finished(request)
        self._pending_events.append(ClientDisconnected(request.request_id))
