"""The laboratory: stand-ins as described, each trouble, and a judge that catches broken gatekeepers."""

from __future__ import annotations

import hashlib
import os
import subprocess
import sys
import unittest
from typing import Any

from drumgw.testbed.clients import ClientAttempt, ClientPopulation
from drumgw.testbed.clocks import VirtualClock
from drumgw.testbed.counter import EmulatedCounter
from drumgw.testbed.endpoint import EmulatedEndpoint, ReceivedAttempt, Says
from drumgw.testbed.endpoint_registry import KEPT, EmulatedDiscovery
from drumgw.testbed.environment import FAULTS, Environment
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.metrics import figures
from drumgw.testbed.oracle import find_violations
from drumgw.testbed.scenario import NEEDS, CounterSection, DiscoverySection, Scenario
from drumgw.testbed.virtual_runner import VirtualRunner
from drumgw.testbed.workload import Workload
from tests import scenarios
from tests.scenarios import day, play

# A short day of each trouble: what it needs beside its kind
STRIKES: dict[str, str] = {
    "slow": "part = 0.5; size = 6; for_s = 1",
    "failing": 'part = 0.5; product = "preview"; for_s = 1',
    "silent": "worker = 1; for_s = 1",
    "resets": "part = 1; size = 0.5; for_s = 1",
    "answers lost": "part = 1; size = 0.3; for_s = 1",
    "answers late": "part = 0.5; size = 300; for_s = 1",
    "answers spoilt": "part = 1; size = 0.3; for_s = 1",
    "few connections": "part = 1; size = 1; for_s = 1",
    "crash": "part = 0.4; for_s = 1",
    "replace": "part = 0.5",
    "drain": "worker = 2; for_s = 1",
    "zone lost": 'zone = "b"; for_s = 1',
    "zone cut": 'zone = "b"; for_s = 1',
    "counter slow": "size = 200; for_s = 1",
    "counter silent": "for_s = 1",
    "counter refuses": "for_s = 1",
    "counter empty": "",
    "counter older": "size = 0.5",
    "counter split": "for_s = 3",
    "list late": "size = 900; for_s = 1",
    "list lost": "for_s = 1",
    "list moves": "",
    "restart": "part = 0.4",
    "kill": "part = 0.4",
    "pause": "part = 0.4; for_s = 1",
    "rush": "size = 5; for_s = 1",
    "leave": "size = 0.5; for_s = 1",
}
QUIET = ("list late", "list lost", "list moves")  # seen only where the list changes, or on sockets


def strike(kind: str) -> str:
    return "; ".join(filter(None, (f'kind = "{kind}"', "at_s = 1", STRIKES[kind])))


class Troubles(unittest.TestCase):
    def test_every_trouble_is_played_and_no_rule_breaks(self) -> None:
        self.assertEqual(set(STRIKES), set(FAULTS) & set(NEEDS))
        calm = {s: self.outcome(play(day(seconds=s, use=use))[0]) for s, use in ((3, 0.4), (4, 2.0))}
        for kind in FAULTS:
            seconds, use = (4, 2.0) if kind.startswith("counter") else (3, 0.4)  # missed at the quotas
            with self.subTest(kind):
                of = day(strike(kind), seconds=seconds, use=use)
                record, breaches = play(of)
                self.assertEqual(breaches, [])
                seen = [row["what"] for row in record.rows if row.get("kind") == kind]
                self.assertEqual(seen, ["trouble"] + ["trouble over"] * ("for_s" in STRIKES[kind]))
                self.assertEqual([row["error"] for row in record.rows if row["what"] == "fault"], [])
                if kind not in QUIET:
                    self.assertTrue(self.outcome(record) != calm[seconds], "it changes nothing")

    def outcome(self, record: EventLog) -> list[Any]:
        return [
            {**row, "t": 0} for row in record.rows if row["what"] in ("asked", "answered", "ended", "told")
        ]

    def test_all_at_once(self) -> None:
        """Troubles combined; the workers of the zone that is lost are also those being replaced."""
        kinds = (
            "slow",
            "resets",
            "zone lost",
            "replace",
            "counter split",
            "list late",
            "kill",
            "rush",
            "leave",
        )
        of = day(*map(strike, kinds), seconds=4)
        for seed in (1, 2, 3):
            record, breaches = play(of, seed)
            self.assertEqual(breaches, [])
            self.assertGreater(figures(record, of)["whole"]["served"], 0.2)

    def test_a_trouble_aimed_at_what_has_gone_strikes_nobody(self) -> None:
        of = day(
            'kind = "crash"; at_s = 1; worker = 3; for_s = 1.5',
            'kind = "crash"; at_s = 2; worker = 3; for_s = 0.2',
            'kind = "kill"; at_s = 2; part = 1',
            'kind = "kill"; at_s = 2.1; part = 1',
        )
        record, breaches = play(of)
        self.assertEqual(breaches, [])
        downs = [row for row in record.rows if row["what"] == "worker" and row["state"] == "down"]
        killed = [row for row in record.rows if row["what"] == "gate" and row["state"] == "killed"]
        self.assertEqual((len(downs), len(killed)), (1, 3))


class Judged(unittest.TestCase):
    def rules(self, of: Scenario, **broken: Any) -> set[str]:
        """What the broken one breaks; an honest one keeps the rules on the same day."""
        self.assertEqual(play(of)[1], [])
        _, breaches = play(of, **broken)
        for b in breaches:
            self.assertTrue(b.gates and b.t and str(b))
        return {b.rule for b in breaches}

    def test_a_double_sender(self) -> None:
        of = day('kind = "resets"; at_s = 0.5; part = 1; size = 0.5; for_s = 2')
        self.assertEqual(self.rules(of, engine=scenarios.Doubler), {"doubled"})

    def test_one_that_declines_what_may_have_run(self) -> None:
        of = day('kind = "failing"; at_s = 0.5; part = 0.7; for_s = 2')
        self.assertEqual(self.rules(of, engine=scenarios.Decliner), {"doubled"})

    def test_a_sender_to_drained_workers(self) -> None:
        self.assertEqual(
            self.rules(day('kind = "drain"; at_s = 1; part = 0.4'), gate=scenarios.Deaf), {"drains"}
        )

    def test_a_start_that_does_not_wait_for_its_agent(self) -> None:
        """What the agent has counts from a process's first moment, read or not."""
        of = day('kind = "drain"; at_s = 1; part = 0.4', 'kind = "kill"; at_s = 1.4; part = 1', seconds=5)
        self.assertEqual(self.rules(of, gate=scenarios.Eager), {"drains"})

    def test_starts_while_discovery_is_silent_wait_for_it(self) -> None:
        of = day(
            'kind = "list lost"; at_s = 1; for_s = 2',
            'kind = "replace"; at_s = 1.2; part = 0.5',
            'kind = "kill"; at_s = 1.3; part = 0.7',
            seconds=6,
        )
        for seed in (1, 2, 3):
            record, breaches = play(of, seed)
            self.assertEqual(breaches, [])
            self.assertGreater(figures(record, of)["whole"]["served"], 0.3)

    def test_a_loser(self) -> None:
        self.assertEqual(self.rules(day(), gate=scenarios.Loser), {"lost"})

    def test_one_that_mixes_answers(self) -> None:
        self.assertEqual(self.rules(day(), gate=scenarios.Mixer), {"lost"})

    def test_an_overfiller_of_cold_workers(self) -> None:
        of = day('kind = "replace"; at_s = 1; worker = 0', cores=1, cold_from=0.05, fall_multiple=1.5)
        self.assertEqual(self.rules(of, engine=scenarios.Pusher), {"pushed"})

    def test_a_passer_of_ceilings(self) -> None:
        self.assertEqual(self.rules(day(use=4.0), engine=scenarios.Passer), {"ceilings"})

    def case(self, *rows: Any) -> list[str]:
        """Breaches of a hand-written record: (time, what, fields)."""
        record = EventLog({"clock": "virtual"})
        for t, what, fields in rows:
            record.add(t, what, **fields)
        return [f"{b.rule}: {b.what}" for b in find_violations(record, day())]

    def asked(self, product: str = "sold-copy") -> tuple[float, str, dict[str, Any]]:
        return (
            100.0,
            "asked",
            {
                "txn": "x",
                "gate": 1,
                "product": product,
                "plan": "basic",
                "customer": 5,
                "units": 2,
                "left": 500.0,
                "order": 0,
            },
        )

    def came(self, t: float, ticket: int, worker: str = "w0") -> tuple[float, str, dict[str, Any]]:
        return t, "came", {"txn": "x", "ticket": ticket, "worker": worker, "gate": 1, "first": t, "work": 5.0}

    def test_a_lost_txn_is_told_from_one_whose_client_left(self) -> None:
        gate = {"gate": 1, "state": "killed"}
        self.assertEqual(self.case(self.asked()), ["lost: still open when the day ended"])
        self.assertEqual(self.case(self.asked(), (300.0, "left", {"txn": "x"})), [])
        self.assertEqual(self.case(self.asked(), (300.0, "unreached", {"txn": "x"})), [])
        closed = (300.0, "closed", {"txn": "x"})
        self.assertEqual(self.case(self.asked(), closed), ["lost: its connection was closed with no answer"])
        self.assertEqual(self.case(self.asked(), (200.0, "gate", gate), closed), [])
        self.assertEqual(self.case((95.0, "gate", gate), self.asked(), closed), [])  # it was dead by then
        again = (80.0, "gate", {"gate": 1, "state": "starts"})  # and this is the next one
        self.assertEqual(len(self.case((50.0, "gate", gate), again, self.asked(), closed)), 1)
        late = (700.0, "answered", {"txn": "x", "status": 503, "mark": ""})
        self.assertEqual(self.case(self.asked(), late), ["lost: answered 92 ms too late"])
        self.assertEqual(
            self.case(self.asked(), (400.0, *late[1:]), (401.0, *late[1:])), ["lost: answered twice"]
        )

    def test_a_referenced_txn_stays_in_its_zone_and_time(self) -> None:
        zones = [
            (
                1.0,
                "worker",
                {
                    "worker": w,
                    "state": "starts",
                    "zone": z,
                    "cell": 0,
                    "cold": False,
                    "cores": 1,
                    "speed": 1.0,
                },
            )
            for w, z in (("w0", "a"), ("w1", "b"), ("w2", "a"))
        ]
        ended = (150.0, "ended", {"txn": "x", "ticket": 1, "how": "error", "ran": True})
        settled = (190.0, "ended", {"txn": "x", "ticket": 2, "how": "settled", "ran": True})
        good = (200.0, "answered", {"txn": "x", "status": 200, "mark": "x"})
        story = [*zones, self.asked("booking"), self.came(110.0, 1), ended]
        self.assertEqual(self.case(*story, self.came(160.0, 2, "w2"), settled, good), [])
        self.assertEqual(
            self.case(*story, self.came(160.0, 2, "w1"), settled, good),
            ["doubled: a referenced txn was sent beyond its zone"],
        )
        never = (150.0, "ended", {"txn": "x", "ticket": 1, "how": "full", "ran": False})
        self.assertEqual(self.case(*story[:-1], never, self.came(160.0, 2, "w1"), settled, good), [])
        self.assertEqual(
            self.case(*story[:-1], self.came(130.0, 2, "w2"), ended, settled, good),
            ["doubled: a second copy while one was out"],
        )

    def test_what_nobody_asked_for_is_a_double(self) -> None:
        self.assertEqual(self.case(self.came(5.0, 1)), ["doubled: a submission of no client's txn"])


class StandIns(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.record = VirtualClock(1000.0), EventLog({})
        self.day = day()
        self.world = Environment(self.day, 1, self.clock, self.record)
        self.said: list[tuple[float, int, Says]] = []

    def ticket(
        self, number: int, worker: EmulatedEndpoint, product: int = 0, work: float = 100.0
    ) -> ReceivedAttempt:
        arrival = next(
            a for a in self.world.workload.arrivals() if a.request_class is self.day.product[product]
        )
        from drumgw.testbed.clients import ClientRequest

        one = ClientAttempt(
            f"t{number}",
            ClientRequest(arrival._replace(work_ms=work), self.clock.now()),
            0,
            900.0,
            self.clock.now(),
        )
        ticket = ReceivedAttempt(
            number,
            one.attempt_id,
            one,
            0,
            lambda t, says: self.said.append((round(self.clock.now() - 1000.0), t.number, says)),
        )
        worker.receive(ticket)
        return ticket

    def worker(self, born: float | None = None, **kind: Any) -> EmulatedEndpoint:
        worker = self.world.endpoints["w0"]
        worker.section, worker.speed, worker.started_at_ms = worker.section.model_copy(update=kind), 1.0, born
        return worker

    def test_cores_queue_and_full(self) -> None:
        w = self.worker(cores=2, queue=1)
        for n in range(4):
            self.ticket(n, w)
        self.clock.run_until(1500.0)
        self.assertEqual(
            self.said, [(0, 3, "full"), (100, 0, "settled"), (100, 1, "settled"), (200, 2, "settled")]
        )

    def test_cold_start_warms_evenly_and_falls_over(self) -> None:
        w = self.worker(born=1000.0, cores=1)
        self.ticket(1, w, work=20.0)
        self.clock.run_until(1200.0)
        self.assertEqual(self.said, [(100, 1, "settled")])  # a fifth of its speed
        self.assertAlmostEqual(w.warm_up_fraction(), 0.2 + 0.8 * 200 / 3000)
        for n in range(2, 14):
            self.ticket(n, w, work=100.0)
        self.assertEqual((w.is_up, self.said[-1][2]), (False, "reset"))
        self.assertEqual(
            [r["state"] for r in self.record.rows if r["what"] == "worker"][-2:], ["falls", "down"]
        )
        self.clock.run_until(9000.0)
        self.assertTrue(w.is_up and w.started_at_ms is not None and w.started_at_ms > 5000.0)

    def test_drained_it_finishes_and_takes_nothing_new(self) -> None:
        w = self.worker(cores=1)
        self.ticket(1, w)
        w.is_draining = True
        self.ticket(2, w)
        self.clock.run_until(1500.0)
        self.assertEqual(self.said, [(0, 2, "full"), (100, 1, "settled")])

    def test_repeats_of_a_referenced_txn_run_once_a_group_and_time(self) -> None:
        w, other, far = self.worker(cores=9), self.world.endpoints["w2"], self.world.endpoints["w1"]
        for n, at in enumerate((w, other, far)):
            self.ticket(n, at, product=2)
        self.clock.run_until(2500.0)
        self.ticket(9, w, product=2)
        ran = [r["worker"] for r in self.record.rows if r["what"] == "ran"]
        self.assertEqual(ran, ["w0", "w1", "w0"])  # w2 is of w0's zone; after its time it is forgotten

    def test_given_up_it_says_nothing_and_what_waits_never_runs(self) -> None:
        w = self.worker(cores=1)
        first, second = self.ticket(1, w), self.ticket(2, w)
        w.abandon(first)
        w.abandon(second)
        self.clock.run_until(1500.0)
        self.assertEqual((self.said, w.running, len(w.queue)), ([], {}, 0))

    def count(self, **kind: Any) -> EmulatedCounter:
        self.totals: list[Any] = []
        return EmulatedCounter(CounterSection(**kind), self.clock)

    def call(self, c: EmulatedCounter, name: str, amount: float, gate: int = 0, lives: float = 9e9) -> Any:
        c.call(gate, name, amount, lives, lambda says, total: self.totals.append((says, total)))
        self.clock.run_until(self.clock.now() + 50.0)
        return self.totals[-1] if self.totals else None

    def test_the_counter_adds_forgets_and_turns_away(self) -> None:
        c = self.count()
        self.assertEqual([self.call(c, "a", 2.5)[1], self.call(c, "a", -1.0)[1]], [2.5, 1.5])
        self.clock.run_until(self.clock.now() + 60000.0)
        self.assertEqual(self.call(c, "a", 1.0), ("added", 1.0))  # no name lives longer than a minute
        c.rejects_calls = True
        self.assertEqual(self.call(c, "a", 1.0), ("turned away", 0.0))
        c.rejects_calls, c.is_silent = False, True
        before = len(self.totals)
        self.call(c, "a", 1.0)
        self.assertEqual(len(self.totals), before)

    def test_a_split_counter_heals_with_what_both_halves_added(self) -> None:
        c = self.count()
        self.call(c, "a", 5.0)
        c.split()
        self.assertEqual([self.call(c, "a", 1.0, 0)[1], self.call(c, "a", 10.0, 1)[1]], [6.0, 15.0])
        c.heal()
        self.assertEqual(self.call(c, "a", 0.0, 1)[1], 16.0)
        c.scale_totals(0.25)
        self.assertEqual(self.call(c, "a", 0.0)[1], 4.0)
        c.clear()
        self.assertEqual(self.call(c, "a", 0.0)[1], 0.0)

    def test_a_counter_serves_in_turn_and_its_line_is_bounded(self) -> None:
        c = self.count(calls_per_s=100.0, line=2)
        for _ in range(5):
            c.call(0, "a", 1.0, 1e4, lambda says, total: self.totals.append((round(self.clock.now()), says)))
        self.clock.run_until(1100.0)
        self.assertEqual(
            self.totals, [(1000, "turned away")] * 2 + [(1010, "added"), (1020, "added"), (1030, "added")]
        )

    def test_the_list_comes_late_by_gatekeeper_and_whole_to_who_is_far_behind(self) -> None:
        r = EmulatedDiscovery(
            DiscoverySection(delay_ms=100.0, spread_ms=0.0), 2, self.clock, self.record, self.world.random
        )
        r.put("w0", "a", 0, None)
        known = r.publish_initial_list()
        self.assertIsNone(r.updates_since(0, known["generation"]))
        r.set_lifecycle("w0", "draining")
        self.assertIsNone(r.updates_since(0, known["generation"]))
        self.clock.run_until(1100.0)
        news = r.updates_since(0, known["generation"])
        assert news
        self.assertEqual(
            [(row["instanceId"], row["lifecycle"]) for row in news["instances"]], [("w0", "draining")]
        )
        for n in range(KEPT + 1):
            r.put(f"x{n}", "a", 0, None)
        r.set_lifecycle("w0", "removed")
        self.clock.run_until(1300.0)
        news = r.updates_since(0, known["generation"])
        assert news
        self.assertEqual((news["reset"], len(news["instances"])), (True, KEPT + 1))


class Asked(unittest.TestCase):
    def test_arrivals_wait_for_no_answer_and_follow_the_load(self) -> None:
        of = day('kind = "rush"; at_s = 1; size = 4; for_s = 1')
        times = [a.at_ms for a in Workload(of, 3).arrivals()]
        self.assertEqual(times, sorted(times))
        thirds = [sum(n * 1000 <= t < n * 1000 + 1000 for t in times) for n in range(3)]
        self.assertGreater(thirds[1], 2 * max(thirds[0], thirds[2]))
        slow, _ = play(day('kind = "slow"; at_s = 0; part = 1; size = 40; for_s = 3'))
        calm, _ = play(day())
        wanted = [
            [(row["order"], row["intended"]) for row in r.rows if row["what"] == "wanted"]
            for r in (slow, calm)
        ]
        self.assertEqual(*wanted)

    def test_clients_try_again_only_where_that_is_harmless(self) -> None:
        class Port:
            def __init__(self) -> None:
                self.sent: list[ClientAttempt] = []

            def send(self, one: ClientAttempt) -> None:
                self.sent.append(one)

            def cancel(self, one: ClientAttempt) -> None: ...

        for product, status, tries in (
            ("preview", 500, 2),
            ("preview", 503, 2),
            ("sold-copy", 500, 1),
            ("sold-copy", 503, 2),
            ("booking", 500, 1),
        ):
            clock, of = VirtualClock(0.0), day()
            clients, port = ClientPopulation(of, Workload(of, 1), clock, EventLog({})), Port()
            clients.sender = port
            arrival = next(a for a in clients.workload.arrivals() if a.request_class.name == product)
            clients.arrive(arrival._replace(at_ms=0.0))
            clients.response_received(port.sent[0], status, "", 200.0)
            clock.run_until(400.0)
            self.assertEqual(len(port.sent), tries, (product, status))
            self.assertEqual(len({one.attempt_id for one in port.sent}), tries)  # each brings a new id

    def test_a_lab_that_falls_behind_says_so(self) -> None:
        """Guards figures: what the lab sent late must not pass for the gatekeepers' loss."""
        of = day()
        record = VirtualRunner(of, 1).run()
        self.assertTrue(figures(record, of)["valid"])
        record.rows[-1]["late"] = record.rows[-1]["sent"] // 10
        found = figures(record, of)
        self.assertEqual((found["valid"], "late" in found["invalid"]), (False, True))
        del record.rows[-1]
        self.assertIn("cut off", figures(record, of)["invalid"])

    def test_the_same_seed_gives_the_same_record_in_any_process(self) -> None:
        story = (
            "import hashlib; from tests.scenarios import *;"
            "of = day('kind = \"kill\"; at_s = 1; part = 0.6');"
            "print(hashlib.sha256(''.join(play(of, 5)[0].text()).encode()).hexdigest())"
        )
        found = {
            subprocess.run(
                [sys.executable, "-c", story],
                check=True,
                capture_output=True,
                text=True,
                env={**os.environ, "PYTHONHASHSEED": salt},
            ).stdout
            for salt in ("1", "77")
        }
        self.assertEqual(len(found), 1)
        other, _ = play(day('kind = "kill"; at_s = 1; part = 0.6'), 6)
        self.assertNotIn(hashlib.sha256("".join(other.text()).encode()).hexdigest(), found.pop())


class Figured(unittest.TestCase):
    def test_figures_add_up(self) -> None:
        of = day()
        record, _ = play(of)
        found = figures(record, of)
        for part in ("by product", "by plan", "by zone", "by time"):
            self.assertEqual(sum(p["orders"] for p in found[part].values()), found["whole"]["orders"])
        ends = ("in time", "late", "declined", "voided", "unreached", "lost", "left")
        self.assertEqual(sum(found["whole"][end] for end in ends), found["whole"]["orders"])
        self.assertEqual(sum(found["by worker"].values()), found["submissions"])
        self.assertEqual(found["calls a try"], round(found["counter calls"] / found["tries"], 4))
