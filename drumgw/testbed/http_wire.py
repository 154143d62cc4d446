"""HTTP/1.1 as far as the testbed speaks it on sockets: messages with Content-Length, in bounded buffers."""

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
    """Headers of a message by their names in lower case."""
    return {name.decode().lower(): value.decode("latin-1") for name, value in HEADER.findall(head)}


def format_response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """A response; an underscore in a header's name stands for a hyphen."""
    lines = [
        f"HTTP/1.1 {status} x",
        f"Content-Length: {len(body)}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


class MessageProtocol(asyncio.Protocol):
    """Cuts what comes into heads and bodies, and notes when the first byte of each message came."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._buffer = b""
        self._first_byte_ms: float | None = None

    def now(self) -> float:
        """The testbed's time, in milliseconds."""
        raise NotImplementedError

    def message_received(self, head: bytes, body: bytes, first_byte_ms: float) -> None:
        """A complete message is here; `head` ends with the empty line."""
        raise NotImplementedError

    @property
    def has_partial_message(self) -> bool:
        """Whether a part of a message has come."""
        return bool(self._buffer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Called by the event loop."""
        if self._first_byte_ms is None:
            self._first_byte_ms = self.now()
        self._buffer += data
        while self._take_message():
            pass
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self.abort()

    def _take_message(self) -> bool:
        """Passes on the first message of the buffer; False where it is not complete."""
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
        """Writes, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()


ResponseCallback = Callable[[bytes, bytes], None]
"""Takes a response's head and body."""
LostCallback = Callable[[bool], None]
"""Takes whether a part of the response had come."""


class ClientConnection(MessageProtocol):
    """A client's connection: one request at a time."""

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self.is_open = True
        self._now = now
        self._on_response: ResponseCallback | None = None
        self._on_lost: LostCallback | None = None

    def now(self) -> float:
        """The testbed's time, in milliseconds."""
        return self._now()

    def send_request(self, request: bytes, on_response: ResponseCallback, on_lost: LostCallback) -> None:
        """Writes a request; one of the two callbacks is called once, unless the connection is abandoned."""
        self._on_response = on_response
        self._on_lost = on_lost
        self.write(request)

    def message_received(self, head: bytes, body: bytes, first_byte_ms: float) -> None:
        """The response is here."""
        on_response = self._on_response
        self._on_response = None
        self._on_lost = None
        if on_response is not None:
            on_response(head, body)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop."""
        self.is_open = False
        on_lost = self._on_lost
        self._on_response = None
        self._on_lost = None
        if on_lost is not None:
            on_lost(self.has_partial_message)

    def abandon(self) -> None:
        """Closes the connection; no callback is called any more."""
        self._on_response = None
        self._on_lost = None
        self.abort()


@dataclass(slots=True)
class _ReplySlot:
    """The place of one reply in the order of its calls."""

    data: bytes | None = None


class OrderedReplies:
    """Writes replies in the order of their calls, whichever is ready first."""

    def __init__(self, write: Callable[[bytes], None]) -> None:
        self._write = write
        self._slots: deque[_ReplySlot] = deque()

    def reserve(self) -> Callable[[bytes], None]:
        """Takes the next place; returns what is called with its reply."""
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
