"""A server's connection that bounds what it keeps of the bytes that it reads.

aiohttp's handler reads on while a response to malformed input is pending, and keeps what it has read: its
parser holds the head so far, the request its body, and the traceback of a parser error the bytes that were
being parsed. As the error is queued by the very method that the traceback refers to, that is a reference
cycle, which is freed only by the garbage collector. `BoundedConnection` therefore

* reads in pieces of at most READ_BYTES,
* rejects a head over MAX_HEAD_BYTES, and a chunked body with more than MAX_FRAMING_BYTES of framing,
* stops reading with the first error, and drops the error's traceback,
* counts all bytes without a response in a `ReceiveBudget`, and frees them when the connection ends.
"""

from __future__ import annotations

from typing import Any

from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo
from aiohttp.web_server import Server

from drumgw.gateway.process_config import MAX_HEAD_BYTES
from drumgw.gateway.receive_budget import PARSED_HEAD_BYTES, ReceiveBudget

READ_BYTES = 16 * 1024
BODY_BUFFER_BYTES = 32 * 1024
"""aiohttp stops reading a body while twice this size of it is waiting to be read by the request's handler."""
MAX_FRAMING_BYTES = 2 * MAX_HEAD_BYTES
"""Limit on the chunk sizes, chunk extensions and trailers of a body."""

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


class BoundedConnection(RequestHandler):
    """aiohttp's handler of one connection, with bounds on what it keeps.

    Attributes:
        unanswered_bytes: Bytes received for requests without a response.
    """

    __slots__ = (
        "unanswered_bytes",
        "_budget",
        "_head_bytes",
        "_surplus_bytes",
        "_body_bytes",
        "_last_payload",
        "_is_over_budget",
        "_has_stopped_reading",
        "_is_answered",
    )

    def __init__(self, budget: ReceiveBudget, server: Server, **kwargs: Any) -> None:
        super().__init__(server, read_bufsize=BODY_BUFFER_BYTES, **kwargs)
        self.unanswered_bytes = 0
        self._budget = budget
        self._head_bytes = 0  # of the request whose head is incomplete, without `_surplus_bytes`
        self._surplus_bytes = 0  # of the read that ended the previous request; some may be of the next head
        self._body_bytes = 0  # of the request whose body is incomplete, with its framing and first read
        self._last_payload: StreamReader = EMPTY_PAYLOAD
        self._is_over_budget = False
        self._has_stopped_reading = False
        self._is_answered = True  # all requests have responses; aiohttp may still read the last one's body

    # What a request may hold

    def data_received(self, data: bytes) -> None:
        """Lets aiohttp parse the bytes, and enforces the limits.

        aiohttp calls it without bytes to parse those that it has not parsed yet.
        """
        if self._has_stopped_reading:
            return
        request_count = self._request_count
        is_in_body = not self._last_payload.is_eof()
        super().data_received(data)
        if self._force_close or self._close:
            return
        new_count = self._request_count - request_count
        if new_count:
            self._check_new_requests(new_count, len(data))
        elif is_in_body and data:
            self._check_partial_body(len(data))
        elif data:
            self._check_partial_head(len(data))
        if not self._budget.receive(self, len(data) + PARSED_HEAD_BYTES * new_count):
            self._is_over_budget = True
            self._pause_transport_reading()

    def _check_new_requests(self, new_count: int, byte_count: int) -> None:
        """Rejects a head that is too large; the sizes are computed only if one may exceed the limit."""
        self._is_answered = False
        message, payload = self._messages[-1]
        if type(message) is _ErrInfo:
            self._stop_after_error(message.exc)
            return
        is_parsed_later = not byte_count
        most_head_bytes = self._surplus_bytes + self._head_bytes + byte_count
        self._head_bytes = 0
        self._surplus_bytes = byte_count
        self._body_bytes = byte_count
        if is_parsed_later or most_head_bytes > MAX_HEAD_BYTES:
            new_messages = [self._messages.pop() for _ in range(new_count)]
            for new_message, new_payload in reversed(new_messages):
                assert not isinstance(new_message, _ErrInfo)
                if _head_size(new_message) > MAX_HEAD_BYTES:
                    self._reject(HEAD_TOO_LARGE)
                    return
                self._messages.append((new_message, new_payload))
        self._last_payload = payload

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

    def _stop_after_error(self, error: BaseException) -> None:
        self._stop_reading()
        error.__traceback__ = None  # its frames refer to the bytes read, and to the error itself
        self._reject_partial_body(BAD_REQUEST)

    def _reject(self, status: int) -> None:
        """Answers a partial request with an error, after the responses to earlier requests."""
        self._stop_reading()
        if self._reject_partial_body(status):
            return
        error = _ErrInfo(status=status, exc=BadHttpMessage(""), message="")
        self._messages.append((error, EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _reject_partial_body(self, status: int) -> bool:
        """Ends the wait for the rest of a body; returns whether a request with a partial body was open."""
        if self._last_payload.is_eof():
            return False
        if self._is_answered:
            self.force_close()
        else:
            self._last_payload.set_exception(PartialRequestRejectedError(status))
        return True

    def _stop_reading(self) -> None:
        self._has_stopped_reading = True
        self._pause_transport_reading()

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
        self._budget.release(self)
        if self._messages:
            self._budget.receive(self, self._last_payload.total_bytes)
        else:
            self._is_answered = True
            if self._has_stopped_reading:
                self._last_payload.feed_eof()  # aiohttp would wait for the rest
                self.close()
        if self._is_over_budget:
            self._is_over_budget = False
            if not self._reading_paused:
                self._resume_transport_reading()

    def release_all(self) -> None:
        """Drops all that was received; the connection reads no more and handles no further request."""
        self._has_stopped_reading = True
        self._budget.release(self)
        if self._waiter is None or not self._waiter.done():  # otherwise aiohttp is about to take a message
            self._messages.clear()
        self._parser = None
        self._last_payload = EMPTY_PAYLOAD

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drops all that was received."""
        super().connection_lost(exc)
        self.release_all()

    def _pause_reading_for_buffer(self) -> None:
        """Goes on reading while aiohttp's queue of requests is full, until the budget is used up.

        The end of the client's stream is noticed only once all bytes before it have been read.
        """
        self._buffer_paused = True

    def _resume_transport_reading(self) -> None:
        if not self._is_over_budget and not self._has_stopped_reading:
            super()._resume_transport_reading()


def _head_size(message: RawRequestMessage) -> int:
    size = len(message.method) + len(message.path) + HEAD_FORMAT_BYTES
    for name, value in message.raw_headers:
        size += len(name) + len(value) + HEADER_FORMAT_BYTES
    return size
