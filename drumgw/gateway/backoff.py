"""How long to wait before something that failed is tried again."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff with jitter."""

    initial_ms: float
    """Mean delay after the first failure."""
    max_ms: float
    """Longest mean delay."""
    max_doublings: int = 3
    jitter: float = 0.5
    """By which part of its mean a delay is shorter or longer at most.

    Gateways that failed at the same moment must not come back at the same moment.
    """

    def delay_ms(self, earlier_failures: int, source: random.Random) -> float:
        """The delay after a failure.

        Args:
            earlier_failures: how many came right before this one.
            source: where the jitter is drawn from.
        """
        doublings = min(earlier_failures, self.max_doublings)
        mean_ms = min(self.max_ms, self.initial_ms * (1 << doublings))
        return mean_ms * source.uniform(1.0 - self.jitter, 1.0 + self.jitter)
