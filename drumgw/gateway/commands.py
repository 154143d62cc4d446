"""Commands that the request lifecycle returns and its caller executes, in order.

The policy engine's actions `AddToCounter`, `SetTimer` and `LogMessage` are passed through unchanged; its
other actions are translated to the commands defined here. Times are fractional milliseconds on the gateway's
clock.
"""

from __future__ import annotations

from math import inf
from typing import Any, NamedTuple

from drumgw.model.actions import AddToCounter, LogMessage, SetTimer

STATUS_SUCCEEDED = 200
"""The endpoint's response is passed to the client."""
STATUS_FAILED = 500
"""The request failed, and an endpoint may have executed it."""
STATUS_REJECTED = 503
"""No endpoint executed the request: retrying it is safe."""


class StartAttempt(NamedTuple):
    """Forward a request to an endpoint, and report the outcome of the attempt."""

    request_id: int
    attempt: int
    endpoint_id: int
    deadline_ms: float
    """Sent to the endpoint as the time until which the client waits for a response."""
    write_deadline_ms: float = inf
    """If the request is not completely written by then, the attempt ends with `Outcome.NOT_SENT`."""


class AbortAttempt(NamedTuple):
    """Close an attempt's connection; the outcome of the attempt is no longer reported."""

    request_id: int
    attempt: int


class SendResponse(NamedTuple):
    """Send a request's final response to its client."""

    request_id: int
    status: int
    """One of the `STATUS_` constants."""
    retry_after_ms: float
    """How long a rejected client should wait before it retries; 0 if unknown."""
    response: Any
    """The response as the attempt transport reported it; None unless the request succeeded."""
    may_have_run: bool = True
    """Whether an endpoint may have run the request; a request that is safe to repeat may be rejected then."""


class ScheduleDeadline(NamedTuple):
    """Call `RequestLifecycle.deadline_reached` at this time."""

    at_ms: float
    request_id: int
    attempt: int | None
    """The attempt that the deadline applies to; None for the deadline of the request itself."""


class LogEngineError(NamedTuple):
    """Log that the policy engine raised an exception."""

    error: Exception


Command = (
    StartAttempt
    | AbortAttempt
    | SendResponse
    | ScheduleDeadline
    | LogEngineError
    | AddToCounter
    | SetTimer
    | LogMessage
)
