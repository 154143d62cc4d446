"""Conditions that must hold: asserted in debug runs; counted and logged in optimized ones (`python -O`)."""

from __future__ import annotations

from collections import Counter

from loguru import logger

violations: Counter[str] = Counter()
"""How often each condition did not hold, by its name in the code. Stays empty in debug runs."""


def invariant(holds: bool, what: str) -> None:
    """Checks a condition that only a defect of this program can break.

    Args:
        holds: whether it does.
        what: the condition, in words.

    Raises:
        AssertionError: in debug runs, if it does not hold. Optimized runs go on.
    """
    if __debug__:
        assert holds, what
    elif not holds:
        violations[what] += 1
        if _is_power_of_two(violations[what]):  # a violation that repeats must not fill the log
            logger.error("invariant broken {} times: {}", violations[what], what)


def _is_power_of_two(count: int) -> bool:
    return count & (count - 1) == 0
