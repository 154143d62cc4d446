"""What a day asks, drawn ahead from its seed: customers, and arrivals that wait for no answer."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from typing import NamedTuple

from drumgw.config.sections import PlanSection, RequestClassSection
from drumgw.testbed.scenario import CustomersSection, Scenario


class Customer(NamedTuple):
    number: int
    plan: PlanSection
    gateways: tuple[int, ...]  # its set, in a row
    weights: tuple[float, ...]  # how its txns are dealt among them
    requests_per_s: float


class Arrival(NamedTuple):
    at_ms: float  # from the day's start
    number: int
    customer: Customer
    request_class: RequestClassSection
    units: int
    true_units: int
    work_ms: float


class Workload:
    def __init__(self, day: Scenario, seed: int) -> None:
        self.scenario, self.seed = day, seed
        self.request_classes = {p.name: p for p in day.product}
        self.plans = {p.name: p for p in day.plan}
        self.customers = [c for group in day.customers for c in self.group(group)]

    def random_stream(self, *what: object) -> random.Random:
        """A stream of its own for each use, so that one more draw in one changes no other."""
        return random.Random("/".join(map(str, (self.seed, *what))))

    def group(self, group: CustomersSection) -> Iterator[Customer]:
        plan, gatekeepers = self.plans[group.plan], self.scenario.fleet.gatekeepers
        for k in range(group.number):
            chance = self.random_stream("customer", group.plan, k)
            number, first = chance.randrange(2**33), chance.randrange(gatekeepers)
            gates = tuple((first + i) % gatekeepers for i in range(group.gatekeepers))
            use = group.use * (group.heavy_x if chance.random() < group.heavy else 1.0)
            yield Customer(
                number,
                plan,
                gates,
                tuple(chance.uniform(0.3, 1.0) for _ in gates),
                plan.units_per_s * use / self.scenario.mean_units(),
            )

    def factor(self, at_s: float) -> float:
        """How much more is asked at this moment than the customers' own rates say."""
        now = 1.0
        for step in self.scenario.load:
            if step.at_s <= at_s:
                now = step.factor
        for t in self.scenario.trouble:
            if t.kind == "rush" and t.at_s <= at_s < t.at_s + t.for_s:
                now *= t.size or 0.0
        return now

    def most(self) -> float:
        """No moment asks more than this many times the customers' own rates."""
        edges = [0.0, *(s.at_s for s in self.scenario.load)]
        for t in self.scenario.trouble:
            if t.kind == "rush":
                edges += [t.at_s, t.at_s + t.for_s]
        return max(self.factor(edge) for edge in edges)

    def arrivals(self) -> Iterator[Arrival]:
        """In the order of their times; never all at once in memory."""
        most = self.most()
        streams = [self.of(c, most) for c in self.customers]
        for order, (at_s, _, c, chance) in enumerate(heapq.merge(*streams, key=lambda x: x[:2])):
            yield self.fill(at_s, order, c, chance)

    def of(self, c: Customer, most: float) -> Iterator[tuple[float, int, Customer, random.Random]]:
        chance, at_s, rate = self.random_stream("arrivals", c.number), 0.0, c.requests_per_s * most
        while rate > 0 and (at_s := at_s + chance.expovariate(rate)) < self.scenario.seconds:
            if chance.random() * most < self.factor(at_s):
                yield at_s, c.number, c, chance

    def fill(self, at_s: float, order: int, c: Customer, chance: random.Random) -> Arrival:
        work = chance.choices(self.scenario.work, [w.share for w in self.scenario.work])[0]
        units = chance.randint(1, int(self.scenario.allowed.most_units))
        true = max(
            1, round(units * chance.uniform(1 - self.scenario.units_spread, 1 + self.scenario.units_spread))
        )
        cost = work.mean_ms
        if work.spread:
            cost = chance.gammavariate(work.spread**-2, work.mean_ms * work.spread**2)
        return Arrival(
            at_s * 1000.0, order, c, self.request_classes[work.product], units, true, max(0.1, cost)
        )
