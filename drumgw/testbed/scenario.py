"""A day of the laboratory (version 1): fleet, products, plans, customers, load and troubles, in one file."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Literal

from pydantic import Field, model_validator

from drumgw.config.file_reader import read_file
from drumgw.config.sections import (
    AllowedSection,
    Amount,
    Count,
    Fraction,
    Name,
    PlanSection,
    PositiveAmount,
    RequestClassSection,
    RulesSection,
    Section,
    require_unique,
)

VERSION = 1
MOST_TXNS = 2_000_000  # a day is bounded in what it asks, and in time
NEEDS: dict[str, tuple[str, ...]] = {
    # of workers: `part` of them, those of `zone`, or `worker` by number
    "slow": ("size", "workers"),
    "failing": ("workers",),
    "silent": ("workers",),
    "resets": ("size", "workers"),
    "answers lost": ("size", "workers"),
    "answers late": ("size", "workers"),
    "answers spoilt": ("size", "workers"),
    "few connections": ("size", "workers"),
    "crash": ("workers",),
    "replace": ("workers",),
    "drain": ("workers",),
    # of a zone: lost, or cut off from the other zones
    "zone lost": ("zone",),
    "zone cut": ("zone",),
    # of the counter
    "counter slow": ("size",),
    "counter silent": (),
    "counter refuses": (),
    "counter empty": (),
    "counter older": ("size",),
    "counter split": (),
    # of discovery
    "list late": ("size",),
    "list lost": (),
    "list moves": (),
    # of gatekeepers: `part` of them
    "restart": ("part",),
    "kill": ("part",),
    "pause": ("part",),
    # of clients
    "rush": ("size",),
    "leave": ("size",),
}
ENDLESS = ("replace", "drain", "restart", "kill", "counter empty", "counter older", "list moves")
Kind = Literal[
    "slow",
    "failing",
    "silent",
    "resets",
    "answers lost",
    "answers late",
    "answers spoilt",
    "few connections",
    "crash",
    "replace",
    "drain",
    "zone lost",
    "zone cut",
    "counter slow",
    "counter silent",
    "counter refuses",
    "counter empty",
    "counter older",
    "counter split",
    "list late",
    "list lost",
    "list moves",
    "restart",
    "kill",
    "pause",
    "rush",
    "leave",
]


def refuse(mistakes: list[str]) -> None:
    """All of them at once."""
    if mistakes:
        raise ValueError("; ".join(mistakes))


class Fault(Section):
    """What goes wrong, from `at_s` for `for_s`, how much of it, and to whom."""

    kind: Kind
    at_s: Amount
    for_s: Amount = 0.0
    size: Amount | None = None  # a factor, a share, milliseconds or a count, as the kind says
    part: Fraction | None = None
    zone: Name | None = None
    worker: Annotated[int, Field(ge=0)] | None = None
    product: Name | None = None

    @model_validator(mode="after")
    def fits(self) -> Fault:
        refuse([f"{self.kind!r} {mistake}" for mistake in self.mistakes()])
        return self

    def mistakes(self) -> Iterator[str]:
        needs = NEEDS[self.kind]
        aims = [k for k in ("part", "zone", "worker") if getattr(self, k) is not None]
        for need in needs:
            if need == "workers":
                if len(aims) != 1:
                    yield f"needs one of part, zone and worker, found {' and '.join(aims) or 'none'}"
            elif getattr(self, need) is None:
                yield f"needs {need}"
        if not self.for_s and self.kind not in ENDLESS:
            yield "needs for_s"
        if self.size is not None and "size" not in needs:
            yield "has no size"
        if self.product is not None and self.kind != "failing":
            yield "has no product"
        if aims and not {"workers", *aims} & set(needs):
            yield f"is aimed at nobody, found {' and '.join(aims)}"


class FleetSection(Section):
    gatekeepers: Annotated[int, Field(ge=1, le=1000)] = 3
    workers: Annotated[int, Field(ge=1, le=1000)] = 8
    zones: Annotated[list[Name], Field(min_length=1)] = ["a"]
    same_zone_ms: Amount = 0.2
    cross_zone_ms: Amount = 1.0
    client_ms: Amount = 0.5
    front_notices_ms: Amount = 1500.0
    restart_ms: Amount = 1000.0  # from the end of a gatekeeper until it takes clients again


class EndpointSection(Section):
    cores: Annotated[int, Field(ge=1, le=256)] = 2
    speed: PositiveAmount = 1.0
    speed_spread: Fraction = 0.1
    queue: Annotated[int, Field(ge=0, le=10**5)] = 40
    connections: Count = 1000
    handshake_ms: Amount = 1.0
    down_ms: Amount = 5000.0  # for which a worker that fell over stays down
    dead_noticed_ms: Amount = 3000.0  # until the list lacks one that vanished


class CounterSection(Section):
    one_way_ms: Amount = 0.5
    call_ms: Amount = 0.5
    calls_per_s: PositiveAmount = 2000.0
    line: Count = 500  # calls that wait their turn; beyond it they are turned away


class DiscoverySection(Section):
    delay_ms: Amount = 300.0
    spread_ms: Amount = 200.0


class CustomersSection(Section):
    """The customers of one plan: how many, through how many gatekeepers, what part of the quota they ask."""

    plan: Name
    number: Count
    gatekeepers: Count = 2
    use: Annotated[float, Field(gt=0, le=100)] = 0.4
    heavy: Fraction = 0.1  # that share asks heavy_x as much
    heavy_x: Annotated[float, Field(ge=1, le=100)] = 3.0


class LoadStepSection(Section):
    at_s: Amount
    factor: Amount


class ClientsSection(Section):
    retries: Annotated[int, Field(ge=0, le=10)] = 2
    backoff_ms: Amount = 100.0
    observe: Fraction = 0.8  # that share of retries keeps to Retry-After
    patience: Annotated[float, Field(gt=0, le=1)] = 0.5  # least part of the expiry that a try is given
    leave: Fraction = 0.0  # that share of tries is left early


class WorkSection(Section):
    """What a txn of a product costs a worker of speed 1, and its share of the txns."""

    product: Name
    share: PositiveAmount
    mean_ms: PositiveAmount
    spread: Annotated[float, Field(ge=0, le=3)] = 0.7


class Scenario(Section):
    version: Literal[1]
    name: Name
    seconds: Annotated[float, Field(gt=0, le=3600)]
    fleet: FleetSection = FleetSection()
    worker: EndpointSection = EndpointSection()
    counter: CounterSection | None = CounterSection()
    discovery: DiscoverySection = DiscoverySection()
    rules: RulesSection = RulesSection()
    allowed: AllowedSection = AllowedSection()
    clients: ClientsSection = ClientsSection()
    units_spread: Fraction = 0.4  # true units around those guessed
    product: Annotated[list[RequestClassSection], Field(min_length=1)]
    plan: Annotated[list[PlanSection], Field(min_length=1)]
    work: Annotated[list[WorkSection], Field(min_length=1)]
    customers: Annotated[list[CustomersSection], Field(min_length=1)]
    load: list[LoadStepSection] = []
    trouble: list[Fault] = []

    @model_validator(mode="after")
    def fits(self) -> Scenario:
        require_unique([p.name for p in self.product], "product")
        require_unique([p.name for p in self.plan], "plan")
        require_unique(self.fleet.zones, "fleet.zones")
        refuse([*self.mistakes(), *self.aimless()])
        if self.expected_txns() > MOST_TXNS:
            raise ValueError(f"the day would ask {self.expected_txns():.0f} txns, more than {MOST_TXNS}")
        return self

    def mistakes(self) -> Iterator[str]:
        plans = {p.name: p for p in self.plan}
        if sorted(w.product for w in self.work) != sorted(p.name for p in self.product):
            yield "work: expected one entry for each product"
        for i, c in enumerate(self.customers, 1):
            if c.plan not in plans:
                yield f"customers[{i}].plan: no such plan {c.plan!r}"
            elif not plans[c.plan].units_per_s:
                yield f"customers[{i}].plan: {c.plan!r} has no rate that use could be a part of"
            if c.gatekeepers > self.fleet.gatekeepers:
                yield f"customers[{i}].gatekeepers: there are {self.fleet.gatekeepers}"

    def aimless(self) -> Iterator[str]:
        """Troubles that could not strike."""
        products = [p.name for p in self.product]
        for i, t in enumerate(self.trouble, 1):
            where = f"trouble[{i}] ({t.kind})"
            if t.at_s >= self.seconds:
                yield f"{where}: begins at {t.at_s:g} s, after the day's {self.seconds:g} s"
            if t.zone is not None and t.zone not in self.fleet.zones:
                yield f"{where}: no such zone {t.zone!r}"
            if t.worker is not None and t.worker >= self.fleet.workers:
                yield f"{where}: workers are numbered 0 to {self.fleet.workers - 1}"
            if t.product is not None and t.product not in products:
                yield f"{where}: no such product {t.product!r}"
            if t.kind.startswith("counter") and self.counter is None:
                yield f"{where}: the day has no counter"

    def mean_units(self) -> float:
        return (1 + int(self.allowed.most_units)) / 2

    def expected_txns(self) -> float:
        rates = {p.name: p.units_per_s for p in self.plan}
        units = sum(
            c.number * rates[c.plan] * c.use * (1 + c.heavy * (c.heavy_x - 1)) for c in self.customers
        )
        return units / self.mean_units() * self.seconds * max([1.0, *(s.factor for s in self.load)])


def read_scenario(path: str) -> Scenario:
    return read_file(path, Scenario, VERSION)
