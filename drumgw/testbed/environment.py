"""The stand-ins of one day put together, and the table of what can go wrong with them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from drumgw.config.platform_settings import GatewayPlacement, platform_settings
from drumgw.testbed.clients import AttemptSender, ClientPopulation
from drumgw.testbed.clocks import TestbedClock
from drumgw.testbed.counter import EmulatedCounter
from drumgw.testbed.endpoint import DeduplicationStore, EmulatedEndpoint
from drumgw.testbed.endpoint_registry import EmulatedDiscovery
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.scenario import Fault, Scenario
from drumgw.testbed.workload import Workload

CELL = 4  # workers to a cell
AFTER_MS = 1000.0  # a day runs on so long after the last expiry
Undo = Callable[[], None]


class GatewayControls(AttemptSender, Protocol):
    """The gatekeepers of a day, as far as troubles reach them."""

    def restart(self, gate: int) -> None: ...

    def kill(self, gate: int) -> None: ...

    def pause(self, gate: int, for_ms: float) -> None: ...

    def moves(self) -> None: ...


class Environment:
    def __init__(self, day: Scenario, seed: int, clock: TestbedClock, record: EventLog) -> None:
        self.day, self.seed, self.clock, self.record = day, seed, clock, record
        self.book = Workload(day, seed)
        self.clients = ClientPopulation(day, self.book, clock, record)
        self.counter = EmulatedCounter(day.counter, clock) if day.counter else None
        self.registry = EmulatedDiscovery(
            day.discovery, day.fleet.gatekeepers, clock, record, self.book.chance("registry")
        )
        self.memory = DeduplicationStore(clock)
        self.chance = self.book.chance("troubles")
        self.workers: dict[
            str, EmulatedEndpoint
        ] = {}  # all that ever were; a day replaces each a few times at most
        self.places: list[str] = []  # by number: the worker that stands there now
        self.cut: set[str] = set()  # zones cut off from the others
        self.tickets = 0
        self.gateways: GatewayControls | None = None
        for number in range(day.fleet.workers):
            self.places.append(self.add_worker(number, 0, None).name)

    def add_worker(self, number: int, turn: int, born: float | None) -> EmulatedEndpoint:
        zone = self.day.fleet.zones[number % len(self.day.fleet.zones)]
        name = f"w{number}" + (f".{turn}" if turn else "")
        cell = number % len(self.day.fleet.zones) + len(self.day.fleet.zones) * (number // CELL)
        worker = EmulatedEndpoint(
            name,
            number,
            zone,
            cell,
            born,
            self.day.worker,
            self.day.rules,
            self.clock,
            self.record,
            self.memory,
            self.book.chance("worker", name),
        )
        self.workers[name] = worker
        self.registry.put(name, zone, cell, born)
        return worker

    def zone_of(self, gate: int) -> str:
        return self.day.fleet.zones[gate % len(self.day.fleet.zones)]

    def one_way(self, gate: int, worker: EmulatedEndpoint) -> float:
        fleet = self.day.fleet
        return fleet.same_zone_ms if self.zone_of(gate) == worker.zone else fleet.cross_zone_ms

    def parted(self, gate: int, zone: str) -> bool:
        """No packet passes between this gatekeeper and that zone."""
        own = self.zone_of(gate)
        return own != zone and (own in self.cut or zone in self.cut)

    def ticket(self) -> int:
        self.tickets += 1
        return self.tickets

    def settings(self, gate: int) -> dict[str, Any]:
        day = self.day
        placement = GatewayPlacement(
            zone=self.zone_of(gate),
            zones=day.fleet.zones,
            gateway_count=day.fleet.gatekeepers,
            ordinal=gate,
            has_counter=self.counter is not None,
        )
        return platform_settings(day.product, day.plan, day.rules, day.allowed, placement)

    # Troubles

    def begin(self) -> None:
        """From now on clients come and troubles happen."""
        now = self.clock.now()
        self.record.add(now, "begins")
        for number, trouble in enumerate(self.day.trouble):
            self.clock.at(now + trouble.at_s * 1000.0, lambda t=trouble, n=number: self.strike(t, n))  # type: ignore[misc]
        self.clients.begin()

    def end(self) -> None:
        """The last sightings: a record without them was cut off."""
        now = self.clock.now()
        if self.counter is not None:
            self.record.add(now, "counter", calls=self.counter.calls)
        self.record.add(now, "ends", sent=self.clients.sent, late=self.clients.late)

    def ends_at(self) -> float:
        longest = max(p.expiry_ms for p in self.day.product)
        return self.clients.start_ms + self.day.seconds * 1000.0 + longest + AFTER_MS

    def strike(self, t: Fault, number: int) -> None:
        undo = FAULTS[t.kind](self, t)
        aims = {
            k: v for k in ("size", "part", "zone", "worker", "product") if (v := getattr(t, k)) is not None
        }
        self.record.add(self.clock.now(), "trouble", number=number, kind=t.kind, **aims)
        if t.for_s:

            def over() -> None:
                if undo is not None:
                    undo()
                self.record.add(self.clock.now(), "trouble over", number=number, kind=t.kind)

            self.clock.at(self.clock.now() + t.for_s * 1000.0, over)

    def aimed(self, t: Fault) -> list[EmulatedEndpoint]:
        """The workers that it strikes, among those that stand now; none where they have gone."""
        standing = [self.workers[name] for name in self.places]
        if t.worker is not None:
            return [standing[t.worker]]
        if t.zone is not None:
            return [w for w in standing if w.zone == t.zone]
        return sorted(
            self.chance.sample(standing, max(1, round((t.part or 0.0) * len(standing)))),
            key=lambda w: w.number,
        )

    def some_gates(self, t: Fault) -> list[int]:
        number = self.day.fleet.gatekeepers
        return sorted(self.chance.sample(range(number), max(1, round((t.part or 0.0) * number))))

    def ill(self, t: Fault, **ills: Any) -> Undo:
        return put([w.ills for w in self.aimed(t)], **ills)

    def fail(self, t: Fault) -> Undo:
        struck = self.aimed(t)
        for w in struck:
            w.ills.failing.add(t.product)

        def undo() -> None:
            for w in struck:
                w.ills.failing.discard(t.product)

        return undo

    def crash(self, t: Fault) -> Undo:
        """Their processes die; the list lacks them later, and has them again when they are back, cold."""
        struck = [w for w in self.aimed(t) if w.up]
        return self.lose(struck)

    def lose(self, struck: list[EmulatedEndpoint]) -> Undo:
        now = self.clock.now()
        for w in struck:
            w.down(None)
            self.clock.at(now + self.day.worker.dead_noticed_ms, lambda w=w: self.miss(w))  # type: ignore[misc]

        def undo() -> None:
            for w in struck:
                if w.name in self.places:
                    w.back()
                    self.registry.put(w.name, w.zone, w.cell, w.born)

        return undo

    def miss(self, w: EmulatedEndpoint) -> None:
        if not w.up:
            self.registry.state(w.name, "removed")

    def replace(self, t: Fault) -> None:
        """Drained in turn; a new one, cold and under a new name, stands in its place."""
        for w in self.aimed(t):
            self.drain_one(w)
            turn = int(w.name.partition(".")[2] or 0) + 1
            self.places[w.number] = self.add_worker(w.number, turn, self.clock.now()).name

    def begin_drain(self, w: EmulatedEndpoint) -> None:
        w.draining = True
        self.record.add(self.clock.now(), "worker", worker=w.name, state="drains")
        self.registry.state(w.name, "draining")

    def drain_one(self, w: EmulatedEndpoint) -> None:
        self.begin_drain(w)
        gone = self.day.discovery.delay_ms + self.day.discovery.spread_ms + 3000.0
        self.clock.at(self.clock.now() + gone, lambda: self.retire(w))

    def retire(self, w: EmulatedEndpoint) -> None:
        if w.draining:
            w.down(None)
            self.registry.state(w.name, "removed")

    def drain(self, t: Fault) -> Undo | None:
        struck = self.aimed(t)
        for w in struck:
            self.begin_drain(w)

        def undo() -> None:
            for w in struck:
                if w.name in self.places and w.up:
                    w.draining = False
                    self.registry.put(w.name, w.zone, w.cell, w.born)

        return undo

    def zone_lost(self, t: Fault) -> Undo:
        return self.lose([w for w in self.workers.values() if w.zone == t.zone and w.up])

    def zone_cut(self, t: Fault) -> Undo:
        assert t.zone is not None
        self.cut.add(t.zone)
        return lambda: self.cut.discard(t.zone or "")

    def split(self, _t: Fault) -> Undo:
        assert self.counter is not None
        self.counter.split()
        return self.counter.heal

    def empty(self, _t: Fault) -> None:
        assert self.counter is not None
        self.counter.empty()

    def older(self, t: Fault) -> None:
        assert self.counter is not None
        self.counter.older(t.size or 0.0)

    def gates(self, t: Fault, act: Callable[[GatewayControls, int], None]) -> None:
        assert self.gateways is not None
        for gate in self.some_gates(t):
            act(self.gateways, gate)

    def moves(self, _t: Fault) -> None:
        assert self.gateways is not None
        self.gateways.moves()


def put(things: list[Any], **values: Any) -> Undo:
    """Sets them on each, and gives what sets them back."""
    before = [{name: getattr(thing, name) for name in values} for thing in things]

    def write(thing: Any, found: dict[str, Any]) -> None:
        for name, value in found.items():
            setattr(thing, name, value)

    for thing in things:
        write(thing, values)

    def undo() -> None:
        for thing, was in zip(things, before, strict=True):
            write(thing, was)

    return undo


FAULTS: dict[str, Callable[[Environment, Fault], Undo | None]] = {
    "slow": lambda w, t: w.ill(t, slow=t.size),
    "failing": Environment.fail,
    "silent": lambda w, t: w.ill(t, silent=True),
    "resets": lambda w, t: w.ill(t, resets=t.size),
    "answers lost": lambda w, t: w.ill(t, lost=t.size),
    "answers late": lambda w, t: w.ill(t, late_ms=t.size),
    "answers spoilt": lambda w, t: w.ill(t, spoilt=t.size),
    "few connections": lambda w, t: w.ill(t, connections=int(t.size or 0)),
    "crash": Environment.crash,
    "replace": Environment.replace,
    "drain": Environment.drain,
    "zone lost": Environment.zone_lost,
    "zone cut": Environment.zone_cut,
    "counter slow": lambda w, t: put([w.counter], slow=t.size),
    "counter silent": lambda w, t: put([w.counter], silent=True),
    "counter refuses": lambda w, t: put([w.counter], refuses=True),
    "counter empty": Environment.empty,
    "counter older": Environment.older,
    "counter split": Environment.split,
    "list late": lambda w, t: put([w.registry], late_ms=t.size),
    "list lost": lambda w, t: put([w.registry], lost=True),
    "list moves": Environment.moves,
    "restart": lambda w, t: w.gates(t, lambda keepers, gate: keepers.restart(gate)),
    "kill": lambda w, t: w.gates(t, lambda keepers, gate: keepers.kill(gate)),
    "pause": lambda w, t: w.gates(t, lambda keepers, gate: keepers.pause(gate, t.for_s * 1000.0)),
    "rush": lambda w, t: None,  # the book knows of it
    "leave": lambda w, t: put([w.clients], leaving=t.size),
}
