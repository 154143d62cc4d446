"""Delays between the retries of a call."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff with jitter."""

    initial_ms: float
    """Mean delay after the first failure."""
    max_ms: float
    """Upper bound of the mean delay."""
    max_doublings: int = 3
    jitter: float = 0.5
    """Largest deviation of a delay, as a fraction of its mean.

    Keeps gateways whose calls failed at the same moment from retrying at the same moment.
    """

    def delay_ms(self, earlier_failures: int, rng: random.Random) -> float:
        """Returns the delay after a failure.

        Args:
            earlier_failures: number of consecutive failures before this one.
            rng: the random number generator that the jitter is drawn from.
        """
        doublings = min(earlier_failures, self.max_doublings)
        mean_ms = min(self.max_ms, self.initial_ms * (1 << doublings))
        return mean_ms * rng.uniform(1.0 - self.jitter, 1.0 + self.jitter)
