"""Keeps quota accounts in step with the totals of the shared counter.

A customer's total counts all units that gateways have used or reserved since its epoch began; less what has
been refilled since, it is the quota's level of usage. A gateway reports what it forwards together with a
reservation for the next requests, and takes each total that comes back over into the account.
"""

from __future__ import annotations

import math

from drumgw.model.events import CounterReplied, Outcome
from drumgw.policy.context import RATE_MEMORY_MS, DecisionContext
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
"""A reservation covers so much of the demand here, at most."""
MAX_RESERVATION_QUOTA_FRACTION = 0.2
MAX_REPORT_QUOTA_FRACTION = 0.5
"""A report stands for no more than this part of the quota, however low the poll probability."""
LOSS_QUOTA_FRACTION = 0.1
"""A total that lacks more than this (and `MIN_LOSS_UNITS`) has lost something."""
MAX_PLAUSIBLE_QUOTAS = 2.0
"""A total that shows more usage than so many quotas cannot be true."""


class CounterSync:
    """Decides what is reported and reserved, and what a total means."""

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
        """What is reserved with a report: the more, the less often the counter is called."""
        demand = account.local_usage_units_per_ms[class_rank] * RESERVATION_MS
        most = MAX_RESERVATION_QUOTA_FRACTION * account.plan.quota_units
        return (1 - self.calls.poll_probability) * min(most, demand)

    def report(self, exchange: CounterExchange, reservation_units: float) -> None:
        """Reports an admitted request and a reservation.

        A report stands for the requests that are not reported, by the poll probability. It also adds the
        units that the total lags behind the refill, as a quota that is full does not refill further.

        Args:
            exchange: the request's, with its units already charged to the account.
            reservation_units: what to reserve for the class.
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
        """Rounds up as often as the fraction says: small reports are right on average."""
        return math.floor(value + self.context.random.random())

    def return_reservations(self, account: QuotaAccount) -> None:
        """Guards customers through restarts: a reservation left behind would count as used until refilled."""
        account.refill(self.context.now_ms)
        unspent = math.floor(sum(units for units in account.reserved_units if units > 0))
        if unspent < 1 or account.counter_epoch != account.epoch_at(self.context.now_ms):
            return
        account.reserved_units = [min(units, 0.0) for units in account.reserved_units]
        lowest_rank = len(account.reserved_units) - 1
        exchange = CounterExchange(account, lowest_rank, units=0.0, epoch=account.counter_epoch)
        self.calls.send(exchange, -unspent)

    def apply_reply(self, call: CounterCall, event: CounterReplied) -> None:
        """Takes the reply to a call over into its account, which has been refilled up to now."""
        exchange = call.exchange
        account = exchange.account
        succeeded = event.outcome is Outcome.SUCCEEDED
        if call.epoch < exchange.epoch:
            refilled = account.refilled_units(call.epoch, self.context.now_ms)
            self.repair.carry_over(exchange, max(0.0, event.total - refilled) if succeeded else 0.0)
        elif succeeded:
            if call.epoch >= account.counter_epoch:  # else its key is not in use any more
                level_units = self.apply_total(call, event.total)
                self.repair.undo_excess(call, event.total, level_units)
        elif event.outcome is not Outcome.TIMED_OUT:  # it was not added, so the report is owed
            account.reserved_units[exchange.class_rank] -= call.reported_units

    def apply_total(self, call: CounterCall, total: float) -> float:
        """Sets an account's usage by a total, unless the total cannot be true.

        Guards quotas and customers against a counter that lost units (a total lower than refilling explains)
        or adds units up (more usage than any quota holds): the account then goes by what is known here, and
        the total is put right. Usage is never less than this gateway's own, whatever the total says.

        Args:
            call: the call that was answered.
            total: the total after it.

        Returns:
            The quota's level of usage that the total shows, or that is known where it cannot be true.
        """
        exchange = call.exchange
        account = exchange.account
        quota = account.plan.quota_units
        refilled = account.refilled_units(exchange.epoch, self.context.now_ms)
        counted, exchange.top_class_fraction = decode_total(total)
        self._record_total(call, counted)
        exchange.refill_lag_units = max(0.0, refilled - counted)
        pending_units = [math.floor(each.amount) for each in self.calls.pending(call.counter_key)]
        level = max(0.0, counted - refilled + sum(units for units in pending_units if units < 0))
        usage = max(account.local_usage_units, counted - refilled + sum(pending_units))
        reported_units = call.reported_units
        is_first = total - call.amount < HALF_STEP
        has_lost = self._has_lost_units(account, counted - reported_units - refilled)
        if has_lost:
            level = max(level, account.known_level_units + max(0, reported_units))
        is_impossible = level - max(0, reported_units) > MAX_PLAUSIBLE_QUOTAS * quota
        if is_impossible:
            level = usage = min(quota, max(sum(account.usage_units), account.local_usage_units))
        account.known_level_units = min(quota, level)
        if has_lost or is_impossible or (is_first and refilled < quota):
            self.repair.start_repair(exchange, is_first)
        self._set_usage(exchange, max(level, usage))
        return level

    def _record_total(self, call: CounterCall, counted_units: float) -> None:
        """Notes a total, and the pace of the other gateways' usage since the one before."""
        account = call.exchange.account
        now_ms = self.context.now_ms
        if account.counter_epoch == call.exchange.epoch:
            by_others = max(0.0, counted_units - account.counter_units - math.floor(call.amount))
            elapsed_ms = max(1.0, now_ms - account.total_received_at_ms)
            step = min(1.0, elapsed_ms / RATE_MEMORY_MS)
            account.remote_usage_units_per_ms += step * (
                by_others / elapsed_ms - account.remote_usage_units_per_ms
            )
        account.counter_units = counted_units
        account.counter_epoch = call.exchange.epoch
        account.total_received_at_ms = now_ms

    @staticmethod
    def _has_lost_units(account: QuotaAccount, level_before_units: float) -> bool:
        """Whether a total is lower than refilling explains: a new key, or a counter that forgot."""
        known = account.known_level_units
        tolerance = max(MIN_LOSS_UNITS, LOSS_QUOTA_FRACTION * account.plan.quota_units)
        return known >= MIN_LOSS_UNITS and known - level_before_units >= tolerance

    def _set_usage(self, exchange: CounterExchange, usage_units: float) -> None:
        """Splits usage over the classes: the highest by the total's decimals, the others by their shares."""
        account = exchange.account
        lower_shares = self.class_shares[1:]
        top = exchange.top_class_fraction if lower_shares else 1.0
        lower_sum = sum(lower_shares)
        fractions = [top, *((1 - top) * share / lower_sum for share in lower_shares)]
        account.usage_units = [
            max(0.0, usage_units * fraction - max(0.0, reserved))
            for fraction, reserved in zip(fractions, account.reserved_units, strict=True)
        ]
