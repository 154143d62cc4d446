"""Counts this gateway's attempts in flight and computes their limit.

The limit follows Little's law: the completion rate, times the sum of the unloaded latency and a short
queueing time. It prevents a retry spiral on a back end that responds to load only by getting slower: attempts
beyond the limit queue at the endpoints, their answers are late, clients retry, and the queues grow further.
"""

from __future__ import annotations

from drumgw.model.settings import GatewaySettings
from drumgw.policy.endpoint_set import EndpointSet

COMPLETION_RATE_TIME_CONSTANT_MS = 1000.0
"""Time constant with which the completion rate decays."""
UNLOADED_LATENCY_STEP = 0.02
"""Weight of one answer in the mean unloaded latency."""
QUEUEING_OBJECTIVE_FRACTION = 0.2
"""Fraction of the shortest latency objective that attempts may spend queued at endpoints."""
MIN_ATTEMPTS_PER_ENDPOINT = 3.5
"""Summed over all gateways; up to twice as many are allowed while answers are in time."""
QUEUEING_HEADROOM_WEIGHT = 0.7
"""Scales the attempts allowed above the minimum, which decrease as the unloaded latency grows.

Requests that take long to process leave less of their latency objective for queueing.
"""
INITIAL_GROWN_LIMIT = 2.5
MAX_GROWN_LIMIT = 8.0
MIN_GROWN_LIMIT = 1.0
GROWTH_PER_ANSWER = 0.1
LOWER_CLASS_FRACTION = 0.75
"""Each class may use this fraction of the limit of the next higher class."""


class ConcurrencyLimit:
    """Counts attempts in flight and limits them by the rate and latency of answers."""

    def __init__(self, settings: GatewaySettings, endpoints: EndpointSet) -> None:
        self.endpoints = endpoints
        self.in_flight = 0
        self.overdue = 0
        """Attempts in flight that are overdue: most of them are lost and use no endpoint capacity."""
        self.max_in_flight = MAX_GROWN_LIMIT
        self.grown_limit = INITIAL_GROWN_LIMIT
        """Grows with each answer in time, and is reset when too many are late.

        For a gateway with few endpoints this is the only usable estimate.
        """
        self.completions_per_ms = 0.0
        shortest_ms = min(request_class.latency_objective_ms for request_class in settings.request_classes)
        self.allowed_queueing_ms = QUEUEING_OBJECTIVE_FRACTION * shortest_ms
        self.unloaded_latency_ms = self.allowed_queueing_ms
        """Mean latency measured while the back end has spare capacity."""

    def record_start(self) -> None:
        """Adds an attempt to those in flight."""
        self.in_flight += 1

    def record_overdue(self) -> None:
        """Adds an attempt in flight to the overdue ones."""
        self.overdue += 1

    def record_end(self, was_overdue: bool) -> None:
        """Removes an attempt from those in flight, and from the overdue ones if it was one."""
        self.in_flight -= 1
        self.overdue -= was_overdue

    def record_completion(self) -> None:
        """Adds a completed request to the completion rate."""
        self.completions_per_ms += 1 / COMPLETION_RATE_TIME_CONSTANT_MS

    def record_unloaded_latency(self, duration_ms: float) -> None:
        """Updates the mean unloaded latency; called only while the back end has spare capacity."""
        self.unloaded_latency_ms += UNLOADED_LATENCY_STEP * (duration_ms - self.unloaded_latency_ms)

    def grow(self) -> None:
        """Raises the limit after an answer in time, which indicates unused capacity."""
        self.grown_limit = min(MAX_GROWN_LIMIT, self.grown_limit + GROWTH_PER_ANSWER)

    def update(self, is_late: bool, lateness: float, elapsed_ms: float) -> None:
        """Recomputes the limit and decays the completion rate.

        Args:
            is_late: whether too many answers are late.
            lateness: the share of late answers, divided by the largest tolerated share.
            elapsed_ms: time since the last update.
        """
        queueing_headroom = min(
            1.0, QUEUEING_HEADROOM_WEIGHT * self.allowed_queueing_ms / self.unloaded_latency_ms
        )
        fleet_limit = MIN_ATTEMPTS_PER_ENDPOINT * self.endpoints.endpoints_per_gateway
        if is_late:
            self.grown_limit = MIN_GROWN_LIMIT
        else:
            fleet_limit = (1 + queueing_headroom * (1 - lateness)) * fleet_limit
        throughput_limit = self.completions_per_ms * (self.unloaded_latency_ms + self.allowed_queueing_ms)
        self.max_in_flight = max(self.grown_limit, fleet_limit, throughput_limit)
        self.completions_per_ms *= 1 - elapsed_ms / COMPLETION_RATE_TIME_CONSTANT_MS

    def max_in_flight_for(self, class_rank: int) -> float:
        """The limit on attempts in flight that applies to new requests of a class; rank 0 is the highest."""
        return self.max_in_flight * LOWER_CLASS_FRACTION**class_rank

    @property
    def utilization(self) -> float:
        """Attempts in flight that are not overdue, divided by the limit."""
        return (self.in_flight - self.overdue) / self.max_in_flight
