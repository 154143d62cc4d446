"""Runs state machines that are written as tables of allowed transitions.

A table maps (state, input) to the next state and an effect. An effect may return a further input, which is
applied at once. An input without a row in the current state is ignored.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol, TypeVar


class MachineEnum(Enum):
    """A state or an input. Hashed by identity: transitions are looked up several times for each request."""

    __hash__ = object.__hash__


class Stateful(Protocol):
    """A record that holds its machine's state."""

    state: Any


StateT = TypeVar("StateT", bound=MachineEnum)
InputT = TypeVar("InputT", bound=MachineEnum)
OwnerT = TypeVar("OwnerT")
RecordT = TypeVar("RecordT", bound=Stateful)

Transitions = dict[tuple[StateT, InputT], tuple[StateT, Callable[[OwnerT, RecordT], InputT | None]]]


def advance(
    transitions: Transitions[StateT, InputT, OwnerT, RecordT],
    owner: OwnerT,
    record: RecordT,
    given: InputT | None,
) -> None:
    """Applies an input, and the inputs that effects return, to a record's state."""
    while given is not None:
        transition = transitions.get((record.state, given))
        if transition is None:
            return
        record.state, effect = transition
        given = effect(owner, record)


def no_effect(_owner: object, _record: object) -> None:
    """The effect of a transition that only changes the state."""
