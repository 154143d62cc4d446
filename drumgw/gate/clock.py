"""Module time: Unix time in ms, anchored once, then carried by the monotonic clock so it never steps back."""
from __future__ import annotations

import time


class Clock:
    def __init__(self) -> None:
        self.anchor = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        return self.anchor + time.monotonic() * 1000.0

    def loop_time(self, at_ms: float) -> float:
        """The event loop's time (monotonic, seconds) of a moment in module time."""
        return (at_ms - self.anchor) / 1000.0
