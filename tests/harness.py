"""The tests' one helper: plays events to a gatekeeper and traces its decisions; servers for it to meet."""

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
from drumgw.policy.engine import PolicyEngine
from drumgw.policy.quota_account import EPOCH_MS
from drumgw.stable_hash import stable_hash

TRACES = pathlib.Path(__file__).parent / "traces"
START = 3 * EPOCH_MS - stable_hash(1) % int(EPOCH_MS)  # the first customer's count has a new name then
INQUIRY = RequestClass(1.0, 2000.0, 8000.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 5000.0)
ONCE = RequestClass(3.0, 800.0, 2500.0, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 5000.0)
BY_ZONE = RequestClass(5.0, 2500.0, 8000.0, Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE, 3000.0)
HARD = Plan(2.0, 20.0, 0, 0.0, 0.8, 0.0, 0.0)
SOFT = Plan(2.0, 20.0, 0, 0.2, 0.0, 0.0, 0.0)
CEILED = Plan(10.0, 20.0, 0, 0.0, 0.5, 20.0, 40.0)
OPEN = Plan(2.0, 20.0, 2, 0.0, 0.6, 0.0, 0.0)


def gateway_settings(
    request_classes: tuple[RequestClass, ...] = (ONCE, INQUIRY),
    plans: tuple[Plan, ...] = (HARD,),
    **other: Any,
) -> GatewaySettings:
    plain = GatewaySettings(
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
    return dataclasses.replace(plain, **other)


class PolicyHarness:
    """One gatekeeper, its clock and the trace of what it does. The counter answers at once, unless held."""

    def __init__(self, workers: int = 4, born: float | None = None, held: bool = False, **other: Any) -> None:
        self.engine, self.now, self.trace, self.ids = (
            PolicyEngine(7, gateway_settings(**other)),
            START,
            list[str](),
            0,
        )
        self.out: dict[int, list[int]] = {}  # txn: workers it was sent to
        self.adds: list[AddToCounter] = []  # calls not answered yet
        self.counts: dict[int, float] = {}
        self.counter_held = held
        self.engine.start(self.now)
        rows = tuple(self.row(w, EndpointStatus.READY, born) for w in range(workers))
        self.play(EndpointsUpdated(True, rows))
        self.tick()

    @staticmethod
    def row(worker: int, health: EndpointStatus, born: float | None = None) -> EndpointInfo:
        return EndpointInfo(worker, worker % 2, worker % 2, "std", health, born, 1.0)

    def play(self, event: Event) -> list[Action]:
        actions = self.engine.handle(self.now, event)
        for a in actions:
            if isinstance(a, ForwardRequest):
                self.out.setdefault(a.request_id, []).append(a.endpoint_id)
            if isinstance(a, AddToCounter):
                self.adds.append(a)
            self.note(a)
        while self.adds and not self.counter_held:
            self.total()
        return actions

    def note(self, a: Action | str) -> None:
        at = f"{self.now - START:7.0f}  "
        match a:
            case str():
                self.trace.append(at + "-- " + a)
            case ForwardRequest():
                self.trace.append(at + f"submit txn {a.request_id} to worker {a.endpoint_id}")
            case RejectRequest():
                self.trace.append(at + f"decline txn {a.request_id}, back in {a.retry_after_ms:.0f} ms")
            case FailRequest():
                self.trace.append(at + f"void txn {a.request_id}")
            case CancelAttempt():
                self.trace.append(at + f"call off txn {a.request_id}, submission {a.attempt}")
            case AddToCounter():
                self.trace.append(at + (f"add {a.amount:g}" if a.amount else "read"))
            case LogMessage():
                self.trace.append(at + "log: " + a.text)

    def txn(
        self, product: int = 1, units: float = 1.0, customer: int = 1, left: float = 5000.0, gates: int = 2
    ) -> int:
        self.ids += 1
        self.play(RequestReceived(self.ids, left, 0, customer, product, units, False, gates, 0))
        return self.ids

    def answer(
        self,
        txn: int,
        end: Outcome = Outcome.SUCCEEDED,
        took: float = 50.0,
        final: bool | None = None,
        units: float = 0.0,
    ) -> None:
        sent = self.out[txn]
        done = end is Outcome.SUCCEEDED if final is None else final
        self.play(AttemptEnded(txn, len(sent) - 1, sent[-1], end, took, done, units, {}))

    def total(self, total: float | None = None, end: Outcome = Outcome.SUCCEEDED, took: float = 2.0) -> None:
        """Answers the oldest call: with the counter's own sum, or with what the test says."""
        call = self.adds.pop(0)
        if end is Outcome.SUCCEEDED:
            self.counts[call.counter_key] = (
                self.counts.get(call.counter_key, 0.0) + call.amount if total is None else total
            )
        self.play(CounterReplied(call.counter_key, end, self.counts.get(call.counter_key, 0.0), took))

    def name(self) -> int:
        """The name of the first customer's count."""
        return stable_hash(1, int((self.now - START) // EPOCH_MS) + 3)

    def tick(self, ms: float = 100.0) -> None:
        for _ in range(round(ms / 100)):
            self.now += 100
            self.play(TimerFired(0))


class TraceCase(unittest.TestCase):
    def same(self, stage: PolicyHarness, name: str) -> None:
        """The trace must be the one kept in traces/; a person reads the difference."""
        kept = (TRACES / f"{name}.txt").read_text().splitlines()
        change = list(difflib.unified_diff(kept, stage.trace, "kept", "now", lineterm="", n=2))
        self.assertFalse(change, "\n" + "\n".join(change))
