"""What the policy engine is told.

Times are in milliseconds, with fractions. Requests, endpoints and customers are opaque numbers; a request's
attempts are numbered from 0.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """How an attempt, or a call to the shared counter, ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    """A complete response that reports an error: the request may have run."""
    REJECTED = "rejected"
    """The peer had no capacity, and says that nothing ran."""
    TIMED_OUT = "timed out"
    """Given up at its deadline: the request may have run."""
    UNREACHABLE = "unreachable"
    """No connection, or it broke before the last byte was written: nothing ran."""
    BROKEN_RESPONSE = "broken response"
    """No complete, valid response: the request may have run."""
    CANCELLED = "cancelled"
    """Called off by this gateway: the request may have run."""
    NOT_SENT = "not sent"
    """Withdrawn here before its last byte was written, for no fault of the endpoint's: nothing ran."""

    @property
    def may_have_run(self) -> bool:
        """Whether the endpoint may have run the request: decides about retries and about the answer."""
        return self not in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


class EndpointStatus(Enum):
    """What the endpoint list says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointInfo(NamedTuple):
    """One entry of the endpoint list."""

    endpoint_id: int
    zone: int
    cell: int
    machine_type: str
    """Told by discovery; no decision reads it."""
    status: EndpointStatus
    started_at_ms: float | None
    """When it started cold; None for one that was warm when it was first listed."""
    weight: float
    """Told by discovery; no decision reads it."""


class EndpointsUpdated(NamedTuple):
    """The endpoint list, complete, or its changes only."""

    is_complete: bool
    endpoints: tuple[EndpointInfo, ...]


class RequestReceived(NamedTuple):
    """A client's request has been read."""

    request_id: int
    time_left_ms: float
    plan: int
    customer: int
    request_class: int
    units: float
    """Estimated cost, in units of the customer's quota."""
    is_client_retry: bool
    gateway_count: int
    """How many gateways this customer's requests come in through, from `first_gateway` on."""
    first_gateway: int
    """Told by the client; no decision reads it."""


class AttemptEnded(NamedTuple):
    """An attempt has ended. Told exactly once for each attempt that was started."""

    request_id: int
    attempt: int
    endpoint_id: int
    outcome: Outcome
    duration_ms: float
    """Time since it was started, less what this process stood still."""
    is_final: bool
    """Whether the client has been answered, or has gone: nothing more is owed."""
    billed_units: float
    """True cost; 0 where the endpoint did not tell."""
    load_report: dict[str, float]
    """What the endpoint reports of its load; no decision reads it."""


class ResponseStarted(NamedTuple):
    """A streamed response has begun; from now on it belongs to the client. No decision depends on it."""

    request_id: int


class ClientDisconnected(NamedTuple):
    """The client has gone; nothing is owed for this request any more."""

    request_id: int


class TimerFired(NamedTuple):
    """A timer that `SetTimer` asked for has fired."""

    timer_id: int


class CounterReplied(NamedTuple):
    """A call to the shared counter has ended."""

    counter_key: int
    outcome: Outcome
    total: float
    """The counter's value after the call; only meaningful for SUCCEEDED."""
    duration_ms: float


class GatewayStopping(NamedTuple):
    """The gateway has finished its requests and is about to exit: unspent reservations are returned."""


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
