"""The start-up settings of a gateway. Times are in milliseconds, with fractions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


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
