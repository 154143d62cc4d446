"""The states of tenants and long-running operations, and the transitions between tenant states.

The values of TenantState, TenantCommand and OperationState are used in the API, and those of TenantState in
the state file as well.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple


class TenantState(Enum):
    """Whether a tenant's requests are admitted, and if not, why."""

    ACTIVE = "active"  # requests are admitted
    SUSPENDED = "suspended"  # new requests are rejected
    DRAINING = "draining"  # new requests are rejected; some are still in flight
    DRAINED = "drained"  # new requests are rejected; none is in flight
    REMOVED = "removed"  # its name can be reused; requests may still be in flight


class TenantCommand(Enum):
    """The commands of the API that change a tenant's state."""

    SUSPEND = "suspend"
    RESUME = "resume"
    DRAIN = "drain"
    REMOVE = "remove"


class OperationState(Enum):
    """The progress of a long-running operation."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "called off"


class TransitionEffect(Enum):
    """The side effect of a transition."""

    NONE = auto()
    BEGIN_DRAIN = auto()  # starts an operation that is done when no request is in flight
    CANCEL_DRAIN = auto()  # cancels the drain operation
    REMOVE = auto()  # frees the name and starts an operation that is done when no request is in flight


class Transition(NamedTuple):
    """The state that a command leads to, and its effect."""

    state: TenantState
    effect: TransitionEffect


_ACTIVATE = Transition(TenantState.ACTIVE, TransitionEffect.NONE)
_DRAIN = Transition(TenantState.DRAINING, TransitionEffect.BEGIN_DRAIN)
_REMOVE = Transition(TenantState.REMOVED, TransitionEffect.REMOVE)

# A command that is not listed for a state is rejected.
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
