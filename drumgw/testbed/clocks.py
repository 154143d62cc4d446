"""The clocks of the testbed's emulated components: a virtual clock and the event loop's clock.

All times are Unix times in milliseconds, with a fractional part.
"""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from typing import Protocol

Callback = Callable[[], None]


class TimerHandle(Protocol):
    """Handle of a scheduled callback."""

    def cancel(self) -> None:
        """Cancels the callback; does nothing if it has already run."""


class TestbedClock(Protocol):
    """The clock interface that the emulated components use."""

    def now(self) -> float:
        """Current Unix time in milliseconds."""

    def call_at(self, at_ms: float, callback: Callback) -> TimerHandle:
        """Schedules a callback at a time, or as soon as possible if that time has passed."""


class ScheduledCall:
    """A callback scheduled on the virtual clock."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callback) -> None:
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Cancels the callback; its entry stays in the heap and is skipped when due."""
        self.callback = None


class VirtualClock:
    """A simulated clock that jumps from one scheduled callback to the next.

    Callbacks run in order of time; callbacks due at the same time run in the order in which they were
    scheduled. This makes runs deterministic.
    """

    def __init__(self, start_ms: float) -> None:
        self._now_ms = start_ms
        self._scheduled_count = 0
        self._calls: list[tuple[float, int, ScheduledCall]] = []

    def now(self) -> float:
        """Current simulated Unix time in milliseconds."""
        return self._now_ms

    def call_at(self, at_ms: float, callback: Callback) -> ScheduledCall:
        """Schedules a callback at a time, or at the current time if that time has passed."""
        call = ScheduledCall(callback)
        self._scheduled_count += 1
        heapq.heappush(self._calls, (max(at_ms, self._now_ms), self._scheduled_count, call))
        return call

    def run_until(self, end_ms: float) -> None:
        """Runs all callbacks due up to and including `end_ms`, then advances the clock to it."""
        while self._calls and self._calls[0][0] <= end_ms:
            self._now_ms, _, call = heapq.heappop(self._calls)
            if call.callback is not None:
                call.callback()
        self._now_ms = end_ms


class LoopClock:
    """The running event loop's monotonic clock, shifted to Unix time in milliseconds.

    The offset to Unix time is taken once, so later changes of the system clock have no effect.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self._offset_ms = time.time() * 1000.0 - self.loop.time() * 1000.0

    def now(self) -> float:
        """Current Unix time in milliseconds."""
        return self._offset_ms + self.loop.time() * 1000.0

    def call_at(self, at_ms: float, callback: Callback) -> TimerHandle:
        """Schedules a callback at a time, or as soon as possible if that time has passed."""
        return self.loop.call_at((at_ms - self._offset_ms) / 1000.0, callback)
