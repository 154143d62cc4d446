"""A testbed scenario (version 1) in one file: fleet, request classes, plans, customers, load and faults.

The fields are the keys of the file, in the operators' words: they are an edge and keep their names.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
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
MAX_REQUESTS = 2_000_000
"""A scenario is bounded in what its clients ask."""

IDEMPOTENT = "inquiry-like"
IDEMPOTENT_WITH_KEY = "referenced"
NOT_IDEMPOTENT = "once-only"
"""Values of a request class's `repeat`."""


class FaultKind(StrEnum):
    """The kinds of fault, by their names in scenario files."""

    ENDPOINT_SLOW = "slow"
    ENDPOINT_FAILING = "failing"
    ENDPOINT_SILENT = "silent"
    CONNECTION_RESETS = "resets"
    RESPONSES_LOST = "answers lost"
    RESPONSES_DELAYED = "answers late"
    RESPONSES_CORRUPT = "answers spoilt"
    CONNECTION_LIMIT = "few connections"
    ENDPOINT_CRASH = "crash"
    ENDPOINT_REPLACED = "replace"
    ENDPOINT_DRAIN = "drain"
    ZONE_DOWN = "zone lost"
    ZONE_PARTITIONED = "zone cut"
    COUNTER_SLOW = "counter slow"
    COUNTER_SILENT = "counter silent"
    COUNTER_REJECTS = "counter refuses"
    COUNTER_EMPTY = "counter empty"
    COUNTER_STALE = "counter older"
    COUNTER_SPLIT = "counter split"
    DISCOVERY_DELAYED = "list late"
    DISCOVERY_SILENT = "list lost"
    DISCOVERY_MOVED = "list moves"
    GATEWAY_RESTART = "restart"
    GATEWAY_KILL = "kill"
    GATEWAY_PAUSE = "pause"
    LOAD_SURGE = "rush"
    CLIENTS_LEAVE = "leave"


class Need(StrEnum):
    """What a kind of fault needs beside its kind and times."""

    SIZE = "size"
    PART = "part"
    ZONE = "zone"
    ENDPOINTS = "workers"
    """Exactly one of `part`, `zone` and `worker`."""


NEEDS: dict[FaultKind, tuple[Need, ...]] = {
    FaultKind.ENDPOINT_SLOW: (Need.SIZE, Need.ENDPOINTS),
    FaultKind.ENDPOINT_FAILING: (Need.ENDPOINTS,),
    FaultKind.ENDPOINT_SILENT: (Need.ENDPOINTS,),
    FaultKind.CONNECTION_RESETS: (Need.SIZE, Need.ENDPOINTS),
    FaultKind.RESPONSES_LOST: (Need.SIZE, Need.ENDPOINTS),
    FaultKind.RESPONSES_DELAYED: (Need.SIZE, Need.ENDPOINTS),
    FaultKind.RESPONSES_CORRUPT: (Need.SIZE, Need.ENDPOINTS),
    FaultKind.CONNECTION_LIMIT: (Need.SIZE, Need.ENDPOINTS),
    FaultKind.ENDPOINT_CRASH: (Need.ENDPOINTS,),
    FaultKind.ENDPOINT_REPLACED: (Need.ENDPOINTS,),
    FaultKind.ENDPOINT_DRAIN: (Need.ENDPOINTS,),
    FaultKind.ZONE_DOWN: (Need.ZONE,),
    FaultKind.ZONE_PARTITIONED: (Need.ZONE,),
    FaultKind.COUNTER_SLOW: (Need.SIZE,),
    FaultKind.COUNTER_SILENT: (),
    FaultKind.COUNTER_REJECTS: (),
    FaultKind.COUNTER_EMPTY: (),
    FaultKind.COUNTER_STALE: (Need.SIZE,),
    FaultKind.COUNTER_SPLIT: (),
    FaultKind.DISCOVERY_DELAYED: (Need.SIZE,),
    FaultKind.DISCOVERY_SILENT: (),
    FaultKind.DISCOVERY_MOVED: (),
    FaultKind.GATEWAY_RESTART: (Need.PART,),
    FaultKind.GATEWAY_KILL: (Need.PART,),
    FaultKind.GATEWAY_PAUSE: (Need.PART,),
    FaultKind.LOAD_SURGE: (Need.SIZE,),
    FaultKind.CLIENTS_LEAVE: (Need.SIZE,),
}
WITHOUT_DURATION = (
    FaultKind.ENDPOINT_REPLACED,
    FaultKind.ENDPOINT_DRAIN,
    FaultKind.GATEWAY_RESTART,
    FaultKind.GATEWAY_KILL,
    FaultKind.COUNTER_EMPTY,
    FaultKind.COUNTER_STALE,
    FaultKind.DISCOVERY_MOVED,
)
"""Kinds that may do without `for_s`."""
COUNTER_FAULTS = (
    FaultKind.COUNTER_SLOW,
    FaultKind.COUNTER_SILENT,
    FaultKind.COUNTER_REJECTS,
    FaultKind.COUNTER_EMPTY,
    FaultKind.COUNTER_STALE,
    FaultKind.COUNTER_SPLIT,
)
TARGET_KEYS = ("part", "zone", "worker")


def _raise_mistakes(mistakes: list[str]) -> None:
    """Raises one ValueError that names all mistakes."""
    if mistakes:
        raise ValueError("; ".join(mistakes))


class Fault(Section):
    """`[[trouble]]`: what goes wrong, from `at_s` for `for_s`, how much of it, and to whom."""

    kind: Annotated[FaultKind, Field(strict=False)]  # a file holds its name
    at_s: Amount
    for_s: Amount = 0.0
    size: Amount | None = None
    """A factor, a share, milliseconds or a count, as the kind says."""
    part: Fraction | None = None
    zone: Name | None = None
    worker: Annotated[int, Field(ge=0)] | None = None
    product: Name | None = None

    @model_validator(mode="after")
    def check_needs(self) -> Fault:
        """Raises ValueError where a key is missing that the kind needs, or given that it has no use for."""
        _raise_mistakes([f"{self.kind.value!r} {mistake}" for mistake in self._mistakes()])
        return self

    @property
    def duration_ms(self) -> float:
        """How long it lasts; 0 where it is not ended."""
        return self.for_s * 1000.0

    def _mistakes(self) -> Iterator[str]:
        needs = NEEDS[self.kind]
        targets = [key for key in TARGET_KEYS if getattr(self, key) is not None]
        yield from self._missing(needs, targets)
        if not self.for_s and self.kind not in WITHOUT_DURATION:
            yield "needs for_s"
        if self.size is not None and Need.SIZE not in needs:
            yield "has no size"
        if self.product is not None and self.kind is not FaultKind.ENDPOINT_FAILING:
            yield "has no product"
        if targets and not {Need.ENDPOINTS, *targets} & set(needs):
            yield f"is aimed at nobody, found {' and '.join(targets)}"

    def _missing(self, needs: tuple[Need, ...], targets: list[str]) -> Iterator[str]:
        for need in needs:
            if need is Need.ENDPOINTS:
                if len(targets) != 1:
                    yield f"needs one of part, zone and worker, found {' and '.join(targets) or 'none'}"
            elif getattr(self, need) is None:
                yield f"needs {need}"


class FleetSection(Section):
    """`[fleet]`: how many gateways and endpoints, and the network between them."""

    gatekeepers: Annotated[int, Field(ge=1, le=1000)] = 3
    workers: Annotated[int, Field(ge=1, le=1000)] = 8
    zones: Annotated[list[Name], Field(min_length=1)] = ["a"]
    same_zone_ms: Amount = 0.2
    cross_zone_ms: Amount = 1.0
    client_ms: Amount = 0.5
    front_notices_ms: Amount = 1500.0
    """Until the load balancer in front takes a dead gateway out of rotation."""
    restart_ms: Amount = 1000.0
    """From the end of a gateway's process to its next start."""


class EndpointSection(Section):
    """`[worker]`: what all endpoints can do."""

    cores: Annotated[int, Field(ge=1, le=256)] = 2
    speed: PositiveAmount = 1.0
    speed_spread: Fraction = 0.1
    queue: Annotated[int, Field(ge=0, le=10**5)] = 40
    connections: Count = 1000
    handshake_ms: Amount = 1.0
    down_ms: Amount = 5000.0
    """How long an endpoint that was overloaded while warming up stays down."""
    dead_noticed_ms: Amount = 3000.0
    """Until an endpoint that crashed is taken off the endpoint list."""


class CounterSection(Section):
    """`[counter]`: the shared counter."""

    one_way_ms: Amount = 0.5
    call_ms: Amount = 0.5
    calls_per_s: PositiveAmount = 2000.0
    line: Count = 500
    """Calls that wait their turn; beyond it they are rejected."""


class DiscoverySection(Section):
    """`[discovery]`: how late gateways hear of a change of the endpoint list."""

    delay_ms: Amount = 300.0
    spread_ms: Amount = 200.0


class CustomersSection(Section):
    """`[[customers]]`: how many customers of one plan, through how many gateways, and what they ask."""

    plan: Name
    number: Count
    gatekeepers: Count = 2
    use: Annotated[float, Field(gt=0, le=100)] = 0.4
    """Share of the quota that a customer asks."""
    heavy: Fraction = 0.1
    """Share of the customers that ask `heavy_x` as much."""
    heavy_x: Annotated[float, Field(ge=1, le=100)] = 3.0


class LoadStepSection(Section):
    """`[[load]]`: from `at_s` on, customers ask `factor` times their own rates."""

    at_s: Amount
    factor: Amount


class ClientsSection(Section):
    """`[clients]`: how clients behave."""

    retries: Annotated[int, Field(ge=0, le=10)] = 2
    backoff_ms: Amount = 100.0
    observe: Fraction = 0.8
    """Share of retries that observe Retry-After."""
    patience: Annotated[float, Field(gt=0, le=1)] = 0.5
    """An attempt is given at least this share of the time left to its request."""
    leave: Fraction = 0.0
    """Share of attempts whose client disconnects early."""


class WorkSection(Section):
    """`[[work]]`: the share of one request class, and what a request costs an endpoint of speed 1."""

    product: Name
    share: PositiveAmount
    mean_ms: PositiveAmount
    spread: Annotated[float, Field(ge=0, le=3)] = 0.7


class Scenario(Section):
    """A scenario file."""

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
    units_spread: Fraction = 0.4
    """How far a request's true units may be from those stated."""
    product: Annotated[list[RequestClassSection], Field(min_length=1)]
    plan: Annotated[list[PlanSection], Field(min_length=1)]
    work: Annotated[list[WorkSection], Field(min_length=1)]
    customers: Annotated[list[CustomersSection], Field(min_length=1)]
    load: list[LoadStepSection] = []
    trouble: list[Fault] = []

    @model_validator(mode="after")
    def check_consistency(self) -> Scenario:
        """Raises ValueError where tables contradict each other or the load is out of bounds."""
        require_unique([section.name for section in self.product], "product")
        require_unique([section.name for section in self.plan], "plan")
        require_unique(self.fleet.zones, "fleet.zones")
        _raise_mistakes([*self._table_mistakes(), *self._fault_mistakes()])
        if self.expected_requests() > MAX_REQUESTS:
            raise ValueError(
                f"the scenario would ask {self.expected_requests():.0f} requests, more than {MAX_REQUESTS}"
            )
        return self

    def _table_mistakes(self) -> Iterator[str]:
        plans = {section.name: section for section in self.plan}
        class_names = sorted(section.name for section in self.product)
        if sorted(section.product for section in self.work) != class_names:
            yield "work: expected one entry for each product"
        for position, group in enumerate(self.customers, 1):
            if group.plan not in plans:
                yield f"customers[{position}].plan: no such plan {group.plan!r}"
            elif not plans[group.plan].units_per_s:
                yield f"customers[{position}].plan: {group.plan!r} has no rate that use could be a part of"
            if group.gatekeepers > self.fleet.gatekeepers:
                yield f"customers[{position}].gatekeepers: there are {self.fleet.gatekeepers}"

    def _fault_mistakes(self) -> Iterator[str]:
        """Faults that could not happen."""
        class_names = [section.name for section in self.product]
        for position, fault in enumerate(self.trouble, 1):
            where = f"trouble[{position}] ({fault.kind})"
            if fault.at_s >= self.seconds:
                yield f"{where}: begins at {fault.at_s:g} s, after the scenario's {self.seconds:g} s"
            if fault.zone is not None and fault.zone not in self.fleet.zones:
                yield f"{where}: no such zone {fault.zone!r}"
            if fault.worker is not None and fault.worker >= self.fleet.workers:
                yield f"{where}: workers are numbered 0 to {self.fleet.workers - 1}"
            if fault.product is not None and fault.product not in class_names:
                yield f"{where}: no such product {fault.product!r}"
            if fault.kind in COUNTER_FAULTS and self.counter is None:
                yield f"{where}: the scenario has no counter"

    def mean_units(self) -> float:
        """Units that a request states on average."""
        return (1 + int(self.allowed.most_units)) / 2

    def longest_deadline_ms(self) -> float:
        """The longest time that a client of any class waits."""
        return max(section.expiry_ms for section in self.product)

    def expected_requests(self) -> float:
        """Upper estimate of what its clients ask: its whole length at the highest load step."""
        rates = {section.name: section.units_per_s for section in self.plan}
        units_per_s = sum(
            group.number * rates[group.plan] * group.use * (1 + group.heavy * (group.heavy_x - 1))
            for group in self.customers
        )
        highest_factor = max([1.0, *(step.factor for step in self.load)])
        return units_per_s / self.mean_units() * self.seconds * highest_factor


def read_scenario(path: str) -> Scenario:
    """Reads and checks a scenario file.

    Raises:
        FileError: where it cannot be read or holds a mistake.
    """
    return read_file(path, Scenario, VERSION)
