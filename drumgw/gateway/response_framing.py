"""Splits a peer's byte stream into HTTP responses, and enforces size limits.

aiohttp's parser reads heads and chunked bodies; bodies with a length are framed here. aiohttp's client
connection is not used because it reads bodies of any size, loses a valid response that is directly followed
by stray bytes, and keeps unsolicited bytes as the next response.

Parsing has two states: while `message` is None, a head is expected, and afterwards its body. A body ends
after `Content-Length` bytes, with its last chunk, or, if it has neither, when the connection ends. Any number
of 1xx heads may come before the final one.

Whatever a peer sends, each byte costs constant time, and each part of a response has a limit: the 1xx heads
together, the final head, the body, and the framing of a chunked body.
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
from drumgw.gateway.process_config import MAX_FRAMING_BYTES, MAX_HEAD_BYTES

HEAD_START = b"HTTP/1."
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)
CHUNK_BUFFER_FACTOR = 64
"""Limit on aiohttp's buffer for a chunked body, in multiples of the maximum body size.

It exceeds what a single read returns, so aiohttp never pauses the connection."""
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
"""Starts a parser that only decodes the chunks of a body."""
MIN_FRAMING_PER_CHUNK = len(b"1\r\n\r\n")
"""Framing of a chunk of one byte. A body may come in such chunks."""
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
        self._buffer = bytearray()  # size limited to one head and one body
        self._searched_bytes = 0  # of the buffer, which do not hold the end of a head
        self._informational_bytes = 0  # of the 1xx heads before the final one
        self._body_length: int | None = 0  # None: until the connection ends, or chunked
        self._chunked_bytes = 0  # of a chunked body, with its framing
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

    @property
    def missing_body_bytes(self) -> int:
        """How many further bytes need no parsing, as they are part of a body with a length."""
        if self.message is None or self._body_length is None or self._chunk_parser is not None:
            return 0
        return self._body_length - len(self._buffer)

    def feed(self, data: bytes | memoryview) -> None:
        """Adds received bytes to the buffer."""
        self._buffer += data

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
        return self._complete(self._take(len(self._buffer)))

    def discard(self) -> None:
        """Discards what was received of an incomplete response."""
        self._buffer.clear()
        self._end_response()

    def close(self) -> None:
        """Frees everything, also the parsers: they refer to the connection, which refers to the framer."""
        self.discard()
        self._protocol = None
        self._head_parser = None

    def _take(self, byte_count: int) -> bytes:
        """Removes bytes from the start of the buffer. A `bytearray` does so without moving the rest."""
        with memoryview(self._buffer) as view:
            taken = bytes(view[:byte_count])
        del self._buffer[:byte_count]
        self._searched_bytes = 0
        return taken

    def _read_head(self) -> bool:
        """Reads a head, if it is complete; returns whether it was."""
        head_bytes = self._find_head_end()
        if max(head_bytes, self._searched_bytes) > MAX_HEAD_BYTES:
            raise MalformedResponseError("response head is too long")
        if not head_bytes:
            if not HEAD_START.startswith(self._buffer[: len(HEAD_START)]):
                raise MalformedResponseError("response head is not HTTP/1.x")
            return False
        assert self._head_parser is not None
        messages, upgraded, _ = self._head_parser.feed_data(self._take(head_bytes))
        if len(messages) != 1 or upgraded:
            raise MalformedResponseError("response head is invalid or switches protocols")
        message = messages[0][0]
        if message.code == SWITCHING_PROTOCOLS:
            raise MalformedResponseError("response switches protocols (101)")
        if message.code >= FIRST_FINAL_STATUS:
            self._begin_body(message)
        else:
            self._add_informational(head_bytes)
        return True

    def _find_head_end(self) -> int:
        """Returns the length of the head at the start of the buffer; 0 if its end has not come."""
        end = self._buffer.find(HEAD_END, max(0, self._searched_bytes - len(HEAD_END)))
        if end >= 0:
            return end + len(HEAD_END)
        self._searched_bytes = len(self._buffer)
        return 0

    def _add_informational(self, head_bytes: int) -> None:
        """Counts a 1xx head. Nothing else ends a response that consists of them without end."""
        self._informational_bytes += head_bytes
        if self._informational_bytes > MAX_HEAD_BYTES:
            raise MalformedResponseError("too many 1xx heads before the final one")

    def _begin_body(self, message: RawResponseMessage) -> None:
        declared = message.headers.get("Content-Length")
        self.message = message
        self._chunked_bytes = 0
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
        return self._complete(self._take(self._body_length))

    def _read_chunks(
        self, parser: HttpResponseParser, chunked_body: aiohttp.StreamReader
    ) -> RawResponse | None:
        data = self._take(len(self._buffer))
        self._chunked_bytes += len(data)
        try:
            parser.feed_data(data)
        except HttpProcessingError:
            if not chunked_body.is_eof():
                raise
            self.reusable = False  # stray bytes after the last chunk; the response itself is valid
        body_bytes = chunked_body.total_bytes
        if body_bytes > self._max_body_bytes:
            raise MalformedResponseError("chunked response body exceeds the size limit")
        framing_bytes = self._chunked_bytes - body_bytes
        if framing_bytes > MAX_FRAMING_BYTES + MIN_FRAMING_PER_CHUNK * body_bytes:
            raise MalformedResponseError("too much framing of a chunked response body")
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
        self._searched_bytes = 0
        self._informational_bytes = 0
        self._chunk_parser = None
        self._chunked_body = None
        self._decoded_body = bytearray()
