"""Divides a host's capacity, counted in requests in flight, among its tenants.

A fixed fraction of the capacity is guaranteed: each tenant has a share of it by weight, at least one unit,
that no other tenant can use. The rest can be borrowed, first come, first served, up to a limit for each
tenant. A tenant whose endpoints stall can therefore use up its own share and its borrowing limit, but not the
guaranteed shares of the others.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

GUARANTEED_FRACTION = 0.5  # of the capacity, for all tenants together
MAX_BORROWED_FRACTION = 0.5  # of the borrowable units, for each tenant


@dataclass(slots=True)
class TenantShare:
    """The share of one tenant, kept until the tenant is removed and its last unit is released.

    Attributes:
        weight: the tenant's weight; 0 once it is removed.
        guaranteed: units reserved for this tenant.
        in_use: units in use, including borrowed ones.
        refused_count: how often a unit was refused to the tenant while it existed.
    """

    weight: float
    guaranteed: int = 1
    in_use: int = 0
    refused_count: int = 0

    @property
    def borrowed(self) -> int:
        """Units in use beyond the guaranteed ones."""
        return max(0, self.in_use - self.guaranteed)


class FairShares:
    """Divides a capacity, in requests in flight, among tenants by weight."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.borrowed = 0  # units, by all tenants together
        self.tenants: dict[str, TenantShare] = {}  # by tenant key

    def set_weight(self, tenant: str, weight: float) -> None:
        """Adds a tenant or changes its weight."""
        self.tenants.setdefault(tenant, TenantShare(weight)).weight = weight
        self._update_guarantees()

    def remove(self, tenant: str) -> None:
        """Withdraws a tenant's guaranteed units; units still in use count as borrowed until released."""
        share = self.tenants.get(tenant)
        if share is None:
            return
        share.weight = 0.0
        if not share.in_use:
            del self.tenants[tenant]
        self._update_guarantees()

    @property
    def borrowable(self) -> int:
        """Units not guaranteed to any tenant."""
        return self.capacity - sum(share.guaranteed for share in self.tenants.values())

    @property
    def max_borrowed(self) -> int:
        """Units that each tenant may borrow."""
        return int(self.borrowable * MAX_BORROWED_FRACTION)

    def limit_of(self, tenant: str) -> int:
        """Returns how many units a tenant can use when no other tenant borrows."""
        return self.tenants[tenant].guaranteed + self.max_borrowed

    def acquire(self, tenant: str) -> bool:
        """Takes a unit for a tenant.

        Returns False if the tenant is at its limit or was removed, or if nothing is left to borrow.
        """
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
        """Returns a unit to the capacity; borrowed units are returned first."""
        share = self.tenants[tenant]
        if share.borrowed:
            self.borrowed -= 1
        share.in_use -= 1
        if not share.in_use and not share.weight:
            self.remove(tenant)

    def _update_guarantees(self) -> None:
        total_weight = sum(share.weight for share in self.tenants.values())
        for share in self.tenants.values():
            if share.weight:
                guaranteed = self.capacity * GUARANTEED_FRACTION * share.weight / total_weight
                share.guaranteed = max(1, int(guaranteed))
            else:
                share.guaranteed = 0
        self.borrowed = sum(share.borrowed for share in self.tenants.values())
