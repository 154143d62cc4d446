"""The policy engine: makes all decisions of a gateway, from typed events to typed actions.

The engine dispatches each event to the components that handle it, and owns the records of requests and
customers. It does no I/O and reads no clock, so it is deterministic for a given seed, times and events. The
design is described in docs/design.md.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from drumgw.model.actions import Action, SetTimer
from drumgw.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsUpdated,
    Event,
    GatewayStopping,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from drumgw.model.settings import GatewaySettings
from drumgw.policy.account_table import AccountTable
from drumgw.policy.admission import AdmissionControl
from drumgw.policy.attempt_tracking import AttemptTracker
from drumgw.policy.back_end import BackEnd
from drumgw.policy.class_shares import CLASS_SHARES, fractions_by_rank
from drumgw.policy.context import DecisionContext
from drumgw.policy.counter_calls import CounterCalls
from drumgw.policy.counter_polling import CounterPoller
from drumgw.policy.counter_sync import CounterSync
from drumgw.policy.endpoint_selection import EndpointSelector
from drumgw.policy.quota_account import PlanLimits, QuotaAccount
from drumgw.policy.request_flow import RequestFlow
from drumgw.policy.request_state import PendingRequest
from drumgw.policy.retry import RetryPolicy

TICK_MS = 100.0
"""Interval at which rates and limits are updated and overdue attempts are detected."""
TICK_TIMER_ID = 0
STALL_MS = 300.0
"""A longer gap between events means that this process did not run, as ticks are more frequent."""
SWEEP_PROBABILITY = 0.02
"""Probability, at each tick, that idle accounts are dropped."""


class PolicyEngine:
    """Makes the decisions of one gateway.

    A subclass may replace components by overriding the class attributes.

    Args:
        seed: seed of the random generator, the only source of randomness.
        settings: the gateway's start-up settings.
    """

    admission_class: type[AdmissionControl] = AdmissionControl
    counter_sync_class: type[CounterSync] = CounterSync
    request_flow_class: type[RequestFlow] = RequestFlow
    selector_class: type[EndpointSelector] = EndpointSelector

    def __init__(self, seed: int, settings: GatewaySettings) -> None:
        context = DecisionContext(Random(seed))
        class_count = len(settings.request_classes)
        class_shares = fractions_by_rank(CLASS_SHARES, class_count)
        self.context = context
        self.class_count = class_count
        self.max_request_units = settings.max_request_units
        self.plans = [PlanLimits.from_plan(plan) for plan in settings.plans]
        self.accounts = AccountTable()
        self.pending: dict[int, PendingRequest] = {}
        """Requests without a final answer, by request id."""
        self.back_end = BackEnd(context, settings)
        self.retries = RetryPolicy(context, settings, self.back_end.overload)
        self.counter_calls = CounterCalls(context, settings, self.back_end.overload.describe)
        self.counter_poller = CounterPoller(context, settings, self.counter_calls, self.back_end)
        self.counter_sync = self.counter_sync_class(context, class_shares, self.counter_calls)
        self.admission = self.admission_class(
            context, settings, class_shares, self.counter_sync, self.back_end.overload
        )
        self.selector = self.selector_class(context, self.back_end)
        self.attempts = AttemptTracker(context, settings, self.pending, self.back_end, self.retries)
        self.requests = self.request_flow_class(
            context,
            settings,
            self.pending,
            self.admission,
            self.counter_poller,
            self.counter_sync,
            self.selector,
            self.attempts,
            self.retries,
        )

    def start(self, now_ms: float) -> list[Action]:
        """Starts the engine; called once, before the first event.

        Returns:
            The initial actions.
        """
        self.context.started_at_ms = now_ms
        return [SetTimer(TICK_MS, TICK_TIMER_ID)]

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handles one event.

        Args:
            now_ms: the current time; never decreases between calls.
            event: the event to handle.

        Returns:
            The actions to take, in order.
        """
        context = self.context
        if context.now_ms and now_ms - context.now_ms > STALL_MS:
            self._record_stall(now_ms)
        context.now_ms = now_ms
        context.actions = []
        EVENT_HANDLERS[type(event)](self, event)
        return context.actions

    def _record_stall(self, now_ms: float) -> None:
        """Handles a period in which this process did not run.

        It is excluded from the age of attempts, which would otherwise count as failures of their endpoints.
        Requests whose deadline would pass in another stall of this length no longer wait for the counter.
        """
        stall_ms = now_ms - self.context.now_ms
        self.context.stall_ended_at_ms = now_ms
        self.counter_poller.record_stall(stall_ms)
        self.attempts.exclude_stall(stall_ms)

    def _endpoints_updated(self, event: EndpointsUpdated) -> None:
        self.back_end.endpoints.update(event)

    def _request_received(self, event: RequestReceived) -> None:
        account = self.accounts.use(event.customer)
        if account is None:
            plan = self.plans[event.plan]
            account = QuotaAccount.open(plan, event, self.context, self.class_count, self.max_request_units)
            self.accounts.open(account, self.context.now_ms)
        account.refill(self.context.now_ms)
        self.requests.receive(event, account)

    def _attempt_ended(self, event: AttemptEnded) -> None:
        self.attempts.end(event)
        self.requests.attempt_ended(event)

    def _client_disconnected(self, event: ClientDisconnected) -> None:
        self.requests.client_disconnected(event.request_id)

    def _timer_fired(self, _event: TimerFired) -> None:
        self.context.actions.append(SetTimer(TICK_MS, TICK_TIMER_ID))
        self.back_end.endpoints.decay_completions(TICK_MS)
        self.attempts.check_overdue()
        self.back_end.overload.update(TICK_MS)
        if self.context.random.random() < SWEEP_PROBABILITY:
            self.accounts.drop_idle(self.context.now_ms)

    def _counter_replied(self, event: CounterReplied) -> None:
        call = self.counter_calls.take(event.counter_key)
        if call is None:
            return
        call.exchange.account.refill(self.context.now_ms)
        self.counter_sync.apply_reply(call, event)
        if call.exchange.request is not None:
            self.requests.resume(call.exchange.request)
        self.counter_calls.record_reply(event)

    def _response_started(self, _event: ResponseStarted) -> None:
        """Does nothing: a streamed response cannot be retried, and its attempt ends with `AttemptEnded`."""

    def _gateway_stopping(self, _event: GatewayStopping) -> None:
        for account in self.accounts.values():
            self.counter_sync.return_reservations(account)


EVENT_HANDLERS: dict[type, Callable[[PolicyEngine, Any], None]] = {
    EndpointsUpdated: PolicyEngine._endpoints_updated,
    RequestReceived: PolicyEngine._request_received,
    AttemptEnded: PolicyEngine._attempt_ended,
    ClientDisconnected: PolicyEngine._client_disconnected,
    TimerFired: PolicyEngine._timer_fired,
    CounterReplied: PolicyEngine._counter_replied,
    ResponseStarted: PolicyEngine._response_started,
    GatewayStopping: PolicyEngine._gateway_stopping,
}
