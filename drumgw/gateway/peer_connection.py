"""A connection to a peer, the responses owed on it, and one exchange of a request for its response.

`PeerConnection` takes the place of aiohttp's `ResponseHandler` in its connector. It hands each response to
whoever uses the connection, in the turn of the event loop in which its last byte is read, and ends with the
first bytes that are no response or that nobody asked for.
"""

from __future__ import annotations

import asyncio
import os
import select
from collections.abc import Callable
from math import inf

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError

from drumgw.gateway.clock import Timer
from drumgw.gateway.peer_errors import MalformedResponseError
from drumgw.gateway.response_framing import RawResponse, ResponseFramer

READ_BYTES = 256 * 1024


class PeerConnection(ResponseHandler):
    """A connection on which responses come in the order of their requests.

    Attributes:
        on_response: Called with each response; set by whoever uses the connection.
        on_error: Called once if the connection breaks; set by whoever uses it.
        framer: Cuts what comes into responses.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        open_connections: set[PeerConnection],
        max_body_bytes: int,
        start_response_timer: Callable[[Callable[[], None]], Timer | None],
    ) -> None:
        """Args say where it enters itself while open, and which timer bounds a response that has begun."""
        super().__init__(loop)
        self.on_response: Callable[[RawResponse], None] | None = None
        self.on_error: Callable[[BaseException], None] | None = None
        self.framer = ResponseFramer(self, loop, max_body_bytes)
        self._open_connections = open_connections
        self._start_response_timer = start_response_timer
        self._expected_responses = 0
        self._response_timer: Timer | None = None
        self._peer_ended = False  # the peer itself ended its side
        self._poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enters itself among the open connections."""
        super().connection_made(transport)
        # So `writing_paused` says exactly whether a part of a request is still here; it stays set if that
        # part never leaves.
        transport.set_write_buffer_limits(0)  # type: ignore[attr-defined]
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._open_connections.add(self)

    def is_connected(self) -> bool:
        """Whether it can carry a further request; aiohttp's connector asks before it uses a kept connection.

        Guards the next request: bytes that lie unread on a kept connection would be taken for its response.
        """
        return super().is_connected() and not self.should_close and not self._has_unread_bytes()

    def is_usable(self) -> bool:
        """Whether what is written on it can still leave."""
        return self.transport is not None and not self.transport.is_closing()

    def send_request(self, request: bytes) -> None:
        """Writes a complete request; its response is then expected."""
        assert self.transport is not None
        self.transport.write(request)
        self._expected_responses += 1

    def read_pending(self) -> None:
        """Reads what lies unread, before the event loop's turn comes.

        The end of the connection, or its failure, is left for the event loop to find.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or not self._has_unread_bytes():
            return
        try:
            data = os.read(transport.get_extra_info("socket").fileno(), READ_BYTES)
        except OSError:
            return
        if data:
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        """Hands on each response that is complete now."""
        framer = self.framer
        framer.feed(data)
        try:
            while framer.has_data:
                if not self._expected_responses:
                    raise MalformedResponseError("more came than was asked for")
                response = framer.next_response()
                if not framer.reusable:
                    self.force_close()
                if response is None:
                    break
                self._deliver(response)
        except (aiohttp.ClientError, HttpProcessingError) as error:
            self.abort_with(error)
            return
        if not framer.is_within_response:
            self._cancel_response_timer()
        elif self._response_timer is None:
            self._response_timer = self._start_response_timer(self._response_stalled)

    def abort_with(self, error: BaseException) -> None:
        """Closes the connection at once and tells its user why."""
        self.force_close()
        self.framer.discard()
        self.abort()
        self._report_error(error)

    def eof_received(self) -> None:
        """The peer has ended its side."""
        self._peer_ended = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Leaves the open connections and tells its user.

        Guards clients against a part of a response that has no length: only the peer's own end completes it,
        no reset and no close from here.
        """
        self._open_connections.discard(self)
        if self._peer_ended and exc is None:
            response = self.framer.end_of_stream()
            if response is not None:
                self._deliver(response)
        super().connection_lost(exc)
        self._report_error(exc if isinstance(exc, OSError) else aiohttp.ServerDisconnectedError())

    def _has_unread_bytes(self) -> bool:
        return bool(self._poll.poll(0))

    def _deliver(self, response: RawResponse) -> None:
        self._expected_responses -= 1
        if self.on_response is not None:
            self.on_response(response)

    def _response_stalled(self) -> None:
        """Guards requests against a response that begins and never ends: its rest has a packet's time."""
        self.abort_with(MalformedResponseError("a response that stopped halfway"))

    def _cancel_response_timer(self) -> None:
        if self._response_timer is not None:
            self._response_timer.cancel()
            self._response_timer = None

    def _report_error(self, error: BaseException) -> None:
        on_error = self.on_error
        self.on_error = None
        self.on_response = None
        self._cancel_response_timer()
        if on_error is not None:
            on_error(error)


def do_nothing() -> None:
    """The hook where none was set."""


class Exchange:
    """One request and its response, under way. Closing it closes its connection at once.

    Attributes:
        connection: The connector's handle, from the time the connection is up until it is given back.
        written: Whether the request was handed over completely: from then on it may have run.
        write_by_ms: The request's last byte leaves by then, or never.
        before_write: Called before the request's first byte; it may close the exchange.
        timer: Runs while a part of the request is still here.
    """

    __slots__ = ("connection", "written", "write_by_ms", "timer", "before_write")

    def __init__(self, write_by_ms: float = inf, before_write: Callable[[], None] = do_nothing) -> None:
        self.before_write = before_write
        self.connection: aiohttp.connector.Connection | None = None
        self.written = False
        self.write_by_ms = write_by_ms
        self.timer: Timer | None = None

    def close(self) -> None:
        """Gives it up: its connection is aborted, and cannot carry another request."""
        self.cancel_timer()
        connection = self.connection
        self.connection = None
        if connection is None:
            return
        transport = connection.transport
        if transport is not None:
            transport.abort()
        connection.close()

    def cancel_timer(self) -> None:
        """Stops the wait for the request's last byte to leave."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
