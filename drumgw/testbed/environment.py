"""The emulated components of one run: endpoints, discovery, shared counter, clients and the network."""

from __future__ import annotations

from typing import Any

from drumgw.config.platform_settings import GatewayPlacement, platform_settings
from drumgw.testbed.clients import ClientPopulation
from drumgw.testbed.clocks import TestbedClock
from drumgw.testbed.counter import EmulatedCounter
from drumgw.testbed.deduplication import DeduplicationStore
from drumgw.testbed.discovery import EmulatedDiscovery
from drumgw.testbed.endpoint import EmulatedEndpoint, EndpointIdentity
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.logged_events import CounterSummary, RunEnded
from drumgw.testbed.scenario import Scenario
from drumgw.testbed.workload import RandomStream, Workload

ENDPOINTS_PER_CELL = 4
RUN_END_MARGIN_MS = 1000.0
"""How long a run continues after the last deadline."""


class Environment:
    """All components of a run except the gateways themselves."""

    def __init__(self, scenario: Scenario, seed: int, clock: TestbedClock, event_log: EventLog) -> None:
        self.scenario = scenario
        self.clock = clock
        self.event_log = event_log
        self.workload = Workload(scenario, seed)
        self.clients = ClientPopulation(scenario, self.workload, clock, event_log)
        self.counter = EmulatedCounter(scenario.counter, clock) if scenario.counter else None
        self.discovery = EmulatedDiscovery(
            scenario.discovery,
            scenario.fleet.gatekeepers,
            clock,
            event_log,
            self.workload.random_stream(RandomStream.DISCOVERY),
        )
        self.endpoints: dict[str, EmulatedEndpoint] = {}
        """All endpoints of the run by name, including those that were replaced."""
        self.isolated_zones: set[str] = set()
        """Zones whose network connection to all other zones is down."""
        self._deduplication = DeduplicationStore(clock)
        self._last_delivery_number = 0
        self._current_names: list[str] = []
        """By endpoint number: name of the endpoint that currently has the number."""
        for number in range(scenario.fleet.workers):
            self._current_names.append(self._add_endpoint(number, None, 0).name)

    # Endpoints

    def current_endpoints(self) -> list[EmulatedEndpoint]:
        """The endpoints of the fleet in the order of their numbers, without those that were replaced."""
        return [self.endpoints[name] for name in self._current_names]

    def is_current(self, endpoint: EmulatedEndpoint) -> bool:
        """Whether the endpoint still has its number, so has not been replaced."""
        return endpoint.name in self._current_names

    def replace_endpoint(self, endpoint: EmulatedEndpoint) -> None:
        """Adds a cold endpoint with a new name, which takes over the number of the given one."""
        replacement_count = int(endpoint.name.partition(".")[2] or 0) + 1
        replacement = self._add_endpoint(endpoint.number, self.clock.now(), replacement_count)
        self._current_names[endpoint.number] = replacement.name

    def _add_endpoint(
        self, number: int, started_at_ms: float | None, replacement_count: int
    ) -> EmulatedEndpoint:
        zones = self.scenario.fleet.zones
        name = f"w{number}.{replacement_count}" if replacement_count else f"w{number}"
        identity = EndpointIdentity(
            name=name,
            number=number,
            zone=zones[number % len(zones)],
            cell=number % len(zones) + len(zones) * (number // ENDPOINTS_PER_CELL),
        )
        endpoint = EmulatedEndpoint(
            identity,
            started_at_ms,
            self.scenario.worker,
            self.scenario.rules,
            self.clock,
            self.event_log,
            self._deduplication,
            self.workload.random_stream(RandomStream.ENDPOINT, name),
        )
        self.endpoints[name] = endpoint
        self.discovery.put(name, identity.zone, identity.cell, started_at_ms)
        return endpoint

    def next_delivery_number(self) -> int:
        """Returns a run-wide unique number for an attempt that is sent to an endpoint."""
        self._last_delivery_number += 1
        return self._last_delivery_number

    # The network

    def zone_of_gateway(self, gateway: int) -> str:
        """The zone of a gateway; gateways are assigned to zones in turn."""
        zones = self.scenario.fleet.zones
        return zones[gateway % len(zones)]

    def one_way_ms(self, gateway: int, endpoint: EmulatedEndpoint) -> float:
        """One-way network latency between a gateway and an endpoint."""
        fleet = self.scenario.fleet
        is_same_zone = self.zone_of_gateway(gateway) == endpoint.zone
        return fleet.same_zone_ms if is_same_zone else fleet.cross_zone_ms

    def is_partitioned(self, gateway: int, zone: str) -> bool:
        """Whether a network partition separates a gateway from a zone."""
        own_zone = self.zone_of_gateway(gateway)
        if own_zone == zone:
            return False
        return own_zone in self.isolated_zones or zone in self.isolated_zones

    # The run

    def gateway_settings(self, gateway: int) -> dict[str, Any]:
        """A gateway's start-up settings in the form that the platform supplies."""
        scenario = self.scenario
        placement = GatewayPlacement(
            zone=self.zone_of_gateway(gateway),
            zones=scenario.fleet.zones,
            gateway_count=scenario.fleet.gatekeepers,
            ordinal=gateway,
            has_counter=self.counter is not None,
        )
        return platform_settings(scenario.product, scenario.plan, scenario.rules, scenario.allowed, placement)

    def end_time_ms(self) -> float:
        """End time of the run, by which every client has received a response or given up."""
        scenario = self.scenario
        load_ms = scenario.seconds * 1000.0
        return self.clients.start_ms + load_ms + scenario.longest_deadline_ms() + RUN_END_MARGIN_MS

    def log_run_end(self) -> None:
        """Logs the final events; a log without them is incomplete."""
        now = self.clock.now()
        if self.counter is not None:
            self.event_log.add(CounterSummary(now, self.counter.call_count))
        self.event_log.add(RunEnded(now, self.clients.sent_count, self.clients.sent_late_count))
