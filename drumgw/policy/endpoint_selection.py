"""Chooses the endpoint of an attempt.

Each customer ranks the nearby endpoints by a hash, and gets the first one that has less than a fair share of
this gateway's attempts: customers spread over the fleet, and each one's requests meet again where they can.
"""

from __future__ import annotations

from itertools import islice

from drumgw.model.settings import DeduplicationScope, Idempotency
from drumgw.policy.back_end import BackEnd
from drumgw.policy.context import DecisionContext
from drumgw.policy.endpoint_state import EndpointState, HealthState
from drumgw.policy.request_state import PendingRequest

MIN_USABLE_NEARBY = 3
"""With fewer usable nearby endpoints, farther ones join them."""
FAIR_SHARE_MULTIPLE = 1.3
"""An endpoint with more attempts than this multiple of its part of all is passed over."""
MAX_RANDOM_SLOWNESS = 1.3
"""An endpoint is passed over at random where a draw below 1, times its slowness squared, is higher."""
MIN_TOTAL_SPEED = 1e-9
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
HASH_MASK = 2**64 - 1


class EndpointSelector:
    """Chooses among the endpoints that a request may be sent to."""

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
        """The endpoint for a request's next attempt; None where there is none.

        The first in the customer's ranking that has less than its fair share, else the least loaded one.
        Endpoints that are slower than the others have smaller shares, and are passed over at random.
        """
        candidates = self._candidates(request)
        if not candidates:
            return None
        customer_key = request.account.hash_key
        candidates.sort(key=lambda each: (each.hash_key ^ customer_key) * HASH_MULTIPLIER & HASH_MASK)
        total_speed = sum(1 / each.slowness for each in candidates)
        fair_share = FAIR_SHARE_MULTIPLE / max(MIN_TOTAL_SPEED, total_speed)
        fair_attempts = fair_share * (1 + self.limit.in_flight)
        draw = self.context.random.random
        for each in candidates:
            slowness = each.slowness
            is_at_fair_share = len(each.attempts) + 1 > max(1.0, fair_attempts / slowness)
            if not is_at_fair_share and draw() * slowness * slowness < MAX_RANDOM_SLOWNESS:
                return each
        return min(candidates, key=lambda each: (len(each.attempts) + 1) * each.slowness)

    def _candidates(self, request: PendingRequest) -> list[EndpointState]:
        preferred = self.endpoints.preferred
        nearby_count = self.endpoints.nearby_count
        candidates = [each for each in preferred[:nearby_count] if self._is_usable(each, request)]
        if len(candidates) < MIN_USABLE_NEARBY:
            # Not more: each further one may fail as well, and only a request finds that out
            farther = (each for each in preferred[nearby_count:] if self._is_usable(each, request))
            candidates += islice(farther, MIN_USABLE_NEARBY - len(candidates))
        if request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            # A failure would be final: requests that may be retried find out who is healthy
            class_index = request.class_index
            trusted = [each for each in candidates if not self.outliers.is_suspected(each, class_index)]
            candidates = trusted or candidates
        return candidates or self._last_resort(request)

    def _is_usable(self, endpoint: EndpointState, request: PendingRequest) -> bool:
        if endpoint in request.tried_endpoints:
            return False
        health = endpoint.class_health[request.class_index]
        if health.state is not HealthState.HEALTHY and not self.outliers.accepts_attempt(endpoint, health):
            return False
        return is_in_deduplication_scope(endpoint, request) and self.slow_start.may_send(endpoint)

    def _last_resort(self, request: PendingRequest) -> list[EndpointState]:
        """Where no endpoint is usable: any that is warm, ejected or tried before as it may be.

        Guards the service where every endpoint has been ejected: an attempt may succeed, a rejection can't.
        """
        return [
            each
            for each in self.endpoints.preferred
            if is_in_deduplication_scope(each, request) and self.slow_start.warm_up_fraction(each) >= 1
        ]


def is_in_deduplication_scope(endpoint: EndpointState, request: PendingRequest) -> bool:
    """Whether an endpoint would know a request again that may have run already.

    Only endpoints of the scope in which it may have run look its idempotency key up in the same memory.
    """
    first = request.may_have_run_on
    if first is None or request.request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
        return True
    match request.request_class.deduplication_scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return endpoint.zone == first.zone
        case DeduplicationScope.CELL:
            return endpoint.cell == first.cell
