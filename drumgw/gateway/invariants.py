"""What must hold: asserted in debug builds, counted and logged in release builds (python -O)."""

from __future__ import annotations

from collections import Counter

from loguru import logger

broken: Counter[str] = Counter()  # one entry a kind of fault; the kinds are written in the code


def invariant(holds: bool, what: str) -> None:
    if __debug__:
        assert holds, what
    elif not holds:
        broken[what] += 1
        count = broken[what]
        if count & (count - 1) == 0:  # 1, 2, 4, 8: a fault that repeats does not fill the log
            logger.error("invariant broken {} times: {}", count, what)
