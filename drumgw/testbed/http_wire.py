"""The subset of HTTP/1.1 that the testbed uses on sockets: Content-Length messages, bounded buffers."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

MAX_BUFFER_BYTES = 256 * 1024
END_OF_HEAD = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d{1,9})\r\n")
HEADER = re.compile(rb"(?m)^([A-Za-z-]+): *(.*?)\r$")


def parse_headers(head: bytes) -> dict[str, str]:
    """Returns a message's headers, keyed by lower-case name."""
    return {name.decode().lower(): value.decode("latin-1") for name, value in HEADER.findall(head)}


def format_response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Encodes a response; underscores in header names become hyphens."""
    lines = [
        f"HTTP/1.1 {status} x",
        f"Content-Length: {len(body)}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


class MessageProtocol(asyncio.Protocol):
    """Splits received data into messages and records the arrival time of each message's first byte."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._buffer = b""
        self._first_byte_ms: float | None = None

    def now(self) -> float:
        """Current Unix time in milliseconds; subclasses provide the clock."""
        raise NotImplementedError

    def message_received(self, head: bytes, body: bytes, first_byte_ms: float) -> None:
        """Called for each complete message; `head` includes the empty line at its end."""
        raise NotImplementedError

    @property
    def has_partial_message(self) -> bool:
        """Whether the buffer holds the start of an incomplete message."""
        return bool(self._buffer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop; keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Called by the event loop; handles complete messages and aborts if the buffer limit is exceeded."""
        if self._first_byte_ms is None:
            self._first_byte_ms = self.now()
        self._buffer += data
        while self._take_message():
            pass
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self.abort()

    def _take_message(self) -> bool:
        """Passes the first message of the buffer on; returns False if it is incomplete."""
        head_end = self._buffer.find(END_OF_HEAD)
        if head_end < 0:
            return False
        head_end += len(END_OF_HEAD)
        found = CONTENT_LENGTH.search(self._buffer[:head_end])
        message_end = head_end + (int(found[1]) if found else 0)
        if len(self._buffer) < message_end:
            return False
        head = self._buffer[:head_end]
        body = self._buffer[head_end:message_end]
        first_byte_ms = self._first_byte_ms
        self._buffer = self._buffer[message_end:]
        self._first_byte_ms = self.now() if self._buffer else None
        self.message_received(head, body, first_byte_ms if first_byte_ms is not None else self.now())
        return True

    def write(self, data: bytes) -> None:
        """Writes data; drops it if the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Closes the connection at once, without flushing buffered data."""
        if self.transport is not None:
            self.transport.abort()


ResponseCallback = Callable[[bytes, bytes], None]
"""Receives a response's head and body."""
LostCallback = Callable[[bool], None]
"""Called when the connection is lost; receives whether part of the response had arrived."""


class ClientConnection(MessageProtocol):
    """A client's connection to a gateway, used for one request at a time."""

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self.is_open = True
        self._now = now
        self._on_response: ResponseCallback | None = None
        self._on_lost: LostCallback | None = None

    def now(self) -> float:
        """Current Unix time in milliseconds."""
        return self._now()

    def send_request(self, request: bytes, on_response: ResponseCallback, on_lost: LostCallback) -> None:
        """Writes a request; exactly one callback is then called once, unless the connection is abandoned."""
        self._on_response = on_response
        self._on_lost = on_lost
        self.write(request)

    def message_received(self, head: bytes, body: bytes, first_byte_ms: float) -> None:
        """Passes the response to the callback of the request in flight."""
        on_response = self._on_response
        self._on_response = None
        self._on_lost = None
        if on_response is not None:
            on_response(head, body)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop; reports the loss if a request is in flight."""
        self.is_open = False
        on_lost = self._on_lost
        self._on_response = None
        self._on_lost = None
        if on_lost is not None:
            on_lost(self.has_partial_message)

    def abandon(self) -> None:
        """Closes the connection without calling either callback."""
        self._on_response = None
        self._on_lost = None
        self.abort()


@dataclass(slots=True)
class _ReplySlot:
    """Position of one reply in the order of the calls; holds its data once it is ready."""

    data: bytes | None = None


class OrderedReplies:
    """Writes replies in the order of their calls, even if they become ready in another order."""

    def __init__(self, write: Callable[[bytes], None]) -> None:
        self._write = write
        self._slots: deque[_ReplySlot] = deque()

    def reserve(self) -> Callable[[bytes], None]:
        """Reserves the next position; returns a function to call once with the reply."""
        slot = _ReplySlot()
        self._slots.append(slot)

        def set_reply(data: bytes) -> None:
            slot.data = data
            self._write_ready()

        return set_reply

    def _write_ready(self) -> None:
        while self._slots and (data := self._slots[0].data) is not None:
            self._slots.popleft()
            self._write(data)
