"""Complete responses to clients, each written to the transport in a single call."""

from __future__ import annotations

from typing import Protocol, cast

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse


class LastResponseConnection(Protocol):
    """A connection that can be closed gracefully after its last response."""

    def send_last_response(self, response: bytes) -> None:
        """Writes the response and half-closes the connection; nothing more is read or written."""


class CompleteResponse(StreamResponse):
    """A response with a complete body and only the necessary headers.

    Args:
        status: HTTP status.
        body: The complete body.
        header_lines: Additional headers, each terminated by CRLF.
    """

    def __init__(self, status: int, body: bytes = b"", header_lines: str = "") -> None:
        super().__init__(status=status)
        self._complete_body = body
        self._header_lines = header_lines

    async def prepare(self, request: BaseRequest) -> None:
        """Writes head and body; called by aiohttp.

        Raises:
            ConnectionResetError: The client has disconnected.
        """
        transport = request.transport
        if transport is None:
            raise ConnectionResetError("client disconnected before the response was written")
        self._keep_alive = self._keep_alive is None and request.keep_alive
        head_end = "\r\n" if self._keep_alive else "Connection: close\r\n\r\n"
        body = self._complete_body
        head = f"HTTP/1.1 {self.status} {self.reason}\r\nContent-Length: {len(body)}\r\n"
        message = f"{head}{self._header_lines}{head_end}".encode("utf-8", "surrogateescape") + body
        self._complete_body = b""  # aiohttp keeps the response until the connection's next request
        if self._keep_alive:
            transport.write(message)
        else:
            cast(LastResponseConnection, request.protocol).send_last_response(message)

    async def write_eof(self, data: bytes = b"") -> None:
        """Does nothing, as `prepare` has written the whole response."""
