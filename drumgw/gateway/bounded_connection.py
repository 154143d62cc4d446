"""A server's connection that bounds what it keeps of the bytes that it reads.

aiohttp's handler reads on while a response to malformed input is pending, and keeps what it has read: its
parser holds the head so far, the request its body, and the traceback of a parser error the bytes that were
being parsed. As the error is queued by the very method that the traceback refers to, that is a reference
cycle, which is freed only by the garbage collector. `BoundedConnection` replaces that method. It

* reads in pieces of at most READ_BYTES, of which only a few are parsed in each turn of the event loop,
* rejects a head over MAX_HEAD_BYTES, and a chunked body with more than MAX_FRAMING_BYTES of framing,
* stops reading with the first error, and keeps nothing of the error but a status,
* counts all bytes without a response in a `ReceiveBudget`, and frees them when the connection ends,
* keeps bytes unparsed, and reads no further, while that budget is used up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

from aiohttp.http import HttpProcessingError, RawRequestMessage
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

from drumgw.gateway.connection_shares import ConnectionShares
from drumgw.gateway.process_config import MAX_FRAMING_BYTES, MAX_HEAD_BYTES
from drumgw.gateway.receive_budget import memory_of

READ_BYTES = 2 * 1024
"""Parsing this much takes a few milliseconds at worst, if it is all chunks of one byte."""
BODY_BUFFER_BYTES = 32 * 1024
"""aiohttp stops reading a body while twice this size of it is waiting to be read by the request's handler."""
PIECE_BYTES = 512
"""Few requests fit in one. What a client sends at once is parsed in pieces of this size."""

ParsedRequest = tuple[RawRequestMessage, StreamReader]
"""A head and its body, as aiohttp's parser returns them."""

BAD_REQUEST = 400
HEAD_TOO_LARGE = 431
CONTENT_TOO_LARGE = 413
SERVICE_UNAVAILABLE = 503
HEAD_FORMAT_BYTES = len(b"  HTTP/1.1\r\n\r\n")
HEADER_FORMAT_BYTES = len(b": \r\n")


class PartialRequestRejectedError(RequestPayloadError):
    """The rest of a request's body is not read.

    Attributes:
        status: The status of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"the rest of the body is not read: {status}")
        self.status = status


def status_of_payload_error(error: RequestPayloadError) -> int:
    """Returns the status of the response to a request whose body cannot be read, and frees the body.

    The traceback of the error refers to the body and, through the future that the reader awaited, to itself.
    """
    error.__traceback__ = None
    return error.status if isinstance(error, PartialRequestRejectedError) else BAD_REQUEST


class BoundedConnection(RequestHandler):
    """aiohttp's handler of one connection, with bounds on what it keeps.

    Attributes:
        unanswered_bytes: Memory of its requests without a response.
        shares: What it shares with the other connections of its listener.
    """

    __slots__ = (
        "unanswered_bytes",
        "shares",
        "_unparsed",
        "_head_bytes",
        "_surplus_bytes",
        "_body_bytes",
        "_last_payload",
        "_is_over_budget",
        "_has_stopped_reading",
        "_is_answered",
    )

    def __init__(self, shares: ConnectionShares, server: Server, **kwargs: Any) -> None:
        super().__init__(server, read_bufsize=BODY_BUFFER_BYTES, **kwargs)
        self.unanswered_bytes = 0
        self.shares = shares
        self._unparsed = b""  # read, but waiting for a turn or for memory
        self._head_bytes = 0  # of the request whose head is incomplete, without `_surplus_bytes`
        self._surplus_bytes = 0  # of the read that ended the previous request; some may be of the next head
        self._body_bytes = 0  # of the request whose body is incomplete, with its framing and first read
        self._last_payload: StreamReader = EMPTY_PAYLOAD
        self._is_over_budget = False
        self._has_stopped_reading = False
        self._is_answered = True  # all requests have responses; aiohttp may still read the last one's body

    # What a request may hold

    def data_received(self, data: bytes) -> None:
        """Parses the bytes, now or in a later turn, and enforces the limits.

        Replaces aiohttp's method. aiohttp calls it without bytes to parse those that it has not parsed yet.
        """
        if self._has_stopped_reading or self._force_close or self._close:
            return
        if data and self._unparsed:
            self._unparsed += data
        elif data and self._must_wait(len(data)):
            self._hold(data)
            if not self._has_complete_request():
                self.shares.reading.add(self._parse_held)
        else:
            self._parse_pieces(data)

    def _must_wait(self, byte_count: int) -> bool:
        """Whether bytes that were read have to wait for a response, for memory or for a turn.

        Requests behind one without a response stay unparsed, as they would take up many times their bytes.
        Less than a full read needs no turn: its client has sent no more.
        """
        if self._has_complete_request() or self.shares.received.is_exhausted:
            return True
        return byte_count >= READ_BYTES and not self.shares.reading.take_piece()

    def _has_complete_request(self) -> bool:
        """Whether a request that was received completely has no response yet."""
        return bool(self._messages or not self._is_answered) and self._last_payload.is_eof()

    def _hold(self, data: bytes) -> None:
        self._unparsed = data
        self._pause_transport_reading()

    def _parse_held(self) -> None:
        """Goes on with the bytes that had to wait, and then with reading."""
        data, self._unparsed = self._unparsed, b""
        if not data:  # queued twice: an early response came while the rest of its request waited
            return
        if self._has_stopped_reading or self._force_close or self._close:
            return
        self._parse_pieces(data)
        if not self._reading_paused:
            self._resume_transport_reading()

    def _parse_pieces(self, data: bytes) -> None:
        """Parses bytes until they hold a complete request; the rest is parsed after its response."""
        if len(data) <= PIECE_BYTES or not self._last_payload.is_eof():
            self._parse_all(data)
            return
        position = 0
        while position < len(data) and not self._has_stopped_reading:
            if self._has_complete_request():
                self._hold(data[position:])
                return
            end = position + PIECE_BYTES if self._last_payload.is_eof() else len(data)
            self._parse_all(data[position:end])
            position = end

    def has_further_requests(self) -> bool:
        """Whether requests behind the one that is being answered were read, at least in part."""
        return bool(self._messages) or self.has_unparsed_bytes()

    def has_unparsed_bytes(self) -> bool:
        """Whether bytes were read that wait for a turn or for memory; they may be a whole request."""
        return bool(self._unparsed)

    def _parse_all(self, data: bytes) -> None:
        unparsed = self._parse(data, len(data))
        while unparsed:
            unparsed = self._parse(unparsed, 0)

    def _parse(self, data: bytes, received_bytes: int) -> bytes:
        """Parses bytes up to the end, or up to the end of a request that offers to upgrade the connection.

        Such an offer is declined at once, as what follows it is a further request.

        Args:
            data: The bytes.
            received_bytes: Those that the budget does not know of yet.

        Returns:
            The bytes that are still to be parsed.
        """
        assert self._parser is not None
        is_in_body = not self._last_payload.is_eof()
        try:
            messages, is_upgrade_offered, unparsed = self._parser.feed_data(data)
        except HttpProcessingError:
            self._reject(BAD_REQUEST)
            return b""
        field_count = 0
        if messages:
            self._add_requests(messages, len(data))
            field_count = sum(len(message.raw_headers) for message, _ in messages)
        elif data and is_in_body:
            self._check_partial_body(len(data))
        elif data:
            field_count = data.count(b"\n")
            self._check_partial_head(len(data))
        if not self.shares.received.receive(self, memory_of(received_bytes, field_count, len(messages))):
            self._is_over_budget = True
            self._pause_transport_reading()
        if not is_upgrade_offered or self._has_stopped_reading:
            return b""
        self._parser.set_upgraded(False)
        return unparsed

    def _add_requests(self, messages: Sequence[ParsedRequest], byte_count: int) -> None:
        """Queues requests whose heads are complete; the sizes are computed only if one may be too large."""
        is_parsed_later = not byte_count
        most_head_bytes = self._surplus_bytes + self._head_bytes + byte_count
        self._is_answered = False
        self._head_bytes = 0
        self._surplus_bytes = byte_count
        self._body_bytes = byte_count
        self._request_count += len(messages)
        for message, payload in messages:
            if (is_parsed_later or most_head_bytes > MAX_HEAD_BYTES) and _head_size(message) > MAX_HEAD_BYTES:
                self._reject(HEAD_TOO_LARGE)
                return
            self._messages.append((message, payload))
            self._last_payload = payload
        if len(self._messages) >= self._max_msg_queue_size:
            self._buffer_paused = True
        self._wake_up()

    def _check_partial_head(self, byte_count: int) -> None:
        if self._buffer_paused:  # further requests, which aiohttp does not parse yet
            return
        self._head_bytes += byte_count
        if self._head_bytes > MAX_HEAD_BYTES:
            self._reject(HEAD_TOO_LARGE)

    def _check_partial_body(self, byte_count: int) -> None:
        """Rejects a body with too much framing, by the bytes before this read: aiohttp has parsed those."""
        if self._body_bytes - self._last_payload.total_bytes > MAX_FRAMING_BYTES:
            self._reject(CONTENT_TOO_LARGE)
        self._body_bytes += byte_count
        self._surplus_bytes = byte_count

    def _reject(self, status: int) -> None:
        """Stops reading, and answers a partial request with an error after the responses to earlier ones."""
        self._has_stopped_reading = True
        self._pause_transport_reading()
        if not self._reject_partial_body(status):
            error = _ErrInfo(status=status, exc=BadHttpMessage(""), message="")
            self._messages.append((error, EMPTY_PAYLOAD))
        self._wake_up()

    def _wake_up(self) -> None:
        """Lets aiohttp handle the queued requests, if it waits for one."""
        waiter = self._waiter
        if waiter is not None and self._messages and not waiter.done():
            waiter.set_result(None)

    def _reject_partial_body(self, status: int) -> bool:
        """Ends the wait for the rest of a body; returns whether a request with a partial body was open."""
        if self._last_payload.is_eof():
            return False
        if self._is_answered:
            self.force_close()
        else:
            self._last_payload.set_exception(PartialRequestRejectedError(status))
        return True

    # Error responses

    def error_response(self, status: int) -> StreamResponse:
        """Returns the response to a request that cannot be parsed."""
        raise NotImplementedError

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Answers a request that aiohttp cannot parse. Not logged: clients could flood the log with them."""
        response = self.error_response(status)
        response.force_close()
        return response

    # Called by the budget

    def is_receiving_request(self) -> bool:
        """Whether its only unanswered request has not been received completely."""
        if self._has_stopped_reading:
            return False
        is_handling = self._waiter is None and not self._is_answered
        open_count = len(self._messages) + is_handling
        return not open_count or (open_count == 1 and not self._last_payload.is_eof())

    def reject_partial_request(self) -> None:
        """Rejects the request that is being received, and stops reading."""
        self._reject(SERVICE_UNAVAILABLE)

    # Freeing what was received

    def release_answered(self) -> None:
        """Frees the budget if all requests received completely have responses; called after each response.

        Of a further request that was received in part, only the body is counted from then on.
        """
        partial_count = 0 if self._last_payload.is_eof() else 1
        if len(self._messages) > partial_count:
            return
        self.shares.received.release(self)
        if self._messages:
            self.shares.received.receive(self, memory_of(self._last_payload.total_bytes))
        else:
            self._is_answered = True
            if self._has_stopped_reading:
                self._last_payload.feed_eof()  # aiohttp would wait for the rest
                self.close()
            elif self._unparsed:
                self.shares.reading.add(self._parse_held)
        if self._is_over_budget:
            self._is_over_budget = False
            if not self._reading_paused:
                self._resume_transport_reading()

    def release_all(self) -> None:
        """Drops all that was received; the connection reads no more and handles no further request."""
        self._has_stopped_reading = True
        self._unparsed = b""
        self.shares.received.release(self)
        if self._waiter is None or not self._waiter.done():  # otherwise aiohttp is about to take a message
            self._messages.clear()
        self._parser = None
        self._last_payload = EMPTY_PAYLOAD

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drops all that was received."""
        super().connection_lost(exc)
        self.shares.unsent.remove(self)
        self.release_all()

    # Responses that the client does not read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Makes every unsent byte count: `writing_paused` is set as long as there is one."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(0)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """Counts a response that was not sent at once."""
        super().pause_writing()
        if self.transport is not None:
            self.shares.unsent.add(self)

    def resume_writing(self) -> None:
        """Stops counting it once it is sent."""
        super().resume_writing()
        self.shares.unsent.remove(self)

    def unsent_bytes(self) -> int:
        """Returns the size of the write buffer."""
        transport = self.transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def abort(self) -> None:
        """Closes the connection at once, without flushing."""
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()

    def _pause_reading_for_buffer(self) -> None:
        """Goes on reading while aiohttp's queue of requests is full, until the budget is used up.

        The end of the client's stream is noticed only once all bytes before it have been read.
        """
        self._buffer_paused = True

    def _resume_transport_reading(self) -> None:
        if not self._unparsed and not self._is_over_budget and not self._has_stopped_reading:
            super()._resume_transport_reading()


def _head_size(message: RawRequestMessage) -> int:
    size = len(message.method) + len(message.path) + HEAD_FORMAT_BYTES
    for name, value in message.raw_headers:
        size += len(name) + len(value) + HEADER_FORMAT_BYTES
    return size
