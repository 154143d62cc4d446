"""Feeds events to one policy engine and traces its decisions, for tests that compare traces."""

from __future__ import annotations

import dataclasses
import difflib
import pathlib
import unittest
from typing import Any

from drumgw.model.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    FailRequest,
    ForwardRequest,
    LogMessage,
    RejectRequest,
)
from drumgw.model.events import (
    AttemptEnded,
    CounterReplied,
    EndpointInfo,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from drumgw.model.settings import DeduplicationScope, GatewaySettings, Idempotency, Plan, RequestClass
from drumgw.policy.engine import TICK_MS, PolicyEngine
from drumgw.policy.quota_account import EPOCH_MS
from drumgw.stable_hash import stable_hash

TRACES = pathlib.Path(__file__).parent / "traces"
CUSTOMER = 1
START_EPOCH = 3
START_MS = START_EPOCH * EPOCH_MS - stable_hash(CUSTOMER) % int(EPOCH_MS)
"""Start of a harness's clock: the beginning of an epoch of `CUSTOMER`."""

IDEMPOTENT_CLASS = RequestClass(
    priority_weight=1.0,
    latency_objective_ms=2000.0,
    deadline_ms=8000.0,
    idempotency=Idempotency.IDEMPOTENT,
    deduplication_scope=DeduplicationScope.ALL,
    idempotency_window_ms=5000.0,
)
NOT_IDEMPOTENT_CLASS = RequestClass(
    priority_weight=3.0,
    latency_objective_ms=800.0,
    deadline_ms=2500.0,
    idempotency=Idempotency.NOT_IDEMPOTENT,
    deduplication_scope=DeduplicationScope.ALL,
    idempotency_window_ms=5000.0,
)
KEYED_IN_ZONE_CLASS = RequestClass(
    priority_weight=5.0,
    latency_objective_ms=2500.0,
    deadline_ms=8000.0,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    idempotency_window_ms=3000.0,
)
HIGH_PRIORITY = 0
"""Index of the class with the higher priority weight: not idempotent, unless a test says otherwise."""
LOW_PRIORITY = 1
"""Index of the class with the lower priority weight: idempotent."""

HARD_PLAN = Plan(
    units_per_s=2.0,
    burst_units=20.0,
    max_concurrent_attempts=0,
    over_quota_value_share=0.0,
    over_quota_cost_share=0.8,
    ceiling_units_per_s=0.0,
    ceiling_burst_units=0.0,
)
SOFT_PLAN = dataclasses.replace(HARD_PLAN, over_quota_value_share=0.2, over_quota_cost_share=0.0)
CEILING_PLAN = dataclasses.replace(
    HARD_PLAN,
    units_per_s=10.0,
    over_quota_cost_share=0.5,
    ceiling_units_per_s=20.0,
    ceiling_burst_units=40.0,
)
CAPPED_PLAN = dataclasses.replace(HARD_PLAN, max_concurrent_attempts=2, over_quota_cost_share=0.6)


def gateway_settings(
    request_classes: tuple[RequestClass, ...] = (NOT_IDEMPOTENT_CLASS, IDEMPOTENT_CLASS),
    plans: tuple[Plan, ...] = (HARD_PLAN,),
    **other: Any,
) -> GatewaySettings:
    """Returns the settings of the first of two gateways; `other` replaces any field."""
    settings = GatewaySettings(
        ordinal=0,
        gateways=2,
        zone=0,
        request_classes=request_classes,
        plans=plans,
        max_request_units=6.0,
        has_counter=True,
        counter_timeout_ms=50.0,
        cancellation_allowed=True,
        hedging_allowed=False,
        max_retry_after_ms=500.0,
        max_attempts=3,
        warm_up_initial_fraction=0.2,
        warm_up_ms=10000.0,
        warm_up_overload_multiple=3.0,
        cross_zone_fee=0.0,
        load_report_fields=(),
    )
    return dataclasses.replace(settings, **other)


class PolicyHarness:
    """One policy engine, its clock, its shared counter and the trace of its decisions.

    Args:
        endpoints: number of endpoints, with ids from 0; odd ones are in zone and cell 1, even ones in 0.
        started_at_ms: when the endpoints started and their warm-up began; None for warm endpoints.
        hold_counter: whether calls to the counter wait for `reply_from_counter`; otherwise they are answered
            at once.
        settings: see `gateway_settings`.
    """

    def __init__(
        self,
        endpoints: int = 4,
        started_at_ms: float | None = None,
        hold_counter: bool = False,
        **settings: Any,
    ) -> None:
        self.engine = PolicyEngine(7, gateway_settings(**settings))
        self.now_ms = START_MS
        self.trace: list[str] = []
        self.last_request_id = 0
        self.attempted_endpoints: dict[int, list[int]] = {}
        """By request id: the endpoint of each attempt."""
        self.counter_calls: list[AddToCounter] = []
        """Calls that are not answered yet, oldest first."""
        self.counter_totals: dict[int, float] = {}
        self.hold_counter = hold_counter
        self.engine.start(self.now_ms)
        endpoint_infos = (
            self.endpoint_info(endpoint_id, EndpointStatus.READY, started_at_ms)
            for endpoint_id in range(endpoints)
        )
        self.feed(EndpointsUpdated(True, tuple(endpoint_infos)))
        self.advance()

    @staticmethod
    def endpoint_info(
        endpoint_id: int, status: EndpointStatus, started_at_ms: float | None = None
    ) -> EndpointInfo:
        """Returns an endpoint's entry in the endpoint list."""
        return EndpointInfo(endpoint_id, endpoint_id % 2, endpoint_id % 2, "std", status, started_at_ms, 1.0)

    def feed(self, event: Event) -> list[Action]:
        """Passes an event to the engine, and traces its actions."""
        actions = self.engine.handle(self.now_ms, event)
        for action in actions:
            if isinstance(action, ForwardRequest):
                self.attempted_endpoints.setdefault(action.request_id, []).append(action.endpoint_id)
            if isinstance(action, AddToCounter):
                self.counter_calls.append(action)
            if (text := describe(action)) is not None:
                self._trace(text)
        while self.counter_calls and not self.hold_counter:
            self.reply_from_counter()
        return actions

    def _trace(self, text: str) -> None:
        self.trace.append(f"{self.now_ms - START_MS:7.0f}  {text}")

    def note(self, text: str) -> None:
        """Adds a remark to the trace, for its readers."""
        self._trace("-- " + text)

    def request(
        self,
        request_class: int = LOW_PRIORITY,
        units: float = 1.0,
        customer: int = CUSTOMER,
        time_left_ms: float = 5000.0,
        gateway_count: int = 2,
    ) -> int:
        """Passes a client's request to the engine; returns its id."""
        self.last_request_id += 1
        self.feed(
            RequestReceived(
                request_id=self.last_request_id,
                time_left_ms=time_left_ms,
                plan=0,
                customer=customer,
                request_class=request_class,
                units=units,
                is_client_retry=False,
                gateway_count=gateway_count,
                first_gateway=0,
            )
        )
        return self.last_request_id

    def end_attempt(
        self,
        request_id: int,
        outcome: Outcome = Outcome.SUCCEEDED,
        duration_ms: float = 50.0,
        is_final: bool | None = None,
        billed_units: float = 0.0,
    ) -> None:
        """Ends a request's latest attempt; by default it is final only if it succeeded."""
        endpoints = self.attempted_endpoints[request_id]
        self.feed(
            AttemptEnded(
                request_id=request_id,
                attempt=len(endpoints) - 1,
                endpoint_id=endpoints[-1],
                outcome=outcome,
                duration_ms=duration_ms,
                is_final=outcome is Outcome.SUCCEEDED if is_final is None else is_final,
                billed_units=billed_units,
                load_report={},
            )
        )

    def serve(self, request_id: int) -> None:
        """Ends a request's attempt with success, if the request was forwarded."""
        if request_id in self.attempted_endpoints:
            self.end_attempt(request_id)

    def reply_from_counter(
        self,
        total: float | None = None,
        outcome: Outcome = Outcome.SUCCEEDED,
        duration_ms: float = 2.0,
    ) -> None:
        """Answers the oldest call, with the sum of all calls or with the given total."""
        call = self.counter_calls.pop(0)
        key = call.counter_key
        if outcome is Outcome.SUCCEEDED:
            added = self.counter_totals.get(key, 0.0) + call.amount
            self.counter_totals[key] = added if total is None else total
        self.feed(CounterReplied(key, outcome, self.counter_totals.get(key, 0.0), duration_ms))

    def counter_key(self) -> int:
        """Returns the counter key of `CUSTOMER` in the current epoch."""
        return stable_hash(CUSTOMER, int((self.now_ms - START_MS) // EPOCH_MS) + START_EPOCH)

    def advance(self, duration_ms: float = TICK_MS) -> None:
        """Advances the clock in ticks, and fires the engine's timer at each of them."""
        for _ in range(round(duration_ms / TICK_MS)):
            self.now_ms += TICK_MS
            self.feed(TimerFired(0))


def describe(action: Action) -> str | None:
    """Returns an action as a line of the trace; None for an action that is not traced."""
    match action:
        case ForwardRequest():
            return f"forward request {action.request_id} to endpoint {action.endpoint_id}"
        case RejectRequest():
            return f"reject request {action.request_id}, retry after {action.retry_after_ms:.0f} ms"
        case FailRequest():
            return f"fail request {action.request_id}"
        case CancelAttempt():
            return f"cancel request {action.request_id}, attempt {action.attempt}"
        case AddToCounter():
            return f"add {action.amount:g}" if action.amount else "read"
        case LogMessage():
            return "log: " + action.text
        case _:
            return None


class TraceCase(unittest.TestCase):
    """Tests that compare a trace with the expected one in `tests/traces/`."""

    def assert_trace(self, harness: PolicyHarness, name: str) -> None:
        """Compares a harness's trace with the expected one; the traces are kept readable for reviewers."""
        expected = (TRACES / f"{name}.txt").read_text().splitlines()
        difference = list(
            difflib.unified_diff(expected, harness.trace, "expected", "actual", lineterm="", n=2)
        )
        self.assertFalse(difference, "\n" + "\n".join(difference))
