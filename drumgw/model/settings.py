"""The start-up settings of a gateway. Times are in milliseconds, with fractions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a product allows to be sent again."""

    IDEMPOTENT = "inquiry-like"
    IDEMPOTENT_WITH_KEY = "referenced"
    NOT_IDEMPOTENT = "once-only"


class DeduplicationScope(Enum):
    """The workers that drop each other's repeats of a referenced txn."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    priority_weight: float
    latency_objective_ms: float
    deadline_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    idempotency_window_ms: float
    late_value_share: float


@dataclass(frozen=True, slots=True)
class Plan:
    units_per_s: float  # units a second; 0: no such quota
    burst_units: float  # units the store holds
    max_concurrent_attempts: int  # submissions out at once; 0: no cap
    price_factor: float
    over_quota_value_share: float  # share of its value that a txn beyond the quota earns
    over_quota_cost_share: float  # share of its value that a txn beyond the quota costs
    ceiling_units_per_s: float  # 0: no ceiling
    ceiling_burst_units: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a gatekeeper is told at its start."""

    ordinal: int
    gateways: int
    zone: int
    request_classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_request_units: float
    has_counter: bool
    counter_timeout_ms: float
    health_checks_allowed: bool
    cancellation_allowed: bool
    hedging_allowed: bool
    max_retry_after_ms: float  # longest wait a client observes; 0: none is passed on
    max_attempts: int  # most for one txn
    warm_up_initial_fraction: float
    warm_up_ms: float
    warm_up_overload_multiple: float
    warm_up_overload_window_ms: float
    cross_zone_fee: float
    load_report_fields: tuple[str, ...]
