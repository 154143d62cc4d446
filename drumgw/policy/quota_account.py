"""What this gateway knows of one customer's quota: usage, refill, reservations, ceiling.

A quota is a store of units that refills at the plan's rate. Usage is what has been taken from it and not
refilled yet. All units by class are lists indexed by class rank.
"""

from __future__ import annotations

from dataclasses import dataclass

from drumgw.model.events import RequestReceived
from drumgw.model.settings import Plan
from drumgw.policy.context import LONG_AGO_MS, RATE_MEMORY_MS, DecisionContext
from drumgw.stable_hash import stable_hash

EPOCH_MS = 50000.0
"""How long a customer's counter key is used before the next one takes its place."""
IDLE_ACCOUNT_MS = 20000.0
"""An account unused for so long is dropped; docs/quota-bounds.md depends on it."""
UNLIMITED_UNITS = float("inf")
WINDOW_WITHOUT_QUOTA_MS = 1000.0
MAX_GATEWAYS_PER_CAPPED_ATTEMPT = 4
"""With more gateways to each attempt of a concurrency cap, none can keep the cap alone."""


@dataclass(frozen=True, slots=True)
class PlanLimits:
    """The figures of a plan that decisions use."""

    rate_units_per_ms: float
    """0 for a plan without a quota."""
    quota_units: float
    window_ms: float
    """The time in which an empty quota refills."""
    max_concurrent_attempts: int
    """Over all gateways; 0 for no cap."""
    is_soft: bool
    """Whether a request beyond the quota earns more than it costs."""
    ceiling_units_per_ms: float
    """0 for no ceiling."""
    ceiling_burst_units: float

    @classmethod
    def from_plan(cls, plan: Plan) -> PlanLimits:
        """Works the limits out from a plan's settings."""
        rate = plan.units_per_s / 1000.0
        has_quota = plan.units_per_s > 0
        return cls(
            rate_units_per_ms=rate,
            quota_units=plan.burst_units if has_quota else UNLIMITED_UNITS,
            window_ms=plan.burst_units / rate if has_quota else WINDOW_WITHOUT_QUOTA_MS,
            max_concurrent_attempts=plan.max_concurrent_attempts,
            is_soft=plan.over_quota_value_share > plan.over_quota_cost_share,
            ceiling_units_per_ms=plan.ceiling_units_per_s / 1000.0,
            ceiling_burst_units=plan.ceiling_burst_units,
        )

    def is_cap_below(self, gateways: int) -> bool:
        """Whether the concurrency cap is too small for each gateway to keep a part of it."""
        return 0 < self.max_concurrent_attempts * MAX_GATEWAYS_PER_CAPPED_ATTEMPT < gateways

    def usable_quota_units(self, gateways: int, max_request_units: float) -> float:
        """The quota, or less where only small bursts keep a small concurrency cap."""
        if not self.is_cap_below(gateways):
            return self.quota_units
        return min(self.quota_units, self.max_concurrent_attempts * max_request_units)


@dataclass(slots=True, eq=False)
class QuotaAccount:
    """A customer's account here. The engine drops it after `IDLE_ACCOUNT_MS` without a request.

    Its methods write usage, refill and ceiling; `CounterSync` and `CounterRepair` write what totals of the
    shared counter say, `CounterPoller` the allowance. `AttemptTracker` counts attempts in flight up,
    `RequestFlow` counts them down. Plan and gateway count stay those of the request that opened it.
    """

    plan: PlanLimits
    customer: int
    hash_key: int
    gateway_count: int
    """Gateways that this customer's requests come in through."""
    updated_at_ms: float
    window_started_at_ms: float
    usage_units: list[float]
    """Of all gateways, as far as known here, without what is reserved here."""
    window_usage_units: list[float]
    """Spent here since the window began."""
    last_window_usage_units: list[float]
    local_usage_units_per_ms: list[float]
    """Recent pace of spending here."""
    reserved_units: list[float]
    """Reported to the counter ahead of their use; below 0 where a report is owed."""
    ceiling_units: float
    """What the ceiling leaves to this gateway now."""
    is_cap_below_gateways: bool
    """Whether the concurrency cap is too small for each gateway to keep its own part."""
    usable_quota_units: float
    """The quota, or less where only small bursts keep a small concurrency cap."""
    max_allowance_units: float
    allowance_units: float
    """What may be sent without ever having heard a total of this customer."""
    epoch_phase_ms: int
    """Offset of this customer's epochs, so that not all customers' keys change at once."""
    counter_units: float = 0.0
    """Whole units of the last total."""
    counter_epoch: int = -1
    """Epoch of the last total."""
    total_received_at_ms: float = LONG_AGO_MS
    """When the last total came."""
    known_level_units: float = 0.0
    """Usage that the last totals showed, less what has been refilled since: a lower bound."""
    local_usage_units: float = 0.0
    """Usage by this gateway alone, less what has been refilled: no total makes it forget this."""
    repaired_at_ms: float = LONG_AGO_MS
    remote_usage_units_per_ms: float = 0.0
    """Pace of the other gateways' usage between the last totals."""
    attempts_in_flight: int = 0

    @classmethod
    def open(
        cls,
        plan: PlanLimits,
        event: RequestReceived,
        context: DecisionContext,
        class_count: int,
        max_request_units: float,
    ) -> QuotaAccount:
        """An account for a customer that is not known here.

        Args:
            plan: the customer's plan.
            event: the first request.
            context: tells the time, and when this gateway started.
            class_count: number of request classes.
            max_request_units: the largest request.
        """
        gateways = max(1, event.gateway_count)
        hash_key = stable_hash(event.customer)
        allowance = max(max_request_units, plan.quota_units / gateways)
        return cls(
            plan=plan,
            customer=event.customer,
            hash_key=hash_key,
            gateway_count=gateways,
            updated_at_ms=context.now_ms,
            window_started_at_ms=context.now_ms,
            usage_units=[0.0] * class_count,
            window_usage_units=[0.0] * class_count,
            last_window_usage_units=[0.0] * class_count,
            local_usage_units_per_ms=[0.0] * class_count,
            reserved_units=[0.0] * class_count,
            ceiling_units=_refilled_ceiling_units(plan, gateways, context),
            is_cap_below_gateways=plan.is_cap_below(gateways),
            usable_quota_units=plan.usable_quota_units(gateways, max_request_units),
            max_allowance_units=allowance,
            allowance_units=allowance,
            epoch_phase_ms=hash_key % int(EPOCH_MS),
        )

    def epoch_at(self, now_ms: float) -> int:
        """The epoch whose counter key is in use at this time."""
        return int((now_ms + self.epoch_phase_ms) // EPOCH_MS)

    def refilled_units(self, epoch: int, now_ms: float) -> float:
        """What the quota has refilled since an epoch began."""
        return self.plan.rate_units_per_ms * (now_ms + self.epoch_phase_ms - epoch * EPOCH_MS)

    def refill(self, now_ms: float) -> None:
        """Brings the account up to this time: the quota refills, so usage and reservations shrink."""
        plan = self.plan
        gateways = self.gateway_count
        elapsed_ms = now_ms - self.updated_at_ms
        self.updated_at_ms = now_ms
        refilled = plan.rate_units_per_ms * elapsed_ms
        self.known_level_units = max(0.0, self.known_level_units - refilled)
        self.local_usage_units = max(0.0, self.local_usage_units - refilled)
        ceiling = self.ceiling_units + plan.ceiling_units_per_ms * elapsed_ms / gateways
        self.ceiling_units = min(plan.ceiling_burst_units / gateways, ceiling)
        allowance = self.allowance_units + refilled / gateways
        self.allowance_units = min(self.max_allowance_units, allowance)
        # Between totals the others' usage is guessed, but never as much as includes this gateway's own part
        most_per_ms = plan.rate_units_per_ms * (1 - 1 / gateways)
        self.usage_units[-1] += min(self.remote_usage_units_per_ms, most_per_ms) * elapsed_ms
        remembered = max(0.0, 1 - elapsed_ms / RATE_MEMORY_MS)
        self.local_usage_units_per_ms = [pace * remembered for pace in self.local_usage_units_per_ms]
        self._reduce_usage(refilled)
        if now_ms - self.window_started_at_ms >= plan.window_ms:
            self._roll_window(now_ms)

    def _reduce_usage(self, refilled: float) -> None:
        total = sum(self.usage_units) + sum(units for units in self.reserved_units if units > 0)
        if total <= 0:
            return
        kept = max(0.0, min(1 - refilled / total, self.plan.quota_units / total))
        self.usage_units = [units * kept for units in self.usage_units]
        self.reserved_units = [units * kept for units in self.reserved_units]

    def _roll_window(self, now_ms: float) -> None:
        """Begins a new window; one that ended a whole window ago is not the last one any more."""
        class_count = len(self.window_usage_units)
        is_last_window = now_ms - self.window_started_at_ms < 2 * self.plan.window_ms
        self.last_window_usage_units = self.window_usage_units if is_last_window else [0.0] * class_count
        self.window_usage_units = [0.0] * class_count
        self.window_started_at_ms = now_ms

    def charge(self, units: float, class_rank: int, is_over_quota: bool) -> None:
        """Takes a request's units; a request beyond a soft quota takes them from the ceiling only."""
        self.ceiling_units -= units
        if is_over_quota:
            return
        self.usage_units[class_rank] += units
        self.window_usage_units[class_rank] += units
        self.reserved_units[class_rank] -= units
        self.local_usage_units = min(self.plan.quota_units, self.local_usage_units + units)
        self.local_usage_units_per_ms[class_rank] += units / RATE_MEMORY_MS

    def correct_usage(self, class_rank: int, estimated_units: float, billed_units: float) -> None:
        """Replaces the estimate that was charged by the true cost."""
        self.usage_units[class_rank] = max(0.0, self.usage_units[class_rank] + billed_units - estimated_units)


def _refilled_ceiling_units(plan: PlanLimits, gateways: int, context: DecisionContext) -> float:
    """A new account's part of the ceiling.

    What was spent before this gateway started, or before an idle account was dropped, is not known: so it
    holds only what has been refilled since, for as long as accounts are kept at most.
    """
    refilled_ms = min(IDLE_ACCOUNT_MS, context.now_ms - context.started_at_ms)
    return plan.ceiling_units_per_ms * refilled_ms / gateways
