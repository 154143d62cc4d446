"""How far quotas can be passed while the shared counter is lost: worked out from a plan alone, without I/O.

Each gateway of a customer's set then decides by a quota account of its own, which holds the whole quota and
refills at the plan's rate (docs/quota-bounds.md has the proof sketch). A ceiling is held without the counter:
no plan that has one passes it, whatever happens.
"""

from __future__ import annotations

from typing import NamedTuple

from drumgw.config.sections import PlanSection
from drumgw.policy.quota_account import IDLE_ACCOUNT_MS

MAX_USEFUL_RATIO = 2.0  # a bound of more times the quota says nothing that an operator can use

HELD_BY_ACCOUNTS = "the gateways' own quota accounts"
HELD_BY_CEILING = "its ceiling"


class SendingBound(NamedTuple):
    """What one customer can have forwarded by all its gateways from the moment the counter is lost."""

    plan: str
    max_units: float
    quota_units: float  # what the quota lets through in that time, from a full account
    held_by: str  # what holds the sum: HELD_BY_ACCOUNTS or HELD_BY_CEILING

    @property
    def units_beyond_quota(self) -> float:
        """Units that can be forwarded beyond the quota."""
        return max(0.0, self.max_units - self.quota_units)

    @property
    def ratio_to_quota(self) -> float:
        """How many times the quota can be forwarded."""
        return self.max_units / self.quota_units

    @property
    def is_useful(self) -> bool:
        """Whether an operator can plan with the bound."""
        return self.ratio_to_quota <= MAX_USEFUL_RATIO


def sending_bound(
    plan: PlanSection, gateway_count: int, seconds: float, restarts: int = 0
) -> SendingBound | None:
    """Returns the bound for a customer of a plan; None for a plan without a quota.

    A counter that is split or replaced adds nothing to it.

    Args:
        plan: the customer's plan.
        gateway_count: how many gateways serve the customer.
        seconds: how long the counter is lost.
        restarts: how often each gateway is started anew meanwhile; each start begins with a full account.
    """
    if not plan.units_per_s:
        return None
    quota_units = plan.burst_units + plan.units_per_s * seconds
    # An account that is not used for IDLE_ACCOUNT_MS is dropped, and a new one is full at once: where an
    # account takes longer than that to refill, this is the faster rate.
    refill_per_s = max(plan.units_per_s, plan.burst_units * 1000.0 / IDLE_ACCOUNT_MS)
    max_units = gateway_count * (plan.burst_units * (1 + restarts) + refill_per_s * seconds)
    ceiling_units = plan.ceiling_burst + plan.ceiling_per_s * seconds
    if plan.ceiling_per_s and ceiling_units < max_units:
        return SendingBound(plan.name, ceiling_units, quota_units, HELD_BY_CEILING)
    return SendingBound(plan.name, max_units, quota_units, HELD_BY_ACCOUNTS)


def describe_bound(bound: SendingBound, gateway_count: int, seconds: float) -> str:
    """Returns the bound as a line for operators."""
    line = (
        f"plan {bound.plan}, counter lost for {seconds:g} s: through {gateway_count} gateway(s) a customer "
        f"sends {bound.max_units:.0f} units at most, {bound.units_beyond_quota:.0f} beyond its quota "
        f"({bound.ratio_to_quota:.1f} times it), held by {bound.held_by}"
    )
    if bound.is_useful:
        return line
    return f"{line}; no useful bound: above {MAX_USEFUL_RATIO:g} times, give the plan a ceiling"
