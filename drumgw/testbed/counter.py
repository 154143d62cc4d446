"""An emulated shared counter: named totals with a time to live, a bounded call queue, and faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from drumgw.testbed.clocks import TestbedClock
from drumgw.testbed.scenario import CounterSection

MAX_TTL_MS = 60_000.0
CLEANUP_SIZE = 10_000
"""From this number of totals on, expired totals are removed from a store before each addition."""


class CounterStatus(Enum):
    """Result of a counter call."""

    ADDED = "added"
    REJECTED = "rejected"


@dataclass(slots=True)
class Total:
    """The value of one named total and when it expires."""

    value: float
    expires_at_ms: float


Store = dict[str, Total]
ReplyCallback = Callable[[CounterStatus, float], None]
"""Receives the call's status and the total after the addition; the total is 0 for a rejected call."""


class EmulatedCounter:
    """One counter service. During a network split, each half of the gateways uses a separate replica."""

    def __init__(self, section: CounterSection, clock: TestbedClock) -> None:
        self._section = section
        self._clock = clock
        self._replicas: list[Store] = [{}]
        self._busy_until_ms = [0.0]
        """By replica: the time until which it is busy with the calls that it has accepted."""
        self._totals_at_split: Store = {}
        self.call_count = 0
        self.slowdown = 1.0
        self.is_silent = False
        self.rejects_calls = False

    def call(self, gateway: int, name: str, amount: float, ttl_ms: float, on_reply: ReplyCallback) -> None:
        """Adds to a total and calls `on_reply` once the call is served; a silent counter never replies.

        A new total expires after `ttl_ms`, but no later than after MAX_TTL_MS. The call is rejected while
        more calls wait than the section's `line` allows, and while `rejects_calls` is set.
        """
        self.call_count += 1
        if self.is_silent:
            return
        now = self._clock.now()
        replica = gateway % len(self._replicas)
        wait_ms = max(0.0, self._busy_until_ms[replica] - now)
        service_ms = 1000.0 / self._section.calls_per_s * self.slowdown
        if self.rejects_calls or wait_ms > self._section.line * service_ms:
            self._clock.call_at(now + self._section.call_ms, lambda: on_reply(CounterStatus.REJECTED, 0.0))
            return
        self._busy_until_ms[replica] = now + wait_ms + service_ms
        store = self._replicas[replica]

        def serve() -> None:
            if not self.is_silent:
                on_reply(CounterStatus.ADDED, self._add(store, name, amount, ttl_ms))

        self._clock.call_at(self._busy_until_ms[replica] + self._section.call_ms * self.slowdown, serve)

    def _add(self, store: Store, name: str, amount: float, ttl_ms: float) -> float:
        now = self._clock.now()
        if len(store) >= CLEANUP_SIZE:
            _remove_expired(store, now)
        total = store.get(name)
        if total is None or total.expires_at_ms <= now:
            total = store[name] = Total(0.0, now + min(ttl_ms, MAX_TTL_MS))
        total.value += amount
        return float(f"{total.value:.7g}")

    def clear(self) -> None:
        """Deletes all totals, as if the counter had been replaced by an empty one."""
        for store in self._replicas:
            store.clear()

    def scale_totals(self, share: float) -> None:
        """Multiplies each total by `share`, as if the counter had been restored from an older copy."""
        for store in self._replicas:
            for total in store.values():
                total.value *= share

    def split(self) -> None:
        """Splits the counter into two replicas, one for each half of the gateways, with equal totals."""
        first = self._replicas[0]
        self._replicas = [first, _copy_store(first)]
        self._busy_until_ms = [self._busy_until_ms[0]] * 2
        self._totals_at_split = _copy_store(first)

    def heal(self) -> None:
        """Merges the replicas; each total then includes the additions made to either one."""
        first = self._replicas[0]
        second = self._replicas[-1]
        if second is not first:
            for name, total in second.items():
                self._merge(first, name, total)
        self._replicas = [first]
        self._busy_until_ms = [max(self._busy_until_ms)]

    def _merge(self, store: Store, name: str, other: Total) -> None:
        at_split = self._totals_at_split.get(name)
        value_at_split = at_split.value if at_split is not None else 0.0
        own = store.get(name)
        own_value = own.value if own is not None else value_at_split
        store[name] = Total(own_value + other.value - value_at_split, other.expires_at_ms)


def _copy_store(store: Store) -> Store:
    return {name: Total(total.value, total.expires_at_ms) for name, total in store.items()}


def _remove_expired(store: Store, now: float) -> None:
    for name in [name for name, total in store.items() if total.expires_at_ms <= now]:
        del store[name]
