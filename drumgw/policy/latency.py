"""Estimates high quantiles of latency: of each request class, and of each endpoint beside the others.

An estimate moves up by a step for an answer above it and down by less for one below, so that it settles where
the quantile's share of answers is below it. No answers are stored.
"""

from __future__ import annotations

from drumgw.policy.context import RATE_MEMORY_MS, DecisionContext
from drumgw.policy.endpoint_state import EndpointState

HIGH_QUANTILE = 0.9
INITIAL_OBJECTIVE_FRACTION = 0.5
"""First estimate of a class, as a part of its latency objective."""
MIN_CLASS_STEP = 0.03
MIN_ENDPOINT_STEP = 0.1
MAX_ENDPOINT_STEP = 0.5
MIN_SLOWNESS = 0.67
MAX_SLOWNESS = 5.0


def quantile_factor(step: float, is_above: bool) -> float:
    """What an estimate is multiplied by after an answer above or below it."""
    return 1 + step * (HIGH_QUANTILE - (0 if is_above else 1))


class ClassLatency:
    """The high latency quantile of one request class, over all endpoints."""

    def __init__(self, latency_objective_ms: float) -> None:
        self.high_ms = INITIAL_OBJECTIVE_FRACTION * latency_objective_ms
        self.answers = 0

    def record(self, duration_ms: float) -> None:
        """Records an answer; the first ones move the estimate most."""
        self.answers += 1
        step = max(MIN_CLASS_STEP, 1 / (1 + self.answers))
        self.high_ms *= quantile_factor(step, duration_ms > self.high_ms)


def update_slowness(context: DecisionContext, endpoint: EndpointState, is_slow: bool) -> None:
    """Records whether an endpoint was slower than its own estimate; rare answers move it most."""
    silence_ms = context.now_ms - endpoint.last_answer_at_ms
    step = min(MAX_ENDPOINT_STEP, max(MIN_ENDPOINT_STEP, silence_ms / RATE_MEMORY_MS))
    slowness = endpoint.slowness * quantile_factor(step, is_slow)
    endpoint.slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
    endpoint.last_answer_at_ms = context.now_ms
