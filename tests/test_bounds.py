"""The declared error of quotas while the counter is lost, against random interleavings and the laboratory."""

from __future__ import annotations

import dataclasses
import random
import unittest
from typing import Any

from drumgw import interface as api
from drumgw.control import IDLE_MS, Gatekeeper
from drumgw.interface import End
from drumgw.lab.figures import sent_while_lost
from drumgw.papers.bounds import bound, said
from drumgw.papers.parts import Plan
from tests.labour import Passer, day, play
from tests.stage import INQUIRY, ONCE, terms

TOP = 6


class Fleet:
    """One customer's gatekeepers, and a counter that is lost at a time; all in random order."""

    def __init__(self, plan: Plan, gates: int, seed: int, kind: type[Gatekeeper]) -> None:
        self.plan, self.number, self.kind = plan, gates, kind
        self.chance, self.now, self.ids, self.total = random.Random(seed), 100_000.0, 0, 0.0
        self.lost_at: float | None = None
        self.sent = 0.0  # units, since the counter was lost
        self.restarts = [0] * gates
        self.calls: list[tuple[int, api.Add]] = []  # not answered yet
        self.out: list[tuple[int, int, int, bool]] = []  # submissions: gate, txn, worker, first
        self.units: dict[tuple[int, int], float] = {}
        self.gates = [self.new(g) for g in range(gates)]

    def new(self, gate: int) -> Gatekeeper:
        p = api.Plan(
            self.plan.units_per_s,
            self.plan.burst_units,
            0,
            1.0,
            0.0,
            0.8,
            self.plan.ceiling_per_s,
            self.plan.ceiling_burst,
        )
        keeper = self.kind(
            self.chance.getrandbits(60),
            dataclasses.replace(
                terms((ONCE, INQUIRY), (p,), gatekeepers=self.number, top_units=float(TOP)), ordinal=gate
            ),
        )
        keeper.start(self.now)
        rows = tuple(api.Entry(w, 0, 0, "std", api.Health.READY, None, 1.0) for w in range(4))
        keeper.handle(self.now, api.Listed(True, rows))
        return keeper

    def tell(self, gate: int, event: api.Event) -> None:
        for a in self.gates[gate].handle(self.now, event):
            if isinstance(a, api.Add):
                self.calls.append((gate, a))
            elif isinstance(a, api.Submit):
                first = (gate, a.txn) in self.units
                if first and self.lost_at is not None:
                    self.sent += self.units[gate, a.txn]
                self.units.pop((gate, a.txn), None)
                self.out.append((gate, a.txn, a.worker, first))

    def step(self) -> None:
        self.now += self.chance.expovariate(1 / 30.0)
        gate, what = self.chance.randrange(self.number), self.chance.random()
        if what < 0.45:
            self.ids += 1
            units = float(self.chance.randint(1, TOP))
            self.units[gate, self.ids] = units
            left = self.chance.choice((400.0, 1200.0, 5000.0))
            self.tell(
                gate, api.Txn(self.ids, left, 0, 1, self.chance.randrange(2), units, False, self.number, 0)
            )
        elif what < 0.70 and self.out:
            of, txn, worker, _ = self.out.pop(self.chance.randrange(len(self.out)))
            end = self.chance.choice((End.SETTLED, End.SETTLED, End.ERROR, End.FULL, End.BROKEN))
            self.tell(of, api.Answer(txn, 0, worker, end, 20.0, end is End.SETTLED, 0.0, {}))
        elif what < 0.93 and self.calls:
            self.answer(*self.calls.pop(0))
        elif what < 0.99:
            for each in range(self.number):
                self.tell(each, api.Due(0))
        elif self.lost_at is not None:
            self.restart(gate)

    def answer(self, gate: int, call: api.Add) -> None:
        if self.lost_at is not None:
            end = self.chance.choice((End.TIMEOUT, End.FULL, End.UNREACHED))
            self.tell(gate, api.Total(call.name, end, 0.0, 50.0))
            return
        self.total = round(self.total + call.amount, 2)
        self.tell(gate, api.Total(call.name, End.SETTLED, self.total, 3.0))

    def restart(self, gate: int) -> None:
        self.restarts[gate] += 1
        self.gates[gate] = self.new(gate)
        self.calls = [c for c in self.calls if c[0] != gate]
        self.out = [o for o in self.out if o[0] != gate]

    def lose(self) -> None:
        self.lost_at = self.now
        self.calls.clear()

    def part_of_bound(self) -> float:
        assert self.lost_at is not None
        b = bound(self.plan, self.number, (self.now - self.lost_at) / 1000.0, max(self.restarts))
        assert b is not None
        return self.sent / b.sent


def plan(**figures: Any) -> Plan:
    return Plan(**{"name": "p", "units_per_s": 2.0, "burst_units": 12.0, **figures})


PLANS = (
    plan(),
    plan(units_per_s=20.0, burst_units=40.0),
    plan(units_per_s=0.5, burst_units=60.0),
    plan(units_per_s=10.0, burst_units=20.0, ceiling_per_s=12.0, ceiling_burst=30.0),
)


class Interleaved(unittest.TestCase):
    def worst(self, kind: type[Gatekeeper] = Gatekeeper) -> float:
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


class Declared(unittest.TestCase):
    def test_figures(self) -> None:
        for gates, seconds, more, sent, times in (
            (1, 10, {}, 32, 1.0),
            (4, 10, {}, 128, 4.0),
            (4, 10, {"restarts": 1}, 176, 5.5),
            (4, 10, {"replaced": 2}, 224, 7.0),
        ):
            b = bound(plan(), gates, seconds, **more)
            assert b
            self.assertEqual((b.sent, b.times), (sent, times))
        held = bound(PLANS[3], 6, 10.0)
        assert held
        self.assertEqual((held.sent, held.held_by, held.useful), (150.0, "its ceiling", True))
        self.assertIsNone(bound(plan(units_per_s=0.0, burst_units=0.0), 3, 10.0))

    def test_books_that_are_dropped_before_their_store_is_full_count(self) -> None:
        slow = bound(PLANS[2], 2, 20.0)
        assert slow
        self.assertEqual(slow.sent, 2 * (60.0 + 60.0 * 20.0 / (IDLE_MS / 1000.0)))

    def test_where_no_useful_bound_can_be_had_it_says_so(self) -> None:
        far, near = bound(plan(), 10, 10.0), bound(PLANS[3], 10, 10.0)
        assert far and near
        self.assertIn("no useful bound", said(far, 10, 10.0))
        self.assertNotIn("no useful bound", said(near, 10, 10.0))


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
