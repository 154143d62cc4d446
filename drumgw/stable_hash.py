"""Integer hash that is the same in every process, which Python's built-in `hash` does not guarantee."""

from __future__ import annotations

WORD_MASK = 2**64 - 1
MULTIPLIER, INCREMENT = 0x9E3779B97F4A7C15, 0x632BE59BD9B4E019
SECOND_MULTIPLIER = 0xBF58476D1CE4E5B9


def stable_hash(*parts: int) -> int:
    """Hashes the parts to a number below 2**63. Lets gateways derive equal keys without communicating."""
    state = 0
    for part in parts:
        state = ((state ^ part & WORD_MASK) * MULTIPLIER + INCREMENT) & WORD_MASK
        state = (state ^ state >> 29) * SECOND_MULTIPLIER & WORD_MASK
        state ^= state >> 32
    return state >> 1
