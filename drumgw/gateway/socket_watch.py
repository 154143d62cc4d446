"""Bounds the arrival of the bytes that the event loop reads from a socket.

While the loop watches a socket, whatever has arrived is read in the loop's next iteration. Bytes may be older
that arrived while the socket was not watched: before the connection was accepted or while reading was paused.
"""

from __future__ import annotations

from math import inf

from drumgw.gateway.clock import STALL_THRESHOLD_MS, StallAwareClock


class SocketWatch:
    """Since when the event loop has been watching a socket, and what may have arrived before.

    Args:
        clock: The clock of the event loop that reads the socket.
        established_ms: The earliest time when its connection can have been established.
        accepted_ms: When it was accepted.
    """

    __slots__ = ("_clock", "_unwatched_since_ms", "_watched_since_ms")

    def __init__(self, clock: StallAwareClock, established_ms: float, accepted_ms: float) -> None:
        self._clock = clock
        self._unwatched_since_ms = established_ms
        was_accepted_at_once = accepted_ms - established_ms <= STALL_THRESHOLD_MS
        self._watched_since_ms = -inf if was_accepted_at_once else inf

    def pause(self) -> None:
        """Called when reading is paused."""
        self._unwatched_since_ms = self.earliest_arrival_ms(self._clock.now())
        self._watched_since_ms = inf

    def resume(self) -> None:
        """Called when reading begins, and when it is resumed; has no effect unless it was paused."""
        if self._watched_since_ms == inf:
            self._watched_since_ms = self._clock.now()

    def earliest_arrival_ms(self, now_ms: float) -> float:
        """Returns the earliest time when bytes that are read now can have arrived."""
        if self._watched_since_ms >= self._clock.unread_since_ms:  # older bytes may still be unread
            return self._unwatched_since_ms
        return max(self._unwatched_since_ms, self._clock.earliest_arrival_ms(now_ms))
