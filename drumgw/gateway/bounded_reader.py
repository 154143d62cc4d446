"""Reads from a socket into a buffer of a given size, and passes the bytes on to a connection."""

from __future__ import annotations

import asyncio


def read_buffer(byte_count: int) -> memoryview:
    """Returns a buffer that the connections of an event loop can share: its bytes are copied at once."""
    return memoryview(bytearray(byte_count))


class BoundedReader(asyncio.BufferedProtocol):
    """Reads a connection's bytes in pieces of at most the buffer's size.

    For an `asyncio.Protocol` the event loop chooses the size. uvloop then reads 256 KB at a time, and up to
    32 times in one turn: 8 MB of one connection, while all others wait.

    Args:
        connection: Receives the bytes and the connection's events.
        buffer: Shared by the connections of an event loop; its content is copied before the next read.
    """

    __slots__ = ("_connection", "_buffer", "_receive")

    def __init__(self, connection: asyncio.Protocol, buffer: memoryview) -> None:
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
        self._connection.connection_lost(exc)  # type: ignore[arg-type]

    def eof_received(self) -> None:
        """Passes on the end of the peer's stream; the transport then closes."""
        self._connection.eof_received()

    def pause_writing(self) -> None:
        """Passes on that the write buffer is full."""
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        """Passes on that the write buffer has room again."""
        self._connection.resume_writing()
