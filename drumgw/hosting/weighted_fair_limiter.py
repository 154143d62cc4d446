"""Limits tenants to their weighted fair share of the requests while the event loop lags.

The shares of resource_limits.py bound the requests in flight of a tenant, not its request rate: a tenant with
many short requests could keep the event loop busy by itself. While the event loop lags, requests of a tenant
that clearly exceeds its fair share, by weight, of the requests admitted within a sliding window are rejected.

This module does no I/O and reads no clock: the caller passes the time.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

WINDOW_MS = 1000.0  # length of the sliding window
SLICE_MS = 100.0  # requests leave the window in slices of this length
MAX_LAG_MS = 50.0  # event loop lag above which the limit applies
MAX_FAIR_SHARE_MULTIPLE = 1.25  # multiple of its fair share that a tenant may use while the event loop lags
EXTRA_REQUESTS = 8  # allowed on top of that, because small counts vary by chance
MIN_TOTAL_WEIGHT = 1e-9  # avoids a division by zero; configured weights are larger


@dataclass
class _Slice:
    """A slice of the window: the number of requests admitted since its start, by tenant."""

    slice_start_ms: float
    admitted: Counter[str] = field(default_factory=Counter)


class WeightedFairLimiter:
    """Counts the admitted requests of each tenant and enforces fair shares while the event loop lags.

    Attributes:
        lag_ms: the event loop's lag; set by TenantServices, which measures it.
    """

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self._slices: deque[_Slice] = deque()  # oldest first; expired ones are dropped
        self._admitted: Counter[str] = Counter()  # by tenant, over all slices
        self._admitted_count = 0

    def admit(self, now_ms: float, tenant: str, weights: Mapping[str, float]) -> bool:
        """Counts a request and returns True, or returns False if the request must be rejected.

        Args:
            now_ms: the current time.
            tenant: the key of the request's tenant.
            weights: the weights of all tenants, by key. The share of a tenant without requests in the window
                is divided among the others.
        """
        self._advance_window(now_ms)
        if self.lag_ms > MAX_LAG_MS and self._exceeds_fair_share(tenant, weights):
            return False
        self._slices[-1].admitted[tenant] += 1
        self._admitted[tenant] += 1
        self._admitted_count += 1
        return True

    def _exceeds_fair_share(self, tenant: str, weights: Mapping[str, float]) -> bool:
        active_tenants = self._admitted.keys() | {tenant}
        if len(active_tenants) == 1:
            return False
        active_weight = sum(weights.get(name, 0.0) for name in active_tenants)
        fair_count = self._admitted_count * weights.get(tenant, 0.0) / max(active_weight, MIN_TOTAL_WEIGHT)
        return self._admitted[tenant] > MAX_FAIR_SHARE_MULTIPLE * fair_count + EXTRA_REQUESTS

    def _advance_window(self, now_ms: float) -> None:
        """Drops the slices that have left the window, and starts a new one if the latest is complete."""
        while self._slices and self._slices[0].slice_start_ms <= now_ms - WINDOW_MS:
            for tenant, count in self._slices.popleft().admitted.items():
                self._admitted_count -= count
                self._admitted[tenant] -= count
                if not self._admitted[tenant]:
                    del self._admitted[tenant]
        if not self._slices or self._slices[-1].slice_start_ms <= now_ms - SLICE_MS:
            self._slices.append(_Slice(now_ms))
