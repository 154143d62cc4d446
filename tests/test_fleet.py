"""Slow start over a whole fleet: the load that many gateways together put on an endpoint that warms up."""

from __future__ import annotations

import heapq
import itertools
import math
import random
import unittest
from bisect import bisect_left
from unittest import mock

from drumgw.model.actions import ForwardRequest, SetTimer
from drumgw.model.events import (
    AttemptEnded,
    EndpointInfo,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from drumgw.model.settings import Plan
from drumgw.policy.engine import TICK_MS, PolicyEngine
from drumgw.policy.slow_start import SlowStart
from tests.harness import LOW_PRIORITY, gateway_settings

LARGE_PLAN = Plan(
    units_per_s=1000.0,
    burst_units=1000.0,
    max_concurrent_attempts=0,
    over_quota_value_share=0.0,
    over_quota_cost_share=0.8,
    ceiling_units_per_s=0.0,
    ceiling_burst_units=0.0,
)
INITIAL_FRACTION = 0.19
WARM_UP_MS = 18000.0
OVERLOAD_MULTIPLE = 1.5
"""An endpoint fails if it receives more than this multiple of its current capacity; a strict setting."""
OVERLOAD_WINDOW_MS = 3000.0
"""Window in which the attempts at the cold endpoint are compared with its budget."""
COLD_ENDPOINT = 1
"""Id of the endpoint that starts cold, at the end of the quiet phase."""
QUIET_MS = 15000.0
BURST_MS = 20000.0
CUSTOMERS = 400


class Fleet:
    """Simulates gateways that share endpoints, on a virtual clock; every attempt succeeds."""

    def __init__(
        self, gateway_count: int, endpoint_count: int, requests_per_s: float, is_uneven: bool
    ) -> None:
        self.random = random.Random(7)
        self.endpoint_count = endpoint_count
        self.requests_per_s = requests_per_s
        self.engines = [self.engine(ordinal, gateway_count) for ordinal in range(gateway_count)]
        self.traffic = [self.random.expovariate(1.0) if is_uneven else 1.0 for _ in self.engines]
        self.events: list[tuple[float, int, int, Event]] = []
        self.sequence = itertools.count()
        self.cold_attempts_ms: list[float] = []

    @staticmethod
    def engine(ordinal: int, gateway_count: int) -> PolicyEngine:
        """Creates the policy engine of one gateway, seeded with its ordinal."""
        settings = gateway_settings(
            plans=(LARGE_PLAN,),
            gateways=gateway_count,
            ordinal=ordinal,
            has_counter=False,
            warm_up_initial_fraction=INITIAL_FRACTION,
            warm_up_ms=WARM_UP_MS,
            warm_up_overload_multiple=OVERLOAD_MULTIPLE,
        )
        return PolicyEngine(ordinal, settings)

    def schedule(self, time_ms: float, gateway: int, event: Event) -> None:
        """Schedules an event for a gateway."""
        heapq.heappush(self.events, (time_ms, next(self.sequence), gateway, event))

    def endpoint_list(self, cold_started_at_ms: float | None) -> EndpointsUpdated:
        """The complete endpoint list; without the cold endpoint if `cold_started_at_ms` is None."""
        first = COLD_ENDPOINT if cold_started_at_ms else COLD_ENDPOINT + 1
        endpoints = []
        for number in range(first, self.endpoint_count + 1):
            started_at_ms = cold_started_at_ms if number == COLD_ENDPOINT else None
            endpoints.append(EndpointInfo(number, 0, 0, "", EndpointStatus.READY, started_at_ms, 1.0))
        return EndpointsUpdated(True, tuple(endpoints))

    def simulate(self, start_ms: float, quiet_load: float, burst_load: float) -> float:
        """Runs a quiet phase, after which the cold endpoint starts and a burst begins.

        Args:
            start_ms: when the run starts.
            quiet_load: request rate in the quiet phase, as a share of the capacity of all endpoints.
            burst_load: the same for the burst.

        Returns:
            When the cold endpoint started.
        """
        cold_started_at_ms = start_ms + QUIET_MS
        for gateway, engine in enumerate(self.engines):
            engine.start(start_ms)
            self.schedule(start_ms, gateway, self.endpoint_list(None))
            self.schedule(start_ms + TICK_MS * self.random.random(), gateway, TimerFired(0))
            updated_at_ms = cold_started_at_ms + 100.0 * self.random.random()
            self.schedule(updated_at_ms, gateway, self.endpoint_list(cold_started_at_ms))
        end_ms = cold_started_at_ms + BURST_MS
        self.schedule_requests(start_ms, cold_started_at_ms, end_ms, quiet_load, burst_load)
        while self.events and self.events[0][0] < end_ms:
            self.step(*heapq.heappop(self.events))
        return cold_started_at_ms

    def schedule_requests(
        self, start_ms: float, burst_ms: float, end_ms: float, quiet_load: float, burst_load: float
    ) -> None:
        """Schedules requests of random customers, distributed over gateways by their traffic."""
        time_ms = start_ms
        for request_id in itertools.count(1):
            load = quiet_load if time_ms < burst_ms else burst_load
            per_ms = load * self.endpoint_count * self.requests_per_s / 1000.0
            time_ms += self.random.expovariate(per_ms)
            if time_ms >= end_ms:
                return
            (gateway,) = self.random.choices(range(len(self.engines)), self.traffic)
            customer = self.random.randrange(CUSTOMERS)
            request = RequestReceived(
                request_id, 8000.0, 0, customer, LOW_PRIORITY, 1.0, False, len(self.engines), 0
            )
            self.schedule(time_ms, gateway, request)

    def step(self, time_ms: float, _sequence: int, gateway: int, event: Event) -> None:
        """Passes an event to its gateway, and schedules the events that result from the actions."""
        for action in self.engines[gateway].handle(time_ms, event):
            if isinstance(action, SetTimer):
                self.schedule(time_ms + action.delay_ms, gateway, TimerFired(action.timer_id))
            elif isinstance(action, ForwardRequest):
                if action.endpoint_id == COLD_ENDPOINT:
                    self.cold_attempts_ms.append(time_ms)
                duration_ms = 2000.0 / self.requests_per_s * self.random.uniform(0.5, 1.5)
                end = AttemptEnded(
                    action.request_id, 0, action.endpoint_id, Outcome.SUCCEEDED, duration_ms, True, 0.0, {}
                )
                self.schedule(time_ms + duration_ms, gateway, end)


class WarmUpBudgetTest(unittest.TestCase):
    """Guards a cold endpoint against the combined load of all gateways, under which it would fail.

    Each gateway sees only its own requests. The requests of all gateways together must stay within the
    endpoint's budget, even if traffic is uneven and a burst begins as the endpoint starts.
    """

    def max_budget_fraction(
        self, gateway_count: int, endpoint_count: int, requests_per_s: float, is_uneven: bool
    ) -> float:
        """Returns the largest fraction of its budget that the cold endpoint received in any window.

        The budget includes a margin for the random variation of the attempts in a window.
        """
        fleet = Fleet(gateway_count, endpoint_count, requests_per_s, is_uneven)
        started_at_ms = fleet.simulate(1e6, quiet_load=0.1, burst_load=0.9)
        max_fraction = 0.0
        for last, sent_at_ms in enumerate(fleet.cold_attempts_ms):
            age_ms = sent_at_ms - started_at_ms
            if age_ms >= WARM_UP_MS:
                break
            fraction = INITIAL_FRACTION + (1 - INITIAL_FRACTION) * age_ms / WARM_UP_MS
            budget = OVERLOAD_MULTIPLE * fraction * requests_per_s * OVERLOAD_WINDOW_MS / 1000.0
            first = bisect_left(fleet.cold_attempts_ms, sent_at_ms - OVERLOAD_WINDOW_MS)
            margin = 2 * math.sqrt(budget) + 2
            max_fraction = max(max_fraction, (last + 1 - first) / (budget + margin))
        return max_fraction

    def test_all_gateways_together_stay_within_the_budget_in_a_burst(self) -> None:
        for gateway_count, endpoint_count, requests_per_s, is_uneven in (
            (2, 12, 10.0, True),
            (30, 12, 10.0, False),
            (30, 12, 4.0, True),
            (30, 6, 2.0, True),
            (230, 60, 4.0, True),
        ):
            with self.subTest(gateways=gateway_count, endpoints=endpoint_count, uneven=is_uneven):
                max_fraction = self.max_budget_fraction(
                    gateway_count, endpoint_count, requests_per_s, is_uneven
                )
                self.assertTrue(0.0 < max_fraction < 0.75, max_fraction)

    def test_gateways_without_slow_start_exceed_the_budget(self) -> None:
        """Verifies the check itself: it must detect gateways that treat a cold endpoint as warm."""
        with mock.patch.object(SlowStart, "warm_up_fraction", lambda *_: 1.0):
            self.assertGreater(self.max_budget_fraction(30, 4, 40.0, False), 1.0)


if __name__ == "__main__":
    unittest.main()
