"""Selects the endpoint for an attempt.

Uses rendezvous hashing with bounded load: the nearby endpoints are ranked by a hash of customer and endpoint,
and the first one with less than its fair share of this gateway's attempts is selected. This spreads customers
over the fleet and sends requests of one customer to the same endpoint where possible.
"""

from __future__ import annotations

from itertools import islice

from drumgw.model.settings import DeduplicationScope, Idempotency
from drumgw.policy.back_end import BackEnd
from drumgw.policy.context import DecisionContext
from drumgw.policy.endpoint_state import EndpointState, HealthState
from drumgw.policy.request_state import PendingRequest

MIN_USABLE_NEARBY = 3
"""With fewer usable nearby endpoints, others are added up to this number."""
FAIR_SHARE_MULTIPLE = 1.3
"""An endpoint is skipped if an attempt would take it above this multiple of its share of all attempts."""
MAX_RANDOM_SLOWNESS = 1.3
"""An endpoint is skipped if a random number below 1, times its slowness squared, reaches this value."""
MIN_TOTAL_SPEED = 1e-9
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
HASH_MASK = 2**64 - 1


class EndpointSelector:
    """Selects among the endpoints that a request may be sent to."""

    def __init__(
        self,
        context: DecisionContext,
        back_end: BackEnd,
    ) -> None:
        self.context = context
        self.endpoints = back_end.endpoints
        self.limit = back_end.limit
        self.outliers = back_end.outliers
        self.slow_start = back_end.slow_start

    def select(self, request: PendingRequest) -> EndpointState | None:
        """Selects the endpoint for a request's next attempt; None if no endpoint may be used.

        This is the first one in the customer's ranking that has less than its fair share of attempts, or else
        the least loaded one. Endpoints slower than the others have smaller shares and are skipped at random.
        """
        candidates = self._candidates(request)
        if not candidates:
            return None
        customer_key = request.account.hash_key
        candidates.sort(key=lambda endpoint: (endpoint.hash_key ^ customer_key) * HASH_MULTIPLIER & HASH_MASK)
        total_speed = sum(1 / endpoint.slowness for endpoint in candidates)
        fair_share = FAIR_SHARE_MULTIPLE / max(MIN_TOTAL_SPEED, total_speed)
        fair_attempts = fair_share * (1 + self.limit.in_flight)
        random = self.context.random.random
        for endpoint in candidates:
            slowness = endpoint.slowness
            is_at_fair_share = len(endpoint.attempts) + 1 > max(1.0, fair_attempts / slowness)
            if not is_at_fair_share and random() * slowness * slowness < MAX_RANDOM_SLOWNESS:
                return endpoint
        return min(candidates, key=lambda endpoint: (len(endpoint.attempts) + 1) * endpoint.slowness)

    def _candidates(self, request: PendingRequest) -> list[EndpointState]:
        preferred = self.endpoints.preferred
        nearby_count = self.endpoints.nearby_count
        candidates = [endpoint for endpoint in preferred[:nearby_count] if self._is_usable(endpoint, request)]
        if len(candidates) < MIN_USABLE_NEARBY:
            # Adds no more than needed: only a request shows whether another endpoint fails as well
            others = (endpoint for endpoint in preferred[nearby_count:] if self._is_usable(endpoint, request))
            candidates += islice(others, MIN_USABLE_NEARBY - len(candidates))
        if request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            # A failure would be final here, so requests that can be retried test suspected endpoints first
            class_index = request.class_index
            not_suspected = [
                endpoint for endpoint in candidates if not self.outliers.is_suspected(endpoint, class_index)
            ]
            candidates = not_suspected or candidates
        return candidates or self._fallback_candidates(request)

    def _is_usable(self, endpoint: EndpointState, request: PendingRequest) -> bool:
        if endpoint in request.tried_endpoints:
            return False
        health = endpoint.class_health[request.class_index]
        if health.state is not HealthState.HEALTHY and not self.outliers.accepts_attempt(endpoint, health):
            return False
        return is_in_deduplication_scope(endpoint, request) and self.slow_start.may_send(endpoint)

    def _fallback_candidates(self, request: PendingRequest) -> list[EndpointState]:
        """Candidates if no endpoint is usable: all warm ones, even those ejected or tried before.

        They must still be in the deduplication scope, as the request may have run.

        Keeps the service available when every endpoint is ejected: an attempt may still succeed, whereas
        a rejected request is not served.
        """
        return [
            endpoint
            for endpoint in self.endpoints.preferred
            if is_in_deduplication_scope(endpoint, request)
            and self.slow_start.warm_up_fraction(endpoint) >= 1
        ]


def is_in_deduplication_scope(endpoint: EndpointState, request: PendingRequest) -> bool:
    """Whether an endpoint would recognize a repeated request that may have run already.

    Idempotency keys are shared within the deduplication scope only, so an endpoint outside the scope of the
    one that may have run the request would run it again. Requests without a key may go to any endpoint.
    """
    first_endpoint = request.may_have_run_on
    if first_endpoint is None or request.request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
        return True
    match request.request_class.deduplication_scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return endpoint.zone == first_endpoint.zone
        case DeduplicationScope.CELL:
            return endpoint.cell == first_endpoint.cell
