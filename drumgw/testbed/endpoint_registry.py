"""A stand-in discovery: one list of workers, told to each gatekeeper late, or not at all.

What a gatekeeper's agent has counts as told, from the first moment of a new process, read or not.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from drumgw.testbed.clocks import TestbedClock
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.scenario import DiscoverySection

KEPT = 200  # changes that are remembered; who is further behind gets the whole list


class EmulatedDiscovery:
    def __init__(
        self,
        kind: DiscoverySection,
        gatekeepers: int,
        clock: TestbedClock,
        record: EventLog,
        chance: random.Random,
    ) -> None:
        self.section, self.clock, self.event_log, self.random = kind, clock, record, chance
        self.generation = 1
        self.rows: dict[str, dict[str, Any]] = {}  # the list; emptied as workers go
        self.removed_rows: dict[str, dict[str, Any]] = {}  # last rows of those that went; a day has few
        self.changes: list[tuple[int, str, dict[str, Any]]] = []  # the last KEPT, and what each said
        self.seen_generations = [1] * gatekeepers  # the generation that each one's agent has
        self.known_states: list[dict[str, str]] = [{} for _ in range(gatekeepers)]  # what each was told
        self.extra_delay_ms, self.is_silent = 0.0, False
        self.watchers: list[Callable[[], None] | None] = [None] * gatekeepers  # a watch that is out

    def put(self, name: str, zone: str, cell: int, born_ms: float | None, state: str = "up") -> None:
        self.rows[name] = {
            "instanceId": name,
            "zone": zone,
            "machineType": "std",
            "cell": cell,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": round(born_ms or 0.0, 3),
        }
        self.change(name)

    def set_lifecycle(self, name: str, state: str) -> None:
        if name in self.rows:
            if state == "removed":
                self.removed_rows[name] = {**self.rows.pop(name), "lifecycle": state}
            else:
                self.rows[name] = {**self.rows[name], "lifecycle": state}
            self.change(name)

    def change(self, name: str) -> None:
        """Each agent hears of it after a time of its own."""
        self.generation += 1
        row = self.rows.get(name) or self.removed_rows[name]
        self.changes = [*self.changes[1 - KEPT :], (self.generation, name, row)]
        generation = self.generation
        for gate in range(len(self.seen_generations)):
            delay = (
                self.section.delay_ms + self.extra_delay_ms + self.random.uniform(0, self.section.spread_ms)
            )
            self.clock.call_at(self.clock.now() + delay, lambda gate=gate: self.reach(gate, generation))  # type: ignore[misc]

    def reach(self, gate: int, generation: int) -> None:
        if self.is_silent:  # the agent asks again by itself
            self.clock.call_at(self.clock.now() + 100.0, lambda: self.reach(gate, generation))
            return
        before, self.seen_generations[gate] = (
            self.seen_generations[gate],
            max(self.seen_generations[gate], generation),
        )
        self.note(
            gate,
            [row for g, _, row in self.changes if before < g <= self.seen_generations[gate]],
            whole=False,
        )
        waiting, self.watchers[gate] = self.watchers[gate], None
        if waiting is not None:
            waiting()

    def publish_initial_list(self) -> dict[str, Any]:
        """The list as all have it when the day begins."""
        self.seen_generations = [self.generation] * len(self.seen_generations)
        return self.whole()

    def whole(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    def updates_since(self, gate: int, since: int | None) -> dict[str, Any] | None:
        """What a watch from that generation is answered; none while there is nothing newer."""
        seen = self.seen_generations[gate]
        if since is not None and seen <= since:
            return None
        oldest = self.changes[0][0] if self.changes else 0
        if since is None or since < oldest - 1:
            return {"generation": seen, "reset": True, "instances": self.had(gate)}
        rows = {name: row for g, name, row in self.changes if since < g <= seen}
        return {"generation": seen, "reset": False, "instances": list(rows.values())}

    def had(self, gate: int) -> list[dict[str, Any]]:
        """The whole list as its agent has it: what it has not got yet is undone."""
        rows, late = dict(self.rows), set[str]()
        for generation, name, row in reversed(self.changes):
            if generation > self.seen_generations[gate]:
                rows.pop(name, None)
                late.add(name)
            elif name in late:
                late.discard(name)
                if row["lifecycle"] != "removed":
                    rows[name] = row
        return list(rows.values())

    def gateway_started(self, gate: int) -> None:
        """A new process: what its agent has binds it at once. Call after its start was recorded."""
        self.known_states[gate].clear()
        self.note(gate, self.had(gate), whole=True)

    def note(self, gate: int, rows: list[dict[str, Any]], whole: bool) -> None:
        """Its agent has it: from now on that binds."""
        states = {row["instanceId"]: (row["lifecycle"], row["startedAtMs"]) for row in rows}
        knew = self.known_states[gate]
        if whole:
            states |= {name: ("removed", 0.0) for name in knew if name not in states}
        for name, (state, born) in states.items():
            if knew.get(name) != f"{state}/{born}":
                knew[name] = f"{state}/{born}"
                self.event_log.add(self.clock.now(), "told", gate=gate, worker=name, state=state, born=born)
            if state == "removed":
                knew.pop(name, None)
