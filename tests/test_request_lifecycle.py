"""Tests that the request lifecycle answers each request once and reports the end of each attempt once."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from drumgw.gateway.commands import AbortAttempt, Command, LogEngineError, SendResponse, StartAttempt
from drumgw.gateway.request_lifecycle import RequestLifecycle
from drumgw.model.actions import Action, CancelAttempt, FailRequest, ForwardRequest, RejectRequest, SetTimer
from drumgw.model.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from tests.harness import gateway_settings

Reaction = Callable[[Event], list[Action]]
REQUEST = RequestReceived(
    request_id=0,
    time_left_ms=500.0,
    plan=0,
    customer=1,
    request_class=0,
    units=2.0,
    is_client_retry=False,
    gateway_count=2,
    first_gateway=0,
)


class ScriptedEngine:
    """A policy engine that records events and answers each with the actions its test defines."""

    def __init__(self, reaction: Reaction) -> None:
        self.reaction = reaction
        self.events: list[Event] = []

    def start(self, _now: float) -> list[Action]:
        """Sets a timer, as the real engine does for its periodic work."""
        return [SetTimer(100.0, 0)]

    def handle(self, _now: float, event: Event) -> list[Action]:
        """Records the event and returns the test's actions for it."""
        self.events.append(event)
        return self.reaction(event)


def forward_once(event: Event) -> list[Action]:
    """Forwards each request to endpoint 5, and fails the request if that attempt does not succeed."""
    if isinstance(event, RequestReceived):
        return [ForwardRequest(event.request_id, 5, 0.0)]
    if isinstance(event, AttemptEnded) and not event.is_final:
        return [FailRequest(event.request_id)]
    return []


class RequestLifecycleCase(unittest.TestCase):
    """A lifecycle with a scripted engine; requests arrive at 10 ms with 500 ms left."""

    def start_lifecycle(self, reaction: Reaction = forward_once) -> None:
        """Starts a lifecycle whose engine handles events by `reaction`."""
        self.engine = ScriptedEngine(reaction)
        self.lifecycle = RequestLifecycle(self.engine, gateway_settings())
        self.lifecycle.start(0.0, EndpointsUpdated(True, ()))

    def receive_request(self) -> list[Command]:
        """Passes a request to the lifecycle at 10 ms, and returns the commands."""
        return self.lifecycle.request_received(10.0, REQUEST)[1]

    def end_attempt(self, outcome: Outcome, at_ms: float = 60.0, attempt: int = 0) -> list[Command]:
        """Ends an attempt of the first request, and returns the commands."""
        response = b"ok" if outcome is Outcome.SUCCEEDED else None
        return self.lifecycle.attempt_ended(at_ms, 1, attempt, outcome, 3.0, {}, response)

    def reported_attempt_ends(self) -> list[tuple[Outcome, float, bool, float]]:
        """Returns outcome, duration, is_final and billed units of each `AttemptEnded` sent to the engine."""
        return [
            (event.outcome, event.duration_ms, event.is_final, event.billed_units)
            for event in self.engine.events
            if isinstance(event, AttemptEnded)
        ]

    def test_the_first_successful_attempt_ends_its_request(self) -> None:
        self.start_lifecycle()
        self.assertIn(StartAttempt(1, 0, 5, 510.0), self.receive_request())
        self.assertEqual(self.end_attempt(Outcome.SUCCEEDED), [SendResponse(1, 200, 0.0, b"ok")])
        self.assertEqual(self.reported_attempt_ends(), [(Outcome.SUCCEEDED, 50.0, True, 3.0)])
        self.assertEqual(self.end_attempt(Outcome.SUCCEEDED), [])
        self.assertEqual(self.lifecycle.in_flight, {})

    def test_the_deadline_aborts_attempts_and_keeps_the_engines_response(self) -> None:
        """At the deadline the attempt is aborted, and the engine answers in response to its end.

        Regression: the lifecycle called the engine twice at the deadline and dropped the commands of the
        first call, so the client never received a response.
        """
        self.start_lifecycle()
        self.receive_request()
        self.assertEqual(
            self.lifecycle.deadline_reached(510.0, 1, None),
            [AbortAttempt(1, 0), SendResponse(1, 500, 0.0, None)],
        )
        self.assertEqual(self.reported_attempt_ends(), [(Outcome.TIMED_OUT, 500.0, False, 0.0)])
        self.assertEqual(self.lifecycle.deadline_reached(511.0, 1, None), [])
        self.assertEqual(self.lifecycle.in_flight, {})

    def test_a_request_that_the_engine_ignores_is_answered_at_its_deadline(self) -> None:
        """If the engine neither forwards nor answers a request, its client must not wait forever."""
        self.start_lifecycle(lambda event: [])
        self.receive_request()
        self.assertEqual(
            self.lifecycle.deadline_reached(510.0, 1, None),
            [SendResponse(1, 503, 0.0, None, may_have_run=False)],
        )
        self.assertIsInstance(self.engine.events[-1], ClientDisconnected)

    def test_a_cancelled_attempts_end_is_reported_once_and_the_next_may_start(self) -> None:
        """The engine cancels an attempt and starts another; a late response to the first one is ignored."""

        def reaction(event: Event) -> list[Action]:
            if isinstance(event, TimerFired):
                return [CancelAttempt(1, 0)]
            if isinstance(event, AttemptEnded):
                return [ForwardRequest(1, 6, 0.0)]
            return forward_once(event)

        self.start_lifecycle(reaction)
        self.receive_request()
        self.assertEqual(
            self.lifecycle.timer_fired(100.0, 0), [AbortAttempt(1, 0), StartAttempt(1, 1, 6, 510.0)]
        )
        self.assertEqual(self.end_attempt(Outcome.SUCCEEDED, attempt=0), [])
        self.assertEqual(self.reported_attempt_ends(), [(Outcome.CANCELLED, 90.0, False, 0.0)])

    def test_the_number_of_attempts_is_limited(self) -> None:
        """The engine keeps forwarding; the settings allow three attempts, so the fourth is not sent."""

        def reaction(event: Event) -> list[Action]:
            if isinstance(event, RequestReceived):
                return [ForwardRequest(event.request_id, 5, 0.0)]
            if not isinstance(event, AttemptEnded):
                return []
            if event.outcome is Outcome.UNREACHABLE:
                return [ForwardRequest(event.request_id, 5, 0.0)]
            return [RejectRequest(event.request_id, 9.0)]

        self.start_lifecycle(reaction)
        self.receive_request()
        for attempt in range(2):
            self.assertEqual(
                self.end_attempt(Outcome.UNREACHABLE, attempt=attempt),
                [StartAttempt(1, attempt + 1, 5, 510.0)],
            )
        self.assertEqual(
            self.end_attempt(Outcome.UNREACHABLE, attempt=2),
            [SendResponse(1, 503, 9.0, None, may_have_run=False)],
        )
        self.assertEqual(self.reported_attempt_ends()[-1], (Outcome.NOT_SENT, 0.0, False, 0.0))

    def test_a_client_that_disconnected_is_not_answered(self) -> None:
        """The client disconnects while an attempt is in flight, and the engine cancels the attempt."""

        def reaction(event: Event) -> list[Action]:
            return [CancelAttempt(1, 0)] if isinstance(event, ClientDisconnected) else forward_once(event)

        self.start_lifecycle(reaction)
        self.receive_request()
        self.assertEqual(self.lifecycle.client_disconnected(60.0, 1), [AbortAttempt(1, 0)])
        self.assertEqual(self.reported_attempt_ends(), [(Outcome.CANCELLED, 50.0, True, 0.0)])
        self.assertEqual(self.lifecycle.in_flight, {})

    def test_an_engine_exception_answers_the_request_and_keeps_the_timer(self) -> None:
        """An exception in the engine leaves neither a request unanswered nor the periodic timer unset.

        The affected request is answered with 503, which declares a retry safe, only if no attempt may have
        run. The timer is set again because the engine's periodic work depends on it.
        """

        def raise_on(kind: type) -> Reaction:
            def reaction(event: Event) -> list[Action]:
                if isinstance(event, kind):
                    raise ZeroDivisionError
                return forward_once(event)

            return reaction

        for kind, status, outcome in (
            (RequestReceived, 503, None),
            (AttemptEnded, 500, Outcome.FAILED),
            (AttemptEnded, 503, Outcome.REJECTED),
        ):
            with self.subTest(kind=kind, status=status):
                self.start_lifecycle(raise_on(kind))
                commands = self.receive_request()
                if outcome is not None:
                    commands = self.end_attempt(outcome)
                response = SendResponse(1, status, 0.0, None, may_have_run=outcome is Outcome.FAILED)
                self.assertIn(response, commands)
                self.assertEqual(self.lifecycle.in_flight, {})
        self.start_lifecycle(raise_on(TimerFired))
        commands = self.lifecycle.timer_fired(100.0, 0)
        self.assertIsInstance(commands[0], LogEngineError)
        self.assertEqual(commands[1:], [SetTimer(100.0, 0)])

    def test_a_stall_is_excluded_from_attempts_and_deducted_from_unread_requests(self) -> None:
        """The process stalls while an attempt is in flight, and reads another request afterwards.

        The stall is not part of the attempt's duration. The second request may have been in the socket
        buffer during the whole stall, so that time is deducted from its remaining time.
        """
        self.start_lifecycle()
        self.receive_request()
        self.lifecycle.stalled_ms = 30.0
        self.end_attempt(Outcome.SUCCEEDED)
        self.assertEqual(self.reported_attempt_ends(), [(Outcome.SUCCEEDED, 20.0, True, 3.0)])
        commands = self.lifecycle.request_received(600.0, REQUEST, waited_ms=450.0)[1]
        self.assertIn(StartAttempt(2, 0, 5, 650.0), commands)

    def test_a_request_whose_command_failed_is_answered(self) -> None:
        """A bug in the transport makes starting an attempt fail; the attempt may have run nevertheless."""
        self.start_lifecycle()
        self.receive_request()
        self.assertEqual(
            self.lifecycle.abandon_request(20.0, 1), [SendResponse(1, 500, 0.0, None), AbortAttempt(1, 0)]
        )
        self.assertEqual(self.reported_attempt_ends(), [(Outcome.CANCELLED, 10.0, True, 0.0)])
