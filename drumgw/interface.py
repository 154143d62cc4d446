"""Events, actions and start-up terms of the decision module, in the operators' words.

Times are milliseconds with fractions. Products, plans and zones are indices into the
terms' lists; txn, worker and customer ids are opaque numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple


class Repeat(Enum):
    """What a product allows to be sent again."""

    INQUIRY = "inquiry-like"
    REFERENCED = "referenced"
    ONCE = "once-only"


class Group(Enum):
    """The workers that drop each other's repeats of a referenced txn."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


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


@dataclass(frozen=True, slots=True)
class Product:
    value: float
    sla_ms: float
    expiry_ms: float
    repeat: Repeat
    group: Group
    remember_ms: float
    late_value: float


@dataclass(frozen=True, slots=True)
class Plan:
    rate: float  # units a second; 0: no such quota
    burst: float  # units the store holds
    open_cap: int  # submissions out at once; 0: no cap
    price: float
    over_value: float  # share of its value that a txn beyond the quota earns
    over_cost: float  # share of its value that a txn beyond the quota costs
    ceiling_rate: float  # 0: no ceiling
    ceiling_burst: float


@dataclass(frozen=True, slots=True)
class Terms:
    """What a gatekeeper is told at its start."""

    ordinal: int
    gatekeepers: int
    zone: int
    products: tuple[Product, ...]
    plans: tuple[Plan, ...]
    top_units: float
    counter: bool
    counter_wait_ms: float
    probes: bool
    cancel: bool
    second_copies: bool
    retry_after_ms: float  # longest wait a client observes; 0: none is passed on
    submissions: int  # most for one txn
    cold_from: float
    cold_ms: float
    fall_multiple: float
    fall_ms: float
    zone_fee: float
    load_names: tuple[str, ...]


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


class Submit(NamedTuple):
    txn: int
    worker: int
    stop_at_ms: float
    write_by_ms: float = inf  # its last byte leaves by then, or never


class Decline(NamedTuple):
    txn: int
    retry_after_ms: float


class Void(NamedTuple):
    txn: int


class Cancel(NamedTuple):
    txn: int
    submission: int


class Wake(NamedTuple):
    after_ms: float
    label: int


class Add(NamedTuple):
    """Add to a named count of the quota counter and learn its total."""

    name: int
    amount: float
    lives_ms: float


class Probe(NamedTuple):
    worker: int


class Say(NamedTuple):
    """A line for the log."""

    text: str


Action = Submit | Decline | Void | Cancel | Wake | Add | Probe | Say
