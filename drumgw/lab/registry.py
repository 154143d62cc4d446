"""A stand-in discovery: one list of workers, told to each gatekeeper late, or not at all."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from drumgw.lab.clocks import LabClock
from drumgw.lab.day import Discovery
from drumgw.lab.record import Record

KEPT = 200  # changes that are remembered; who is further behind gets the whole list


class Registry:
    def __init__(
        self, kind: Discovery, gatekeepers: int, clock: LabClock, record: Record, chance: random.Random
    ) -> None:
        self.kind, self.clock, self.record, self.chance = kind, clock, record, chance
        self.generation = 1
        self.rows: dict[str, dict[str, Any]] = {}  # the list; emptied as workers go
        self.gone: dict[str, dict[str, Any]] = {}  # last rows of those that went; a day has few
        self.changes: list[tuple[int, str]] = []  # the last KEPT
        self.seen = [1] * gatekeepers  # the generation that each one's agent has
        self.knows: list[dict[str, str]] = [{} for _ in range(gatekeepers)]  # what each was told
        self.late_ms, self.lost = 0.0, False
        self.waiting: list[Callable[[], None] | None] = [None] * gatekeepers  # a watch that is out

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

    def state(self, name: str, state: str) -> None:
        if name in self.rows:
            if state == "removed":
                self.gone[name] = {**self.rows.pop(name), "lifecycle": state}
            else:
                self.rows[name] = {**self.rows[name], "lifecycle": state}
            self.change(name)

    def change(self, name: str) -> None:
        """Each agent hears of it after a time of its own."""
        self.generation += 1
        self.changes = [*self.changes[1 - KEPT :], (self.generation, name)]
        generation = self.generation
        for gate in range(len(self.seen)):
            delay = self.kind.delay_ms + self.late_ms + self.chance.uniform(0, self.kind.spread_ms)
            self.clock.at(self.clock.now() + delay, lambda gate=gate: self.reach(gate, generation))  # type: ignore[misc]

    def reach(self, gate: int, generation: int) -> None:
        if self.lost:  # the agent asks again by itself
            self.clock.at(self.clock.now() + 100.0, lambda: self.reach(gate, generation))
            return
        self.seen[gate] = max(self.seen[gate], generation)
        waiting, self.waiting[gate] = self.waiting[gate], None
        if waiting is not None:
            waiting()

    def first(self) -> dict[str, Any]:
        """The list as all have it when the day begins."""
        self.seen = [self.generation] * len(self.seen)
        return self.whole()

    def whole(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    def news(self, gate: int, since: int | None) -> dict[str, Any] | None:
        """What a watch from that generation is answered; none while there is nothing newer."""
        seen = self.seen[gate]
        if since is not None and seen <= since:
            return None
        oldest = self.changes[0][0] if self.changes else 0
        if since is None or since < oldest - 1:
            return {**self.whole(), "generation": seen}
        names = list(dict.fromkeys(n for g, n in self.changes if since < g <= seen))
        rows = [self.rows.get(n) or self.gone[n] for n in names]
        return {"generation": seen, "reset": False, "instances": rows}

    def note(self, gate: int, told: dict[str, Any]) -> None:
        """It was written to the gatekeeper: from now on that binds."""
        states = {row["instanceId"]: (row["lifecycle"], row["startedAtMs"]) for row in told["instances"]}
        knew = self.knows[gate]
        if told["reset"]:
            states |= {name: ("removed", 0.0) for name in knew if name not in states}
        for name, (state, born) in states.items():
            if knew.get(name) != f"{state}/{born}":
                knew[name] = f"{state}/{born}"
                self.record.add(self.clock.now(), "told", gate=gate, worker=name, state=state, born=born)
            if state == "removed":
                knew.pop(name, None)
