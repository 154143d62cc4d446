"""The connections to one kind of peer, kept alive and used by one exchange at a time.

Built on aiohttp's connector and parser, without its session. That tells neither whether a request was
written nor when a cancelled request's connection is closed, and may send a request twice. Here the bytes go
out as they are given, once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from math import inf
from typing import Any

import aiohttp
from yarl import URL

from drumgw.gateway.clock import StallAwareClock, Timer
from drumgw.gateway.peer_connection import Exchange, PeerConnection, do_nothing
from drumgw.gateway.peer_errors import WriteDeadlineError
from drumgw.gateway.process_config import MAX_BODY_BYTES
from drumgw.gateway.response_framing import RawResponse

REUSE_DELAY_MS = 10.0
"""How long a connection rests after a response before it is used again: bytes that a peer sends beyond its
response come some milliseconds late."""


class ConnectionPool:
    """The connections to one kind of peer.

    Attributes:
        connections: Those that are open.
        before_write: Called before the first byte of each exchange; it may close that exchange.
        max_connections: How many connections may be open.
        connector: aiohttp's connector, which opens connections and keeps them alive.
    """

    def __init__(
        self,
        max_connections: int,
        keep_alive_ms: float,
        connect_timeout_ms: float | None,
        clock: StallAwareClock,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """With a `keep_alive_ms` of 0 no time is known for which a connection is safe to keep: none is kept.

        `connect_timeout_ms` also bounds the rest of a response that has begun; None bounds neither.
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
            PeerConnection, self.loop, self.connections, max_body_bytes, self._start_response_timer
        )

    def peer(self, address: str, owner: str | None = None) -> aiohttp.ClientRequest:
        """What the connector knows a peer by.

        Args:
            address: host:port.
            owner: Whose connections these are; another owner at the same address gets none of them.
        """
        return aiohttp.ClientRequest("GET", URL(f"http://{address}"), loop=self.loop, server_hostname=owner)

    async def connect(
        self, peer: aiohttp.ClientRequest
    ) -> tuple[aiohttp.connector.Connection, PeerConnection]:
        """A kept connection to the peer, or a new one.

        Raises:
            CONNECTION_ERRORS: No connection came up.
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
        """Closes the kept connections to a peer: it has gone, or descriptors are short."""
        for connection, _ in self.connector._conns.pop(key, ()):  # type: ignore[call-overload]
            connection.close()

    async def send(self, peer: aiohttp.ClientRequest, request: bytes, exchange: Exchange) -> RawResponse:
        """Sends a request once and waits for its response.

        Where it raises or is cancelled the connection is closed, and `exchange.written` says whether the
        request may have run.

        Raises:
            CONNECTION_ERRORS: No connection, it broke, or what came is no response.
            WriteDeadlineError: The last byte would have left after `exchange.write_by_ms`.
        """
        exchange.connection, connection = await self.connect(peer)
        self.before_write()
        exchange.before_write()
        if exchange.connection is None:  # a hook closed it
            raise asyncio.CancelledError
        try:
            response = await self._write(connection, request, exchange)
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
        """Closes all connections."""
        await self.connector.close()

    def _write(
        self, connection: PeerConnection, request: bytes, exchange: Exchange
    ) -> asyncio.Future[RawResponse]:
        if not connection.is_usable():  # what is written on it would vanish
            raise aiohttp.ServerDisconnectedError
        if self.clock.now() >= exchange.write_by_ms:
            raise WriteDeadlineError
        response: asyncio.Future[RawResponse] = self.loop.create_future()
        connection.on_response = partial(_set_result, response)
        connection.on_error = partial(_set_exception, response)
        connection.send_request(request)
        if not connection.is_usable():  # the system did not take it
            raise aiohttp.ServerDisconnectedError
        exchange.written = True
        if exchange.write_by_ms < inf and connection.writing_paused:
            exchange.timer = self.clock.call_at(exchange.write_by_ms, partial(self._stop_writing, connection))
        return response

    def _stop_writing(self, connection: PeerConnection) -> None:
        """Guards the idempotency window of a retry.

        An endpoint that reads slowly would get the last byte after it has forgotten the first attempt, and
        would run the request twice. While a part of the request is still here, it has not run.
        """
        if connection.writing_paused:
            connection.abort_with(WriteDeadlineError())

    def _release_later(
        self, peer: aiohttp.ClientRequest, handle: aiohttp.connector.Connection, connection: PeerConnection
    ) -> None:
        """Guards the next request: a second response to the last one would be taken for its own.

        Until the connection is released nobody waits for a response on it, and one that comes ends it.
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
            kept.rotate(1)  # the last used is used next: the longer one is kept, the likelier it is dead

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
