"""Which tenants are served while the event loop lags. No I/O, no clock.

The shares of resource_limits.py bound what a tenant holds, not how many requests it sends: a tenant whose
requests are short could keep the loop busy alone. While the loop is late, a tenant that was admitted for
clearly more than its part of the latest requests, by weight, is rejected.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

WINDOW_MS = 1000.0  # admitted requests are counted over this time
SLICE_MS = 100.0  # and forgotten in slices of this length
MAX_LAG_MS = 50.0  # of the event loop, beyond which tenants are compared
TOLERATED_MULTIPLE = 1.25  # of its part that a tenant may take then,
TOLERATED_REQUESTS = 8  # and as many more: small counts vary by chance
MIN_WEIGHT = 1e-9  # guards a division; weights are larger


@dataclass
class _Slice:
    """The requests admitted from a moment on, by tenant."""

    begun_ms: float
    admitted: Counter[str] = field(default_factory=Counter)


class WeightedFairLimiter:
    """Counts the latest admitted requests of each tenant and rejects the greedy ones while the loop lags.

    Attributes:
        lag_ms: how late the event loop runs; written by who measures it.
    """

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self._slices: deque[_Slice] = deque()  # emptied by time
        self._admitted: Counter[str] = Counter()  # the sum over the slices
        self._admitted_count = 0

    def admit(self, now_ms: float, tenant: str, weights: Mapping[str, float]) -> bool:
        """Counts a request and returns True, or returns False where the tenant must wait.

        Args:
            now_ms: the time.
            tenant: the key of the tenant that the request is for.
            weights: of all tenants. A tenant without requests lately leaves its part to the others.
        """
        self._forget(now_ms)
        if self.lag_ms > MAX_LAG_MS and self._takes_too_much(tenant, weights):
            return False
        self._slices[-1].admitted[tenant] += 1
        self._admitted[tenant] += 1
        self._admitted_count += 1
        return True

    def _takes_too_much(self, tenant: str, weights: Mapping[str, float]) -> bool:
        asking = self._admitted.keys() | {tenant}
        if len(asking) == 1:
            return False
        asking_weight = sum(weights.get(name, 0.0) for name in asking)
        fair_part = self._admitted_count * weights.get(tenant, 0.0) / max(asking_weight, MIN_WEIGHT)
        return self._admitted[tenant] > TOLERATED_MULTIPLE * fair_part + TOLERATED_REQUESTS

    def _forget(self, now_ms: float) -> None:
        """Drops the slices that are older than the window and begins a new one where it is time."""
        while self._slices and self._slices[0].begun_ms <= now_ms - WINDOW_MS:
            for tenant, count in self._slices.popleft().admitted.items():
                self._admitted_count -= count
                self._admitted[tenant] -= count
                if not self._admitted[tenant]:
                    del self._admitted[tenant]
        if not self._slices or self._slices[-1].begun_ms <= now_ms - SLICE_MS:
            self._slices.append(_Slice(now_ms))
