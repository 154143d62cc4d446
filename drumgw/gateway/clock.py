"""Module time, and how long our own loop stood still: that time is ours, no worker's and no counter's."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from loguru import logger

BEAT_MS = 100.0  # each beat wakes the loop, which costs as much as a small txn
STALL_THRESHOLD_MS = (
    20.0  # a beat later than this is a stall; a timer that late lets what has come be read first
)


class MonotonicClock:
    """Unix time in ms, anchored once, then carried by the monotonic clock so it never steps back."""

    def __init__(self) -> None:
        self.anchor = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        return self.anchor + time.monotonic() * 1000.0

    def loop_time(self, at_ms: float) -> float:
        """The event loop's time (monotonic, seconds) of a moment in module time."""
        return (at_ms - self.anchor) / 1000.0


class StallAwareClock:
    """Beats in the loop; a beat that comes late tells that the loop stood, and for how long."""

    def __init__(self, clock: MonotonicClock, loop: asyncio.AbstractEventLoop) -> None:
        self.monotonic, self.loop = clock, loop
        self.due = clock.now() + BEAT_MS
        self.stalled_ms = 0.0  # since the start; at most a beat less than it was
        self.recent_stall_ms = 0.0  # for a moment after a stall: what is read now may have waited through it

    def start_heartbeat(self) -> None:
        self.due = self.now() + BEAT_MS
        self.loop.call_later(BEAT_MS / 1000.0, self.start_heartbeat)

    def now(self) -> float:
        """The time; whoever asks first after a stall books it."""
        now = self.monotonic.now()
        if (late := now - self.due) > STALL_THRESHOLD_MS:
            self.due, self.stalled_ms, self.recent_stall_ms = (
                now,
                self.stalled_ms + late,
                self.recent_stall_ms + late,
            )
            self.loop.call_later(STALL_THRESHOLD_MS / 1000.0, self.past, self.stalled_ms)
            if late > BEAT_MS:
                logger.warning("stood still for {:.0f} ms", late)
        return now

    def past(self, stood_ms: float) -> None:
        if stood_ms == self.stalled_ms:  # not again since
            self.recent_stall_ms = 0.0

    def at(self, at_ms: float, call: Callable[[], None]) -> Timer:
        return Timer(self, at_ms, call)


class Timer:
    """Calls at its time. Late after a stall it waits a little more: the answer may be there, unread."""

    __slots__ = ("clock", "at_ms", "call", "handle")

    def __init__(self, clock: StallAwareClock, at_ms: float, call: Callable[[], None]) -> None:
        self.clock, self.at_ms, self.call = clock, at_ms, call
        self.handle = clock.loop.call_at(clock.monotonic.loop_time(at_ms), self.ring)

    def ring(self) -> None:
        if self.clock.now() - self.at_ms > STALL_THRESHOLD_MS:
            self.handle = self.clock.loop.call_later(STALL_THRESHOLD_MS / 1000.0, self.call)
        else:
            self.call()

    def cancel(self) -> None:
        self.handle.cancel()
