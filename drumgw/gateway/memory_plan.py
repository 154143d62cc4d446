"""Divides the memory that a process may still use among what its clients can make it keep. Does no I/O.

What the process itself uses is deducted from its limit first, then what open connections take up at most. The
rest is divided among requests, attempts in flight, responses that clients do not read, quota accounts, and
the ids of requests that have ended. A part is left for endpoint lists, and for memory that was freed but
cannot be used again.
"""

from __future__ import annotations

from typing import NamedTuple

BYTES_PER_KB = 1024
BYTES_PER_MB = 1024 * 1024
CONNECTION_BYTES = 10 * BYTES_PER_KB
"""What a connection takes up while nothing is in flight on it, with its parser, its task and its timers."""
ACCOUNT_BYTES = 1536
KEPT_ID_BYTES = 100
REQUESTS_FRACTION = 1 / 3
ATTEMPTS_FRACTION = 1 / 4
UNSENT_FRACTION = 1 / 8
ACCOUNTS_FRACTION = 1 / 6
KEPT_IDS_FRACTION = 1 / 24
MIN_REQUESTS_BYTES = 256 * BYTES_PER_KB
"""One request of the largest size fits in it, whatever the limit is."""
MIN_ATTEMPTS_BYTES = 256 * BYTES_PER_KB
MIN_UNSENT_BYTES = 128 * BYTES_PER_KB
MIN_ACCOUNTS = 1024
MIN_SHARED_ACCOUNTS = 64
MIN_KEPT_IDS = 16_384
MIN_SHARED_KEPT_IDS = 512
MAX_KEPT_IDS = 65_536
"""Enough for a thousand requests a second, as long as the ids are kept."""


class MemoryPlan(NamedTuple):
    """Limits on what outsiders can make a process keep.

    Attributes:
        unanswered_bytes: For requests without a response.
        attempts_bytes: For responses of endpoints that are being received and passed on.
        unsent_bytes: For responses that their clients do not read.
        max_accounts: How many quota accounts are kept.
        max_kept_ids: How many ids of requests that have ended are kept.
    """

    unanswered_bytes: int
    attempts_bytes: int
    unsent_bytes: int
    max_accounts: int
    max_kept_ids: int

    def share(self, count: int) -> MemoryPlan:
        """Returns the limits of each of several services that share this process.

        Requests and unread responses stay whole: they are limited at the listener, which is one for all.
        """
        return self._replace(
            attempts_bytes=max(MIN_ATTEMPTS_BYTES, self.attempts_bytes // count),
            max_accounts=max(MIN_SHARED_ACCOUNTS, self.max_accounts // count),
            max_kept_ids=max(MIN_SHARED_KEPT_IDS, self.max_kept_ids // count),
        )

    def describe(self) -> str:
        """Returns the limits as part of a log line."""
        return (
            f"{self.unanswered_bytes // BYTES_PER_KB} KB of requests, "
            f"{self.attempts_bytes // BYTES_PER_KB} KB of attempts, "
            f"{self.unsent_bytes // BYTES_PER_KB} KB of unread responses, "
            f"{self.max_accounts} quota accounts, {self.max_kept_ids} ids of ended requests"
        )


def divide_memory(limit_bytes: int, own_bytes: int, connections: int) -> MemoryPlan:
    """Returns the limits of a process.

    Args:
        limit_bytes: What the process may use.
        own_bytes: What it uses before its first client.
        connections: How many connections it may have open.
    """
    rest_bytes = max(0, limit_bytes - own_bytes - connections * CONNECTION_BYTES)
    kept_ids = int(rest_bytes * KEPT_IDS_FRACTION / KEPT_ID_BYTES)
    return MemoryPlan(
        unanswered_bytes=max(MIN_REQUESTS_BYTES, int(rest_bytes * REQUESTS_FRACTION)),
        attempts_bytes=max(MIN_ATTEMPTS_BYTES, int(rest_bytes * ATTEMPTS_FRACTION)),
        unsent_bytes=max(MIN_UNSENT_BYTES, int(rest_bytes * UNSENT_FRACTION)),
        max_accounts=max(MIN_ACCOUNTS, int(rest_bytes * ACCOUNTS_FRACTION / ACCOUNT_BYTES)),
        max_kept_ids=min(MAX_KEPT_IDS, max(MIN_KEPT_IDS, kept_ids)),
    )
