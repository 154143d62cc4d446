"""The load of a scenario: customers and their requests, generated from the seed.

The load is open-loop: arrival times do not depend on responses, so a slow gateway does not reduce the load.
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
GATEWAY_WEIGHT_RANGE = (0.3, 1.0)
"""Range of the random weights by which a customer's requests are distributed over its gateways."""
MAX_CUSTOMER_NUMBER = 2**33


class RandomStream(StrEnum):
    """Independent random streams of a run. The values are parts of the seeds and must not change."""

    CUSTOMER = "customer"
    ARRIVALS = "arrivals"
    CLIENTS = "clients"
    ENDPOINT = "worker"
    DISCOVERY = "registry"
    FAULTS = "troubles"
    GATEWAYS = "gatekeepers"


class Customer(NamedTuple):
    """A customer with its plan, its gateways and its request rate."""

    number: int
    plan: PlanSection
    gateways: tuple[int, ...]
    """Numbers of the gateways that receive its requests; consecutive, modulo the fleet size."""
    weights: tuple[float, ...]
    """Relative share of its requests that each of these gateways receives."""
    requests_per_s: float


class Arrival(NamedTuple):
    """A request of the load; its retries are not arrivals."""

    at_ms: float
    """Time since the start of the load."""
    number: int
    customer: Customer
    request_class: RequestClassSection
    units: int
    """Cost as estimated and stated by the client."""
    true_units: int
    """Cost that the endpoint bills."""
    work_ms: float
    """Processor time on an endpoint of speed 1."""


class _ArrivalTime(NamedTuple):
    """Time and customer of an arrival; the rest is drawn from `random` later."""

    at_s: float
    customer_number: int
    customer: Customer
    random: random.Random


class Workload:
    """Generates the customers of a scenario and their arrivals."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._seed = seed
        self._request_classes = {section.name: section for section in scenario.product}
        self._plans = {section.name: section for section in scenario.plan}
        self.customers = [
            customer for group in scenario.customers for customer in self._draw_customers(group)
        ]

    def random_stream(self, stream: RandomStream, *names: object) -> random.Random:
        """Returns an independent random stream: draws from one do not affect the others."""
        return random.Random("/".join(map(str, (self._seed, stream, *names))))

    def arrivals(self) -> Iterator[Arrival]:
        """Yields all arrivals in chronological order, generated lazily to save memory."""
        peak_factor = self._peak_factor()
        streams = [self._arrival_times(customer, peak_factor) for customer in self.customers]
        merged = heapq.merge(*streams, key=lambda time: (time.at_s, time.customer_number))
        for number, time in enumerate(merged):
            yield self._draw_arrival(time, number)

    def _draw_customers(self, group: CustomersSection) -> Iterator[Customer]:
        plan = self._plans[group.plan]
        fleet_size = self._scenario.fleet.gatekeepers
        for index in range(group.number):
            stream = self.random_stream(RandomStream.CUSTOMER, group.plan, index)
            number = stream.randrange(MAX_CUSTOMER_NUMBER)
            first_gateway = stream.randrange(fleet_size)
            gateways = tuple((first_gateway + offset) % fleet_size for offset in range(group.gatekeepers))
            is_heavy = stream.random() < group.heavy
            quota_share = group.use * (group.heavy_x if is_heavy else 1.0)
            yield Customer(
                number=number,
                plan=plan,
                gateways=gateways,
                weights=tuple(stream.uniform(*GATEWAY_WEIGHT_RANGE) for _ in gateways),
                requests_per_s=plan.units_per_s * quota_share / self._scenario.mean_units(),
            )

    def _load_factor(self, at_s: float) -> float:
        """Factor on the customers' request rates at a time: that of the load step, times any load surges."""
        factor = 1.0
        for step in self._scenario.load:
            if step.at_s <= at_s:
                factor = step.factor
        for fault in self._scenario.trouble:
            if fault.kind is FaultKind.LOAD_SURGE and fault.at_s <= at_s < fault.at_s + fault.for_s:
                factor *= fault.size or 0.0
        return factor

    def _peak_factor(self) -> float:
        """Largest load factor of the scenario; it changes only where a step or a surge starts or ends."""
        change_times = [0.0, *(step.at_s for step in self._scenario.load)]
        for fault in self._scenario.trouble:
            if fault.kind is FaultKind.LOAD_SURGE:
                change_times += [fault.at_s, fault.at_s + fault.for_s]
        return max(self._load_factor(at_s) for at_s in change_times)

    def _arrival_times(self, customer: Customer, peak_factor: float) -> Iterator[_ArrivalTime]:
        """Draws a Poisson process at the peak rate and thins it to the rate at each time."""
        stream = self.random_stream(RandomStream.ARRIVALS, customer.number)
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
        sections = self._scenario.work
        work = stream.choices(sections, [section.share for section in sections])[0]
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
