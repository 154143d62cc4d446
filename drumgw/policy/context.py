"""What all parts of the policy engine share: the current time, the random source and the actions."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from drumgw.model.actions import Action

NEVER_MS = float("inf")
LONG_AGO_MS = -1e12
RATE_MEMORY_MS = 3000.0
"""How long recent rates are remembered: usage, completions, answers of an endpoint."""


@dataclass(slots=True, eq=False)
class DecisionContext:
    """The event being handled. Written by the engine alone; the other parts append actions and draw."""

    random: Random
    now_ms: float = 0.0
    started_at_ms: float = 0.0
    stall_ended_at_ms: float = LONG_AGO_MS
    """When this process last ran again after a stall."""
    actions: list[Action] = field(default_factory=list)

    @property
    def is_after_stall(self) -> bool:
        """Whether this event came in the moment in which a stall was noticed, so its durations include it.

        The request lifecycle leaves stalls out of durations by itself; the simulator's adapter can't.
        """
        return self.now_ms == self.stall_ended_at_ms
