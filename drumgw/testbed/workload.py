"""What clients ask in a scenario, drawn ahead from its seed.

Arrivals come at their times whatever was answered before (open-loop load): a slow gateway does not slow the
load down.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from drumgw.config.sections import PlanSection, RequestClassSection
from drumgw.testbed.scenario import CustomersSection, FaultKind, Scenario, WorkSection

MIN_WORK_MS = 0.1
GATEWAY_WEIGHT_BETWEEN = (0.3, 1.0)
"""A customer's requests are dealt among its gateways by weights between these."""
MAX_CUSTOMER_NUMBER = 2**33


class RandomUse(StrEnum):
    """What random numbers are drawn for; the values are parts of the seeds and cannot change."""

    CUSTOMER = "customer"
    ARRIVALS = "arrivals"
    CLIENTS = "clients"
    ENDPOINT = "worker"
    DISCOVERY = "registry"
    FAULTS = "troubles"
    GATEWAYS = "gatekeepers"


class Customer(NamedTuple):
    """One customer, its plan and how its requests come in."""

    number: int
    plan: PlanSection
    gateways: tuple[int, ...]
    """The gateways that its requests come in through; consecutive numbers."""
    weights: tuple[float, ...]
    """How its requests are dealt among them."""
    requests_per_s: float


class Arrival(NamedTuple):
    """A request that a client wants answered."""

    at_ms: float
    """Since the load began."""
    number: int
    customer: Customer
    request_class: RequestClassSection
    units: int
    """Estimated cost, as the client states it."""
    true_units: int
    work_ms: float
    """Processor time that it costs an endpoint of speed 1."""


class _ArrivalTime(NamedTuple):
    """An arrival of one customer, before its content is drawn."""

    at_s: float
    customer_number: int
    customer: Customer
    random: random.Random


class Workload:
    """The customers of a scenario and their arrivals."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._seed = seed
        self._request_classes = {section.name: section for section in scenario.product}
        self._plans = {section.name: section for section in scenario.plan}
        self.customers = [customer for group in scenario.customers for customer in self._draw_group(group)]

    def random_stream(self, use: RandomUse, *names: object) -> random.Random:
        """A random source for one use: one more draw from it changes no other."""
        return random.Random("/".join(map(str, (self._seed, use, *names))))

    def arrivals(self) -> Iterator[Arrival]:
        """All arrivals in the order of their times; never all in memory at once."""
        peak_factor = self._peak_factor()
        streams = [self._arrival_times(customer, peak_factor) for customer in self.customers]
        merged = heapq.merge(*streams, key=lambda time: (time.at_s, time.customer_number))
        for number, time in enumerate(merged):
            yield self._draw_arrival(time, number)

    def _draw_group(self, group: CustomersSection) -> Iterator[Customer]:
        plan = self._plans[group.plan]
        fleet_size = self._scenario.fleet.gatekeepers
        for index in range(group.number):
            stream = self.random_stream(RandomUse.CUSTOMER, group.plan, index)
            number = stream.randrange(MAX_CUSTOMER_NUMBER)
            first_gateway = stream.randrange(fleet_size)
            gateways = tuple((first_gateway + offset) % fleet_size for offset in range(group.gatekeepers))
            is_heavy = stream.random() < group.heavy
            quota_share = group.use * (group.heavy_x if is_heavy else 1.0)
            yield Customer(
                number=number,
                plan=plan,
                gateways=gateways,
                weights=tuple(stream.uniform(*GATEWAY_WEIGHT_BETWEEN) for _ in gateways),
                requests_per_s=plan.units_per_s * quota_share / self._scenario.mean_units(),
            )

    def _load_factor(self, at_s: float) -> float:
        """How much more is asked at this moment than the customers' own rates say."""
        factor = 1.0
        for step in self._scenario.load:
            if step.at_s <= at_s:
                factor = step.factor
        for fault in self._scenario.trouble:
            if fault.kind is FaultKind.LOAD_SURGE and fault.at_s <= at_s < fault.at_s + fault.for_s:
                factor *= fault.size or 0.0
        return factor

    def _peak_factor(self) -> float:
        """The largest load factor of the scenario."""
        change_times = [0.0, *(step.at_s for step in self._scenario.load)]
        for fault in self._scenario.trouble:
            if fault.kind is FaultKind.LOAD_SURGE:
                change_times += [fault.at_s, fault.at_s + fault.for_s]
        return max(self._load_factor(at_s) for at_s in change_times)

    def _arrival_times(self, customer: Customer, peak_factor: float) -> Iterator[_ArrivalTime]:
        """A Poisson process at the peak rate, thinned to the rate of each moment."""
        stream = self.random_stream(RandomUse.ARRIVALS, customer.number)
        peak_rate = customer.requests_per_s * peak_factor
        if peak_rate <= 0:
            return
        at_s = stream.expovariate(peak_rate)
        while at_s < self._scenario.seconds:
            if stream.random() * peak_factor < self._load_factor(at_s):
                yield _ArrivalTime(at_s, customer.number, customer, stream)
            at_s += stream.expovariate(peak_rate)

    def _draw_arrival(self, time: _ArrivalTime, number: int) -> Arrival:
        stream = time.random
        kinds = self._scenario.work
        work = stream.choices(kinds, [kind.share for kind in kinds])[0]
        units = stream.randint(1, int(self._scenario.allowed.most_units))
        spread = self._scenario.units_spread
        true_units = max(1, round(units * stream.uniform(1 - spread, 1 + spread)))
        return Arrival(
            at_ms=time.at_s * 1000.0,
            number=number,
            customer=time.customer,
            request_class=self._request_classes[work.product],
            units=units,
            true_units=true_units,
            work_ms=max(MIN_WORK_MS, _draw_work_ms(work, stream)),
        )


def _draw_work_ms(work: WorkSection, stream: random.Random) -> float:
    if not work.spread:
        return work.mean_ms
    return stream.gammavariate(work.spread**-2, work.mean_ms * work.spread**2)
