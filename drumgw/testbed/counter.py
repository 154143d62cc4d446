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
        self.kind, self.clock = kind, clock
        self.stores: list[Store] = [{}]  # two while it is split
        self.free_at = [0.0]  # of each: when its turn is over
        self.slow, self.silent, self.refuses = 1.0, False, False
        self.calls = 0

    def call(self, gate: int, name: str, amount: float, lives_ms: float, tell: Tell) -> None:
        """Told when the call has had its turn, however late. While silent nothing is told, or even added."""
        self.calls += 1
        if self.silent:
            return
        now, half = self.clock.now(), gate % len(self.stores)
        waits = max(0.0, self.free_at[half] - now)
        turn = 1000.0 / self.kind.calls_per_s * self.slow
        if self.refuses or waits > self.kind.line * turn:
            self.clock.at(now + self.kind.call_ms, lambda: tell("turned away", 0.0))
            return
        self.free_at[half] = now + waits + turn
        store = self.stores[half]

        def served() -> None:
            if not self.silent:
                tell("added", self.add(store, name, amount, lives_ms))

        self.clock.at(self.free_at[half] + self.kind.call_ms * self.slow, served)

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

    def empty(self) -> None:
        for store in self.stores:
            store.clear()

    def older(self, share: float) -> None:
        """Replaced by one that knows a share of each total."""
        for store in self.stores:
            for name, (total, until) in store.items():
                store[name] = total * share, until

    def split(self) -> None:
        """Each half of the gatekeepers sees a counter of its own, equal at first."""
        self.stores, self.free_at = [self.stores[0], dict(self.stores[0])], [self.free_at[0]] * 2
        self.common = dict(self.stores[0])

    def heal(self) -> None:
        """One again, with what both halves added."""
        one, other = self.stores[0], self.stores[-1]
        if other is not one:
            for name, (total, until) in other.items():
                before, at = self.common.get(name, (0.0, until)), one.get(name)
                one[name] = (at[0] if at else before[0]) + total - before[0], until
        self.stores, self.free_at = [one], [max(self.free_at)]
