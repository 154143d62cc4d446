"""Tracks attempts from start to end and reports their results to the latency, limit and health estimators."""

from __future__ import annotations

from collections.abc import Mapping

from drumgw.model.actions import CancelAttempt
from drumgw.model.events import AttemptEnded, Outcome
from drumgw.model.settings import GatewaySettings, Idempotency
from drumgw.policy.back_end import BackEnd
from drumgw.policy.context import NEVER_MS, DecisionContext
from drumgw.policy.endpoint_state import AttemptInFlight, EndpointState
from drumgw.policy.latency import ClassLatency, update_slowness
from drumgw.policy.overload import (
    LATE_OBJECTIVE_FRACTION,
    OVERLOADED_UTILIZATION,
    LoadState,
)
from drumgw.policy.request_state import PendingRequest
from drumgw.policy.retry import RetryPolicy

OVERDUE_QUANTILE_MULTIPLE = 2.0
"""An attempt is overdue after this multiple of the high latency quantile expected at its endpoint."""


class AttemptTracker:
    """Records the start and end of attempts, and detects overdue ones.

    Attempts in flight are stored in the state of their endpoint.
    """

    def __init__(
        self,
        context: DecisionContext,
        settings: GatewaySettings,
        pending: Mapping[int, PendingRequest],
        back_end: BackEnd,
        retries: RetryPolicy,
    ) -> None:
        self.context = context
        self.request_classes = settings.request_classes
        self.cancellation_allowed = settings.cancellation_allowed
        self.pending = pending
        self.endpoints = back_end.endpoints
        self.limit = back_end.limit
        self.overload = back_end.overload
        self.outliers = back_end.outliers
        self.slow_start = back_end.slow_start
        self.retries = retries
        self.latencies = [
            ClassLatency(request_class.latency_objective_ms) for request_class in settings.request_classes
        ]

    def start(self, request: PendingRequest, endpoint: EndpointState) -> None:
        """Records a new attempt of a request at an endpoint, and sets when it becomes overdue."""
        now_ms = self.context.now_ms
        self.limit.record_start()
        request.account.attempts_in_flight += 1
        request.last_sent_at_ms = now_ms
        request.tried_endpoints.append(endpoint)
        high_quantile_ms = self.latencies[request.class_index].high_quantile_ms
        expected_ms = OVERDUE_QUANTILE_MULTIPLE * high_quantile_ms * endpoint.slowness
        expected_ms /= self.slow_start.warm_up_fraction(endpoint)
        overdue_after_ms = min(request.request_class.latency_objective_ms, expected_ms)
        endpoint.attempts[request.request_id] = AttemptInFlight(
            request.class_index, now_ms, now_ms + overdue_after_ms
        )
        self.endpoints.with_attempts[endpoint.endpoint_id] = endpoint

    def end(self, event: AttemptEnded) -> None:
        """Records the end of an attempt; unknown attempts are ignored."""
        endpoint = self.endpoints.by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        attempt = endpoint.attempts.pop(event.request_id, None)
        if attempt is None:
            return
        self.limit.record_end(attempt.is_overdue)
        if event.outcome is Outcome.SUCCEEDED:
            self._record_success(endpoint, attempt, event)
        elif event.outcome is Outcome.REJECTED:
            self.overload.record_rejection()
        self.outliers.record(endpoint, attempt, event.outcome)
        if not endpoint.attempts:
            del self.endpoints.with_attempts[endpoint.endpoint_id]

    def _record_success(self, endpoint: EndpointState, attempt: AttemptInFlight, event: AttemptEnded) -> None:
        self.limit.record_completion()
        self.endpoints.record_completion()
        if self.context.is_after_stall:  # the duration includes the stall
            return
        duration_ms = event.duration_ms
        if self.overload.state is LoadState.SPARE_CAPACITY:
            self.limit.record_unloaded_latency(duration_ms)
        latency = self.latencies[attempt.class_index]
        latency.record(duration_ms)
        update_slowness(self.context, endpoint, duration_ms > endpoint.slowness * latency.high_quantile_ms)
        objective_ms = self.request_classes[attempt.class_index].latency_objective_ms
        is_late = duration_ms > LATE_OBJECTIVE_FRACTION * objective_ms
        if not is_late:
            self.limit.grow()
        self.overload.record_answer(is_late, is_retry=event.attempt > 0)

    def check_overdue(self) -> None:
        """Handles the attempts that have become overdue since the last check; called once per tick."""
        now_ms = self.context.now_ms
        for endpoint in self.endpoints.with_attempts.values():
            for request_id, attempt in endpoint.attempts.items():
                if attempt.overdue_at_ms < now_ms:
                    self._record_overdue(endpoint, request_id, attempt)

    def _record_overdue(self, endpoint: EndpointState, request_id: int, attempt: AttemptInFlight) -> None:
        """Detects endpoints that accept requests but never answer them.

        Such an endpoint reports no failures and looks idle, while its requests wait until their deadline. An
        overdue attempt therefore counts as a failure, and is cancelled if its request can be sent elsewhere.
        While answers are late in general, the endpoint is not the cause, and more attempts only add load.
        """
        attempt.overdue_at_ms = NEVER_MS
        self.limit.record_overdue()
        update_slowness(self.context, endpoint, is_slow=True)
        self.overload.record_overdue()
        if self.overload.is_late:
            return
        self.outliers.record_overdue(endpoint, attempt)
        request = self.pending.get(request_id)
        if request is not None and self._may_cancel(attempt):
            self.context.actions.append(CancelAttempt(request_id, len(request.tried_endpoints) - 1))

    def _may_cancel(self, attempt: AttemptInFlight) -> bool:
        """Whether an overdue attempt may be cancelled so that its request is sent elsewhere."""
        request_class = self.request_classes[attempt.class_index]
        return (
            self.cancellation_allowed
            and request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
            and self.overload.utilization < OVERLOADED_UTILIZATION
            and self.retries.has_budget
        )

    def exclude_stall(self, stall_ms: float) -> None:
        """Excludes a stall of this process from the age of all attempts in flight.

        Otherwise they would become overdue and count as failures of their endpoints.
        """
        for endpoint in self.endpoints.with_attempts.values():
            for attempt in endpoint.attempts.values():
                attempt.shift(stall_ms)
