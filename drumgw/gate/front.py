"""The clients' side: aiohttp's low-level server. Each connection's handler is the actor of that client."""
from __future__ import annotations

import asyncio
from typing import Any

from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

from drumgw.gate.charter import MOST_BODY, BadCharter, Charter
from drumgw.gate.desk import Desk
from drumgw.gate.door import Passage, Unfit, read_asked, write_head

READY, LIVE = "/health/ready", "/health/live"


class Whole(StreamResponse):
    """An answer written in one piece, with the headers that are needed and no others."""

    def __init__(self, status: int, body: bytes = b"", header: str = "") -> None:
        super().__init__(status=status)
        self.whole, self.header = body, header

    async def prepare(self, request: BaseRequest) -> None:
        if (transport := request.transport) is None:
            raise ConnectionResetError("the client has gone")
        self._keep_alive = self._keep_alive is None and request.keep_alive
        end = "\r\n" if self._keep_alive else "Connection: close\r\n\r\n"
        head = f"HTTP/1.1 {self.status} {self.reason}\r\nContent-Length: {len(self.whole)}\r\n"
        transport.write(f"{head}{self.header}{end}".encode("utf-8", "surrogateescape") + self.whole)

    async def write_eof(self, data: bytes = b"") -> None:
        """Nothing is left to write."""


class Front:
    def __init__(self, charter: Charter, desk: Desk) -> None:
        self.charter, self.desk = charter, desk
        self.ready = self.closing = False
        self.server = Server(
            self.handle, handler_cancellation=True, request_factory=self.factory, access_log=None,
            auto_decompress=False)      # the body passes as the bytes that came
        self.socket: asyncio.Server | None = None

    def factory(self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> BaseRequest:
        return BaseRequest(message, payload, protocol, writer, task, self.desk.loop,
                           client_max_size=MOST_BODY)

    async def open(self) -> tuple[str, int]:
        host, port = self.charter.listen
        try:
            self.socket = await self.desk.loop.create_server(self.server, host, port, backlog=1024)
        except OSError as error:
            raise BadCharter(f"cannot listen at {host}:{port}: {error}") from error
        self.ready = True
        bound = self.socket.sockets[0].getsockname()
        return bound[0], bound[1]

    async def handle(self, request: BaseRequest) -> Whole:
        """One request of a client. Cancelled when the client closes its connection: then it has gone away."""
        target: str = request._message.path     # the raw target; the public form is decoded and re-encoded
        closes = len(self.server._connections) > self.charter.lines
        try:
            if target in (READY, LIVE):
                answer = Whole(200 if self.ready or target == LIVE else 503)
            else:
                answer = await self.serve(request, target)
        except Unfit as unfit:
            answer = Whole(unfit.status, f"{unfit}\n".encode())
            closes = True       # whatever else it sends is not read
        except Exception as error:
            self.desk.complain(error, "the front")
            answer = Whole(500)     # a submission may be out
        if closes or self.closing:
            answer.force_close()
        return answer

    async def serve(self, request: BaseRequest, target: str) -> Whole:
        headers = request.headers
        asked = read_asked(self.charter.names, request.method, target, headers)
        body = b""
        if request.body_exists:
            try:
                body = await request.read()
            except HTTPRequestEntityTooLarge as large:
                raise Unfit(413, "the body is too large") from large
        passage = Passage(write_head(request.method, target, headers, body), body, asked)
        waiting = self.desk.take(passage)
        try:
            reply = await waiting
        except asyncio.CancelledError:
            self.desk.left(passage.txn)
            raise
        if reply.answer is not None:
            kind, body = reply.answer
            return Whole(200, body, f"Content-Type: {kind}\r\n" if kind else "")
        after = reply.retry_after_ms / 1000.0
        return Whole(reply.status, b"", f"Retry-After: {after:.3f}\r\n" if after else "")

    # The end

    def withdraw(self) -> None:
        """Not ready any more, yet all that comes is still served; each connection closes after its answer."""
        self.ready, self.closing = False, True

    def close_idle(self) -> int:
        """Closes what is idle; returns how many connections still carry a request."""
        if self.socket is not None:
            self.socket.close()
        busy = 0
        for connection in self.server.connections:
            waiter = connection._waiter     # idle is what aiohttp's own keep-alive timer takes for it; its
            if waiter is not None and not waiter.done():    # close() would leave the socket open
                connection.force_close()
            else:
                busy += 1
        return busy
