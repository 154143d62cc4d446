"""Divides the event loop's turns among the connections that have more work than others.

A connection whose client or peer sends as much as it can is read and served a piece in a turn, and takes its
place in a queue for the next piece. Only a few pieces are processed in each turn of the event loop, so that
other connections, which need no queue, wait for a few pieces at most, however many do this.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

PIECES_PER_TURN = 2
RETRY_DELAY_S = 0.005
"""How long a queue rests while nothing in it may run."""


class TurnScheduler:
    """A queue of pieces of work, first come, first served.

    Args:
        loop: The event loop.
        may_run: Whether queued work may run now.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, may_run: Callable[[], bool] = lambda: True) -> None:
        self._loop = loop
        self._may_run = may_run
        self._queue: deque[Callable[[], None]] = deque()  # one entry for each connection at most
        self._pieces_left = PIECES_PER_TURN
        self._is_scheduled = False

    def __len__(self) -> int:
        """Returns how many pieces are waiting."""
        return len(self._queue)

    def take_piece(self) -> bool:
        """Whether one more piece may be processed at once in this turn; others may not be waiting for it."""
        if self._queue or not self._pieces_left:
            return False
        self._pieces_left -= 1
        self._schedule(0.0)
        return True

    def add(self, piece: Callable[[], None]) -> None:
        """Queues a piece of work for a later turn."""
        self._queue.append(piece)
        self._schedule(0.0)

    def _schedule(self, delay_s: float) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        if delay_s:
            self._loop.call_later(delay_s, self._run_turn)
        else:
            self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_scheduled = False
        self._pieces_left = PIECES_PER_TURN
        while self._queue and self._pieces_left and self._may_run():
            self._pieces_left -= 1
            self._queue.popleft()()
        if self._queue:
            self._schedule(0.0 if self._may_run() else RETRY_DELAY_S)
