"""HTTP listener for clients: reads requests, submits them for forwarding, and shuts down gracefully.

Built on aiohttp's low-level server, which processes the requests of a connection sequentially.
"""

from __future__ import annotations

import asyncio
import socket
from functools import partial
from typing import Any, NamedTuple

from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest

from drumgw.gateway import http_headers
from drumgw.gateway.accept_queue import AcceptQueue
from drumgw.gateway.bounded_connection import status_of_payload_error
from drumgw.gateway.bounded_server import BoundedServer
from drumgw.gateway.client_connections import ClientConnection, ConnectionState
from drumgw.gateway.clock import MS_PER_S
from drumgw.gateway.commands import STATUS_REJECTED, SendResponse
from drumgw.gateway.connection_limits import CLOSING_POLL_INTERVAL_S, ConnectionLimits
from drumgw.gateway.dispatcher import Dispatcher
from drumgw.gateway.process_config import MAX_BODY_BYTES, ConfigError, GatewayConfig
from drumgw.gateway.request_ids import RepeatedIdError, RequestIds
from drumgw.gateway.request_parsing import BadRequestError, ClientRequest, parse_request, write_head
from drumgw.gateway.responses import CompleteResponse
from drumgw.gateway.shedding import ShedReason, shed
from drumgw.model.events import RequestReceived

READINESS_PATH = "/health/ready"
LIVENESS_PATH = "/health/live"
LISTEN_BACKLOG = 1024
RECEIVE_BUFFER_BYTES = 256 * 1024
"""The kernel's buffer of a connection. A client's close is noticed only if all that it sent before fits."""
REQUIRED_IDLE_POLLS = 2
"""Consecutive polls without pending responses before the drain ends.

More than one, as a connection accepted in one event-loop iteration becomes known only in the next."""


class ServingService(NamedTuple):
    """The parts of a service that the listener needs to forward a request."""

    config: GatewayConfig
    dispatcher: Dispatcher
    request_ids: RequestIds
    """Those that must not be forwarded again."""


class HttpServer:
    """The HTTP listener of one gateway.

    Args:
        config: The listen address, and the names and limits used to parse requests.
        dispatcher: Receives the requests; its clock is used, and it logs internal errors.
        limits: Limits on client connections; by default those of `config`.

    Attributes:
        ready: Whether the readiness check succeeds.
        is_shutting_down: Whether each connection is closed after its response.
        is_rejecting: Whether requests are rejected at once, as the process may be killed before they end.
        server: aiohttp's server, which holds the connections.
        request_ids: `Request-Id` values that must not be forwarded again.
        socket: The listening socket; None before `bind`.
    """

    def __init__(
        self, config: GatewayConfig, dispatcher: Dispatcher, limits: ConnectionLimits | None = None
    ) -> None:
        self.config = config
        self.dispatcher = dispatcher
        self.limits = limits or ConnectionLimits(config, dispatcher.clock)
        self.ready = False
        self.is_shutting_down = False
        self.is_rejecting = False
        self.request_ids = RequestIds(config.memory.max_kept_ids)
        self.socket: asyncio.Server | None = None
        self._accept_queue = AcceptQueue(dispatcher.clock)
        self.server = BoundedServer(
            self.handle,
            connection_factory=partial(
                ClientConnection, self.limits, self._accept_queue, dispatcher.log_internal_error
            ),
            max_unanswered_bytes=config.memory.unanswered_bytes,
            max_unsent_bytes=config.memory.unsent_bytes,
            handler_cancellation=True,
            request_factory=self._make_request,
            access_log=None,
            auto_decompress=False,  # bodies are forwarded unchanged
            lingering_time=0.0,
            tcp_keepalive=False,
        )

    async def bind(self) -> None:
        """Binds the listen address without listening: connections are refused until `open`.

        Raises:
            ConfigError: The address cannot be bound.
        """
        host, port = self.config.listen
        try:
            self.socket = await self.dispatcher.loop.create_server(
                self.server, host, port, backlog=LISTEN_BACKLOG, start_serving=False
            )
        except OSError as error:
            raise ConfigError(f"cannot listen on {host}:{port}: {error}") from error
        for listener in self.socket.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._accept_queue.watch(listener.fileno() for listener in self.socket.sockets)

    async def open(self) -> tuple[str, int]:
        """Starts accepting connections and reports readiness.

        Returns:
            The bound host and port.
        """
        assert self.socket is not None
        await self.socket.start_serving()
        self.ready = True
        self.limits.sweep()
        host, port = self.socket.sockets[0].getsockname()[:2]
        return host, port

    # Requests

    async def handle(self, request: BaseRequest) -> CompleteResponse:
        """Answers a request; called by aiohttp, which cancels it when the client closes the connection."""
        target: str = request._message.path  # raw; the public attributes are decoded and re-encoded
        client: ClientConnection = request.protocol  # type: ignore[assignment]
        is_bad_request = False
        if client.is_pipelining and not self.is_shutting_down:
            await client.wait_for_turn()
        if client.writing_paused:
            await client.wait_until_read()
        try:
            if target in (READINESS_PATH, LIVENESS_PATH):
                response = CompleteResponse(200 if self.ready or target == LIVENESS_PATH else 503)
            elif self.is_rejecting:
                response = CompleteResponse(STATUS_REJECTED)
            else:
                response = await self.serve(request, target, client)
        except BadRequestError as error:
            response = CompleteResponse(error.status, f"{error}\n".encode())
            is_bad_request = True  # the connection is closed, and further input is not read
        except Exception as error:
            self.dispatcher.log_internal_error(error, "the HTTP server")
            response = CompleteResponse(500)  # not 503, as an attempt may be in flight
        # During shutdown, pipelined requests that were already read are answered first.
        if is_bad_request or self.is_shutting_down and not client.has_further_requests():
            response.force_close()
        request._read_bytes = None  # aiohttp keeps the request until the connection's next one
        client.release_answered()
        client.is_pipelining = client.has_further_requests()
        client.enter_state(ConnectionState.READING if client.has_further_requests() else ConnectionState.IDLE)
        self.limits.close_surplus_idle()
        return response

    async def serve(self, request: BaseRequest, target: str, client: ClientConnection) -> CompleteResponse:
        """Answers a request other than a health check.

        Raises:
            BadRequestError: The request is rejected and not forwarded.
        """
        service = ServingService(self.config, self.dispatcher, self.request_ids)
        return await self.forward(request, target, target, client, service)

    async def forward(
        self,
        request: BaseRequest,
        target: str,
        path: str,
        client: ClientConnection,
        service: ServingService,
    ) -> CompleteResponse:
        """Submits a request to a service, and waits for its final response.

        Args:
            request: The request.
            target: The request target, forwarded to endpoints unchanged.
            path: The target that the request class and customer are parsed from; on a host, without the
                prefix of the tenant's route.
            client: The connection that the request arrived on.
            service: The service that the request is for.

        Raises:
            BadRequestError: The request is rejected and not forwarded.
        """
        config, dispatcher, request_ids = service
        received = parse_request(config.names, config.settings, request.method, path, request.headers)
        request_id = request.headers[http_headers.REQUEST_ID]
        try:
            request_ids.claim(request_id, dispatcher.clock.now())
        except RepeatedIdError as error:
            shed[ShedReason.REPEATED_ID] += 1
            raise BadRequestError(409, str(error)) from error
        client_request: ClientRequest | None = None
        try:
            client_request = await self._receive(request, target, received, client)
            pending = dispatcher.submit(client_request)
            return _to_http_response(await _response_or_disconnect(pending, client_request, dispatcher))
        finally:
            may_have_run = client_request is not None and client_request.may_have_run
            request_ids.release(request_id, dispatcher.clock.now(), may_have_run)

    async def _receive(
        self, request: BaseRequest, target: str, received: RequestReceived, client: ClientConnection
    ) -> ClientRequest:
        """Receives the rest of a request, and returns what is submitted.

        Raises:
            BadRequestError: The request is rejected and not forwarded.
        """
        body = await self.read(request)
        if client.may_have_left_unseen():  # nothing may be sent for a client that has left
            shed[ShedReason.UNREAD_REQUESTS] += 1
            raise BadRequestError(429, "too many requests at once on this connection")
        client.enter_state(ConnectionState.IN_FLIGHT)
        head = write_head(request.method, target, request._message.raw_headers, body)
        return ClientRequest(
            head,
            body,
            received,
            client.arrivals.current_ms,
            has_client_disconnected=client.has_client_disconnected,
            may_client_have_left=client.may_have_left_unseen,
        )

    async def read(self, request: BaseRequest) -> bytes:
        """Reads a request's body without decoding it.

        Raises:
            BadRequestError: The body is too large or malformed, or the method is GET.
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
        except RequestPayloadError as error:
            raise BadRequestError(status_of_payload_error(error), "the body can't be read") from error
        except ValueError as error:
            raise BadRequestError(400, "the body can't be read") from error
        except RuntimeError as error:
            if request.transport is not None:
                raise
            raise BadRequestError(400, "the connection was closed before the body was read") from error

    def _make_request(self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> BaseRequest:
        protocol.arrivals.start_next()
        return BaseRequest(
            message, payload, protocol, writer, task, self.dispatcher.loop, client_max_size=MAX_BODY_BYTES
        )

    # Graceful shutdown

    def withdraw_readiness(self) -> None:
        """Fails the readiness check but keeps serving; each connection is closed after its response."""
        self.ready = False
        self.is_shutting_down = True

    async def drain(self, end_ms: float) -> None:
        """Stops accepting connections; returns when no response is pending, or at `end_ms` at the latest."""
        idle_polls = 0
        while idle_polls < REQUIRED_IDLE_POLLS and self.dispatcher.clock.now() < end_ms:
            idle_polls = 0 if self.close_idle() else idle_polls + 1
            await asyncio.sleep(CLOSING_POLL_INTERVAL_S)

    def close_idle(self) -> int:
        """Closes the listening socket and all connections without a pending response.

        Connections with a partially received request are closed too: the rest would arrive only after the
        shutdown.

        Returns:
            The number of connections with a pending response.
        """
        if self.socket is not None:
            self.socket.close()
        pending_count = 0
        for client in self.server.connections:
            assert isinstance(client, ClientConnection)
            if client.state is ConnectionState.CLOSING:
                continue
            if client.may_have_pending_response():
                pending_count += 1
            elif client.is_reading_body():
                client.abort()
            else:
                client.send_last_response()
        return pending_count

    async def wait_until_closed(self) -> None:
        """Waits until no connection is CLOSING; `ConnectionLimits.close_finished` bounds the wait."""
        while self.limits.connections[ConnectionState.CLOSING]:
            await asyncio.sleep(CLOSING_POLL_INTERVAL_S)


async def _response_or_disconnect(
    pending: asyncio.Future[SendResponse], client_request: ClientRequest, dispatcher: Dispatcher
) -> SendResponse:
    """Waits for the final response; aiohttp cancels the wait when the client closes the connection."""
    try:
        return await pending
    except asyncio.CancelledError:
        dispatcher.client_disconnected(client_request.request_id)
        raise


def _to_http_response(result: SendResponse) -> CompleteResponse:
    if result.response is not None:
        content_type, body = result.response
        return CompleteResponse(200, body, f"Content-Type: {content_type}\r\n" if content_type else "")
    retry_after_s = result.retry_after_ms / MS_PER_S
    return CompleteResponse(
        result.status, b"", f"Retry-After: {retry_after_s:.3f}\r\n" if retry_after_s else ""
    )
