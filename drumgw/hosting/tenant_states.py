"""The states of a tenant and of a long-running operation, and which command leads where. No I/O.

The values of the enums are the words on the wire and in the state file.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple


class TenantState(Enum):
    """Whether a tenant is served, and if not, why."""

    ACTIVE = "active"  # served
    SUSPENDED = "suspended"  # its requests are rejected
    DRAINING = "draining"  # takes nothing new; requests are in flight
    DRAINED = "drained"  # takes nothing new; none is in flight
    REMOVED = "removed"  # its name is free; requests may be in flight


class TenantCommand(Enum):
    """What an administrator may do with a tenant as a whole."""

    SUSPEND = "suspend"
    RESUME = "resume"
    DRAIN = "drain"
    REMOVE = "remove"


class OperationState(Enum):
    """How far a long-running operation is."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "called off"


class TransitionEffect(Enum):
    """What a transition does beside changing the state."""

    NONE = auto()
    BEGIN_DRAIN = auto()  # an operation begins that ends with the last request in flight
    CANCEL_DRAIN = auto()  # that operation is cancelled
    REMOVE = auto()  # the name is freed; an operation waits for the requests in flight


class Transition(NamedTuple):
    """The state that a command leads to, and its effect."""

    state: TenantState
    effect: TransitionEffect


_ACTIVATE = Transition(TenantState.ACTIVE, TransitionEffect.NONE)
_DRAIN = Transition(TenantState.DRAINING, TransitionEffect.BEGIN_DRAIN)
_REMOVE = Transition(TenantState.REMOVED, TransitionEffect.REMOVE)

# What is not here is not possible in that state.
TRANSITIONS: dict[tuple[TenantState, TenantCommand], Transition] = {
    (TenantState.ACTIVE, TenantCommand.SUSPEND): Transition(TenantState.SUSPENDED, TransitionEffect.NONE),
    (TenantState.ACTIVE, TenantCommand.DRAIN): _DRAIN,
    (TenantState.ACTIVE, TenantCommand.REMOVE): _REMOVE,
    (TenantState.SUSPENDED, TenantCommand.RESUME): _ACTIVATE,
    (TenantState.SUSPENDED, TenantCommand.DRAIN): _DRAIN,
    (TenantState.SUSPENDED, TenantCommand.REMOVE): _REMOVE,
    (TenantState.DRAINING, TenantCommand.RESUME): Transition(
        TenantState.ACTIVE, TransitionEffect.CANCEL_DRAIN
    ),
    (TenantState.DRAINING, TenantCommand.REMOVE): _REMOVE,
    (TenantState.DRAINED, TenantCommand.RESUME): _ACTIVATE,
    (TenantState.DRAINED, TenantCommand.REMOVE): _REMOVE,
}
