"""A connection to a peer, and the exchange of one request for its response.

`PeerConnection` replaces aiohttp's `ResponseHandler` in the connector. It delivers each response through a
callback, in the event loop iteration that reads its last byte, and closes the connection on the first bytes
that are malformed or unsolicited.
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
    """A connection on which responses arrive in the order of their requests.

    Attributes:
        on_response: Called with each response; set by the current user of the connection.
        on_error: Called once if the connection breaks; set by the current user of the connection.
        framer: Splits the received bytes into responses.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        open_connections: set[PeerConnection],
        max_body_bytes: int,
        start_response_timer: Callable[[Callable[[], None]], Timer | None],
    ) -> None:
        """Creates the protocol; the connector then connects it to a transport.

        Args:
            loop: The event loop.
            open_connections: Contains this connection while it is open.
            max_body_bytes: Longest body of a response.
            start_response_timer: Starts the timer for the rest of a response that has begun; returns None if
                that time is not limited.
        """
        super().__init__(loop)
        self.on_response: Callable[[RawResponse], None] | None = None
        self.on_error: Callable[[BaseException], None] | None = None
        self.framer = ResponseFramer(self, loop, max_body_bytes)
        self._open_connections = open_connections
        self._start_response_timer = start_response_timer
        self._expected_responses = 0
        self._response_timer: Timer | None = None
        self._peer_sent_eof = False  # not set by a reset or a close from this side
        self._poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds itself to the open connections and sets up the checks for unsent and unread bytes."""
        super().connection_made(transport)
        # With a limit of 0, `writing_paused` is set exactly while part of a request is still buffered here.
        # It stays set if that part is never sent.
        transport.set_write_buffer_limits(0)  # type: ignore[attr-defined]
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._open_connections.add(self)

    def is_connected(self) -> bool:
        """Whether the connection can be reused; aiohttp's connector calls this for kept connections.

        A connection with unread bytes is not reused: they would be taken for the next request's response.
        """
        return super().is_connected() and not self.should_close and not self._has_unread_bytes()

    def is_usable(self) -> bool:
        """Whether the transport is open and accepts data."""
        return self.transport is not None and not self.transport.is_closing()

    def send_request(self, request: bytes) -> None:
        """Writes a complete request and expects one more response."""
        assert self.transport is not None
        self.transport.write(request)
        self._expected_responses += 1

    def read_pending(self) -> None:
        """Reads pending bytes from the socket without waiting for the event loop.

        The end or failure of the connection is left for the event loop to detect.
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
        """Delivers each response that the new bytes complete."""
        framer = self.framer
        framer.feed(data)
        try:
            while framer.has_data:
                if not self._expected_responses:
                    raise MalformedResponseError("unsolicited data: no response is expected")
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
        """Closes the connection at once and passes the error to `on_error`."""
        self.force_close()
        self.framer.discard()
        self.abort()
        self._report_error(error)

    def eof_received(self) -> None:
        """Records that the peer has shut down its side."""
        self._peer_sent_eof = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes itself from the open connections and passes the error to `on_error`.

        A response without a length is complete only if the peer itself shut down its side. After a reset or a
        close from this side it may be truncated, so it is not delivered.
        """
        self._open_connections.discard(self)
        if self._peer_sent_eof and exc is None:
            response = self.framer.end_of_stream()
            if response is not None:
                self._deliver(response)
        self.framer.close()
        super().connection_lost(exc)
        self._report_error(exc if isinstance(exc, OSError) else aiohttp.ServerDisconnectedError())

    def _has_unread_bytes(self) -> bool:
        return bool(self._poll.poll(0))

    def _deliver(self, response: RawResponse) -> None:
        self._expected_responses -= 1
        if self.on_response is not None:
            self.on_response(response)

    def _response_stalled(self) -> None:
        """Aborts a response that has begun but was not completed within the connect timeout.

        Without this limit a request would wait until its deadline for a peer that stops halfway. The connect
        timeout is long enough, as the rest of a response takes no longer to arrive than a single packet.
        """
        self.abort_with(MalformedResponseError("response incomplete when the connect timeout expired"))

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
    """Default for `before_write` callbacks."""


class Exchange:
    """A request in flight and its response. Closing the exchange closes its connection at once.

    Attributes:
        connection: The connector's handle, from the time the connection is established until it is released.
        written: Whether the complete request was written: from then on the peer may have processed it.
        write_deadline_ms: Deadline for sending the request's last byte; afterwards no more of it is sent.
        before_write: Called before the request's first byte; it may close the exchange.
        timer: Enforces the write deadline while part of the request is still buffered.
    """

    __slots__ = ("connection", "written", "write_deadline_ms", "timer", "before_write")

    def __init__(self, write_deadline_ms: float = inf, before_write: Callable[[], None] = do_nothing) -> None:
        self.before_write = before_write
        self.connection: aiohttp.connector.Connection | None = None
        self.written = False
        self.write_deadline_ms = write_deadline_ms
        self.timer: Timer | None = None

    def close(self) -> None:
        """Aborts the connection, which then cannot be reused. Has no effect once it was released."""
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
        """Cancels the timer of the write deadline, if it is running."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
