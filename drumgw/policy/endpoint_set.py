"""The endpoints known to this gateway, in its order of preference.

Each gateway sends most of its attempts to a subset of the fleet, its nearby endpoints. All gateways sort the
endpoints by the same hash and start at different offsets, so that together they load the fleet evenly without
coordination.
"""

from __future__ import annotations

from drumgw.model.events import EndpointInfo, EndpointStatus, EndpointsUpdated
from drumgw.model.settings import GatewaySettings
from drumgw.policy.context import RATE_TIME_CONSTANT_MS, DecisionContext
from drumgw.policy.endpoint_state import EndpointState

MIN_NEARBY_ENDPOINTS = 8
NEARBY_SUBSET_MULTIPLE = 4.0
"""Size of the nearby subset in a large fleet, as a multiple of the endpoints per gateway."""
MIN_ENDPOINTS_PER_GATEWAY = 0.1
MIN_RECENT_COMPLETIONS = 0.01
"""Keeps the completion interval finite while nothing completes."""
GOLDEN_RATIO = 0.618
"""Its multiples modulo 1 are spread evenly for any number of gateways; they give the start offsets."""


class EndpointSet:
    """Endpoints by id, their order of preference, and the rate at which they complete requests."""

    def __init__(self, context: DecisionContext, settings: GatewaySettings) -> None:
        self.context = context
        self.ordinal = settings.ordinal
        self.gateways = settings.gateways
        self.zone = settings.zone
        self.prefers_same_zone = settings.cross_zone_fee > 0
        self.class_count = len(settings.request_classes)
        self.by_id: dict[int, EndpointState] = {}
        self.preferred: list[EndpointState] = []
        """All listed endpoints, the nearby ones first."""
        self.nearby_count = MIN_NEARBY_ENDPOINTS
        self.endpoints_per_gateway = 1.0
        """Number of listed endpoints divided by the number of gateways."""
        self.with_attempts: dict[int, EndpointState] = {}
        """Endpoints with attempts in flight, by id."""
        self.recent_completions = 0.0
        """Requests completed for this gateway, decaying over `RATE_TIME_CONSTANT_MS`."""

    def update(self, event: EndpointsUpdated) -> None:
        """Applies a complete endpoint list or a set of changes.

        An endpoint that is no longer listed is kept until its attempts have ended.
        """
        removed_ids: set[int] = set()
        if event.is_complete:
            removed_ids = set(self.by_id) - {info.endpoint_id for info in event.endpoints}
        for info in event.endpoints:
            if info.status is EndpointStatus.READY:
                self._add_if_new(info)
            else:
                removed_ids.add(info.endpoint_id)
        for endpoint_id in removed_ids & set(self.by_id):
            self.by_id[endpoint_id].is_listed = False
        self.by_id = {
            endpoint_id: endpoint
            for endpoint_id, endpoint in self.by_id.items()
            if endpoint.is_listed or endpoint.attempts
        }
        self._update_preferred()

    def _add_if_new(self, info: EndpointInfo) -> None:
        """Adds an endpoint that is new or has restarted.

        An endpoint that restarts under its old id gets a new record, which resets its health and warm-up.
        """
        known = self.by_id.get(info.endpoint_id)
        if known and known.is_listed and (info.started_at_ms or 0) <= (known.started_at_ms or 0):
            return
        # A random initial token count, so that gateways do not all send to a new endpoint at once
        endpoint = EndpointState.from_info(
            info, self.context.now_ms, self.class_count, warm_up_tokens=self.context.random.random()
        )
        self.by_id[info.endpoint_id] = endpoint
        if known and known.attempts:
            endpoint.attempts = known.attempts
            self.with_attempts[info.endpoint_id] = endpoint

    def _update_preferred(self) -> None:
        order = sorted(
            (endpoint for endpoint in self.by_id.values() if endpoint.is_listed),
            key=lambda endpoint: endpoint.hash_key,
        )
        offset = int(self.ordinal * GOLDEN_RATIO % 1 * len(order))
        order = order[offset:] + order[:offset]
        self.endpoints_per_gateway = max(MIN_ENDPOINTS_PER_GATEWAY, len(order) / self.gateways)
        self.nearby_count = max(
            MIN_NEARBY_ENDPOINTS, round(NEARBY_SUBSET_MULTIPLE * self.endpoints_per_gateway)
        )
        nearby = sorted(order, key=self._incurs_cross_zone_fee)[: self.nearby_count]
        nearby_ids = {endpoint.endpoint_id for endpoint in nearby}
        self.preferred = nearby + [endpoint for endpoint in order if endpoint.endpoint_id not in nearby_ids]

    def _incurs_cross_zone_fee(self, endpoint: EndpointState) -> bool:
        return self.prefers_same_zone and endpoint.zone != self.zone

    def record_completion(self) -> None:
        """Adds a completed request to the recent completions."""
        self.recent_completions += 1

    def decay_completions(self, elapsed_ms: float) -> None:
        """Decays the recent completions; called once per tick."""
        self.recent_completions *= 1 - elapsed_ms / RATE_TIME_CONSTANT_MS

    def completion_interval_ms(self) -> float:
        """Mean time between two requests of this gateway that the same nearby endpoint completes."""
        nearby = min(self.nearby_count, len(self.preferred))
        return RATE_TIME_CONSTANT_MS * nearby / max(MIN_RECENT_COMPLETIONS, self.recent_completions)
