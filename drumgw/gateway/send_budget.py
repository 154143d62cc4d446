"""Bounds the bytes of responses that clients do not read.

A response stays in its connection's write buffer until the client has read enough of it. Such a connection is
served no further, so it holds one response at most. Over the limit for all connections, those whose clients
have not read for longest are closed.
"""

from __future__ import annotations

from typing import Protocol

from drumgw.gateway.shedding import ShedReason, shed


class SendingConnection(Protocol):
    """A connection with a response that is not sent completely."""

    def unsent_bytes(self) -> int:
        """Returns the size of the part that is not sent."""

    def abort(self) -> None:
        """Closes the connection at once, without flushing; it must leave the budget then."""


class SendBudget:
    """Counts the unsent bytes of all connections of a listener.

    Args:
        max_total_bytes: Limit on the bytes of all connections.

    Attributes:
        total_bytes: The bytes of all connections, as they were when each was added.
    """

    def __init__(self, max_total_bytes: int) -> None:
        self.total_bytes = 0
        self._max_total_bytes = max_total_bytes
        self._unsent: dict[SendingConnection, int] = {}  # the connections longest here first

    def add(self, connection: SendingConnection) -> None:
        """Adds a connection whose response was not sent at once, and closes others over the limit."""
        self.remove(connection)
        unsent_bytes = connection.unsent_bytes()
        self._unsent[connection] = unsent_bytes
        self.total_bytes += unsent_bytes
        while self.total_bytes > self._max_total_bytes and len(self._unsent) > 1:
            oldest = next(iter(self._unsent))
            shed[ShedReason.UNREAD_RESPONSE] += 1
            self.remove(oldest)
            oldest.abort()

    def remove(self, connection: SendingConnection) -> None:
        """Stops counting a connection: its response is sent, or it is closed."""
        self.total_bytes -= self._unsent.pop(connection, 0)
