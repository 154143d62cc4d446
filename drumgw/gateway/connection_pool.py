"""A pool of keep-alive connections to one kind of peer; each carries one exchange at a time.

Built on aiohttp's connector and parser, without `aiohttp.ClientSession`. The session reports neither whether
a request was written nor when the connection of a cancelled request is closed, and it may send a request
twice.
The pool writes the given bytes unchanged, at most once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from math import inf
from typing import Any

import aiohttp
from yarl import URL

from drumgw.gateway.bounded_reader import read_buffer
from drumgw.gateway.clock import StallAwareClock, Timer
from drumgw.gateway.exchange import Exchange, do_nothing
from drumgw.gateway.peer_connection import READ_BYTES, PeerConnection
from drumgw.gateway.peer_errors import WriteDeadlineError
from drumgw.gateway.process_config import MAX_BODY_BYTES
from drumgw.gateway.response_framing import RawResponse
from drumgw.gateway.turn_scheduler import TurnScheduler

REUSE_DELAY_MS = 10.0
"""How long a connection stays unused after a response: surplus bytes that a peer sends after its response
arrive some milliseconds later."""


class ConnectionPool:
    """Connections to one kind of peer: the endpoints, the shared counter or discovery.

    Attributes:
        connections: The open connections.
        before_write: Called before the first byte of each exchange; it may close that exchange.
        max_connections: How many connections may be open.
        connector: The aiohttp connector that opens connections and keeps them alive.
    """

    def __init__(
        self,
        max_connections: int,
        keep_alive_ms: float,
        connect_timeout_ms: float | None,
        clock: StallAwareClock,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Creates the pool without opening a connection.

        Args:
            max_connections: How many connections may be open.
            keep_alive_ms: How long an unused connection is kept. 0 means that no safe time is known: each
                connection is closed after its exchange.
            connect_timeout_ms: Limits connecting, and also the time from the first byte of a response to its
                last. None limits neither.
            clock: The clock for deadlines and timers.
            max_body_bytes: Longest body of a response.
        """
        self.loop = clock.loop
        self.clock = clock
        self.max_connections = max_connections
        self.before_write: Callable[[], None] = do_nothing
        self.connections: set[PeerConnection] = set()
        self._connect_timeout_ms = connect_timeout_ms
        timeout_s = connect_timeout_ms / 1000.0 if connect_timeout_ms else None
        self._timeout = aiohttp.ClientTimeout(total=None, connect=timeout_s, sock_connect=timeout_s)
        reuse: dict[str, Any] = {"force_close": True}
        if keep_alive_ms:
            reuse = {"keepalive_timeout": keep_alive_ms / 1000.0}
        self.connector = aiohttp.TCPConnector(limit=max_connections, use_dns_cache=False, **reuse)
        self.connector._factory = partial(  # type: ignore[assignment]
            PeerConnection,
            self.loop,
            self.connections,
            max_body_bytes,
            self._start_response_timer,
            TurnScheduler(self.loop),
            read_buffer(READ_BYTES),
        )

    def peer(self, address: str, owner: str | None = None) -> aiohttp.ClientRequest:
        """Returns the request object by which the connector identifies a peer; it is never sent.

        Args:
            address: host:port.
            owner: Separates connections to the same address: they are reused only for the same owner.
        """
        return aiohttp.ClientRequest("GET", URL(f"http://{address}"), loop=self.loop, server_hostname=owner)

    async def connect(
        self, peer: aiohttp.ClientRequest
    ) -> tuple[aiohttp.connector.Connection, PeerConnection]:
        """Returns a kept connection to the peer, or opens a new one.

        Raises:
            CONNECTION_ERRORS: No connection could be established.
        """
        is_full = len(self.connections) >= self.max_connections
        if is_full and peer.connection_key not in self.connector._conns:
            self.close_idle(next(iter(self.connector._conns), None))
        handle = await self.connector.connect(peer, [], self._timeout)
        connection = handle.protocol
        if not isinstance(connection, PeerConnection) or connection.transport is None:
            handle.close()
            raise aiohttp.ServerDisconnectedError
        return handle, connection

    def close_idle(self, key: object) -> None:
        """Closes the unused connections to a peer that was removed, or to free room for other peers."""
        for connection, _ in self.connector._conns.pop(key, ()):  # type: ignore[call-overload]
            connection.close()

    async def send(
        self, peer: aiohttp.ClientRequest, request_at: Callable[[float], bytes], exchange: Exchange
    ) -> RawResponse:
        """Sends a request at most once and waits for its response.

        If it raises or is cancelled, the connection is closed and `exchange.written` shows whether the peer
        may have processed the request.

        Args:
            peer: The peer.
            request_at: Returns the request that is written at a given time. Called once the connection is
                open, which may take as long as the connect timeout.
            exchange: Controls the exchange while it lasts.

        Raises:
            CONNECTION_ERRORS: Connecting failed, the connection broke or the response is malformed.
            WriteDeadlineError: The last byte would have been sent after `exchange.write_deadline_ms`, or
                `request_at` has raised it.
        """
        exchange.connection, connection = await self.connect(peer)
        self.before_write()
        exchange.before_write()
        if exchange.connection is None:  # closed by one of the two callbacks
            raise asyncio.CancelledError
        try:
            response = await self._write(connection, request_at, exchange)
        except BaseException:
            connection.on_response = connection.on_error = None
            exchange.written = exchange.written and not connection.writing_paused
            exchange.close()
            raise
        connection.on_response = connection.on_error = None
        exchange.cancel_timer()
        handle = exchange.connection
        exchange.connection = None
        if handle is not None:
            self._release_later(peer, handle, connection)
        return response

    async def close(self) -> None:
        """Closes all connections, also those in use."""
        await self.connector.close()

    def _write(
        self, connection: PeerConnection, request_at: Callable[[float], bytes], exchange: Exchange
    ) -> asyncio.Future[RawResponse]:
        if not connection.is_usable():  # the transport would drop the request
            raise aiohttp.ServerDisconnectedError
        now_ms = self.clock.now()
        if now_ms >= exchange.write_deadline_ms:
            raise WriteDeadlineError
        request = request_at(now_ms)
        response: asyncio.Future[RawResponse] = self.loop.create_future()
        connection.on_response = partial(_set_result, response)
        connection.on_error = partial(_set_exception, response)
        connection.send_request(request)
        if not connection.is_usable():  # the write failed and closed the transport
            raise aiohttp.ServerDisconnectedError
        exchange.written = True
        if exchange.write_deadline_ms < inf and connection.writing_paused:
            exchange.timer = self.clock.call_at(
                exchange.write_deadline_ms, partial(self._stop_writing, connection)
            )
        return response

    def _stop_writing(self, connection: PeerConnection) -> None:
        """Aborts a request that is not fully sent by its write deadline.

        The deadline is the end of a retry's idempotency window. An endpoint that reads slowly would receive
        the last byte after it has discarded the first attempt's idempotency key, and would process the
        request twice. While part of the request is still buffered here, it cannot have been processed.
        """
        if connection.writing_paused:
            connection.abort_with(WriteDeadlineError())

    def _release_later(
        self, peer: aiohttp.ClientRequest, handle: aiohttp.connector.Connection, connection: PeerConnection
    ) -> None:
        """Returns a connection to the connector after `REUSE_DELAY_MS`.

        A second response to the last request would otherwise be taken for the response to the next one. Until
        the connection is released no response is expected on it, and one that arrives closes it.
        """
        if REUSE_DELAY_MS and not connection.should_close:
            self.loop.call_later(REUSE_DELAY_MS / 1000.0, self._release, peer, handle, connection)
        else:
            self._release(peer, handle, connection)

    def _release(
        self, peer: aiohttp.ClientRequest, handle: aiohttp.connector.Connection, connection: PeerConnection
    ) -> None:
        handle.release()
        kept = self.connector._conns.get(peer.connection_key)
        if kept and kept[-1][0] is connection:
            kept.rotate(1)  # reuse the most recently used one first: it is the least likely to be broken

    def _start_response_timer(self, on_timeout: Callable[[], None]) -> Timer | None:
        if not self._connect_timeout_ms:
            return None
        return self.clock.call_at(self.clock.now() + self._connect_timeout_ms, on_timeout)


def _set_result(future: asyncio.Future[RawResponse], response: RawResponse) -> None:
    if not future.done():
        future.set_result(response)


def _set_exception(future: asyncio.Future[RawResponse], error: BaseException) -> None:
    if not future.done():
        future.set_exception(error)
