"""How many attempts this gateway has in flight, and how many it may have.

The limit follows Little's law: the pace of completions, times the latency of an unloaded answer and a short
wait. It guards against a back end that only gets slower: attempts beyond the limit wait at the endpoints,
their answers come late, clients try again, and more attempts wait.
"""

from __future__ import annotations

from drumgw.model.settings import GatewaySettings
from drumgw.policy.endpoint_set import EndpointSet

COMPLETION_MEMORY_MS = 1000.0
"""How long the pace of completions is remembered."""
UNLOADED_LATENCY_STEP = 0.02
WAIT_OBJECTIVE_FRACTION = 0.2
"""Part of the shortest latency objective that attempts may wait at endpoints."""
MIN_ATTEMPTS_PER_ENDPOINT = 3.5
"""Over all gateways; up to twice as many while answers are in time."""
SPARE_WAIT_WEIGHT = 0.7
"""Slow work leaves less time to wait in, so fewer attempts beyond the least may wait."""
INITIAL_GROWN_LIMIT = 2.5
MAX_GROWN_LIMIT = 8.0
MIN_GROWN_LIMIT = 1.0
GROWTH_PER_ANSWER = 0.1
LOWER_CLASS_FRACTION = 0.75
"""A class may fill this part of what the class above it may fill."""


class ConcurrencyLimit:
    """Counts attempts in flight, and limits them by the pace and latency of answers."""

    def __init__(self, settings: GatewaySettings, endpoints: EndpointSet) -> None:
        self.endpoints = endpoints
        self.in_flight = 0
        self.overdue = 0
        """Attempts in flight that are overdue: most of these are lost, and take no capacity."""
        self.max_in_flight = MAX_GROWN_LIMIT
        self.grown_limit = INITIAL_GROWN_LIMIT
        """Grows with each answer in time; all that a gateway with few endpoints can go by."""
        self.completions_per_ms = 0.0
        shortest_ms = min(entry.latency_objective_ms for entry in settings.request_classes)
        self.allowed_wait_ms = WAIT_OBJECTIVE_FRACTION * shortest_ms
        self.unloaded_latency_ms = self.allowed_wait_ms
        """Mean latency while the back end has spare capacity."""

    def record_start(self) -> None:
        """Counts an attempt."""
        self.in_flight += 1

    def record_overdue(self) -> None:
        """Counts an attempt in flight as overdue."""
        self.overdue += 1

    def record_end(self, was_overdue: bool) -> None:
        """Counts an attempt as ended."""
        self.in_flight -= 1
        self.overdue -= was_overdue

    def record_completion(self) -> None:
        """Counts a request that completed."""
        self.completions_per_ms += 1 / COMPLETION_MEMORY_MS

    def record_unloaded_latency(self, duration_ms: float) -> None:
        """Updates the mean latency of a back end that has spare capacity."""
        self.unloaded_latency_ms += UNLOADED_LATENCY_STEP * (duration_ms - self.unloaded_latency_ms)

    def grow(self) -> None:
        """Takes an answer in time as a sign that there is more capacity."""
        self.grown_limit = min(MAX_GROWN_LIMIT, self.grown_limit + GROWTH_PER_ANSWER)

    def update(self, is_late: bool, lateness: float, elapsed_ms: float) -> None:
        """Recomputes the limit.

        Args:
            is_late: whether too many answers are late.
            lateness: the share of late answers, as a multiple of the most that is tolerated.
            elapsed_ms: time since the last update.
        """
        spare_wait = min(1.0, SPARE_WAIT_WEIGHT * self.allowed_wait_ms / self.unloaded_latency_ms)
        part_of_fleet = MIN_ATTEMPTS_PER_ENDPOINT * self.endpoints.per_gateway
        if is_late:
            self.grown_limit = MIN_GROWN_LIMIT
        else:
            part_of_fleet = (1 + spare_wait * (1 - lateness)) * part_of_fleet
        by_pace = self.completions_per_ms * (self.unloaded_latency_ms + self.allowed_wait_ms)
        self.max_in_flight = max(self.grown_limit, part_of_fleet, by_pace)
        self.completions_per_ms *= 1 - elapsed_ms / COMPLETION_MEMORY_MS

    def max_in_flight_for(self, class_rank: int) -> float:
        """How many attempts may be in flight for a request of this class to be sent."""
        return self.max_in_flight * LOWER_CLASS_FRACTION**class_rank

    @property
    def utilization(self) -> float:
        """Attempts in flight that are not overdue, as a multiple of the limit."""
        return (self.in_flight - self.overdue) / self.max_in_flight
