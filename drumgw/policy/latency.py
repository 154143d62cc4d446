"""Estimates a high quantile of latency, for each request class and for each endpoint relative to the others.

An answer above the estimate raises it by a large step, one below lowers it by a small step. The estimate
converges to the value that `HIGH_QUANTILE` of the answers are below. No answers are stored.
"""

from __future__ import annotations

from drumgw.policy.context import RATE_TIME_CONSTANT_MS, DecisionContext
from drumgw.policy.endpoint_state import EndpointState

HIGH_QUANTILE = 0.9
INITIAL_OBJECTIVE_FRACTION = 0.5
"""Initial estimate for a class, as a fraction of its latency objective."""
MIN_CLASS_STEP = 0.03
MIN_ENDPOINT_STEP = 0.1
MAX_ENDPOINT_STEP = 0.5
MIN_SLOWNESS = 0.67
MAX_SLOWNESS = 5.0


def quantile_factor(step: float, is_above: bool) -> float:
    """Factor by which an answer above or below an estimate changes it."""
    return 1 + step * (HIGH_QUANTILE - (0 if is_above else 1))


class ClassLatency:
    """Estimate of the high latency quantile of one request class, over all endpoints."""

    def __init__(self, latency_objective_ms: float) -> None:
        self.high_quantile_ms = INITIAL_OBJECTIVE_FRACTION * latency_objective_ms
        self.answers = 0

    def record(self, duration_ms: float) -> None:
        """Updates the estimate with an answer; the first answers have the largest weight."""
        self.answers += 1
        step = max(MIN_CLASS_STEP, 1 / (1 + self.answers))
        self.high_quantile_ms *= quantile_factor(step, duration_ms > self.high_quantile_ms)


def update_slowness(context: DecisionContext, endpoint: EndpointState, is_slow: bool) -> None:
    """Updates an endpoint's slowness with one answer or overdue attempt.

    Args:
        context: gives the current time.
        endpoint: the longer its previous answer is past, the larger the weight of this one.
        is_slow: whether the attempt took longer than the endpoint's own estimate.
    """
    since_last_answer_ms = context.now_ms - endpoint.last_answer_at_ms
    step = min(MAX_ENDPOINT_STEP, max(MIN_ENDPOINT_STEP, since_last_answer_ms / RATE_TIME_CONSTANT_MS))
    slowness = endpoint.slowness * quantile_factor(step, is_slow)
    endpoint.slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
    endpoint.last_answer_at_ms = context.now_ms
