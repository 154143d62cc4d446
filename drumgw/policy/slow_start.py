"""Slow start: limits the attempts sent to endpoints that are warming up."""

from __future__ import annotations

from drumgw.model.settings import GatewaySettings
from drumgw.policy.context import DecisionContext
from drumgw.policy.endpoint_set import EndpointSet
from drumgw.policy.endpoint_state import EndpointState

BUDGET_FRACTION = 0.4
"""Fraction of the tolerated load of a warming endpoint that all gateways together use."""
MAX_TOKENS = 1.0
"""Bucket size: a single token, so that a pause is not followed by a burst of attempts."""
MIN_WARM_UP_MS = 1.0


class SlowStart:
    """Token buckets that protect endpoints which fail under too much load before they are warm.

    Such a failure shows as an endpoint that stops serving requests soon after it starts. The refill rate is a
    fraction of the rate at which a nearby endpoint completes requests for this gateway, so that the limit
    also holds for the sum over all gateways.
    """

    def __init__(self, context: DecisionContext, settings: GatewaySettings, endpoints: EndpointSet) -> None:
        self.context = context
        self.endpoints = endpoints
        self.initial_fraction = settings.warm_up_initial_fraction
        self.duration_ms = max(MIN_WARM_UP_MS, settings.warm_up_ms)
        self.budget_multiple = BUDGET_FRACTION * settings.warm_up_overload_multiple

    def warm_up_fraction(self, endpoint: EndpointState) -> float:
        """The fraction of its full capacity that an endpoint has now; 1 once it is warm."""
        started_at_ms = endpoint.started_at_ms
        progress = 1.0 if started_at_ms is None else (self.context.now_ms - started_at_ms) / self.duration_ms
        return min(1.0, self.initial_fraction + (1 - self.initial_fraction) * progress)

    def may_send(self, endpoint: EndpointState) -> bool:
        """Refills an endpoint's tokens; returns whether it is warm or has a token for an attempt."""
        fraction = self.warm_up_fraction(endpoint)
        if fraction >= 1.0:
            return True
        rate = self.budget_multiple * fraction / self.endpoints.completion_interval_ms()
        now_ms = self.context.now_ms
        tokens = endpoint.warm_up_tokens + rate * (now_ms - endpoint.tokens_at_ms)
        endpoint.warm_up_tokens = min(MAX_TOKENS, tokens)
        endpoint.tokens_at_ms = now_ms
        return endpoint.warm_up_tokens >= 1.0
