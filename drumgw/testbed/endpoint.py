"""An emulated endpoint: cores, a queue, a cold start that can be overloaded, draining, and its faults.

This module does no I/O. A transport (a socket server or the virtual network) passes in a `ReceivedAttempt`
and is called back once with its outcome, unless the attempt is abandoned or its response is lost.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from drumgw.config.sections import RequestClassSection, RulesSection
from drumgw.testbed.client_requests import ClientAttempt
from drumgw.testbed.clocks import TestbedClock, TimerHandle
from drumgw.testbed.deduplication import DeduplicationStore
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.logged_events import (
    AttemptAbandoned,
    EndpointChanged,
    EndpointFinished,
    EndpointOutcome,
    EndpointReceived,
    EndpointState,
    RequestExecuted,
    ResponseLost,
)
from drumgw.testbed.scenario import IDEMPOTENT_WITH_KEY, EndpointSection

DUPLICATE_SERVICE_MS = 0.1
"""Service time of a request whose idempotency key is stored: it is answered without running again."""
OVERLOAD_TOLERANCE_REQUESTS = 3
"""Tolerance for random bursts while warming up.

The overload limit is raised by this multiple of the latest request's work.
"""
SERVICE_TIME_SMOOTHING = 0.1
"""Weight of the latest request in the moving average of service times that load reports carry."""


class ReceivedState(Enum):
    """Progress of an attempt at its endpoint."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"


EndCallback = Callable[["ReceivedAttempt", EndpointOutcome], None]


class ReceivedAttempt:
    """One attempt whose last byte has reached an endpoint."""

    __slots__ = (
        "delivery_number",
        "attempt_id",
        "client_attempt",
        "gateway",
        "on_end",
        "endpoint",
        "state",
        "timer",
    )

    def __init__(
        self,
        delivery_number: int,
        attempt_id: str,
        client_attempt: ClientAttempt | None,
        gateway: int,
        on_end: EndCallback,
    ) -> None:
        self.delivery_number = delivery_number
        self.attempt_id = attempt_id
        self.client_attempt = client_attempt
        """The client attempt that the gateway forwarded; None if no client attempt has this id."""
        self.gateway = gateway
        self.on_end = on_end
        self.endpoint: EmulatedEndpoint | None = None
        self.state = ReceivedState.QUEUED
        self.timer: TimerHandle | None = None


@dataclass
class ActiveFaults:
    """The faults in effect at an endpoint; set and reset by the run's fault functions."""

    slowdown: float = 1.0
    failing_classes: set[str | None] = field(default_factory=set)
    """Request classes whose requests fail; None means all classes."""
    is_silent: bool = False
    """The endpoint accepts connections and never answers."""
    reset_share: float = 0.0
    """Share of attempts whose connection is reset."""
    lost_share: float = 0.0
    """Share of attempts that run but whose response is never sent."""
    delay_ms: float = 0.0
    """Added delay of each response."""
    corrupt_share: float = 0.0
    """Share of attempts that are answered with bytes that do not form an HTTP response."""
    max_connections: int | None = None
    """Overrides the endpoint's own connection limit; None keeps it."""


class EndpointIdentity(NamedTuple):
    """Name and location of an endpoint."""

    name: str
    number: int
    """Position in the fleet; a replacement keeps the number and gets a new name."""
    zone: str
    cell: int


def _no_hook() -> None:
    """Default hook for endpoints without listening sockets, as on the virtual clock."""


class EmulatedEndpoint:
    """One endpoint, across restarts of its process: its state, connections, queue and running attempts."""

    def __init__(
        self,
        identity: EndpointIdentity,
        started_at_ms: float | None,
        section: EndpointSection,
        rules: RulesSection,
        clock: TestbedClock,
        event_log: EventLog,
        deduplication: DeduplicationStore,
        random_stream: random.Random,
    ) -> None:
        self.identity = identity
        self.started_at_ms = started_at_ms
        """Time of its last cold start; None if it has been warm since the run began."""
        self.section = section
        self.faults = ActiveFaults()
        self.is_up = True
        self.is_draining = False
        self.running: dict[int, ReceivedAttempt] = {}
        """Attempts being executed, by delivery number."""
        self.queue: deque[ReceivedAttempt] = deque()
        self.connections: dict[int, int] = {}
        """Open connections by gateway."""
        self.mean_service_ms = 0.0
        self.on_down: Callable[[], None] = _no_hook
        """Called when the process goes down, so that its sockets can be closed."""
        self.on_up: Callable[[], None] = _no_hook
        self._rules = rules
        self._clock = clock
        self._event_log = event_log
        self._deduplication = deduplication
        self._random = random_stream
        self._recent_work: deque[tuple[float, float]] = deque()
        """Arrival time and work of the attempts received within the overload window."""
        self.speed = section.speed * random_stream.uniform(1 - section.speed_spread, 1 + section.speed_spread)
        self._log_start(clock.now(), is_cold=started_at_ms is not None)

    @property
    def name(self) -> str:
        """Name on the endpoint list; a replacement has a new one."""
        return self.identity.name

    @property
    def number(self) -> int:
        """Position in the fleet, from 0; a replacement keeps it."""
        return self.identity.number

    @property
    def zone(self) -> str:
        """Zone; decides network latency and, for some classes, the scope of idempotency keys."""
        return self.identity.zone

    @property
    def cell(self) -> int:
        """Cell; decides the scope of idempotency keys for some classes."""
        return self.identity.cell

    # Connections

    def accept_connection(self, gateway: int) -> bool:
        """Accepts a new connection; returns False while the endpoint is down or at its connection limit."""
        limit = self.faults.max_connections
        if limit is None:
            limit = self.section.connections
        if not self.is_up or sum(self.connections.values()) >= limit:
            return False
        self.connections[gateway] = self.connections.get(gateway, 0) + 1
        return True

    def connection_closed(self, gateway: int) -> None:
        """Releases one connection of this gateway."""
        self.connections[gateway] = self.connections.get(gateway, 0) - 1
        if self.connections[gateway] <= 0:
            del self.connections[gateway]

    # Attempts

    def receive(self, attempt: ReceivedAttempt, first_byte_ms: float | None = None) -> None:
        """Handles an attempt whose last byte has arrived; rejected work also counts towards an overload."""
        now = self._clock.now()
        attempt.endpoint = self
        work_ms = attempt.client_attempt.work_ms if attempt.client_attempt else 0.0
        self.log_received(attempt, now if first_byte_ms is None else first_byte_ms, work_ms)
        if not self.is_up:
            self.end_attempt(attempt, EndpointOutcome.CONNECTION_RESET, has_run=False)
        elif self._is_overloaded(now, work_ms):
            self._event_log.add(EndpointChanged(now, self.name, EndpointState.OVERLOADED))
            self.go_down(self.section.down_ms)
        elif not self.faults.is_silent:
            self._serve(attempt)

    def log_received(self, attempt: ReceivedAttempt, first_byte_ms: float, work_ms: float = 0.0) -> None:
        """Logs the arrival of an attempt, including one that is then rejected or ignored."""
        self._event_log.add(
            EndpointReceived(
                self._clock.now(),
                attempt_id=attempt.attempt_id,
                delivery_number=attempt.delivery_number,
                endpoint=self.name,
                gateway=attempt.gateway,
                first_byte_ms=first_byte_ms,
                work_ms=work_ms,
            )
        )

    def abandon(self, attempt: ReceivedAttempt) -> None:
        """Handles a closed connection: a running attempt runs to its end, a queued one is dropped."""
        if attempt.state is ReceivedState.FINISHED:
            return
        self._event_log.add(AttemptAbandoned(self._clock.now(), attempt.attempt_id, attempt.delivery_number))
        if attempt.state is ReceivedState.QUEUED and attempt in self.queue:
            self.queue.remove(attempt)
        attempt.state = ReceivedState.FINISHED

    def end_attempt(self, attempt: ReceivedAttempt, outcome: EndpointOutcome, has_run: bool) -> None:
        """Logs an attempt's outcome and reports it to the transport; does nothing if it is finished."""
        if attempt.state is ReceivedState.FINISHED:
            return
        attempt.state = ReceivedState.FINISHED
        self._event_log.add(
            EndpointFinished(self._clock.now(), attempt.attempt_id, attempt.delivery_number, outcome, has_run)
        )
        attempt.on_end(attempt, outcome)

    def warm_up_fraction(self) -> float:
        """Share of the full speed reached so far; grows linearly from `cold_from` to 1 over `cold_ms`."""
        if self.started_at_ms is None:
            return 1.0
        initial = self._rules.cold_from
        age = (self._clock.now() - self.started_at_ms) / max(1.0, self._rules.cold_ms)
        return min(1.0, initial + (1 - initial) * age)

    def _serve(self, attempt: ReceivedAttempt) -> None:
        are_cores_busy = len(self.running) >= self.section.cores
        is_queue_full = len(self.queue) >= self.section.queue
        if self._random.random() < self.faults.reset_share:
            self._run(attempt, EndpointOutcome.CONNECTION_RESET)
        elif self.is_draining or (are_cores_busy and is_queue_full):
            self.end_attempt(attempt, EndpointOutcome.REJECTED, has_run=False)
        elif are_cores_busy:
            self.queue.append(attempt)
        else:
            self._run(attempt)

    def _is_overloaded(self, now: float, work_ms: float) -> bool:
        """Whether the work received within the overload window exceeds what a warming endpoint can take."""
        warm_up_fraction = self.warm_up_fraction()
        if warm_up_fraction >= 1.0:
            return False
        window_ms = self._rules.fall_ms
        self._recent_work.append((now, work_ms))
        while self._recent_work[0][0] <= now - window_ms:
            self._recent_work.popleft()
        capacity_ms = self.section.cores * self.speed * warm_up_fraction * window_ms
        received_ms = sum(recent_ms for _, recent_ms in self._recent_work)
        return received_ms > self._rules.fall_multiple * capacity_ms + OVERLOAD_TOLERANCE_REQUESTS * work_ms

    def _run(self, attempt: ReceivedAttempt, forced_outcome: EndpointOutcome | None = None) -> None:
        client_attempt = attempt.client_attempt
        assert client_attempt is not None
        attempt.state = ReceivedState.RUNNING
        self.running[attempt.delivery_number] = attempt
        service_ms = self._service_ms(attempt, client_attempt)
        self.mean_service_ms += SERVICE_TIME_SMOOTHING * (service_ms - self.mean_service_ms)

        def finish() -> None:
            self._finish(attempt, forced_outcome or self._draw_outcome(client_attempt))

        attempt.timer = self._clock.call_at(self._clock.now() + service_ms, finish)

    def _service_ms(self, attempt: ReceivedAttempt, client_attempt: ClientAttempt) -> float:
        service_ms = client_attempt.work_ms / self.speed / self.warm_up_fraction() * self.faults.slowdown
        request_class = client_attempt.request_class
        if request_class.repeat != IDEMPOTENT_WITH_KEY:
            return service_ms
        key = client_attempt.idempotency_key
        if self._deduplication.is_repeat(key, self._scope(request_class), request_class.remember_ms):
            return DUPLICATE_SERVICE_MS
        self._event_log.add(RequestExecuted(self._clock.now(), attempt.attempt_id, key, self.name))
        return service_ms

    def _scope(self, request_class: RequestClassSection) -> object:
        """Value common to all endpoints that share idempotency keys for this class; None for the fleet."""
        return {"all": None, "zone": self.zone, "cell": self.cell}[request_class.group]

    def _draw_outcome(self, client_attempt: ClientAttempt) -> EndpointOutcome:
        failing = self.faults.failing_classes
        if client_attempt.request_class.name in failing or None in failing:
            return EndpointOutcome.FAILED
        if self._random.random() < self.faults.corrupt_share:
            return EndpointOutcome.CORRUPT_RESPONSE
        return EndpointOutcome.SUCCEEDED

    def _finish(self, attempt: ReceivedAttempt, outcome: EndpointOutcome) -> None:
        """Ends an executed attempt, after a delay or without a response if an active fault requires it."""
        now = self._clock.now()
        self.running.pop(attempt.delivery_number, None)
        if self.faults.lost_share and self._random.random() < self.faults.lost_share:
            self._event_log.add(ResponseLost(now, attempt.attempt_id, attempt.delivery_number))
        elif self.faults.delay_ms:
            self._clock.call_at(
                now + self.faults.delay_ms, lambda: self.end_attempt(attempt, outcome, has_run=True)
            )
        else:
            self.end_attempt(attempt, outcome, has_run=True)
        while self.queue and len(self.running) < self.section.cores and self.is_up:
            self._run(self.queue.popleft())

    # The process

    def go_down(self, duration_ms: float | None) -> None:
        """Ends the process; it restarts cold after `duration_ms`, or only by `start_cold` if that is None."""
        self.is_up = False
        self.connections.clear()
        self._reset_attempts()
        self._event_log.add(EndpointChanged(self._clock.now(), self.name, EndpointState.DOWN))
        self.on_down()
        if duration_ms is not None:
            self._clock.call_at(self._clock.now() + duration_ms, self.start_cold)

    def start_cold(self) -> None:
        """Starts the process again, not warmed up."""
        now = self._clock.now()
        self.is_up = True
        self.is_draining = False
        self.started_at_ms = now
        self._recent_work.clear()
        self._log_start(now, is_cold=True)
        self.on_up()

    def _reset_attempts(self) -> None:
        attempts = [*self.running.values(), *self.queue]
        self.running.clear()
        self.queue.clear()
        for attempt in attempts:
            if attempt.timer is not None:
                attempt.timer.cancel()
            has_run = attempt.state is ReceivedState.RUNNING
            self.end_attempt(attempt, EndpointOutcome.CONNECTION_RESET, has_run)

    def _log_start(self, now: float, is_cold: bool) -> None:
        self._event_log.add(
            EndpointChanged(
                now,
                self.name,
                EndpointState.STARTED,
                zone=self.zone,
                cell=self.cell,
                is_cold=is_cold,
                cores=self.section.cores,
                speed=round(self.speed, 4),
            )
        )
