"""The memory in which endpoints look up idempotency keys."""

from __future__ import annotations

from drumgw.testbed.clocks import TestbedClock

CLEANUP_SIZE = 1000
"""With so many entries, expired ones are dropped."""


class DeduplicationStore:
    """Idempotency keys that endpoints have seen, by the scope whose endpoints share the memory."""

    def __init__(self, clock: TestbedClock) -> None:
        self._clock = clock
        self._remembered_until: dict[tuple[str, object], float] = {}

    def is_repeat(self, key: str, scope: object, window_ms: float) -> bool:
        """Whether the key is remembered in this scope; if not, it is from now on, for the window."""
        now = self._clock.now()
        if len(self._remembered_until) >= CLEANUP_SIZE:
            self._remembered_until = {
                entry: until for entry, until in self._remembered_until.items() if until > now
            }
        if self._remembered_until.get((key, scope), 0.0) > now:
            return True
        self._remembered_until[key, scope] = now + window_ms
        return False
