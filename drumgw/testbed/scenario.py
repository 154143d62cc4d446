"""Schema of scenario files (version 1): fleet, request classes, plans, customers, load and faults.

Field names are the keys of the file, a public format, so they must not be renamed.
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
"""Limit on the expected number of requests of a scenario."""

IDEMPOTENT = "inquiry-like"
IDEMPOTENT_WITH_KEY = "referenced"
NOT_IDEMPOTENT = "once-only"
"""Values of `repeat` of a request class."""


class FaultKind(StrEnum):
    """Kinds of faults; the values are their names in scenario files."""

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


class RequiredKey(StrEnum):
    """A key that a kind of fault requires besides `kind`, `at_s` and `for_s`."""

    SIZE = "size"
    PART = "part"
    ZONE = "zone"
    ENDPOINTS = "workers"
    """Exactly one of `part`, `zone` and `worker`, which select the endpoints."""


REQUIRED_KEYS: dict[FaultKind, tuple[RequiredKey, ...]] = {
    FaultKind.ENDPOINT_SLOW: (RequiredKey.SIZE, RequiredKey.ENDPOINTS),
    FaultKind.ENDPOINT_FAILING: (RequiredKey.ENDPOINTS,),
    FaultKind.ENDPOINT_SILENT: (RequiredKey.ENDPOINTS,),
    FaultKind.CONNECTION_RESETS: (RequiredKey.SIZE, RequiredKey.ENDPOINTS),
    FaultKind.RESPONSES_LOST: (RequiredKey.SIZE, RequiredKey.ENDPOINTS),
    FaultKind.RESPONSES_DELAYED: (RequiredKey.SIZE, RequiredKey.ENDPOINTS),
    FaultKind.RESPONSES_CORRUPT: (RequiredKey.SIZE, RequiredKey.ENDPOINTS),
    FaultKind.CONNECTION_LIMIT: (RequiredKey.SIZE, RequiredKey.ENDPOINTS),
    FaultKind.ENDPOINT_CRASH: (RequiredKey.ENDPOINTS,),
    FaultKind.ENDPOINT_REPLACED: (RequiredKey.ENDPOINTS,),
    FaultKind.ENDPOINT_DRAIN: (RequiredKey.ENDPOINTS,),
    FaultKind.ZONE_DOWN: (RequiredKey.ZONE,),
    FaultKind.ZONE_PARTITIONED: (RequiredKey.ZONE,),
    FaultKind.COUNTER_SLOW: (RequiredKey.SIZE,),
    FaultKind.COUNTER_SILENT: (),
    FaultKind.COUNTER_REJECTS: (),
    FaultKind.COUNTER_EMPTY: (),
    FaultKind.COUNTER_STALE: (RequiredKey.SIZE,),
    FaultKind.COUNTER_SPLIT: (),
    FaultKind.DISCOVERY_DELAYED: (RequiredKey.SIZE,),
    FaultKind.DISCOVERY_SILENT: (),
    FaultKind.DISCOVERY_MOVED: (),
    FaultKind.GATEWAY_RESTART: (RequiredKey.PART,),
    FaultKind.GATEWAY_KILL: (RequiredKey.PART,),
    FaultKind.GATEWAY_PAUSE: (RequiredKey.PART,),
    FaultKind.LOAD_SURGE: (RequiredKey.SIZE,),
    FaultKind.CLIENTS_LEAVE: (RequiredKey.SIZE,),
}
DURATION_OPTIONAL_KINDS = (
    FaultKind.ENDPOINT_REPLACED,
    FaultKind.ENDPOINT_DRAIN,
    FaultKind.GATEWAY_RESTART,
    FaultKind.GATEWAY_KILL,
    FaultKind.COUNTER_EMPTY,
    FaultKind.COUNTER_STALE,
    FaultKind.DISCOVERY_MOVED,
)
"""Kinds of faults for which `for_s` is optional."""
COUNTER_FAULTS = (
    FaultKind.COUNTER_SLOW,
    FaultKind.COUNTER_SILENT,
    FaultKind.COUNTER_REJECTS,
    FaultKind.COUNTER_EMPTY,
    FaultKind.COUNTER_STALE,
    FaultKind.COUNTER_SPLIT,
)
TARGET_KEYS = ("part", "zone", "worker")


def _raise_errors(errors: list[str]) -> None:
    """Raises one ValueError that lists all errors, if there are any."""
    if errors:
        raise ValueError("; ".join(errors))


class Fault(Section):
    """`[[trouble]]`: a fault to inject at `at_s` for `for_s`, its size and its targets."""

    kind: Annotated[FaultKind, Field(strict=False)]  # files contain the value as a string
    at_s: Amount
    for_s: Amount = 0.0
    size: Amount | None = None
    """A factor, a share, milliseconds or a count, depending on the kind."""
    part: Fraction | None = None
    zone: Name | None = None
    worker: Annotated[int, Field(ge=0)] | None = None
    product: Name | None = None

    @model_validator(mode="after")
    def check_required_keys(self) -> Fault:
        """Raises ValueError if a key that the kind requires is missing, or an unused one is given."""
        _raise_errors([f"{self.kind.value!r} {error}" for error in self._errors()])
        return self

    @property
    def duration_ms(self) -> float:
        """Duration of the fault; 0 if it is never reverted."""
        return self.for_s * 1000.0

    def _errors(self) -> Iterator[str]:
        required = REQUIRED_KEYS[self.kind]
        targets = [key for key in TARGET_KEYS if getattr(self, key) is not None]
        yield from self._missing_keys(required, targets)
        if not self.for_s and self.kind not in DURATION_OPTIONAL_KINDS:
            yield "needs for_s"
        if self.size is not None and RequiredKey.SIZE not in required:
            yield "does not take size"
        if self.product is not None and self.kind is not FaultKind.ENDPOINT_FAILING:
            yield "does not take product"
        if targets and not {RequiredKey.ENDPOINTS, *targets} & set(required):
            yield f"does not take {' and '.join(targets)}"

    def _missing_keys(self, required: tuple[RequiredKey, ...], targets: list[str]) -> Iterator[str]:
        for key in required:
            if key is RequiredKey.ENDPOINTS:
                if len(targets) != 1:
                    yield f"needs one of part, zone and worker, found {' and '.join(targets) or 'none'}"
            elif getattr(self, key) is None:
                yield f"needs {key}"


class FleetSection(Section):
    """`[fleet]`: the numbers of gateways and endpoints, and the latency of the network."""

    gatekeepers: Annotated[int, Field(ge=1, le=1000)] = 3
    workers: Annotated[int, Field(ge=1, le=1000)] = 8
    zones: Annotated[list[Name], Field(min_length=1)] = ["a"]
    same_zone_ms: Amount = 0.2
    cross_zone_ms: Amount = 1.0
    client_ms: Amount = 0.5
    front_notices_ms: Amount = 1500.0
    """Time until the load balancer takes a killed gateway out of rotation."""
    restart_ms: Amount = 1000.0
    """Time from the end of a gateway's process to its next start."""


class EndpointSection(Section):
    """`[worker]`: capacity, limits and recovery times that all endpoints share."""

    cores: Annotated[int, Field(ge=1, le=256)] = 2
    speed: PositiveAmount = 1.0
    speed_spread: Fraction = 0.1
    queue: Annotated[int, Field(ge=0, le=10**5)] = 40
    connections: Count = 1000
    handshake_ms: Amount = 1.0
    down_ms: Amount = 5000.0
    """How long an endpoint stays down after it was overloaded while warming up."""
    dead_noticed_ms: Amount = 3000.0
    """Time until a crashed endpoint is removed from the endpoint list."""


class CounterSection(Section):
    """`[counter]`: latency and capacity of the shared counter."""

    one_way_ms: Amount = 0.5
    call_ms: Amount = 0.5
    calls_per_s: PositiveAmount = 2000.0
    line: Count = 500
    """Length of the queue of calls; further calls are rejected."""


class DiscoverySection(Section):
    """`[discovery]`: delay until gateways receive a change of the endpoint list."""

    delay_ms: Amount = 300.0
    spread_ms: Amount = 200.0


class CustomersSection(Section):
    """`[[customers]]`: a group of customers of one plan, their number of gateways and their load."""

    plan: Name
    number: Count
    gatekeepers: Count = 2
    use: Annotated[float, Field(gt=0, le=100)] = 0.4
    """Share of its quota that a customer requests on average."""
    heavy: Fraction = 0.1
    """Share of the customers that request `heavy_x` times as much."""
    heavy_x: Annotated[float, Field(ge=1, le=100)] = 3.0


class LoadStepSection(Section):
    """`[[load]]`: from `at_s` on, all request rates are multiplied by `factor`, until the next step."""

    at_s: Amount
    factor: Amount


class ClientsSection(Section):
    """`[clients]`: retries, timeouts and early disconnects of clients."""

    retries: Annotated[int, Field(ge=0, le=10)] = 2
    backoff_ms: Amount = 100.0
    observe: Fraction = 0.8
    """Share of retries that observe Retry-After; the others wait for a random backoff."""
    patience: Annotated[float, Field(gt=0, le=1)] = 0.5
    """Minimum timeout of an attempt, as a share of the time until the request's deadline."""
    leave: Fraction = 0.0
    """Share of attempts whose client disconnects before it has a response."""


class WorkSection(Section):
    """`[[work]]`: the share of one request class, and its processor time on an endpoint of speed 1."""

    product: Name
    share: PositiveAmount
    mean_ms: PositiveAmount
    spread: Annotated[float, Field(ge=0, le=3)] = 0.7


class Scenario(Section):
    """A scenario file as a whole; `seconds` is the duration of the load."""

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
    """Maximum relative difference between a request's true units and the units that the client states."""
    product: Annotated[list[RequestClassSection], Field(min_length=1)]
    plan: Annotated[list[PlanSection], Field(min_length=1)]
    work: Annotated[list[WorkSection], Field(min_length=1)]
    customers: Annotated[list[CustomersSection], Field(min_length=1)]
    load: list[LoadStepSection] = []
    trouble: list[Fault] = []

    @model_validator(mode="after")
    def check_consistency(self) -> Scenario:
        """Raises ValueError if tables contradict each other or the load exceeds MAX_REQUESTS."""
        require_unique([section.name for section in self.product], "product")
        require_unique([section.name for section in self.plan], "plan")
        require_unique(self.fleet.zones, "fleet.zones")
        _raise_errors([*self._reference_errors(), *self._fault_errors()])
        if self.max_expected_requests() > MAX_REQUESTS:
            raise ValueError(
                f"the scenario may send {self.max_expected_requests():.0f} requests, more than {MAX_REQUESTS}"
            )
        return self

    def _reference_errors(self) -> Iterator[str]:
        plans = {section.name: section for section in self.plan}
        class_names = sorted(section.name for section in self.product)
        if sorted(section.product for section in self.work) != class_names:
            yield "work: expected one entry for each product"
        for position, group in enumerate(self.customers, 1):
            if group.plan not in plans:
                yield f"customers[{position}].plan: no such plan {group.plan!r}"
            elif not plans[group.plan].units_per_s:
                yield f"customers[{position}].plan: {group.plan!r} has no units_per_s that use could apply to"
            if group.gatekeepers > self.fleet.gatekeepers:
                yield f"customers[{position}].gatekeepers: the fleet has only {self.fleet.gatekeepers}"

    def _fault_errors(self) -> Iterator[str]:
        """Yields an error for each fault that cannot take effect in this scenario."""
        class_names = [section.name for section in self.product]
        for position, fault in enumerate(self.trouble, 1):
            prefix = f"trouble[{position}] ({fault.kind})"
            if fault.at_s >= self.seconds:
                yield f"{prefix}: starts at {fault.at_s:g} s, after the scenario's end at {self.seconds:g} s"
            if fault.zone is not None and fault.zone not in self.fleet.zones:
                yield f"{prefix}: no such zone {fault.zone!r}"
            if fault.worker is not None and fault.worker >= self.fleet.workers:
                yield f"{prefix}: workers are numbered 0 to {self.fleet.workers - 1}"
            if fault.product is not None and fault.product not in class_names:
                yield f"{prefix}: no such product {fault.product!r}"
            if fault.kind in COUNTER_FAULTS and self.counter is None:
                yield f"{prefix}: the scenario has no counter"

    def mean_units(self) -> float:
        """Mean of the units that clients state, which are drawn uniformly."""
        return (1 + int(self.allowed.most_units)) / 2

    def longest_deadline_ms(self) -> float:
        """Longest deadline of any request class."""
        return max(section.expiry_ms for section in self.product)

    def max_expected_requests(self) -> float:
        """Upper estimate of the number of requests: the highest load step throughout, without surges."""
        rates = {section.name: section.units_per_s for section in self.plan}
        units_per_s = sum(
            group.number * rates[group.plan] * group.use * (1 + group.heavy * (group.heavy_x - 1))
            for group in self.customers
        )
        highest_factor = max([1.0, *(step.factor for step in self.load)])
        return units_per_s / self.mean_units() * self.seconds * highest_factor


def read_scenario(path: str) -> Scenario:
    """Reads and validates a scenario file.

    Raises:
        FileError: if the file cannot be read or is not a valid scenario.
    """
    return read_file(path, Scenario, VERSION)
