"""Many gateways round the real decision module, on a clock of the test's own: what they do together."""

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
from drumgw.policy.engine import PolicyEngine
from drumgw.policy.slow_start import SlowStart
from tests.harness import INQUIRY, ONCE, gateway_settings

PLENTY = Plan(1000.0, 1000.0, 0, 0.0, 0.8, 0.0, 0.0)
COLD_FROM, COLD_MS, FALL_MULTIPLE, FALL_MS = 0.19, 18000.0, 1.5, 3000.0  # a strict multiple
COLD = 1  # the worker that starts in the middle of the play
QUIET_MS, PLAY_MS = 15000.0, 20000.0


class Fleet:
    """Gateways that share workers; each request takes the worker some time, and is served."""

    def __init__(self, gateways: int, workers: int, requests_per_s: float, uneven: bool) -> None:
        self.chance = random.Random(7)
        self.workers, self.requests_per_s = workers, requests_per_s
        self.modules = [
            PolicyEngine(
                number,
                gateway_settings(
                    request_classes=(ONCE, INQUIRY),
                    plans=(PLENTY,),
                    gateways=gateways,
                    ordinal=number,
                    has_counter=False,
                    warm_up_initial_fraction=COLD_FROM,
                    warm_up_ms=COLD_MS,
                    warm_up_overload_multiple=FALL_MULTIPLE,
                ),
            )
            for number in range(gateways)
        ]
        self.traffic = [self.chance.expovariate(1.0) if uneven else 1.0 for _ in self.modules]
        self.events: list[tuple[float, int, int, Event]] = []
        self.order = itertools.count()
        self.cold_sends: list[float] = []

    def at(self, time_ms: float, gateway: int, event: Event) -> None:
        heapq.heappush(self.events, (time_ms, next(self.order), gateway, event))

    def listed(self, joined_ms: float | None) -> EndpointsUpdated:
        numbers = range(COLD if joined_ms else COLD + 1, self.workers + 1)
        return EndpointsUpdated(
            True,
            tuple(
                EndpointInfo(n, 0, 0, "", EndpointStatus.READY, joined_ms if n == COLD else None, 1.0)
                for n in numbers
            ),
        )

    def play(self, start_ms: float, quiet_load: float, burst_load: float) -> float:
        """A quiet time, then the cold worker joins and a burst begins. Returns when it joined."""
        joined_ms = start_ms + QUIET_MS
        for number, module in enumerate(self.modules):
            module.start(start_ms)
            self.at(start_ms, number, self.listed(None))
            self.at(start_ms + 100.0 * self.chance.random(), number, TimerFired(0))
            self.at(joined_ms + 100.0 * self.chance.random(), number, self.listed(joined_ms))
        time_ms, end_ms = start_ms, joined_ms + PLAY_MS
        for request in itertools.count(1):
            load = quiet_load if time_ms < joined_ms else burst_load
            time_ms += self.chance.expovariate(load * self.workers * self.requests_per_s / 1000.0)
            if time_ms >= end_ms:
                break
            (gateway,) = self.chance.choices(range(len(self.modules)), self.traffic)
            customer = self.chance.randrange(400)
            self.at(
                time_ms,
                gateway,
                RequestReceived(request, 8000.0, 0, customer, 1, 1.0, False, len(self.modules), 0),
            )
        while self.events and self.events[0][0] < end_ms:
            self.step(*heapq.heappop(self.events))
        return joined_ms

    def step(self, time_ms: float, _order: int, gateway: int, event: Event) -> None:
        for action in self.modules[gateway].handle(time_ms, event):
            if isinstance(action, SetTimer):
                self.at(time_ms + action.delay_ms, gateway, TimerFired(action.timer_id))
            elif isinstance(action, ForwardRequest):
                if action.endpoint_id == COLD:
                    self.cold_sends.append(time_ms)
                took_ms = 2000.0 / self.requests_per_s * self.chance.uniform(0.5, 1.5)
                answer = AttemptEnded(
                    action.request_id, 0, action.endpoint_id, Outcome.SUCCEEDED, took_ms, True, 0.0, {}
                )
                self.at(time_ms + took_ms, gateway, answer)


class ColdBudget(unittest.TestCase):
    """A cold worker falls under the sum of all gateways' sends, first and further ones alike."""

    def most_of_limit(self, gateways: int, workers: int, requests_per_s: float, uneven: bool) -> float:
        """The largest part of what a cold worker bears in a window that it was sent."""
        fleet = Fleet(gateways, workers, requests_per_s, uneven)
        joined_ms = fleet.play(1e6, quiet_load=0.1, burst_load=0.9)
        most = 0.0
        for last, sent_ms in enumerate(fleet.cold_sends):
            age_ms = sent_ms - joined_ms
            if age_ms >= COLD_MS:
                break
            warmth = COLD_FROM + (1 - COLD_FROM) * age_ms / COLD_MS
            budget = FALL_MULTIPLE * warmth * requests_per_s * FALL_MS / 1000.0
            sent = last + 1 - bisect_left(fleet.cold_sends, sent_ms - FALL_MS)
            most = max(most, sent / (budget + 2 * math.sqrt(budget) + 2))
        return most

    def test_all_gateways_together_keep_the_budget_under_a_burst(self) -> None:
        for gateways, workers, requests_per_s, uneven in (
            (2, 12, 10.0, True),
            (30, 12, 10.0, False),
            (30, 12, 4.0, True),
            (30, 6, 2.0, True),
            (230, 60, 4.0, True),
        ):
            with self.subTest(gateways=gateways, workers=workers, uneven=uneven):
                most = self.most_of_limit(gateways, workers, requests_per_s, uneven)
                self.assertTrue(0.0 < most < 0.75, most)

    def test_the_count_finds_a_fleet_that_pays_no_heed(self) -> None:
        """The judge itself: gateways that take a cold worker for a warm one pass the budget."""
        with mock.patch.object(SlowStart, "warm_up_fraction", lambda *_: 1.0):
            self.assertGreater(self.most_of_limit(30, 4, 40.0, False), 1.0)


if __name__ == "__main__":
    unittest.main()
