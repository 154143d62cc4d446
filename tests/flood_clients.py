"""Clients that send more than a gateway can accept, at full speed, as a process of its own.

Usage: python -m tests.flood_clients HOST PORT FLOOD CONNECTIONS SECONDS. Each client opens a new connection
as soon as its last one has ended. At the end the process prints how often each status was received.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import sys
import time
from collections import Counter
from collections.abc import Iterator
from enum import Enum

BLOCK_BYTES = 64 * 1024
BODY_BYTES = 60_000_000
PATIENCE_S = 3.0
"""How long a client waits for a response or a close once it cannot send."""
CONNECT_RETRY_S = 0.05


class Flood(Enum):
    """What a client sends."""

    REQUEST_LINE = "a request line that never ends"
    EMPTY_LINES = "a request, and then empty lines without end"
    HEADER = "one header that never ends"
    HEADERS = "a head with ever more headers"
    BODY = "a body of 60 MB"
    CHUNKS = "a chunked body that never ends"
    SMALL_CHUNKS = "a chunked body of 1-byte chunks that never ends"
    CHUNK_EXTENSION = "a chunk extension that never ends"
    TRAILERS = "a chunked body with ever more trailers"
    PIPELINE = "pipelined requests without end"
    LARGE_PIPELINE = "pipelined requests with large bodies without end"
    UNREAD_PIPELINE = "pipelined requests without end, whose responses are not read"
    PARTIAL_HEAD = "most of a large head, and then nothing"
    PARTIAL_BODY = "most of a large body, and then nothing"
    FIELDS_AND_HALF_BODY = "a head of very many short fields and half of a large body, and then nothing"
    NEW_CUSTOMERS = "pipelined valid requests, each of another customer, without end"
    UNSOUND_NEW_CUSTOMERS = "pipelined requests, each of another customer and not valid, without end"
    ANSWERED_NEW_CUSTOMERS = "the same, but only a few more before all responses have come"
    REFUSED_NEW_CUSTOMERS = "the same, with so little time left that each is refused at once"
    LARGE_UNREAD = "one request with a large response that is not read"


ANSWERED_FLOODS = (Flood.ANSWERED_NEW_CUSTOMERS, Flood.REFUSED_NEW_CUSTOMERS)
"""Those whose client waits for the responses to a block before it sends the next one."""

USUAL_HEADERS = b"Host: svc\r\nPlan: p\r\nRequest-Timeout: 2500m\r\nQuota-Info: units=1,spread=1,first=0\r\n"
GET_LINE = b"GET /a?account=00000000b4d65521 HTTP/1.1\r\n"
POST_HEAD = b"POST /b?account=00000000b4d65521 HTTP/1.1\r\n" + USUAL_HEADERS
LARGE_HEADER = b"X-Note-%d: " + 8000 * b"y" + b"\r\n"
HEADERS_PER_BLOCK = 8
PARTIAL_HEAD_HEADERS = 100
LARGE_BODY_BYTES = 60_000
SHORT_FIELDS = 120
PIPELINED_PER_BLOCK = 200
ANSWERED_PER_BLOCK = 50
LITTLE_TIME_HEADERS = USUAL_HEADERS.replace(b"2500m", b"1m")

STATUS_LINE_START = b"HTTP/1.1 "
SHORT_FIELD = b"X-%d: %d\r\n"
CUSTOMER_LINE = b"GET /a?account=%016x HTTP/1.1\r\n"

_request_numbers = itertools.count()


def _request(head: bytes, body_bytes: int = 0) -> bytes:
    request_id = b"Request-Id: f%x-%x\r\n" % (os.getpid(), next(_request_numbers))
    length = b"Content-Length: %d\r\n" % body_bytes if body_bytes else b""
    return head + request_id + length + b"\r\n" + body_bytes * b"y"


def _next_customer() -> bytes:
    return CUSTOMER_LINE % next(_request_numbers)


def blocks(flood: Flood) -> Iterator[bytes]:
    """Yields what one connection sends, in order; without end unless the client stops halfway."""
    numbers = itertools.count()
    endless_headers = (
        b"".join(LARGE_HEADER % next(numbers) for _ in range(HEADERS_PER_BLOCK)) for _ in itertools.count()
    )
    filler = BLOCK_BYTES * b"y"
    chunked_head = _request(POST_HEAD + b"Transfer-Encoding: chunked\r\n")
    if flood is Flood.REQUEST_LINE:
        yield b"GET /a?account="
        yield from itertools.repeat(filler)
    elif flood is Flood.EMPTY_LINES:
        yield _request(GET_LINE + USUAL_HEADERS)
        yield from itertools.repeat((BLOCK_BYTES // 2) * b"\r\n")
    elif flood is Flood.HEADER:
        yield GET_LINE + b"X-Note: "
        yield from itertools.repeat(filler)
    elif flood is Flood.HEADERS:
        yield GET_LINE + USUAL_HEADERS
        yield from endless_headers
    elif flood is Flood.BODY:
        yield _request(POST_HEAD + b"Content-Length: %d\r\n" % BODY_BYTES)
        yield from itertools.repeat(filler, BODY_BYTES // BLOCK_BYTES)
    elif flood is Flood.CHUNKS:
        yield chunked_head
        yield from itertools.repeat(b"%x\r\n%b\r\n" % (len(filler), filler))
    elif flood is Flood.SMALL_CHUNKS:
        yield chunked_head
        yield from itertools.repeat(10_000 * b"1\r\ny\r\n")
    elif flood is Flood.CHUNK_EXTENSION:
        yield chunked_head + b"1;"
        yield from itertools.repeat(filler)
    elif flood is Flood.TRAILERS:
        yield chunked_head + b"1\r\ny\r\n0\r\n"
        yield from endless_headers
    elif flood in (Flood.PIPELINE, Flood.UNREAD_PIPELINE):
        while True:
            yield b"".join(_request(GET_LINE + USUAL_HEADERS) for _ in range(PIPELINED_PER_BLOCK))
    elif flood is Flood.LARGE_PIPELINE:
        while True:
            yield _request(POST_HEAD, LARGE_BODY_BYTES)
    elif flood is Flood.NEW_CUSTOMERS:
        while True:
            yield b"".join(_request(_next_customer() + USUAL_HEADERS) for _ in range(PIPELINED_PER_BLOCK))
    elif flood in ANSWERED_FLOODS:
        headers = LITTLE_TIME_HEADERS if flood is Flood.REFUSED_NEW_CUSTOMERS else USUAL_HEADERS
        while True:
            yield b"".join(_request(_next_customer() + headers) for _ in range(ANSWERED_PER_BLOCK))
    elif flood is Flood.UNSOUND_NEW_CUSTOMERS:
        while True:
            yield _request(_next_customer() + USUAL_HEADERS.replace(b"Plan: p", b"Plan: unknown"))
    elif flood is Flood.LARGE_UNREAD:
        yield _request(GET_LINE + USUAL_HEADERS)
    elif flood is Flood.FIELDS_AND_HALF_BODY:
        fields = b"".join(SHORT_FIELD % (number, number) for number in range(SHORT_FIELDS))
        yield _request(POST_HEAD + fields, LARGE_BODY_BYTES)[: -LARGE_BODY_BYTES // 2]
    elif flood is Flood.PARTIAL_HEAD:
        yield GET_LINE + USUAL_HEADERS
        yield b"".join(LARGE_HEADER % next(numbers) for _ in range(PARTIAL_HEAD_HEADERS))
    elif flood is Flood.PARTIAL_BODY:
        yield _request(POST_HEAD, LARGE_BODY_BYTES)[:-1]


class FloodingClient(asyncio.Protocol):
    """One connection; it ends with a response that closes it, an error or a close.

    Attributes:
        ended: Done once the connection has ended; holds the last status, "reset" or "close".
    """

    def __init__(self, flood: Flood) -> None:
        self.ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._flood = flood
        self._transport: asyncio.Transport | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._missing_responses = 0
        self._has_all_responses = asyncio.Event()
        self._last_bytes = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stops reading if the responses are not to be read."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._flood in (Flood.UNREAD_PIPELINE, Flood.LARGE_UNREAD):
            transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Counts the responses, and ends on one that closes the connection."""
        received = self._last_bytes + data
        self._missing_responses -= received.count(STATUS_LINE_START)
        self._last_bytes = received[1 - len(STATUS_LINE_START) :]
        if self._missing_responses <= 0:
            self._has_all_responses.set()
        if b"Connection: close" in data:
            self._end(data[data.rindex(b"HTTP/1.1 ") + 9 :][:3].decode("latin-1"))

    def eof_received(self) -> bool:
        """Ends on a close."""
        self._end("close")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends on a reset."""
        self._end("reset" if exc else "close")

    def pause_writing(self) -> None:
        """Stops sending while the gateway does not read."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Goes on sending."""
        self._can_write.set()

    def _end(self, how: str) -> None:
        if not self.ended.done():
            self.ended.set_result(how)
        self._can_write.set()
        self._has_all_responses.set()

    async def _wait_for_responses(self) -> None:
        if self._flood not in ANSWERED_FLOODS:
            return
        self._missing_responses += ANSWERED_PER_BLOCK
        self._has_all_responses.clear()
        if self._missing_responses > 0:
            await self._has_all_responses.wait()

    async def run(self, end_s: float) -> str:
        """Sends until the connection or the time ends; returns how it ended."""
        transport = self._transport
        assert transport is not None
        try:
            for block in blocks(self._flood):
                transport.write(block)
                async with asyncio.timeout(PATIENCE_S):
                    await self._can_write.wait()
                    await self._wait_for_responses()
                await asyncio.sleep(0)
                if self.ended.done():
                    break
                if time.monotonic() > end_s:
                    self._end("sending")
            async with asyncio.timeout(PATIENCE_S):
                await self.ended
        except TimeoutError:
            self._end("nothing")
        finally:
            if not self.ended.done():
                self._end("cancelled")
            transport.abort()
        return self.ended.result()


async def _repeat(host: str, port: int, flood: Flood, end_s: float, endings: Counter[str]) -> None:
    loop = asyncio.get_running_loop()
    while time.monotonic() < end_s:
        try:
            _, client = await loop.create_connection(lambda: FloodingClient(flood), host, port)
        except OSError:
            endings["no connection"] += 1
            await asyncio.sleep(CONNECT_RETRY_S)
            continue
        endings[await client.run(end_s)] += 1


async def main() -> None:
    """Runs the clients until the time is over."""
    host, port, flood = sys.argv[1], int(sys.argv[2]), Flood[sys.argv[3]]
    connections, seconds = int(sys.argv[4]), float(sys.argv[5])
    end_s = time.monotonic() + seconds
    endings: Counter[str] = Counter()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds + PATIENCE_S):
            await asyncio.gather(*(_repeat(host, port, flood, end_s, endings) for _ in range(connections)))
    print(dict(endings), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
