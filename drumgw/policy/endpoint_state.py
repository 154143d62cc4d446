"""What is known of one endpoint, and of its attempts in flight."""

from __future__ import annotations

from dataclasses import dataclass, field

from drumgw.model.events import EndpointInfo
from drumgw.policy.context import LONG_AGO_MS, NEVER_MS
from drumgw.policy.state_machine import MachineEnum
from drumgw.stable_hash import stable_hash


class HealthState(MachineEnum):
    """Whether an endpoint is sent requests of one class."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    """Sent nothing for a time."""
    HALF_OPEN = "half-open"
    """Sent one request, whose outcome decides."""


@dataclass(slots=True, eq=False)
class ClassHealth:
    """An endpoint's health for one request class. Written by `OutlierDetector`; lives with its endpoint."""

    state: HealthState = HealthState.HEALTHY
    ejected_until_ms: float = 0.0
    ejection_ms: float = 0.0
    """Length of the last ejection; 0 after a success."""
    failure_share: float = 0.0
    """Recent share of attempts that failed."""
    last_success_at_ms: float = LONG_AGO_MS


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """An attempt that has not ended. Written by `AttemptTracker`, which drops it when the attempt ends."""

    class_index: int
    sent_at_ms: float
    overdue_at_ms: float
    """When it is counted as overdue; `NEVER_MS` once it is."""

    @property
    def is_overdue(self) -> bool:
        """Whether it has been counted as overdue."""
        return self.overdue_at_ms == NEVER_MS

    def shift(self, stall_ms: float) -> None:
        """Leaves a stall of this process out of its age."""
        self.sent_at_ms += stall_ms
        self.overdue_at_ms += stall_ms


@dataclass(slots=True, eq=False)
class EndpointState:
    """One endpoint. `EndpointSet` drops it when it is off the list and has no attempt in flight."""

    endpoint_id: int
    zone: int
    cell: int
    started_at_ms: float | None
    """When it started cold; None for one that was warm when it was first listed."""
    hash_key: int
    class_health: list[ClassHealth]
    """By class index: an endpoint may fail one class and serve the others."""
    warm_up_tokens: float
    """Attempts that it may be sent while warming up. Written by `SlowStart` and `RequestFlow`."""
    tokens_at_ms: float
    last_answer_at_ms: float
    slowness: float = 1.0
    """Its high latency quantile, as a multiple of all endpoints' one. Written by `latency`."""
    is_listed: bool = True
    attempts: dict[int, AttemptInFlight] = field(default_factory=dict)
    """By request id."""

    @classmethod
    def from_info(
        cls, info: EndpointInfo, now_ms: float, class_count: int, warm_up_tokens: float
    ) -> EndpointState:
        """A newly listed endpoint.

        Args:
            info: its entry in the endpoint list.
            now_ms: the current time.
            class_count: number of request classes.
            warm_up_tokens: attempts that it may be sent at once if it is warming up.
        """
        return cls(
            endpoint_id=info.endpoint_id,
            zone=info.zone,
            cell=info.cell,
            started_at_ms=info.started_at_ms,
            hash_key=stable_hash(info.endpoint_id),
            class_health=[ClassHealth() for _ in range(class_count)],
            warm_up_tokens=warm_up_tokens,
            tokens_at_ms=now_ms,
            last_answer_at_ms=now_ms,
        )
