"""The clients' listener: reads requests, has them forwarded, and shuts down in order.

Built on aiohttp's low-level server, which runs the requests of one connection one after another.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_server import Server

from drumgw.gateway import http_headers
from drumgw.gateway.client_connections import ClientConnection, ConnectionState
from drumgw.gateway.clock import MS_PER_S
from drumgw.gateway.commands import SendResponse
from drumgw.gateway.connection_limits import CLOSING_POLL_INTERVAL_S, ConnectionLimits
from drumgw.gateway.dispatcher import Dispatcher
from drumgw.gateway.process_config import MAX_BODY_BYTES, ConfigError, GatewayConfig
from drumgw.gateway.request_parsing import BadRequestError, ClientRequest, parse_request, write_head
from drumgw.gateway.responses import CompleteResponse

READINESS_PATH = "/health/ready"
LIVENESS_PATH = "/health/live"
LISTEN_BACKLOG = 1024
QUIET_POLLS = 2
"""How often in succession nothing may be owed before the drain ends: a connection that was accepted in one
turn of the event loop is known in the next."""


class ConnectionServer(Server):
    """aiohttp's server, with connections of our class."""

    connection_factory: Callable[..., ClientConnection]

    def __call__(self) -> ClientConnection:
        """Makes the handler of a new connection; asyncio calls it."""
        return self.connection_factory(self, loop=self._loop, **self._kwargs)


class ServingService(NamedTuple):
    """What the listener needs of the service that a request is for."""

    config: GatewayConfig
    dispatcher: Dispatcher
    open_request_ids: set[str]
    """Ids of its requests in flight."""


class HttpServer:
    """The listener.

    Args:
        config: Where to listen, and the names and limits that requests are read by.
        dispatcher: Where requests go; its clock and log.
        limits: The bounds on connections; by default those of the configuration.

    Attributes:
        ready: Whether the gateway says that it is ready.
        is_shutting_down: Whether each connection is closed behind its response.
        server: aiohttp's server, which holds the connections.
        open_request_ids: Ids of the requests in flight; an entry goes as its request ends.
        socket: The listening socket.
    """

    def __init__(
        self, config: GatewayConfig, dispatcher: Dispatcher, limits: ConnectionLimits | None = None
    ) -> None:
        self.config = config
        self.dispatcher = dispatcher
        self.limits = limits or ConnectionLimits(config, dispatcher.clock)
        self.ready = False
        self.is_shutting_down = False
        self.open_request_ids: set[str] = set()
        self.socket: asyncio.Server | None = None
        self.server = ConnectionServer(
            self.handle,
            handler_cancellation=True,
            request_factory=self._make_request,
            access_log=None,
            auto_decompress=False,  # the body passes as the bytes that came
            lingering_time=0.0,
            tcp_keepalive=False,
        )
        self.server.connection_factory = partial(ClientConnection, self.limits, dispatcher.log_fault)

    async def bind(self) -> None:
        """Takes the address, and accepts nobody yet: connections are refused, as before the process began.

        Raises:
            ConfigError: The address cannot be listened at.
        """
        host, port = self.config.listen
        try:
            self.socket = await self.dispatcher.loop.create_server(
                self.server, host, port, backlog=LISTEN_BACKLOG, start_serving=False
            )
        except OSError as error:
            raise ConfigError(f"cannot listen at {host}:{port}: {error}") from error

    async def open(self) -> tuple[str, int]:
        """Accepts connections, and says that it is ready.

        Returns:
            Host and port.
        """
        assert self.socket is not None
        await self.socket.start_serving()
        self.ready = True
        self.limits.sweep()
        host, port = self.socket.sockets[0].getsockname()[:2]
        return host, port

    # Requests

    async def handle(self, request: BaseRequest) -> CompleteResponse:
        """Answers one request; aiohttp calls it, and cancels it when the client closes its connection."""
        target: str = request._message.path  # as it came; the public form is decoded and encoded again
        client: ClientConnection = request.protocol  # type: ignore[assignment]
        is_bad = False
        try:
            if target in (READINESS_PATH, LIVENESS_PATH):
                response = CompleteResponse(200 if self.ready or target == LIVENESS_PATH else 503)
            else:
                response = await self.serve(request, target, client)
        except BadRequestError as error:
            response = CompleteResponse(error.status, f"{error}\n".encode())
            is_bad = True  # whatever else this client sends is not read
        except Exception as error:
            self.dispatcher.log_fault(error, "the HTTP server")
            response = CompleteResponse(500)  # an attempt may be in flight
        if is_bad or self.is_shutting_down and not client._messages:  # what was read is answered first
            response.force_close()
        client.enter_state(ConnectionState.IDLE)
        self.limits.close_surplus_idle()
        return response

    async def serve(self, request: BaseRequest, target: str, client: ClientConnection) -> CompleteResponse:
        """Answers a request that is not about health.

        Raises:
            BadRequestError: It goes no further.
        """
        service = ServingService(self.config, self.dispatcher, self.open_request_ids)
        return await self.forward(request, target, target, client, service)

    async def forward(
        self,
        request: BaseRequest,
        target: str,
        path: str,
        client: ClientConnection,
        service: ServingService,
    ) -> CompleteResponse:
        """Has a request forwarded by a service, and waits for its final response.

        Args:
            request: The request.
            target: Its target, which endpoints get as it came.
            path: The target as the request class is read from it.
            client: Its connection.
            service: Whose request it is.

        Raises:
            BadRequestError: It goes no further.
        """
        config, dispatcher, open_request_ids = service
        headers = request.headers
        received = parse_request(config.names, config.settings, request.method, path, headers)
        body = await self.read(request)
        request_id = headers[http_headers.REQUEST_ID]
        if request_id in open_request_ids:  # an endpoint would take it for a retry of that one
            raise BadRequestError(409, "a request with this id is in flight")
        client.enter_state(ConnectionState.IN_FLIGHT)
        head = write_head(request.method, target, request._message.raw_headers, body)
        client_request = ClientRequest(head, body, received, client_left=client.client_left)
        open_request_ids.add(request_id)
        try:
            result = await dispatcher.submit(client_request)
        except asyncio.CancelledError:
            dispatcher.client_disconnected(client_request.request_id)
            raise
        finally:
            open_request_ids.discard(request_id)
        return _response_of(result)

    async def read(self, request: BaseRequest) -> bytes:
        """Reads a request's body, as the bytes that came.

        Raises:
            BadRequestError: It is too large, broken, or belongs to a GET.
        """
        if not request.body_exists:
            return b""
        if request.method == "GET":
            raise BadRequestError(400, "a GET has no body")
        if (request.content_length or 0) > MAX_BODY_BYTES:
            raise BadRequestError(413, "the body is too large")
        try:
            return await request.read()
        except HTTPRequestEntityTooLarge as error:
            raise BadRequestError(413, "the body is too large") from error
        except (RequestPayloadError, ValueError) as error:
            raise BadRequestError(400, "the body can't be read") from error

    def _make_request(self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> BaseRequest:
        return BaseRequest(
            message, payload, protocol, writer, task, self.dispatcher.loop, client_max_size=MAX_BODY_BYTES
        )

    # Graceful shutdown

    def withdraw_readiness(self) -> None:
        """Says that it is not ready, and serves on; each connection is closed behind its response."""
        self.ready = False
        self.is_shutting_down = True

    async def drain(self, end_ms: float) -> None:
        """Accepts nobody any more; returns when no client is owed a response, or at this time."""
        quiet_polls = 0
        while quiet_polls < QUIET_POLLS and self.dispatcher.clock.now() < end_ms:
            quiet_polls = 0 if self.close_idle() else quiet_polls + 1
            await asyncio.sleep(CLOSING_POLL_INTERVAL_S)

    def close_idle(self) -> int:
        """Closes the connections whose clients are owed nothing.

        Guards the shutdown against half a request: its connection is closed too, as its rest would be read
        after the shutdown.

        Returns:
            How many clients are owed a response.
        """
        if self.socket is not None:
            self.socket.close()
        owed_count = 0
        for client in self.server.connections:
            assert isinstance(client, ClientConnection)
            if client.state is ConnectionState.CLOSING:
                continue
            if client.is_owed_response():
                owed_count += 1
            elif client.is_reading_body():
                client.abort()
            else:
                client.send_last_response()
        return owed_count

    async def wait_until_closed(self) -> None:
        """Waits for the CLOSING connections; `ConnectionLimits.close_finished` ends each in time."""
        while self.limits.connections[ConnectionState.CLOSING]:
            await asyncio.sleep(CLOSING_POLL_INTERVAL_S)


def _response_of(result: SendResponse) -> CompleteResponse:
    if result.response is not None:
        content_type, body = result.response
        return CompleteResponse(200, body, f"Content-Type: {content_type}\r\n" if content_type else "")
    retry_after_s = result.retry_after_ms / MS_PER_S
    return CompleteResponse(
        result.status, b"", f"Retry-After: {retry_after_s:.3f}\r\n" if retry_after_s else ""
    )
