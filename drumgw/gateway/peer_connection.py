"""A connection to a peer, and the exchange of one request for its response.

`PeerConnection` replaces aiohttp's `ResponseHandler` in the connector. It delivers each response through a
callback, in the event loop iteration that parses its last byte, and closes the connection on the first bytes
that are malformed or unsolicited.

A peer may send as fast as it can, and without end. What it sends is therefore read in pieces of READ_BYTES,
and parsed for at most PARSE_S at a time. The rest waits for a turn of the event loop (`turn_scheduler`), and
reading is paused until then.
"""

from __future__ import annotations

import asyncio
import os
import select
import time
from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError

from drumgw.gateway.bounded_reader import BoundedReader
from drumgw.gateway.clock import Timer
from drumgw.gateway.peer_errors import MalformedResponseError
from drumgw.gateway.response_framing import RawResponse, ResponseFramer
from drumgw.gateway.turn_scheduler import TurnScheduler

READ_BYTES = 32 * 1024
"""How much of a connection is read at once."""
PIECE_BYTES = 2 * 1024
"""How much is parsed between two looks at the clock: a millisecond's work, if all chunks have one byte."""
HEAD_PIECE_BYTES = 512
"""How much of a larger read is parsed at once; most heads fit in it."""
PARSE_S = 0.002
"""How long the bytes of one connection are parsed before others have their turn."""


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
        turns: TurnScheduler,
        read_buffer: memoryview,
    ) -> None:
        """Creates the protocol; the connector then connects it to a transport.

        Args:
            loop: The event loop.
            open_connections: Contains this connection while it is open.
            max_body_bytes: Longest body of a response.
            start_response_timer: Starts the timer for the rest of a response that has begun; returns None if
                that time is not limited.
            turns: Shared by the connections of a pool.
            read_buffer: Shared by the connections of a pool; of READ_BYTES.
        """
        super().__init__(loop)
        self.on_response: Callable[[RawResponse], None] | None = None
        self.on_error: Callable[[BaseException], None] | None = None
        self.framer = ResponseFramer(self, loop, max_body_bytes)
        self._open_connections = open_connections
        self._start_response_timer = start_response_timer
        self._turns = turns
        self._read_buffer = read_buffer
        self._unparsed = b""  # read, but waiting for a turn; reading is paused meanwhile
        self._is_queued = False  # for a turn
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
        transport.set_protocol(BoundedReader(self, self._read_buffer))
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
        """Reads and parses pending bytes without waiting for the event loop, for PARSE_S at most.

        The end or failure of the connection is left for the event loop to detect.
        """
        end_s = time.monotonic() + PARSE_S
        while self.is_usable() and time.monotonic() < end_s:
            data = self._take_unparsed() or self._read_from_socket()
            if not data:
                return
            self._parse(data, end_s)

    def _read_from_socket(self) -> bytes:
        transport = self.transport
        if transport is None or not self._has_unread_bytes():
            return b""
        try:
            return os.read(transport.get_extra_info("socket").fileno(), READ_BYTES)
        except OSError:
            return b""

    def data_received(self, data: bytes) -> None:
        """Parses the bytes, now or in a later turn."""
        if self._unparsed:
            self._unparsed += data
        else:
            self._parse(data, None)

    def _wait_for_turn(self, data: bytes) -> None:
        """Keeps bytes for a later turn, and reads no more until then."""
        assert self.transport is not None
        self._unparsed = data
        self.transport.pause_reading()
        if not self._is_queued:
            self._is_queued = True
            self._turns.add(self._take_turn)

    def _take_turn(self) -> None:
        """Goes on with the bytes that had to wait, and then with reading."""
        self._is_queued = False
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.resume_reading()
        self._parse(self._take_unparsed(), time.monotonic() + PARSE_S)

    def _take_unparsed(self) -> bytes:
        data, self._unparsed = self._unparsed, b""
        return data

    def _parse(self, data: bytes, end_s: float | None) -> None:
        """Parses bytes and delivers each response that they complete; keeps the rest once the time is over.

        A small read needs no turn, as its peer has sent no more. Nor does the beginning of a larger one, as a
        body with a length may follow, which is only copied.

        Args:
            data: The bytes that follow those parsed before.
            end_s: When the connection's turn is over, by `time.monotonic`; None if it has none yet.
        """
        first_piece_bytes = HEAD_PIECE_BYTES if end_s is None and len(data) > PIECE_BYTES else PIECE_BYTES
        position = 0
        view = memoryview(data)
        while position < len(data) and self.is_usable():
            body_bytes = self.framer.missing_body_bytes
            if position and not body_bytes and self._expected_responses:
                if end_s is None and self._turns.take_piece():
                    end_s = time.monotonic() + PARSE_S
                if end_s is None or time.monotonic() >= end_s:
                    self._wait_for_turn(data[position:])
                    break
            piece_bytes = max(body_bytes, PIECE_BYTES if position else first_piece_bytes)
            if not self._parse_piece(view[position : position + piece_bytes]):
                return
            position += piece_bytes
        if not self.framer.is_within_response and not self._unparsed:
            self._cancel_response_timer()
        elif self._response_timer is None:
            self._response_timer = self._start_response_timer(self._response_stalled)

    def _parse_piece(self, piece: memoryview) -> bool:
        """Parses a piece; returns False if it was malformed or unsolicited, and the connection aborted."""
        framer = self.framer
        framer.feed(piece)
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
            return False
        return True

    def abort_with(self, error: BaseException) -> None:
        """Closes the connection at once and passes the error to `on_error`."""
        self.force_close()
        self.framer.discard()
        self._unparsed = b""
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
        self._unparsed = b""
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
