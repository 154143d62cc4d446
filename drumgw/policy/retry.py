"""Whether a request may be sent again, and its final answer where it may not."""

from __future__ import annotations

from drumgw.model.actions import FailRequest, RejectRequest
from drumgw.model.settings import DeduplicationScope, GatewaySettings, Idempotency
from drumgw.policy.context import NEVER_MS, DecisionContext
from drumgw.policy.overload import OverloadDetector
from drumgw.policy.request_state import PendingRequest

BUDGET_PER_FIRST_ATTEMPT = 0.15
"""Retries that each first attempt pays for."""
MAX_BUDGET = 20.0
MIN_RETRY_AFTER_MS = 1.0
"""Of a request that is rejected by quota or load."""
DEFAULT_RETRY_AFTER_MS = 1000.0
"""Where nothing else tells when a retry may succeed."""
MAX_RETRY_AFTER_JITTER = 1.2
"""Clients that were rejected together come back spread over a fifth of the time."""
RETRY_AFTER_WINDOW_FRACTION = 0.5
"""A client comes again within this part of what is left of the idempotency window."""
MIN_WINDOW_LEFT_MS = 1.0


class RetryPolicy:
    """Keeps retries within a budget, and within what is safe to repeat."""

    def __init__(
        self, context: DecisionContext, settings: GatewaySettings, overload: OverloadDetector
    ) -> None:
        self.context = context
        self.overload = overload
        self.max_retry_after_ms = settings.max_retry_after_ms
        self.budget = MAX_BUDGET

    @property
    def has_budget(self) -> bool:
        """Whether the budget allows a retry."""
        return self.budget >= 1

    def record_attempt(self, is_retry: bool) -> None:
        """First attempts fill the budget, retries use it."""
        change = -1.0 if is_retry else BUDGET_PER_FIRST_ATTEMPT
        self.budget = max(0.0, min(MAX_BUDGET, self.budget + change))

    def may_retry(self, request: PendingRequest) -> bool:
        """Whether a request may be sent again.

        One that never ran always may while answers are in time; else the budget must allow it. One that may
        have run must be idempotent, and its key still known to the endpoints.
        """
        may_have_run = request.may_have_run_on is not None
        if not self.has_budget and (may_have_run or self.overload.is_late):
            return False
        if may_have_run and request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        return self.context.now_ms < self.idempotent_until_ms(request)

    def idempotent_until_ms(self, request: PendingRequest) -> float:
        """When endpoints forget the idempotency key of a request that may have run.

        Guards against a second effect: a retry whose last byte arrives later runs again, however early it
        was decided. So it goes with each attempt as the time to write it by.
        """
        may_have_run = request.may_have_run_on is not None
        if may_have_run and request.request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            return request.may_have_run_at_ms + request.request_class.idempotency_window_ms
        return NEVER_MS

    def final_answer(self, request: PendingRequest) -> RejectRequest | FailRequest:
        """Rejects where a client may safely try again, else fails the request."""
        window_left_ms = self.idempotent_until_ms(request) - self.context.now_ms
        jitter = self.context.random.uniform(1.0, MAX_RETRY_AFTER_JITTER)
        retry_after_ms = min(
            self.max_retry_after_ms,
            (request.retry_after_ms or DEFAULT_RETRY_AFTER_MS) * jitter,
            RETRY_AFTER_WINDOW_FRACTION * window_left_ms,
        )
        if request.may_have_run_on is None or self._is_safe_to_repeat(request, window_left_ms):
            return RejectRequest(request.request_id, max(0.0, retry_after_ms))
        return FailRequest(request.request_id)

    @staticmethod
    def _is_safe_to_repeat(request: PendingRequest, window_left_ms: float) -> bool:
        """A client's retry may come through any gateway, so all endpoints must share the memory of keys."""
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            is_shared = request_class.deduplication_scope is DeduplicationScope.ALL
            return is_shared and window_left_ms > MIN_WINDOW_LEFT_MS
        return request_class.idempotency is Idempotency.IDEMPOTENT
