"""A virtual gateway's connections to endpoints: what the gateway's HTTP client does on sockets.

Connections are opened and kept, attempts are written and answered over a network that takes time, and what is
aborted closes its connection.
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

OUTCOMES = {
    EndpointOutcome.SUCCEEDED: Outcome.SUCCEEDED,
    EndpointOutcome.FAILED: Outcome.FAILED,
    EndpointOutcome.REJECTED: Outcome.REJECTED,
    EndpointOutcome.CONNECTION_RESET: Outcome.BROKEN_RESPONSE,
    EndpointOutcome.CORRUPT_RESPONSE: Outcome.BROKEN_RESPONSE,
}
BROKEN_CONNECTION = (EndpointOutcome.CONNECTION_RESET, EndpointOutcome.CORRUPT_RESPONSE)
"""The connection is not used again."""


class AttemptKey(NamedTuple):
    """One attempt of a gateway's request."""

    request_id: int
    attempt: int


class AttemptOwner(Protocol):
    """The gateway that attempts belong to."""

    number: int
    is_alive: bool

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> TimerHandle:
        """Calls back after this time, later where the gateway is paused then."""

    def run_unless_paused(self, callback: Callable[[], None]) -> None:
        """Calls back now, or as soon as the gateway is not paused any more; never once it has ended."""

    def read_update(self) -> None:
        """Applies what the discovery agent has."""

    def client_attempt(self, request_id: int) -> ClientAttempt | None:
        """What the client sent; None where it has been answered or has gone."""

    def attempt_ended(
        self, key: AttemptKey, outcome: Outcome, billed_units: float = 0.0, made_for: str = ""
    ) -> None:
        """An attempt has ended by itself."""


class ForwardedAttempt:
    """An attempt that waits for its connection, is on its way, or runs."""

    __slots__ = ("key", "endpoint", "one_way_ms", "received", "is_written", "is_aborted")

    def __init__(self, key: AttemptKey, endpoint: EmulatedEndpoint, one_way_ms: float) -> None:
        self.key = key
        self.endpoint = endpoint
        self.one_way_ms = one_way_ms
        self.received: ReceivedAttempt | None = None
        """What the endpoint gets; from the moment that it is written."""
        self.is_written = False
        self.is_aborted = False


class VirtualEndpointClient:
    """The attempts of one gateway that are in flight, and its idle connections."""

    def __init__(self, environment: Environment, owner: AttemptOwner) -> None:
        self._environment = environment
        self._clock = environment.clock
        self._owner = owner
        self._attempts: dict[AttemptKey, ForwardedAttempt] = {}
        self._idle_since: dict[str, list[float]] = {}
        """By endpoint name: since when each kept connection has been idle."""

    def forward(self, key: AttemptKey, endpoint: EmulatedEndpoint) -> None:
        """Sends an attempt over an idle connection, or over a new one."""
        one_way_ms = self._environment.one_way_ms(self._owner.number, endpoint)
        attempt = ForwardedAttempt(key, endpoint, one_way_ms)
        self._attempts[key] = attempt
        if self._take_idle_connection(endpoint):
            self._write(attempt)
        else:
            self._connect(attempt)

    def abort(self, key: AttemptKey) -> None:
        """Closes an attempt's connection at once; its end is not reported."""
        attempt = self._attempts.pop(key, None)
        if attempt is None:
            return
        attempt.is_aborted = True
        if attempt.is_written:
            attempt.endpoint.connection_closed(self._owner.number)
            if attempt.received is not None and attempt.received.endpoint is not None:
                attempt.endpoint.abandon(attempt.received)

    def abort_all(self) -> None:
        """Closes all connections with an attempt in flight."""
        for key in list(self._attempts):
            self.abort(key)

    def forget(self, key: AttemptKey) -> None:
        """An attempt's end is being reported."""
        self._attempts.pop(key, None)

    def stop_sending_to(self, endpoint: EmulatedEndpoint) -> None:
        """Withdraws attempts that are not written yet, and keeps no idle connection."""
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
        """Whether there was one; those idle for longer than half of the endpoint's limit are closed."""
        idle_since = self._idle_since.get(endpoint.name, [])
        oldest_ms = self._clock.now() - self._environment.scenario.allowed.idle_ms / 2
        fresh = [since_ms for since_ms in idle_since if since_ms > oldest_ms]
        for _ in range(len(idle_since) - len(fresh)):
            endpoint.connection_closed(self._owner.number)
        self._idle_since[endpoint.name] = fresh[:-1]
        return bool(fresh)

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
        """Writes it, unless what discovery told meanwhile withdraws it."""
        self._owner.read_update()
        endpoint = attempt.endpoint
        if not self._is_current(attempt):
            endpoint.connection_closed(self._owner.number)
            return
        client_attempt = self._owner.client_attempt(attempt.key.request_id)
        written_ms = self._clock.now()
        attempt.is_written = True
        received = attempt.received = ReceivedAttempt(
            self._environment.next_receipt(),
            client_attempt.attempt_id if client_attempt is not None else "",
            client_attempt,
            self._owner.number,
            partial(self._endpoint_ended, attempt),
        )

        def reach_endpoint() -> None:
            if not attempt.is_aborted:
                endpoint.receive(received, written_ms)

        if not self._environment.is_partitioned(self._owner.number, endpoint.zone):
            self._clock.call_at(written_ms + attempt.one_way_ms, reach_endpoint)

    def _endpoint_ended(
        self, attempt: ForwardedAttempt, received: ReceivedAttempt, outcome: EndpointOutcome
    ) -> None:
        """The endpoint has answered, or broken the connection: that is on its way back."""
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
        self, attempt: ForwardedAttempt, outcome: EndpointOutcome, billed_units: float, made_for: str
    ) -> None:
        if not self._is_current(attempt):
            return
        if outcome in BROKEN_CONNECTION:
            attempt.endpoint.connection_closed(self._owner.number)
        else:
            self._idle_since.setdefault(attempt.endpoint.name, []).append(self._clock.now())
        self._owner.attempt_ended(attempt.key, OUTCOMES[outcome], billed_units, made_for)
