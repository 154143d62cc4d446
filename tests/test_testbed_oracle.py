"""Tests of the oracle: it finds exactly the rule that a faulty gateway breaks, and none in a correct one."""

from __future__ import annotations

import unittest
from typing import Any

from drumgw.testbed.event_log import EventLog, RunHeader
from drumgw.testbed.logged_events import (
    AttemptSent,
    ClientLeft,
    ClockKind,
    ConnectFailed,
    ConnectionClosed,
    EndpointAnnounced,
    EndpointChanged,
    EndpointFinished,
    EndpointOutcome,
    EndpointReceived,
    EndpointState,
    GatewayChanged,
    GatewayState,
    Lifecycle,
    LoggedEvent,
    ResponseReceived,
)
from drumgw.testbed.oracle import find_violations
from drumgw.testbed.scenario import Scenario
from tests import scenarios
from tests.scenarios import make_scenario, run_scenario_virtually


class BrokenGatewayTest(unittest.TestCase):
    """Runs the same scenario with correct gateways and with gateways that have a deliberate fault."""

    def broken_rules(self, scenario: Scenario, **broken: Any) -> set[str]:
        """Returns the rules that faulty gateways break; checks that correct ones break none."""
        self.assertEqual(run_scenario_virtually(scenario)[1], [])
        _, violations = run_scenario_virtually(scenario, **broken)
        for violation in violations:
            self.assertTrue(violation.gateways)
            self.assertTrue(violation.time_ms)
            self.assertTrue(str(violation))
        return {violation.rule for violation in violations}

    def test_retries_requests_that_may_have_run(self) -> None:
        """The gateway forwards again after a connection reset, although the request may have run.

        Half of the attempts have their connection reset after the request was written.
        """
        scenario = make_scenario('kind = "resets"; at_s = 0.5; part = 1; size = 0.5; for_s = 2')
        self.assertEqual(self.broken_rules(scenario, engine=scenarios.RetryingEngine), {"doubled"})

    def test_rejects_requests_that_may_have_run(self) -> None:
        """The gateway rejects requests that failed at endpoints, so clients retry some that may have run."""
        scenario = make_scenario('kind = "failing"; at_s = 0.5; part = 0.7; for_s = 2')
        self.assertEqual(self.broken_rules(scenario, engine=scenarios.RejectingEngine), {"doubled"})

    def test_sends_to_draining_endpoints(self) -> None:
        """The gateway treats draining endpoints as ready."""
        scenario = make_scenario('kind = "drain"; at_s = 1; part = 0.4')
        self.assertEqual(self.broken_rules(scenario, gateway=scenarios.IgnoresDraining), {"drains"})

    def test_starts_without_waiting_for_its_discovery_agent(self) -> None:
        """Gateways that are started while endpoints drain use the endpoint list from the start of the run.

        The discovery agent's list binds a process from its start, whether the process has read it or not.
        """
        scenario = make_scenario(
            'kind = "drain"; at_s = 1; part = 0.4', 'kind = "kill"; at_s = 1.4; part = 1', seconds=5
        )
        self.assertEqual(self.broken_rules(scenario, gateway=scenarios.DoesNotWaitForDiscovery), {"drains"})

    def test_loses_responses(self) -> None:
        """The gateway never answers one request in twenty."""
        self.assertEqual(self.broken_rules(make_scenario(), gateway=scenarios.LosesResponses), {"lost"})

    def test_mixes_responses(self) -> None:
        """The gateway sends clients the responses to other attempts."""
        self.assertEqual(self.broken_rules(make_scenario(), gateway=scenarios.MixesResponses), {"lost"})

    def test_overloads_a_warming_endpoint(self) -> None:
        """The gateway sends all requests to an endpoint that has just been replaced and is cold."""
        scenario = make_scenario(
            'kind = "replace"; at_s = 1; worker = 0', cores=1, cold_from=0.05, fall_multiple=1.5
        )
        self.assertEqual(self.broken_rules(scenario, engine=scenarios.NewestFirstEngine), {"pushed"})

    def test_exceeds_ceilings(self) -> None:
        """The gateway admits everything while customers send four times their quota."""
        scenario = make_scenario(use=4.0)
        self.assertEqual(self.broken_rules(scenario, engine=scenarios.NoQuotasEngine), {"ceilings"})


def sent(class_name: str = "sold-copy") -> AttemptSent:
    """Returns the event of a client's attempt that is sent at 100 ms with a timeout of 500 ms."""
    return AttemptSent(
        100.0,
        attempt_id="x",
        request=0,
        gateway=1,
        request_class=class_name,
        plan="basic",
        customer=5,
        units=2,
        time_left_ms=500.0,
    )


def received(time_ms: float, delivery_number: int, endpoint: str = "w0") -> EndpointReceived:
    """Returns the event of an endpoint that receives this attempt."""
    return EndpointReceived(
        time_ms, "x", delivery_number, endpoint, gateway=1, first_byte_ms=time_ms, work_ms=5.0
    )


def started(endpoint: str, zone: str) -> EndpointChanged:
    """Returns the event of a warm start of an endpoint."""
    return EndpointChanged(
        1.0, endpoint, EndpointState.STARTED, zone=zone, cell=0, is_cold=False, cores=1, speed=1.0
    )


def finished(
    time_ms: float, delivery_number: int, outcome: EndpointOutcome, has_run: bool = True
) -> EndpointFinished:
    """Returns the event of the end of this attempt at an endpoint."""
    return EndpointFinished(time_ms, "x", delivery_number, outcome, has_run)


class HandWrittenLogTest(unittest.TestCase):
    """Checks the oracle on event logs of a few events."""

    def violations(self, *events: LoggedEvent) -> list[str]:
        """Returns rule and description of each violation in a log of these events."""
        event_log = EventLog(RunHeader(clock=ClockKind.VIRTUAL))
        for event in events:
            event_log.add(event)
        found = find_violations(event_log, make_scenario())
        return [f"{violation.rule}: {violation.description}" for violation in found]

    def test_an_unanswered_attempt_is_distinguished_from_one_whose_client_left(self) -> None:
        self.assertEqual(self.violations(sent()), ["lost: still open when the run ended"])
        self.assertEqual(self.violations(sent(), ClientLeft(300.0, "x")), [])
        self.assertEqual(self.violations(sent(), ConnectFailed(300.0, "x")), [])

    def test_a_closed_connection_is_allowed_only_after_a_kill(self) -> None:
        """A client's connection closes without a response.

        It is no violation if the testbed killed the gateway during the attempt or just before it, as a
        connection can stay open briefly after its process was killed. It is one if the gateway was started
        again before the attempt.
        """
        closed = ConnectionClosed(300.0, "x")
        self.assertEqual(self.violations(sent(), closed), ["lost: connection closed without a response"])
        self.assertEqual(self.violations(sent(), GatewayChanged(200.0, 1, GatewayState.KILLED), closed), [])
        self.assertEqual(self.violations(GatewayChanged(95.0, 1, GatewayState.KILLED), sent(), closed), [])
        killed_before = GatewayChanged(50.0, 1, GatewayState.KILLED)
        started_again = GatewayChanged(80.0, 1, GatewayState.STARTED)
        self.assertEqual(len(self.violations(killed_before, started_again, sent(), closed)), 1)

    def test_late_and_second_responses_are_violations(self) -> None:
        late = ResponseReceived(700.0, "x", 503, body_attempt_id="")
        self.assertEqual(self.violations(sent(), late), ["lost: answered 92 ms too late"])
        first = ResponseReceived(400.0, "x", 503, body_attempt_id="")
        second = ResponseReceived(401.0, "x", 503, body_attempt_id="")
        self.assertEqual(self.violations(sent(), first, second), ["lost: answered twice"])

    def test_a_request_with_a_key_stays_in_its_zone_and_is_not_hedged(self) -> None:
        """A request with an idempotency key fails at an endpoint and is forwarded again.

        The endpoints of a zone share a deduplication store. Within the zone, a repeat is allowed once the
        first attempt has ended; in another zone, only if the first attempt did not run.
        """
        endpoints = [started("w0", "a"), started("w1", "b"), started("w2", "a")]
        first = [*endpoints, sent("booking"), received(110.0, 1)]
        failed = finished(150.0, 1, EndpointOutcome.FAILED)
        rejected = finished(150.0, 1, EndpointOutcome.REJECTED, has_run=False)
        served = [
            finished(190.0, 2, EndpointOutcome.SUCCEEDED),
            ResponseReceived(200.0, "x", 200, body_attempt_id="x"),
        ]
        same_zone = received(160.0, 2, "w2")
        other_zone = received(160.0, 2, "w1")
        self.assertEqual(self.violations(*first, failed, same_zone, *served), [])
        self.assertEqual(
            self.violations(*first, failed, other_zone, *served),
            ["doubled: request with an idempotency key sent again outside its zone"],
        )
        self.assertEqual(self.violations(*first, rejected, other_zone, *served), [])
        self.assertEqual(
            self.violations(*first, received(130.0, 2, "w2"), failed, *served),
            ["doubled: hedged request, although hedging is not allowed"],
        )

    def test_a_new_process_is_not_bound_by_announcements_to_the_previous_one(self) -> None:
        """An attempt reaches a draining endpoint long after the grace period.

        It is a violation, unless the gateway's process was started after the announcement.
        """
        announcement = EndpointAnnounced(20.0, 1, "w0", Lifecycle.DRAINING, started_at_ms=0.0)
        served = [
            sent(),
            received(400.0, 1),
            finished(410.0, 1, EndpointOutcome.SUCCEEDED),
            ResponseReceived(420.0, "x", 200, body_attempt_id="x"),
        ]
        self.assertEqual(
            self.violations(announcement, *served),
            ["drains: sent to w0, announced as draining 380 ms before"],
        )
        restarted = GatewayChanged(60.0, 1, GatewayState.STARTED)
        self.assertEqual(self.violations(announcement, restarted, *served), [])

    def test_an_attempt_that_no_client_sent_is_a_duplicate_execution(self) -> None:
        self.assertEqual(
            self.violations(received(5.0, 1)), ["doubled: forwarded although no client had sent it"]
        )
