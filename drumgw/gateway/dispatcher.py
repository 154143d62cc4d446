"""Calls the request lifecycle, and through it the policy engine, and executes the returned commands.

The dispatcher is the only caller of the lifecycle. The lifecycle is not re-entrant, but executing a command
may produce a result synchronously. Results are therefore posted to a mailbox. A post made while the mailbox
is not being processed processes it at once, so a request costs no extra event-loop iteration.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple, Protocol, TypeVarTuple, Unpack

from loguru import logger

from drumgw.gateway.clock import StallAwareClock, Timer
from drumgw.gateway.commands import (
    AbortAttempt,
    Command,
    LogEngineError,
    ScheduleDeadline,
    SendResponse,
    StartAttempt,
)
from drumgw.gateway.invariants import invariant
from drumgw.gateway.request_lifecycle import RequestLifecycle
from drumgw.gateway.request_parsing import ClientRequest
from drumgw.model.actions import AddToCounter, LogMessage, SetTimer

Arguments = TypeVarTuple("Arguments")


class AttemptTransport(Protocol):
    """Sends attempts to endpoints, and posts `attempt_ended` for each that was not aborted."""

    def start_attempt(self, command: StartAttempt, request: ClientRequest, /) -> None:
        """Starts an attempt. `attempt_ended` may be posted before this returns."""

    def abort_attempt(self, command: AbortAttempt, /) -> None:
        """Closes the attempt's connection immediately."""

    def withdraw_unsent(self, request_id: int, attempt: int, /) -> None:
        """Ends the attempt with `Outcome.NOT_SENT` unless its request has been written completely."""

    def is_written(self, request_id: int, attempt: int, /) -> bool:
        """Whether the attempt is in flight and its request has been written completely."""


class CounterTransport(Protocol):
    """Sends calls to the shared counter, and posts `counter_replied` for each."""

    def call(self, command: AddToCounter, /) -> None:
        """Starts a call; its result is posted when the call ends."""


class MailboxEntry(NamedTuple):
    """A pending call of the request lifecycle."""

    method: Callable[..., list[Command]]
    """A method of `RequestLifecycle`; takes the current time, then `arguments`."""
    arguments: tuple[Any, ...]


class UnansweredRequest(NamedTuple):
    """A request whose client is waiting for a response."""

    request: ClientRequest
    response: asyncio.Future[SendResponse]


class Dispatcher:
    """Calls the request lifecycle and executes its commands.

    Args:
        lifecycle: holds the requests in flight.
        clock: the current time and the process's stall times.
        max_mailbox_entries: capacity of the mailbox. Each attempt, counter call and timer ends once, so the
            posts are bounded by the work in flight; exceeding this limit indicates a bug.
        log_prefix: prepended to each log message.
    """

    def __init__(
        self,
        lifecycle: RequestLifecycle,
        clock: StallAwareClock,
        max_mailbox_entries: int,
        log_prefix: str = "",
    ) -> None:
        self.lifecycle = lifecycle
        self.clock = clock
        self.loop = clock.loop
        self.log_prefix = log_prefix
        self.attempts: AttemptTransport | None = None
        """Must be set before the first request."""
        self.counter: CounterTransport | None = None
        """None if the service uses no shared counter."""
        # By request_id; an entry is removed when its response is sent or its client disconnects.
        self.pending_requests: dict[int, UnansweredRequest] = {}
        # By request_id; an entry is removed when the lifecycle drops its request.
        self.request_deadlines: dict[int, Timer] = {}
        self._timers: dict[int, asyncio.TimerHandle] = {}  # by timer_id; few, so never removed
        self._max_mailbox_entries = max_mailbox_entries
        self._mailbox: deque[MailboxEntry] = deque()
        self._is_calling_lifecycle = False
        self._handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._start_attempt,
            AbortAttempt: self._abort_attempt,
            SendResponse: self._send_response,
            ScheduleDeadline: self._schedule_deadline,
            LogEngineError: self._log_engine_error,
            AddToCounter: self._add_to_counter,
            SetTimer: self._set_timer,
            LogMessage: self._log_message,
        }

    def close(self) -> None:
        """Cancels all timers, as the event loop may keep running for other services."""
        for timer in self._timers.values():
            timer.cancel()
        for deadline in self.request_deadlines.values():
            deadline.cancel()
        self._timers.clear()
        self.request_deadlines.clear()

    # Calls to the lifecycle

    def post(
        self,
        method: Callable[[float, Unpack[Arguments]], list[Command]],
        *arguments: Unpack[Arguments],
    ) -> None:
        """Calls a method of the lifecycle, now or after the current call, and executes its commands."""
        self._mailbox.append(MailboxEntry(method, arguments))
        invariant(len(self._mailbox) <= self._max_mailbox_entries, "the mailbox is within its capacity")
        if not self._is_calling_lifecycle:
            self._process_mailbox()

    def submit(self, request: ClientRequest) -> asyncio.Future[SendResponse]:
        """Starts processing a client's request, and sets its `request_id`.

        Returns:
            A future of the response; often completed before this returns.
        """
        invariant(not self._is_calling_lifecycle, "a request is not submitted from within a lifecycle call")
        response: asyncio.Future[SendResponse] = self.loop.create_future()
        self._is_calling_lifecycle = True
        try:
            now = self._read_clock()
            waited_ms = max(0.0, now - request.arrived_at_ms)
            request.request_id, commands = self.lifecycle.request_received(now, request.received, waited_ms)
            self.pending_requests[request.request_id] = UnansweredRequest(request, response)
            self._execute(commands)
        finally:
            self._is_calling_lifecycle = False
        self._process_mailbox()
        return response

    def end_requests(self) -> None:
        """Answers all requests as if their deadlines had passed."""
        for request_id in list(self.pending_requests):
            self.post(self.lifecycle.deadline_reached, request_id, None)

    def client_disconnected(self, request_id: int) -> None:
        """Handles a client's disconnect, and sets `may_have_run` of its request.

        Attempts that are not completely written are withdrawn, even if the settings do not allow cancelling.
        """
        pending = self.pending_requests.pop(request_id, None)
        if pending is not None:
            pending.request.may_have_run = self._may_have_run(request_id)
        self.post(self.lifecycle.client_disconnected, request_id)
        in_flight = self.lifecycle.in_flight.get(request_id)
        if in_flight is not None and self.attempts is not None:
            for attempt in list(in_flight.attempts):
                self.attempts.withdraw_unsent(request_id, attempt)
        self._cancel_deadline_if_finished(request_id)

    def _may_have_run(self, request_id: int) -> bool:
        in_flight = self.lifecycle.in_flight.get(request_id)
        if in_flight is None or self.attempts is None:
            return False
        is_written = partial(self.attempts.is_written, request_id)
        return in_flight.ended_attempt_may_have_run or any(map(is_written, in_flight.attempts))

    def log_internal_error(self, error: Exception, where: str) -> None:
        """Logs an unexpected exception with its traceback."""
        logger.opt(exception=error).error("{}internal error in {}: {!r}", self.log_prefix, where, error)

    def _process_mailbox(self) -> None:
        self._is_calling_lifecycle = True
        try:
            while self._mailbox:
                entry = self._mailbox.popleft()
                try:
                    self._execute(entry.method(self._read_clock(), *entry.arguments))
                except Exception as error:  # the affected request is answered at its deadline
                    self.log_internal_error(error, "the request lifecycle")
        finally:
            self._is_calling_lifecycle = False

    def _read_clock(self) -> float:
        now = self.clock.now()
        self.lifecycle.stalled_ms = self.clock.stalled_ms
        return now

    def _execute(self, commands: list[Command]) -> None:
        for command in commands:
            try:
                self._handlers[type(command)](command)
            except Exception as error:  # the request is answered, and the process keeps running
                self.log_internal_error(error, f"executing {type(command).__name__}")
                request_id = getattr(command, "request_id", None)
                if request_id is not None:
                    self._mailbox.append(MailboxEntry(self.lifecycle.abandon_request, (request_id,)))

    # Execution of commands

    def _start_attempt(self, command: StartAttempt) -> None:
        assert self.attempts is not None
        self.attempts.start_attempt(command, self.pending_requests[command.request_id].request)

    def _abort_attempt(self, command: AbortAttempt) -> None:
        assert self.attempts is not None
        self.attempts.abort_attempt(command)

    def _send_response(self, command: SendResponse) -> None:
        pending = self.pending_requests.pop(command.request_id, None)
        if pending is not None:
            pending.request.may_have_run = command.may_have_run
            if not pending.response.done():
                pending.response.set_result(command)
        self._cancel_deadline_if_finished(command.request_id)

    def _cancel_deadline_if_finished(self, request_id: int) -> None:
        if request_id in self.lifecycle.in_flight:
            return
        deadline = self.request_deadlines.pop(request_id, None)
        if deadline is not None:
            deadline.cancel()

    def _schedule_deadline(self, command: ScheduleDeadline) -> None:
        timer = self.clock.call_at(command.at_ms, partial(self._deadline_reached, command))
        if command.attempt is None:
            self.request_deadlines[command.request_id] = timer

    def _deadline_reached(self, command: ScheduleDeadline) -> None:
        if command.attempt is None:
            self.request_deadlines.pop(command.request_id, None)
        self.post(self.lifecycle.deadline_reached, command.request_id, command.attempt)

    def _add_to_counter(self, command: AddToCounter) -> None:
        assert self.counter is not None
        self.counter.call(command)

    def _set_timer(self, command: SetTimer) -> None:
        self._timers[command.timer_id] = self.loop.call_later(
            command.delay_ms / 1000.0, self.post, self.lifecycle.timer_fired, command.timer_id
        )

    def _log_engine_error(self, command: LogEngineError) -> None:
        self.log_internal_error(command.error, "the policy engine")

    def _log_message(self, command: LogMessage) -> None:
        logger.info("{}{}", self.log_prefix, command.text)
