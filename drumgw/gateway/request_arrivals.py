"""When the requests on a connection arrived. Does no I/O.

A client's time counts from the arrival of its request's last byte. aiohttp handles the requests of a
connection one after another, so a request may wait in its queue while earlier ones are in flight.
"""

from __future__ import annotations

from drumgw.gateway.http_headers import HEAD_END


class RequestArrivals:
    """The arrivals of a connection's requests, in the order in which they are handled.

    Attributes:
        current_ms: When the request that is being handled arrived, or earlier if that is uncertain.
        latest_ms: The arrival of the latest request that was received.
    """

    __slots__ = ("current_ms", "latest_ms", "_queued_ms")

    def __init__(self, now_ms: float) -> None:
        self.current_ms = now_ms
        self.latest_ms = now_ms
        self._queued_ms: list[float] = []

    def __len__(self) -> int:
        """Returns how many requests are waiting to be handled."""
        return len(self._queued_ms)

    def add(self, count: int) -> None:
        """Adds requests that arrived at `latest_ms`. The body of the last one may still be incomplete."""
        self._queued_ms += [self.latest_ms] * count

    def complete_body(self) -> None:
        """Called when the body of the last request is completed, at `latest_ms`."""
        if self._queued_ms:
            self._queued_ms[-1] = self.latest_ms
        else:
            self.current_ms = self.latest_ms

    def start_next(self) -> None:
        """Called when the next request starts to be handled."""
        if self._queued_ms:
            self.current_ms = self._queued_ms.pop(0)


def ends_with_request(data: bytes, body_bytes: int) -> bool:
    """Whether the last byte is that of a request whose body has these many bytes of the data.

    False also for a chunked body, and for a head whose last line was read in pieces.
    """
    head = data[: len(data) - body_bytes]
    return not head or head.endswith(HEAD_END)
