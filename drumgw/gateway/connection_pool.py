"""Connections kept and used by one exchange at a time: aiohttp's connector and parser, without its session.

Its session costs twice this in CPU and tells neither whether a request was written nor when a cancelled one's
connection is closed; the bytes go out as they are given, and nothing is ever sent twice. Its own connection
(ResponseHandler) reads answers of any size, loses a good one when noise comes right behind it, and keeps what
nobody asked for as the next answer: Wire, in its place, gives the parser heads only and bounds the rest.
"""

from __future__ import annotations

import asyncio
import os
import select
from collections.abc import Callable
from functools import partial
from math import inf
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError, HttpResponseParser
from aiohttp.http_parser import RawResponseMessage
from yarl import URL

from drumgw.gateway.clock import StallAwareClock, Timer
from drumgw.gateway.process_config import MAX_BODY_BYTES, MAX_HEAD_BYTES

CONNECTION_ERRORS = (aiohttp.ClientError, HttpProcessingError, OSError, TimeoutError)
HEAD = b"HTTP/1."
NO_BODY = (204, 304)
REST_MS = 10.0  # what a peer says too much comes some milliseconds late (the fleet's page)
MOST_CHUNKS = 64  # bodies; above what one read brings, so that aiohttp never pauses a connection
ONE_READ = 256 * 1024
RawResponse = tuple[RawResponseMessage, bytes]


class MalformedResponseError(aiohttp.ClientError):
    """What came is no answer, or none that was asked for: the connection can't be used any more."""


class WriteDeadlineError(aiohttp.ClientError):
    """The request's last byte would leave after the moment that was told: it was not sent whole."""


class PeerConnection(ResponseHandler):
    """A connection and the answers owed on it, in their order. It ends with the first that is not."""

    def __init__(self, loop: asyncio.AbstractEventLoop, lines: ConnectionPool) -> None:
        super().__init__(loop)
        self.pool, self.expected_responses, self.buffer = lines, 0, b""  # got: bounded by a head and a body
        self.message: RawResponseMessage | None = None  # its head was read, its body not yet
        self.length: int | None = 0  # of its body; none: till the end
        self.chunks: HttpResponseParser | None = None
        self.body: aiohttp.StreamReader | None = None  # of chunks
        self.on_response: Callable[[RawResponse], None] | None = None  # set by who uses it; so is lost
        self.on_error: Callable[[BaseException], None] | None = None
        self.timer: Timer | None = None
        self.peer_closed = False  # the peer itself ended its sending
        self.heads = HttpResponseParser(
            self, loop, lines.most_body, response_with_body=False, auto_decompress=False
        )
        self.poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        # So writing_paused says exactly whether a part is still here; it stays so if that never leaves
        transport.set_write_buffer_limits(0)  # type: ignore[attr-defined]
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.pool.connections.add(self)

    def is_connected(self) -> bool:
        """Asked before a kept connection is used: what lies unread on it must not meet the next txn."""
        return super().is_connected() and not self.should_close and not self.poll.poll(0)

    def send_request(self, request: bytes) -> None:
        assert self.transport is not None
        self.transport.write(request)
        self.expected_responses += 1

    def read_pending(self) -> None:
        """Reads what lies unread, before the loop's turn comes. An end or a failure is the loop's to find."""
        transport = self.transport
        if transport is None or transport.is_closing() or not self.poll.poll(0):
            return
        try:
            data = os.read(transport.get_extra_info("socket").fileno(), ONE_READ)
        except OSError:
            return
        if data:
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        self.buffer = self.buffer + data if self.buffer else data
        try:
            while self.buffer:
                if not self.expected_responses:
                    raise MalformedResponseError("more came than was asked for")
                if not self.advance():
                    break
        except (aiohttp.ClientError, HttpProcessingError) as error:
            self.spoil(error)
            return
        if self.buffer or self.message is not None:
            self.timer = self.timer or self.pool.limit(self.stalled)
        elif self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def advance(self) -> bool:
        """One step further in what was got; false where more must come first."""
        if self.message is None:
            end = self.buffer.find(b"\r\n\r\n") + 4
            if end < 4:
                if len(self.buffer) > MAX_HEAD_BYTES or not HEAD.startswith(self.buffer[: len(HEAD)]):
                    raise MalformedResponseError("no head of an answer")
                return False
            head, self.buffer = self.buffer[:end], self.buffer[end:]
            self.begin(head)
        elif self.chunks is not None and self.body is not None:
            if not self.read_chunks(self.chunks, self.body):
                return False
        elif self.length is None or len(self.buffer) < self.length:
            if len(self.buffer) > self.pool.most_body:
                raise MalformedResponseError("a body without end")
            return False
        else:
            body, self.buffer = self.buffer[: self.length], self.buffer[self.length :]
            self.done(body)
        return True

    def begin(self, head: bytes) -> None:
        messages, upgraded, _ = self.heads.feed_data(head)
        if len(messages) != 1 or upgraded:
            raise MalformedResponseError("no head of an answer")
        message = messages[0][0]
        if message.code == 101:
            raise MalformedResponseError("another protocol")
        if message.code < 200:
            return  # the answer is still to come
        said = message.headers.get("Content-Length")
        self.message, self.length = message, int(said) if said else None
        if message.code in NO_BODY:
            self.length = 0
        elif message.chunked:
            self.chunks = HttpResponseParser(
                self, self._loop, MOST_CHUNKS * self.pool.most_body, auto_decompress=False
            )
            self.body = self.chunks.feed_data(head)[0][0][1]
        elif self.length is None and not message.should_close or (self.length or 0) > self.pool.most_body:
            raise MalformedResponseError(f"a body of {said} bytes")
        if message.should_close or self.length is None and self.chunks is None:
            self.force_close()
        if self.length == 0:
            self.done(b"")

    def read_chunks(self, chunks: HttpResponseParser, body: aiohttp.StreamReader) -> bool:
        data, self.buffer = self.buffer, b""
        try:
            chunks.feed_data(data)
        except HttpProcessingError:
            if not body.is_eof():
                raise
            self.force_close()  # noise behind the last chunk
        if body.total_bytes > self.pool.most_body:
            raise MalformedResponseError("a body without end")
        if not body.is_eof():
            return False
        self.done(body.read_nowait())
        return True

    def done(self, body: bytes) -> None:
        message, self.message, self.chunks, self.body = self.message, None, None, None
        self.expected_responses -= 1
        assert message is not None
        if self.on_response is not None:
            self.on_response((message, body))

    def stalled(self) -> None:
        """Guards txns against an answer that began and never ends: what is left of it is a packet's time."""
        self.spoil(MalformedResponseError("an answer that stopped within"))

    def spoil(self, error: BaseException) -> None:
        self.force_close()
        self.buffer, self.message = b"", None
        self.abort()
        self.lose(error)

    def lose(self, error: BaseException) -> None:
        lost, self.on_error, self.on_response = self.on_error, None, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if lost is not None:
            lost(error)

    def eof_received(self) -> None:
        self.peer_closed = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Guards txns against half an answer without a length: only its peer's own end is its end, no reset
        and no close of ours."""
        self.pool.connections.discard(self)
        endless = self.message is not None and self.length is None and self.chunks is None
        if endless and self.peer_closed and exc is None:
            body, self.buffer = self.buffer, b""
            self.done(body)
        super().connection_lost(exc)
        self.lose(exc if isinstance(exc, OSError) else aiohttp.ServerDisconnectedError())


class Exchange:
    """An exchange under way. It can be given up at any time; its connection is then closed at once."""

    __slots__ = ("connection", "written", "write_by", "timer", "before")

    def __init__(self, write_by: float = inf, before: Callable[[], None] | None = None) -> None:
        self.before = before or no_need  # called before its first byte; may give it up
        self.connection: aiohttp.connector.Connection | None = None
        self.written = False  # handed over whole: from then on it may have run
        self.write_by = write_by  # its last byte leaves by then, or never
        self.timer: Timer | None = None

    def close(self) -> None:
        self.disarm()
        connection, self.connection = self.connection, None
        if connection is None:
            return
        transport = connection.transport
        if transport is not None:
            transport.abort()
        connection.close()

    def disarm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class ConnectionPool:
    """The connections to one kind of peer: so many at most, none kept idle for longer than told."""

    def __init__(
        self,
        most: int,
        idle_ms: float,
        connect_ms: float | None,
        clock: StallAwareClock,
        most_body: int = MAX_BODY_BYTES,
    ) -> None:
        self.most_body = most_body
        self.before: Callable[[], None] = no_need  # called before a first byte; may give up its trip
        seconds = connect_ms / 1000.0 if connect_ms else None
        self.loop, self.clock, self.max_connections, self.packet_ms = clock.loop, clock, most, connect_ms
        self.patience = aiohttp.ClientTimeout(total=None, connect=seconds, sock_connect=seconds)
        # Settings that name no idle time: none is known to be safe, so none is kept
        kept: dict[str, Any] = {"keepalive_timeout": idle_ms / 1000.0} if idle_ms else {"force_close": True}
        self.connector = aiohttp.TCPConnector(limit=most, use_dns_cache=False, **kept)
        self.connector._factory = partial(PeerConnection, self.loop, self)  # type: ignore[assignment]
        self.connections: set[PeerConnection] = set()  # those open; emptied as they close

    def peer(self, address: str, owner: str | None = None) -> aiohttp.ClientRequest:
        """What the connector knows a peer by: kept connections are its own, wherever it stands."""
        return aiohttp.ClientRequest("GET", URL(f"http://{address}"), loop=self.loop, server_hostname=owner)

    def limit(self, late: Callable[[], None]) -> Timer | None:
        """The rest of an answer that began comes within the time in which a connection comes up."""
        return self.clock.at(self.clock.now() + self.packet_ms, late) if self.packet_ms else None

    async def connect(
        self, card: aiohttp.ClientRequest
    ) -> tuple[aiohttp.connector.Connection, PeerConnection]:
        if len(self.connections) >= self.max_connections and card.connection_key not in self.connector._conns:
            self.close_idle(next(iter(self.connector._conns), None))
        connection = await self.connector.connect(card, [], self.patience)
        wire = connection.protocol
        if not isinstance(wire, PeerConnection) or wire.transport is None:
            connection.close()
            raise aiohttp.ServerDisconnectedError
        return connection, wire

    def close_idle(self, key: object) -> None:
        """Closes the kept connections to a peer: it has gone, or descriptors are short."""
        for wire, _ in self.connector._conns.pop(key, ()):  # type: ignore[call-overload]
            wire.close()

    async def exchange(self, card: aiohttp.ClientRequest, request: bytes, trip: Exchange) -> RawResponse:
        """The whole answer. Where it raises or is cancelled, the connection is closed."""
        trip.connection, wire = await self.connect(card)
        self.before()
        trip.before()
        if trip.connection is None:  # given up just now, and cancelled
            raise asyncio.CancelledError
        answer: asyncio.Future[RawResponse] = self.loop.create_future()
        try:
            if wire.transport is None or wire.transport.is_closing():  # what is written on it would vanish
                raise aiohttp.ServerDisconnectedError
            if self.clock.now() >= trip.write_by:
                raise WriteDeadlineError
            wire.on_response, wire.on_error = partial(settle, answer), partial(fail, answer)
            wire.send_request(request)
            if wire.transport is None or wire.transport.is_closing():  # the system did not take it
                raise aiohttp.ServerDisconnectedError
            trip.written = True
            if trip.write_by < inf and wire.writing_paused:
                trip.timer = self.clock.at(trip.write_by, partial(self.too_late, wire))
            found = await answer
        except BaseException:
            wire.on_response = wire.on_error = None
            trip.written = trip.written and not wire.writing_paused
            trip.close()
            raise
        wire.on_response = wire.on_error = None
        trip.disarm()
        connection, trip.connection = trip.connection, None
        if connection is not None:
            if REST_MS and not wire.should_close:
                self.loop.call_later(REST_MS / 1000.0, self.keep, card, connection, wire)
            else:
                self.keep(card, connection, wire)
        return found

    def keep(
        self, card: aiohttp.ClientRequest, connection: aiohttp.connector.Connection, wire: PeerConnection
    ) -> None:
        """Not at once: guards the next txn on it, for which a second answer to the last would be taken. Till
        now it came to nobody, and ended the connection."""
        connection.release()
        kept = self.connector._conns.get(card.connection_key)
        if kept and kept[-1][0] is wire:
            kept.rotate(1)  # the last used is used next: the longer one lies, the likelier it is dead

    def too_late(self, wire: PeerConnection) -> None:
        """Guards the window of a repeat: its worker reads slowly, and a part of it is still here."""
        if wire.writing_paused:
            wire.spoil(WriteDeadlineError())

    async def close(self) -> None:
        await self.connector.close()


def no_need() -> None: ...


def settle(future: asyncio.Future[RawResponse], answer: RawResponse) -> None:
    if not future.done():
        future.set_result(answer)


def fail(future: asyncio.Future[RawResponse], error: BaseException) -> None:
    if not future.done():
        future.set_exception(error)
