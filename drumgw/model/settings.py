"""Start-up settings of a gateway.

Times are in milliseconds, with fractions. Quotas are measured in units. Request classes, plans and zones are
identified by their index in the lists of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request that may already have run can be sent again."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_WITH_KEY = "idempotent with a key"
    NOT_IDEMPOTENT = "not idempotent"


class DeduplicationScope(Enum):
    """Which endpoints share the store of idempotency keys that detects repeated requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Properties of all requests of one class."""

    priority_weight: float
    """Value of a request answered within the latency objective; the class with the highest ranks first."""
    latency_objective_ms: float
    """Answers within this time have the full value."""
    deadline_ms: float
    """Longest time that clients of this class wait for an answer."""
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    """Used only if requests are idempotent with a key."""
    idempotency_window_ms: float
    """How long endpoints retain a key after its first use."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Quota, concurrency cap and ceiling of the customers of one plan."""

    units_per_s: float
    """Rate at which the quota refills; 0 for a plan without a quota."""
    burst_units: float
    """Capacity of the quota."""
    max_concurrent_attempts: int
    """Cap on attempts in flight, over all gateways; 0 for no cap."""
    over_quota_value_share: float
    """Value of a request beyond the quota, as a share of its full value."""
    over_quota_cost_share: float
    """Cost of a request beyond the quota, as a share of its full value."""
    ceiling_units_per_s: float
    """Refill rate of the hard ceiling, which no request may exceed; 0 for no ceiling."""
    ceiling_burst_units: float
    """Capacity of the hard ceiling."""


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of one gateway."""

    ordinal: int
    """This gateway's number, starting at 0."""
    gateways: int
    """Number of gateways that the platform runs."""
    zone: int
    request_classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_request_units: float
    """Cost of the largest possible request."""
    has_counter: bool
    """Whether the gateways share a counter."""
    counter_timeout_ms: float
    cancellation_allowed: bool
    """Whether an attempt in flight may be cancelled."""
    hedging_allowed: bool
    """Whether a second attempt may start while the first is in flight."""
    max_retry_after_ms: float
    """Longest Retry-After that clients observe; 0 if it is not passed on to them."""
    max_attempts: int
    """Maximum number of attempts of one request, including the first."""
    warm_up_initial_fraction: float
    """Fraction of its full capacity that an endpoint has when it starts."""
    warm_up_ms: float
    """Time from an endpoint's start to its full capacity, which it approaches linearly."""
    warm_up_overload_multiple: float
    """A warming endpoint fails if it receives more than this multiple of its current capacity."""
    cross_zone_fee: float
    """Cost of an attempt in another zone; if above 0, endpoints of the gateway's zone are preferred."""
    load_report_fields: tuple[str, ...]
    """Names of the load figures that endpoints report with their responses; empty if they report none."""
