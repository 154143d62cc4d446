"""Bounds the memory of requests without a response.

Everything that a client sends is kept until its request has a response: in part by the HTTP parser, in part
by the request. The budget counts what that takes up, for each connection and over all connections of a
listener. Short header fields take up far more than their bytes, and a body is kept more than once while it is
collected and forwarded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from drumgw.gateway.shedding import ShedReason, shed

PARSED_HEAD_BYTES = 2048
"""What a parsed head takes up beyond its fields: most of the memory of a short request."""
FIELD_BYTES = 448
"""What a header field takes up beyond the bytes received, as name, value and their raw copies."""
MAX_FIELDS = 128
"""aiohttp rejects heads with more fields."""
COPIES = 3
"""How often received bytes are kept: as read, collected, and forwarded."""
MAX_CONNECTION_BYTES = 256 * 1024
"""Exceeds what a system keeps for a connection by default, and the largest request with its framing."""


class ReceivingConnection(Protocol):
    """A connection that receives requests.

    Attributes:
        unanswered_bytes: Memory of its requests without a response; changed by the budget alone.
    """

    unanswered_bytes: int

    def is_receiving_request(self) -> bool:
        """Whether its only unanswered request has not been received completely."""

    def reject_partial_request(self) -> None:
        """Rejects the request that is being received, and stops reading."""


class ReceiveBudget:
    """Counts received bytes, and frees memory when all connections together exceed their limit.

    Args:
        max_total_bytes: Limit on the bytes of all connections.
        connections: Returns the connections that share the budget.

    Attributes:
        total_bytes: The bytes of all connections.
    """

    def __init__(
        self, max_total_bytes: int, connections: Callable[[], Iterable[ReceivingConnection]]
    ) -> None:
        self.total_bytes = 0
        self._max_total_bytes = max_total_bytes
        self._connections = connections

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing further may be read."""
        return self.total_bytes >= self._max_total_bytes

    def receive(self, connection: ReceivingConnection, byte_count: int) -> bool:
        """Counts memory of a connection; returns whether to go on reading before its next response.

        At the total limit it rejects partial requests, the largest first. Requests that have been received
        completely keep their memory until they have a response; their connections are not read meanwhile.
        """
        connection.unanswered_bytes += byte_count
        self.total_bytes += byte_count
        while self.is_exhausted:
            largest = self._largest_partial_request()
            if largest is None:
                return False
            shed[ShedReason.PARTIAL_REQUEST] += 1
            self.release(largest)
            largest.reject_partial_request()
        return connection.unanswered_bytes < MAX_CONNECTION_BYTES or connection.is_receiving_request()

    def release(self, connection: ReceivingConnection) -> None:
        """Stops counting the bytes of a connection: its requests have responses, or it ends."""
        self.total_bytes -= connection.unanswered_bytes
        connection.unanswered_bytes = 0

    def _largest_partial_request(self) -> ReceivingConnection | None:
        partial = [
            connection
            for connection in self._connections()
            if connection.unanswered_bytes and connection.is_receiving_request()
        ]
        return max(partial, key=_unanswered_bytes) if partial else None


def memory_of(byte_count: int, field_count: int = 0, head_count: int = 0) -> int:
    """Returns the memory that received bytes take up, with the fields and heads among them."""
    return COPIES * byte_count + FIELD_BYTES * field_count + PARSED_HEAD_BYTES * head_count


def _unanswered_bytes(connection: ReceivingConnection) -> int:
    return connection.unanswered_bytes
