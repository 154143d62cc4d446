"""What each tenant may hold of what all share, and whose turn it is while the loop lags. No I/O, no clock.

Half of what there is is kept: each tenant has its part of that by weight, one at least, and nobody else gets
it. The other half is lent to whoever asks first; one tenant gets half of that at most.
"""

from __future__ import annotations

from collections import deque

KEPT, ONE_MOST = 0.5, 0.5  # of all; of what is lent
SPAN_MS, SLICE_MS = 1000.0, 100.0  # what was taken lately
LAG_MS = 50.0  # of the loop, from which on turns are kept
OVER, SMALL = 1.25, 8  # multiple of its part that a tenant may take then, and so many more: counts vary


class TenantShare:
    """A tenant's. Dropped when it is removed and holds nothing."""

    __slots__ = ("weight", "own", "open", "refused")

    def __init__(self, weight: float) -> None:
        self.weight, self.own, self.open, self.refused = weight, 1, 0, 0


class FairShares:
    def __init__(self, most: int) -> None:
        self.most, self.lent = most, 0
        self.parts: dict[str, TenantShare] = {}  # emptied as tenants go

    def put(self, tenant: str, weight: float) -> None:
        self.parts.setdefault(tenant, TenantShare(weight)).weight = weight
        self.divide()

    def drop(self, tenant: str) -> None:
        """What it still holds is lent to it until it gives it back."""
        if (part := self.parts.get(tenant)) is not None:
            part.weight = 0.0
            if not part.open:
                del self.parts[tenant]
            self.divide()

    def divide(self) -> None:
        weights = sum(part.weight for part in self.parts.values())
        for part in self.parts.values():
            part.own = max(1, int(self.most * KEPT * part.weight / weights)) if part.weight else 0
        self.lent = sum(max(0, part.open - part.own) for part in self.parts.values())

    @property
    def lendable(self) -> int:
        return self.most - sum(part.own for part in self.parts.values())

    def holds_most(self, tenant: str) -> int:
        """What it holds if nobody else borrows."""
        return self.parts[tenant].own + int(self.lendable * ONE_MOST)

    def take(self, tenant: str) -> bool:
        part = self.parts.get(tenant)
        if part is None or not part.weight:
            return False
        if part.open >= part.own:
            if self.lent >= self.lendable or part.open - part.own >= int(self.lendable * ONE_MOST):
                part.refused += 1
                return False
            self.lent += 1
        part.open += 1
        return True

    def give(self, tenant: str) -> None:
        part = self.parts[tenant]
        if part.open > part.own:
            self.lent -= 1
        part.open -= 1
        if not part.open and not part.weight:
            self.drop(tenant)


class FairTurns:
    """Guards the loop's time: while it lags, who took more than its part of the txns lately waits."""

    def __init__(self) -> None:
        self.slices: deque[tuple[float, dict[str, int]]] = deque()  # begun at; emptied by time
        self.taken: dict[str, int] = {}  # their sum
        self.lag_ms, self.all = 0.0, 0

    def pass_time(self, now: float) -> None:
        while self.slices and self.slices[0][0] <= now - SPAN_MS:
            for tenant, count in self.slices.popleft()[1].items():
                self.all -= count
                self.taken[tenant] -= count
                if not self.taken[tenant]:
                    del self.taken[tenant]
        if not self.slices or self.slices[-1][0] <= now - SLICE_MS:
            self.slices.append((now, {}))

    def take(self, now: float, tenant: str, weights: dict[str, float]) -> bool:
        """Weights: of all tenants. Who asks nothing leaves its part to the others."""
        self.pass_time(now)
        if self.lag_ms > LAG_MS:
            asking = sum(weights.get(name, 0.0) for name in self.taken.keys() | {tenant})
            part = self.all * weights.get(tenant, 0.0) / max(asking, 1e-9)
            if len(self.taken.keys() | {tenant}) > 1 and self.taken.get(tenant, 0) > OVER * part + SMALL:
                return False
        counts = self.slices[-1][1]
        counts[tenant] = counts.get(tenant, 0) + 1
        self.taken[tenant] = self.taken.get(tenant, 0) + 1
        self.all += 1
        return True
