"""Admits or rejects the requests of the tenants that share a host.

A request must pass two limits: its tenant's fair share of the requests while the event loop lags
(weighted_fair_limiter.py), and its tenant's share of the host's capacity (resource_limits.py).

This module does no I/O and reads no clock: the caller passes the time.
"""

from __future__ import annotations

from drumgw.hosting.resource_limits import FairShares
from drumgw.hosting.weighted_fair_limiter import WeightedFairLimiter


class RequestAdmission:
    """Admits requests according to the tenants' weights.

    Attributes:
        weights: by tenant key; an entry is dropped when its tenant is removed.
        shares: limits the requests in flight of each tenant.
        fair_limiter: limits the request rate of each tenant while the event loop lags.
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
        """Rejects all further requests of a tenant; those in flight count until they are released."""
        self.shares.remove(key)
        self.weights.pop(key, None)

    def admit(self, now_ms: float, key: str) -> bool:
        """Returns whether a request may be forwarded; if so, the caller must call release when it ends."""
        return self.fair_limiter.admit(now_ms, key, self.weights) and self.shares.acquire(key)

    def release(self, key: str) -> None:
        """Records the end of an admitted request."""
        self.shares.release(key)

    def has_requests_in_flight(self, key: str) -> bool:
        """Returns whether a tenant has requests in flight, in its current service or in a replaced one."""
        share = self.shares.tenants.get(key)
        return share is not None and share.in_use > 0
