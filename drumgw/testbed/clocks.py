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

    def at(self, at_ms: float, call: Call) -> Handle: ...


class Event:
    __slots__ = ("call",)

    def __init__(self, call: Call) -> None:
        self.call: Call | None = call

    def cancel(self) -> None:
        self.call = None


class VirtualClock:
    """Events fall due in the order of their times, and of their making where these are equal."""

    def __init__(self, start_ms: float) -> None:
        self.time, self.made = start_ms, 0
        self.heap: list[tuple[float, int, Event]] = []  # emptied as time goes on

    def now(self) -> float:
        return self.time

    def at(self, at_ms: float, call: Call) -> Event:
        event, self.made = Event(call), self.made + 1
        heapq.heappush(self.heap, (max(at_ms, self.time), self.made, event))
        return event

    def run(self, until_ms: float) -> None:
        while self.heap and self.heap[0][0] <= until_ms:
            self.time, _, event = heapq.heappop(self.heap)
            if event.call is not None:
                event.call()
        self.time = until_ms


class LoopClock:
    """The running event loop's."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.anchor = time.time() * 1000.0 - self.loop.time() * 1000.0

    def now(self) -> float:
        return self.anchor + self.loop.time() * 1000.0

    def at(self, at_ms: float, call: Call) -> Handle:
        return self.loop.call_at((at_ms - self.anchor) / 1000.0, call)
