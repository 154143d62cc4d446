"""Whether a tenant's request is admitted on a shared host. No I/O, no clock.

Two rules, each in a module of its own: the tenant must have a turn while the event loop lags (fair_turns.py),
and a unit of capacity (resource_limits.py).
"""

from __future__ import annotations

from drumgw.hosting.fair_turns import WeightedFairLimiter
from drumgw.hosting.resource_limits import FairShares


class RequestAdmission:
    """Admits requests in flight by the weights of the tenants.

    Attributes:
        weights: of the tenants that are there, by key; emptied by removals.
        shares: what each tenant holds of the capacity.
        fair_limiter: who was served lately.
    """

    def __init__(self, capacity: int) -> None:
        self.weights: dict[str, float] = {}
        self.shares = FairShares(capacity)
        self.fair_limiter = WeightedFairLimiter()

    def set_weight(self, key: str, weight: float) -> None:
        """Adds a tenant or changes its weight."""
        self.shares.set_weight(key, weight)
        self.weights[key] = weight

    def remove(self, key: str) -> None:
        """Admits nothing more of a tenant; what is in flight counts until it is released."""
        self.shares.remove(key)
        self.weights.pop(key, None)

    def admit(self, now_ms: float, key: str) -> bool:
        """Takes a request in flight; each admitted one must be released."""
        return self.fair_limiter.admit(now_ms, key, self.weights) and self.shares.acquire(key)

    def release(self, key: str) -> None:
        """Records that a request ended."""
        self.shares.release(key)

    def has_requests_in_flight(self, key: str) -> bool:
        """Returns whether a tenant holds any request, whichever service has it."""
        share = self.shares.tenants.get(key)
        return share is not None and share.in_use > 0
