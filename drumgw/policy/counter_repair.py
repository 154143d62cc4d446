"""Repairs totals of the shared counter after a new epoch, lost units, a split, or usage beyond the quota.

A usage level cannot fall faster than the quota refills, and cannot rise far above the quota. A total that
shows such a level belongs to a new key, or comes from a counter that was emptied, restored from an older
state, split or replaced. Corrections are added with ordinary calls. Several gateways may repair the same
total at once: the counter's order of calls shows whose repair was first, and the others undo theirs.
"""

from __future__ import annotations

import math

from drumgw.policy.context import DecisionContext
from drumgw.policy.counter_calls import CounterCall, CounterCalls
from drumgw.policy.request_state import CounterExchange
from drumgw.stable_hash import stable_hash

MIN_LOSS_UNITS = 2.0
"""Smaller differences are not treated as lost units, and are not repaired."""
REPAIR_INTERVAL_MS = 1000.0
"""Minimum time between two repairs of one customer's total."""
MAX_REPAIR_UNITS = 10**8
"""Upper limit of a correction by one call, in case a total is wrong by an arbitrary amount."""


class CounterRepair:
    """Sends the calls that repair totals."""

    def __init__(self, context: DecisionContext, calls: CounterCalls) -> None:
        self.context = context
        self.calls = calls

    def start_repair(self, exchange: CounterExchange, is_first: bool) -> None:
        """Starts the repair of a total that lost units, or holds more than a quota can.

        Repairs are sampled by the poll probability and limited by `REPAIR_INTERVAL_MS`, so that not all
        gateways repair the same total. The gateway that finds a new epoch's key empty is the first to use
        it, so it alone reads the total of the previous epoch's key.

        Args:
            exchange: the exchange whose account and epoch the total belongs to.
            is_first: whether the total was 0 before this gateway's call.
        """
        account = exchange.account
        now_ms = self.context.now_ms
        if now_ms - account.repaired_at_ms < REPAIR_INTERVAL_MS or not self.calls.draw_poll():
            return
        account.repaired_at_ms = now_ms
        refilled = account.refilled_units(exchange.epoch, now_ms)
        if is_first and refilled < account.plan.quota_units and self.calls.send(exchange, 0.0, epochs_back=1):
            return
        self.carry_over(exchange, 0.0)

    def carry_over(self, exchange: CounterExchange, level_units: float) -> None:
        """Corrects a total to the known usage level; the correction may be negative.

        Args:
            exchange: the exchange whose account and epoch the total belongs to.
            level_units: usage level according to the previous epoch's key, 0 if not read. The level known
                at this gateway is used instead if it is higher.
        """
        account = exchange.account
        known_units = max(min(account.plan.quota_units, level_units), account.known_level_units)
        refilled = account.refilled_units(exchange.epoch, self.context.now_ms)
        counter_key = stable_hash(account.customer, exchange.epoch)
        correction_units = math.floor(known_units - account.counter_units + refilled)
        correction_units -= sum(call.repair_units for call in self.calls.pending(counter_key))
        is_repairable = known_units >= MIN_LOSS_UNITS or correction_units < 0
        correction_units = max(correction_units, -MAX_REPAIR_UNITS) if is_repairable else 0
        if abs(correction_units) < MIN_LOSS_UNITS or account.counter_epoch != exchange.epoch:
            return
        if self.calls.send(exchange, correction_units, correction_units):
            exchange.refill_lag_units = 0.0

    def undo_excess(self, call: CounterCall, total: float, level_units: float) -> None:
        """Subtracts the units that a call added in excess.

        Two kinds of units are in excess. Usage beyond the quota does not consume quota: left in the total,
        it would make other gateways reject requests that still fit. And a repair is duplicated if another
        gateway's repair of the same total came first.

        Args:
            call: the call that the reply belongs to.
            total: the total after the call.
            level_units: the usage level that the total shows.
        """
        exchange = call.exchange
        account = exchange.account
        over_quota_units = max(
            0, min(call.reported_units, math.floor(level_units - account.plan.quota_units))
        )
        remote_units = math.floor(total - call.expected_total_before - call.amount + 0.5)
        duplicate_units = min(max(call.repair_units, 0), max(remote_units, 0))
        duplicate_units += max(min(call.repair_units, 0), min(remote_units, 0))
        excess_units = over_quota_units + duplicate_units
        if excess_units and self.calls.send(exchange, -excess_units):
            reserved = max(0.0, account.reserved_units[exchange.class_rank])
            account.reserved_units[exchange.class_rank] -= min(over_quota_units, reserved)
