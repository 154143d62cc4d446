"""A client's connection and its states.

    from       to         when
    NEW        IN_FLIGHT  the first request has been read completely and is forwarded
    NEW        IDLE       the first request was answered locally: health check or bad request
    IDLE       READING    bytes of a further request arrived
    READING    IN_FLIGHT  the request has been read completely and is forwarded
    READING    IDLE       the request was answered locally
    IDLE       IN_FLIGHT  a pipelined request, read together with the previous one, is forwarded
    IN_FLIGHT  IDLE       the response is complete and is about to be written
    IN_FLIGHT  READING    the same, and a further request has been read, at least in part
    any        CLOSING    the last response, if any, is written

If the client closes the connection, it is removed at once, whatever its state. `ConnectionLimits` tracks the
connections by state and closes those that are inactive for too long.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import Any, Protocol

from aiohttp.web_server import Server

from drumgw.gateway.accept_queue import AcceptQueue
from drumgw.gateway.bounded_connection import BoundedConnection
from drumgw.gateway.clock import STALL_THRESHOLD_MS, StallAwareClock
from drumgw.gateway.connection_shares import ConnectionShares
from drumgw.gateway.request_arrivals import RequestArrivals, ends_with_request
from drumgw.gateway.responses import CompleteResponse
from drumgw.gateway.socket_watch import SocketWatch
from drumgw.gateway.tcp_info import receive_ages
from drumgw.gateway.unread_bytes import may_hide_close

UNSEEN_CLOSE_MS = 50.0
"""Half of the time in which an attempt may still begin after its client's close (protocol).

A request may wait this long after the previous response, and as long again until an attempt of it begins."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""The value of SO_LINGER with which closing a socket sends a reset."""
CLIENT_ENDED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ConnectionState(Enum):
    """The states of a client's connection; the module's docstring lists the transitions."""

    NEW = "no complete request yet"
    READING = "a further request is being read"
    IN_FLIGHT = "a request is in flight"
    IDLE = "between requests"
    CLOSING = "reading has stopped; closed once the client has shut down its side"

    # A member is equal to itself only. Enum's own hash is a call at each look-up, several times a request.
    __hash__ = object.__hash__


class ConnectionRegistry(Protocol):
    """Receives the state changes of client connections."""

    clock: StallAwareClock

    def opened(self, client: ClientConnection) -> None:
        """Adds a connection that was just accepted, in state NEW."""

    def change_state(self, client: ClientConnection, state: ConnectionState) -> bool:
        """Moves a connection to another state; returns False if it is no longer registered."""

    def unregister(self, client: ClientConnection) -> None:
        """Removes a connection that is about to be closed."""

    def closed(self, client: ClientConnection) -> None:
        """Removes a connection that was closed."""

    def schedule_close_check(self) -> None:
        """Starts polling the CLOSING connections; called whenever one enters that state."""


class ClientConnection(BoundedConnection):
    """A client's connection with a state.

    Attributes:
        state: The current state.
        state_since_ms: When the connection entered the current state.
        tenant_key: The tenant of its last request if the listener serves several tenants, else empty.
        socket_transport: The transport. aiohttp drops its own reference before the transport is closed.
        arrivals: When its requests arrived.
        is_pipelining: Whether its next request had arrived before the previous response was written.
        close_was_deferred: Whether, in the current state, the connection was already kept open once because
            of unread bytes.
    """

    __slots__ = (
        "state",
        "state_since_ms",
        "tenant_key",
        "socket_transport",
        "close_was_deferred",
        "arrivals",
        "is_pipelining",
        "_registry",
        "_log_internal_error",
        "_poll",
        "_socket_watch",
    )

    def __init__(
        self,
        registry: ConnectionRegistry,
        accept_queue: AcceptQueue,
        log_internal_error: Callable[[Exception, str], None],
        shares: ConnectionShares,
        server: Server,
        **kwargs: Any,
    ) -> None:
        super().__init__(shares, server, **kwargs)
        self.state = ConnectionState.NEW
        self.state_since_ms = registry.clock.now()
        self.tenant_key = ""
        self.socket_transport: asyncio.Transport | None = None
        self.close_was_deferred = False
        self.is_pipelining = False
        self.arrivals = RequestArrivals(self.state_since_ms)
        self._registry = registry
        self._log_internal_error = log_internal_error
        self._poll: select.poll | None = None  # created when the socket is polled first
        accepted_ms = self.state_since_ms
        established_ms = accept_queue.connection_accepted(accepted_ms)
        self._socket_watch = SocketWatch(registry.clock, established_ms, accepted_ms)

    def enter_state(self, state: ConnectionState) -> None:
        """Changes the state; has no effect once the connection is closed."""
        if self._registry.change_state(self, state):
            self.state = state
            self.state_since_ms = self._registry.clock.now()
            self.close_was_deferred = False

    # Closing the connection

    def abort(self) -> None:
        """Closes the connection at once, without flushing.

        Used if no response is pending. The transport is aborted because a client that does not read would
        otherwise keep the connection open.
        """
        self._registry.unregister(self)
        super().abort()
        if self.socket_transport is not None:
            self.socket_transport.abort()  # aiohttp may have dropped its reference before

    def reset(self) -> None:
        """Closes the connection at once with a reset: a request that the client has sent was not processed.

        Without unread bytes in the socket the system would send an end of the stream instead.
        """
        transport = self.socket_transport
        if transport is not None and not transport.is_closing():
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.abort()

    def send_last_response(self, response: bytes = b"") -> None:
        """Writes the last response, if any, shuts down the sending side and stops reading.

        The connection is closed once the client has shut down its side too
        (`ConnectionLimits.close_finished`). Closing it with unread bytes in the socket would send a reset,
        and the client would lose the part of the response that it has not received yet. Reading stops because
        a request that is read from here on would be dropped; one that is left unread can be sent again by the
        client.
        """
        transport = self.socket_transport
        if transport is None or transport.is_closing():
            return
        self._pause_transport_reading()
        self.release_all()
        self._force_close = True  # ends aiohttp's request loop without closing the socket
        self.enter_state(ConnectionState.CLOSING)
        if response:
            transport.write(response)
        if transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()
        if self._waiter is not None:
            self._waiter.cancel()
        self._registry.schedule_close_check()

    # State of the socket

    def has_unsent_data(self) -> bool:
        """Whether part of a response is still in the transport's write buffer."""
        transport = self.socket_transport
        return (
            transport is not None and not transport.is_closing() and bool(transport.get_write_buffer_size())
        )

    def has_unread_data(self) -> bool:
        """Whether the socket holds bytes that the event loop has not read yet."""
        return self._poll_socket(select.POLLIN)

    def client_has_ended(self) -> bool:
        """Whether the client has shut down or reset the connection; read from the socket itself."""
        return self._poll_socket(CLIENT_ENDED_EVENTS)

    def is_client_gone(self) -> bool:
        """Whether the connection is closed or closing, or the client has ended it according to the kernel."""
        transport = self.socket_transport
        return transport is None or transport.is_closing() or self.client_has_ended()

    def may_have_left_unseen(self) -> bool:
        """Whether the client may have closed the connection for some time without the kernel's knowing it.

        That takes so many unread bytes that the close may wait behind them. A response that is written to a
        closed connection is answered with a reset, so the client was there when the state was last entered.
        """
        transport = self.socket_transport
        if transport is None or self._registry.clock.now() - self.state_since_ms <= UNSEEN_CLOSE_MS:
            return False
        return may_hide_close(transport.get_extra_info("socket"))

    def defer_close_if_unread(self) -> bool:
        """Whether to postpone closing because of unread bytes; True at most once per state.

        The unread bytes may be a request or the rest of one; the event loop reads them in its next iteration.
        """
        if self.close_was_deferred or not self.has_unread_data():
            return False
        self.close_was_deferred = True
        return True

    def has_client_disconnected(self) -> bool:
        """Whether the client has closed the connection according to the kernel; if so, closes it here too.

        Prevents attempts for clients that have disconnected. The event loop may lag by more than 0.1 s, and
        aiohttp stops reading while many pipelined requests of the connection wait, so it would not notice the
        close.
        """
        if not self.is_client_gone():
            return False
        self.abort()  # the event loop cancels the handlers in its next iteration, even if reading is paused
        return True

    def may_have_pending_response(self) -> bool:
        """Whether a complete request was read and not answered yet, or may be unread in the socket."""
        if self.state is ConnectionState.IN_FLIGHT or self._messages or self.has_unparsed_bytes():
            return True
        if self._waiter is not None and not self._waiter.done():  # aiohttp waits for the next request
            return self.defer_close_if_unread()
        request = self._current_request
        if request is None:  # aiohttp is about to start a request or has just finished one
            return True
        return request._payload.is_eof() or self.defer_close_if_unread()

    def is_reading_body(self) -> bool:
        """Whether a handler waits for the rest of a request's body.

        Valid only if `may_have_pending_response` is False; otherwise it only shows that aiohttp is handling a
        request.
        """
        return self._current_request is not None

    def _poll_socket(self, events: int) -> bool:
        transport = self.socket_transport
        if transport is None or transport.is_closing():
            return False
        if self._poll is None:
            self._poll = select.poll()
            self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        ready = self._poll.poll(0)
        return bool(ready) and bool(ready[0][1] & events)

    async def wait_until_read(self) -> None:
        """Waits, while `writing_paused` is set, until the client has read most of the earlier responses.

        Otherwise the responses to a client that sends requests but reads nothing would pile up here. The wait
        is limited by `CLIENT_IDLE_TIMEOUT_MS`, as in state READING.
        """
        self.enter_state(ConnectionState.READING)
        await self._drain_helper()

    async def wait_for_turn(self) -> None:
        """Waits for a turn of the event loop that has a piece left for this connection's next request."""
        is_due: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.shares.handling.add(partial(_complete, is_due))
        await is_due

    # Arrival of requests

    def _parse(self, data: bytes, received_bytes: int) -> bytes:
        """Parses bytes, and records the arrival of the requests that they complete."""
        body = self._last_payload
        was_in_body = not body.is_eof()
        body_bytes_before = body.total_bytes if was_in_body else 0
        has_unparsed_requests = self._buffer_paused or not data
        unparsed = super()._parse(data, received_bytes)
        is_body_complete = was_in_body and body.is_eof()
        request_count = len(self._messages) - len(self.arrivals)
        if is_body_complete or request_count > 0:
            if not has_unparsed_requests:  # else they have arrived with the latest request, or later
                body_bytes = self._last_payload.total_bytes - body_bytes_before
                has_one_request = is_body_complete + request_count == 1
                self.arrivals.latest_ms = self._arrival_ms(data, body_bytes if has_one_request else None)
            if is_body_complete:
                self.arrivals.complete_body()
            self.arrivals.add(request_count)
        return unparsed

    def _arrival_ms(self, data: bytes, body_bytes: int | None) -> float:
        """Returns the earliest time when the requests that these bytes complete can have arrived.

        Args:
            data: The bytes that were just read.
            body_bytes: How many of them are the body of the only request that they complete; None if they
                complete several requests.
        """
        now_ms = self._registry.clock.now()
        earliest_ms = self._socket_watch.earliest_arrival_ms(now_ms)
        if now_ms - earliest_ms <= STALL_THRESHOLD_MS:
            return now_ms
        if body_bytes is None or not ends_with_request(data, body_bytes):
            return earliest_ms  # the kernel only tells when the last byte arrived
        age_ms = self._last_receive_age_ms()
        return earliest_ms if age_ms is None else max(earliest_ms, now_ms - age_ms)

    def _last_receive_age_ms(self) -> float | None:
        """Returns how long ago the last byte that was read arrived; None if that is unknown."""
        transport = self.socket_transport
        if transport is None:
            return None
        age_ms = receive_ages.read_ms(transport.get_extra_info("socket"))
        return None if self.has_unread_data() else age_ms  # of unread bytes, if there are any

    # Called by asyncio and aiohttp

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        super().connection_made(transport)
        self.socket_transport = transport  # type: ignore[assignment]
        self._socket_watch.resume()
        self._registry.opened(self)

    def _pause_transport_reading(self) -> None:
        super()._pause_transport_reading()
        self._socket_watch.pause()

    def _resume_transport_reading(self) -> None:
        super()._resume_transport_reading()
        if self.socket_transport is not None and self.socket_transport.is_reading():
            self._socket_watch.resume()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the connection from the registry."""
        self._registry.closed(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Enters READING if the connection was idle, then lets aiohttp parse the bytes."""
        if self.state is ConnectionState.IDLE:
            self.enter_state(ConnectionState.READING)
        super().data_received(data)

    def error_response(self, status: int) -> CompleteResponse:
        """Returns a response without a body."""
        return CompleteResponse(status)

    def log_exception(self, *args: Any, exc_info: Any = None, **kwargs: Any) -> None:
        """Reports an error that aiohttp logs for this connection through the gateway's own log."""
        error = exc_info if isinstance(exc_info, Exception) else RuntimeError(*args)
        self._log_internal_error(error, "a client connection")


def _complete(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
