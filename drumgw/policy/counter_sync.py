"""Synchronizes quota accounts with the totals of the shared counter.

A customer's total counts all units that gateways have used or reserved since its epoch began. The total minus
the units refilled since then is the usage level of the quota. A gateway reports the units of forwarded
requests together with a reservation for further requests, and applies each returned total to the account.
"""

from __future__ import annotations

import math

from drumgw.model.events import CounterReplied, Outcome
from drumgw.policy.context import RATE_TIME_CONSTANT_MS, DecisionContext
from drumgw.policy.counter_calls import CounterCall, CounterCalls
from drumgw.policy.counter_encoding import (
    HALF_STEP,
    TOP_CLASS_STEP_UNITS,
    decode_total,
    encode_amount,
)
from drumgw.policy.counter_repair import MAX_REPAIR_UNITS, MIN_LOSS_UNITS, CounterRepair
from drumgw.policy.quota_account import QuotaAccount
from drumgw.policy.request_state import CounterExchange

RESERVATION_MS = 1000.0
"""Time for which a reservation covers this gateway's demand, at most."""
MAX_RESERVATION_QUOTA_FRACTION = 0.2
"""Upper limit of a reservation, as a fraction of the quota."""
MAX_REPORT_QUOTA_FRACTION = 0.5
"""Upper limit of the units that a report extrapolates for unreported requests, as a fraction of the quota."""
LOSS_QUOTA_FRACTION = 0.1
"""A total that is too low by this fraction of the quota, and by `MIN_LOSS_UNITS`, has lost units."""
MAX_PLAUSIBLE_QUOTAS = 2.0
"""A total that shows more usage than this multiple of the quota is implausible and is not applied."""


class CounterSync:
    """Reports usage and reservations to the counter, and derives an account's usage from totals."""

    def __init__(
        self,
        context: DecisionContext,
        class_shares: list[float],
        calls: CounterCalls,
    ) -> None:
        self.context = context
        self.class_shares = class_shares
        self.calls = calls
        self.repair = CounterRepair(context, calls)

    def reservation_units(self, account: QuotaAccount, class_rank: int) -> float:
        """Units to reserve with a report.

        Grows as the poll probability falls, because more requests are then served between two polls.
        """
        demand = account.local_usage_units_per_ms[class_rank] * RESERVATION_MS
        max_units = MAX_RESERVATION_QUOTA_FRACTION * account.plan.quota_units
        return (1 - self.calls.poll_probability) * min(max_units, demand)

    def report(self, exchange: CounterExchange, reservation_units: float) -> None:
        """Reports an admitted request and a reservation.

        Only polled requests are reported, so the units are divided by the poll probability to account for
        the others. The report also adds the units by which the total lags behind the refill: refill of a
        full quota is lost, so the usage level in the total must not stay below 0.

        Args:
            exchange: the request's exchange; its units have already been charged to the account.
            reservation_units: units to reserve for the request's class.
        """
        account = exchange.account
        class_rank = exchange.class_rank
        weighted = min(
            exchange.units / self.calls.poll_probability, MAX_REPORT_QUOTA_FRACTION * account.plan.quota_units
        )
        unreported = max(exchange.units, weighted) - exchange.units
        units = unreported + reservation_units - account.reserved_units[class_rank]
        lag = exchange.refill_lag_units
        top_class_units = units * (class_rank == 0) + lag * exchange.top_class_fraction
        steps = self._round_at_random(top_class_units / TOP_CLASS_STEP_UNITS)
        lag_units = self._round_at_random(min(lag, MAX_REPAIR_UNITS))
        whole_units = self._round_at_random(max(0.0, units)) + lag_units
        if self.calls.send(exchange, encode_amount(whole_units, steps), lag_units):
            account.reserved_units[class_rank] = reservation_units

    def _round_at_random(self, value: float) -> int:
        """Rounds up with a probability equal to the fraction, so that reports are right on average."""
        return math.floor(value + self.context.random.random())

    def return_reservations(self, account: QuotaAccount) -> None:
        """Returns the reservations of an account when the gateway stops.

        Otherwise the customer could not use the reserved units until the quota has refilled them.
        """
        account.refill(self.context.now_ms)
        unspent = math.floor(sum(units for units in account.reserved_units if units > 0))
        if unspent < 1 or account.counter_epoch != account.epoch_at(self.context.now_ms):
            return
        account.reserved_units = [min(units, 0.0) for units in account.reserved_units]
        lowest_rank = len(account.reserved_units) - 1
        exchange = CounterExchange(account, lowest_rank, units=0.0, epoch=account.counter_epoch)
        self.calls.send(exchange, -unspent)

    def apply_reply(self, call: CounterCall, event: CounterReplied) -> None:
        """Applies the reply to a call. The caller has refilled the account up to the current time."""
        exchange = call.exchange
        account = exchange.account
        succeeded = event.outcome is Outcome.SUCCEEDED
        if call.epoch < exchange.epoch:
            refilled = account.refilled_units(call.epoch, self.context.now_ms)
            self.repair.carry_over(exchange, max(0.0, event.total - refilled) if succeeded else 0.0)
        elif succeeded:
            if call.epoch >= account.counter_epoch:  # Older epochs' keys are no longer in use
                level_units = self.apply_total(call, event.total)
                self.repair.undo_excess(call, event.total, level_units)
        elif event.outcome is not Outcome.TIMED_OUT:  # The amount was not added: report it again
            account.reserved_units[exchange.class_rank] -= call.reported_units

    def apply_total(self, call: CounterCall, total: float) -> float:
        """Sets an account's usage from a total, unless the total is implausible.

        A counter may lose units (its total fell by more than the refill) or accumulate too many (it shows
        more usage than a quota can hold). In both cases the account uses this gateway's own figures, so that
        the quota is neither exceeded nor applied too strictly, and the total is repaired. Usage is never set
        below this gateway's own usage, regardless of the total.

        Args:
            call: the call that the reply belongs to.
            total: the total after the call.

        Returns:
            The quota's usage level according to the total, or as known locally if the total is implausible.
        """
        exchange = call.exchange
        account = exchange.account
        quota = account.plan.quota_units
        refilled = account.refilled_units(exchange.epoch, self.context.now_ms)
        total_units, exchange.top_class_fraction = decode_total(total)
        self._record_total(call, total_units)
        exchange.refill_lag_units = max(0.0, refilled - total_units)
        pending_units = [math.floor(each.amount) for each in self.calls.pending(call.counter_key)]
        level = max(0.0, total_units - refilled + sum(units for units in pending_units if units < 0))
        usage = max(account.local_usage_units, total_units - refilled + sum(pending_units))
        reported_units = call.reported_units
        is_first = total - call.amount < HALF_STEP
        has_lost = self._has_lost_units(account, total_units - reported_units - refilled)
        if has_lost:
            level = max(level, account.known_level_units + max(0, reported_units))
        is_implausible = level - max(0, reported_units) > MAX_PLAUSIBLE_QUOTAS * quota
        if is_implausible:
            level = usage = min(quota, max(sum(account.usage_units), account.local_usage_units))
        account.known_level_units = min(quota, level)
        if has_lost or is_implausible or (is_first and refilled < quota):
            self.repair.start_repair(exchange, is_first)
        self._set_usage(exchange, max(level, usage))
        return level

    def _record_total(self, call: CounterCall, total_units: float) -> None:
        """Stores a total, and updates the rate of remote usage from its change since the previous total."""
        account = call.exchange.account
        now_ms = self.context.now_ms
        if account.counter_epoch == call.exchange.epoch:
            remote_units = max(0.0, total_units - account.counter_units - math.floor(call.amount))
            elapsed_ms = max(1.0, now_ms - account.total_received_at_ms)
            step = min(1.0, elapsed_ms / RATE_TIME_CONSTANT_MS)
            account.remote_usage_units_per_ms += step * (
                remote_units / elapsed_ms - account.remote_usage_units_per_ms
            )
        account.counter_units = total_units
        account.counter_epoch = call.exchange.epoch
        account.total_received_at_ms = now_ms

    @staticmethod
    def _has_lost_units(account: QuotaAccount, level_before_units: float) -> bool:
        """Whether a total fell by more than the refill: the key is new, or the counter lost units."""
        known = account.known_level_units
        tolerance = max(MIN_LOSS_UNITS, LOSS_QUOTA_FRACTION * account.plan.quota_units)
        return known >= MIN_LOSS_UNITS and known - level_before_units >= tolerance

    def _set_usage(self, exchange: CounterExchange, usage_units: float) -> None:
        """Divides usage among the classes.

        The total's decimals give the highest class's part; the lower classes get the rest by their shares.
        """
        account = exchange.account
        lower_shares = self.class_shares[1:]
        top = exchange.top_class_fraction if lower_shares else 1.0
        lower_sum = sum(lower_shares)
        fractions = [top, *((1 - top) * share / lower_sum for share in lower_shares)]
        account.usage_units = [
            max(0.0, usage_units * fraction - max(0.0, reserved))
            for fraction, reserved in zip(fractions, account.reserved_units, strict=True)
        ]
