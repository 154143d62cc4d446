"""The listener's queue of established connections that the process has not accepted yet.

The event loop accepts one connection in each of its iterations. Clients that connect while the process is
stalled or busy therefore wait in the queue long after the loop runs again, with their requests already sent.
"""

from __future__ import annotations

import select
from collections.abc import Iterable

from drumgw.gateway.clock import StallAwareClock


class AcceptQueue:
    """Tells since when an accepted connection may have been established.

    Args:
        clock: The clock of the event loop that accepts the connections.
    """

    def __init__(self, clock: StallAwareClock) -> None:
        self._clock = clock
        self._poll = select.poll()
        self._is_empty = True
        self._empty_since_ms = clock.now()
        self._oldest_ms = self._empty_since_ms  # bound for the connections in the queue, if it is not empty

    def watch(self, listeners: Iterable[int]) -> None:
        """Polls the listening sockets with these descriptors from now on."""
        for listener in listeners:
            self._poll.register(listener, select.POLLIN)

    def connection_accepted(self, now_ms: float) -> float:
        """Called for each accepted connection; returns the earliest time when it can have been established.

        That is the current time if the queue was empty before and the process has not stalled.

        Args:
            now_ms: The current time, read from the clock.
        """
        if self._is_empty:
            self._oldest_ms = max(self._empty_since_ms, self._clock.earliest_arrival_ms(now_ms))
        self._is_empty = not self._poll.poll(0)
        self._empty_since_ms = now_ms
        return self._oldest_ms
