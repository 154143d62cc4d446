"""A request in flight on a connection to a peer."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

import aiohttp

from drumgw.gateway.clock import Timer


def do_nothing() -> None:
    """Default for `before_write` callbacks."""


class Exchange:
    """A request in flight and its response. Closing the exchange closes its connection at once.

    Attributes:
        connection: The connector's handle, from the time the connection is established until it is released.
        written: Whether the complete request was written: from then on the peer may have processed it.
        write_deadline_ms: Deadline for sending the request's last byte; afterwards no more of it is sent.
        before_write: Called before the request's first byte; it may close the exchange.
        timer: Enforces the write deadline while part of the request is still buffered.
    """

    __slots__ = ("connection", "written", "write_deadline_ms", "timer", "before_write")

    def __init__(self, write_deadline_ms: float = inf, before_write: Callable[[], None] = do_nothing) -> None:
        self.before_write = before_write
        self.connection: aiohttp.connector.Connection | None = None
        self.written = False
        self.write_deadline_ms = write_deadline_ms
        self.timer: Timer | None = None

    def close(self) -> None:
        """Aborts the connection, which then cannot be reused. Has no effect once it was released."""
        self.cancel_timer()
        connection = self.connection
        self.connection = None
        if connection is None:
            return
        transport = connection.transport
        if transport is not None:
            transport.abort()
        connection.close()

    def cancel_timer(self) -> None:
        """Cancels the timer of the write deadline, if it is running."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
