"""Decides whether a new request polls the shared counter and waits for the total.

A request covered by a reservation needs no poll. Without a total, the local account decides. A customer whose
total is unknown or too old is limited to this gateway's part of its quota.
"""

from __future__ import annotations

from drumgw.model.settings import GatewaySettings
from drumgw.policy.back_end import BackEnd
from drumgw.policy.context import DecisionContext
from drumgw.policy.counter_calls import CounterCalls
from drumgw.policy.quota_account import IDLE_ACCOUNT_MS
from drumgw.policy.request_state import NO_EPOCH, PendingRequest
from drumgw.policy.retry import MIN_RETRY_AFTER_MS

MIN_TIME_LEFT_TO_WAIT_MS = 2100.0
"""Initial value; allows for a stall of up to 2 s, in which a waiting request could miss its deadline."""
MIN_TIMEOUTS_LEFT = 2
"""A request waits for a total only with at least this many counter timeouts left until its deadline."""
STALL_SAFETY_FACTOR = 1.25
"""A request waits only with this multiple of the longest observed stall left, plus the timeouts above."""


class CounterPoller:
    """Decides which requests poll the counter, and which of those wait for the reply."""

    def __init__(
        self, context: DecisionContext, settings: GatewaySettings, calls: CounterCalls, back_end: BackEnd
    ) -> None:
        self.context = context
        self.calls = calls
        self.endpoints = back_end.endpoints
        self.overload = back_end.overload
        self.has_counter = settings.has_counter
        self.timeout_ms = settings.counter_timeout_ms
        self.max_retry_after_ms = settings.max_retry_after_ms
        self.min_time_left_to_wait_ms = max(MIN_TIME_LEFT_TO_WAIT_MS, MIN_TIMEOUTS_LEFT * self.timeout_ms)
        """Requests with less time left are decided without waiting. Only ever raised, by `record_stall`."""

    def record_stall(self, stall_ms: float) -> None:
        """Raises the time that a request must have left to wait for a total.

        A request that waits while this process stalls may miss its deadline without a decision. After a
        stall, requests without enough time left for another one of this length no longer wait. The limit
        is never lowered again.
        """
        needed_ms = STALL_SAFETY_FACTOR * stall_ms + MIN_TIMEOUTS_LEFT * self.timeout_ms
        self.min_time_left_to_wait_ms = max(self.min_time_left_to_wait_ms, needed_ms)

    def poll(self, request: PendingRequest, time_left_ms: float) -> bool:
        """Polls the total for a new request where that can affect the decision.

        Polls are sampled by the poll probability, which falls while the counter is overloaded.

        Args:
            request: already checked against the local account. May be marked as rejected here if the
                customer's allowance does not cover it.
            time_left_ms: time until the client's deadline.

        Returns:
            Whether the request waits for the total. If not, the caller decides it by the local account.
        """
        if not self._is_poll_useful(request):
            return False
        may_wait = time_left_ms > self.min_time_left_to_wait_ms
        exchange = request.exchange
        if self.has_counter and self.calls.draw_poll():
            exchange.epoch = exchange.account.epoch_at(self.context.now_ms)
            if may_wait and self.calls.send(exchange, 0.0):
                return True
        self._charge_or_reject_by_allowance(request)
        return False

    def _is_poll_useful(self, request: PendingRequest) -> bool:
        account = request.account
        plan = account.plan
        if not (plan.rate_units_per_ms and self.endpoints.preferred):
            return False
        is_counter_congested = self.calls.poll_probability < 1
        if plan.is_soft and is_counter_congested and self.overload.has_spare_capacity(plan.window_ms):
            return False
        if request.units <= account.reserved_units[request.class_rank]:
            return False
        total_age_ms = self.context.now_ms - account.total_received_at_ms
        return not (request.retry_after_ms and total_age_ms < plan.window_ms)

    def _charge_or_reject_by_allowance(self, request: PendingRequest) -> None:
        """Limits a customer without a recent total to this gateway's part of the quota.

        A client's retry is rejected even if the allowance covers it: another gateway has most likely
        rejected the request before because the quota is used up. If the concurrency cap cannot be divided
        among the gateways, every request decided without a poll, or without a recent total, is rejected.
        """
        account = request.account
        if not self.has_counter or account.plan.is_soft:
            return
        is_unknown = self.context.now_ms - account.total_received_at_ms > IDLE_ACCOUNT_MS
        is_unpolled = account.is_cap_below_gateways and request.exchange.epoch == NO_EPOCH
        if not (is_unknown or is_unpolled):
            return
        is_covered = request.units <= account.allowance_units
        if request.is_client_retry or account.is_cap_below_gateways or not is_covered:
            request.retry_after_ms = max(MIN_RETRY_AFTER_MS, self.max_retry_after_ms)
        else:
            account.allowance_units -= request.units
