"""The clock that stand-ins live by: virtual, with one order of events, or the event loop's."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from typing import Protocol

Call = Callable[[], None]


class Handle(Protocol):
    def cancel(self) -> None: ...


class TestbedClock(Protocol):
    """Milliseconds of Unix time."""

    def now(self) -> float: ...

    def call_at(self, at_ms: float, call: Call) -> Handle: ...


class Event:
    __slots__ = ("callback",)

    def __init__(self, call: Call) -> None:
        self.callback: Call | None = call

    def cancel(self) -> None:
        self.callback = None


class VirtualClock:
    """Events fall due in the order of their times, and of their making where these are equal."""

    def __init__(self, start_ms: float) -> None:
        self.now_ms, self.scheduled_count = start_ms, 0
        self.calls: list[tuple[float, int, Event]] = []  # emptied as time goes on

    def now(self) -> float:
        return self.now_ms

    def call_at(self, at_ms: float, call: Call) -> Event:
        event, self.scheduled_count = Event(call), self.scheduled_count + 1
        heapq.heappush(self.calls, (max(at_ms, self.now_ms), self.scheduled_count, event))
        return event

    def run_until(self, until_ms: float) -> None:
        while self.calls and self.calls[0][0] <= until_ms:
            self.now_ms, _, event = heapq.heappop(self.calls)
            if event.callback is not None:
                event.callback()
        self.now_ms = until_ms


class LoopClock:
    """The running event loop's."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.anchor = time.time() * 1000.0 - self.loop.time() * 1000.0

    def now(self) -> float:
        return self.anchor + self.loop.time() * 1000.0

    def call_at(self, at_ms: float, call: Call) -> Handle:
        return self.loop.call_at((at_ms - self.anchor) / 1000.0, call)
