"""What the testbed's emulated parties observe, as typed events.

The event log holds one event a line. This module is the edge to its file: `EVENT_NAMES` and `FIELD_NAMES`
map the file's names, and the values of the enums are the file's. Times are milliseconds of Unix time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from drumgw.testbed.scenario import FaultKind


class EndpointOutcome(StrEnum):
    """How an endpoint ended an attempt."""

    SUCCEEDED = "settled"
    FAILED = "error"
    REJECTED = "full"
    CONNECTION_RESET = "reset"
    CORRUPT_RESPONSE = "spoilt"


class EndpointState(StrEnum):
    """What happened to an endpoint's process."""

    STARTED = "starts"
    DRAINING = "drains"
    OVERLOADED = "falls"
    DOWN = "down"


class Lifecycle(StrEnum):
    """What the endpoint list says of an endpoint."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class GatewayState(StrEnum):
    """What happened to a gateway's process."""

    STARTED = "starts"
    STOPPING = "told to end"
    ENDED = "ended"
    KILLED = "killed"
    CRASHED = "crashed"
    NEVER_READY = "never ready"
    PAUSED = "paused"


class ClockKind(StrEnum):
    """What a scenario was played on."""

    VIRTUAL = "virtual"
    SOCKETS = "sockets"


TIME_DIGITS = 3


@dataclass(slots=True)
class LoggedEvent:
    """Something that was observed at a time."""

    time_ms: float

    def __post_init__(self) -> None:
        """Keeps as many digits as the file has, so that a run and its file give the same figures."""
        self.time_ms = round(self.time_ms, TIME_DIGITS)


@dataclass(slots=True)
class RunStarted(LoggedEvent):
    """From now on clients send and faults happen."""


@dataclass(slots=True)
class RunEnded(LoggedEvent):
    """The last event: a log without it was cut off."""

    sent_count: int
    sent_late_count: int


@dataclass(slots=True)
class CounterSummary(LoggedEvent):
    """Calls to the shared counter in the whole run."""

    call_count: int


@dataclass(slots=True)
class FaultStarted(LoggedEvent):
    """A fault of the scenario struck; `number` is its position there, from 0."""

    number: int
    kind: FaultKind
    size: float | None = None
    part: float | None = None
    zone: str | None = None
    endpoint: int | None = None
    request_class: str | None = None


@dataclass(slots=True)
class FaultEnded(LoggedEvent):
    """A fault of the scenario was undone."""

    number: int
    kind: FaultKind


@dataclass(slots=True)
class SentLate(LoggedEvent):
    """The testbed itself was too slow: a request went out later than intended."""

    late_by_ms: float


@dataclass(slots=True)
class RequestCreated(LoggedEvent):
    """A client wants a request answered."""

    request: int
    request_class: str
    plan: str
    units: int
    intended_ms: float


@dataclass(slots=True)
class AttemptSent(LoggedEvent):
    """A client sent its request to a gateway, for the first time or as a retry."""

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
    made_for: str
    """The attempt that an endpoint made the response for, as its body says."""
    retry_after_ms: float | None = None
    is_duplicate: bool | None = None
    """True where the client had an answer, or had given up, before."""


@dataclass(slots=True)
class ClientEvent(LoggedEvent):
    """The end of a client's attempt that has no response."""

    attempt_id: str


@dataclass(slots=True)
class ClientLeft(ClientEvent):
    """The client disconnected early."""


@dataclass(slots=True)
class ClientGaveUp(ClientEvent):
    """The client waited beyond its deadline and was not answered."""


@dataclass(slots=True)
class ConnectionClosed(ClientEvent):
    """The gateway's connection ended without a complete response."""


@dataclass(slots=True)
class ConnectFailed(ClientEvent):
    """No connection came up: the gateway never had the request."""


@dataclass(slots=True)
class EndpointReceived(LoggedEvent):
    """An attempt's last byte reached an endpoint."""

    attempt_id: str
    receipt: int
    """Number of this sending, over the whole run."""
    endpoint: str
    gateway: int
    first_byte_ms: float
    """When its first byte left the gateway (virtual clock), or reached the endpoint (sockets)."""
    work_ms: float

    def __post_init__(self) -> None:
        """Keeps as many digits as the file has."""
        self.time_ms = round(self.time_ms, TIME_DIGITS)
        self.first_byte_ms = round(self.first_byte_ms, TIME_DIGITS)
        self.work_ms = round(self.work_ms, TIME_DIGITS)


@dataclass(slots=True)
class RequestExecuted(LoggedEvent):
    """An endpoint ran a request with an idempotency key, in place of recalling its result."""

    attempt_id: str
    idempotency_key: str
    endpoint: str


@dataclass(slots=True)
class ResponseLost(LoggedEvent):
    """A fault: the attempt ran and its response was never sent."""

    attempt_id: str
    receipt: int


@dataclass(slots=True)
class EndpointFinished(LoggedEvent):
    """An endpoint ended an attempt."""

    attempt_id: str
    receipt: int
    outcome: EndpointOutcome
    has_run: bool


@dataclass(slots=True)
class AttemptAbandoned(LoggedEvent):
    """The gateway closed the connection of an attempt that had not ended."""

    attempt_id: str
    receipt: int


@dataclass(slots=True)
class EndpointChanged(LoggedEvent):
    """An endpoint started, drains, or went down. The fields from `zone` on belong to a start."""

    endpoint: str
    state: EndpointState
    zone: str | None = None
    cell: int | None = None
    is_cold: bool | None = None
    cores: int | None = None
    speed: float | None = None


@dataclass(slots=True)
class EndpointAnnounced(LoggedEvent):
    """A gateway's discovery agent has this word of an endpoint; from now on it binds the gateway."""

    gateway: int
    endpoint: str
    lifecycle: Lifecycle
    started_at_ms: float


@dataclass(slots=True)
class GatewayChanged(LoggedEvent):
    """A gateway's process started, ended or stands still."""

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
"""The file's name of each event, under the key "what"."""

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
    "made_for": "mark",
    "retry_after_ms": "wait",
    "is_duplicate": "more",
    "receipt": "ticket",
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
"""The file's name of each field; the others have the same name there."""
