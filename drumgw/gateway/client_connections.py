"""One client's connection and its states.

    from       to         when
    NEW        IN_FLIGHT  its first request was read as a whole and goes on
    NEW        IDLE       its first request was answered here: health, or a bad request
    IDLE       READING    bytes came
    READING    IN_FLIGHT  the request was read as a whole and goes on
    READING    IDLE       the request was answered here
    IDLE       IN_FLIGHT  a request that was read together with the last one goes on
    IN_FLIGHT  IDLE       its response is on its way
    any        CLOSING    its last response, if one is owed, is written

A connection leaves each state at once if its client closes it. `ConnectionLimits` keeps the connections by
state and closes those that say nothing.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_server import Server

from drumgw.gateway.clock import StallAwareClock
from drumgw.gateway.responses import CompleteResponse

CLIENT_ENDED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ConnectionState(Enum):
    """Where a client's connection is."""

    NEW = "no complete request yet"
    READING = "a further request has begun"
    IN_FLIGHT = "a request is in flight"
    IDLE = "between requests"
    CLOSING = "nothing more is read; it is closed once its client has ended its side"


class ConnectionRegistry(Protocol):
    """What a connection reports its states to."""

    clock: StallAwareClock

    def opened(self, client: ClientConnection) -> None:
        """It is open, and NEW."""

    def change_state(self, client: ClientConnection, state: ConnectionState) -> bool:
        """Enters it under another state; False where it was closed meanwhile."""

    def forget(self, client: ClientConnection) -> None:
        """It is about to be closed."""

    def closed(self, client: ClientConnection) -> None:
        """It is closed."""

    def watch_closing(self) -> None:
        """A connection is CLOSING."""


class ClientConnection(RequestHandler):
    """A client's connection.

    Attributes:
        state: Where it is.
        state_since_ms: Since when.
        tenant_key: The tenant of its last request, where a listener serves several.
        socket_transport: Its transport; aiohttp forgets its own before that is closed.
        was_spared: Whether it was left open once in this state, for bytes that lay unread.
    """

    __slots__ = (
        "state",
        "state_since_ms",
        "tenant_key",
        "socket_transport",
        "was_spared",
        "_registry",
        "_log_fault",
    )

    def __init__(
        self,
        registry: ConnectionRegistry,
        log_fault: Callable[[Exception, str], None],
        server: Server,
        **kwargs: Any,
    ) -> None:
        super().__init__(server, **kwargs)
        self.state = ConnectionState.NEW
        self.state_since_ms = registry.clock.now()
        self.tenant_key = ""
        self.socket_transport: asyncio.Transport | None = None
        self.was_spared = False
        self._registry = registry
        self._log_fault = log_fault

    def enter_state(self, state: ConnectionState) -> None:
        """Changes its state, unless it was closed meanwhile."""
        if self._registry.change_state(self, state):
            self.state = state
            self.state_since_ms = self._registry.clock.now()
            self.was_spared = False

    # Closing it

    def abort(self) -> None:
        """Closes it at once: nothing is owed on it, and a client that does not read must not keep it."""
        self._registry.forget(self)
        self.force_close()
        if self.socket_transport is not None:
            self.socket_transport.abort()

    def send_last_response(self, response: bytes = b"") -> None:
        """Writes its last response, if one is owed, and ends this side; nothing more is read.

        It is closed once the client has ended its side too (`ConnectionLimits.close_finished`). Guards
        responses: a close over unread bytes is a reset, which takes with it what the client has not got yet.
        Guards requests: one that is read here would be dropped; one that is not read is the client's to send
        again.
        """
        transport = self.socket_transport
        if transport is None or transport.is_closing():
            return
        self._pause_transport_reading()
        self._force_close = True  # aiohttp's loop ends, and leaves the socket to us
        self.enter_state(ConnectionState.CLOSING)
        if response:
            transport.write(response)
        if transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()
        if self._waiter is not None:
            self._waiter.cancel()
        self._registry.watch_closing()

    # What is known of its socket

    def has_unsent(self) -> bool:
        """Whether a part of a response has not left."""
        transport = self.socket_transport
        return (
            transport is not None and not transport.is_closing() and bool(transport.get_write_buffer_size())
        )

    def has_unread(self) -> bool:
        """Whether bytes lie unread in its socket; the event loop may not have got round to them."""
        return self._poll_socket(select.POLLIN)

    def client_has_ended(self) -> bool:
        """Whether its client has ended its side, or reset it; the event loop may not know yet."""
        return self._poll_socket(CLIENT_ENDED_EVENTS)

    def spare_if_unread(self) -> bool:
        """Whether to leave it open for now, once in each state.

        Guards a request, or the rest of one, that lies unread: it is read in the event loop's next turn.
        """
        if self.was_spared or not self.has_unread():
            return False
        self.was_spared = True
        return True

    def client_left(self) -> bool:
        """Whether its client has closed it, as the system knows; then it is closed here too.

        Guards endpoints against attempts for nobody. The event loop may be behind by more than 0.1 s, and
        while many requests of this connection wait, aiohttp reads no further and would not find the close.
        """
        transport = self.socket_transport
        if transport is not None and not transport.is_closing() and not self.client_has_ended():
            return False
        self.abort()  # its handlers are cancelled in the event loop's next turn, paused or not
        return True

    def is_owed_response(self) -> bool:
        """Whether a complete request of it was read and is not answered yet, or may lie unread."""
        if self.state is ConnectionState.IN_FLIGHT or self._messages:
            return True
        if self._waiter is not None and not self._waiter.done():  # aiohttp waits for its next request
            return self.spare_if_unread()
        request = self._current_request
        if request is None:  # a moment of aiohttp's between two steps
            return True
        return request._payload.is_eof() or self.spare_if_unread()

    def is_reading_body(self) -> bool:
        """Whether a handler waits for the rest of a request."""
        return self._current_request is not None

    def _poll_socket(self, events: int) -> bool:
        transport = self.socket_transport
        if transport is None or transport.is_closing():
            return False
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        return any(seen & events for _, seen in poll.poll(0))

    # Called by asyncio and aiohttp

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enters itself in the registry."""
        super().connection_made(transport)
        self.socket_transport = transport  # type: ignore[assignment]
        self._registry.opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Leaves the registry."""
        self._registry.closed(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Notes that a request has begun."""
        if self.state is ConnectionState.IDLE:
            self.enter_state(ConnectionState.READING)
        super().data_received(data)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> CompleteResponse:
        """Answers what aiohttp's parser cannot read; without a line in the log, as there may be many."""
        response = CompleteResponse(status)
        response.force_close()
        return response

    def log_exception(self, *args: Any, exc_info: Any = None, **kwargs: Any) -> None:
        """Logs a fault inside aiohttp as one of this program's."""
        error = exc_info if isinstance(exc_info, Exception) else RuntimeError(*args)
        self._log_fault(error, "a client")

    def _resume_transport_reading(self) -> None:
        if self.state is not ConnectionState.CLOSING:
            super()._resume_transport_reading()
