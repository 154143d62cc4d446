"""A stand-in counter: named numbers that live for a time, calls in turn, and what can go wrong with it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

from drumgw.testbed.clocks import TestbedClock
from drumgw.testbed.scenario import CounterSection

MOST_LIVES_MS = 60000.0
Says = Literal["added", "turned away"]
Store = dict[str, tuple[float, float]]  # name: total, forgotten at; emptied by calls, as names die
Tell = Callable[[Says, float], None]


class EmulatedCounter:
    def __init__(self, kind: CounterSection, clock: TestbedClock) -> None:
        self.section, self.clock = kind, clock
        self.stores: list[Store] = [{}]  # two while it is split
        self.free_at_ms = [0.0]  # of each: when its turn is over
        self.slowdown, self.is_silent, self.rejects_calls = 1.0, False, False
        self.call_count = 0

    def call(self, gate: int, name: str, amount: float, lives_ms: float, tell: Tell) -> None:
        """Told when the call has had its turn, however late. While silent nothing is told, or even added."""
        self.call_count += 1
        if self.is_silent:
            return
        now, half = self.clock.now(), gate % len(self.stores)
        waits = max(0.0, self.free_at_ms[half] - now)
        turn = 1000.0 / self.section.calls_per_s * self.slowdown
        if self.rejects_calls or waits > self.section.line * turn:
            self.clock.call_at(now + self.section.call_ms, lambda: tell("turned away", 0.0))
            return
        self.free_at_ms[half] = now + waits + turn
        store = self.stores[half]

        def served() -> None:
            if not self.is_silent:
                tell("added", self.add(store, name, amount, lives_ms))

        self.clock.call_at(self.free_at_ms[half] + self.section.call_ms * self.slowdown, served)

    def add(self, store: Store, name: str, amount: float, lives_ms: float) -> float:
        now = self.clock.now()
        if len(store) > 9999:
            for dead in [n for n, (_, until) in store.items() if until <= now]:
                del store[dead]
        total, until = store.get(name, (0.0, 0.0))
        if until <= now:
            total, until = 0.0, now + min(lives_ms, MOST_LIVES_MS)
        store[name] = total + amount, until
        return float(f"{total + amount:.7g}")

    # Troubles

    def clear(self) -> None:
        for store in self.stores:
            store.clear()

    def scale_totals(self, share: float) -> None:
        """Replaced by one that knows a share of each total."""
        for store in self.stores:
            for name, (total, until) in store.items():
                store[name] = total * share, until

    def split(self) -> None:
        """Each half of the gatekeepers sees a counter of its own, equal at first."""
        self.stores, self.free_at_ms = [self.stores[0], dict(self.stores[0])], [self.free_at_ms[0]] * 2
        self.totals_at_split = dict(self.stores[0])

    def heal(self) -> None:
        """One again, with what both halves added."""
        one, other = self.stores[0], self.stores[-1]
        if other is not one:
            for name, (total, until) in other.items():
                before, at = self.totals_at_split.get(name, (0.0, until)), one.get(name)
                one[name] = (at[0] if at else before[0]) + total - before[0], until
        self.stores, self.free_at_ms = [one], [max(self.free_at_ms)]
