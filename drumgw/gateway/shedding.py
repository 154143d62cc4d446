"""Counts what the gateway closes, rejects or does not start to stay within its limits, and logs the counts.

One line an interval tells how often each of it happened: a line for each would let clients fill the log.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from enum import Enum

from loguru import logger

from drumgw.gateway.memory_plan import BYTES_PER_MB
from drumgw.gateway.own_memory import resident_bytes

LOG_INTERVAL_S = 5.0


class ShedReason(Enum):
    """Why something was shed; the values are parts of the log line."""

    PARTIAL_REQUEST = "partial requests rejected for memory"
    UNREAD_RESPONSE = "connections closed with unread responses, for memory"
    RESPONSE_MEMORY = "attempts not started, for the memory of their responses"
    CONNECTION_LIMIT = "connections closed at the limit"
    SURPLUS_IDLE = "idle connections closed beyond the limit of requesting clients"
    TIMED_OUT = "inactive connections closed"
    UNREAD_REQUESTS = "requests not sent on, as more is unread behind them than the kernel accepts"
    REPEATED_ID = "requests rejected whose id is in flight or may have run"
    REQUEST_IDS = "ids of ended requests dropped early, for memory"


shed: Counter[ShedReason] = Counter()
"""What was shed in this process since the last log line."""


class ShedLog:
    """Logs what was shed once an interval, if there was anything.

    Args:
        loop: The event loop of the process.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedules the first line."""
        self._timer = self._loop.call_later(LOG_INTERVAL_S, self._log)

    def close(self) -> None:
        """Logs what is left."""
        if self._timer is not None:
            self._timer.cancel()
        log_shed()

    def _log(self) -> None:
        log_shed()
        self.start()


def log_shed() -> None:
    """Logs the counts, if there are any, and sets them back."""
    if not shed:
        return
    counts = ", ".join(f"{count} {reason.value}" for reason, count in shed.items())
    logger.warning("load shed: {}; {:.0f} MB resident", counts, resident_bytes() / BYTES_PER_MB)
    shed.clear()
