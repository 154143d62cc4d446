"""The form of the numbers that are added to the shared counter.

A customer has one total. Its whole part counts the units of all classes; its two decimals count those of the
highest class, in steps, so that one call tells the classes apart.
"""

from __future__ import annotations

from typing import NamedTuple

TOP_CLASS_STEP_UNITS = 8.0
"""Units of the highest class for each step."""
STEPS_PER_UNIT = 100
"""Steps that would make a whole unit: the two decimals."""
HALF_STEP = 0.5 / STEPS_PER_UNIT
"""Totals that differ by less are the same."""


class CounterTotal(NamedTuple):
    """A total, taken apart."""

    units: int
    """Of all classes."""
    top_class_fraction: float
    """Part of them that is the highest class's."""


def encode_amount(units: int, top_class_steps: int) -> float:
    """The number to add for whole units, and steps of the highest class's units."""
    return units + max(0, top_class_steps) / STEPS_PER_UNIT


def decode_total(total: float) -> CounterTotal:
    """Takes a total apart."""
    units, steps = divmod(round(total * STEPS_PER_UNIT), STEPS_PER_UNIT)
    return CounterTotal(units, min(1.0, steps * TOP_CLASS_STEP_UNITS / max(1.0, units)))
