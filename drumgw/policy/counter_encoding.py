"""Encoding of the amounts and totals of the shared counter.

Each customer has one total. Its integer part counts the units of all classes; its two decimals count the
units of the highest class in steps, so that a single call returns both figures.
"""

from __future__ import annotations

from typing import NamedTuple

TOP_CLASS_STEP_UNITS = 8.0
"""Units of the highest class per step."""
STEPS_PER_UNIT = 100
"""One step is 1 / `STEPS_PER_UNIT` in the total, so steps occupy the two decimals."""
HALF_STEP = 0.5 / STEPS_PER_UNIT
"""Totals that differ by less than this are equal."""


class CounterTotal(NamedTuple):
    """A decoded total."""

    units: int
    """Units of all classes."""
    top_class_fraction: float
    """Fraction of the units that belongs to the highest class."""


def encode_amount(units: int, top_class_steps: int) -> float:
    """Encodes whole units of all classes, and steps of the highest class; negative steps count as 0."""
    return units + max(0, top_class_steps) / STEPS_PER_UNIT


def decode_total(total: float) -> CounterTotal:
    """Decodes a total; the fraction is limited to 1, as the steps are rounded at random."""
    units, steps = divmod(round(total * STEPS_PER_UNIT), STEPS_PER_UNIT)
    return CounterTotal(units, min(1.0, steps * TOP_CLASS_STEP_UNITS / max(1.0, units)))
