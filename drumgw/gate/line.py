"""Connections kept and used by one exchange at a time: aiohttp's connector and parser, without its session.

Its session costs twice this in CPU and tells neither whether a request was written nor when a cancelled one's
connection is closed; the bytes go out as they are given, and nothing is ever sent twice.
"""
from __future__ import annotations

import asyncio

import aiohttp
from aiohttp.http import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from yarl import URL

BROKEN = (aiohttp.ClientError, HttpProcessingError, aiohttp.EofStream, OSError, TimeoutError)


class Trip:
    """An exchange under way. It can be given up at any time; its connection is then closed at once."""

    __slots__ = ("connection", "written")

    def __init__(self) -> None:
        self.connection: aiohttp.connector.Connection | None = None
        self.written = False        # whole, as far as we know: from then on it may have run

    def close(self) -> None:
        connection, self.connection = self.connection, None
        if connection is None:
            return
        transport = connection.transport
        if transport is not None:
            self.written = self.written and not transport.get_write_buffer_size()
            transport.abort()
        connection.close()


class Lines:
    """The connections to one kind of peer: so many at most, none kept idle for longer than told."""

    def __init__(self, most: int, idle_ms: float, connect_ms: float | None) -> None:
        seconds = connect_ms / 1000.0 if connect_ms else None
        self.loop = asyncio.get_running_loop()
        self.patience = aiohttp.ClientTimeout(total=None, connect=seconds, sock_connect=seconds)
        self.connector = aiohttp.TCPConnector(
            limit=most, keepalive_timeout=idle_ms / 1000.0, force_close=not idle_ms, use_dns_cache=False)

    def card(self, address: str) -> aiohttp.ClientRequest:
        """What the connector knows a peer by."""
        return aiohttp.ClientRequest("GET", URL(f"http://{address}"), loop=self.loop)

    async def connect(self, card: aiohttp.ClientRequest) -> aiohttp.connector.Connection:
        return await self.connector.connect(card, [], self.patience)

    async def ask(self, card: aiohttp.ClientRequest, request: bytes, trip: Trip
                  ) -> tuple[RawResponseMessage, bytes]:
        """The whole answer. Where it raises or is cancelled, the connection is closed."""
        trip.connection = connection = await self.connect(card)
        protocol = connection.protocol
        try:
            if protocol is None or protocol.transport is None:
                raise aiohttp.ServerDisconnectedError
            protocol.set_response_params(auto_decompress=False, read_until_eof=True)
            protocol.transport.write(request)
            trip.written = True
            message, payload = await protocol.read()
            while message.code < 200:       # an interim answer
                message, payload = await protocol.read()
            body = await payload.read()
        except BaseException:
            trip.close()
            raise
        trip.connection = None
        connection.release()
        return message, body

    async def close(self) -> None:
        await self.connector.close()
