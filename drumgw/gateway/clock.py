"""The gateway's clock and timers, with detection of stalls of its own process.

A process stalls while its host is paused, swaps or gives it no CPU time. Responses that arrive during a stall
are read late. The stall must not be counted as latency of an endpoint or of the counter, and a timer that is
overdue after a stall must not time out a call whose response only has to be read. Requests that arrived
during a stall have been waiting since then, so the clock also bounds the age of what is read.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

MS_PER_S = 1000.0
HEARTBEAT_MS = 100.0
"""Time between two heartbeats. Each costs two iterations of the event loop, as much as two small requests."""
STALL_THRESHOLD_MS = 20.0
"""A heartbeat this late counts as a stall. A timer this late lets pending responses be read first."""
RECHECK_MS = 1.0
"""Time from a heartbeat after a stall to the next one."""


class MonotonicClock:
    """Unix time in milliseconds that never steps back: read once, then advanced by the monotonic clock."""

    def __init__(self) -> None:
        self._offset_ms = time.time() * MS_PER_S - time.monotonic() * MS_PER_S

    def now(self) -> float:
        """Returns the current Unix time in milliseconds."""
        return self._offset_ms + time.monotonic() * MS_PER_S

    def loop_time(self, at_ms: float) -> float:
        """Converts a point in time to the event loop's time (monotonic, in seconds)."""
        return (at_ms - self._offset_ms) / MS_PER_S


class PollMark(NamedTuple):
    """A point in time just before the event loop polled its sockets.

    Attributes:
        at_ms: The time.
        stalled_ms: Total of all stalls until then.
    """

    at_ms: float
    stalled_ms: float


class StallAwareClock:
    """A clock that detects stalls of its process by a heartbeat in the event loop.

    Each heartbeat also bounds the age of what is read. The loop reads all that its poll has found before it
    runs timers, but several overdue timers run without a poll between them. So each heartbeat, a timer, is
    followed by a callback that the loop runs before its next poll. It marks the time and sets the next timer:
    when that fires, all that had arrived by the marked time has been read.

    Args:
        monotonic: the source of the time.
        loop: the event loop that runs heartbeats and timers.
    """

    def __init__(self, monotonic: MonotonicClock, loop: asyncio.AbstractEventLoop) -> None:
        self.monotonic = monotonic
        self.loop = loop
        self.stalled_ms = 0.0
        """Total of all stalls since the start. Each is underestimated by up to one heartbeat interval."""
        self._next_mark = self._polled_mark = PollMark(monotonic.now(), 0.0)
        self._heartbeat_due_ms = self._next_mark.at_ms + HEARTBEAT_MS

    def start_heartbeat(self) -> None:
        """Starts the heartbeat, which continues for as long as the event loop runs."""
        self._heartbeat_due_ms = self.now() + HEARTBEAT_MS
        self._polled_mark = self._next_mark
        self.loop.call_soon(self._mark_before_poll)

    def now(self) -> float:
        """Returns the current time in milliseconds. The first call after a stall records the stall."""
        now = self.monotonic.now()
        late_ms = now - self._heartbeat_due_ms
        if late_ms > STALL_THRESHOLD_MS:
            self._heartbeat_due_ms = now
            self._add_stall(late_ms)
        return now

    @property
    def unread_since_ms(self) -> float:
        """Everything that arrived before this time on a socket that the loop watches has been read."""
        return self._polled_mark.at_ms

    def may_have_unread_bytes(self) -> bool:
        """Whether bytes that arrived during a stall may be unread, on sockets that the loop watches."""
        return self.stalled_ms != self._polled_mark.stalled_ms

    def earliest_arrival_ms(self, now_ms: float) -> float:
        """Returns the earliest time when bytes read now can have arrived, on a socket that the loop watches.

        That is the current time unless there was a stall. A stall that is not detected is shorter than
        HEARTBEAT_MS and STALL_THRESHOLD_MS together.

        Args:
            now_ms: The current time, read from this clock.
        """
        return self._polled_mark.at_ms if self.may_have_unread_bytes() else now_ms

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback for this time; after a stall it runs a little later."""
        return Timer(self, at_ms, callback)

    def _add_stall(self, late_ms: float) -> None:
        self.stalled_ms += late_ms
        if late_ms > HEARTBEAT_MS:
            logger.warning("process stalled for {:.0f} ms", late_ms)

    def _mark_before_poll(self) -> None:
        now = self.now()
        self._next_mark = PollMark(now, self.stalled_ms)
        until_due_ms = 0.0 if self.may_have_unread_bytes() else self._heartbeat_due_ms - now
        delay_ms = max(RECHECK_MS, until_due_ms)
        self.loop.call_later(delay_ms / MS_PER_S, self.start_heartbeat)


class Timer:
    """A one-shot timer that accounts for stalls.

    After a stall of this process a peer's response may still be unread. A timer that fires late therefore
    waits a little longer, so that data that has arrived is read before the callback can time out the call.

    Args:
        clock: the clock that `at_ms` refers to.
        at_ms: when to run the callback.
        callback: takes no arguments.
    """

    __slots__ = ("_at_ms", "_callback", "_clock", "_handle")

    def __init__(self, clock: StallAwareClock, at_ms: float, callback: Callable[[], None]) -> None:
        self._clock = clock
        self._at_ms = at_ms
        self._callback = callback
        self._handle = clock.loop.call_at(clock.monotonic.loop_time(at_ms), self.fire)

    def fire(self) -> None:
        """Runs the callback, or delays it once if this process was stalled. Called by the event loop."""
        if self._clock.now() - self._at_ms > STALL_THRESHOLD_MS:
            self._handle = self._clock.loop.call_later(STALL_THRESHOLD_MS / MS_PER_S, self._callback)
        else:
            self._callback()

    def cancel(self) -> None:
        """Cancels the timer; has no effect once the callback has run."""
        self._handle.cancel()
