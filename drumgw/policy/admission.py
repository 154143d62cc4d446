"""Admission control: whether a request fits its customer's quota, and whether it is shed.

Each class has a share of the quota. Beyond its share it may borrow units that other classes do not use,
except for the floors reserved for higher classes that are in use.
"""

from __future__ import annotations

from drumgw.model.settings import GatewaySettings
from drumgw.policy.class_shares import CLASS_FLOORS, fractions_by_rank
from drumgw.policy.context import DecisionContext
from drumgw.policy.counter_sync import CounterSync
from drumgw.policy.overload import OverloadDetector
from drumgw.policy.quota_account import QuotaAccount
from drumgw.policy.request_state import PendingRequest
from drumgw.policy.retry import MIN_RETRY_AFTER_MS

MIN_SHED_RETRY_AFTER_FRACTION = 0.3
"""Lower limit of the Retry-After of shed requests, as a fraction of the maximum."""


class AdmissionControl:
    """Checks requests against the customer's quota and against the load of the back end."""

    def __init__(
        self,
        context: DecisionContext,
        settings: GatewaySettings,
        class_shares: list[float],
        counter_sync: CounterSync,
        overload: OverloadDetector,
    ) -> None:
        self.context = context
        self.counter_sync = counter_sync
        self.limit = overload.limit
        self.overload = overload
        self.class_shares = class_shares
        self.class_floors = fractions_by_rank(CLASS_FLOORS, len(class_shares))
        self.max_retry_after_ms = settings.max_retry_after_ms

    def quota_wait_ms(self, request: PendingRequest) -> float:
        """Returns the time until a request fits its customer's ceiling and quota; 0 if it fits now.

        Sets `is_over_quota` on the request if a soft plan admits it beyond its quota. While the back end has
        spare capacity, a soft plan may exceed its concurrency cap as well.
        """
        account = request.account
        plan = account.plan
        ceiling_rate = plan.ceiling_units_per_ms
        if ceiling_rate and request.units > account.ceiling_units:
            shortfall = request.units - account.ceiling_units
            return max(MIN_RETRY_AFTER_MS, shortfall * account.gateway_count / ceiling_rate)
        shortfall = self._shortfall_units(request)
        exceeds_quota = shortfall > 0
        request.is_over_quota = (
            exceeds_quota and plan.is_soft and self.overload.has_spare_capacity(plan.window_ms)
        )
        if not exceeds_quota or request.is_over_quota:
            return 0.0
        rate = plan.rate_units_per_ms
        return max(MIN_RETRY_AFTER_MS, shortfall / rate if rate else self.max_retry_after_ms)

    def _shortfall_units(self, request: PendingRequest) -> float:
        """Units that must be refilled before a request fits; 0 or less if it fits.

        For a request beyond the concurrency cap the shortfall is at least all of its units.
        """
        account = request.account
        plan = account.plan
        units = request.units
        class_rank = request.class_rank
        available = account.usable_quota_units - sum(account.usage_units)
        shortfall = units - available
        cap = plan.max_concurrent_attempts
        if cap and account.attempts_in_flight >= max(1, cap // account.gateway_count):
            return max(shortfall, units)
        own_share = self.class_shares[class_rank] * plan.quota_units
        if shortfall <= 0 and account.usage_units[class_rank] + units > own_share:
            return units - (available - self._reserved_for_higher_classes(account, class_rank))
        return shortfall

    def _reserved_for_higher_classes(self, account: QuotaAccount, class_rank: int) -> float:
        """Units that a class may not borrow: the unused parts of the higher classes' floors.

        A floor counts only up to the expected usage of its class: the larger one of the last and the current
        window, plus a reservation.
        """
        reserved = []
        for rank in range(class_rank):
            recent = max(account.last_window_usage_units[rank], account.window_usage_units[rank])
            expected = recent + self.counter_sync.reservation_units(account, rank)
            floor = min(self.class_floors[rank] * account.plan.quota_units, expected)
            reserved.append(max(0.0, floor - account.usage_units[rank]))
        return sum(reserved)

    def limit_by_load(self, request: PendingRequest) -> None:
        """Rejects a request that fits its quota if the concurrency limit is reached or load is being shed.

        Lower classes are rejected first, to protect the latency of the higher ones. While answers are late,
        overdue attempts count as in flight for all classes but the highest.
        """
        random = self.context.random
        class_rank = request.class_rank
        counts_overdue = self.overload.is_late and class_rank > 0
        in_flight = self.limit.in_flight - (0 if counts_overdue else self.limit.overdue)
        # Drawn before the check for a quota rejection, so that the random sequence does not depend on quotas
        is_full = in_flight + random.random() > self.limit.max_in_flight_for(class_rank)
        if request.retry_after_ms:
            return
        classes_below = len(self.class_shares) - 1 - class_rank
        if is_full or random.random() < self.overload.shed_level - classes_below:
            fraction = random.uniform(MIN_SHED_RETRY_AFTER_FRACTION, 1.0)
            request.retry_after_ms = max(MIN_RETRY_AFTER_MS, self.max_retry_after_ms * fraction)
