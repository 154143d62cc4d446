"""Puts totals of the shared counter right: after a new epoch, a loss, a split, or use beyond the quota.

A total cannot fall faster than its quota refills, and cannot stand far above the quota. One that does has
a new key, or comes from a counter that is empty, older, split or another. What is put right is added with an
ordinary call; the counter's order of calls tells who was first, and the others take theirs back.
"""

from __future__ import annotations

import math

from drumgw.policy.context import DecisionContext
from drumgw.policy.counter_calls import CounterCall, CounterCalls
from drumgw.policy.request_state import CounterExchange
from drumgw.stable_hash import stable_hash

MIN_LOSS_UNITS = 2.0
REPAIR_INTERVAL_MS = 1000.0
"""Between two repairs of one customer's total."""
MAX_REPAIR_UNITS = 10**8
"""With one call, however wrong a total is."""


class CounterRepair:
    """Sends the calls that put totals right."""

    def __init__(self, context: DecisionContext, calls: CounterCalls) -> None:
        self.context = context
        self.calls = calls

    def start_repair(self, exchange: CounterExchange, is_first: bool) -> None:
        """Starts to put a total right that lost what it held, or holds more than a quota can.

        At random and once in a while, so that not all gateways do it. Who finds a new epoch's key empty is
        the first there, so it alone reads what the last epoch's key held.

        Args:
            exchange: whose total it is.
            is_first: whether nothing was in the total before this gateway's call.
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
        """Adds what the total lacks.

        Args:
            exchange: whose total it is.
            level_units: usage that the last epoch's key held; what is known here counts if that is more.
        """
        account = exchange.account
        known_units = max(min(account.plan.quota_units, level_units), account.known_level_units)
        refilled = account.refilled_units(exchange.epoch, self.context.now_ms)
        counter_key = stable_hash(account.customer, exchange.epoch)
        lacking = math.floor(known_units - account.counter_units + refilled)
        lacking -= sum(call.repair_units for call in self.calls.pending(counter_key))
        is_repairable = known_units >= MIN_LOSS_UNITS or lacking < 0
        lacking = max(lacking, -MAX_REPAIR_UNITS) if is_repairable else 0
        if abs(lacking) < MIN_LOSS_UNITS or account.counter_epoch != exchange.epoch:
            return
        if self.calls.send(exchange, lacking, lacking):
            exchange.refill_lag_units = 0.0

    def undo_excess(self, call: CounterCall, total: float, level_units: float) -> None:
        """Takes back what a call added too much.

        Use beyond a quota takes nothing from it: left in the total, the other gateways would reject what the
        quota still holds. A repair that other gateways had made before stands twice.

        Args:
            call: the call that was answered.
            total: the total after it.
            level_units: the usage that the total shows.
        """
        exchange = call.exchange
        account = exchange.account
        beyond_quota = max(0, min(call.reported_units, math.floor(level_units - account.plan.quota_units)))
        added_by_others = math.floor(total - call.expected_total_before - call.amount + 0.5)
        repaired_twice = min(max(call.repair_units, 0), max(added_by_others, 0))
        repaired_twice += max(min(call.repair_units, 0), min(added_by_others, 0))
        too_much = beyond_quota + repaired_twice
        if too_much and self.calls.send(exchange, -too_much):
            reserved = max(0.0, account.reserved_units[exchange.class_rank])
            account.reserved_units[exchange.class_rank] -= min(beyond_quota, reserved)
