"""An endpoint that answers at once, as a process of its own.

Usage: python -m tests.flood_endpoint BODY_BYTES. Prints its address; serves until its standard input ends.

In the process of a test the endpoint would share the test's event loop, and its own queue would count as a
delay of the gateway.
"""

from __future__ import annotations

import asyncio
import re
import sys

from tests.scripted_server import http_response

BACKLOG = 1024
HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: (\d+)")


class FloodEndpoint(asyncio.Protocol):
    """One connection; each request gets the same response."""

    def __init__(self, response: bytes) -> None:
        self._response = response
        self._received = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answers the requests that are complete."""
        assert self._transport is not None
        self._received += data
        while request_bytes := self._first_request_bytes():
            self._received = self._received[request_bytes:]
            self._transport.write(self._response)

    def _first_request_bytes(self) -> int:
        """Returns the length of the first request; 0 if it is incomplete."""
        head_end = self._received.find(HEAD_END)
        if head_end < 0:
            return 0
        length = CONTENT_LENGTH.search(self._received, 0, head_end + len(HEAD_END))
        request_bytes = head_end + len(HEAD_END) + (int(length[1]) if length else 0)
        return request_bytes if len(self._received) >= request_bytes else 0


async def main() -> None:
    """Serves until standard input ends."""
    response = http_response(int(sys.argv[1]) * b"x")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: FloodEndpoint(response), "127.0.0.1", 0, backlog=BACKLOG)
    print("{}:{}".format(*server.sockets[0].getsockname()), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(main())
