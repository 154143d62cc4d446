"""Typed events of a run, as observed by the testbed's emulated clients, endpoints and other components.

The event log file holds one event per line. Its names are defined here only: `EVENT_NAMES` and `FIELD_NAMES`
map event types and fields to their names in the file, and enum values are written as they are. Times are in
milliseconds of Unix time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from drumgw.testbed.scenario import FaultKind


class EndpointOutcome(StrEnum):
    """How an attempt ended at an endpoint."""

    SUCCEEDED = "settled"
    FAILED = "error"
    REJECTED = "full"
    CONNECTION_RESET = "reset"
    CORRUPT_RESPONSE = "spoilt"


class EndpointState(StrEnum):
    """A state change of an endpoint's process."""

    STARTED = "starts"
    DRAINING = "drains"
    OVERLOADED = "falls"
    DOWN = "down"


class Lifecycle(StrEnum):
    """An endpoint's lifecycle state on the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class GatewayState(StrEnum):
    """A state change of a gateway's process."""

    STARTED = "starts"
    STOPPING = "told to end"
    ENDED = "ended"
    KILLED = "killed"
    CRASHED = "crashed"
    NEVER_READY = "never ready"
    PAUSED = "paused"


class ClockKind(StrEnum):
    """What a scenario ran on: the virtual clock, or real sockets and real time."""

    VIRTUAL = "virtual"
    SOCKETS = "sockets"


TIME_DIGITS = 3


@dataclass(slots=True)
class LoggedEvent:
    """Base class of all events: an observation and its time."""

    time_ms: float

    def __post_init__(self) -> None:
        """Rounds the time to the precision of the file, so that a run and its file yield the same figures."""
        self.time_ms = round(self.time_ms, TIME_DIGITS)


@dataclass(slots=True)
class RunStarted(LoggedEvent):
    """The load and the schedule of faults start."""


@dataclass(slots=True)
class RunEnded(LoggedEvent):
    """The last event of a complete log; a log without it is truncated."""

    sent_count: int
    sent_late_count: int


@dataclass(slots=True)
class CounterSummary(LoggedEvent):
    """Total number of calls to the shared counter, logged at the end of the run."""

    call_count: int


@dataclass(slots=True)
class FaultStarted(LoggedEvent):
    """A fault of the scenario was injected; `number` is its index in the scenario, from 0."""

    number: int
    kind: FaultKind
    size: float | None = None
    part: float | None = None
    zone: str | None = None
    endpoint: int | None = None
    request_class: str | None = None


@dataclass(slots=True)
class FaultEnded(LoggedEvent):
    """A fault of the scenario was reverted."""

    number: int
    kind: FaultKind


@dataclass(slots=True)
class SentLate(LoggedEvent):
    """The testbed could not keep up with the load: a request was sent later than intended."""

    late_by_ms: float


@dataclass(slots=True)
class RequestCreated(LoggedEvent):
    """A client has a new request, which may take several attempts."""

    request: int
    request_class: str
    plan: str
    units: int
    intended_ms: float


@dataclass(slots=True)
class AttemptSent(LoggedEvent):
    """A client sent an attempt of its request to a gateway: the first one or a retry."""

    attempt_id: str
    request: int
    gateway: int
    request_class: str
    plan: str
    customer: int
    units: int
    time_left_ms: float


@dataclass(slots=True)
class ResponseReceived(LoggedEvent):
    """A client received a complete response."""

    attempt_id: str
    status: int
    body_attempt_id: str
    """Id of the attempt that the endpoint answered, as given in the response body."""
    retry_after_ms: float | None = None
    is_duplicate: bool | None = None
    """True if the client already had a response or had given up; otherwise None."""


@dataclass(slots=True)
class ClientEvent(LoggedEvent):
    """Base class of events that end a client's attempt without a response."""

    attempt_id: str


@dataclass(slots=True)
class ClientLeft(ClientEvent):
    """The client disconnected early."""


@dataclass(slots=True)
class ClientGaveUp(ClientEvent):
    """The client stopped waiting some time after its deadline, without a response."""


@dataclass(slots=True)
class ConnectionClosed(ClientEvent):
    """The connection to the gateway was closed before a complete response."""


@dataclass(slots=True)
class ConnectFailed(ClientEvent):
    """The client could not connect, so the gateway never received the request."""


@dataclass(slots=True)
class EndpointReceived(LoggedEvent):
    """An endpoint received an attempt completely."""

    attempt_id: str
    delivery_number: int
    """Number of this forwarded attempt, unique within the run."""
    endpoint: str
    gateway: int
    first_byte_ms: float
    """When the first byte left the gateway (virtual clock) or reached the endpoint (sockets)."""
    work_ms: float

    def __post_init__(self) -> None:
        """Rounds all times to the precision of the file."""
        self.time_ms = round(self.time_ms, TIME_DIGITS)
        self.first_byte_ms = round(self.first_byte_ms, TIME_DIGITS)
        self.work_ms = round(self.work_ms, TIME_DIGITS)


@dataclass(slots=True)
class RequestExecuted(LoggedEvent):
    """An endpoint executed a request whose idempotency key was not in its deduplication store."""

    attempt_id: str
    idempotency_key: str
    endpoint: str


@dataclass(slots=True)
class ResponseLost(LoggedEvent):
    """An injected fault suppressed the response of an attempt that had run."""

    attempt_id: str
    delivery_number: int


@dataclass(slots=True)
class EndpointFinished(LoggedEvent):
    """An attempt ended at an endpoint."""

    attempt_id: str
    delivery_number: int
    outcome: EndpointOutcome
    has_run: bool


@dataclass(slots=True)
class AttemptAbandoned(LoggedEvent):
    """The gateway closed the connection before the attempt had ended at the endpoint."""

    attempt_id: str
    delivery_number: int


@dataclass(slots=True)
class EndpointChanged(LoggedEvent):
    """An endpoint changed its state. The fields from `zone` on are set for `STARTED` only."""

    endpoint: str
    state: EndpointState
    zone: str | None = None
    cell: int | None = None
    is_cold: bool | None = None
    cores: int | None = None
    speed: float | None = None


@dataclass(slots=True)
class EndpointAnnounced(LoggedEvent):
    """A gateway's discovery agent learned an endpoint's state; the gateway must act on it from now on."""

    gateway: int
    endpoint: str
    lifecycle: Lifecycle
    started_at_ms: float


@dataclass(slots=True)
class GatewayChanged(LoggedEvent):
    """A gateway's process changed its state."""

    gateway: int
    state: GatewayState
    exit_code: int | None = None
    duration_ms: float | None = None


@dataclass(slots=True)
class EngineFailed(LoggedEvent):
    """A gateway's policy engine raised an exception."""

    gateway: int
    error: str


@dataclass(slots=True)
class GatewayLogged(LoggedEvent):
    """A line of a gateway's log."""

    gateway: int
    text: str


EVENT_NAMES: dict[type[LoggedEvent], str] = {
    RunStarted: "begins",
    RunEnded: "ends",
    CounterSummary: "counter",
    FaultStarted: "trouble",
    FaultEnded: "trouble over",
    SentLate: "lab late",
    RequestCreated: "wanted",
    AttemptSent: "asked",
    ResponseReceived: "answered",
    ClientLeft: "left",
    ClientGaveUp: "weary",
    ConnectionClosed: "closed",
    ConnectFailed: "unreached",
    EndpointReceived: "came",
    RequestExecuted: "ran",
    ResponseLost: "lost answer",
    EndpointFinished: "ended",
    AttemptAbandoned: "given up",
    EndpointChanged: "worker",
    EndpointAnnounced: "told",
    GatewayChanged: "gate",
    EngineFailed: "fault",
    GatewayLogged: "says",
}
"""Name of each event type in the file, the value of the key "what"."""

FIELD_NAMES: dict[str, str] = {
    "time_ms": "t",
    "sent_count": "sent",
    "sent_late_count": "late",
    "call_count": "calls",
    "endpoint": "worker",
    "request_class": "product",
    "late_by_ms": "by",
    "request": "order",
    "intended_ms": "intended",
    "attempt_id": "txn",
    "gateway": "gate",
    "time_left_ms": "left",
    "body_attempt_id": "mark",
    "retry_after_ms": "wait",
    "is_duplicate": "more",
    "delivery_number": "ticket",
    "first_byte_ms": "first",
    "work_ms": "work",
    "idempotency_key": "reference",
    "outcome": "how",
    "has_run": "ran",
    "is_cold": "cold",
    "lifecycle": "state",
    "started_at_ms": "born",
    "exit_code": "code",
    "duration_ms": "ms",
}
"""Names of fields in the file; a field that is not listed keeps its name."""
