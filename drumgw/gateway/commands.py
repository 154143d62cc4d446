"""The commands that the request lifecycle returns, for its surroundings to carry out in their order.

The policy engine's actions `AddToCounter`, `SetTimer` and `LogMessage` are passed on as they are; its other
actions become the commands defined here. Times are in milliseconds, with fractions, on the gateway's clock.
"""

from __future__ import annotations

from math import inf
from typing import Any, NamedTuple

from drumgw.model.actions import AddToCounter, LogMessage, SetTimer

STATUS_SUCCEEDED = 200
"""The endpoint's own response follows."""
STATUS_FAILED = 500
"""The request failed and may have run."""
STATUS_REJECTED = 503
"""Nothing was done: sending the request again is harmless."""


class StartAttempt(NamedTuple):
    """Forward a request to an endpoint, and report how the attempt ended."""

    request_id: int
    attempt: int
    endpoint_id: int
    deadline_ms: float
    """The endpoint is told that the client waits until then."""
    write_by_ms: float = inf
    """The attempt's last byte leaves by then, or the attempt ends as not sent."""


class AbortAttempt(NamedTuple):
    """Give an attempt up: its connection is closed, and its end is not reported any more."""

    request_id: int
    attempt: int


class SendResponse(NamedTuple):
    """Send a request's final response to its client."""

    request_id: int
    status: int
    """One of the `STATUS_` constants."""
    retry_after_ms: float
    """When a rejected client may try again; 0 where nothing is known."""
    response: Any
    """What the endpoint's client reported as the response; None unless the request succeeded."""


class ScheduleDeadline(NamedTuple):
    """Call `RequestLifecycle.deadline_reached` at this time."""

    at_ms: float
    request_id: int
    attempt: int | None
    """The attempt whose deadline it is; None for the request's own."""


class ReportFault(NamedTuple):
    """Log that the policy engine raised an exception."""

    error: Exception


Command = (
    StartAttempt
    | AbortAttempt
    | SendResponse
    | ScheduleDeadline
    | ReportFault
    | AddToCounter
    | SetTimer
    | LogMessage
)
