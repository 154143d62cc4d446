"""State of one endpoint: its health, warm-up, latency and attempts in flight."""

from __future__ import annotations

from dataclasses import dataclass, field

from drumgw.model.events import EndpointInfo
from drumgw.policy.context import LONG_AGO_MS, NEVER_MS
from drumgw.policy.state_machine import StateMachineEnum
from drumgw.stable_hash import stable_hash


class HealthState(StateMachineEnum):
    """Whether an endpoint receives requests of one class."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    """Receives no requests of the class until the ejection ends."""
    HALF_OPEN = "half-open"
    """Receives one trial request, whose outcome decides whether it is ejected again."""


@dataclass(slots=True, eq=False)
class ClassHealth:
    """An endpoint's health for one request class. Written by `OutlierDetector` only."""

    state: HealthState = HealthState.HEALTHY
    ejected_until_ms: float = 0.0
    ejection_ms: float = 0.0
    """Duration of the last ejection, which the next one doubles; 0 after a success."""
    failure_share: float = 0.0
    """Moving average of the share of attempts that failed."""
    last_success_at_ms: float = LONG_AGO_MS


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """An attempt that has not ended. Written by `AttemptTracker`, which removes it when the attempt ends."""

    class_index: int
    sent_at_ms: float
    overdue_at_ms: float
    """When it will be counted as overdue; `NEVER_MS` once it has been."""

    @property
    def is_overdue(self) -> bool:
        """Whether it has been counted as overdue."""
        return self.overdue_at_ms == NEVER_MS

    def shift(self, stall_ms: float) -> None:
        """Excludes a stall of this process from the attempt's age."""
        self.sent_at_ms += stall_ms
        self.overdue_at_ms += stall_ms


@dataclass(slots=True, eq=False)
class EndpointState:
    """One endpoint. `EndpointSet` removes it once it is no longer listed and has no attempts in flight."""

    endpoint_id: int
    zone: int
    cell: int
    started_at_ms: float | None
    """When it started cold; None if it was already warm when first listed."""
    hash_key: int
    class_health: list[ClassHealth]
    """Health by class index, as an endpoint may fail one class and serve the others."""
    warm_up_tokens: float
    """Attempts that it may receive while warming up. Written by `SlowStart` and `RequestFlow`."""
    tokens_at_ms: float
    """When the tokens were last refilled."""
    last_answer_at_ms: float
    """When `slowness` was last updated; initially when it was listed."""
    slowness: float = 1.0
    """Its high latency quantile, as a multiple of that of all endpoints. Written by `latency`."""
    is_listed: bool = True
    """False once the endpoint list omits it or reports it as draining or removed."""
    attempts: dict[int, AttemptInFlight] = field(default_factory=dict)
    """Attempts in flight, by request id."""

    @classmethod
    def from_info(
        cls, info: EndpointInfo, now_ms: float, class_count: int, warm_up_tokens: float
    ) -> EndpointState:
        """Creates the state of a newly listed endpoint.

        Args:
            info: its entry in the endpoint list.
            now_ms: the current time.
            class_count: number of request classes.
            warm_up_tokens: initial number of attempts that it may receive while warming up.
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
