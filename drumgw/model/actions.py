"""What the policy engine asks for.

Times are in milliseconds, with fractions; points in time are on the clock that the events are told by.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple


class ForwardRequest(NamedTuple):
    """Start the request's next attempt, at this endpoint."""

    request_id: int
    endpoint_id: int
    deadline_ms: float
    """When the attempt is given up; 0 for the request's own deadline."""
    write_by_ms: float = inf
    """The attempt's last byte leaves by then, or the attempt is withdrawn."""


class RejectRequest(NamedTuple):
    """Answer that nothing was done and that the client may try again (503)."""

    request_id: int
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Answer that the request failed and may have run (500)."""

    request_id: int


class CancelAttempt(NamedTuple):
    """Call an attempt off."""

    request_id: int
    attempt: int


class SetTimer(NamedTuple):
    """Tell `TimerFired` after this time."""

    delay_ms: float
    timer_id: int


class AddToCounter(NamedTuple):
    """Add to a value of the shared counter and tell its total; an amount of 0 only reads it."""

    counter_key: int
    amount: float
    ttl_ms: float
    """How long the counter keeps a new value."""


class LogMessage(NamedTuple):
    """Write a line to the log."""

    text: str


Action = ForwardRequest | RejectRequest | FailRequest | CancelAttempt | SetTimer | AddToCounter | LogMessage
