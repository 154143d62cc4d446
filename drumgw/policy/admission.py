"""Admission: whether a request fits its customer's quota, and whether it is shed.

Each class owns a share of the quota. It may borrow what the other classes leave, except for the floors of the
classes above it that use theirs.
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
"""Shed requests come back after this part of the longest Retry-After, or later."""


class AdmissionControl:
    """Judges requests by quota, and by load."""

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
        """How long until a request fits its customer's quota; 0 where it fits now.

        Notes on the request whether it is admitted beyond a soft plan's quota. Such a plan passes its
        concurrency cap as well, while the back end has spare capacity.
        """
        account = request.account
        plan = account.plan
        ceiling_rate = plan.ceiling_units_per_ms
        if ceiling_rate and request.units > account.ceiling_units:
            lacking = request.units - account.ceiling_units
            return max(MIN_RETRY_AFTER_MS, lacking * account.gateway_count / ceiling_rate)
        lacking = self._shortfall_units(request)
        is_beyond = lacking > 0
        request.is_over_quota = (
            is_beyond and plan.is_soft and self.overload.has_spare_capacity(plan.window_ms)
        )
        if not is_beyond or request.is_over_quota:
            return 0.0
        rate = plan.rate_units_per_ms
        return max(MIN_RETRY_AFTER_MS, lacking / rate if rate else self.max_retry_after_ms)

    def _shortfall_units(self, request: PendingRequest) -> float:
        """Units that must be refilled before a request fits; 0 or less where it fits.

        A request beyond the concurrency cap lacks all of its units.
        """
        account = request.account
        plan = account.plan
        units = request.units
        class_rank = request.class_rank
        spare = account.usable_quota_units - sum(account.usage_units)
        lacking = units - spare
        cap = plan.max_concurrent_attempts
        if cap and account.attempts_in_flight >= max(1, cap // account.gateway_count):
            return max(lacking, units)
        own_share = self.class_shares[class_rank] * plan.quota_units
        if lacking <= 0 and account.usage_units[class_rank] + units > own_share:
            return units - (spare - self._reserved_for_higher_classes(account, class_rank))
        return lacking

    def _reserved_for_higher_classes(self, account: QuotaAccount, class_rank: int) -> float:
        """What a class may not borrow: unused floors of the classes above, as far as they use theirs.

        A class above is expected to use as much as in the last or the running window, and a reservation.
        """
        reserved = []
        for rank in range(class_rank):
            recent = max(account.last_window_usage_units[rank], account.window_usage_units[rank])
            expected = recent + self.counter_sync.reservation_units(account, rank)
            floor = min(self.class_floors[rank] * account.plan.quota_units, expected)
            reserved.append(max(0.0, floor - account.usage_units[rank]))
        return sum(reserved)

    def limit_by_load(self, request: PendingRequest) -> None:
        """Rejects a request that fits its quota, but not the concurrency limit or what the back end can do.

        Guards the higher classes while answers are late: the lower ones yield first. For those an overdue
        attempt still counts as in flight then.
        """
        random = self.context.random
        class_rank = request.class_rank
        counts_overdue = self.overload.is_late and class_rank > 0
        in_flight = self.limit.in_flight - (0 if counts_overdue else self.limit.overdue)
        # Drawn for requests that the quota has rejected as well: the order of draws does not depend on quotas
        is_full = in_flight + random.random() > self.limit.max_in_flight_for(class_rank)
        if request.retry_after_ms:
            return
        classes_below = len(self.class_shares) - 1 - class_rank
        if is_full or random.random() < self.overload.shed_level - classes_below:
            fraction = random.uniform(MIN_SHED_RETRY_AFTER_FRACTION, 1.0)
            request.retry_after_ms = max(MIN_RETRY_AFTER_MS, self.max_retry_after_ms * fraction)
