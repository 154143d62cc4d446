"""The request lifecycle: each request is answered once, each attempt's end reported once."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from drumgw.gateway.commands import AbortAttempt, Command, ReportFault, SendResponse, StartAttempt
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
    """A policy engine that reacts to each event as its test says, and records the events."""

    def __init__(self, reaction: Reaction) -> None:
        self.reaction = reaction
        self.events: list[Event] = []

    def start(self, _now: float) -> list[Action]:
        """Sets the timer that the engine's periodic work hangs on."""
        return [SetTimer(100.0, 0)]

    def handle(self, _now: float, event: Event) -> list[Action]:
        """Records the event and reacts to it."""
        self.events.append(event)
        return self.reaction(event)


def forward_once(event: Event) -> list[Action]:
    """Forwards each request to endpoint 5, and fails it when that attempt ends without success."""
    if isinstance(event, RequestReceived):
        return [ForwardRequest(event.request_id, 5, 0.0)]
    if isinstance(event, AttemptEnded) and not event.is_final:
        return [FailRequest(event.request_id)]
    return []


class RequestLifecycleCase(unittest.TestCase):
    """One lifecycle with its engine; requests arrive at 10 ms with 500 ms left."""

    def begin(self, reaction: Reaction = forward_once) -> None:
        """Starts a lifecycle whose engine reacts so."""
        self.engine = ScriptedEngine(reaction)
        self.lifecycle = RequestLifecycle(self.engine, gateway_settings())
        self.lifecycle.start(0.0, EndpointsUpdated(True, ()))

    def receive_request(self) -> list[Command]:
        """A request arrives."""
        return self.lifecycle.request_received(10.0, REQUEST)[1]

    def end_attempt(self, outcome: Outcome, at_ms: float = 60.0, attempt: int = 0) -> list[Command]:
        """An attempt of the first request ends."""
        response = b"ok" if outcome is Outcome.SUCCEEDED else None
        return self.lifecycle.attempt_ended(at_ms, 1, attempt, outcome, 3.0, {}, response)

    def attempt_ends(self) -> list[tuple[Outcome, float, bool, float]]:
        """Outcome, duration, whether final, and billed units of each end reported to the engine."""
        return [
            (event.outcome, event.duration_ms, event.is_final, event.billed_units)
            for event in self.engine.events
            if isinstance(event, AttemptEnded)
        ]

    def test_the_first_successful_attempt_ends_its_request(self) -> None:
        self.begin()
        self.assertIn(StartAttempt(1, 0, 5, 510.0), self.receive_request())
        self.assertEqual(self.end_attempt(Outcome.SUCCEEDED), [SendResponse(1, 200, 0.0, b"ok")])
        self.assertEqual(self.attempt_ends(), [(Outcome.SUCCEEDED, 50.0, True, 3.0)])
        self.assertEqual(self.end_attempt(Outcome.SUCCEEDED), [])
        self.assertEqual(self.lifecycle.in_flight, {})

    def test_the_deadline_aborts_attempts_and_keeps_the_engines_answer(self) -> None:
        """At the deadline the attempt is aborted, and the engine answers as it learns of that.

        The lifecycle once called the engine twice there and dropped the commands of the first time. The
        client never got its answer.
        """
        self.begin()
        self.receive_request()
        self.assertEqual(
            self.lifecycle.deadline_reached(510.0, 1, None),
            [AbortAttempt(1, 0), SendResponse(1, 500, 0.0, None)],
        )
        self.assertEqual(self.attempt_ends(), [(Outcome.TIMED_OUT, 500.0, False, 0.0)])
        self.assertEqual(self.lifecycle.deadline_reached(511.0, 1, None), [])
        self.assertEqual(self.lifecycle.in_flight, {})

    def test_a_request_that_the_engine_forgot_is_answered_at_its_deadline(self) -> None:
        """The engine neither forwards nor answers a request. Its client must not wait for ever."""
        self.begin(lambda event: [])
        self.receive_request()
        self.assertEqual(self.lifecycle.deadline_reached(510.0, 1, None), [SendResponse(1, 503, 0.0, None)])
        self.assertIsInstance(self.engine.events[-1], ClientDisconnected)

    def test_a_cancelled_attempts_end_is_reported_once_and_the_next_may_start(self) -> None:
        """The engine cancels an attempt and starts another; then the cancelled one's response arrives."""

        def reaction(event: Event) -> list[Action]:
            if isinstance(event, TimerFired):
                return [CancelAttempt(1, 0)]
            if isinstance(event, AttemptEnded):
                return [ForwardRequest(1, 6, 0.0)]
            return forward_once(event)

        self.begin(reaction)
        self.receive_request()
        self.assertEqual(
            self.lifecycle.timer_fired(100.0, 0), [AbortAttempt(1, 0), StartAttempt(1, 1, 6, 510.0)]
        )
        self.assertEqual(self.end_attempt(Outcome.SUCCEEDED, attempt=0), [])
        self.assertEqual(self.attempt_ends(), [(Outcome.CANCELLED, 90.0, False, 0.0)])

    def test_no_more_attempts_than_allowed(self) -> None:
        """The engine forwards again and again; the third attempt is the last that the settings allow."""

        def reaction(event: Event) -> list[Action]:
            if isinstance(event, RequestReceived):
                return [ForwardRequest(event.request_id, 5, 0.0)]
            if not isinstance(event, AttemptEnded):
                return []
            if event.outcome is Outcome.UNREACHABLE:
                return [ForwardRequest(event.request_id, 5, 0.0)]
            return [RejectRequest(event.request_id, 9.0)]

        self.begin(reaction)
        self.receive_request()
        for attempt in range(2):
            self.assertEqual(
                self.end_attempt(Outcome.UNREACHABLE, attempt=attempt),
                [StartAttempt(1, attempt + 1, 5, 510.0)],
            )
        self.assertEqual(self.end_attempt(Outcome.UNREACHABLE, attempt=2), [SendResponse(1, 503, 9.0, None)])
        self.assertEqual(self.attempt_ends()[-1], (Outcome.NOT_SENT, 0.0, False, 0.0))

    def test_a_client_that_disconnected_is_not_answered(self) -> None:
        """The client goes while its attempt is in flight; the engine cancels the attempt."""

        def reaction(event: Event) -> list[Action]:
            return [CancelAttempt(1, 0)] if isinstance(event, ClientDisconnected) else forward_once(event)

        self.begin(reaction)
        self.receive_request()
        self.assertEqual(self.lifecycle.client_disconnected(60.0, 1), [AbortAttempt(1, 0)])
        self.assertEqual(self.attempt_ends(), [(Outcome.CANCELLED, 50.0, True, 0.0)])
        self.assertEqual(self.lifecycle.in_flight, {})

    def test_a_fault_of_the_engine_answers_the_request_and_keeps_the_timer(self) -> None:
        """The engine raises an exception.

        The request concerned is answered: by 503, which promises that trying again is harmless, only
        where no attempt may have run. The engine's timer is set again, as its periodic work hangs on it.
        """

        def failing_at(kind: type) -> Reaction:
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
                self.begin(failing_at(kind))
                commands = self.receive_request()
                if outcome is not None:
                    commands = self.end_attempt(outcome)
                self.assertIn(SendResponse(1, status, 0.0, None), commands)
                self.assertEqual(self.lifecycle.in_flight, {})
        self.begin(failing_at(TimerFired))
        commands = self.lifecycle.timer_fired(100.0, 0)
        self.assertIsInstance(commands[0], ReportFault)
        self.assertEqual(commands[1:], [SetTimer(100.0, 0)])

    def test_a_stall_counts_for_no_attempt_and_shortens_what_waited_unread(self) -> None:
        """This process does not run for a while, with an attempt in flight; then a request is read.

        The endpoint is not charged with the stall. The request may have lain unread through all of it, so
        its client has waited for as long.
        """
        self.begin()
        self.receive_request()
        self.lifecycle.stalled_ms = 30.0
        self.end_attempt(Outcome.SUCCEEDED)
        self.assertEqual(self.attempt_ends(), [(Outcome.SUCCEEDED, 20.0, True, 3.0)])
        commands = self.lifecycle.request_received(600.0, REQUEST, waited_ms=450.0)[1]
        self.assertIn(StartAttempt(2, 0, 5, 650.0), commands)

    def test_a_request_whose_command_failed_is_answered(self) -> None:
        """An attempt could not be started for a defect of the transport. It may have run all the same."""
        self.begin()
        self.receive_request()
        self.assertEqual(
            self.lifecycle.abandon_request(20.0, 1), [SendResponse(1, 500, 0.0, None), AbortAttempt(1, 0)]
        )
        self.assertEqual(self.attempt_ends(), [(Outcome.CANCELLED, 10.0, True, 0.0)])
