"""Bad clients of one gateway: heads that never end and bodies of 60 MB, at full speed, again and again.

Started by case.py as a process of its own: rude.py HOST PORT CONNECTIONS SECONDS. Each client reads whatever is
sent to it. Once it has an error or a close, or has sent its 60 MB, it closes its connection and sends the same
again on a new one. At the end the process prints what its clients got.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import time
from collections import Counter

BLOCK = b"y" * 65536
MOST_BYTES = 60_000_000
PATIENCE_S = 6.0
"""A bad client that has 60 MB to send is owed an error or a close within 6 s."""
BODY_HEAD = (
    "POST /sold-copy/7?account={account:016x} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {request_id}\r\n"
    "Plan: basic\r\nRequest-Timeout: 2500m\r\nContent-Length: 60000000\r\nQuota-Info: units=1,spread=3,first=0\r\n\r\n"
)
ENDLESS_HEAD = "GET /preview/7?account={account:016x} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {request_id}\r\nX-Note: "


class RudeClient(asyncio.Protocol):
    """One connection, which sends until it is told that it is not welcome."""

    def __init__(self, head: str) -> None:
        self.head = head
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.sent_bytes = 0
        self._can_write = asyncio.Event()
        self._can_write.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self._end(data[9:12].decode("latin-1"))

    def eof_received(self) -> bool:
        self._end("close")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._end("reset" if exc else "close")

    def pause_writing(self) -> None:
        self._can_write.clear()

    def resume_writing(self) -> None:
        self._can_write.set()

    def _end(self, how: str) -> None:
        if not self.ended.done():
            self.ended.set_result(how)
        self._can_write.set()

    async def run(self) -> str:
        """Sends until the end; returns what the client got."""
        request_id = os.urandom(8).hex()
        account = int.from_bytes(os.urandom(4), "big")
        self.transport.write(self.head.format(account=account, request_id=request_id).encode())
        while not self.ended.done() and self.sent_bytes < MOST_BYTES:
            self.transport.write(BLOCK)
            self.sent_bytes += len(BLOCK)
            await self._can_write.wait()
            await asyncio.sleep(0)
        try:
            async with asyncio.timeout(PATIENCE_S):
                await self.ended
        except TimeoutError:
            self._end("nothing")
        if not self.transport.is_closing():
            self.transport.abort()
        return self.ended.result()


async def repeat(host: str, port: int, head: str, end_s: float, got: Counter[str]) -> None:
    """Sends the same again and again."""
    loop = asyncio.get_running_loop()
    while time.monotonic() < end_s:
        try:
            _, client = await loop.create_connection(lambda: RudeClient(head), host, port)
        except OSError:
            got["no connection"] += 1
            await asyncio.sleep(0.05)
            continue
        got[await client.run()] += 1
        got["bytes"] += client.sent_bytes


async def main() -> None:
    """Runs the clients; half of them send heads that never end, half bodies of 60 MB."""
    host, port, connections, seconds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
    end_s = time.monotonic() + seconds
    got: Counter[str] = Counter()
    heads = [(ENDLESS_HEAD, BODY_HEAD)[index % 2] for index in range(connections)]
    clients = asyncio.gather(*(repeat(host, port, head, end_s, got) for head in heads))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, clients.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await clients
    megabytes = got.pop("bytes", 0) // 1_000_000
    print(f"sent {megabytes} MB on {sum(got.values())} connections, got {dict(got)}", flush=True)


asyncio.run(main())
