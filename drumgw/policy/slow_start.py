"""Slow start: how much an endpoint that is warming up may be sent."""

from __future__ import annotations

from drumgw.model.settings import GatewaySettings
from drumgw.policy.context import DecisionContext
from drumgw.policy.endpoint_set import EndpointSet
from drumgw.policy.endpoint_state import EndpointState

BUDGET_FRACTION = 0.4
"""Part of what a warming endpoint bears that the gateways use together."""
MAX_TOKENS = 1.0
MIN_WARM_UP_MS = 1.0


class SlowStart:
    """Guards endpoints that fail when they are sent too much before they are warm.

    Such a failure shows as an endpoint that starts and soon serves nothing. The budget is a part of what
    nearby warm endpoints complete for this gateway, so the sum over all gateways keeps the rule too.
    """

    def __init__(self, context: DecisionContext, settings: GatewaySettings, endpoints: EndpointSet) -> None:
        self.context = context
        self.endpoints = endpoints
        self.initial_fraction = settings.warm_up_initial_fraction
        self.duration_ms = max(MIN_WARM_UP_MS, settings.warm_up_ms)
        self.budget_multiple = BUDGET_FRACTION * settings.warm_up_overload_multiple

    def warm_up_fraction(self, endpoint: EndpointState) -> float:
        """The part of its full capacity that an endpoint has now."""
        started_at_ms = endpoint.started_at_ms
        progress = 1.0 if started_at_ms is None else (self.context.now_ms - started_at_ms) / self.duration_ms
        return min(1.0, self.initial_fraction + (1 - self.initial_fraction) * progress)

    def may_send(self, endpoint: EndpointState) -> bool:
        """Whether an endpoint is warm, or has a token for an attempt; its tokens are refilled up to now."""
        fraction = self.warm_up_fraction(endpoint)
        if fraction >= 1.0:
            return True
        rate = self.budget_multiple * fraction / self.endpoints.completion_interval_ms()
        now_ms = self.context.now_ms
        tokens = endpoint.warm_up_tokens + rate * (now_ms - endpoint.tokens_at_ms)
        endpoint.warm_up_tokens = min(MAX_TOKENS, tokens)
        endpoint.tokens_at_ms = now_ms
        return endpoint.warm_up_tokens >= 1.0
