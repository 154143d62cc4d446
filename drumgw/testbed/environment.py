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

    def move_discovery(self) -> None: ...


class Environment:
    def __init__(self, day: Scenario, seed: int, clock: TestbedClock, record: EventLog) -> None:
        self.scenario, self.seed, self.clock, self.event_log = day, seed, clock, record
        self.workload = Workload(day, seed)
        self.clients = ClientPopulation(day, self.workload, clock, record)
        self.counter = EmulatedCounter(day.counter, clock) if day.counter else None
        self.discovery = EmulatedDiscovery(
            day.discovery, day.fleet.gatekeepers, clock, record, self.workload.random_stream("registry")
        )
        self.deduplication = DeduplicationStore(clock)
        self.random = self.workload.random_stream("troubles")
        self.endpoints: dict[
            str, EmulatedEndpoint
        ] = {}  # all that ever were; a day replaces each a few times at most
        self.current_names: list[str] = []  # by number: the worker that stands there now
        self.isolated_zones: set[str] = set()  # zones cut off from the others
        self.attempt_count = 0
        self.gateways: GatewayControls | None = None
        for number in range(day.fleet.workers):
            self.current_names.append(self.add_endpoint(number, 0, None).name)

    def add_endpoint(self, number: int, turn: int, born: float | None) -> EmulatedEndpoint:
        zone = self.scenario.fleet.zones[number % len(self.scenario.fleet.zones)]
        name = f"w{number}" + (f".{turn}" if turn else "")
        cell = number % len(self.scenario.fleet.zones) + len(self.scenario.fleet.zones) * (number // CELL)
        worker = EmulatedEndpoint(
            name,
            number,
            zone,
            cell,
            born,
            self.scenario.worker,
            self.scenario.rules,
            self.clock,
            self.event_log,
            self.deduplication,
            self.workload.random_stream("worker", name),
        )
        self.endpoints[name] = worker
        self.discovery.put(name, zone, cell, born)
        return worker

    def zone_of_gateway(self, gate: int) -> str:
        return self.scenario.fleet.zones[gate % len(self.scenario.fleet.zones)]

    def one_way_ms(self, gate: int, worker: EmulatedEndpoint) -> float:
        fleet = self.scenario.fleet
        return fleet.same_zone_ms if self.zone_of_gateway(gate) == worker.zone else fleet.cross_zone_ms

    def is_partitioned(self, gate: int, zone: str) -> bool:
        """No packet passes between this gatekeeper and that zone."""
        own = self.zone_of_gateway(gate)
        return own != zone and (own in self.isolated_zones or zone in self.isolated_zones)

    def next_attempt_number(self) -> int:
        self.attempt_count += 1
        return self.attempt_count

    def gateway_settings(self, gate: int) -> dict[str, Any]:
        scenario = self.scenario
        placement = GatewayPlacement(
            zone=self.zone_of_gateway(gate),
            zones=scenario.fleet.zones,
            gateway_count=scenario.fleet.gatekeepers,
            ordinal=gate,
            has_counter=self.counter is not None,
        )
        return platform_settings(scenario.product, scenario.plan, scenario.rules, scenario.allowed, placement)

    # Troubles

    def start(self) -> None:
        """From now on clients come and troubles happen."""
        now = self.clock.now()
        self.event_log.add(now, "begins")
        for number, trouble in enumerate(self.scenario.trouble):
            self.clock.call_at(now + trouble.at_s * 1000.0, lambda t=trouble, n=number: self.strike(t, n))  # type: ignore[misc]
        self.clients.start()

    def finish(self) -> None:
        """The last sightings: a record without them was cut off."""
        now = self.clock.now()
        if self.counter is not None:
            self.event_log.add(now, "counter", calls=self.counter.call_count)
        self.event_log.add(now, "ends", sent=self.clients.sent_count, late=self.clients.sent_late_count)

    def end_time_ms(self) -> float:
        longest = max(p.expiry_ms for p in self.scenario.product)
        return self.clients.start_ms + self.scenario.seconds * 1000.0 + longest + AFTER_MS

    def strike(self, t: Fault, number: int) -> None:
        undo = FAULTS[t.kind](self, t)
        aims = {
            k: v for k in ("size", "part", "zone", "worker", "product") if (v := getattr(t, k)) is not None
        }
        self.event_log.add(self.clock.now(), "trouble", number=number, kind=t.kind, **aims)
        if t.for_s:

            def over() -> None:
                if undo is not None:
                    undo()
                self.event_log.add(self.clock.now(), "trouble over", number=number, kind=t.kind)

            self.clock.call_at(self.clock.now() + t.for_s * 1000.0, over)

    def aimed(self, t: Fault) -> list[EmulatedEndpoint]:
        """The workers that it strikes, among those that stand now; none where they have gone."""
        standing = [self.endpoints[name] for name in self.current_names]
        if t.worker is not None:
            return [standing[t.worker]]
        if t.zone is not None:
            return [w for w in standing if w.zone == t.zone]
        return sorted(
            self.random.sample(standing, max(1, round((t.part or 0.0) * len(standing)))),
            key=lambda w: w.number,
        )

    def some_gates(self, t: Fault) -> list[int]:
        number = self.scenario.fleet.gatekeepers
        return sorted(self.random.sample(range(number), max(1, round((t.part or 0.0) * number))))

    def ill(self, t: Fault, **ills: Any) -> Undo:
        return put([w.faults for w in self.aimed(t)], **ills)

    def fail(self, t: Fault) -> Undo:
        struck = self.aimed(t)
        for w in struck:
            w.faults.failing_classes.add(t.product)

        def undo() -> None:
            for w in struck:
                w.faults.failing_classes.discard(t.product)

        return undo

    def crash(self, t: Fault) -> Undo:
        """Their processes die; the list lacks them later, and has them again when they are back, cold."""
        struck = [w for w in self.aimed(t) if w.is_up]
        return self.lose(struck)

    def lose(self, struck: list[EmulatedEndpoint]) -> Undo:
        now = self.clock.now()
        for w in struck:
            w.go_down(None)
            self.clock.call_at(now + self.scenario.worker.dead_noticed_ms, lambda w=w: self.miss(w))  # type: ignore[misc]

        def undo() -> None:
            for w in struck:
                if w.name in self.current_names:
                    w.come_back()
                    self.discovery.put(w.name, w.zone, w.cell, w.started_at_ms)

        return undo

    def miss(self, w: EmulatedEndpoint) -> None:
        if not w.is_up:
            self.discovery.set_lifecycle(w.name, "removed")

    def replace(self, t: Fault) -> None:
        """Drained in turn; a new one, cold and under a new name, stands in its place."""
        for w in self.aimed(t):
            self.drain_one(w)
            turn = int(w.name.partition(".")[2] or 0) + 1
            self.current_names[w.number] = self.add_endpoint(w.number, turn, self.clock.now()).name

    def begin_drain(self, w: EmulatedEndpoint) -> None:
        w.is_draining = True
        self.event_log.add(self.clock.now(), "worker", worker=w.name, state="drains")
        self.discovery.set_lifecycle(w.name, "draining")

    def drain_one(self, w: EmulatedEndpoint) -> None:
        self.begin_drain(w)
        gone = self.scenario.discovery.delay_ms + self.scenario.discovery.spread_ms + 3000.0
        self.clock.call_at(self.clock.now() + gone, lambda: self.retire(w))

    def retire(self, w: EmulatedEndpoint) -> None:
        if w.is_draining:
            w.go_down(None)
            self.discovery.set_lifecycle(w.name, "removed")

    def drain(self, t: Fault) -> Undo | None:
        struck = self.aimed(t)
        for w in struck:
            self.begin_drain(w)

        def undo() -> None:
            for w in struck:
                if w.name in self.current_names and w.is_up:
                    w.is_draining = False
                    self.discovery.put(w.name, w.zone, w.cell, w.started_at_ms)

        return undo

    def zone_lost(self, t: Fault) -> Undo:
        return self.lose([w for w in self.endpoints.values() if w.zone == t.zone and w.is_up])

    def zone_cut(self, t: Fault) -> Undo:
        assert t.zone is not None
        self.isolated_zones.add(t.zone)
        return lambda: self.isolated_zones.discard(t.zone or "")

    def split(self, _t: Fault) -> Undo:
        assert self.counter is not None
        self.counter.split()
        return self.counter.heal

    def empty(self, _t: Fault) -> None:
        assert self.counter is not None
        self.counter.clear()

    def older(self, t: Fault) -> None:
        assert self.counter is not None
        self.counter.scale_totals(t.size or 0.0)

    def gates(self, t: Fault, act: Callable[[GatewayControls, int], None]) -> None:
        assert self.gateways is not None
        for gate in self.some_gates(t):
            act(self.gateways, gate)

    def moves(self, _t: Fault) -> None:
        assert self.gateways is not None
        self.gateways.move_discovery()


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
    "slow": lambda w, t: w.ill(t, slowdown=t.size),
    "failing": Environment.fail,
    "silent": lambda w, t: w.ill(t, is_silent=True),
    "resets": lambda w, t: w.ill(t, reset_share=t.size),
    "answers lost": lambda w, t: w.ill(t, lost_share=t.size),
    "answers late": lambda w, t: w.ill(t, delay_ms=t.size),
    "answers spoilt": lambda w, t: w.ill(t, corrupt_share=t.size),
    "few connections": lambda w, t: w.ill(t, max_connections=int(t.size or 0)),
    "crash": Environment.crash,
    "replace": Environment.replace,
    "drain": Environment.drain,
    "zone lost": Environment.zone_lost,
    "zone cut": Environment.zone_cut,
    "counter slow": lambda w, t: put([w.counter], slowdown=t.size),
    "counter silent": lambda w, t: put([w.counter], is_silent=True),
    "counter refuses": lambda w, t: put([w.counter], rejects_calls=True),
    "counter empty": Environment.empty,
    "counter older": Environment.older,
    "counter split": Environment.split,
    "list late": lambda w, t: put([w.discovery], extra_delay_ms=t.size),
    "list lost": lambda w, t: put([w.discovery], is_silent=True),
    "list moves": Environment.moves,
    "restart": lambda w, t: w.gates(t, lambda keepers, gate: keepers.restart(gate)),
    "kill": lambda w, t: w.gates(t, lambda keepers, gate: keepers.kill(gate)),
    "pause": lambda w, t: w.gates(t, lambda keepers, gate: keepers.pause(gate, t.for_s * 1000.0)),
    "rush": lambda w, t: None,  # the book knows of it
    "leave": lambda w, t: put([w.clients], leave_share=t.size),
}
