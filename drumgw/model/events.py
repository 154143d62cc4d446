"""What the policy engine is told. Times are in milliseconds, with fractions."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class End(Enum):
    """How a submission (or a call, or a probe) ended."""

    SETTLED = "settled"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHED = "unreached"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class Health(Enum):
    """What the worker list says of a worker."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Entry(NamedTuple):
    """A line of the worker list."""

    worker: int
    zone: int
    cell: int
    kind: str
    health: Health
    born_ms: float | None
    size: float


class Listed(NamedTuple):
    """The worker list: whole, or its changes."""

    whole: bool
    entries: tuple[Entry, ...]


class Txn(NamedTuple):
    txn: int
    left_ms: float
    plan: int
    customer: int
    product: int
    units: float
    repeat: bool
    gates: int  # how many gatekeepers this customer's txns come in through
    first_gate: int


class Answer(NamedTuple):
    """One submission ended."""

    txn: int
    submission: int
    worker: int
    end: End
    took_ms: float
    final: bool
    units: float  # true units; 0: not told
    load: dict[str, float]


class Begun(NamedTuple):
    """A streamed answer has begun; it belongs to the client."""

    txn: int


class Left(NamedTuple):
    """The client has gone; nothing is owed for this txn."""

    txn: int


class Due(NamedTuple):
    """A timer fell due."""

    label: int


class Total(NamedTuple):
    """A call to the quota counter ended."""

    name: int
    end: End
    total: float
    took_ms: float


class Probed(NamedTuple):
    worker: int
    end: End
    took_ms: float
    load: dict[str, float]


class Ending(NamedTuple):
    """The gateway ends, and has finished what was in hand: what was leased and not spent goes back."""


Event = Listed | Txn | Answer | Begun | Left | Due | Total | Probed | Ending
