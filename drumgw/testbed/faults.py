"""The faults of a run: how each kind is injected and reverted.

`FAULTS` has a function for each kind. It injects the fault and returns a function that reverts it, or None
for a fault that is not reverted.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

from drumgw.testbed.counter import EmulatedCounter
from drumgw.testbed.endpoint import EmulatedEndpoint
from drumgw.testbed.environment import Environment
from drumgw.testbed.logged_events import (
    EndpointChanged,
    EndpointState,
    FaultEnded,
    FaultStarted,
    Lifecycle,
    RunStarted,
)
from drumgw.testbed.scenario import Fault, FaultKind
from drumgw.testbed.workload import RandomStream

REPLACED_DRAIN_MS = 3000.0
"""How long a replaced endpoint keeps draining after all gateways should have been informed."""

Undo = Callable[[], None]


class GatewayControls(Protocol):
    """Operations on gateways that faults use."""

    def restart(self, gateway: int) -> None:
        """Shuts a gateway down gracefully and starts it again later."""

    def kill(self, gateway: int) -> None:
        """Kills a gateway's process; it is started again later."""

    def pause(self, gateway: int, duration_ms: float) -> None:
        """Suspends a gateway's process for a time, without notifying it."""

    def move_discovery(self) -> None:
        """Moves discovery and counter to new addresses."""


class FaultContext:
    """The components that faults act on, and the random selection of their targets."""

    def __init__(self, environment: Environment, gateways: GatewayControls) -> None:
        self.environment = environment
        self.gateways = gateways
        self._random: random.Random = environment.workload.random_stream(RandomStream.FAULTS)

    def target_endpoints(self, fault: Fault) -> list[EmulatedEndpoint]:
        """The endpoints that a fault affects, chosen from those that have not been replaced."""
        current = self.environment.current_endpoints()
        if fault.worker is not None:
            return [current[fault.worker]]
        if fault.zone is not None:
            return [endpoint for endpoint in current if endpoint.zone == fault.zone]
        count = _share_of(fault, len(current))
        return sorted(self._random.sample(current, count), key=lambda endpoint: endpoint.number)

    def target_gateways(self, fault: Fault) -> list[int]:
        """The gateways that a fault affects, chosen at random."""
        fleet_size = self.environment.scenario.fleet.gatekeepers
        return sorted(self._random.sample(range(fleet_size), _share_of(fault, fleet_size)))

    @property
    def counter(self) -> EmulatedCounter:
        """The shared counter; scenario validation ensures that it exists if there are counter faults."""
        counter = self.environment.counter
        assert counter is not None
        return counter


def start_run(environment: Environment, gateways: GatewayControls) -> None:
    """Starts the clients' load and schedules the scenario's faults, relative to now."""
    now = environment.clock.now()
    context = FaultContext(environment, gateways)
    environment.event_log.add(RunStarted(now))
    for number, fault in enumerate(environment.scenario.trouble):
        environment.clock.call_at(now + fault.at_s * 1000.0, partial(_inject, context, fault, number))
    environment.clients.start()


def _inject(context: FaultContext, fault: Fault, number: int) -> None:
    environment = context.environment
    undo = FAULTS[fault.kind](context, fault)
    now = environment.clock.now()
    environment.event_log.add(
        FaultStarted(
            now,
            number=number,
            kind=fault.kind,
            size=fault.size,
            part=fault.part,
            zone=fault.zone,
            endpoint=fault.worker,
            request_class=fault.product,
        )
    )

    def end() -> None:
        if undo is not None:
            undo()
        environment.event_log.add(FaultEnded(environment.clock.now(), number, fault.kind))

    if fault.for_s:
        environment.clock.call_at(now + fault.duration_ms, end)


def _share_of(fault: Fault, count: int) -> int:
    """Number of targets that the fault's `part` of `count` amounts to; at least one."""
    return max(1, round((fault.part or 0.0) * count))


def _override(targets: Sequence[object], **values: object) -> Undo:
    """Sets attributes on each target and returns a function that restores their previous values."""
    previous = [{name: getattr(target, name) for name in values} for target in targets]

    def set_attributes(target: object, attributes: dict[str, object]) -> None:
        for name, value in attributes.items():
            setattr(target, name, value)

    def undo() -> None:
        for target, attributes in zip(targets, previous, strict=True):
            set_attributes(target, attributes)

    for target in targets:
        set_attributes(target, values)
    return undo


# Endpoints


def _override_endpoints(context: FaultContext, fault: Fault, **values: object) -> Undo:
    return _override([endpoint.faults for endpoint in context.target_endpoints(fault)], **values)


def _slow_endpoints(context: FaultContext, fault: Fault) -> Undo:
    return _override_endpoints(context, fault, slowdown=fault.size)


def _failing_endpoints(context: FaultContext, fault: Fault) -> Undo:
    targets = context.target_endpoints(fault)
    for endpoint in targets:
        endpoint.faults.failing_classes.add(fault.product)

    def undo() -> None:
        for endpoint in targets:
            endpoint.faults.failing_classes.discard(fault.product)

    return undo


def _silent_endpoints(context: FaultContext, fault: Fault) -> Undo:
    return _override_endpoints(context, fault, is_silent=True)


def _reset_connections(context: FaultContext, fault: Fault) -> Undo:
    return _override_endpoints(context, fault, reset_share=fault.size)


def _lost_responses(context: FaultContext, fault: Fault) -> Undo:
    return _override_endpoints(context, fault, lost_share=fault.size)


def _delayed_responses(context: FaultContext, fault: Fault) -> Undo:
    return _override_endpoints(context, fault, delay_ms=fault.size)


def _corrupt_responses(context: FaultContext, fault: Fault) -> Undo:
    return _override_endpoints(context, fault, corrupt_share=fault.size)


def _limit_connections(context: FaultContext, fault: Fault) -> Undo:
    return _override_endpoints(context, fault, max_connections=int(fault.size or 0))


def _crash_endpoints(context: FaultContext, fault: Fault) -> Undo:
    targets = context.target_endpoints(fault)
    return _take_down(context, [endpoint for endpoint in targets if endpoint.is_up])


def _take_down_zone(context: FaultContext, fault: Fault) -> Undo:
    endpoints = context.environment.endpoints.values()
    return _take_down(
        context, [endpoint for endpoint in endpoints if endpoint.zone == fault.zone and endpoint.is_up]
    )


def _take_down(context: FaultContext, targets: list[EmulatedEndpoint]) -> Undo:
    """Stops processes; they leave the endpoint list after a delay and are listed again once restarted."""
    environment = context.environment
    removal_ms = environment.clock.now() + environment.scenario.worker.dead_noticed_ms
    for endpoint in targets:
        endpoint.go_down(None)
        environment.clock.call_at(removal_ms, partial(_unlist_if_down, environment, endpoint))

    def undo() -> None:
        for endpoint in targets:
            if environment.is_current(endpoint):
                endpoint.start_cold()
                _publish_as_up(environment, endpoint)

    return undo


def _unlist_if_down(environment: Environment, endpoint: EmulatedEndpoint) -> None:
    if not endpoint.is_up:
        environment.discovery.set_lifecycle(endpoint.name, Lifecycle.REMOVED)


def _publish_as_up(environment: Environment, endpoint: EmulatedEndpoint) -> None:
    environment.discovery.put(endpoint.name, endpoint.zone, endpoint.cell, endpoint.started_at_ms)


def _replace_endpoints(context: FaultContext, fault: Fault) -> None:
    """Drains each endpoint and adds a cold one with a new name, which takes over its number."""
    environment = context.environment
    discovery = environment.scenario.discovery
    drain_ms = discovery.delay_ms + discovery.spread_ms + REPLACED_DRAIN_MS
    for endpoint in context.target_endpoints(fault):
        _begin_drain(environment, endpoint)
        environment.clock.call_at(
            environment.clock.now() + drain_ms, partial(_stop_drained, environment, endpoint)
        )
        environment.replace_endpoint(endpoint)


def _begin_drain(environment: Environment, endpoint: EmulatedEndpoint) -> None:
    endpoint.is_draining = True
    environment.event_log.add(EndpointChanged(environment.clock.now(), endpoint.name, EndpointState.DRAINING))
    environment.discovery.set_lifecycle(endpoint.name, Lifecycle.DRAINING)


def _stop_drained(environment: Environment, endpoint: EmulatedEndpoint) -> None:
    if endpoint.is_draining:
        endpoint.go_down(None)
        environment.discovery.set_lifecycle(endpoint.name, Lifecycle.REMOVED)


def _drain_endpoints(context: FaultContext, fault: Fault) -> Undo:
    environment = context.environment
    targets = context.target_endpoints(fault)
    for endpoint in targets:
        _begin_drain(environment, endpoint)

    def undo() -> None:
        for endpoint in targets:
            if environment.is_current(endpoint) and endpoint.is_up:
                endpoint.is_draining = False
                _publish_as_up(environment, endpoint)

    return undo


def _partition_zone(context: FaultContext, fault: Fault) -> Undo:
    """Cuts all network traffic between the fault's zone and the others."""
    assert fault.zone is not None
    isolated = context.environment.isolated_zones
    isolated.add(fault.zone)
    return partial(isolated.discard, fault.zone)


# Counter and discovery


def _slow_counter(context: FaultContext, fault: Fault) -> Undo:
    return _override([context.counter], slowdown=fault.size)


def _silent_counter(context: FaultContext, _fault: Fault) -> Undo:
    return _override([context.counter], is_silent=True)


def _rejecting_counter(context: FaultContext, _fault: Fault) -> Undo:
    return _override([context.counter], rejects_calls=True)


def _empty_counter(context: FaultContext, _fault: Fault) -> None:
    context.counter.clear()


def _stale_counter(context: FaultContext, fault: Fault) -> None:
    context.counter.scale_totals(fault.size or 0.0)


def _split_counter(context: FaultContext, _fault: Fault) -> Undo:
    context.counter.split()
    return context.counter.heal


def _delayed_discovery(context: FaultContext, fault: Fault) -> Undo:
    return _override([context.environment.discovery], extra_delay_ms=fault.size)


def _silent_discovery(context: FaultContext, _fault: Fault) -> Undo:
    return _override([context.environment.discovery], is_silent=True)


def _move_discovery(context: FaultContext, _fault: Fault) -> None:
    context.gateways.move_discovery()


# Gateways and clients


def _restart_gateways(context: FaultContext, fault: Fault) -> None:
    for gateway in context.target_gateways(fault):
        context.gateways.restart(gateway)


def _kill_gateways(context: FaultContext, fault: Fault) -> None:
    for gateway in context.target_gateways(fault):
        context.gateways.kill(gateway)


def _pause_gateways(context: FaultContext, fault: Fault) -> None:
    for gateway in context.target_gateways(fault):
        context.gateways.pause(gateway, fault.duration_ms)


def _surge_load(_context: FaultContext, _fault: Fault) -> None:
    """Does nothing when the fault starts: the workload already generates the additional arrivals."""


def _leaving_clients(context: FaultContext, fault: Fault) -> Undo:
    return _override([context.environment.clients], leave_share=fault.size)


FAULTS: dict[FaultKind, Callable[[FaultContext, Fault], Undo | None]] = {
    FaultKind.ENDPOINT_SLOW: _slow_endpoints,
    FaultKind.ENDPOINT_FAILING: _failing_endpoints,
    FaultKind.ENDPOINT_SILENT: _silent_endpoints,
    FaultKind.CONNECTION_RESETS: _reset_connections,
    FaultKind.RESPONSES_LOST: _lost_responses,
    FaultKind.RESPONSES_DELAYED: _delayed_responses,
    FaultKind.RESPONSES_CORRUPT: _corrupt_responses,
    FaultKind.CONNECTION_LIMIT: _limit_connections,
    FaultKind.ENDPOINT_CRASH: _crash_endpoints,
    FaultKind.ENDPOINT_REPLACED: _replace_endpoints,
    FaultKind.ENDPOINT_DRAIN: _drain_endpoints,
    FaultKind.ZONE_DOWN: _take_down_zone,
    FaultKind.ZONE_PARTITIONED: _partition_zone,
    FaultKind.COUNTER_SLOW: _slow_counter,
    FaultKind.COUNTER_SILENT: _silent_counter,
    FaultKind.COUNTER_REJECTS: _rejecting_counter,
    FaultKind.COUNTER_EMPTY: _empty_counter,
    FaultKind.COUNTER_STALE: _stale_counter,
    FaultKind.COUNTER_SPLIT: _split_counter,
    FaultKind.DISCOVERY_DELAYED: _delayed_discovery,
    FaultKind.DISCOVERY_SILENT: _silent_discovery,
    FaultKind.DISCOVERY_MOVED: _move_discovery,
    FaultKind.GATEWAY_RESTART: _restart_gateways,
    FaultKind.GATEWAY_KILL: _kill_gateways,
    FaultKind.GATEWAY_PAUSE: _pause_gateways,
    FaultKind.LOAD_SURGE: _surge_load,
    FaultKind.CLIENTS_LEAVE: _leaving_clients,
}
