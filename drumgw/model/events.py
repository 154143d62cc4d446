"""What the policy engine is told. Times are in milliseconds, with fractions."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """How a submission (or a call, or a probe) ended."""

    SUCCEEDED = "settled"
    FAILED = "error"
    REJECTED = "full"
    TIMED_OUT = "timeout"
    UNREACHABLE = "unreached"
    BROKEN_RESPONSE = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class EndpointStatus(Enum):
    """What the worker list says of a worker."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointInfo(NamedTuple):
    """A line of the worker list."""

    endpoint_id: int
    zone: int
    cell: int
    machine_type: str
    status: EndpointStatus
    started_at_ms: float | None
    weight: float


class EndpointsUpdated(NamedTuple):
    """The worker list: whole, or its changes."""

    is_complete: bool
    endpoints: tuple[EndpointInfo, ...]


class RequestReceived(NamedTuple):
    request_id: int
    time_left_ms: float
    plan: int
    customer: int
    request_class: int
    units: float
    is_client_retry: bool
    gateway_count: int  # how many gatekeepers this customer's txns come in through
    first_gateway: int


class AttemptEnded(NamedTuple):
    """One submission ended."""

    request_id: int
    attempt: int
    endpoint_id: int
    outcome: Outcome
    duration_ms: float
    is_final: bool
    billed_units: float  # true units; 0: not told
    load_report: dict[str, float]


class ResponseStarted(NamedTuple):
    """A streamed answer has begun; it belongs to the client."""

    request_id: int


class ClientDisconnected(NamedTuple):
    """The client has gone; nothing is owed for this txn."""

    request_id: int


class TimerFired(NamedTuple):
    """A timer fell due."""

    timer_id: int


class CounterReplied(NamedTuple):
    """A call to the quota counter ended."""

    counter_key: int
    outcome: Outcome
    total: float
    duration_ms: float


class HealthCheckEnded(NamedTuple):
    endpoint_id: int
    outcome: Outcome
    duration_ms: float
    load_report: dict[str, float]


class GatewayStopping(NamedTuple):
    """The gateway ends, and has finished what was in hand: what was leased and not spent goes back."""


Event = (
    EndpointsUpdated
    | RequestReceived
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | TimerFired
    | CounterReplied
    | HealthCheckEnded
    | GatewayStopping
)
