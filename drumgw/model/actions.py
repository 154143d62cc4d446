"""What the policy engine asks for. Times are in milliseconds, with fractions."""

from __future__ import annotations

from math import inf
from typing import NamedTuple


class ForwardRequest(NamedTuple):
    request_id: int
    endpoint_id: int
    deadline_ms: float
    write_by_ms: float = inf  # its last byte leaves by then, or never


class RejectRequest(NamedTuple):
    request_id: int
    retry_after_ms: float


class FailRequest(NamedTuple):
    request_id: int


class CancelAttempt(NamedTuple):
    request_id: int
    attempt: int


class SetTimer(NamedTuple):
    delay_ms: float
    timer_id: int


class AddToCounter(NamedTuple):
    """Add to a named count of the quota counter and learn its total."""

    counter_key: int
    amount: float
    ttl_ms: float


class CheckHealth(NamedTuple):
    endpoint_id: int


class LogMessage(NamedTuple):
    """A line for the log."""

    text: str


Action = (
    ForwardRequest
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | AddToCounter
    | CheckHealth
    | LogMessage
)
