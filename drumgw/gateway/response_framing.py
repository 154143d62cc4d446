"""Cuts the bytes that a peer sends into responses, and bounds them.

aiohttp's parser reads heads and chunked bodies. Bodies with a length are cut here: aiohttp's own client
connection reads bodies of any size, loses a good response when noise comes right behind it, and keeps bytes
that nobody asked for as the next response.

A response is read in two states: while `message` is None its head is awaited, then its body. The body ends at
its `Content-Length`, with its last chunk, or, where it has neither, with the connection.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import aiohttp
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError, HttpResponseParser
from aiohttp.http_parser import RawResponseMessage

from drumgw.gateway.peer_errors import MalformedResponseError
from drumgw.gateway.process_config import MAX_HEAD_BYTES

HEAD_START = b"HTTP/1."
HEAD_END = b"\r\n\r\n"
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)
CHUNK_BUFFER_BODIES = 64
"""What aiohttp may buffer of a chunked body, in largest bodies. It is above what one read brings, so aiohttp
never pauses the connection."""


class RawResponse(NamedTuple):
    """A complete response."""

    message: RawResponseMessage
    """The head, as aiohttp's parser reads it."""
    body: bytes


class ResponseFramer:
    """Reads the responses that come on one connection.

    Attributes:
        message: The head of the response whose body is being read.
        reusable: Whether a further response may come on this connection.
    """

    def __init__(self, protocol: BaseProtocol, loop: asyncio.AbstractEventLoop, max_body_bytes: int) -> None:
        self.message: RawResponseMessage | None = None
        self.reusable = True
        self._protocol = protocol
        self._loop = loop
        self._max_body_bytes = max_body_bytes
        self._buffer = b""  # bounded by a head and a body
        self._body_length: int | None = 0  # None: to the connection's end, or chunked
        self._chunk_parser: HttpResponseParser | None = None
        self._chunked_body: aiohttp.StreamReader | None = None
        self._head_parser = HttpResponseParser(
            protocol, loop, max_body_bytes, response_with_body=False, auto_decompress=False
        )

    @property
    def has_data(self) -> bool:
        """Whether bytes came that belong to no response yet."""
        return bool(self._buffer)

    @property
    def is_within_response(self) -> bool:
        """Whether a response has begun and is not complete."""
        return bool(self._buffer) or self.message is not None

    def feed(self, data: bytes) -> None:
        """Takes what came on the connection."""
        self._buffer = self._buffer + data if self._buffer else data

    def next_response(self) -> RawResponse | None:
        """Reads on to the end of the next response.

        Returns:
            The response; None where more bytes are needed.

        Raises:
            MalformedResponseError: What came is no response, or larger than it may be.
            HttpProcessingError: aiohttp's parser cannot read it.
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
        """The peer has ended its side: the response that only this ends, if one was being read."""
        if self.message is None or self._body_length is not None or self._chunk_parser is not None:
            return None
        body = self._buffer
        self._buffer = b""
        return self._complete(body)

    def discard(self) -> None:
        """Drops what was read and belongs to no complete response."""
        self._buffer = b""
        self.message = None

    def _read_head(self) -> bool:
        end = self._buffer.find(HEAD_END) + len(HEAD_END)
        if end < len(HEAD_END):
            too_long = len(self._buffer) > MAX_HEAD_BYTES
            if too_long or not HEAD_START.startswith(self._buffer[: len(HEAD_START)]):
                raise MalformedResponseError("no head of a response")
            return False
        head = self._buffer[:end]
        self._buffer = self._buffer[end:]
        messages, upgraded, _ = self._head_parser.feed_data(head)
        if len(messages) != 1 or upgraded:
            raise MalformedResponseError("no head of a response")
        message = messages[0][0]
        if message.code == SWITCHING_PROTOCOLS:
            raise MalformedResponseError("another protocol")
        if message.code >= FIRST_FINAL_STATUS:  # behind any other the response is still to come
            self._begin_body(message, head)
        return True

    def _begin_body(self, message: RawResponseMessage, head: bytes) -> None:
        declared = message.headers.get("Content-Length")
        self.message = message
        self._body_length = int(declared) if declared else None
        if message.code in STATUSES_WITHOUT_BODY:
            self._body_length = 0
        elif message.chunked:
            self._chunk_parser = HttpResponseParser(
                self._protocol, self._loop, CHUNK_BUFFER_BODIES * self._max_body_bytes, auto_decompress=False
            )
            self._chunked_body = self._chunk_parser.feed_data(head)[0][0][1]
        elif (
            self._body_length is None
            and not message.should_close
            or (self._body_length or 0) > self._max_body_bytes
        ):
            raise MalformedResponseError(f"a body of {declared} bytes")
        ends_with_connection = self._body_length is None and self._chunk_parser is None
        if message.should_close or ends_with_connection:
            self.reusable = False

    def _read_body(self) -> RawResponse | None:
        if self._body_length is None or len(self._buffer) < self._body_length:
            if len(self._buffer) > self._max_body_bytes:
                raise MalformedResponseError("a body without end")
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
            self.reusable = False  # noise behind the last chunk; the response itself is good
        if chunked_body.total_bytes > self._max_body_bytes:
            raise MalformedResponseError("a body without end")
        if not chunked_body.is_eof():
            return None
        return self._complete(chunked_body.read_nowait())

    def _complete(self, body: bytes) -> RawResponse:
        message = self.message
        assert message is not None
        self.message = None
        self._chunk_parser = None
        self._chunked_body = None
        return RawResponse(message, body)
