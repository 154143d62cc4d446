"""Whether the back end is overloaded: by the latency of its answers, and by how full the limit is."""

from __future__ import annotations

from drumgw.model.actions import LogMessage
from drumgw.policy.concurrency_limit import ConcurrencyLimit
from drumgw.policy.context import LONG_AGO_MS, DecisionContext
from drumgw.policy.state_machine import MachineEnum, Transitions, advance

LATE_OBJECTIVE_FRACTION = 0.6
"""An answer that took more of the latency objective is late: the way to the client comes on top of it."""
LATE_SHARE_STEP = 0.1
MAX_LATE_SHARE = 0.3
"""With more late answers than this the back end is slow as a whole."""
LATE_SHARE_DECAY_MS = 18000.0
OVERLOADED_UTILIZATION = 0.7
SPARE_UTILIZATION = 0.4
UTILIZATION_STEP = 0.3
SHED_LEVEL_RISE = 0.05
"""Each update, while answers are late."""
SHED_LEVEL_FALL = 0.015


class LoadState(MachineEnum):
    """The back end's load."""

    SPARE_CAPACITY = "has spare capacity"
    OVERLOADED = "overloaded"


class LoadInput(MachineEnum):
    """What changes the back end's load state."""

    HIGH_LOAD = "high load"
    LOW_LOAD = "low load"


class OverloadDetector:
    """Guards a back end that has become slow or small, which shows as late answers.

    While too many answers are late the shedding level rises: lower classes are rejected first, and the
    highest one keeps its latency. The load state decides whether soft plans may pass their quota.
    """

    def __init__(self, context: DecisionContext, limit: ConcurrencyLimit, class_count: int) -> None:
        self.context = context
        self.limit = limit
        self.class_count = class_count
        self.state = LoadState.SPARE_CAPACITY
        self.late_share = 0.0
        self.utilization = 0.0
        self.shed_level = 0.0
        """How many classes are shed, from the lowest; its fraction is the probability for the next one."""
        self.last_rejection_at_ms = LONG_AGO_MS

    @property
    def is_late(self) -> bool:
        """Whether so many answers are late that no single endpoint is to blame."""
        return self.late_share > MAX_LATE_SHARE

    def record_answer(self, is_late: bool, is_retry: bool) -> None:
        """Updates the share of late answers.

        A retry that succeeded in time lowers it further: the first attempt was counted as late when it became
        overdue, but was lost.
        """
        taken_back = LATE_SHARE_STEP if is_retry and not is_late else 0.0
        step = LATE_SHARE_STEP * (float(is_late) - self.late_share)
        self.late_share = max(0.0, self.late_share + step - taken_back)

    def record_overdue(self) -> None:
        """Counts an overdue attempt as a late answer."""
        self.late_share += LATE_SHARE_STEP * (1 - self.late_share)

    def record_rejection(self) -> None:
        """Records that an endpoint had no capacity."""
        self.last_rejection_at_ms = self.context.now_ms

    def has_spare_capacity(self, window_ms: float) -> bool:
        """Whether it is not overloaded, and no endpoint rejected an attempt for so long."""
        is_spare = self.state is LoadState.SPARE_CAPACITY
        return is_spare and self.context.now_ms - self.last_rejection_at_ms > window_ms

    def update(self, elapsed_ms: float) -> None:
        """Recomputes the concurrency limit, the shedding level and the load state.

        Args:
            elapsed_ms: time since the last update.
        """
        self.limit.update(self.is_late, self.late_share / MAX_LATE_SHARE, elapsed_ms)
        self.late_share *= 1 - elapsed_ms / LATE_SHARE_DECAY_MS
        self._update_shed_level()
        self.utilization += UTILIZATION_STEP * (self.limit.utilization - self.utilization)
        advance(LOAD_TRANSITIONS, self, self, self._load_input())

    def _update_shed_level(self) -> None:
        """Sheds only where limits are too small to tell classes apart; elsewhere they do it."""
        sheds = self.is_late and self.limit.endpoints.per_gateway < 1
        change = SHED_LEVEL_RISE if sheds else -SHED_LEVEL_FALL
        self.shed_level = min(self.class_count - 1.0, max(0.0, self.shed_level + change))

    def _load_input(self) -> LoadInput | None:
        if self.utilization > OVERLOADED_UTILIZATION or self.is_late:
            return LoadInput.HIGH_LOAD
        if self.utilization < SPARE_UTILIZATION:
            return LoadInput.LOW_LOAD
        return None

    def log_state(self, _record: OverloadDetector) -> None:
        """Writes the state that was entered to the log."""
        self.context.actions.append(LogMessage(f"back end {self.state.value}: {self.describe()}"))

    def describe(self) -> str:
        """The load's figures, for the log."""
        limit = self.limit
        return (
            f"attempts in flight {limit.in_flight}, limit {limit.max_in_flight:.0f}, "
            f"late share {self.late_share:.2f}"
        )


LOAD_TRANSITIONS: Transitions[LoadState, LoadInput, OverloadDetector, OverloadDetector] = {
    (LoadState.SPARE_CAPACITY, LoadInput.HIGH_LOAD): (LoadState.OVERLOADED, OverloadDetector.log_state),
    (LoadState.OVERLOADED, LoadInput.LOW_LOAD): (LoadState.SPARE_CAPACITY, OverloadDetector.log_state),
}
