"""Splits a peer's byte stream into HTTP responses, and enforces size limits.

aiohttp's parser reads heads and chunked bodies; bodies with a length are framed here. aiohttp's client
connection is not used because it reads bodies of any size, loses a valid response that is directly followed
by stray bytes, and keeps unsolicited bytes as the next response.

Parsing has two states: while `message` is None, a head is expected, and afterwards its body. A body ends
after `Content-Length` bytes, with its last chunk, or, if it has neither, when the connection ends.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import aiohttp
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError, HttpResponseParser
from aiohttp.http_parser import RawResponseMessage

from drumgw.gateway.http_headers import HEAD_END
from drumgw.gateway.peer_errors import MalformedResponseError
from drumgw.gateway.process_config import MAX_HEAD_BYTES

HEAD_START = b"HTTP/1."
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)
CHUNK_BUFFER_FACTOR = 64
"""Limit on aiohttp's buffer for a chunked body, in multiples of the maximum body size.

It exceeds what a single read returns, so aiohttp never pauses the connection."""
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
"""Starts a parser that only decodes the chunks of a body."""
MAX_TRAILERS = 16
MAX_TRAILER_BYTES = MAX_HEAD_BYTES // MAX_TRAILERS
"""Largest trailer. aiohttp keeps all trailers of a chunked body."""


class RawResponse(NamedTuple):
    """A completely received response."""

    message: RawResponseMessage
    """The head as parsed by aiohttp."""
    body: bytes


class ResponseFramer:
    """Frames the responses on one connection.

    Attributes:
        message: The head of the response whose body is being read; None between responses.
        reusable: Whether the connection may carry further responses.
    """

    def __init__(self, protocol: BaseProtocol, loop: asyncio.AbstractEventLoop, max_body_bytes: int) -> None:
        self.message: RawResponseMessage | None = None
        self.reusable = True
        self._protocol: BaseProtocol | None = protocol  # None once closed
        self._loop = loop
        self._max_body_bytes = max_body_bytes
        self._buffer = b""  # size limited to one head and one body
        self._body_length: int | None = 0  # None: until the connection ends, or chunked
        self._chunk_parser: HttpResponseParser | None = None
        self._chunked_body: aiohttp.StreamReader | None = None
        self._decoded_body = bytearray()  # of a chunked body
        self._head_parser: HttpResponseParser | None = HttpResponseParser(  # None once closed
            protocol, loop, max_body_bytes, response_with_body=False, auto_decompress=False
        )

    @property
    def has_data(self) -> bool:
        """Whether received bytes are waiting to be parsed."""
        return bool(self._buffer)

    @property
    def is_within_response(self) -> bool:
        """Whether a response has been received in part."""
        return bool(self._buffer) or self.message is not None

    def feed(self, data: bytes) -> None:
        """Adds received bytes to the buffer."""
        self._buffer = self._buffer + data if self._buffer else data

    def next_response(self) -> RawResponse | None:
        """Parses the next response from the buffer.

        Returns:
            The response; None if more bytes are needed.

        Raises:
            MalformedResponseError: The bytes are not an HTTP response, or it exceeds a size limit.
            HttpProcessingError: aiohttp's parser rejects the response.
        """
        while self._buffer:
            if self.message is None:
                if not self._read_head():
                    return None
                if self.message is not None and self._body_length == 0:
                    return self._complete(b"")
            elif self._chunk_parser is not None and self._chunked_body is not None:
                return self._read_chunks(self._chunk_parser, self._chunked_body)
            else:
                return self._read_body()
        return None

    def end_of_stream(self) -> RawResponse | None:
        """Handles the end of the peer's stream; returns the response that it completes, if any."""
        if self.message is None or self._body_length is not None or self._chunk_parser is not None:
            return None
        body = self._buffer
        self._buffer = b""
        return self._complete(body)

    def discard(self) -> None:
        """Discards what was received of an incomplete response."""
        self._buffer = b""
        self._end_response()

    def close(self) -> None:
        """Frees everything, also the parsers: they refer to the connection, which refers to the framer."""
        self.discard()
        self._protocol = None
        self._head_parser = None

    def _read_head(self) -> bool:
        end = self._buffer.find(HEAD_END) + len(HEAD_END)
        if end < len(HEAD_END):
            too_long = len(self._buffer) > MAX_HEAD_BYTES
            if too_long or not HEAD_START.startswith(self._buffer[: len(HEAD_START)]):
                raise MalformedResponseError("response head is too long or not HTTP/1.x")
            return False
        head = self._buffer[:end]
        self._buffer = self._buffer[end:]
        assert self._head_parser is not None
        messages, upgraded, _ = self._head_parser.feed_data(head)
        if len(messages) != 1 or upgraded:
            raise MalformedResponseError("response head is invalid or switches protocols")
        message = messages[0][0]
        if message.code == SWITCHING_PROTOCOLS:
            raise MalformedResponseError("response switches protocols (101)")
        if message.code >= FIRST_FINAL_STATUS:  # a 1xx response precedes the final response
            self._begin_body(message)
        return True

    def _begin_body(self, message: RawResponseMessage) -> None:
        declared = message.headers.get("Content-Length")
        self.message = message
        self._body_length = int(declared) if declared else None
        if message.code in STATUSES_WITHOUT_BODY:
            self._body_length = 0
        elif message.chunked:
            assert self._protocol is not None
            self._chunk_parser = HttpResponseParser(
                self._protocol,
                self._loop,
                CHUNK_BUFFER_FACTOR * self._max_body_bytes,
                max_field_size=MAX_TRAILER_BYTES,
                max_headers=MAX_TRAILERS,
                auto_decompress=False,
            )
            self._chunked_body = self._chunk_parser.feed_data(CHUNKED_HEAD)[0][0][1]
        elif (
            self._body_length is None
            and not message.should_close
            or (self._body_length or 0) > self._max_body_bytes
        ):
            raise MalformedResponseError(f"body is unbounded or too large: Content-Length {declared}")
        ends_with_connection = self._body_length is None and self._chunk_parser is None
        if message.should_close or ends_with_connection:
            self.reusable = False

    def _read_body(self) -> RawResponse | None:
        if self._body_length is None or len(self._buffer) < self._body_length:
            if len(self._buffer) > self._max_body_bytes:
                raise MalformedResponseError("response body exceeds the size limit")
            return None
        body = self._buffer[: self._body_length]
        self._buffer = self._buffer[self._body_length :]
        return self._complete(body)

    def _read_chunks(
        self, parser: HttpResponseParser, chunked_body: aiohttp.StreamReader
    ) -> RawResponse | None:
        data = self._buffer
        self._buffer = b""
        try:
            parser.feed_data(data)
        except HttpProcessingError:
            if not chunked_body.is_eof():
                raise
            self.reusable = False  # stray bytes after the last chunk; the response itself is valid
        if chunked_body.total_bytes > self._max_body_bytes:
            raise MalformedResponseError("chunked response body exceeds the size limit")
        # Taken out after each read: aiohttp keeps the position of every chunk until its bytes are taken.
        self._decoded_body += chunked_body.read_nowait()
        if not chunked_body.is_eof():
            return None
        return self._complete(bytes(self._decoded_body))

    def _complete(self, body: bytes) -> RawResponse:
        message = self.message
        assert message is not None
        self._end_response()
        return RawResponse(message, body)

    def _end_response(self) -> None:
        self.message = None
        self._chunk_parser = None
        self._chunked_body = None
        self._decoded_body = bytearray()
