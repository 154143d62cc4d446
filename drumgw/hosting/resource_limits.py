"""How much of a host's capacity each tenant may hold at a time. No I/O, no clock.

A part of the capacity is guaranteed: each tenant has its share of that by weight, one unit at least, and
nobody else gets it. The rest can be borrowed, first come, first served, up to a limit for one tenant. So a
tenant whose endpoints stall fills its own share and what it may borrow, and the others have theirs.
"""

from __future__ import annotations

from dataclasses import dataclass

GUARANTEED_FRACTION = 0.5  # of the capacity
MAX_BORROWED_FRACTION = 0.5  # of what is borrowable, for one tenant


@dataclass(slots=True)
class TenantShare:
    """One tenant's part of the capacity. Dropped when the tenant is removed and holds nothing.

    Attributes:
        weight: of the tenant; 0 once it is removed.
        guaranteed: units that nobody else gets.
        in_use: units that it holds, borrowed ones among them.
        refused_count: how often it was refused one.
    """

    weight: float
    guaranteed: int = 1
    in_use: int = 0
    refused_count: int = 0

    @property
    def borrowed(self) -> int:
        """Units that it holds beyond its guaranteed ones."""
        return max(0, self.in_use - self.guaranteed)


class FairShares:
    """Divides a capacity, in requests in flight, among tenants by weight."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.borrowed = 0  # by all tenants
        self.tenants: dict[str, TenantShare] = {}  # by key; emptied as tenants are removed

    def set_weight(self, tenant: str, weight: float) -> None:
        """Adds a tenant or changes its weight."""
        self.tenants.setdefault(tenant, TenantShare(weight)).weight = weight
        self._divide()

    def remove(self, tenant: str) -> None:
        """Takes a tenant's guaranteed units away; what it still holds counts as borrowed until released."""
        share = self.tenants.get(tenant)
        if share is None:
            return
        share.weight = 0.0
        if not share.in_use:
            del self.tenants[tenant]
        self._divide()

    @property
    def borrowable(self) -> int:
        """Units that are guaranteed to nobody."""
        return self.capacity - sum(share.guaranteed for share in self.tenants.values())

    @property
    def max_borrowed(self) -> int:
        """Units that one tenant may borrow."""
        return int(self.borrowable * MAX_BORROWED_FRACTION)

    def limit_of(self, tenant: str) -> int:
        """Returns the units that a tenant can hold while nobody else borrows."""
        return self.tenants[tenant].guaranteed + self.max_borrowed

    def acquire(self, tenant: str) -> bool:
        """Takes a unit for a tenant; returns False where it may hold no more."""
        share = self.tenants.get(tenant)
        if share is None or not share.weight:
            return False
        if share.in_use >= share.guaranteed:
            if self.borrowed >= self.borrowable or share.borrowed >= self.max_borrowed:
                share.refused_count += 1
                return False
            self.borrowed += 1
        share.in_use += 1
        return True

    def release(self, tenant: str) -> None:
        """Gives a unit back; borrowed ones first."""
        share = self.tenants[tenant]
        if share.borrowed:
            self.borrowed -= 1
        share.in_use -= 1
        if not share.in_use and not share.weight:
            self.remove(tenant)

    def _divide(self) -> None:
        total_weight = sum(share.weight for share in self.tenants.values())
        for share in self.tenants.values():
            if share.weight:
                guaranteed = self.capacity * GUARANTEED_FRACTION * share.weight / total_weight
                share.guaranteed = max(1, int(guaranteed))
            else:
                share.guaranteed = 0
        self.borrowed = sum(share.borrowed for share in self.tenants.values())
