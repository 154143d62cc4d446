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

from drumgw.gateway.clock import Pulse, Timer
from drumgw.gateway.invariants import invariant
from drumgw.gateway.request_lifecycle import Alarm, Core, Effect, Fault, Reply, Send, Stop
from drumgw.gateway.request_parsing import Passage
from drumgw.model.actions import Add, Say, Wake


class Workers(Protocol):
    def send(self, order: Send, passage: Passage) -> None: ...

    def stop(self, order: Stop) -> None: ...

    def give_back(self, txn: int, submission: int) -> None: ...


class Counter(Protocol):
    def call(self, order: Add) -> None: ...


class Desk:
    def __init__(self, core: Core, pulse: Pulse, most: int, said: str = "") -> None:
        self.core, self.pulse, self.loop, self.said = core, pulse, pulse.loop, said
        self.workers: Workers | None = None  # set before the first txn
        self.counter: Counter | None = None
        self.most = most
        self.mailbox: deque[tuple[Callable[..., list[Effect]], tuple[Any, ...]]] = deque()  # emptied by drain
        self.draining = False
        self.waiting: dict[int, tuple[Passage, asyncio.Future[Reply]]] = {}  # emptied by the replies
        self.alarms: dict[int, Timer] = {}  # expiries; emptied as txns leave the hand
        self.wakes: dict[int, asyncio.TimerHandle] = {}  # by label, of which there are few
        self.routes: dict[type, Callable[[Any], None]] = {
            Send: self.on_send,
            Stop: self.on_stop,
            Reply: self.on_reply,
            Alarm: self.on_alarm,
            Fault: self.on_fault,
            Add: self.on_add,
            Wake: self.on_wake,
            Say: self.on_say,
        }

    # The mailbox

    def post(self, call: Callable[..., list[Effect]], *args: Any) -> None:
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
                    self.carry_out(call(self.now(), *args))
                except Exception as error:  # the txn it was for ends at its expiry, by its alarm
                    self.complain(error, "the core")
        finally:
            self.draining = False

    def now(self) -> float:
        now = self.pulse.now()
        self.core.stood = self.pulse.stood_ms
        return now

    def carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            try:
                self.routes[type(effect)](effect)
            except Exception as error:  # an adapter's failure: its txn is answered, the process lives
                self.complain(error, "an adapter")
                txn = getattr(effect, "txn", None)
                if txn is not None:
                    self.mailbox.append((self.core.abandon, (txn,)))

    # Txns, from the front

    def take(self, passage: Passage) -> asyncio.Future[Reply]:
        """Hands a txn to the module; the future is its answer, often there at once."""
        invariant(not self.draining, "the front calls from its own turn")
        reply: asyncio.Future[Reply] = self.loop.create_future()
        self.draining = True
        try:
            now = self.now()
            passage.txn, effects = self.core.arrive(now, passage.asked, self.pulse.lately_ms)
            self.waiting[passage.txn] = passage, reply
            self.carry_out(effects)
        finally:
            self.draining = False
        self.drain()
        return reply

    def left(self, txn: int) -> None:
        self.waiting.pop(txn, None)
        self.post(self.core.left, txn)
        if (h := self.core.hand.get(txn)) is not None and self.workers is not None:
            for submission in list(h.out):  # where nothing may be called off: what was not sent can be
                self.workers.give_back(txn, submission)
        self.disarm(txn)

    # Effects

    def on_send(self, order: Send) -> None:
        assert self.workers is not None
        self.workers.send(order, self.waiting[order.txn][0])

    def on_stop(self, order: Stop) -> None:
        assert self.workers is not None
        self.workers.stop(order)

    def on_reply(self, reply: Reply) -> None:
        _, waiting = self.waiting.pop(reply.txn, (None, None))
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)
        self.disarm(reply.txn)

    def disarm(self, txn: int) -> None:
        if txn not in self.core.hand and (alarm := self.alarms.pop(txn, None)) is not None:
            alarm.cancel()

    def on_alarm(self, alarm: Alarm) -> None:
        handle = self.pulse.at(alarm.at_ms, partial(self.ring, alarm))
        if alarm.submission < 0:
            self.alarms[alarm.txn] = handle

    def ring(self, alarm: Alarm) -> None:
        if alarm.submission < 0:
            self.alarms.pop(alarm.txn, None)
        self.post(self.core.alarm, alarm.txn, alarm.submission)

    def on_add(self, order: Add) -> None:
        assert self.counter is not None
        self.counter.call(order)

    def on_wake(self, order: Wake) -> None:
        self.wakes[order.label] = self.loop.call_later(
            order.after_ms / 1000.0, self.post, self.core.due, order.label
        )

    def close(self) -> None:
        """Its ticks end; a process may go on with other desks."""
        for wake in self.wakes.values():
            wake.cancel()
        for alarm in self.alarms.values():
            alarm.cancel()
        self.wakes.clear()
        self.alarms.clear()

    def on_fault(self, fault: Fault) -> None:
        self.complain(fault.error, "the module")

    def complain(self, error: Exception, where: str) -> None:
        logger.opt(exception=error).error("{}fault in {}: {!r}", self.said, where, error)

    def on_say(self, line: Say) -> None:
        logger.info("{}{}", self.said, line.text)
