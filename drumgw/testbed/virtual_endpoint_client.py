"""A virtual gateway's connections to endpoints, in place of the HTTP client of a gateway on sockets.

It emulates connecting, the reuse of idle connections, and network latency for requests and responses.
Aborting an attempt closes its connection.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple, Protocol

from drumgw.model.events import Outcome
from drumgw.testbed.client_requests import ClientAttempt
from drumgw.testbed.clocks import TimerHandle
from drumgw.testbed.endpoint import EmulatedEndpoint, ReceivedAttempt
from drumgw.testbed.environment import Environment
from drumgw.testbed.logged_events import EndpointOutcome

OUTCOME_BY_ENDPOINT_OUTCOME = {
    EndpointOutcome.SUCCEEDED: Outcome.SUCCEEDED,
    EndpointOutcome.FAILED: Outcome.FAILED,
    EndpointOutcome.REJECTED: Outcome.REJECTED,
    EndpointOutcome.CONNECTION_RESET: Outcome.BROKEN_RESPONSE,
    EndpointOutcome.CORRUPT_RESPONSE: Outcome.BROKEN_RESPONSE,
}
CONNECTION_CLOSING_OUTCOMES = (EndpointOutcome.CONNECTION_RESET, EndpointOutcome.CORRUPT_RESPONSE)
"""Outcomes after which the connection cannot be reused."""


class AttemptKey(NamedTuple):
    """Identifies an attempt by its request and its number within the request."""

    request_id: int
    attempt: int


class AttemptOwner(Protocol):
    """Interface of the gateway that an endpoint client belongs to."""

    number: int
    is_alive: bool

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> TimerHandle:
        """Runs a callback after a delay, or after the gateway's pause if it is paused then."""

    def run_unless_paused(self, callback: Callable[[], None]) -> None:
        """Runs a callback now, or after the gateway's pause; not at all if the gateway has ended."""

    def read_update(self) -> None:
        """Applies the latest endpoint list of the discovery agent."""

    def client_attempt(self, request_id: int) -> ClientAttempt | None:
        """Returns the client's attempt; None if it was answered or the client has disconnected."""

    def attempt_ended(
        self, key: AttemptKey, outcome: Outcome, billed_units: float = 0.0, body_attempt_id: str = ""
    ) -> None:
        """Handles the end of an attempt that the gateway did not abort."""


class ForwardedAttempt:
    """An attempt in flight: it waits for a connection, is being sent, or runs at the endpoint."""

    __slots__ = ("key", "endpoint", "one_way_ms", "received", "is_written", "is_aborted")

    def __init__(self, key: AttemptKey, endpoint: EmulatedEndpoint, one_way_ms: float) -> None:
        self.key = key
        self.endpoint = endpoint
        self.one_way_ms = one_way_ms
        self.received: ReceivedAttempt | None = None
        """The attempt as the endpoint receives it; None until it is written."""
        self.is_written = False
        self.is_aborted = False


class VirtualEndpointClient:
    """The attempts in flight and the idle connections of one gateway."""

    def __init__(self, environment: Environment, owner: AttemptOwner) -> None:
        self._environment = environment
        self._clock = environment.clock
        self._owner = owner
        self._attempts: dict[AttemptKey, ForwardedAttempt] = {}
        self._idle_since: dict[str, list[float]] = {}
        """Start of the idle time of each idle connection, by endpoint name."""

    def forward(self, key: AttemptKey, endpoint: EmulatedEndpoint) -> None:
        """Sends an attempt over an idle connection, or opens a new one if there is none."""
        one_way_ms = self._environment.one_way_ms(self._owner.number, endpoint)
        attempt = ForwardedAttempt(key, endpoint, one_way_ms)
        self._attempts[key] = attempt
        if self._take_idle_connection(endpoint):
            self._write(attempt)
        else:
            self._connect(attempt)

    def abort(self, key: AttemptKey) -> None:
        """Aborts an attempt and closes its connection; the gateway is not notified."""
        attempt = self._attempts.pop(key, None)
        if attempt is None:
            return
        attempt.is_aborted = True
        if attempt.is_written:
            attempt.endpoint.connection_closed(self._owner.number)
            if attempt.received is not None and attempt.received.endpoint is not None:
                attempt.endpoint.abandon(attempt.received)

    def abort_all(self) -> None:
        """Aborts all attempts in flight."""
        for key in list(self._attempts):
            self.abort(key)

    def remove_attempt(self, key: AttemptKey) -> None:
        """Drops an attempt whose end is being reported, so that later events for it are ignored."""
        self._attempts.pop(key, None)

    def stop_sending_to(self, endpoint: EmulatedEndpoint) -> None:
        """Ends attempts that are not written yet as not sent, and drops the endpoint's idle connections."""
        self._idle_since.pop(endpoint.name, None)
        unwritten = [
            attempt
            for attempt in self._attempts.values()
            if attempt.endpoint is endpoint and not attempt.is_written
        ]
        for attempt in unwritten:
            self.abort(attempt.key)
            self._end_after(0.0, attempt.key, Outcome.NOT_SENT)

    def _end_after(self, delay_ms: float, key: AttemptKey, outcome: Outcome) -> None:
        self._owner.call_after(delay_ms, partial(self._owner.attempt_ended, key, outcome))

    def _is_current(self, attempt: ForwardedAttempt) -> bool:
        return self._attempts.get(attempt.key) is attempt

    def _take_idle_connection(self, endpoint: EmulatedEndpoint) -> bool:
        """Takes an idle connection, if any; closes those idle for more than half of the endpoint's limit."""
        idle_since = self._idle_since.get(endpoint.name, [])
        idle_cutoff_ms = self._clock.now() - self._environment.scenario.allowed.idle_ms / 2
        reusable = [since_ms for since_ms in idle_since if since_ms > idle_cutoff_ms]
        for _ in range(len(idle_since) - len(reusable)):
            endpoint.connection_closed(self._owner.number)
        self._idle_since[endpoint.name] = reusable[:-1]
        return bool(reusable)

    def _connect(self, attempt: ForwardedAttempt) -> None:
        endpoint = attempt.endpoint
        gateway = self._owner.number
        scenario = self._environment.scenario
        if self._environment.is_partitioned(gateway, endpoint.zone):
            self._end_after(scenario.allowed.connect_ms, attempt.key, Outcome.UNREACHABLE)
            return

        def reach_endpoint() -> None:
            if endpoint.accept_connection(gateway):
                connected_ms = self._clock.now() + scenario.worker.handshake_ms + attempt.one_way_ms
                self._clock.call_at(connected_ms, partial(self._connected, attempt))
            else:
                self._end_after(attempt.one_way_ms, attempt.key, Outcome.UNREACHABLE)

        self._clock.call_at(self._clock.now() + attempt.one_way_ms, reach_endpoint)

    def _connected(self, attempt: ForwardedAttempt) -> None:
        if self._is_current(attempt) and self._owner.is_alive:
            self._owner.run_unless_paused(partial(self._write, attempt))
        else:
            attempt.endpoint.connection_closed(self._owner.number)

    def _write(self, attempt: ForwardedAttempt) -> None:
        """Writes an attempt, unless an update of the endpoint list has just withdrawn it."""
        self._owner.read_update()
        endpoint = attempt.endpoint
        if not self._is_current(attempt):
            endpoint.connection_closed(self._owner.number)
            return
        client_attempt = self._owner.client_attempt(attempt.key.request_id)
        written_ms = self._clock.now()
        attempt.is_written = True
        received = attempt.received = ReceivedAttempt(
            self._environment.next_delivery_number(),
            client_attempt.attempt_id if client_attempt is not None else "",
            client_attempt,
            self._owner.number,
            partial(self._attempt_ended_at_endpoint, attempt),
        )

        def reach_endpoint() -> None:
            if not attempt.is_aborted:
                endpoint.receive(received, written_ms)

        if not self._environment.is_partitioned(self._owner.number, endpoint.zone):
            self._clock.call_at(written_ms + attempt.one_way_ms, reach_endpoint)

    def _attempt_ended_at_endpoint(
        self, attempt: ForwardedAttempt, received: ReceivedAttempt, outcome: EndpointOutcome
    ) -> None:
        """Schedules the arrival of a response, or of a connection reset, at the gateway."""
        if self._environment.is_partitioned(self._owner.number, attempt.endpoint.zone):
            return
        billed_units = 0.0
        if received.client_attempt is not None and outcome is EndpointOutcome.SUCCEEDED:
            billed_units = float(received.client_attempt.request.arrival.true_units)
        receive_response = partial(
            self._receive_response, attempt, outcome, billed_units, received.attempt_id
        )
        self._clock.call_at(
            self._clock.now() + attempt.one_way_ms,
            partial(self._owner.run_unless_paused, receive_response),
        )

    def _receive_response(
        self, attempt: ForwardedAttempt, outcome: EndpointOutcome, billed_units: float, body_attempt_id: str
    ) -> None:
        if not self._is_current(attempt):
            return
        if outcome in CONNECTION_CLOSING_OUTCOMES:
            attempt.endpoint.connection_closed(self._owner.number)
        else:
            self._idle_since.setdefault(attempt.endpoint.name, []).append(self._clock.now())
        self._owner.attempt_ended(
            attempt.key, OUTCOME_BY_ENDPOINT_OUTCOME[outcome], billed_units, body_attempt_id
        )
