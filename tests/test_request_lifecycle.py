"""The core round the module: each txn ends once, each submission is told once, whatever the module does."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from drumgw.gateway.request_lifecycle import (
    AbortAttempt,
    Command,
    ReportFault,
    RequestLifecycle,
    SendResponse,
    StartAttempt,
)
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

Answers = Callable[[Event], list[Action]]


class Script:
    """A module that answers each event as its test says, and keeps what it was told."""

    def __init__(self, answers: Answers) -> None:
        self.answers, self.told = answers, list[Event]()

    def start(self, _now: float) -> list[Action]:
        return [SetTimer(100.0, 0)]

    def handle(self, now: float, event: Event) -> list[Action]:
        self.told.append(event)
        return self.answers(event)


def submits(event: Event) -> list[Action]:
    """Submits each txn to worker 5 until its expiry, and voids it when that submission ends unsettled."""
    if isinstance(event, RequestReceived):
        return [ForwardRequest(event.request_id, 5, 0.0)]
    if isinstance(event, AttemptEnded) and not event.is_final:
        return [FailRequest(event.request_id)]
    return []


class CoreCase(unittest.TestCase):
    def begin(self, answers: Answers = submits) -> None:
        self.script = Script(answers)
        self.lifecycle = RequestLifecycle(self.script, gateway_settings())
        self.lifecycle.start(0.0, EndpointsUpdated(True, ()))

    def arrive(self) -> list[Command]:
        return self.lifecycle.request_received(10.0, RequestReceived(0, 500.0, 0, 1, 0, 2.0, False, 2, 0))[1]

    def ended(self, end: Outcome, at: float = 60.0, submission: int = 0) -> list[Command]:
        return self.lifecycle.attempt_ended(
            at, 1, submission, end, 3.0, {}, b"ok" if end is Outcome.SUCCEEDED else None
        )

    def told(self) -> list[tuple[Outcome, float, bool, float]]:
        return [
            (e.outcome, e.duration_ms, e.is_final, e.billed_units)
            for e in self.script.told
            if isinstance(e, AttemptEnded)
        ]

    def test_the_first_settled_submission_ends_its_txn(self) -> None:
        self.begin()
        self.assertIn(StartAttempt(1, 0, 5, 510.0), self.arrive())
        self.assertEqual(self.ended(Outcome.SUCCEEDED), [SendResponse(1, 200, 0.0, b"ok")])
        self.assertEqual(self.told(), [(Outcome.SUCCEEDED, 50.0, True, 3.0)])
        self.assertEqual((self.ended(Outcome.SUCCEEDED), self.lifecycle.in_flight), ([], {}))

    def test_expiry_stops_what_is_out_and_keeps_the_answer(self) -> None:
        """Guards against a lost txn: the answer to the time-out was dropped where the core told twice."""
        self.begin()
        self.arrive()
        self.assertEqual(
            self.lifecycle.deadline_reached(510.0, 1, -1),
            [AbortAttempt(1, 0), SendResponse(1, 500, 0.0, None)],
        )
        self.assertEqual(self.told(), [(Outcome.TIMED_OUT, 500.0, False, 0.0)])
        self.assertEqual((self.lifecycle.deadline_reached(511.0, 1, -1), self.lifecycle.in_flight), ([], {}))

    def test_a_txn_the_module_forgot_ends_at_its_expiry(self) -> None:
        self.begin(lambda event: [])
        self.arrive()
        self.assertEqual(self.lifecycle.deadline_reached(510.0, 1, -1), [SendResponse(1, 503, 0.0, None)])
        self.assertIsInstance(self.script.told[-1], ClientDisconnected)

    def test_a_cancelled_submission_is_told_once_and_the_next_may_go(self) -> None:
        def answers(event: Event) -> list[Action]:
            if isinstance(event, TimerFired):
                return [CancelAttempt(1, 0)]
            return [ForwardRequest(1, 6, 0.0)] if isinstance(event, AttemptEnded) else submits(event)

        self.begin(answers)
        self.arrive()
        self.assertEqual(
            self.lifecycle.timer_fired(100.0, 0), [AbortAttempt(1, 0), StartAttempt(1, 1, 6, 510.0)]
        )
        self.assertEqual(self.ended(Outcome.SUCCEEDED, submission=0), [])
        self.assertEqual(self.told(), [(Outcome.CANCELLED, 90.0, False, 0.0)])

    def test_no_more_submissions_than_allowed_nor_past_the_expiry(self) -> None:
        def answers(event: Event) -> list[Action]:
            if (
                isinstance(event, RequestReceived)
                or isinstance(event, AttemptEnded)
                and event.outcome is Outcome.UNREACHABLE
            ):
                return [ForwardRequest(event.request_id, 5, 0.0)]
            return [RejectRequest(event.request_id, 9.0)] if isinstance(event, AttemptEnded) else []

        self.begin(answers)
        self.arrive()
        for n in range(2):
            self.assertEqual(
                self.ended(Outcome.UNREACHABLE, submission=n), [StartAttempt(1, n + 1, 5, 510.0)]
            )
        self.assertEqual(self.ended(Outcome.UNREACHABLE, submission=2), [SendResponse(1, 503, 9.0, None)])
        self.assertEqual(self.told()[-1], (Outcome.NOT_SENT, 0.0, False, 0.0))

    def test_a_client_that_left_is_owed_nothing(self) -> None:
        def answers(event: Event) -> list[Action]:
            return [CancelAttempt(1, 0)] if isinstance(event, ClientDisconnected) else submits(event)

        self.begin(answers)
        self.arrive()
        self.assertEqual(self.lifecycle.client_disconnected(60.0, 1), [AbortAttempt(1, 0)])
        self.assertEqual(
            (self.told(), self.lifecycle.in_flight), ([(Outcome.CANCELLED, 50.0, True, 0.0)], {})
        )

    def test_a_fault_of_the_module_answers_its_txn_and_keeps_the_tick(self) -> None:
        """503 promises that trying again is harmless: not once a submission may have run."""

        def fails(event: Event) -> list[Action]:
            if isinstance(event, kind):
                raise ZeroDivisionError
            return submits(event)

        kind: type
        for kind, status, last in (
            (RequestReceived, 503, None),
            (AttemptEnded, 500, Outcome.FAILED),
            (AttemptEnded, 503, Outcome.REJECTED),
        ):
            with self.subTest(kind=kind, status=status):
                self.begin(fails)
                commands = self.arrive()
                if last:
                    commands = self.ended(last)
                self.assertIn(SendResponse(1, status, 0.0, None), commands)
                self.assertEqual(self.lifecycle.in_flight, {})
        kind = TimerFired
        self.begin(fails)
        commands = self.lifecycle.timer_fired(100.0, 0)
        self.assertIsInstance(commands[0], ReportFault)
        self.assertEqual(commands[1:], [SetTimer(100.0, 0)])

    def test_the_time_our_own_loop_stood_is_no_submissions(self) -> None:
        self.begin()
        self.arrive()
        self.lifecycle.stalled_ms = 30.0
        self.ended(Outcome.SUCCEEDED)
        self.assertEqual(self.told(), [(Outcome.SUCCEEDED, 20.0, True, 3.0)])
        commands = self.lifecycle.request_received(
            600.0, RequestReceived(0, 500.0, 0, 1, 0, 2.0, False, 2, 0), 450.0
        )[1]
        self.assertIn(
            StartAttempt(2, 0, 5, 650.0), commands
        )  # it may have waited unread through all of the stall

    def test_an_adapter_that_failed_has_its_txn_answered(self) -> None:
        self.begin()
        self.arrive()
        self.assertEqual(
            self.lifecycle.abandon_request(20.0, 1), [SendResponse(1, 500, 0.0, None), AbortAttempt(1, 0)]
        )
        self.assertEqual(self.told(), [(Outcome.CANCELLED, 10.0, True, 0.0)])
