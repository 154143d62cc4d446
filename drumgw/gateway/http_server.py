"""The clients' side: aiohttp's low-level server. Each connection's handler is the actor of that client."""

from __future__ import annotations

import asyncio
import select
from enum import Enum
from itertools import islice
from typing import Any

from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_protocol import RequestHandler, RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

from drumgw.gateway.clock import STALL_THRESHOLD_MS
from drumgw.gateway.dispatcher import Dispatcher
from drumgw.gateway.process_config import CLIENT_IDLE_TIMEOUT_MS, MAX_BODY_BYTES, ConfigError, GatewayConfig
from drumgw.gateway.request_parsing import BadRequestError, ClientRequest, parse_request, write_head

READY, LIVE = "/health/ready", "/health/live"
SWEEP_S = CLIENT_IDLE_TIMEOUT_MS / 8000.0
# A client that has its last answer ends its side within a round trip; who does not read yet has it all
PART_MS, PART_STEP_S = CLIENT_IDLE_TIMEOUT_MS / 8.0, 0.01


class ConnectionState(Enum):
    """Where a client's connection is."""

    NEW = "no whole request yet"
    PART = "a further request has begun"
    OPEN = "a request is open"
    IDLE = "between requests"
    LAST = "nothing more is read; it closes once its client has ended its side"


class CompleteResponse(StreamResponse):
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
        data = f"{head}{self.header}{end}".encode("utf-8", "surrogateescape") + self.whole
        if self._keep_alive:
            transport.write(data)
        else:
            client: ClientConnection = request.protocol  # type: ignore[assignment]
            client.send_last_response(data)

    async def write_eof(self, data: bytes = b"") -> None:
        """Nothing is left to write."""


class ClientConnection(RequestHandler):
    """A client's connection, with the time of its last change of stage."""

    __slots__ = ("http_server", "state", "state_since_ms", "tenant_key", "line", "spared")

    def __init__(self, front: HttpServer, server: Server, **kwargs: Any) -> None:
        super().__init__(server, **kwargs)
        self.http_server, self.state, self.state_since_ms = (
            front,
            ConnectionState.NEW,
            front.dispatcher.clock.now(),
        )
        self.tenant_key = ""  # whom it asked last, where a front serves several
        self.line: asyncio.Transport | None = None  # aiohttp's own forgets it before it is closed
        self.spared = False

    def enter(self, stage: ConnectionState) -> None:
        stages = self.http_server.connections
        if self in stages[self.state]:  # not closed meanwhile
            del stages[self.state][self]
            stages[stage][self] = None
            self.state, self.state_since_ms, self.spared = (
                stage,
                self.http_server.dispatcher.clock.now(),
                False,
            )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.line = transport  # type: ignore[assignment]
        self.http_server.connection_opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.http_server.connections[self.state].pop(self, None)
        self.http_server.connection_closed(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self.state is ConnectionState.IDLE:
            self.enter(ConnectionState.PART)
        super().data_received(data)

    def abort(self) -> None:
        """Nothing is owed on it, and a client that does not read must not keep it."""
        self.http_server.connections[self.state].pop(self, None)
        self.force_close()
        if self.line is not None:
            self.line.abort()

    def send_last_response(self, answer: bytes = b"") -> None:
        """Its last answer, if any is owed. Nothing of it is read any more, sending ends; it closes when
        the client has ended too (Front.see_off). Guards answers: a close over unread bytes is a reset, which
        takes with it what the client has not got yet. And requests: one read here would be dropped, one that
        is not read is the client's to send again."""
        line = self.line
        if line is None or line.is_closing():
            return
        self._pause_transport_reading()
        self._force_close = True  # aiohttp's loop ends, and leaves the socket to us
        self.enter(ConnectionState.LAST)
        if answer:
            line.write(answer)
        if line.can_write_eof() and not line.is_closing():
            line.write_eof()
        if self._waiter is not None:
            self._waiter.cancel()
        self.http_server.watch_last()

    def _resume_transport_reading(self) -> None:
        if self.state is not ConnectionState.LAST:
            super()._resume_transport_reading()

    def seen(self, what: int) -> bool:
        """What its socket has, as the system knows it: the loop may not have got round to it."""
        line = self.line
        if line is None or line.is_closing():
            return False
        poll = select.poll()
        poll.register(line.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        return any(event & what for _, event in poll.poll(0))

    def spare_once(self) -> bool:
        """Once: what lies unread may be a request or the rest of one, and is read in the loop's next turn."""
        if self.spared or not self.seen(select.POLLIN):
            return False
        self.spared = True
        return True

    def unsent(self) -> bool:
        line = self.line
        return line is not None and not line.is_closing() and bool(line.get_write_buffer_size())

    def has_gone(self) -> bool:
        return self.seen(select.POLLRDHUP | select.POLLHUP | select.POLLERR)

    def has_left(self) -> bool:
        """Whether its client has closed, as the system knows it. Guards workers against attempts for nobody:
        the loop may be behind by more than 0.1 s, and while many requests of it wait here (aiohttp then
        reads no further) it would not find the close at all."""
        if self.line is not None and not self.line.is_closing() and not self.has_gone():
            return False
        self.abort()  # its handlers are cancelled in the loop's next turn, paused or not
        return True

    def owes(self) -> bool:
        """A whole request of it was read and has no whole answer yet, or may lie unread."""
        if self.state is ConnectionState.OPEN or self._messages:
            return True
        if self._waiter is not None and not self._waiter.done():
            return self.spare_once()
        request = self._current_request  # half a body, or a moment of aiohttp's between two steps
        return request is None or request._payload.is_eof() or self.spare_once()

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> CompleteResponse:
        """What the parser can't read; no line in the log, there may be many."""
        answer = CompleteResponse(status)
        answer.force_close()
        return answer

    def log_exception(self, *args: Any, exc_info: Any = None, **kwargs: Any) -> None:
        error = exc_info if isinstance(exc_info, Exception) else RuntimeError(*args)
        self.http_server.dispatcher.log_fault(error, "a client")


class ConnectionServer(Server):
    """aiohttp's server with connections of ours."""

    http_server: HttpServer

    def __call__(self) -> ClientConnection:
        return ClientConnection(self.http_server, self, loop=self._loop, **self._kwargs)


class HttpServer:
    def __init__(self, config: GatewayConfig, dispatcher: Dispatcher) -> None:
        self.config, self.dispatcher = config, dispatcher
        self.ready = self.closing = False
        self.server = ConnectionServer(
            self.handle,
            handler_cancellation=True,
            request_factory=self.factory,
            access_log=None,
            auto_decompress=False,  # the body passes as the bytes that came
            lingering_time=0.0,
            tcp_keepalive=False,
        )
        self.server.http_server = self
        # Connections by stage, who is in it for longest first; emptied as they close
        self.connections: dict[ConnectionState, dict[ClientConnection, None]] = {
            stage: {} for stage in ConnectionState
        }
        self.open_request_ids: set[str] = set()  # of the txns open here; emptied by their ends
        self.socket: asyncio.Server | None = None
        self.watching = False  # for those whose last answer is written

    def factory(self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> BaseRequest:
        return BaseRequest(
            message, payload, protocol, writer, task, self.dispatcher.loop, client_max_size=MAX_BODY_BYTES
        )

    async def bind(self) -> None:
        """Takes its place, and nobody yet: who comes is refused, as before the process began."""
        host, port = self.config.listen
        try:
            self.socket = await self.dispatcher.loop.create_server(
                self.server, host, port, backlog=1024, start_serving=False
            )
        except OSError as error:
            raise ConfigError(f"cannot listen at {host}:{port}: {error}") from error

    async def open(self) -> tuple[str, int]:
        assert self.socket is not None
        await self.socket.start_serving()
        self.ready = True
        self.sweep()
        bound = self.socket.sockets[0].getsockname()
        return bound[0], bound[1]

    # Connections

    def connection_opened(self, client: ClientConnection) -> None:
        """Guards usual clients against those that connect by the hundred and say nothing."""
        if self.crowd() >= self.config.max_client_connections:
            self.least(client).abort()
        self.connections[ConnectionState.NEW][client] = None

    def connection_closed(self, client: ClientConnection) -> None:
        """Its connection has ended."""

    def crowd(self) -> int:
        return sum(map(len, self.connections.values()))

    def asked(self) -> int:
        return (
            self.crowd()
            - len(self.connections[ConnectionState.NEW])
            - len(self.connections[ConnectionState.LAST])
        )

    def least(self, newcomer: ClientConnection) -> ClientConnection:
        """Who is missed least: one silent since its turn to be read, else the first of the larger crowd.

        Guards newcomers where many ask once and stay, and those idle where hundreds come and say nothing.
        """
        new, idle, part = (
            self.connections[stage]
            for stage in (ConnectionState.NEW, ConnectionState.IDLE, ConnectionState.PART)
        )
        if (
            last := next((c for c in self.connections[ConnectionState.LAST] if not c.unsent()), None)
        ) is not None:
            return last
        silent = next(iter(new), None)
        if silent is not None and (
            newcomer.state_since_ms - silent.state_since_ms > STALL_THRESHOLD_MS or len(new) > len(idle)
        ):
            return silent
        idle_most = self.longest_idle()
        return next(iter(part), newcomer) if idle_most is None else idle_most

    def longest_idle(self) -> ClientConnection | None:
        """None whose answer may not be written yet."""
        client = next(iter(self.connections[ConnectionState.IDLE]), None)
        return client if client is not None and self.is_resting(client) else None

    def is_resting(self, client: ClientConnection) -> bool:
        return (
            self.dispatcher.clock.now() - client.state_since_ms > STALL_THRESHOLD_MS
            and not client.unsent()
            and not client.spare_once()
        )

    def thin(self) -> None:
        """Guards usual clients against those that ask once and stay: all share what clients may hold."""
        if self.asked() > self.config.max_requesting_clients and (idle := self.longest_idle()) is not None:
            idle.send_last_response()

    def sweep(self) -> None:
        """Closes what says nothing or never ends; what is only idle, where it is half of what may be."""
        self.dispatcher.loop.call_later(SWEEP_S, self.sweep)
        longest = self.dispatcher.clock.now() - CLIENT_IDLE_TIMEOUT_MS
        if self.dispatcher.clock.recent_stall_ms:  # we stood: what they sent may lie unread
            return
        many = self.asked() - self.config.max_requesting_clients // 2
        for stage, most in (
            (ConnectionState.NEW, None),
            (ConnectionState.PART, None),
            (ConnectionState.IDLE, max(0, many)),
        ):
            for client in list(islice(self.connections[stage], most)):
                if client.state_since_ms >= longest:
                    break
                if client.spare_once():
                    continue
                if stage is ConnectionState.IDLE:
                    client.send_last_response()
                else:
                    client.abort()

    def watch_last(self) -> None:
        if not self.watching:
            self.watching = True
            self.dispatcher.loop.call_later(PART_STEP_S, self.see_off)

    def see_off(self) -> None:
        """Closes those whose last answer is written: at their own end, or when they had the time for it."""
        self.watching, now = False, self.dispatcher.clock.now()
        for client in list(self.connections[ConnectionState.LAST]):
            if (
                now - client.state_since_ms > (CLIENT_IDLE_TIMEOUT_MS if client.unsent() else PART_MS)
                or client.has_gone()
            ):
                client.abort()
        if self.connections[ConnectionState.LAST]:
            self.watch_last()

    # Requests

    async def handle(self, request: BaseRequest) -> CompleteResponse:
        """One request of a client. Cancelled when the client closes its connection: then it has gone away."""
        target: str = request._message.path  # the raw target; the public form is decoded and re-encoded
        client: ClientConnection = request.protocol  # type: ignore[assignment]
        closes = False
        try:
            if target in (READY, LIVE):
                answer = CompleteResponse(200 if self.ready or target == LIVE else 503)
            else:
                answer = await self.serve(request, target, client)
        except BadRequestError as unfit:
            answer = CompleteResponse(unfit.status, f"{unfit}\n".encode())
            closes = True  # whatever else it sends is not read
        except Exception as error:
            self.dispatcher.log_fault(error, "the front")
            answer = CompleteResponse(500)  # a submission may be out
        if closes or self.closing and not client._messages:  # what was read whole is answered first
            answer.force_close()
        client.enter(ConnectionState.IDLE)
        self.thin()
        return answer

    async def read(self, request: BaseRequest) -> bytes:
        if not request.body_exists:
            return b""
        if request.method == "GET":
            raise BadRequestError(400, "a GET has no body")
        if (request.content_length or 0) > MAX_BODY_BYTES:
            raise BadRequestError(413, "the body is too large")
        try:
            return await request.read()
        except HTTPRequestEntityTooLarge as large:
            raise BadRequestError(413, "the body is too large") from large
        except (RequestPayloadError, ValueError) as bad:
            raise BadRequestError(400, "the body can't be read") from bad

    async def serve(self, request: BaseRequest, target: str, client: ClientConnection) -> CompleteResponse:
        return await self.forward(
            request, target, target, client, self.config, self.dispatcher, self.open_request_ids
        )

    async def forward(
        self,
        request: BaseRequest,
        target: str,
        path: str,
        client: ClientConnection,
        config: GatewayConfig,
        dispatcher: Dispatcher,
        ids: set[str],
    ) -> CompleteResponse:
        """To the desk of whoever serves it; path is the target as the product is read from it."""
        headers = request.headers
        asked = parse_request(config.names, config.settings, request.method, path, headers)
        body = await self.read(request)
        if (name := headers["Request-Id"]) in ids:
            raise BadRequestError(409, "a txn of this id is open")  # it would spoil that one
        client.enter(ConnectionState.OPEN)
        head = write_head(request.method, target, request._message.raw_headers, body)
        passage = ClientRequest(head, body, asked, client_left=client.has_left)
        ids.add(name)
        try:
            reply = await dispatcher.submit(passage)
        except asyncio.CancelledError:
            dispatcher.client_disconnected(passage.request_id)
            raise
        finally:
            ids.discard(name)
        if reply.response is not None:
            kind, body = reply.response
            return CompleteResponse(200, body, f"Content-Type: {kind}\r\n" if kind else "")
        after = reply.retry_after_ms / 1000.0
        return CompleteResponse(reply.status, b"", f"Retry-After: {after:.3f}\r\n" if after else "")

    # The end

    def withdraw_readiness(self) -> None:
        """Not ready any more, yet all that comes is still served; each connection closes after its answer."""
        self.ready, self.closing = False, True

    async def drain(self, end_ms: float) -> None:
        """Closes the door; returns when nothing is owed to anybody who came in, or at that time."""
        calm = 0
        while (
            calm < 2 and self.dispatcher.clock.now() < end_ms
        ):  # who was accepted in one turn is here in the next
            calm = 0 if self.close_idle() else calm + 1
            await asyncio.sleep(PART_STEP_S)

    def close_idle(self) -> int:
        """Parts from those to whom nothing is owed; returns how many it is owed to. Whoever has sent half a
        request is parted from too: what came later would be read after the shutdown."""
        if self.socket is not None:
            self.socket.close()
        busy = 0
        for client in self.server.connections:
            assert isinstance(client, ClientConnection)
            if client.state is ConnectionState.LAST:
                continue
            if client.owes():
                busy += 1
            elif client._current_request is not None:  # its handler waits for the rest of a body
                client.abort()
            else:
                client.send_last_response()
        return busy

    async def wait_until_closed(self) -> None:
        """Bounded: see_off ends each of them."""
        while self.connections[ConnectionState.LAST]:
            await asyncio.sleep(PART_STEP_S)
