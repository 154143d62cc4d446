"""The end of the requests in flight during a graceful shutdown.

The platform may kill the process once the longest deadline has passed after the linger. It counts no deadline
as longer than `MAX_DRAIN_MS`. Requests still in flight shortly before that get their answer early.
"""

from __future__ import annotations

from collections.abc import Callable

from drumgw.gateway.http_server import HttpServer

MAX_DRAIN_MS = 3000.0
"""The longest time after the linger before the platform may kill the process (protocol)."""
ANSWER_MARGIN_MS = 100.0
"""How long before the earliest kill the last responses are decided on."""
ANSWER_MARGIN_FRACTION = 0.25
"""Limits the margin to a fraction of a short deadline."""


async def finish_requests(
    http_server: HttpServer,
    linger_end_ms: float,
    longest_deadline_ms: float,
    end_requests: Callable[[], None],
) -> None:
    """Completes the requests in flight, and answers those that are left shortly before the earliest kill.

    Args:
        http_server: The listener; its readiness has been withdrawn.
        linger_end_ms: When new clients are no longer accepted.
        longest_deadline_ms: The longest deadline of a request.
        end_requests: Answers all requests in flight.
    """
    drain_ms = min(longest_deadline_ms, MAX_DRAIN_MS)
    margin_ms = min(ANSWER_MARGIN_MS, ANSWER_MARGIN_FRACTION * drain_ms)
    kill_ms = linger_end_ms + drain_ms
    await http_server.drain(kill_ms - margin_ms)
    http_server.is_rejecting = True
    end_requests()
    await http_server.drain(kill_ms)
