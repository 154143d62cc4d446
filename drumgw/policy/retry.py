"""Retry policy: whether a request may be sent again, and the final answer if it may not."""

from __future__ import annotations

from drumgw.model.actions import FailRequest, RejectRequest
from drumgw.model.settings import DeduplicationScope, GatewaySettings, Idempotency
from drumgw.policy.context import NEVER_MS, DecisionContext
from drumgw.policy.overload import OverloadDetector
from drumgw.policy.request_state import PendingRequest

BUDGET_PER_FIRST_ATTEMPT = 0.15
"""Retries that each first attempt adds to the budget."""
MAX_BUDGET = 20.0
"""Most retries that the budget can accumulate; also its initial value."""
MIN_RETRY_AFTER_MS = 1.0
"""Lower limit of the Retry-After of requests rejected by quota or load, as 0 means not rejected."""
DEFAULT_RETRY_AFTER_MS = 1000.0
"""Retry-After of requests that failed for other reasons than quota or load."""
MAX_RETRY_AFTER_JITTER = 1.2
"""Maximum factor of the Retry-After jitter, so that clients rejected together retry at different times."""
RETRY_AFTER_WINDOW_FRACTION = 0.5
"""Upper limit of Retry-After as a fraction of the time left in the idempotency window."""
MIN_WINDOW_LEFT_MS = 1.0
"""With less time left in the idempotency window, a client's retry is not considered safe."""


class RetryPolicy:
    """Limits retries to a budget and to requests that are safe to repeat."""

    def __init__(
        self, context: DecisionContext, settings: GatewaySettings, overload: OverloadDetector
    ) -> None:
        self.context = context
        self.overload = overload
        self.max_retry_after_ms = settings.max_retry_after_ms
        self.budget = MAX_BUDGET

    @property
    def has_budget(self) -> bool:
        """Whether the budget covers at least one retry."""
        return self.budget >= 1

    def record_attempt(self, is_retry: bool) -> None:
        """Updates the budget: first attempts add to it, and each retry uses 1."""
        change = -1.0 if is_retry else BUDGET_PER_FIRST_ATTEMPT
        self.budget = max(0.0, min(MAX_BUDGET, self.budget + change))

    def may_retry(self, request: PendingRequest) -> bool:
        """Whether a request may be sent again.

        A request that cannot have run is always retried while answers are in time; otherwise the budget must
        cover the retry. A request that may have run must be idempotent, and the endpoints must still hold its
        idempotency key.
        """
        may_have_run = request.may_have_run_on is not None
        if not self.has_budget and (may_have_run or self.overload.is_late):
            return False
        if may_have_run and request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        return self.context.now_ms < self.idempotent_until_ms(request)

    def idempotent_until_ms(self, request: PendingRequest) -> float:
        """Returns when endpoints drop the idempotency key of a request that may have run, else `NEVER_MS`.

        A retry whose last byte arrives after that time would run a second time, however early it was
        decided. Each attempt therefore carries this time as the deadline for writing it.
        """
        may_have_run = request.may_have_run_on is not None
        if may_have_run and request.request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            return request.may_have_run_at_ms + request.request_class.idempotency_window_ms
        return NEVER_MS

    def final_answer(self, request: PendingRequest) -> RejectRequest | FailRequest:
        """Returns a rejection if the client may safely retry, otherwise a failure."""
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
        """Whether a client may safely retry a request that may have run.

        The retry may reach any endpoint through any gateway, so with an idempotency key all endpoints must
        share deduplication.
        """
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            is_shared = request_class.deduplication_scope is DeduplicationScope.ALL
            return is_shared and window_left_ms > MIN_WINDOW_LEFT_MS
        return request_class.idempotency is Idempotency.IDEMPOTENT
