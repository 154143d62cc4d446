"""How far quotas can be passed while the counter is lost: worked out from the settings alone, with no I/O.

Each gatekeeper of a customer's set then decides by books of its own: a store of the whole quota that fills at
the plan's rate (docs/quota-bounds.md has the proof sketch). A ceiling is held without the counter, so no plan
that has one passes that, whatever happens.
"""

from __future__ import annotations

from typing import NamedTuple

from drumgw.config.sections import PlanSection
from drumgw.policy.engine import IDLE_MS

USEFUL = 2.0  # a bound above so many times what the quota allows says nothing that an operator can use


class Bound(NamedTuple):
    """Of one customer, over all its gatekeepers, from the moment the counter is lost."""

    plan: str
    sent: float  # units at most
    quota: float  # units that the quota lets through in that time, from a full store
    held_by: str  # what holds the sum: its ceiling, or the gatekeepers' own books

    @property
    def beyond(self) -> float:
        return max(0.0, self.sent - self.quota)

    @property
    def times(self) -> float:
        return self.sent / self.quota

    @property
    def useful(self) -> bool:
        return self.times <= USEFUL


def bound(plan: PlanSection, gatekeepers: int, seconds: float, restarts: int = 0) -> Bound | None:
    """None for a plan without a quota. Of each gatekeeper: restarts. Split, replaced counters add nothing."""
    if not plan.units_per_s:
        return None
    quota = plan.burst_units + plan.units_per_s * seconds
    # Idle books are dropped: where a store takes longer than that to fill, new ones give it away at once
    fills = max(plan.units_per_s, plan.burst_units * 1000.0 / IDLE_MS)
    sent = gatekeepers * (plan.burst_units * (1 + restarts) + fills * seconds)
    held_by = "the gatekeepers' own books"
    if plan.ceiling_per_s and (most := plan.ceiling_burst + plan.ceiling_per_s * seconds) < sent:
        sent, held_by = most, "its ceiling"
    return Bound(plan.name, sent, quota, held_by)


def said(b: Bound, gatekeepers: int, seconds: float) -> str:
    """A line for operators."""
    line = (
        f"plan {b.plan}, counter lost for {seconds:g} s: through {gatekeepers} gatekeeper(s) a customer "
        f"sends {b.sent:.0f} units at most, {b.beyond:.0f} beyond its quota ({b.times:.1f} times it), "
        f"held by {b.held_by}"
    )
    return line if b.useful else f"{line}; no useful bound: above {USEFUL:g} times, give the plan a ceiling"
