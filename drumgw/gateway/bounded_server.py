"""A server whose connections are bounded in what they keep, each by itself and all together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from aiohttp.web_server import Server

from drumgw.gateway.bounded_connection import READ_BYTES, BoundedConnection
from drumgw.gateway.connection_shares import ConnectionShares
from drumgw.gateway.receive_budget import ReceiveBudget
from drumgw.gateway.send_budget import SendBudget
from drumgw.gateway.turn_scheduler import TurnScheduler


class BoundedServer(Server):
    """aiohttp's server with `BoundedConnection` objects that share a budget.

    Args:
        arguments: The arguments of aiohttp's server.
        connection_factory: Creates the handler of a connection from the shares, the server and the options
            of aiohttp's handler.
        max_unanswered_bytes: Limit on the memory of requests without a response.
        max_unsent_bytes: Limit on the bytes of responses that clients do not read.

    Attributes:
        budget: Counts the bytes received on all connections.
    """

    def __init__(
        self,
        *arguments: Any,
        connection_factory: Callable[..., BoundedConnection],
        max_unanswered_bytes: int,
        max_unsent_bytes: int,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self.budget = ReceiveBudget(
            max_unanswered_bytes, lambda: cast(list[BoundedConnection], self.connections)
        )
        self._shares = ConnectionShares(
            self.budget,
            SendBudget(max_unsent_bytes),
            reading=TurnScheduler(self._loop, lambda: not self.budget.is_exhausted),
            handling=TurnScheduler(self._loop),
        )
        self._connection_factory = connection_factory
        self._read_buffer = memoryview(bytearray(READ_BYTES))

    def __call__(self) -> BoundedReader:  # type: ignore[override]
        """Returns the protocol of a new connection; called by asyncio."""
        connection = self._connection_factory(self._shares, self, loop=self._loop, **self._kwargs)
        return BoundedReader(connection, self._read_buffer)


class BoundedReader(asyncio.BufferedProtocol):
    """Reads a connection's bytes in pieces of at most the buffer's size.

    For an `asyncio.Protocol` the event loop chooses the size, up to 256 KB at a time.

    Args:
        connection: Receives the bytes and the connection's events.
        buffer: Shared by the connections of an event loop; its content is copied before the next read.
    """

    __slots__ = ("_connection", "_buffer", "_receive")

    def __init__(self, connection: BoundedConnection, buffer: memoryview) -> None:
        self._connection = connection
        self._buffer = buffer
        self._receive = connection.data_received

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on the bytes that were read."""
        self._receive(bytes(self._buffer[:nbytes]))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes on the transport."""
        self._connection.connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Passes on the end of the connection."""
        self._connection.connection_lost(exc)

    def eof_received(self) -> None:
        """Passes on the end of the peer's stream; the transport then closes."""
        self._connection.eof_received()

    def pause_writing(self) -> None:
        """Passes on that the write buffer is full."""
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        """Passes on that the write buffer has room again."""
        self._connection.resume_writing()
