"""Runs a scenario on loopback, with real gateway processes and the emulated components in this process.

The scenario limits the duration of a run. However a run ends, all gateway processes are stopped.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal

from drumgw.testbed.background_tasks import BackgroundTasks
from drumgw.testbed.clocks import LoopClock
from drumgw.testbed.environment import Environment
from drumgw.testbed.event_log import EventLog, RunHeader
from drumgw.testbed.faults import start_run
from drumgw.testbed.gateway_subprocess import GatewayContext, GatewaySubprocess
from drumgw.testbed.logged_events import ClockKind, GatewayChanged, GatewayState
from drumgw.testbed.scenario import Scenario
from drumgw.testbed.socket_clients import SocketAttemptSender
from drumgw.testbed.socket_network import SocketNetwork
from drumgw.testbed.workload import RandomStream

OLD_ADDRESS_CLOSE_DELAY_MS = 1500.0
"""Time after which the old addresses of discovery and counter are closed once they have moved."""


class CannotRunError(RuntimeError):
    """The testbed could not run the scenario, so there is no result for the gateways."""


class SocketRunner:
    """One run on sockets: the gateway processes and the operations that faults apply to them."""

    def __init__(
        self, scenario: Scenario, seed: int, folder: pathlib.Path, event_log: EventLog | None = None
    ) -> None:
        header = RunHeader(scenario.name, seed, ClockKind.SOCKETS)
        self._clock = LoopClock()
        self._event_log = event_log or EventLog(header)
        self._environment = Environment(scenario, seed, self._clock, self._event_log)
        self._tasks = BackgroundTasks()
        self._network = SocketNetwork(self._environment, self._clock, self._tasks)
        self._folder = folder
        shared = GatewayContext(
            environment=self._environment,
            clock=self._clock,
            network=self._network,
            tasks=self._tasks,
            folder=folder,
            random=self._environment.workload.random_stream(RandomStream.GATEWAYS),
            initial_list=self._environment.discovery.publish_initial_list(),
        )
        self.gateways = [GatewaySubprocess(shared, number) for number in range(scenario.fleet.gatekeepers)]
        self._environment.clients.sender = SocketAttemptSender(
            self._environment.clients,
            [gateway.port for gateway in self.gateways],
            self._clock.now,
            self._tasks,
        )

    async def run(self) -> EventLog:
        """Runs the scenario to its end and returns the event log.

        Raises:
            CannotRunError: if a gateway does not become ready.
        """
        try:
            await self._open()
            start_run(self._environment, self)
            await asyncio.sleep((self._environment.end_time_ms() - self._clock.now()) / 1000.0)
            self._environment.log_run_end()
            return self._event_log
        finally:
            await self._close()

    async def _open(self) -> None:
        await self._network.open_endpoints()
        for gateway in self.gateways:
            await gateway.open_services()
        self._network.register_endpoint_hooks()
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        if not all(gateway.is_ready for gateway in self.gateways):
            raise CannotRunError(
                f"a gateway was not ready in time; its log and its configuration are in {self._folder}"
            )

    async def _close(self) -> None:
        for gateway in self.gateways:
            gateway.kill_now()
        self._tasks.cancel_all()
        for gateway in self.gateways:
            if gateway.process is not None:
                await gateway.process.wait()
        self._network.close()

    # GatewayControls, for faults

    def restart(self, gateway: int) -> None:
        """Shuts a gateway down gracefully and starts it again later."""
        self._tasks.spawn(self.gateways[gateway].restart(signal.SIGTERM))

    def kill(self, gateway: int) -> None:
        """Kills a gateway's process; it is started again later."""
        self._tasks.spawn(self.gateways[gateway].restart(signal.SIGKILL))

    def pause(self, gateway: int, duration_ms: float) -> None:
        """Suspends a gateway's process with SIGSTOP and resumes it after `duration_ms`."""
        process = self.gateways[gateway]
        now = self._clock.now()
        self._event_log.add(GatewayChanged(now, gateway, GatewayState.PAUSED, duration_ms=duration_ms))
        process.send_signal(signal.SIGSTOP)
        self._clock.call_at(now + duration_ms, lambda: process.send_signal(signal.SIGCONT))

    def move_discovery(self) -> None:
        """Moves discovery and counter to new addresses; the old ones close after a delay."""
        self._tasks.spawn(self._move_discovery())

    async def _move_discovery(self) -> None:
        old_servers = self._network.detach_services()
        for gateway in self.gateways:
            await gateway.open_services()
            gateway.write_configuration()
            if gateway.is_ready and not gateway.is_exit_expected:
                gateway.send_signal(signal.SIGHUP)
        await asyncio.sleep(OLD_ADDRESS_CLOSE_DELAY_MS / 1000.0)
        for server in old_servers:
            server.close()
