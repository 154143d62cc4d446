"""Scripted HTTP/1.1 servers for tests on sockets."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable

Answerer = Callable[[bytes, bytes], Awaitable["bytes | None"]]


class PartialResponse(bytes):
    """A part of an answer, after which the connection ends."""


class ScriptedServer:
    """A server of a test: keeps what came and sends what its answer says; None: silence, b"": a reset."""

    def __init__(self, answer: Answerer) -> None:
        self.answer, self.requests, self.disconnected = answer, list[tuple[bytes, bytes]](), asyncio.Event()
        self.connections: list[asyncio.StreamWriter] = []  # every connection that came
        self.request_connections: list[asyncio.StreamWriter] = []  # of each of what came
        self.pipelined = False  # reads on while an answer is awaited; answers in order all the same

    async def open(self) -> ScriptedServer:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        answers: asyncio.Queue[asyncio.Future[bytes | None]] = asyncio.Queue()
        writing = asyncio.ensure_future(self.write(answers, writer))
        try:
            while True:
                came = await read_message(reader)
                self.requests.append(came)
                self.request_connections.append(writer)
                answer = asyncio.ensure_future(self.answer(*came))
                answers.put_nowait(answer)
                if not self.pipelined:
                    await asyncio.wait([answer])
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.disconnected.set()
            writing.cancel()
            writer.close()

    async def write(
        self, answers: asyncio.Queue[asyncio.Future[bytes | None]], writer: asyncio.StreamWriter
    ) -> None:
        while (answer := await (await answers.get())) is not None:
            if not answer:
                writer.transport.abort()
                return
            writer.write(answer)
            if isinstance(answer, PartialResponse):
                writer.write_eof()


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Reads one message: its head and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    found = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
    return head, await reader.readexactly(int(found[1]) if found else 0)


def http_response(body: bytes = b"", status: int = 200, **headers: str) -> bytes:
    """The bytes of a response."""
    lines = [f"HTTP/1.1 {status} x", *(f"{k.replace('_', '-')}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body
