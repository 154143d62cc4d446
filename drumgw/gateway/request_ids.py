"""The `Request-Id` values that must not be forwarded again. Does no I/O and reads no clock.

An id names one request, and a client's retry brings a new one. While a request is in flight, a second one
with its id would be taken for a retry by an endpoint. Once it may have run, the same id would make it run
twice, also after its response was decided: a copy may have been sent before that response reached the client,
and may still be on its way. The id of a request that cannot have run may be used again.
"""

from __future__ import annotations

from drumgw.gateway.shedding import ShedReason, shed

RETENTION_MS = 60_000.0
"""How long an id is kept after its request has ended. No deadline and no connection time-out is longer."""


class RepeatedIdError(Exception):
    """The id belongs to another request, which is in flight or may have run."""


class RequestIds:
    """The ids of the requests in flight, and of those that have ended and may have run.

    Args:
        max_kept: How many ids of requests that have ended are kept; beyond that the oldest is dropped.

    Attributes:
        in_flight: The ids of the requests in flight, also while a request's body is being received.
    """

    def __init__(self, max_kept: int) -> None:
        self.in_flight: set[str] = set()
        self._max_kept = max_kept
        self._ended_ms: dict[int, float] = {}  # by hash, the oldest first: an id may be long

    def limit(self, max_kept: int) -> None:
        """Changes how many ids of requests that have ended are kept."""
        self._max_kept = max_kept
        self._drop_surplus()

    def claim(self, request_id: str, now_ms: float) -> None:
        """Registers the id of a request whose head has been received.

        Raises:
            RepeatedIdError: An earlier request with this id is in flight or may have run.
        """
        if request_id in self.in_flight:
            raise RepeatedIdError("a request with this id is in flight")
        ended_ms = self._ended_ms.get(hash(request_id))
        if ended_ms is not None and now_ms - ended_ms < RETENTION_MS:
            raise RepeatedIdError("a request with this id may have run")
        self.in_flight.add(request_id)

    def release(self, request_id: str, now_ms: float, may_have_run: bool) -> None:
        """Registers that a request has ended, with or without a response; keeps its id if it may have run."""
        self.in_flight.discard(request_id)
        if not may_have_run:
            return
        self._drop_expired(now_ms)
        key = hash(request_id)
        self._ended_ms.pop(key, None)
        self._ended_ms[key] = now_ms
        self._drop_surplus()

    def _drop_expired(self, now_ms: float) -> None:
        while self._ended_ms:
            key, ended_ms = next(iter(self._ended_ms.items()))
            if now_ms - ended_ms < RETENTION_MS:
                return
            del self._ended_ms[key]

    def _drop_surplus(self) -> None:
        while len(self._ended_ms) > self._max_kept:
            del self._ended_ms[next(iter(self._ended_ms))]
            shed[ShedReason.REQUEST_IDS] += 1
