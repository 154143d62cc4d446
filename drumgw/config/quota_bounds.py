"""Bounds on how far a customer can exceed its quota while the shared counter is unavailable.

They follow from the plan alone. Without the counter, each of the customer's gateways decides by its own quota
account, which has the whole quota and refills at the plan's rate (docs/quota-bounds.md has the proof sketch).
A ceiling is enforced without the counter, so it is never exceeded.
"""

from __future__ import annotations

from typing import NamedTuple

from drumgw.config.sections import PlanSection
from drumgw.policy.quota_account import IDLE_ACCOUNT_MS

MAX_USEFUL_RATIO = 2.0  # a larger multiple of the quota is of no use to operators for planning

LIMITED_BY_ACCOUNTS = "the gateways' own quota accounts"
LIMITED_BY_CEILING = "its ceiling"


class SendingBound(NamedTuple):
    """The most that all gateways together forward for one customer once the counter is unavailable."""

    plan: str
    max_units: float
    quota_units: float  # allowed by the quota in that time, starting from a full account
    limited_by: str  # the effective limit: LIMITED_BY_ACCOUNTS or LIMITED_BY_CEILING

    @property
    def units_beyond_quota(self) -> float:
        """Units that can be forwarded in excess of the quota."""
        return max(0.0, self.max_units - self.quota_units)

    @property
    def ratio_to_quota(self) -> float:
        """The bound as a multiple of the quota."""
        return self.max_units / self.quota_units

    @property
    def is_useful(self) -> bool:
        """Whether the bound is small enough for an operator to plan with."""
        return self.ratio_to_quota <= MAX_USEFUL_RATIO


def sending_bound(
    plan: PlanSection, gateway_count: int, seconds: float, restarts: int = 0
) -> SendingBound | None:
    """Returns the bound for a customer of a plan; None for a plan without a quota.

    The bound also covers a counter that is split or replaced.

    Args:
        plan: the customer's plan.
        gateway_count: how many gateways serve the customer.
        seconds: how long the counter is unavailable.
        restarts: how often each gateway restarts in that time; each restart begins with a full account.
    """
    if not plan.units_per_s:
        return None
    quota_units = plan.burst_units + plan.units_per_s * seconds
    # An account that is unused for IDLE_ACCOUNT_MS is dropped, and a new account starts full. If refilling
    # takes longer than that, dropping the account is the faster way to a full one.
    refill_per_s = max(plan.units_per_s, plan.burst_units * 1000.0 / IDLE_ACCOUNT_MS)
    max_units = gateway_count * (plan.burst_units * (1 + restarts) + refill_per_s * seconds)
    ceiling_units = plan.ceiling_burst + plan.ceiling_per_s * seconds
    if plan.ceiling_per_s and ceiling_units < max_units:
        return SendingBound(plan.name, ceiling_units, quota_units, LIMITED_BY_CEILING)
    return SendingBound(plan.name, max_units, quota_units, LIMITED_BY_ACCOUNTS)


def describe_bound(bound: SendingBound, gateway_count: int, seconds: float) -> str:
    """Returns the bound as one line of text for operators."""
    line = (
        f"plan {bound.plan}, counter lost for {seconds:g} s: through {gateway_count} gateway(s) a customer "
        f"sends at most {bound.max_units:.0f} units, {bound.units_beyond_quota:.0f} beyond its quota "
        f"({bound.ratio_to_quota:.1f} times the quota), limited by {bound.limited_by}"
    )
    if bound.is_useful:
        return line
    return f"{line}; no useful bound: above {MAX_USEFUL_RATIO:g} times the quota, give the plan a ceiling"
