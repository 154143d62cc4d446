"""The testbed as a whole: every kind of fault, the load, the same log from the same seed, the figures."""

from __future__ import annotations

import dataclasses
import hashlib
import os
import subprocess
import sys
import unittest

from drumgw.testbed.client_requests import ClientAttempt
from drumgw.testbed.clients import ClientPopulation
from drumgw.testbed.clocks import VirtualClock
from drumgw.testbed.event_log import EventLog, RunHeader
from drumgw.testbed.faults import FAULTS
from drumgw.testbed.logged_events import (
    AttemptSent,
    EndpointAnnounced,
    EndpointChanged,
    EndpointFinished,
    EndpointState,
    EngineFailed,
    FaultEnded,
    FaultStarted,
    GatewayChanged,
    GatewayState,
    LoggedEvent,
    RequestCreated,
    ResponseReceived,
    RunEnded,
)
from drumgw.testbed.metrics import run_figures
from drumgw.testbed.scenario import COUNTER_FAULTS, REQUIRED_KEYS, FaultKind
from drumgw.testbed.virtual_runner import VirtualRunner
from drumgw.testbed.workload import Workload
from tests.scenarios import make_scenario, play

FAULT_KEYS: dict[FaultKind, str] = {
    FaultKind.ENDPOINT_SLOW: "part = 0.5; size = 6; for_s = 1",
    FaultKind.ENDPOINT_FAILING: 'part = 0.5; product = "preview"; for_s = 1',
    FaultKind.ENDPOINT_SILENT: "worker = 1; for_s = 1",
    FaultKind.CONNECTION_RESETS: "part = 1; size = 0.5; for_s = 1",
    FaultKind.RESPONSES_LOST: "part = 1; size = 0.3; for_s = 1",
    FaultKind.RESPONSES_DELAYED: "part = 0.5; size = 300; for_s = 1",
    FaultKind.RESPONSES_CORRUPT: "part = 1; size = 0.3; for_s = 1",
    FaultKind.CONNECTION_LIMIT: "part = 1; size = 1; for_s = 1",
    FaultKind.ENDPOINT_CRASH: "part = 0.4; for_s = 1",
    FaultKind.ENDPOINT_REPLACED: "part = 0.5",
    FaultKind.ENDPOINT_DRAIN: "worker = 2; for_s = 1",
    FaultKind.ZONE_DOWN: 'zone = "b"; for_s = 1',
    FaultKind.ZONE_PARTITIONED: 'zone = "b"; for_s = 1',
    FaultKind.COUNTER_SLOW: "size = 200; for_s = 1",
    FaultKind.COUNTER_SILENT: "for_s = 1",
    FaultKind.COUNTER_REJECTS: "for_s = 1",
    FaultKind.COUNTER_EMPTY: "",
    FaultKind.COUNTER_STALE: "size = 0.5",
    FaultKind.COUNTER_SPLIT: "for_s = 3",
    FaultKind.DISCOVERY_DELAYED: "size = 900; for_s = 1",
    FaultKind.DISCOVERY_SILENT: "for_s = 1",
    FaultKind.DISCOVERY_MOVED: "",
    FaultKind.GATEWAY_RESTART: "part = 0.4",
    FaultKind.GATEWAY_KILL: "part = 0.4",
    FaultKind.GATEWAY_PAUSE: "part = 0.4; for_s = 1",
    FaultKind.LOAD_SURGE: "size = 5; for_s = 1",
    FaultKind.CLIENTS_LEAVE: "size = 0.5; for_s = 1",
}
"""For each kind, what it needs in a short scenario beside its kind and time."""
WITHOUT_EFFECT_ALONE = (
    FaultKind.DISCOVERY_DELAYED,
    FaultKind.DISCOVERY_SILENT,
    FaultKind.DISCOVERY_MOVED,
)
"""They show only where the endpoint list changes, or on sockets."""


def fault_keys(kind: FaultKind) -> str:
    """A fault of this kind, one second after the start."""
    return "; ".join(filter(None, (f'kind = "{kind}"', "at_s = 1", FAULT_KEYS[kind])))


def visible_effects(event_log: EventLog) -> list[LoggedEvent]:
    """What clients and endpoints did, without the times."""
    kinds = AttemptSent | ResponseReceived | EndpointFinished | EndpointAnnounced
    return [dataclasses.replace(event, time_ms=0.0) for event in event_log.events if isinstance(event, kinds)]


class FaultTest(unittest.TestCase):
    """Gateways on the virtual clock, under faults."""

    def test_every_kind_of_fault_strikes_and_no_rule_is_broken(self) -> None:
        """Each kind of fault strikes a short scenario, alone.

        It begins and ends once, something of it can be seen, and the gateways keep all rules under it. A
        fault of the counter shows only where customers reach their quotas, so the load is higher there.
        """
        self.assertEqual(set(FAULT_KEYS), set(FAULTS) & set(REQUIRED_KEYS))
        without_fault = {
            (seconds, use): visible_effects(play(make_scenario(seconds=seconds, use=use))[0])
            for seconds, use in ((3, 0.4), (4, 2.0))
        }
        for kind in FAULTS:
            seconds, use = (4, 2.0) if kind in COUNTER_FAULTS else (3, 0.4)
            with self.subTest(kind):
                event_log, violations = play(make_scenario(fault_keys(kind), seconds=seconds, use=use))
                self.assertEqual(violations, [])
                seen = [
                    type(event)
                    for event in event_log.events
                    if isinstance(event, FaultStarted | FaultEnded) and event.kind is kind
                ]
                has_end = "for_s" in FAULT_KEYS[kind]
                self.assertEqual(seen, [FaultStarted, FaultEnded] if has_end else [FaultStarted])
                failures = [event for event in event_log.events if isinstance(event, EngineFailed)]
                self.assertEqual(failures, [])
                if kind not in WITHOUT_EFFECT_ALONE:
                    has_effect = visible_effects(event_log) != without_fault[seconds, use]
                    self.assertTrue(has_effect, "it changes nothing")

    def test_faults_at_the_same_time(self) -> None:
        """Nine faults strike in the same second.

        Among them a zone goes down whose endpoints are just being replaced. No rule is broken, and a good
        part of the load is still served.
        """
        kinds = (
            FaultKind.ENDPOINT_SLOW,
            FaultKind.CONNECTION_RESETS,
            FaultKind.ZONE_DOWN,
            FaultKind.ENDPOINT_REPLACED,
            FaultKind.COUNTER_SPLIT,
            FaultKind.DISCOVERY_DELAYED,
            FaultKind.GATEWAY_KILL,
            FaultKind.LOAD_SURGE,
            FaultKind.CLIENTS_LEAVE,
        )
        scenario = make_scenario(*map(fault_keys, kinds), seconds=4)
        for seed in (1, 2, 3):
            event_log, violations = play(scenario, seed)
            self.assertEqual(violations, [])
            self.assertGreater(run_figures(event_log, scenario)["whole"]["served"], 0.2)

    def test_a_fault_strikes_nobody_who_is_down_already(self) -> None:
        """An endpoint that is down is crashed again, and gateways that were just killed are killed again.

        Each goes down once: the second fault finds nobody.
        """
        scenario = make_scenario(
            'kind = "crash"; at_s = 1; worker = 3; for_s = 1.5',
            'kind = "crash"; at_s = 2; worker = 3; for_s = 0.2',
            'kind = "kill"; at_s = 2; part = 1',
            'kind = "kill"; at_s = 2.1; part = 1',
        )
        event_log, violations = play(scenario)
        self.assertEqual(violations, [])
        endpoint_states = [event.state for event in event_log.events if isinstance(event, EndpointChanged)]
        gateway_states = [event.state for event in event_log.events if isinstance(event, GatewayChanged)]
        self.assertEqual(endpoint_states.count(EndpointState.DOWN), 1)
        self.assertEqual(gateway_states.count(GatewayState.KILLED), 3)

    def test_starts_while_discovery_is_silent_wait_for_it(self) -> None:
        """Discovery is silent for two seconds; in this time endpoints are replaced and gateways killed.

        The gateways that start then have not heard their agents. Nothing goes to an endpoint that has left,
        and the fleet serves on afterwards.
        """
        scenario = make_scenario(
            'kind = "list lost"; at_s = 1; for_s = 2',
            'kind = "replace"; at_s = 1.2; part = 0.5',
            'kind = "kill"; at_s = 1.3; part = 0.7',
            seconds=6,
        )
        for seed in (1, 2, 3):
            event_log, violations = play(scenario, seed)
            self.assertEqual(violations, [])
            self.assertGreater(run_figures(event_log, scenario)["whole"]["served"], 0.3)


class RecordingSender:
    """Keeps the attempts that clients send."""

    def __init__(self) -> None:
        self.sent: list[ClientAttempt] = []

    def send(self, attempt: ClientAttempt) -> None:
        """Keeps the attempt."""
        self.sent.append(attempt)

    def cancel(self, attempt: ClientAttempt) -> None:
        """Does nothing."""


class LoadTest(unittest.TestCase):
    """Arrivals and clients."""

    def test_arrivals_wait_for_no_response_and_follow_the_load(self) -> None:
        scenario = make_scenario('kind = "rush"; at_s = 1; size = 4; for_s = 1')
        times_ms = [arrival.at_ms for arrival in Workload(scenario, 3).arrivals()]
        self.assertEqual(times_ms, sorted(times_ms))
        per_second = [sum(n * 1000 <= at_ms < n * 1000 + 1000 for at_ms in times_ms) for n in range(3)]
        self.assertGreater(per_second[1], 2 * max(per_second[0], per_second[2]))
        slow_log, _ = play(make_scenario('kind = "slow"; at_s = 0; part = 1; size = 40; for_s = 3'))
        calm_log, _ = play(make_scenario())
        slow_requests, calm_requests = (
            [(event.request, event.intended_ms) for event in log.events if isinstance(event, RequestCreated)]
            for log in (slow_log, calm_log)
        )
        self.assertEqual(slow_requests, calm_requests)

    def test_clients_retry_only_where_that_is_harmless(self) -> None:
        for class_name, status, attempts in (
            ("preview", 500, 2),
            ("preview", 503, 2),
            ("sold-copy", 500, 1),
            ("sold-copy", 503, 2),
            ("booking", 500, 1),
        ):
            with self.subTest(class_name, status=status):
                scenario = make_scenario()
                clock = VirtualClock(0.0)
                workload = Workload(scenario, 1)
                clients = ClientPopulation(scenario, workload, clock, EventLog(RunHeader()))
                sender = RecordingSender()
                clients.sender = sender
                arrival = next(a for a in workload.arrivals() if a.request_class.name == class_name)
                clients.receive_arrival(arrival._replace(at_ms=0.0))
                clients.response_received(sender.sent[0], status, "", 200.0)
                clock.run_until(400.0)
                self.assertEqual(len(sender.sent), attempts)
                attempt_ids = {attempt.attempt_id for attempt in sender.sent}
                self.assertEqual(len(attempt_ids), attempts, "each attempt has an id of its own")


class RunTest(unittest.TestCase):
    """Runs and their figures."""

    def test_a_testbed_that_falls_behind_says_so(self) -> None:
        """The machine is too slow, and a tenth of the requests are sent late.

        What the testbed itself delayed must not pass for the gateways' loss: the run is invalid. So is one
        whose log was cut off.
        """
        scenario = make_scenario()
        event_log = VirtualRunner(scenario, 1).run()
        self.assertTrue(run_figures(event_log, scenario)["valid"])
        run_ended = event_log.events[-1]
        assert isinstance(run_ended, RunEnded)
        run_ended.sent_late_count = run_ended.sent_count // 10
        figures = run_figures(event_log, scenario)
        self.assertFalse(figures["valid"])
        self.assertIn("late", figures["invalid"])
        del event_log.events[-1]
        self.assertIn("cut off", run_figures(event_log, scenario)["invalid"])

    def test_the_same_seed_gives_the_same_log_in_any_process(self) -> None:
        program = (
            "import hashlib; from tests.scenarios import *;"
            "scenario = make_scenario('kind = \"kill\"; at_s = 1; part = 0.6');"
            "print(hashlib.sha256(''.join(play(scenario, 5)[0].lines()).encode()).hexdigest())"
        )
        digests = {
            subprocess.run(
                [sys.executable, "-c", program],
                check=True,
                capture_output=True,
                text=True,
                env={**os.environ, "PYTHONHASHSEED": hash_seed},
            ).stdout
            for hash_seed in ("1", "77")
        }
        self.assertEqual(len(digests), 1)
        other_log, _ = play(make_scenario('kind = "kill"; at_s = 1; part = 0.6'), 6)
        self.assertNotIn(hashlib.sha256("".join(other_log.lines()).encode()).hexdigest(), digests.pop())

    def test_figures_add_up(self) -> None:
        scenario = make_scenario()
        event_log, _ = play(scenario)
        figures = run_figures(event_log, scenario)
        whole = figures["whole"]
        for part in ("by product", "by plan", "by zone", "by time"):
            self.assertEqual(sum(row["orders"] for row in figures[part].values()), whole["orders"])
        results = ("in time", "late", "declined", "voided", "unreached", "lost", "left")
        self.assertEqual(sum(whole[result] for result in results), whole["orders"])
        self.assertEqual(sum(figures["by worker"].values()), figures["submissions"])
        calls_per_attempt = figures["counter calls"] / figures["tries"]
        self.assertEqual(figures["calls a try"], round(calls_per_attempt, 4))
