"""Invariant checks: asserted in debug mode, counted and logged in optimized mode (`python -O`)."""

from __future__ import annotations

from collections import Counter

from loguru import logger

violations: Counter[str] = Counter()
"""Number of violations by the description of the invariant. Stays empty in debug mode."""


def invariant(condition: bool, description: str) -> None:
    """Checks a condition that only a bug in this program can violate.

    Args:
        condition: the value of the condition.
        description: a description of the condition, used in messages and as the key in `violations`.

    Raises:
        AssertionError: in debug mode, if the condition is false. Optimized mode continues.
    """
    if __debug__:
        assert condition, description
    elif not condition:
        violations[description] += 1
        if _is_power_of_two(violations[description]):  # limits the log volume of a recurring violation
            logger.error("invariant violated {} times: {}", violations[description], description)


def _is_power_of_two(count: int) -> bool:
    return count & (count - 1) == 0
