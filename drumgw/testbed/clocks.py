"""The clocks that emulated parties live by: a virtual one, and the event loop's.

All times are milliseconds of Unix time, with fractions.
"""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from typing import Protocol

Callback = Callable[[], None]


class TimerHandle(Protocol):
    """A callback that was scheduled."""

    def cancel(self) -> None:
        """Drops the callback, if it has not run yet."""


class TestbedClock(Protocol):
    """What emulated parties need of a clock."""

    def now(self) -> float:
        """The time, in milliseconds."""

    def call_at(self, at_ms: float, callback: Callback) -> TimerHandle:
        """Calls back at this time, or as soon as possible where it has passed."""


class ScheduledCall:
    """A callback of the virtual clock."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callback) -> None:
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Drops the callback, if it has not run yet."""
        self.callback = None


class VirtualClock:
    """Time that moves from one callback to the next.

    Callbacks run in the order of their times, and where these are equal in the order of their scheduling: the
    same program gives the same run.
    """

    def __init__(self, start_ms: float) -> None:
        self._now_ms = start_ms
        self._scheduled_count = 0
        self._calls: list[tuple[float, int, ScheduledCall]] = []

    def now(self) -> float:
        """The time, in milliseconds."""
        return self._now_ms

    def call_at(self, at_ms: float, callback: Callback) -> ScheduledCall:
        """Calls back at this time, or at the present time where it has passed."""
        call = ScheduledCall(callback)
        self._scheduled_count += 1
        heapq.heappush(self._calls, (max(at_ms, self._now_ms), self._scheduled_count, call))
        return call

    def run_until(self, end_ms: float) -> None:
        """Runs what falls due up to this time, and sets the time to it."""
        while self._calls and self._calls[0][0] <= end_ms:
            self._now_ms, _, call = heapq.heappop(self._calls)
            if call.callback is not None:
                call.callback()
        self._now_ms = end_ms


class LoopClock:
    """The running event loop's time, as milliseconds of Unix time."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self._offset_ms = time.time() * 1000.0 - self.loop.time() * 1000.0

    def now(self) -> float:
        """The time, in milliseconds."""
        return self._offset_ms + self.loop.time() * 1000.0

    def call_at(self, at_ms: float, callback: Callback) -> TimerHandle:
        """Calls back at this time, or as soon as possible where it has passed."""
        return self.loop.call_at((at_ms - self._offset_ms) / 1000.0, callback)
