"""The module's actor: the only caller of the core, and so of the module. Carries its effects to the adapters.

Whoever posts while it is idle drains the mailbox at once, so a txn takes no extra turn of the event loop.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from loguru import logger

from drumgw.gateway.clock import StallAwareClock, Timer
from drumgw.gateway.invariants import invariant
from drumgw.gateway.request_lifecycle import (
    AbortAttempt,
    Command,
    ReportFault,
    RequestLifecycle,
    ScheduleDeadline,
    SendResponse,
    StartAttempt,
)
from drumgw.gateway.request_parsing import ClientRequest
from drumgw.model.actions import AddToCounter, LogMessage, SetTimer


class AttemptTransport(Protocol):
    def start_attempt(self, order: StartAttempt, request: ClientRequest) -> None: ...

    def abort_attempt(self, order: AbortAttempt) -> None: ...

    def withdraw_unsent(self, txn: int, submission: int) -> None: ...


class CounterTransport(Protocol):
    def call(self, order: AddToCounter) -> None: ...


class Dispatcher:
    def __init__(
        self, lifecycle: RequestLifecycle, clock: StallAwareClock, most: int, said: str = ""
    ) -> None:
        self.lifecycle, self.clock, self.loop, self.log_prefix = lifecycle, clock, clock.loop, said
        self.attempts: AttemptTransport | None = None  # set before the first txn
        self.counter: CounterTransport | None = None
        self.most = most
        self.mailbox: deque[tuple[Callable[..., list[Command]], tuple[Any, ...]]] = (
            deque()
        )  # emptied by drain
        self.draining = False
        self.waiting: dict[
            int, tuple[ClientRequest, asyncio.Future[SendResponse]]
        ] = {}  # emptied by the replies
        self.alarms: dict[int, Timer] = {}  # expiries; emptied as txns leave the hand
        self.wakes: dict[int, asyncio.TimerHandle] = {}  # by label, of which there are few
        self.routes: dict[type, Callable[[Any], None]] = {
            StartAttempt: self.on_send,
            AbortAttempt: self.on_stop,
            SendResponse: self.on_reply,
            ScheduleDeadline: self.on_alarm,
            ReportFault: self.on_fault,
            AddToCounter: self.on_add,
            SetTimer: self.on_wake,
            LogMessage: self.on_say,
        }

    # The mailbox

    def post(self, call: Callable[..., list[Command]], *args: Any) -> None:
        """What comes from inside is bounded by what is out: each submission, call and alarm ends once."""
        self.mailbox.append((call, args))
        invariant(len(self.mailbox) <= self.most, "the module's mailbox is within its bound")
        if not self.draining:
            self.drain()

    def drain(self) -> None:
        self.draining = True
        try:
            while self.mailbox:
                call, args = self.mailbox.popleft()
                try:
                    self.execute(call(self.now(), *args))
                except Exception as error:  # the txn it was for ends at its expiry, by its alarm
                    self.log_fault(error, "the core")
        finally:
            self.draining = False

    def now(self) -> float:
        now = self.clock.now()
        self.lifecycle.stalled_ms = self.clock.stalled_ms
        return now

    def execute(self, commands: list[Command]) -> None:
        for command in commands:
            try:
                self.routes[type(command)](command)
            except Exception as error:  # an adapter's failure: its txn is answered, the process lives
                self.log_fault(error, "an adapter")
                txn = getattr(command, "request_id", None)
                if txn is not None:
                    self.mailbox.append((self.lifecycle.abandon_request, (txn,)))

    # Txns, from the front

    def submit(self, request: ClientRequest) -> asyncio.Future[SendResponse]:
        """Hands a txn to the module; the future is its answer, often there at once."""
        invariant(not self.draining, "the front calls from its own turn")
        reply: asyncio.Future[SendResponse] = self.loop.create_future()
        self.draining = True
        try:
            now = self.now()
            request.request_id, commands = self.lifecycle.request_received(
                now, request.received, self.clock.recent_stall_ms
            )
            self.waiting[request.request_id] = request, reply
            self.execute(commands)
        finally:
            self.draining = False
        self.drain()
        return reply

    def client_disconnected(self, txn: int) -> None:
        self.waiting.pop(txn, None)
        self.post(self.lifecycle.client_disconnected, txn)
        if (h := self.lifecycle.in_flight.get(txn)) is not None and self.attempts is not None:
            for submission in list(h.out):  # where nothing may be called off: what was not sent can be
                self.attempts.withdraw_unsent(txn, submission)
        self.disarm(txn)

    # Effects

    def on_send(self, order: StartAttempt) -> None:
        assert self.attempts is not None
        self.attempts.start_attempt(order, self.waiting[order.request_id][0])

    def on_stop(self, order: AbortAttempt) -> None:
        assert self.attempts is not None
        self.attempts.abort_attempt(order)

    def on_reply(self, reply: SendResponse) -> None:
        _, waiting = self.waiting.pop(reply.request_id, (None, None))
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)
        self.disarm(reply.request_id)

    def disarm(self, txn: int) -> None:
        if txn not in self.lifecycle.in_flight and (alarm := self.alarms.pop(txn, None)) is not None:
            alarm.cancel()

    def on_alarm(self, alarm: ScheduleDeadline) -> None:
        handle = self.clock.at(alarm.at_ms, partial(self.ring, alarm))
        if alarm.attempt < 0:
            self.alarms[alarm.request_id] = handle

    def ring(self, alarm: ScheduleDeadline) -> None:
        if alarm.attempt < 0:
            self.alarms.pop(alarm.request_id, None)
        self.post(self.lifecycle.deadline_reached, alarm.request_id, alarm.attempt)

    def on_add(self, order: AddToCounter) -> None:
        assert self.counter is not None
        self.counter.call(order)

    def on_wake(self, order: SetTimer) -> None:
        self.wakes[order.timer_id] = self.loop.call_later(
            order.delay_ms / 1000.0, self.post, self.lifecycle.timer_fired, order.timer_id
        )

    def close(self) -> None:
        """Its ticks end; a process may go on with other desks."""
        for wake in self.wakes.values():
            wake.cancel()
        for alarm in self.alarms.values():
            alarm.cancel()
        self.wakes.clear()
        self.alarms.clear()

    def on_fault(self, fault: ReportFault) -> None:
        self.log_fault(fault.error, "the module")

    def log_fault(self, error: Exception, where: str) -> None:
        logger.opt(exception=error).error("{}fault in {}: {!r}", self.log_prefix, where, error)

    def on_say(self, line: LogMessage) -> None:
        logger.info("{}{}", self.log_prefix, line.text)
