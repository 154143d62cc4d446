"""The settings that a gateway is started with.

Times are in milliseconds, with fractions. A unit is what quotas are metered in. Request classes, plans and
zones are known by their index in the settings' own lists.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request that may have run already may be sent again."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_WITH_KEY = "idempotent with a key"
    NOT_IDEMPOTENT = "not idempotent"


class DeduplicationScope(Enum):
    """Which endpoints share the memory in which a request's idempotency key is looked up."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What holds for all requests of one class."""

    priority_weight: float
    """Value of a request answered within the latency objective; ranks the classes."""
    latency_objective_ms: float
    """An answer within this time earns the full value."""
    deadline_ms: float
    """The longest time that a client of this class waits."""
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    """Read only for requests that are idempotent with a key."""
    idempotency_window_ms: float
    """How long endpoints remember a key after they first saw it."""


@dataclass(frozen=True, slots=True)
class Plan:
    """What a customer of one plan has bought."""

    units_per_s: float
    """Rate at which the quota refills; 0 for a plan without a quota."""
    burst_units: float
    """What the quota holds at most."""
    max_concurrent_attempts: int
    """Attempts in flight at once, over all gateways; 0 for no cap."""
    over_quota_value_share: float
    """Share of its value that a request beyond the quota earns."""
    over_quota_cost_share: float
    """Share of its value that a request beyond the quota costs."""
    ceiling_units_per_s: float
    """Rate of the hard ceiling, which nothing may ever pass; 0 for no ceiling."""
    ceiling_burst_units: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a gateway is told at its start."""

    ordinal: int
    """This gateway's number, from 0."""
    gateways: int
    """How many gateways the platform runs."""
    zone: int
    request_classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_request_units: float
    """No request is larger."""
    has_counter: bool
    """Whether there is a counter that all gateways share."""
    counter_timeout_ms: float
    cancellation_allowed: bool
    """Whether an attempt in flight may be called off."""
    hedging_allowed: bool
    """Whether a second attempt may start while the first is in flight."""
    max_retry_after_ms: float
    """The longest Retry-After that clients observe; 0 where none is passed on."""
    max_attempts: int
    """Attempts of one request at most, the first included."""
    warm_up_initial_fraction: float
    """Share of its capacity that an endpoint has as it starts."""
    warm_up_ms: float
    """Time from an endpoint's start to its full capacity, in a straight line."""
    warm_up_overload_multiple: float
    """A warming endpoint fails when it is sent more than this multiple of what it can do."""
    cross_zone_fee: float
    """Cost of an attempt in another zone; above 0 the own zone goes first."""
    load_report_fields: tuple[str, ...]
    """Names of the figures that endpoints report with their responses; empty where they report none."""
