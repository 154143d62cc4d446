"""The declared error of quotas while the counter is lost, against random interleavings and the laboratory."""

from __future__ import annotations

import dataclasses
import random
import unittest
from typing import Any

from drumgw.config.quota_bounds import describe_bound, sending_bound
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
from drumgw.model.settings import Plan
from drumgw.policy.counter_calls import CounterCall
from drumgw.policy.counter_sync import CounterSync
from drumgw.policy.engine import PolicyEngine
from drumgw.policy.quota_account import IDLE_ACCOUNT_MS
from drumgw.stable_hash import stable_hash
from drumgw.testbed.metrics import sent_while_lost
from tests.harness import INQUIRY, ONCE, gateway_settings
from tests.scenarios import Passer, day, play

TOP = 6  # units of a txn


class Fleet:
    """One customer's gatekeepers, and a counter that is lost, split or replaced; all in random order."""

    def __init__(self, plan: PlanSection, gates: int, seed: int, kind: type[PolicyEngine]) -> None:
        self.plan, self.number, self.kind = plan, gates, kind
        self.chance, self.now, self.ids = random.Random(seed), 100_000.0, 0
        self.stores: list[dict[int, float]] = [{}]  # name: total; one for each part of a split counter
        self.common: dict[int, float] = {}  # what both halves held when it was split
        self.swaps = 0
        self.lost_at: float | None = None
        self.since = self.now  # of what is sent
        self.sent = 0.0
        self.level, self.level_at = 0.0, self.now  # the customer's store, as the rules keep it
        self.restarts = [0] * gates
        self.skews = [0.0] * gates  # of their clocks
        self.unsure = self.garbage = self.dies = 0.0  # shares: calls without a total, totals of noise; odds
        self.declined = 0
        self.calls: list[
            tuple[int, AddToCounter, dict[int, float]]
        ] = []  # not answered yet, and where they went
        self.out: list[tuple[int, int, int, bool]] = []  # submissions: gate, txn, worker, first
        self.units: dict[tuple[int, int], float] = {}
        self.gates = [self.new(g) for g in range(gates)]

    def new(self, gate: int) -> PolicyEngine:
        p = Plan(
            self.plan.units_per_s,
            self.plan.burst_units,
            0,
            0.0,
            0.8,
            self.plan.ceiling_per_s,
            self.plan.ceiling_burst,
        )
        engine = self.kind(
            self.chance.getrandbits(60),
            dataclasses.replace(
                gateway_settings((ONCE, INQUIRY), (p,), gateways=self.number, max_request_units=float(TOP)),
                ordinal=gate,
            ),
        )
        engine.start(self.now + self.skews[gate])
        rows = tuple(EndpointInfo(w, 0, 0, "std", EndpointStatus.READY, None, 1.0) for w in range(4))
        engine.handle(self.now + self.skews[gate], EndpointsUpdated(True, rows))
        return engine

    def tell(self, gate: int, event: Event) -> None:
        for a in self.gates[gate].handle(self.now + self.skews[gate], event):
            if isinstance(a, AddToCounter):
                self.calls.append((gate, a, self.stores[gate % len(self.stores)]))
            elif isinstance(a, ForwardRequest):
                first = (gate, a.request_id) in self.units
                if first:
                    self.take(self.units.pop((gate, a.request_id)))
                self.out.append((gate, a.request_id, a.endpoint_id, first))
            elif isinstance(a, RejectRequest):
                self.declined += 1

    def take(self, units: float) -> None:
        self.sent += units
        self.level = self.true_level()
        self.level_at = self.now
        if self.level + units <= self.plan.burst_units:  # a try beyond the quota takes nothing
            self.level += units

    def true_level(self) -> float:
        return max(0.0, self.level - (self.now - self.level_at) * self.plan.units_per_s / 1000.0)

    def step(self) -> None:
        self.now += self.chance.expovariate(1 / 30.0)
        gate, what = self.chance.randrange(self.number), self.chance.random()
        if what < 0.45:
            self.ask(gate)
        elif what < 0.70 and self.out:
            of, txn, worker, _ = self.out.pop(self.chance.randrange(len(self.out)))
            end = self.chance.choice(
                (
                    Outcome.SUCCEEDED,
                    Outcome.SUCCEEDED,
                    Outcome.FAILED,
                    Outcome.REJECTED,
                    Outcome.BROKEN_RESPONSE,
                )
            )
            self.tell(of, AttemptEnded(txn, 0, worker, end, 20.0, end is Outcome.SUCCEEDED, 0.0, {}))
        elif what < 0.93 and self.calls:
            self.answer(*self.calls.pop(0))
        elif what < 0.99:
            for each in range(self.number):
                self.tell(each, TimerFired(0))
        elif self.lost_at is not None or self.chance.random() < self.dies:
            self.restart(gate)

    def ask(self, gate: int) -> None:
        self.ids += 1
        units = float(self.chance.randint(1, TOP))
        self.units[gate, self.ids] = units
        left = self.chance.choice((400.0, 1200.0, 5000.0))
        self.tell(
            gate,
            RequestReceived(self.ids, left, 0, 1, self.chance.randrange(2), units, False, self.number, 0),
        )

    def answer(self, gate: int, call: AddToCounter, store: dict[int, float]) -> None:
        if self.lost_at is not None:
            end = self.chance.choice((Outcome.TIMED_OUT, Outcome.REJECTED, Outcome.UNREACHABLE))
            self.tell(gate, CounterReplied(call.counter_key, end, 0.0, 50.0))
            return
        if self.chance.random() < self.unsure:  # added, or never
            if self.chance.random() < 0.5:
                store[call.counter_key] = store.get(call.counter_key, 0.0) + call.amount
            self.tell(gate, CounterReplied(call.counter_key, Outcome.TIMED_OUT, 0.0, 50.0))
            return
        store[call.counter_key] = total = round(store.get(call.counter_key, 0.0) + call.amount, 2)
        if self.chance.random() < self.garbage:
            total = self.chance.choice((1e30, -1e30, 1e9, -1e9, 0.0, 3.7))
        self.tell(gate, CounterReplied(call.counter_key, Outcome.SUCCEEDED, total, 3.0))

    def restart(self, gate: int) -> None:
        self.restarts[gate] += 1
        self.gates[gate] = self.new(gate)
        self.calls = [c for c in self.calls if c[0] != gate]
        self.out = [o for o in self.out if o[0] != gate]

    def lose(self) -> None:
        self.lost_at = self.since = self.now
        self.sent = 0.0
        self.calls.clear()

    def trouble(self) -> None:
        """The counter comes back empty, or knowing a part, or falls in two, or is one again. What is out to
        the old one is answered by it, late."""
        self.swaps += 1
        what = self.chance.random()
        if what < 0.4:
            self.stores, self.common = [{} for _ in self.stores], {}
        elif what < 0.6:
            part = self.chance.random()
            self.stores = [{name: round(total * part, 2) for name, total in s.items()} for s in self.stores]
            self.common = {name: round(total * part, 2) for name, total in self.common.items()}
        elif len(self.stores) == 1:
            self.common = dict(self.stores[0])
            self.stores = [self.stores[0], dict(self.stores[0])]
        else:  # with what both halves added
            one, other = self.stores
            both = {name: one.get(name, 0.0) + other.get(name, 0.0) for name in one.keys() | other}
            self.stores = [{n: total - self.common.get(n, 0.0) for n, total in both.items()}]

    def part_of_bound(self) -> float:
        b = sending_bound(self.plan, self.number, (self.now - self.since) / 1000.0, max(self.restarts))
        assert b is not None
        return self.sent / b.max_units


def plan(**figures: Any) -> PlanSection:
    return PlanSection(**{"name": "p", "units_per_s": 2.0, "burst_units": 12.0, **figures})


PLANS = (
    plan(),
    plan(units_per_s=20.0, burst_units=40.0),
    plan(units_per_s=0.5, burst_units=60.0),
    plan(units_per_s=10.0, burst_units=20.0, ceiling_per_s=12.0, ceiling_burst=30.0),
)


class Interleaved(unittest.TestCase):
    def worst(self, kind: type[PolicyEngine] = PolicyEngine) -> float:
        worst = 0.0
        for seed in range(48):
            fleet = Fleet(PLANS[seed % len(PLANS)], 1 + seed % 6, seed, kind)
            for _ in range(random.Random(seed).choice((0, 200, 800))):
                fleet.step()
            fleet.lose()
            for _ in range(1500):
                fleet.step()
                worst = max(worst, fleet.part_of_bound())
        return worst

    def test_no_interleaving_passes_the_declared_bound(self) -> None:
        worst = self.worst()
        self.assertLessEqual(worst, 1.0)
        self.assertGreater(worst, 0.3)  # it is no bound that nothing comes near

    def test_one_that_keeps_no_books_passes_it(self) -> None:
        self.assertGreater(self.worst(Passer), 1.0)


class Replaced(unittest.TestCase):
    """The counter answers throughout, and is split, emptied and replaced, again and again."""

    def worst(self, kind: type[PolicyEngine] = PolicyEngine) -> float:
        worst = 0.0
        for seed in range(48):
            fleet = Fleet(PLANS[seed % len(PLANS)], 1 + seed % 6, seed, kind)
            often = fleet.chance.choice((20, 60, 200))
            if seed % 3:
                fleet.unsure, fleet.garbage, fleet.dies = 0.1, 0.05, 0.2
                fleet.skews = [fleet.chance.uniform(0.0, 3000.0) for _ in fleet.skews]
                fleet.gates = [fleet.new(g) for g in range(fleet.number)]
            for _ in range(2500):
                fleet.step()
                if fleet.chance.random() < 1 / often:
                    fleet.trouble()
                worst = max(worst, fleet.part_of_bound())
        return worst

    def test_no_interleaving_passes_the_bound_of_a_lost_counter(self) -> None:
        """No term for replacements: what a gatekeeper sent on itself, no counter makes it forget."""
        worst = self.worst()
        self.assertLessEqual(worst, 1.0)
        self.assertGreater(worst, 0.3)

    def test_one_that_believes_every_total_passes_it(self) -> None:
        self.assertGreater(self.worst(Believer), 1.0)

    def test_who_stays_inside_its_quota_is_served_throughout(self) -> None:
        """A quarter of the rate, from random gatekeepers: whatever the counter forgets, splits or adds up."""
        for seed in range(24):
            p = plan(units_per_s=20.0, burst_units=60.0)
            fleet = Fleet(p, 1 + seed % 6, seed, PolicyEngine)
            for _ in range(400):
                fleet.now += 100.0 * fleet.chance.expovariate(1.0) * TOP
                fleet.ask(fleet.chance.randrange(fleet.number))
                while fleet.calls:
                    fleet.answer(*fleet.calls.pop(0))
                while fleet.out:
                    of, txn, _, _ = fleet.out.pop()
                    fleet.tell(of, AttemptEnded(txn, 0, 0, Outcome.SUCCEEDED, 20.0, True, 0.0, {}))
                if fleet.chance.random() < 0.1:
                    fleet.trouble()
            with self.subTest(seed):
                self.assertLessEqual(fleet.true_level(), 60.0)
                self.assertEqual((fleet.declined, fleet.swaps > 10), (0, True))

    def put_back(self, kind: type[PolicyEngine], gates: int, seed: int) -> tuple[float, float]:
        """The counter's level and the store's, once it came back empty and each gatekeeper met it."""
        fleet = Fleet(plan(units_per_s=2.0, burst_units=600.0), gates, seed, kind)
        for _ in range(200):
            fleet.step()
        fleet.stores = [{}]
        for gate in (*range(gates), *range(gates)):
            fleet.ask(gate)
        while fleet.calls:
            fleet.answer(*fleet.calls.pop(0))
        engine = fleet.gates[0]
        account = engine.accounts[1]
        epoch = account.epoch_at(fleet.now)
        total = fleet.stores[0].get(stable_hash(1, epoch), 0.0)
        return total - account.refilled_units(epoch, fleet.now), fleet.true_level()

    def test_what_gatekeepers_know_is_put_back_once(self) -> None:
        for gates in (1, 2, 4, 8):
            for seed in range(6):
                level, true = self.put_back(PolicyEngine, gates, seed)
                with self.subTest(gates=gates, seed=seed):
                    self.assertGreater(true, 100.0)
                    self.assertTrue(0.4 * true < level < 1.1 * true, (level, true))
                    self.assertLess(self.put_back(Believer, gates, seed)[0], 0.3 * true)


class TrustingCounterSync(CounterSync):
    """Takes every total for what was sent."""

    def apply_total(self, call: CounterCall, total: float) -> float:
        account = call.exchange.account
        account.known_level_units = 0.0
        account.local_usage_units = 0.0
        return super().apply_total(call, total)


class Believer(PolicyEngine):
    """Takes every total for what was sent."""

    counter_sync_class = TrustingCounterSync


class Declared(unittest.TestCase):
    def test_figures(self) -> None:
        for gates, seconds, more, sent, times in (
            (1, 10, {}, 32, 1.0),
            (4, 10, {}, 128, 4.0),
            (4, 10, {"restarts": 1}, 176, 5.5),
        ):
            b = sending_bound(plan(), gates, seconds, **more)
            assert b
            self.assertEqual((b.max_units, b.ratio_to_quota), (sent, times))
        held = sending_bound(PLANS[3], 6, 10.0)
        assert held
        self.assertEqual((held.max_units, held.held_by, held.is_useful), (150.0, "its ceiling", True))
        self.assertIsNone(sending_bound(plan(units_per_s=0.0, burst_units=0.0), 3, 10.0))

    def test_books_that_are_dropped_before_their_store_is_full_count(self) -> None:
        slow = sending_bound(PLANS[2], 2, 20.0)
        assert slow
        self.assertEqual(slow.max_units, 2 * (60.0 + 60.0 * 20.0 / (IDLE_ACCOUNT_MS / 1000.0)))

    def test_where_no_useful_bound_can_be_had_it_says_so(self) -> None:
        far, near = sending_bound(plan(), 10, 10.0), sending_bound(PLANS[3], 10, 10.0)
        assert far and near
        self.assertIn("no useful bound", describe_bound(far, 10, 10.0))
        self.assertNotIn("no useful bound", describe_bound(near, 10, 10.0))


class Played(unittest.TestCase):
    def test_a_day_with_the_counter_lost_stays_within_it(self) -> None:
        """Each customer's sent total beside its bound, at its busiest."""
        for kind in ("silent", "refuses"):
            of = day(f'kind = "counter {kind}"; at_s = 1; for_s = 3', seconds=5, use=2.0, units_spread=0)
            for seed in (1, 2):
                record, breaches = play(of, seed)
                rows = sent_while_lost(record, of)
                self.assertEqual(breaches, [])
                self.assertTrue(rows and all(row["sent"] <= row["bound"] for row in rows))
                self.assertGreater(max(row["sent"] for row in rows), 0)
