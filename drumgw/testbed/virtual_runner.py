"""Runs a scenario on the virtual clock: hundreds of gateways in one process, without waiting in real time.

Runs with the same seed produce the same event log, byte for byte.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from drumgw.gateway.discovery import MAX_POLL_INTERVAL_MS
from drumgw.gateway.process import SHUTDOWN_LINGER_MS
from drumgw.policy.engine import PolicyEngine
from drumgw.testbed.client_requests import ClientAttempt
from drumgw.testbed.clients import DRAIN_DETECTION_MS
from drumgw.testbed.clocks import VirtualClock
from drumgw.testbed.environment import Environment
from drumgw.testbed.event_log import EventLog, RunHeader
from drumgw.testbed.faults import start_run
from drumgw.testbed.logged_events import ClockKind, GatewayChanged, GatewayState
from drumgw.testbed.scenario import Scenario
from drumgw.testbed.virtual_gateway import EngineFactory, VirtualGateway
from drumgw.testbed.workload import RandomStream

START_MS = 1_700_000_000_000.0
"""Unix time at the start of each run; the value is arbitrary, but must be the same for all runs."""
GATEWAY_READY_MS = 300.0
"""Time from a gateway's start until it accepts clients."""
SHUTDOWN_CHECK_MS = 10.0
"""Interval at which a gateway that is shutting down is checked for requests in flight."""


class VirtualRunner:
    """The gateways of a run; delivers clients' attempts to them and applies faults to them."""

    gateway_class: type[VirtualGateway] = VirtualGateway
    """Tests override this with faulty gateways."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        engine_factory: EngineFactory = PolicyEngine,
        event_log: EventLog | None = None,
    ) -> None:
        header = RunHeader(scenario.name, seed, ClockKind.VIRTUAL)
        self.clock = VirtualClock(START_MS)
        self.event_log = event_log or EventLog(header)
        self.environment = Environment(scenario, seed, self.clock, self.event_log)
        self.environment.clients.sender = self
        self._fleet = scenario.fleet
        self._engine_factory = engine_factory
        self._random = self.environment.workload.random_stream(RandomStream.GATEWAYS)
        self.environment.discovery.publish_initial_list()
        self._gateways = [self._start_gateway(number) for number in range(scenario.fleet.gatekeepers)]

    def run(self) -> EventLog:
        """Runs the scenario to its end and returns the event log."""
        for gateway in self._gateways:
            gateway.watch()
        self.clock.run_until(START_MS + GATEWAY_READY_MS)
        start_run(self.environment, self)
        self.clock.run_until(self.environment.end_time_ms())
        self.environment.log_run_end()
        return self.event_log

    # Client attempts

    def send(self, attempt: ClientAttempt) -> None:
        """Delivers a client's attempt to its gateway after the network latency."""
        self._call_after(self._fleet.client_ms, partial(self._deliver, attempt))

    def cancel(self, attempt: ClientAttempt) -> None:
        """Closes the client's connection to the gateway."""
        gateway = self._gateways[attempt.gateway]
        disconnect = partial(gateway.client_disconnected, attempt)
        self._call_after(self._fleet.client_ms, partial(gateway.run_unless_paused, disconnect))

    def _deliver(self, attempt: ClientAttempt) -> None:
        gateway = self._gateways[attempt.gateway]
        if attempt.is_closed:
            return
        if gateway.is_alive:
            gateway.run_unless_paused(partial(gateway.receive, attempt))
        else:
            self._call_after(self._fleet.client_ms, partial(self.environment.clients.connect_failed, attempt))

    # Faults of gateways

    def restart(self, gateway: int) -> None:
        """Shuts a gateway down gracefully and starts it again.

        It still accepts clients while the load balancer takes it out of rotation, and completes its requests.
        """
        process = self._gateways[gateway]
        if process.is_stopping or not process.is_alive:
            return
        process.is_stopping = True
        self._log_state(gateway, GatewayState.STOPPING)
        self._call_after(DRAIN_DETECTION_MS, lambda: self.environment.clients.set_in_rotation(gateway, False))
        self._call_after(SHUTDOWN_LINGER_MS, partial(self._finish_shutdown, process))

    def kill(self, gateway: int) -> None:
        """Kills a gateway's process, and starts a new one after `restart_ms`."""
        process = self._gateways[gateway]
        if not process.is_alive:
            return
        self._log_state(gateway, GatewayState.KILLED)
        process.stop()
        self._call_after(self._fleet.front_notices_ms, partial(self._remove_dead_from_rotation, gateway))
        self._call_after(self._fleet.restart_ms, partial(self._start_replacement, gateway))

    def pause(self, gateway: int, duration_ms: float) -> None:
        """Suspends a gateway's process for a time."""
        self.event_log.add(
            GatewayChanged(self.clock.now(), gateway, GatewayState.PAUSED, duration_ms=duration_ms)
        )
        self._gateways[gateway].pause(duration_ms)

    def move_discovery(self) -> None:
        """Does nothing, as discovery has no address on the virtual clock."""

    # Start and shutdown

    def _start_gateway(self, number: int) -> VirtualGateway:
        self._log_state(number, GatewayState.STARTED)
        self.environment.discovery.gateway_started(number)
        seed = self._random.getrandbits(63)
        return self.gateway_class(self.environment, number, seed, self._engine_factory)

    def _finish_shutdown(self, gateway: VirtualGateway) -> None:
        if not gateway.is_alive:
            return
        if gateway.client_attempts:
            self._call_after(SHUTDOWN_CHECK_MS, partial(self._finish_shutdown, gateway))
            return
        gateway.execute(gateway.lifecycle.gateway_stopping(self.clock.now()))
        gateway.stop()
        self._log_state(gateway.number, GatewayState.ENDED)
        self._call_after(self._fleet.restart_ms, partial(self._start_replacement, gateway.number))

    def _start_replacement(self, number: int) -> None:
        gateway = self._start_gateway(number)
        self._gateways[number] = gateway
        gateway.watch()
        self._call_after(GATEWAY_READY_MS, partial(self._put_in_rotation, gateway))

    def _put_in_rotation(self, gateway: VirtualGateway) -> None:
        """Adds a gateway to the load balancer's rotation, once it has the endpoint list."""
        if not gateway.is_alive:
            return
        if gateway.list_generation is None:
            self._call_after(MAX_POLL_INTERVAL_MS, partial(self._put_in_rotation, gateway))
        else:
            self.environment.clients.set_in_rotation(gateway.number, True)

    def _remove_dead_from_rotation(self, number: int) -> None:
        if not self._gateways[number].is_alive:
            self.environment.clients.set_in_rotation(number, False)

    def _call_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self.clock.call_at(self.clock.now() + delay_ms, callback)

    def _log_state(self, gateway: int, state: GatewayState) -> None:
        self.event_log.add(GatewayChanged(self.clock.now(), gateway, state))
