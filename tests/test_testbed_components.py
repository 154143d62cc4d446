"""Unit tests of the testbed's emulated endpoint, shared counter and discovery."""

from __future__ import annotations

import unittest
from typing import Any

from drumgw.testbed.client_requests import ClientAttempt, ClientRequest
from drumgw.testbed.clocks import VirtualClock
from drumgw.testbed.counter import CounterStatus, EmulatedCounter
from drumgw.testbed.discovery import MAX_CHANGES, EmulatedDiscovery
from drumgw.testbed.endpoint import EmulatedEndpoint, ReceivedAttempt
from drumgw.testbed.environment import Environment
from drumgw.testbed.event_log import EventLog, RunHeader
from drumgw.testbed.logged_events import (
    EndpointChanged,
    EndpointOutcome,
    EndpointState,
    Lifecycle,
    RequestExecuted,
)
from drumgw.testbed.scenario import CounterSection, DiscoverySection
from drumgw.testbed.workload import RandomStream
from tests.scenarios import make_scenario

START_MS = 1000.0
IDEMPOTENT_CLASS = 0
KEYED_CLASS = 2


class EnvironmentCase(unittest.TestCase):
    """Base class: an environment on the virtual clock."""

    def setUp(self) -> None:
        self.clock = VirtualClock(START_MS)
        self.event_log = EventLog(RunHeader())
        self.scenario = make_scenario()
        self.environment = Environment(self.scenario, 1, self.clock, self.event_log)


class EndpointTest(EnvironmentCase):
    """Tests of `EmulatedEndpoint`."""

    def setUp(self) -> None:
        super().setUp()
        self.outcomes: list[tuple[float, int, EndpointOutcome]] = []
        """Milliseconds since START_MS, delivery number and outcome of each finished attempt."""

    def endpoint(self, started_at_ms: float | None = None, **values: Any) -> EmulatedEndpoint:
        """The first endpoint, with speed 1 and the given values of its section overridden."""
        endpoint = self.environment.endpoints["w0"]
        endpoint.section = endpoint.section.model_copy(update=values)
        endpoint.speed = 1.0
        endpoint.started_at_ms = started_at_ms
        return endpoint

    def send(
        self,
        delivery_number: int,
        endpoint: EmulatedEndpoint,
        class_index: int = IDEMPOTENT_CLASS,
        work_ms: float = 100.0,
    ) -> ReceivedAttempt:
        """Sends the endpoint an attempt of the first request of a class in the workload."""
        request_class = self.scenario.product[class_index]
        arrivals = self.environment.workload.arrivals()
        arrival = next(arrival for arrival in arrivals if arrival.request_class is request_class)
        request = ClientRequest(arrival._replace(work_ms=work_ms), self.clock.now())
        client_attempt = ClientAttempt(f"t{delivery_number}", request, 0, 900.0, self.clock.now())
        attempt = ReceivedAttempt(
            delivery_number, client_attempt.attempt_id, client_attempt, 0, self.record_outcome
        )
        endpoint.receive(attempt)
        return attempt

    def record_outcome(self, attempt: ReceivedAttempt, outcome: EndpointOutcome) -> None:
        """Callback for finished attempts."""
        self.outcomes.append((round(self.clock.now() - START_MS), attempt.delivery_number, outcome))

    def test_cores_and_queue_are_limited(self) -> None:
        endpoint = self.endpoint(cores=2, queue=1)
        for delivery_number in range(4):
            self.send(delivery_number, endpoint)
        self.clock.run_until(1500.0)
        self.assertEqual(
            self.outcomes,
            [
                (0, 3, EndpointOutcome.REJECTED),
                (100, 0, EndpointOutcome.SUCCEEDED),
                (100, 1, EndpointOutcome.SUCCEEDED),
                (200, 2, EndpointOutcome.SUCCEEDED),
            ],
        )

    def test_cold_endpoint_warms_up_linearly_and_can_be_overloaded(self) -> None:
        """A cold endpoint starts at a fifth of its speed and speeds up linearly.

        It is then sent far more work than it can handle while warming up. It must go down, reset its
        attempts, and later restart cold.
        """
        endpoint = self.endpoint(started_at_ms=START_MS, cores=1)
        self.send(1, endpoint, work_ms=20.0)
        self.clock.run_until(1200.0)
        self.assertEqual(self.outcomes, [(100, 1, EndpointOutcome.SUCCEEDED)])
        self.assertAlmostEqual(endpoint.warm_up_fraction(), 0.2 + 0.8 * 200 / 3000)
        for delivery_number in range(2, 14):
            self.send(delivery_number, endpoint, work_ms=100.0)
        self.assertFalse(endpoint.is_up)
        self.assertEqual(self.outcomes[-1][2], EndpointOutcome.CONNECTION_RESET)
        changes = [event for event in self.event_log.events if isinstance(event, EndpointChanged)]
        last_states = [change.state for change in changes[-2:]]
        self.assertEqual(last_states, [EndpointState.OVERLOADED, EndpointState.DOWN])
        self.clock.run_until(9000.0)
        self.assertTrue(endpoint.is_up)
        assert endpoint.started_at_ms is not None
        self.assertGreater(endpoint.started_at_ms, 5000.0)

    def test_draining_endpoint_finishes_attempts_and_rejects_new_ones(self) -> None:
        endpoint = self.endpoint(cores=1)
        self.send(1, endpoint)
        endpoint.is_draining = True
        self.send(2, endpoint)
        self.clock.run_until(1500.0)
        self.assertEqual(
            self.outcomes, [(0, 2, EndpointOutcome.REJECTED), (100, 1, EndpointOutcome.SUCCEEDED)]
        )

    def test_request_with_key_runs_once_per_scope_and_window(self) -> None:
        """One request reaches two endpoints of one zone, one of another zone, and later the first again.

        Endpoints of a zone share idempotency keys, so the second endpoint of the zone must not execute it.
        After the idempotency window, the first endpoint must execute it again.
        """
        first = self.endpoint(cores=9)
        other_zone = self.environment.endpoints["w1"]
        same_zone = self.environment.endpoints["w2"]
        for delivery_number, endpoint in enumerate((first, same_zone, other_zone)):
            self.send(delivery_number, endpoint, class_index=KEYED_CLASS)
        self.clock.run_until(2500.0)
        self.send(9, first, class_index=KEYED_CLASS)
        executed = [event.endpoint for event in self.event_log.events if isinstance(event, RequestExecuted)]
        self.assertEqual(executed, ["w0", "w1", "w0"])

    def test_abandoned_attempt_gets_no_response_and_is_not_run_if_queued(self) -> None:
        """The gateway closes the connections of a running and of a queued attempt."""
        endpoint = self.endpoint(cores=1)
        running = self.send(1, endpoint)
        queued = self.send(2, endpoint)
        endpoint.abandon(running)
        endpoint.abandon(queued)
        self.clock.run_until(1500.0)
        self.assertEqual(self.outcomes, [])
        self.assertEqual(endpoint.running, {})
        self.assertEqual(len(endpoint.queue), 0)


class CounterTest(EnvironmentCase):
    """Tests of `EmulatedCounter`."""

    def setUp(self) -> None:
        super().setUp()
        self.replies: list[tuple[CounterStatus, float]] = []

    def counter(self, **values: Any) -> EmulatedCounter:
        """A counter with the given values in its section."""
        return EmulatedCounter(CounterSection(**values), self.clock)

    def call(self, counter: EmulatedCounter, amount: float, gateway: int = 0) -> tuple[CounterStatus, float]:
        """Adds to the total "a" and returns the reply."""
        counter.call(gateway, "a", amount, 9e9, lambda status, total: self.replies.append((status, total)))
        self.clock.run_until(self.clock.now() + 50.0)
        return self.replies[-1]

    def test_additions_expiry_rejection_and_silence(self) -> None:
        counter = self.counter()
        self.assertEqual(self.call(counter, 2.5), (CounterStatus.ADDED, 2.5))
        self.assertEqual(self.call(counter, -1.0), (CounterStatus.ADDED, 1.5))
        self.clock.run_until(self.clock.now() + 60000.0)
        self.assertEqual(
            self.call(counter, 1.0), (CounterStatus.ADDED, 1.0), "totals expire after at most one minute"
        )
        counter.rejects_calls = True
        self.assertEqual(self.call(counter, 1.0), (CounterStatus.REJECTED, 0.0))
        counter.rejects_calls = False
        counter.is_silent = True
        replies_before = len(self.replies)
        self.call(counter, 1.0)
        self.assertEqual(len(self.replies), replies_before)

    def test_split_counter_merges_additions_of_both_halves(self) -> None:
        """During a split, each half of the gateways adds to a separate replica.

        After the merge, the total must contain the value from before the split and the additions of both
        halves. The test then scales the totals, as for an older copy, and clears them.
        """
        counter = self.counter()
        self.call(counter, 5.0)
        counter.split()
        self.assertEqual(self.call(counter, 1.0, gateway=0)[1], 6.0)
        self.assertEqual(self.call(counter, 10.0, gateway=1)[1], 15.0)
        counter.heal()
        self.assertEqual(self.call(counter, 0.0, gateway=1)[1], 16.0)
        counter.scale_totals(0.25)
        self.assertEqual(self.call(counter, 0.0)[1], 4.0)
        counter.clear()
        self.assertEqual(self.call(counter, 0.0)[1], 0.0)

    def test_calls_are_served_in_order_and_queue_is_limited(self) -> None:
        counter = self.counter(calls_per_s=100.0, line=2)
        replies: list[tuple[float, CounterStatus]] = []
        for _ in range(5):
            counter.call(
                0, "a", 1.0, 1e4, lambda status, _: replies.append((round(self.clock.now()), status))
            )
        self.clock.run_until(1100.0)
        self.assertEqual(
            replies,
            [
                (1000, CounterStatus.REJECTED),
                (1000, CounterStatus.REJECTED),
                (1010, CounterStatus.ADDED),
                (1020, CounterStatus.ADDED),
                (1030, CounterStatus.ADDED),
            ],
        )


class DiscoveryTest(EnvironmentCase):
    """Tests of `EmulatedDiscovery`."""

    def test_changes_arrive_late_and_complete_after_a_large_gap(self) -> None:
        """A drained endpoint must reach the gateway's agent after the delay, as an incremental update.

        Then more changes follow than discovery keeps: a watch from the first generation must receive the
        complete list.
        """
        section = DiscoverySection(delay_ms=100.0, spread_ms=0.0)
        random_stream = self.environment.workload.random_stream(RandomStream.DISCOVERY)
        discovery = EmulatedDiscovery(section, 2, self.clock, self.event_log, random_stream)
        discovery.put("w0", "a", 0, None)
        known = discovery.publish_initial_list()["generation"]
        self.assertIsNone(discovery.updates_since(0, known))
        discovery.set_lifecycle("w0", Lifecycle.DRAINING)
        self.assertIsNone(discovery.updates_since(0, known))
        self.clock.run_until(1100.0)
        changes = discovery.updates_since(0, known)
        assert changes
        rows = [(row["instanceId"], row["lifecycle"]) for row in changes["instances"]]
        self.assertEqual(rows, [("w0", "draining")])
        for number in range(MAX_CHANGES + 1):
            discovery.put(f"x{number}", "a", 0, None)
        discovery.set_lifecycle("w0", Lifecycle.REMOVED)
        self.clock.run_until(1300.0)
        complete = discovery.updates_since(0, known)
        assert complete
        self.assertTrue(complete["reset"])
        self.assertEqual(len(complete["instances"]), MAX_CHANGES + 1)
