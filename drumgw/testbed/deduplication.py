"""The store in which emulated endpoints look up idempotency keys."""

from __future__ import annotations

from drumgw.testbed.clocks import TestbedClock

CLEANUP_SIZE = 1000
"""From this number of entries on, expired entries are removed before each lookup."""


class DeduplicationStore:
    """Idempotency keys that endpoints have seen; a scope identifies the endpoints that share keys."""

    def __init__(self, clock: TestbedClock) -> None:
        self._clock = clock
        self._expires_at_ms: dict[tuple[str, object], float] = {}

    def is_repeat(self, key: str, scope: object, window_ms: float) -> bool:
        """Returns whether the key is stored for this scope; if not, stores it for `window_ms`."""
        now = self._clock.now()
        if len(self._expires_at_ms) >= CLEANUP_SIZE:
            self._expires_at_ms = {
                entry: expires_at_ms
                for entry, expires_at_ms in self._expires_at_ms.items()
                if expires_at_ms > now
            }
        if self._expires_at_ms.get((key, scope), 0.0) > now:
            return True
        self._expires_at_ms[key, scope] = now + window_ms
        return False
