"""Table-driven state machines.

A transition table maps (state, input) to the next state and an effect. An effect may return another input,
which is applied immediately. An input that has no entry for the current state is ignored.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol, TypeVar


class StateMachineEnum(Enum):
    """Base of states and inputs.

    Hashed by identity, which is faster: transitions are looked up several times for each request.
    """

    __hash__ = object.__hash__


class Stateful(Protocol):
    """A record that stores the current state of its state machine."""

    state: Any


StateT = TypeVar("StateT", bound=StateMachineEnum)
InputT = TypeVar("InputT", bound=StateMachineEnum)
OwnerT = TypeVar("OwnerT")
RecordT = TypeVar("RecordT", bound=Stateful)

Transitions = dict[tuple[StateT, InputT], tuple[StateT, Callable[[OwnerT, RecordT], InputT | None]]]


def advance(
    transitions: Transitions[StateT, InputT, OwnerT, RecordT],
    owner: OwnerT,
    record: RecordT,
    machine_input: InputT | None,
) -> None:
    """Applies an input to a record's state, then any inputs that the effects return.

    Args:
        transitions: the table of the state machine.
        owner: passed to the effects as their first argument.
        record: holds the state; the effects' second argument.
        machine_input: None does nothing.
    """
    while machine_input is not None:
        transition = transitions.get((record.state, machine_input))
        if transition is None:
            return
        record.state, effect = transition
        machine_input = effect(owner, record)


def no_effect(_owner: object, _record: object) -> None:
    """Effect of transitions that only change the state."""
