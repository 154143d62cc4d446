"""State shared by all parts of the policy engine: the current time, the random source and the actions."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from drumgw.model.actions import Action

NEVER_MS = float("inf")
LONG_AGO_MS = -1e12
RATE_TIME_CONSTANT_MS = 3000.0
"""Time constant with which recent rates decay: quota usage, completions, the answers of one endpoint."""


@dataclass(slots=True, eq=False)
class DecisionContext:
    """Context of the event being handled.

    Only the engine assigns the fields; other parts append actions and draw random numbers.
    """

    random: Random
    now_ms: float = 0.0
    started_at_ms: float = 0.0
    stall_ended_at_ms: float = LONG_AGO_MS
    """When this process last resumed after a stall."""
    actions: list[Action] = field(default_factory=list)

    @property
    def is_after_stall(self) -> bool:
        """Whether this event arrived at the time at which a stall was detected, so its durations include it.

        The request lifecycle already subtracts stalls from the durations it reports; the simulator's adapter
        cannot.
        """
        return self.now_ms == self.stall_ended_at_ms
