"""Per-customer quota accounting at one gateway: usage, refill, reservations and the ceiling.

A quota is a token bucket that refills at the plan's rate. Usage is the number of units taken from the bucket
and not yet refilled. Per-class figures are lists indexed by class rank.
"""

from __future__ import annotations

from dataclasses import dataclass

from drumgw.model.events import RequestReceived
from drumgw.model.settings import Plan
from drumgw.policy.context import LONG_AGO_MS, RATE_TIME_CONSTANT_MS, DecisionContext
from drumgw.stable_hash import stable_hash

EPOCH_MS = 50000.0
"""Lifetime of a customer's counter key; each epoch uses a new key."""
IDLE_ACCOUNT_MS = 20000.0
"""Accounts idle for this long are dropped. The bounds in docs/quota-bounds.md depend on this value."""
UNLIMITED_UNITS = float("inf")
WINDOW_WITHOUT_QUOTA_MS = 1000.0
"""Usage window of plans without a quota, which have no refill time to derive it from."""
MAX_GATEWAYS_PER_CAPPED_ATTEMPT = 4
"""With more gateways than this per attempt that a concurrency cap allows, the cap cannot be divided among
them: a gateway's part is at least one attempt."""


@dataclass(frozen=True, slots=True)
class PlanLimits:
    """Limits of a plan, converted to the units that decisions use."""

    rate_units_per_ms: float
    """0 for a plan without a quota."""
    quota_units: float
    window_ms: float
    """Time in which a fully used quota refills."""
    max_concurrent_attempts: int
    """Summed over all gateways; 0 for no cap."""
    is_soft: bool
    """Whether requests beyond the quota are worth more than they cost, so that they may be admitted."""
    ceiling_units_per_ms: float
    """0 for no ceiling."""
    ceiling_burst_units: float

    @classmethod
    def from_plan(cls, plan: Plan) -> PlanLimits:
        """Derives the limits from a plan's settings, which are per second."""
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
        """Whether the concurrency cap is too small to be divided among this many gateways."""
        return 0 < self.max_concurrent_attempts * MAX_GATEWAYS_PER_CAPPED_ATTEMPT < gateways

    def usable_quota_units(self, gateways: int, max_request_units: float) -> float:
        """The quota, reduced where the concurrency cap cannot be divided among the gateways.

        There the quota's burst size limits concurrency instead: it is reduced to as many of the largest
        requests as the cap allows.
        """
        if not self.is_cap_below(gateways):
            return self.quota_units
        return min(self.quota_units, self.max_concurrent_attempts * max_request_units)


@dataclass(slots=True, eq=False)
class QuotaAccount:
    """One customer's account at this gateway. `AccountTable` drops it if it is idle for `IDLE_ACCOUNT_MS`.

    The account's own methods update usage, refill and ceiling. `CounterSync` and `CounterRepair` write the
    fields that come from totals of the shared counter, and `CounterPoller` writes the allowance.
    `AttemptTracker` increments the attempts in flight and `RequestFlow` decrements them. The plan and the
    gateway count are those of the first request and do not change while the account exists.
    """

    plan: PlanLimits
    customer: int
    hash_key: int
    gateway_count: int
    """Number of gateways that receive this customer's requests."""
    updated_at_ms: float
    window_started_at_ms: float
    usage_units: list[float]
    """Estimated usage through all gateways, without the units reserved here. By class."""
    window_usage_units: list[float]
    """Units charged at this gateway since the window began. By class."""
    last_window_usage_units: list[float]
    """Units charged at this gateway in the previous window; 0 if that did not directly precede this one."""
    local_usage_units_per_ms: list[float]
    """Recent rate of usage at this gateway. By class."""
    reserved_units: list[float]
    """Units reported to the counter before use; negative for units used but not yet reported. By class."""
    ceiling_units: float
    """Units that this gateway's part of the ceiling currently allows."""
    is_cap_below_gateways: bool
    """Whether the concurrency cap is too small to be divided among the gateways."""
    usable_quota_units: float
    """The quota, reduced where the concurrency cap cannot be divided among the gateways."""
    max_allowance_units: float
    allowance_units: float
    """Units that may be admitted without a recent total; at most the larger one of this gateway's part of the
    quota and the largest request."""
    epoch_phase_ms: int
    """Offset of this customer's epochs, so that the keys of all customers do not change at the same time."""
    counter_units: float = 0.0
    """Whole units of the last total."""
    counter_epoch: int = -1
    """Epoch of the last total."""
    total_received_at_ms: float = LONG_AGO_MS
    """When the last total was received."""
    known_level_units: float = 0.0
    """Lower bound of usage through all gateways: the level in the last totals, less the refill since."""
    local_usage_units: float = 0.0
    """Usage through this gateway alone, less refill. Not reset by totals, so a wrong total cannot hide it."""
    repaired_at_ms: float = LONG_AGO_MS
    remote_usage_units_per_ms: float = 0.0
    """Smoothed rate of usage through the other gateways, measured between totals."""
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
        """Creates the account of a customer that has none at this gateway.

        Args:
            plan: the customer's plan.
            event: the customer's first request.
            context: provides the current time and the start time of this gateway.
            class_count: number of request classes.
            max_request_units: units of the largest request allowed.
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
        """The epoch whose counter key is in use at the given time."""
        return int((now_ms + self.epoch_phase_ms) // EPOCH_MS)

    def refilled_units(self, epoch: int, now_ms: float) -> float:
        """Units that the refill rate yields from the start of an epoch on, even while the quota is full."""
        return self.plan.rate_units_per_ms * (now_ms + self.epoch_phase_ms - epoch * EPOCH_MS)

    def refill(self, now_ms: float) -> None:
        """Advances the account to the given time: refill reduces usage and reservations."""
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
        # Between totals, remote usage is extrapolated, at most at the other gateways' part of the refill rate
        max_remote_per_ms = plan.rate_units_per_ms * (1 - 1 / gateways)
        self.usage_units[-1] += min(self.remote_usage_units_per_ms, max_remote_per_ms) * elapsed_ms
        decay = max(0.0, 1 - elapsed_ms / RATE_TIME_CONSTANT_MS)
        self.local_usage_units_per_ms = [rate * decay for rate in self.local_usage_units_per_ms]
        self._reduce_usage(refilled)
        if now_ms - self.window_started_at_ms >= plan.window_ms:
            self._roll_window(now_ms)

    def _reduce_usage(self, refilled: float) -> None:
        """Scales usage and reservations down by the refill, and to the quota where they exceed it."""
        total = sum(self.usage_units) + sum(units for units in self.reserved_units if units > 0)
        if total <= 0:
            return
        scale = max(0.0, min(1 - refilled / total, self.plan.quota_units / total))
        self.usage_units = [units * scale for units in self.usage_units]
        self.reserved_units = [units * scale for units in self.reserved_units]

    def _roll_window(self, now_ms: float) -> None:
        """Starts a new window. If the old one ended a full window ago, the window in between was idle."""
        class_count = len(self.window_usage_units)
        is_last_window = now_ms - self.window_started_at_ms < 2 * self.plan.window_ms
        self.last_window_usage_units = self.window_usage_units if is_last_window else [0.0] * class_count
        self.window_usage_units = [0.0] * class_count
        self.window_started_at_ms = now_ms

    def charge(self, units: float, class_rank: int, is_over_quota: bool) -> None:
        """Charges a request's units; if admitted beyond a soft quota, it is charged to the ceiling only."""
        self.ceiling_units -= units
        if is_over_quota:
            return
        self.usage_units[class_rank] += units
        self.window_usage_units[class_rank] += units
        self.reserved_units[class_rank] -= units
        self.local_usage_units = min(self.plan.quota_units, self.local_usage_units + units)
        self.local_usage_units_per_ms[class_rank] += units / RATE_TIME_CONSTANT_MS

    def time_to_refill_ms(self) -> float:
        """Time until the quota is unused again, by this gateway's figures; 0 for a plan without a quota."""
        rate = self.plan.rate_units_per_ms
        reserved_units = sum(units for units in self.reserved_units if units > 0)
        used_units = max(self.local_usage_units, sum(self.usage_units) + reserved_units)
        return used_units / rate if rate else 0.0

    def time_to_full_ceiling_ms(self) -> float:
        """Time until this gateway's part of the ceiling is full; 0 for a plan without a ceiling."""
        rate = self.plan.ceiling_units_per_ms / self.gateway_count
        missing_units = self.plan.ceiling_burst_units / self.gateway_count - self.ceiling_units
        return max(0.0, missing_units / rate) if rate else 0.0

    def restore_usage(self, quota_refill_ms: float, ceiling_refill_ms: float) -> None:
        """Charges a new account for the usage of an earlier one, given the times until it is refilled.

        The classes of that usage are not known; it counts for the lowest, as remote usage does.
        """
        plan = self.plan
        if quota_refill_ms > 0:
            used_units = min(plan.quota_units, plan.rate_units_per_ms * quota_refill_ms)
            self.usage_units[-1] += used_units
            self.local_usage_units = used_units
        if ceiling_refill_ms > 0:
            burst_units = plan.ceiling_burst_units / self.gateway_count
            missing_units = plan.ceiling_units_per_ms * ceiling_refill_ms / self.gateway_count
            self.ceiling_units = min(self.ceiling_units, burst_units - missing_units)

    def correct_usage(self, class_rank: int, estimated_units: float, billed_units: float) -> None:
        """Replaces the estimated units of a request by those that the back end billed."""
        self.usage_units[class_rank] = max(0.0, self.usage_units[class_rank] + billed_units - estimated_units)


def _refilled_ceiling_units(plan: PlanLimits, gateways: int, context: DecisionContext) -> float:
    """Initial ceiling units of a new account.

    Usage before the gateway started, or before an idle account was dropped, is not known. A new account
    therefore starts with the units refilled since the gateway's start, for at most `IDLE_ACCOUNT_MS`.
    """
    refilled_ms = min(IDLE_ACCOUNT_MS, context.now_ms - context.started_at_ms)
    return plan.ceiling_units_per_ms * refilled_ms / gateways
