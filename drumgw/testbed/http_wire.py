"""The lab's side of HTTP/1.1 on sockets: messages cut from bounded bytes, a client, answers in turn."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable

MOST = 256 * 1024
LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d{1,9})\r\n")
HEADER = re.compile(rb"(?m)^([A-Za-z-]+): *(.*?)\r$")


def headers(head: bytes) -> dict[str, str]:
    return {k.decode().lower(): v.decode("latin-1") for k, v in HEADER.findall(head)}


def answer(status: int, body: bytes = b"", **more: str) -> bytes:
    lines = [
        f"HTTP/1.1 {status} x",
        f"Content-Length: {len(body)}",
        *(f"{k.replace('_', '-')}: {v}" for k, v in more.items()),
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


class Messages(asyncio.Protocol):
    """Cuts what comes into heads and bodies by Content-Length, and notes when the first byte of each came."""

    def __init__(self) -> None:
        self.got = b""
        self.transport: asyncio.Transport | None = None
        self.first_at: float | None = None

    def clock(self) -> float:
        raise NotImplementedError

    def message(self, head: bytes, body: bytes, first_at: float) -> None:
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.first_at is None:
            self.first_at = self.clock()
        self.got += data
        while (end := self.got.find(b"\r\n\r\n") + 4) >= 4:
            found = LENGTH.search(self.got[:end])
            whole = end + (int(found[1]) if found else 0)
            if len(self.got) < whole:
                break
            head, body, self.got = self.got[:end], self.got[end:whole], self.got[whole:]
            first, self.first_at = self.first_at, self.clock() if self.got else None
            self.message(head, body, first if first is not None else self.clock())
        if len(self.got) > MOST:
            self.abort()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Asker(Messages):
    """A client's connection: one request at a time."""

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__()
        self.read_clock = clock
        self.heard: Callable[[bytes, bytes], None] | None = None
        self.lost: Callable[[bool], None] | None = None  # told whether a part of an answer had come
        self.open = True

    def clock(self) -> float:
        return self.read_clock()

    def ask(
        self, request: bytes, heard: Callable[[bytes, bytes], None], lost: Callable[[bool], None]
    ) -> None:
        self.heard, self.lost = heard, lost
        self.write(request)

    def message(self, head: bytes, body: bytes, first_at: float) -> None:
        heard, self.heard, self.lost = self.heard, None, None
        if heard is not None:
            heard(head, body)

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        lost, self.heard, self.lost = self.lost, None, None
        if lost is not None:
            lost(bool(self.got))

    def leave(self) -> None:
        self.heard = self.lost = None
        self.abort()


class Turns:
    """Answers are written in the order of their calls, whichever is ready first."""

    def __init__(self, write: Callable[[bytes], None]) -> None:
        self.write, self.waiting = write, deque[list[bytes | None]]()

    def take(self) -> Callable[[bytes], None]:
        place: list[bytes | None] = [None]
        self.waiting.append(place)

        def ready(data: bytes) -> None:
            place[0] = data
            while self.waiting and (first := self.waiting[0][0]) is not None:
                self.waiting.popleft()
                self.write(first)

        return ready
