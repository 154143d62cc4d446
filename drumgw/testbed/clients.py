"""The emulated clients and the load balancer in front of the gateways.

Clients send requests at the workload's arrival times and retry as their request classes allow.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from drumgw.testbed.client_requests import ClientAttempt, ClientRequest
from drumgw.testbed.clocks import TestbedClock
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.logged_events import (
    AttemptSent,
    ClientGaveUp,
    ClientLeft,
    ConnectFailed,
    ConnectionClosed,
    RequestCreated,
    ResponseReceived,
    SentLate,
)
from drumgw.testbed.scenario import IDEMPOTENT, Scenario
from drumgw.testbed.statuses import REJECTION_STATUSES, STATUS_SUCCEEDED
from drumgw.testbed.workload import Arrival, Customer, RandomStream, Workload

GIVE_UP_GRACE_MS = 500.0
"""How long a client still waits after an attempt's time left.

The oracle reports a response in this time as late, unless it is within the oracle's tolerance."""
DRAIN_DETECTION_MS = 300.0
"""Time from the start of a gateway's shutdown until the load balancer stops sending it requests."""
MAX_LATENESS_MS = 20.0
"""A request sent more than this after its arrival time is logged as late: the testbed did not keep up."""
LEAVE_FRACTION_RANGE = (0.05, 0.6)
"""A client that disconnects early does so after a fraction of its time left within this range."""
BACKOFF_FACTOR_RANGE = (0.5, 1.5)
"""Range of the random factor that a retry's backoff is multiplied by."""
MIN_TIME_LEFT_MS = 5.0
"""An attempt that would have less time than this is not sent."""


class AttemptSender(Protocol):
    """Transport that carries clients' attempts to gateways.

    It reports the result to the `ClientPopulation` through `response_received`, `connection_closed` or
    `connect_failed`.
    """

    def send(self, attempt: ClientAttempt) -> None:
        """Sends an attempt to its gateway; returns without waiting for the response."""

    def cancel(self, attempt: ClientAttempt) -> None:
        """Closes the attempt's connection because the client disconnects or gives up."""


class ClientPopulation:
    """All clients of a scenario, and the load balancer's view of which gateways are in rotation."""

    def __init__(
        self, scenario: Scenario, workload: Workload, clock: TestbedClock, event_log: EventLog
    ) -> None:
        self.sender: AttemptSender | None = None
        self.start_ms = 0.0
        self.known_attempts: dict[str, ClientAttempt] = {}
        """By id: attempts that may still reach endpoints; removed twice the expiry time after they close."""
        self.leave_share = scenario.clients.leave
        self.sent_count = 0
        self.sent_late_count = 0
        self._scenario = scenario
        self._workload = workload
        self._clock = clock
        self._event_log = event_log
        self._random = workload.random_stream(RandomStream.CLIENTS)
        self._arrivals: Iterator[Arrival] = iter(())
        self._in_rotation = [True] * scenario.fleet.gatekeepers

    def start(self) -> None:
        """Starts the load; arrival times count from now."""
        self.start_ms = self._clock.now()
        self._arrivals = self._workload.arrivals()
        self._schedule_next()

    def receive_arrival(self, arrival: Arrival) -> None:
        """Sends a request at its arrival; its deadline counts from the intended time, even if sent late."""
        self._schedule_next()
        now = self._clock.now()
        intended_ms = self.start_ms + arrival.at_ms
        self.sent_count += 1
        if now - intended_ms > MAX_LATENESS_MS:
            self.sent_late_count += 1
            self._event_log.add(SentLate(now, late_by_ms=round(now - intended_ms, 3)))
        self._event_log.add(
            RequestCreated(
                now,
                request=arrival.number,
                request_class=arrival.request_class.name,
                plan=arrival.customer.plan.name,
                units=arrival.units,
                intended_ms=round(intended_ms, 3),
            )
        )
        self._send_attempt(ClientRequest(arrival, intended_ms))

    def set_in_rotation(self, gateway: int, is_ready: bool) -> None:
        """Puts a gateway into the load balancer's rotation, or takes it out."""
        self._in_rotation[gateway] = is_ready

    # Results reported by the sender

    def response_received(
        self, attempt: ClientAttempt, status: int, body_attempt_id: str, retry_after_ms: float
    ) -> None:
        """Handles a complete response; `body_attempt_id` is the id of the attempt that its body names."""
        now = self._clock.now()
        if attempt.is_closed:
            self._event_log.add(
                ResponseReceived(now, attempt.attempt_id, status, body_attempt_id, is_duplicate=True)
            )
            return
        self._close(attempt)
        self._event_log.add(
            ResponseReceived(now, attempt.attempt_id, status, body_attempt_id, round(retry_after_ms, 3))
        )
        if status in REJECTION_STATUSES:
            self._retry(attempt, retry_after_ms)
        elif status != STATUS_SUCCEEDED:
            self._retry_if_idempotent(attempt)

    def connection_closed(self, attempt: ClientAttempt) -> None:
        """Handles a connection that the gateway closed before a complete response."""
        if self._close(attempt):
            self._event_log.add(ConnectionClosed(self._clock.now(), attempt.attempt_id))
            self._retry_if_idempotent(attempt)

    def connect_failed(self, attempt: ClientAttempt) -> None:
        """Handles a failed connect; the gateway never received the request, so any class may be retried."""
        if self._close(attempt):
            self._event_log.add(ConnectFailed(self._clock.now(), attempt.attempt_id))
            self._retry(attempt)

    # Attempts

    def _schedule_next(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is not None:
            self._clock.call_at(self.start_ms + arrival.at_ms, lambda: self.receive_arrival(arrival))

    def _send_attempt(self, request: ClientRequest) -> None:
        now = self._clock.now()
        time_share = self._random.uniform(self._scenario.clients.patience, 1.0)
        time_left_ms = (request.deadline_ms - now) * time_share
        if time_left_ms < MIN_TIME_LEFT_MS:
            return
        gateway = self._choose_gateway(request.arrival.customer)
        request.attempt_count += 1
        attempt_id = f"{self._random.getrandbits(64):016x}"
        attempt = ClientAttempt(attempt_id, request, gateway, round(time_left_ms, 3), now)
        self.known_attempts[attempt_id] = attempt
        self._log_sent(attempt)
        give_up_ms = now + time_left_ms + GIVE_UP_GRACE_MS
        attempt.timers.append(self._clock.call_at(give_up_ms, lambda: self._give_up(attempt)))
        if self.leave_share and self._random.random() < self.leave_share:
            leave_ms = now + time_left_ms * self._random.uniform(*LEAVE_FRACTION_RANGE)
            attempt.timers.append(self._clock.call_at(leave_ms, lambda: self._disconnect(attempt)))
        assert self.sender is not None
        self.sender.send(attempt)

    def _log_sent(self, attempt: ClientAttempt) -> None:
        arrival = attempt.request.arrival
        self._event_log.add(
            AttemptSent(
                attempt.sent_at_ms,
                attempt_id=attempt.attempt_id,
                request=arrival.number,
                gateway=attempt.gateway,
                request_class=arrival.request_class.name,
                plan=arrival.customer.plan.name,
                customer=arrival.customer.number,
                units=arrival.units,
                time_left_ms=attempt.time_left_ms,
            )
        )

    def _choose_gateway(self, customer: Customer) -> int:
        """Picks one of the customer's gateways in rotation by weight, or any of them if none is."""
        weighted = list(zip(customer.gateways, customer.weights, strict=True))
        usable = [pair for pair in weighted if self._in_rotation[pair[0]]] or weighted
        gateways = [gateway for gateway, _ in usable]
        weights = [weight for _, weight in usable]
        return int(self._random.choices(gateways, weights)[0])

    def _close(self, attempt: ClientAttempt) -> bool:
        """Closes an attempt and cancels its timers; returns False if it was already closed."""
        if attempt.is_closed:
            return False
        attempt.is_closed = True
        for timer in attempt.timers:
            timer.cancel()
        removal_ms = self._clock.now() + 2 * attempt.request_class.expiry_ms
        self._clock.call_at(removal_ms, lambda: self._remove_known_attempt(attempt))
        return True

    def _remove_known_attempt(self, attempt: ClientAttempt) -> None:
        self.known_attempts.pop(attempt.attempt_id, None)

    def _disconnect(self, attempt: ClientAttempt) -> None:
        if self._close(attempt):
            self._event_log.add(ClientLeft(self._clock.now(), attempt.attempt_id))
            self._cancel(attempt)

    def _give_up(self, attempt: ClientAttempt) -> None:
        """Closes an attempt that got no response; the oracle decides whether a gateway is at fault."""
        if self._close(attempt):
            self._event_log.add(ClientGaveUp(self._clock.now(), attempt.attempt_id))
            self._cancel(attempt)
            self._retry_if_idempotent(attempt)

    def _cancel(self, attempt: ClientAttempt) -> None:
        assert self.sender is not None
        self.sender.cancel(attempt)

    def _retry_if_idempotent(self, attempt: ClientAttempt) -> None:
        """Retries after a failure in which the request may have run, which only idempotent requests allow."""
        if attempt.request_class.repeat == IDEMPOTENT:
            self._retry(attempt)

    def _retry(self, attempt: ClientAttempt, retry_after_ms: float = 0.0) -> None:
        """Schedules a retry after Retry-After or a backoff, if retries and time remain."""
        section = self._scenario.clients
        request = attempt.request
        if request.attempt_count > section.retries:
            return
        honors_retry_after = retry_after_ms > 0 and self._random.random() < section.observe
        wait_ms = (
            retry_after_ms
            if honors_retry_after
            else section.backoff_ms * self._random.uniform(*BACKOFF_FACTOR_RANGE)
        )
        retry_ms = self._clock.now() + wait_ms
        if retry_ms < request.deadline_ms:
            self._clock.call_at(retry_ms, lambda: self._send_attempt(request))
