"""Actions: the outputs of the policy engine, carried out by its caller.

Times are in milliseconds, with fractions. Points in time are on the clock whose time is passed to the engine
with each event.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple


class ForwardRequest(NamedTuple):
    """Start the request's next attempt at this endpoint."""

    request_id: int
    endpoint_id: int
    deadline_ms: float
    """When the attempt is abandoned; 0 for the request's own deadline."""
    write_deadline_ms: float = inf
    """Withdraw the attempt if its last byte has not been written by this time."""


class RejectRequest(NamedTuple):
    """Answer that the request was not served and may safely be retried by the client (503)."""

    request_id: int
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Answer that the request failed and may have run (500)."""

    request_id: int


class CancelAttempt(NamedTuple):
    """Cancel an attempt in flight."""

    request_id: int
    attempt: int


class SetTimer(NamedTuple):
    """Deliver a `TimerFired` event after a delay."""

    delay_ms: float
    timer_id: int


class AddToCounter(NamedTuple):
    """Add to a value of the shared counter; an amount of 0 only reads it. `CounterReplied` has the total."""

    counter_key: int
    amount: float
    ttl_ms: float
    """Expiry of the value, if this call creates it."""


class LogMessage(NamedTuple):
    """Write a line to the log."""

    text: str


Action = ForwardRequest | RejectRequest | FailRequest | CancelAttempt | SetTimer | AddToCounter | LogMessage
