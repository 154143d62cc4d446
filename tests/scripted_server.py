"""A scripted HTTP/1.1 server, for tests on sockets."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable

Responder = Callable[[bytes, bytes], Awaitable["bytes | None"]]


class PartialResponse(bytes):
    """The first part of a response; the server closes its side of the connection after it."""


class ScriptedServer:
    """Records the requests it receives, and responds as the test specifies.

    Args:
        answer: returns the response to a head and a body; None for no response, b"" for a reset.
    """

    def __init__(self, answer: Responder) -> None:
        self.answer, self.requests, self.disconnected = answer, list[tuple[bytes, bytes]](), asyncio.Event()
        self.connections: list[asyncio.StreamWriter] = []  # all that were accepted
        self.request_connections: list[asyncio.StreamWriter] = []  # the connection of each request
        self.pipelined = False  # reads further requests before it has responded; responses are sent in order

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
                request = await read_message(reader)
                self.requests.append(request)
                self.request_connections.append(writer)
                answer = asyncio.ensure_future(self.answer(*request))
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
    """Reads one message; returns its head and its body, which is empty without Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
    return head, await reader.readexactly(int(length[1]) if length else 0)


def http_response(body: bytes = b"", status: int = 200, **headers: str) -> bytes:
    """Returns a response; "_" in the name of a header stands for "-"."""
    lines = [f"HTTP/1.1 {status} x", *(f"{k.replace('_', '-')}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body
