"""The endpoints that this gateway knows, in its order of preference.

A gateway uses its nearby part of the fleet. Gateways begin at different places of one common hashed order, so
that together they load the fleet evenly without talking to each other.
"""

from __future__ import annotations

from drumgw.model.events import EndpointInfo, EndpointStatus, EndpointsUpdated
from drumgw.model.settings import GatewaySettings
from drumgw.policy.context import RATE_MEMORY_MS, DecisionContext
from drumgw.policy.endpoint_state import EndpointState

MIN_NEARBY_ENDPOINTS = 8
NEARBY_FLEET_PARTS = 4.0
"""The nearby part of a large fleet, in multiples of its even part for one gateway."""
MIN_ENDPOINTS_PER_GATEWAY = 0.1
MIN_RECENT_COMPLETIONS = 0.01
GOLDEN_RATIO = 0.618
"""Multiples of it, modulo 1, spread any number of gateways evenly over the order."""


class EndpointSet:
    """Endpoints by id, their order of preference, and how often they complete requests for this gateway."""

    def __init__(self, context: DecisionContext, settings: GatewaySettings) -> None:
        self.context = context
        self.ordinal = settings.ordinal
        self.gateways = settings.gateways
        self.zone = settings.zone
        self.prefers_own_zone = settings.cross_zone_fee > 0
        self.class_count = len(settings.request_classes)
        self.by_id: dict[int, EndpointState] = {}
        self.preferred: list[EndpointState] = []
        """All that are listed, the nearby ones first."""
        self.nearby_count = MIN_NEARBY_ENDPOINTS
        self.per_gateway = 1.0
        """Listed endpoints for each gateway of the fleet."""
        self.with_attempts: dict[int, EndpointState] = {}
        self.recent_completions = 0.0

    def update(self, event: EndpointsUpdated) -> None:
        """Takes over an endpoint list or its changes."""
        gone: set[int] = set()
        if event.is_complete:
            gone = set(self.by_id) - {info.endpoint_id for info in event.endpoints}
        for info in event.endpoints:
            if info.status is EndpointStatus.READY:
                self._add_if_new(info)
            else:
                gone.add(info.endpoint_id)
        for endpoint_id in gone & set(self.by_id):
            self.by_id[endpoint_id].is_listed = False
        self.by_id = {
            endpoint_id: endpoint
            for endpoint_id, endpoint in self.by_id.items()
            if endpoint.is_listed or endpoint.attempts
        }
        self._order()

    def _add_if_new(self, info: EndpointInfo) -> None:
        """Guards against an endpoint that restarts under its old id: its health and warm-up begin anew."""
        known = self.by_id.get(info.endpoint_id)
        if known and known.is_listed and (info.started_at_ms or 0) <= (known.started_at_ms or 0):
            return
        # A random first token, so that not all gateways send to a new endpoint at once
        endpoint = EndpointState.from_info(
            info, self.context.now_ms, self.class_count, warm_up_tokens=self.context.random.random()
        )
        self.by_id[info.endpoint_id] = endpoint
        if known and known.attempts:
            endpoint.attempts = known.attempts
            self.with_attempts[info.endpoint_id] = endpoint

    def _order(self) -> None:
        order = sorted(
            (endpoint for endpoint in self.by_id.values() if endpoint.is_listed),
            key=lambda endpoint: endpoint.hash_key,
        )
        start = int(self.ordinal * GOLDEN_RATIO % 1 * len(order))
        order = order[start:] + order[:start]
        self.per_gateway = max(MIN_ENDPOINTS_PER_GATEWAY, len(order) / self.gateways)
        self.nearby_count = max(MIN_NEARBY_ENDPOINTS, round(NEARBY_FLEET_PARTS * self.per_gateway))
        nearby = sorted(order, key=self._is_in_costly_zone)[: self.nearby_count]
        nearby_ids = {endpoint.endpoint_id for endpoint in nearby}
        self.preferred = nearby + [e for e in order if e.endpoint_id not in nearby_ids]

    def _is_in_costly_zone(self, endpoint: EndpointState) -> bool:
        return self.prefers_own_zone and endpoint.zone != self.zone

    def record_completion(self) -> None:
        """Counts a request that an endpoint completed."""
        self.recent_completions += 1

    def fade_completions(self, elapsed_ms: float) -> None:
        """Forgets completions as time passes."""
        self.recent_completions *= 1 - elapsed_ms / RATE_MEMORY_MS

    def completion_interval_ms(self) -> float:
        """Mean time between two requests that one nearby endpoint completes for this gateway."""
        nearby = min(self.nearby_count, len(self.preferred))
        return RATE_MEMORY_MS * nearby / max(MIN_RECENT_COMPLETIONS, self.recent_completions)
