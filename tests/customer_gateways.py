"""Simulates a customer's gateways and a shared counter that can be unavailable, split or reset.

The policy engines are the real ones; requests, counter replies, ends of attempts and restarts occur in random
order.
"""

from __future__ import annotations

import dataclasses
import random
from typing import NamedTuple

from drumgw.config.quota_bounds import sending_bound
from drumgw.config.sections import PlanSection
from drumgw.model.actions import AddToCounter, ForwardRequest, RejectRequest
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
from drumgw.policy.engine import PolicyEngine
from tests.harness import HARD_PLAN, gateway_settings

MAX_REQUEST_UNITS = 6
CUSTOMER = 1
ENDPOINT_COUNT = 4
MEAN_STEP_MS = 30.0
FAILED_CALLS = (Outcome.TIMED_OUT, Outcome.REJECTED, Outcome.UNREACHABLE)
ATTEMPT_OUTCOMES = (
    Outcome.SUCCEEDED,
    Outcome.SUCCEEDED,
    Outcome.FAILED,
    Outcome.REJECTED,
    Outcome.BROKEN_RESPONSE,
)
WRONG_TOTALS = (1e30, -1e30, 1e9, -1e9, 0.0, 3.7)


class PendingCall(NamedTuple):
    """A call to the counter that has not been answered."""

    gateway: int
    call: AddToCounter
    totals: dict[int, float]
    """The totals of the counter replica that received the call."""


class PendingAttempt(NamedTuple):
    """An attempt that has not ended."""

    gateway: int
    request_id: int
    endpoint_id: int


class CustomerGateways:
    """A customer's gateways and the shared counter; each `step` is a random event.

    Args:
        plan: the customer's plan.
        gateway_count: number of gateways.
        seed: seed of the random number generator.
        engine_class: class of the gateways' policy engines.
    """

    def __init__(
        self, plan: PlanSection, gateway_count: int, seed: int, engine_class: type[PolicyEngine]
    ) -> None:
        self.plan = plan
        self.gateway_count = gateway_count
        self.engine_class = engine_class
        self.random = random.Random(seed)
        self.now_ms = 100_000.0
        self.last_request_id = 0
        self.counter_replicas: list[dict[int, float]] = [{}]
        """Totals by key, for each replica of the counter; there are two while it is split."""
        self.totals_at_split: dict[int, float] = {}
        self.counter_faults = 0
        self.counter_lost_at_ms: float | None = None
        self.counting_since_ms = self.now_ms
        self.sent_units = 0.0
        """Units of first attempts since `counting_since_ms`."""
        self.level_units = 0.0
        """The customer's true usage level at `level_at_ms`, from its plan's quota."""
        self.level_at_ms = self.now_ms
        self.restarts = [0] * gateway_count
        self.clock_skews_ms = [0.0] * gateway_count
        self.lost_reply_share = 0.0
        self.wrong_total_share = 0.0
        self.restart_probability = 0.0
        self.rejected = 0
        self.pending_calls: list[PendingCall] = []
        self.attempts: list[PendingAttempt] = []
        self.requested_units: dict[tuple[int, int], float] = {}
        """Units by gateway and request id, until the first attempt."""
        self.engines = [self.new_engine(gateway) for gateway in range(gateway_count)]

    def new_engine(self, gateway: int) -> PolicyEngine:
        """Returns a gateway's engine that has just started, with the endpoint list."""
        plan = dataclasses.replace(
            HARD_PLAN,
            units_per_s=self.plan.units_per_s,
            burst_units=self.plan.burst_units,
            ceiling_units_per_s=self.plan.ceiling_per_s,
            ceiling_burst_units=self.plan.ceiling_burst,
        )
        settings = gateway_settings(
            plans=(plan,),
            gateways=self.gateway_count,
            ordinal=gateway,
            max_request_units=float(MAX_REQUEST_UNITS),
        )
        engine = self.engine_class(self.random.getrandbits(60), settings)
        now_ms = self.now_ms + self.clock_skews_ms[gateway]
        engine.start(now_ms)
        endpoints = (
            EndpointInfo(endpoint_id, 0, 0, "std", EndpointStatus.READY, None, 1.0)
            for endpoint_id in range(ENDPOINT_COUNT)
        )
        engine.handle(now_ms, EndpointsUpdated(True, tuple(endpoints)))
        return engine

    def handle(self, gateway: int, event: Event) -> None:
        """Passes an event to a gateway's engine, and records its actions."""
        now_ms = self.now_ms + self.clock_skews_ms[gateway]
        for action in self.engines[gateway].handle(now_ms, event):
            if isinstance(action, AddToCounter):
                totals = self.counter_replicas[gateway % len(self.counter_replicas)]
                self.pending_calls.append(PendingCall(gateway, action, totals))
            elif isinstance(action, ForwardRequest):
                units = self.requested_units.pop((gateway, action.request_id), None)
                if units is not None:
                    self.count_sent(units)
                self.attempts.append(PendingAttempt(gateway, action.request_id, action.endpoint_id))
            elif isinstance(action, RejectRequest):
                self.rejected += 1

    def count_sent(self, units: float) -> None:
        """Counts a first attempt; one beyond the quota does not raise the true usage level."""
        self.sent_units += units
        self.level_units = self.true_level_units()
        self.level_at_ms = self.now_ms
        if self.level_units + units <= self.plan.burst_units:
            self.level_units += units

    def true_level_units(self) -> float:
        """Returns the customer's true usage level now."""
        refilled = (self.now_ms - self.level_at_ms) * self.plan.units_per_s / 1000.0
        return max(0.0, self.level_units - refilled)

    def step(self) -> None:
        """Advances the clock by a random time, and simulates one random event."""
        self.now_ms += self.random.expovariate(1 / MEAN_STEP_MS)
        gateway = self.random.randrange(self.gateway_count)
        draw = self.random.random()
        if draw < 0.45:
            self.request(gateway)
        elif draw < 0.70 and self.attempts:
            attempt = self.attempts.pop(self.random.randrange(len(self.attempts)))
            self.end_attempt(attempt, self.random.choice(ATTEMPT_OUTCOMES))
        elif draw < 0.93 and self.pending_calls:
            self.reply(self.pending_calls.pop(0))
        elif draw < 0.99:
            for ticking_gateway in range(self.gateway_count):
                self.handle(ticking_gateway, TimerFired(0))
        elif self.counter_lost_at_ms is not None or self.random.random() < self.restart_probability:
            self.restart(gateway)

    def request(self, gateway: int) -> None:
        """Sends a request of random units and with a random time left."""
        self.last_request_id += 1
        units = float(self.random.randint(1, MAX_REQUEST_UNITS))
        self.requested_units[gateway, self.last_request_id] = units
        time_left_ms = self.random.choice((400.0, 1200.0, 5000.0))
        request_class = self.random.randrange(2)
        event = RequestReceived(
            request_id=self.last_request_id,
            time_left_ms=time_left_ms,
            plan=0,
            customer=CUSTOMER,
            request_class=request_class,
            units=units,
            is_client_retry=False,
            gateway_count=self.gateway_count,
            first_gateway=0,
        )
        self.handle(gateway, event)

    def end_attempt(self, attempt: PendingAttempt, outcome: Outcome) -> None:
        """Ends an attempt; only a success is final."""
        is_final = outcome is Outcome.SUCCEEDED
        event = AttemptEnded(attempt.request_id, 0, attempt.endpoint_id, outcome, 20.0, is_final, 0.0, {})
        self.handle(attempt.gateway, event)

    def reply(self, pending: PendingCall) -> None:
        """Answers a call to the counter, or lets it fail.

        It always fails while the counter is unavailable. Otherwise `lost_reply_share` is the share of lost
        replies, and `wrong_total_share` the share of replies with a wrong total.
        """
        gateway, call, totals = pending
        key = call.counter_key
        if self.counter_lost_at_ms is not None:
            self.handle(gateway, CounterReplied(key, self.random.choice(FAILED_CALLS), 0.0, 50.0))
            return
        if self.random.random() < self.lost_reply_share:
            if self.random.random() < 0.5:  # only the reply is lost, the units were added
                totals[key] = totals.get(key, 0.0) + call.amount
            self.handle(gateway, CounterReplied(key, Outcome.TIMED_OUT, 0.0, 50.0))
            return
        total = round(totals.get(key, 0.0) + call.amount, 2)
        totals[key] = total
        if self.random.random() < self.wrong_total_share:
            total = self.random.choice(WRONG_TOTALS)
        self.handle(gateway, CounterReplied(key, Outcome.SUCCEEDED, total, 3.0))

    def reply_to_all(self) -> None:
        """Answers calls to the counter until none is pending."""
        while self.pending_calls:
            self.reply(self.pending_calls.pop(0))

    def restart(self, gateway: int) -> None:
        """Restarts a gateway, which loses its state, calls and attempts."""
        self.restarts[gateway] += 1
        self.engines[gateway] = self.new_engine(gateway)
        self.pending_calls = [pending for pending in self.pending_calls if pending.gateway != gateway]
        self.attempts = [attempt for attempt in self.attempts if attempt.gateway != gateway]

    def lose_counter(self) -> None:
        """Makes the counter unavailable, and starts to count the sent units."""
        self.counter_lost_at_ms = self.now_ms
        self.counting_since_ms = self.now_ms
        self.sent_units = 0.0
        self.pending_calls.clear()

    def inject_counter_fault(self) -> None:
        """Resets the counter, lowers its totals, or splits or merges its replicas, at random.

        A pending call is answered later by the replica that received it.
        """
        self.counter_faults += 1
        draw = self.random.random()
        if draw < 0.4:
            self.counter_replicas = [{} for _ in self.counter_replicas]
            self.totals_at_split = {}
        elif draw < 0.6:
            factor = self.random.random()
            self.counter_replicas = [scaled(totals, factor) for totals in self.counter_replicas]
            self.totals_at_split = scaled(self.totals_at_split, factor)
        elif len(self.counter_replicas) == 1:
            self.totals_at_split = dict(self.counter_replicas[0])
            self.counter_replicas.append(dict(self.counter_replicas[0]))
        else:
            self.merge_replicas()

    def merge_replicas(self) -> None:
        """Merges the two replicas: a total includes the additions of both since the split."""
        first, second = self.counter_replicas
        totals: dict[int, float] = {}
        for key in first.keys() | second:
            sum_of_replicas = first.get(key, 0.0) + second.get(key, 0.0)
            totals[key] = sum_of_replicas - self.totals_at_split.get(key, 0.0)
        self.counter_replicas = [totals]

    def share_of_bound(self) -> float:
        """Returns the sent units as a share of the bound that `sending_bound` computes."""
        seconds = (self.now_ms - self.counting_since_ms) / 1000.0
        bound = sending_bound(self.plan, self.gateway_count, seconds, max(self.restarts))
        assert bound is not None
        return self.sent_units / bound.max_units


def scaled(totals: dict[int, float], factor: float) -> dict[int, float]:
    """Returns the totals multiplied by a factor, rounded to two decimals."""
    return {key: round(total * factor, 2) for key, total in totals.items()}
