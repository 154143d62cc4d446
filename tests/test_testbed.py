"""The testbed as a whole: all kinds of faults, the load, reproducible runs, and the figures."""

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
from tests.scenarios import make_scenario, run_scenario_virtually

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
"""Keys of a fault of each kind in a short scenario, besides `kind` and `at_s`."""
KINDS_WITHOUT_VISIBLE_EFFECT = (
    FaultKind.DISCOVERY_DELAYED,
    FaultKind.DISCOVERY_SILENT,
    FaultKind.DISCOVERY_MOVED,
)
"""Kinds that have a visible effect only if the endpoint list changes during the fault, or on sockets."""


def fault_keys(kind: FaultKind) -> str:
    """Returns the keys of a fault of this kind that starts one second into the run."""
    return "; ".join(filter(None, (f'kind = "{kind}"', "at_s = 1", FAULT_KEYS[kind])))


def visible_effects(event_log: EventLog) -> list[LoggedEvent]:
    """Returns the events of clients, endpoints and discovery that a fault can change, without their times."""
    kinds = AttemptSent | ResponseReceived | EndpointFinished | EndpointAnnounced
    return [dataclasses.replace(event, time_ms=0.0) for event in event_log.events if isinstance(event, kinds)]


class FaultTest(unittest.TestCase):
    """Runs on the virtual clock with injected faults."""

    def test_every_kind_of_fault_takes_effect_and_no_rule_is_broken(self) -> None:
        """Each kind of fault is injected into a short scenario, one kind per run.

        Guards against faults that have no effect and against gateways that break a rule under a fault. Each
        fault starts and ends once, and the run differs from one without it. Counter faults have an
        effect only if customers reach their quotas, so the load is higher for them.
        """
        self.assertEqual(set(FAULT_KEYS), set(FAULTS) & set(REQUIRED_KEYS))
        without_fault = {
            (seconds, use): visible_effects(
                run_scenario_virtually(make_scenario(seconds=seconds, use=use))[0]
            )
            for seconds, use in ((3, 0.4), (4, 2.0))
        }
        for kind in FAULTS:
            seconds, use = (4, 2.0) if kind in COUNTER_FAULTS else (3, 0.4)
            with self.subTest(kind):
                event_log, violations = run_scenario_virtually(
                    make_scenario(fault_keys(kind), seconds=seconds, use=use)
                )
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
                if kind not in KINDS_WITHOUT_VISIBLE_EFFECT:
                    has_effect = visible_effects(event_log) != without_fault[seconds, use]
                    self.assertTrue(has_effect, "the fault has no visible effect")

    def test_faults_at_the_same_time(self) -> None:
        """Nine faults start at the same time.

        Guards against faults that interfere with each other: among them, a zone goes down while its endpoints
        are being replaced. No rule is broken, and more than a fifth of the load's value is still earned.
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
            event_log, violations = run_scenario_virtually(scenario, seed)
            self.assertEqual(violations, [])
            self.assertGreater(run_figures(event_log, scenario)["whole"]["served"], 0.2)

    def test_a_fault_skips_targets_that_are_down_already(self) -> None:
        """A crash fault hits an endpoint that is down, and a kill fault gateways that were just killed.

        Guards against a second crash or kill of the same process: each goes down only once.
        """
        scenario = make_scenario(
            'kind = "crash"; at_s = 1; worker = 3; for_s = 1.5',
            'kind = "crash"; at_s = 2; worker = 3; for_s = 0.2',
            'kind = "kill"; at_s = 2; part = 1',
            'kind = "kill"; at_s = 2.1; part = 1',
        )
        event_log, violations = run_scenario_virtually(scenario)
        self.assertEqual(violations, [])
        endpoint_states = [event.state for event in event_log.events if isinstance(event, EndpointChanged)]
        gateway_states = [event.state for event in event_log.events if isinstance(event, GatewayChanged)]
        self.assertEqual(endpoint_states.count(EndpointState.DOWN), 1)
        self.assertEqual(gateway_states.count(GatewayState.KILLED), 3)

    def test_gateways_started_while_discovery_is_silent_wait_for_it(self) -> None:
        """Discovery is silent for two seconds, in which endpoints are replaced and gateways killed.

        Guards against gateways that start without an endpoint list and forward to endpoints that were
        removed. The fleet keeps serving afterwards.
        """
        scenario = make_scenario(
            'kind = "list lost"; at_s = 1; for_s = 2',
            'kind = "replace"; at_s = 1.2; part = 0.5',
            'kind = "kill"; at_s = 1.3; part = 0.7',
            seconds=6,
        )
        for seed in (1, 2, 3):
            event_log, violations = run_scenario_virtually(scenario, seed)
            self.assertEqual(violations, [])
            self.assertGreater(run_figures(event_log, scenario)["whole"]["served"], 0.3)


class RecordingSender:
    """Records the attempts that clients send, and delivers none."""

    def __init__(self) -> None:
        self.sent: list[ClientAttempt] = []

    def send(self, attempt: ClientAttempt) -> None:
        """Records the attempt."""
        self.sent.append(attempt)

    def cancel(self, attempt: ClientAttempt) -> None:
        """Ignores the cancellation."""


class LoadTest(unittest.TestCase):
    """Arrivals of requests, and retries by clients."""

    def test_arrivals_do_not_depend_on_responses_and_follow_the_load(self) -> None:
        scenario = make_scenario('kind = "rush"; at_s = 1; size = 4; for_s = 1')
        times_ms = [arrival.at_ms for arrival in Workload(scenario, 3).arrivals()]
        self.assertEqual(times_ms, sorted(times_ms))
        per_second = [sum(n * 1000 <= at_ms < n * 1000 + 1000 for at_ms in times_ms) for n in range(3)]
        self.assertGreater(per_second[1], 2 * max(per_second[0], per_second[2]))
        slow_log, _ = run_scenario_virtually(
            make_scenario('kind = "slow"; at_s = 0; part = 1; size = 40; for_s = 3')
        )
        normal_log, _ = run_scenario_virtually(make_scenario())
        slow_requests, normal_requests = (
            [(event.request, event.intended_ms) for event in log.events if isinstance(event, RequestCreated)]
            for log in (slow_log, normal_log)
        )
        self.assertEqual(slow_requests, normal_requests)

    def test_clients_retry_only_where_that_is_safe(self) -> None:
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
                self.assertEqual(len(attempt_ids), attempts, "attempts of a request share an id")


class RunTest(unittest.TestCase):
    """Validity, reproducibility and figures of runs."""

    def test_a_run_is_invalid_if_the_testbed_sent_late_or_the_log_is_cut_off(self) -> None:
        """The testbed sends a tenth of the requests late, as on a machine that is too slow.

        Guards against counting delays by the testbed as failures of the gateways: the run is invalid. A run
        whose event log was cut off is invalid too.
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
            "event_log, _ = run_scenario_virtually(scenario, 5);"
            "print(hashlib.sha256(''.join(event_log.lines()).encode()).hexdigest())"
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
        other_log, _ = run_scenario_virtually(make_scenario('kind = "kill"; at_s = 1; part = 0.6'), 6)
        self.assertNotIn(hashlib.sha256("".join(other_log.lines()).encode()).hexdigest(), digests.pop())

    def test_figures_add_up(self) -> None:
        scenario = make_scenario()
        event_log, _ = run_scenario_virtually(scenario)
        figures = run_figures(event_log, scenario)
        whole = figures["whole"]
        for part in ("by product", "by plan", "by zone", "by time"):
            self.assertEqual(sum(row["orders"] for row in figures[part].values()), whole["orders"])
        results = ("in time", "late", "declined", "voided", "unreached", "lost", "left")
        self.assertEqual(sum(whole[result] for result in results), whole["orders"])
        self.assertEqual(sum(figures["by worker"].values()), figures["submissions"])
        calls_per_attempt = figures["counter calls"] / figures["tries"]
        self.assertEqual(figures["calls a try"], round(calls_per_attempt, 4))
