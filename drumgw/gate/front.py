"""The clients' side: aiohttp's low-level server. Each connection's handler is the actor of that client."""
from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.web_request import BaseRequest

from drumgw.gate.charter import MOST_BODY, Charter
from drumgw.gate.desk import Desk
from drumgw.gate.door import Passage, Unfit, read_asked, write_head

READY, LIVE = "/health/ready", "/health/live"


class Front:
    def __init__(self, charter: Charter, desk: Desk) -> None:
        self.charter, self.desk = charter, desk
        self.ready = self.closing = False
        self.server = web.Server(
            self.handle, handler_cancellation=True, request_factory=self.factory, access_log=None,
            auto_decompress=False)      # the body passes as the bytes that came
        self.socket: asyncio.Server | None = None

    def factory(self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> BaseRequest:
        return BaseRequest(message, payload, protocol, writer, task, self.desk.loop,
                           client_max_size=MOST_BODY)

    async def open(self) -> tuple[str, int]:
        host, port = self.charter.listen
        self.socket = await self.desk.loop.create_server(self.server, host, port, backlog=1024)
        self.ready = True
        bound = self.socket.sockets[0].getsockname()
        return bound[0], bound[1]

    async def handle(self, request: BaseRequest) -> web.Response:
        """One request of a client. Cancelled when the client closes its connection: then it has gone away."""
        target: str = request._message.path     # the raw target; the public form is decoded and re-encoded
        try:
            if target in (READY, LIVE):
                response = web.Response(status=200 if self.ready or target == LIVE else 503)
            else:
                response = await self.serve(request, target)
        except Unfit as unfit:
            response = web.Response(status=unfit.status, text=f"{unfit}\n")
        except web.HTTPRequestEntityTooLarge:
            response = web.Response(status=413, text="the body is too large\n")
            response.force_close()
        if self.closing or len(self.server._connections) > self.charter.lines:
            response.force_close()
        return response

    async def serve(self, request: BaseRequest, target: str) -> web.Response:
        if (request.content_length or 0) > MOST_BODY:
            raise web.HTTPRequestEntityTooLarge(MOST_BODY, request.content_length or 0)
        headers = request.headers
        asked = read_asked(self.charter.names, request.method, target, headers)
        body = await request.read() if request.body_exists else b""
        passage = Passage(write_head(request.method, target, headers, body), body, asked)
        waiting = self.desk.take(passage)
        try:
            reply = await waiting
        except asyncio.CancelledError:
            self.desk.left(passage.txn)
            raise
        if reply.answer is not None:
            kind, body = reply.answer
            return web.Response(body=body, headers={"Content-Type": kind} if kind else None)
        after = {"Retry-After": f"{reply.retry_after_ms / 1000:.3f}"} if reply.retry_after_ms else None
        return web.Response(status=reply.status, headers=after)

    # The end

    def withdraw(self) -> None:
        """Not ready any more, yet all that comes is still served; each connection closes after its answer."""
        self.ready, self.closing = False, True

    def close_idle(self) -> None:
        if self.socket is not None:
            self.socket.close()
        for connection in self.server.connections:
            waiter = connection._waiter     # idle is what aiohttp's own keep-alive timer takes for it; its
            if waiter is not None and not waiter.done():    # close() would leave the socket open
                connection.force_close()
