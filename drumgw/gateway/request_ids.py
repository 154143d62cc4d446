"""The `Request-Id` values that must not be forwarded again. Does no I/O and reads no clock.

An id names one request. While that is in flight, a second request with its id would be taken for a retry by
an endpoint. Once its client has left before the response, an attempt may have run or may yet run, so the same
id on another connection would run the request twice.
"""

from __future__ import annotations

RETENTION_MS = 60_000.0
"""How long an id is kept after its client has left. No deadline and no connection time-out is longer."""
MAX_ABANDONED = 4096
"""Limit on the ids kept; the oldest is dropped first."""


class RequestIds:
    """The ids of the requests in flight, and those whose client left while an endpoint may have run them.

    Attributes:
        in_flight: The ids of the requests in flight.
    """

    def __init__(self) -> None:
        self.in_flight: set[str] = set()
        self._abandoned_ms: dict[int, float] = {}  # by hash, the oldest first: an id may be long

    def abandon(self, request_id: str, now_ms: float) -> None:
        """Keeps an id whose client has left before the response, as its request may have run."""
        self._drop_expired(now_ms)
        key = hash(request_id)
        self._abandoned_ms.pop(key, None)
        self._abandoned_ms[key] = now_ms
        if len(self._abandoned_ms) > MAX_ABANDONED:
            del self._abandoned_ms[next(iter(self._abandoned_ms))]

    def may_have_run(self, request_id: str, now_ms: float) -> bool:
        """Whether an earlier request with this id may have run, and its client left before the response."""
        abandoned_ms = self._abandoned_ms.get(hash(request_id))
        return abandoned_ms is not None and now_ms - abandoned_ms < RETENTION_MS

    def _drop_expired(self, now_ms: float) -> None:
        while self._abandoned_ms:
            key, abandoned_ms = next(iter(self._abandoned_ms.items()))
            if now_ms - abandoned_ms < RETENTION_MS:
                return
            del self._abandoned_ms[key]
