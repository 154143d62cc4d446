"""Events: the inputs of the policy engine.

Times are in milliseconds, with fractions. Requests, endpoints and customers are identified by opaque numbers;
the attempts of a request are numbered from 0.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """How an attempt, or a call to the shared counter, ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    """Complete response that reports an error; the request may have run."""
    REJECTED = "rejected"
    """The peer reported that it had no capacity and ran nothing."""
    TIMED_OUT = "timed out"
    """No response before the deadline; the request may have run."""
    UNREACHABLE = "unreachable"
    """No connection, or it broke before the last byte was written; nothing ran."""
    BROKEN_RESPONSE = "broken response"
    """Incomplete or invalid response; the request may have run."""
    CANCELLED = "cancelled"
    """Cancelled by this gateway; the request may have run."""
    NOT_SENT = "not sent"
    """Withdrawn by this gateway before its last byte was written, not due to the endpoint; nothing ran."""

    @property
    def may_have_run(self) -> bool:
        """Whether the endpoint may have run the request; determines retries and the final answer."""
        return self not in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


class EndpointStatus(Enum):
    """Status of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointInfo(NamedTuple):
    """One entry of the endpoint list."""

    endpoint_id: int
    zone: int
    cell: int
    machine_type: str
    """Provided by discovery; not used in decisions."""
    status: EndpointStatus
    started_at_ms: float | None
    """When it started cold; None if it was already warm when first listed."""
    weight: float
    """Provided by discovery; not used in decisions."""


class EndpointsUpdated(NamedTuple):
    """An update of the endpoint list: the complete list, or only its changes."""

    is_complete: bool
    endpoints: tuple[EndpointInfo, ...]


class RequestReceived(NamedTuple):
    """A client's request has been read completely."""

    request_id: int
    time_left_ms: float
    plan: int
    customer: int
    request_class: int
    units: float
    """Estimated cost, in units of the customer's quota."""
    is_client_retry: bool
    gateway_count: int
    """Number of gateways, starting at `first_gateway`, that receive this customer's requests."""
    first_gateway: int
    """Sent by the client; not used in decisions."""


class AttemptEnded(NamedTuple):
    """An attempt has ended. Delivered exactly once for each attempt that was started."""

    request_id: int
    attempt: int
    endpoint_id: int
    outcome: Outcome
    duration_ms: float
    """Time since the attempt started, excluding stalls of this process."""
    is_final: bool
    """Whether the client has been answered or has disconnected, so that no answer is pending."""
    billed_units: float
    """Actual cost; 0 if the endpoint did not report it."""
    load_report: dict[str, float]
    """Load figures that the endpoint reported; not used in decisions."""


class ResponseStarted(NamedTuple):
    """A streamed response has started, so the request can no longer be retried. Not used in decisions."""

    request_id: int


class ClientDisconnected(NamedTuple):
    """The client has disconnected; the request needs no answer."""

    request_id: int


class TimerFired(NamedTuple):
    """A timer started by `SetTimer` has fired."""

    timer_id: int


class CounterReplied(NamedTuple):
    """A call to the shared counter has ended."""

    counter_key: int
    outcome: Outcome
    total: float
    """The counter's value after the call; valid only if the outcome is SUCCEEDED."""
    duration_ms: float


class GatewayStopping(NamedTuple):
    """The gateway has finished its requests and is about to exit; unused reservations are returned."""


Event = (
    EndpointsUpdated
    | RequestReceived
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | TimerFired
    | CounterReplied
    | GatewayStopping
)
