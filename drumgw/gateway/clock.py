"""The gateway's time, its timers, and for how long its process was stalled.

A process may not run for a while: its host is paused, swaps, or gives it no processor time. Responses that
arrived meanwhile are read late. That time must not count as an endpoint's or the counter's, and a timer that
is overdue after a stall must not give up what only needs to be read.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from loguru import logger

MS_PER_S = 1000.0
HEARTBEAT_MS = 100.0
"""Time between two heartbeats. Each wakes the event loop, which costs as much as a small request."""
STALL_THRESHOLD_MS = 20.0
"""A heartbeat that comes later than this shows a stall; a timer that late lets responses be read first."""


class MonotonicClock:
    """Unix time in milliseconds. It is read once and then carried by the monotonic clock: no steps back."""

    def __init__(self) -> None:
        self._offset_ms = time.time() * MS_PER_S - time.monotonic() * MS_PER_S

    def now(self) -> float:
        """The current time."""
        return self._offset_ms + time.monotonic() * MS_PER_S

    def loop_time(self, at_ms: float) -> float:
        """The event loop's time (monotonic, in seconds) of a point in time."""
        return (at_ms - self._offset_ms) / MS_PER_S


class StallAwareClock:
    """A clock that finds out, by a heartbeat in the event loop, for how long its process was stalled.

    Args:
        monotonic: the process's time.
        loop: the event loop that heartbeats and timers run in.
    """

    def __init__(self, monotonic: MonotonicClock, loop: asyncio.AbstractEventLoop) -> None:
        self.monotonic = monotonic
        self.loop = loop
        self.stalled_ms = 0.0
        """All stalls since the start. A stall is found short by up to one heartbeat."""
        self.recent_stall_ms = 0.0
        """Length of a stall that has just ended, else 0: what is read now may have waited through it."""
        self._heartbeat_due_ms = monotonic.now() + HEARTBEAT_MS

    def start_heartbeat(self) -> None:
        """Starts the heartbeat, which goes on for as long as the event loop runs."""
        self._heartbeat_due_ms = self.now() + HEARTBEAT_MS
        self.loop.call_later(HEARTBEAT_MS / MS_PER_S, self.start_heartbeat)

    def now(self) -> float:
        """The current time. The first call after a stall takes the stall into account."""
        now = self.monotonic.now()
        late_ms = now - self._heartbeat_due_ms
        if late_ms > STALL_THRESHOLD_MS:
            self._heartbeat_due_ms = now
            self._add_stall(late_ms)
        return now

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> Timer:
        """Calls back at this time, or a little later after a stall."""
        return Timer(self, at_ms, callback)

    def _add_stall(self, late_ms: float) -> None:
        self.stalled_ms += late_ms
        self.recent_stall_ms += late_ms
        self.loop.call_later(STALL_THRESHOLD_MS / MS_PER_S, self._forget_recent_stall, self.stalled_ms)
        if late_ms > HEARTBEAT_MS:
            logger.warning("process stalled for {:.0f} ms", late_ms)

    def _forget_recent_stall(self, stalled_ms: float) -> None:
        has_stalled_again = stalled_ms != self.stalled_ms
        if not has_stalled_again:
            self.recent_stall_ms = 0.0


class Timer:
    """Calls back once, at its time.

    Guards peers against being given up for a stall of this process: their response may lie unread. A timer
    that is late waits a little more, so that what has arrived is read first.

    Args:
        clock: the clock that `at_ms` is on.
        at_ms: when to call back.
        callback: takes no arguments.
    """

    __slots__ = ("_at_ms", "_callback", "_clock", "_handle")

    def __init__(self, clock: StallAwareClock, at_ms: float, callback: Callable[[], None]) -> None:
        self._clock = clock
        self._at_ms = at_ms
        self._callback = callback
        self._handle = clock.loop.call_at(clock.monotonic.loop_time(at_ms), self.fire)

    def fire(self) -> None:
        """Calls back, or waits a little more if this process was stalled. Called by the event loop."""
        if self._clock.now() - self._at_ms > STALL_THRESHOLD_MS:
            self._handle = self._clock.loop.call_later(STALL_THRESHOLD_MS / MS_PER_S, self._callback)
        else:
            self._callback()

    def cancel(self) -> None:
        """Does not call back any more."""
        self._handle.cancel()
