"""Limits attempts in flight by the memory that their responses may take up. Does no I/O.

The responses to many attempts can arrive in one turn of the event loop, before any of them is passed on. How
large they will be is not known, so they are taken to be as large as recent ones.
"""

from __future__ import annotations

COPIES = 3
"""A response is kept as received, as a body, and as written to the client."""
DECAY = 0.9
"""Factor by which the expected size falls with each smaller response."""
MIN_EXPECTED_BYTES = 1024


class ResponseMemory:
    """Tells how many attempts may be in flight.

    Args:
        max_bytes: Limit on the memory of all responses.
        largest_bytes: The largest response, expected until responses have been received.

    Attributes:
        max_bytes: The limit; may be changed.
    """

    def __init__(self, max_bytes: int, largest_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._expected_bytes = float(largest_bytes)

    def record(self, byte_count: int) -> None:
        """Notes the size of a response."""
        self._expected_bytes = max(byte_count, MIN_EXPECTED_BYTES, DECAY * self._expected_bytes)

    def has_room(self, attempts_in_flight: int) -> bool:
        """Whether one more attempt may be started beside these."""
        return (attempts_in_flight + 1) * COPIES * self._expected_bytes <= self.max_bytes
