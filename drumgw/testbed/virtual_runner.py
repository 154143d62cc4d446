"""Plays a scenario on the virtual clock: hundreds of gateways in one process, in no time of their own.

The same seed gives the same event log, byte for byte.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from drumgw.gateway.discovery import MAX_POLL_INTERVAL_MS
from drumgw.gateway.process import SHUTDOWN_LINGER_MS
from drumgw.policy.engine import PolicyEngine
from drumgw.testbed.client_requests import ClientAttempt
from drumgw.testbed.clients import DRAIN_NOTICED_MS
from drumgw.testbed.clocks import VirtualClock
from drumgw.testbed.environment import Environment
from drumgw.testbed.event_log import EventLog, RunHeader
from drumgw.testbed.faults import start_run
from drumgw.testbed.logged_events import ClockKind, GatewayChanged, GatewayState
from drumgw.testbed.scenario import Scenario
from drumgw.testbed.virtual_gateway import EngineFactory, VirtualGateway
from drumgw.testbed.workload import RandomUse

START_MS = 1_700_000_000_000.0
"""Unix time at the start; any time will do, but each run needs the same."""
GATEWAY_READY_MS = 300.0
"""From a gateway's start until it takes clients."""
SHUTDOWN_CHECK_MS = 10.0
"""How often a gateway that shuts down is looked at for requests in flight."""


class VirtualRunner:
    """All gateways of a run, and how clients' attempts and faults reach them."""

    gateway_class: type[VirtualGateway] = VirtualGateway
    """Tests put faulty gateways in its place."""

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
        self._random = self.environment.workload.random_stream(RandomUse.GATEWAYS)
        self.environment.discovery.publish_initial_list()
        self._gateways = [self._start_gateway(number) for number in range(scenario.fleet.gatekeepers)]

    def run(self) -> EventLog:
        """Plays the scenario to its end and returns the event log."""
        for gateway in self._gateways:
            gateway.watch()
        self.clock.run_until(START_MS + GATEWAY_READY_MS)
        start_run(self.environment, self)
        self.clock.run_until(self.environment.end_time_ms())
        self.environment.log_run_end()
        return self.event_log

    # The clients' attempts

    def send(self, attempt: ClientAttempt) -> None:
        """Sends a client's attempt to its gateway."""
        self._after(self._fleet.client_ms, partial(self._deliver, attempt))

    def cancel(self, attempt: ClientAttempt) -> None:
        """The client closes its connection to the gateway."""
        gateway = self._gateways[attempt.gateway]
        disconnect = partial(gateway.client_disconnected, attempt)
        self._after(self._fleet.client_ms, partial(gateway.run_unless_paused, disconnect))

    def _deliver(self, attempt: ClientAttempt) -> None:
        gateway = self._gateways[attempt.gateway]
        if attempt.is_closed:
            return
        if gateway.is_alive:
            gateway.run_unless_paused(partial(gateway.receive, attempt))
        else:
            self._after(self._fleet.client_ms, partial(self.environment.clients.connect_failed, attempt))

    # What faults do to gateways

    def restart(self, gateway: int) -> None:
        """Shuts a gateway down gracefully: it takes clients for a while, finishes its requests, and ends."""
        process = self._gateways[gateway]
        if process.is_stopping or not process.is_alive:
            return
        process.is_stopping = True
        self._log_state(gateway, GatewayState.STOPPING)
        self._after(DRAIN_NOTICED_MS, lambda: self.environment.clients.set_in_rotation(gateway, False))
        self._after(SHUTDOWN_LINGER_MS, partial(self._finish_shutdown, process))

    def kill(self, gateway: int) -> None:
        """Kills a gateway's process; it is started again later."""
        process = self._gateways[gateway]
        if not process.is_alive:
            return
        self._log_state(gateway, GatewayState.KILLED)
        process.stop()
        self._after(self._fleet.front_notices_ms, partial(self._notice_death, gateway))
        self._after(self._fleet.restart_ms, partial(self._start_again, gateway))

    def pause(self, gateway: int, duration_ms: float) -> None:
        """Stops a gateway's process for a time."""
        self.event_log.add(
            GatewayChanged(self.clock.now(), gateway, GatewayState.PAUSED, duration_ms=duration_ms)
        )
        self._gateways[gateway].pause(duration_ms)

    def move_discovery(self) -> None:
        """Does nothing: discovery has no address on the virtual clock."""

    # Starts and ends

    def _start_gateway(self, number: int) -> VirtualGateway:
        self._log_state(number, GatewayState.STARTED)
        self.environment.discovery.gateway_started(number)
        seed = self._random.getrandbits(63)
        return self.gateway_class(self.environment, number, seed, self._engine_factory)

    def _finish_shutdown(self, gateway: VirtualGateway) -> None:
        if not gateway.is_alive:
            return
        if gateway.client_attempts:
            self._after(SHUTDOWN_CHECK_MS, partial(self._finish_shutdown, gateway))
            return
        gateway.execute(gateway.lifecycle.gateway_stopping(self.clock.now()))
        gateway.stop()
        self._log_state(gateway.number, GatewayState.ENDED)
        self._after(self._fleet.restart_ms, partial(self._start_again, gateway.number))

    def _start_again(self, number: int) -> None:
        gateway = self._start_gateway(number)
        self._gateways[number] = gateway
        gateway.watch()
        self._after(GATEWAY_READY_MS, partial(self._put_in_rotation, gateway))

    def _put_in_rotation(self, gateway: VirtualGateway) -> None:
        """Clients come once the gateway has heard its discovery agent, not before."""
        if not gateway.is_alive:
            return
        if gateway.list_generation is None:
            self._after(MAX_POLL_INTERVAL_MS, partial(self._put_in_rotation, gateway))
        else:
            self.environment.clients.set_in_rotation(gateway.number, True)

    def _notice_death(self, number: int) -> None:
        if not self._gateways[number].is_alive:
            self.environment.clients.set_in_rotation(number, False)

    def _after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self.clock.call_at(self.clock.now() + delay_ms, callback)

    def _log_state(self, gateway: int, state: GatewayState) -> None:
        self.event_log.add(GatewayChanged(self.clock.now(), gateway, state))
