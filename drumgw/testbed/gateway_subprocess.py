"""A real gateway process, started as in production, with its configuration file and log file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys
from dataclasses import dataclass
from functools import partial

from drumgw.testbed.background_tasks import BackgroundTasks
from drumgw.testbed.clients import DRAIN_DETECTION_MS
from drumgw.testbed.clocks import TestbedClock
from drumgw.testbed.discovery import ListUpdate
from drumgw.testbed.environment import Environment
from drumgw.testbed.logged_events import GatewayChanged, GatewayState
from drumgw.testbed.socket_network import HOST, SocketNetwork, free_port
from drumgw.testbed.socket_servers import add_addresses

GATEWAY_COMMAND = (sys.executable, "-O", "-m", "drumgw")
READY_TIMEOUT_MS = 20_000.0
"""Time limit for a gateway to report itself ready; after it, the start has failed."""
READY_CHECK_TIMEOUT_S = 2.0
READY_CHECK_INTERVAL_S = 0.05
SHUTDOWN_MARGIN_MS = 1200.0
"""Time from SIGTERM to SIGKILL, in addition to the longest request deadline."""
PROCESS_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


@dataclass
class GatewayContext:
    """Objects and settings that all gateways of a run share."""

    environment: Environment
    clock: TestbedClock
    network: SocketNetwork
    tasks: BackgroundTasks
    folder: pathlib.Path
    """Directory of the configuration and log files."""
    random: random.Random
    """Random source for the gateways' seeds."""
    initial_list: ListUpdate
    """Endpoint list in the configuration, known to gateways before their first update from discovery."""


class GatewaySubprocess:
    """One gateway of the fleet, across restarts of its process."""

    def __init__(self, shared: GatewayContext, number: int) -> None:
        self.number = number
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.is_ready = False
        self.is_exit_expected = False
        """True once the testbed has decided to end the process; an exit before that is logged as a crash."""
        self._shared = shared
        self._environment = shared.environment
        self._clock = shared.clock
        self._discovery_address = ""
        self._counter_address = ""

    async def open_services(self) -> None:
        """Opens new discovery and counter addresses; the next configuration written contains them."""
        network = self._shared.network
        self._discovery_address = await network.serve_discovery(self.number)
        self._counter_address = await network.serve_counter(self.number)

    def write_configuration(self) -> None:
        """Writes the file that the process reads at its start and on SIGHUP; replaces it atomically."""
        shared = self._shared
        initial_list = shared.initial_list
        rows = add_addresses(initial_list["instances"], self.number, shared.network.endpoint_address)
        configuration = {
            "name": f"n{self.number}",
            "listen": f"{HOST}:{self.port}",
            "discovery": self._discovery_address,
            "counter": self._counter_address or None,
            "seed": f"{shared.random.getrandbits(64):016x}",
            "limits": PROCESS_LIMITS,
            "known": {**initial_list, "instances": rows},
            "settings": self._environment.gateway_settings(self.number),
        }
        new_path = self._configuration_path.with_suffix(".new")
        new_path.write_text(json.dumps(configuration))
        new_path.replace(self._configuration_path)

    async def start(self) -> None:
        """Starts a process and waits until it is ready for clients, has exited, or the time limit passes."""
        self.write_configuration()
        self.is_exit_expected = False
        self.is_ready = False
        process = await self._create_process()
        self.process = process
        self._log_state(GatewayState.STARTED)
        self._environment.discovery.gateway_started(self.number)
        self._shared.tasks.spawn(self._handle_unexpected_exit(process))
        self.is_ready = await self._wait_ready(process)
        if self.is_ready:
            self._environment.clients.set_in_rotation(self.number, True)
        elif not self.is_exit_expected:
            self._log_state(GatewayState.NEVER_READY)

    def send_signal(self, signal_number: int) -> None:
        """Sends a signal if a process is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def restart(self, signal_number: int) -> None:
        """Ends the process by SIGTERM or SIGKILL and starts another after the fleet's `restart_ms`."""
        process = self.process
        if process is None or process.returncode is not None or self.is_exit_expected:
            return
        self.is_exit_expected = True
        is_killed = signal_number == signal.SIGKILL
        fleet = self._environment.scenario.fleet
        self._log_state(GatewayState.KILLED if is_killed else GatewayState.STOPPING)
        self.send_signal(signal_number)
        detection_ms = fleet.front_notices_ms if is_killed else DRAIN_DETECTION_MS
        self._clock.call_at(self._clock.now() + detection_ms, partial(self._leave_rotation, process))
        await self._wait_exit(process)
        if not is_killed:
            self._log_state(GatewayState.ENDED, process.returncode)
        await asyncio.sleep(fleet.restart_ms / 1000.0)
        await self.start()

    def kill_now(self) -> None:
        """Kills the process, even if it is paused; no other one is started."""
        self.is_exit_expected = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)

    @property
    def _configuration_path(self) -> pathlib.Path:
        return self._shared.folder / f"n{self.number}.json"

    async def _create_process(self) -> asyncio.subprocess.Process:
        with open(self._shared.folder / f"n{self.number}.log", "ab") as log:
            return await asyncio.create_subprocess_exec(
                *GATEWAY_COMMAND,
                env={**os.environ, "GW_CONFIG": str(self._configuration_path)},
                stderr=log,
                stdout=log,
                stdin=asyncio.subprocess.DEVNULL,
                start_new_session=True,
            )

    async def _wait_ready(self, process: asyncio.subprocess.Process) -> bool:
        end_ms = self._clock.now() + READY_TIMEOUT_MS
        while self._clock.now() < end_ms and process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                if await self._is_reported_ready():
                    return True
            await asyncio.sleep(READY_CHECK_INTERVAL_S)
        return False

    async def _is_reported_ready(self) -> bool:
        async with asyncio.timeout(READY_CHECK_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(HOST, self.port)
            try:
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: lab\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.close()

    async def _handle_unexpected_exit(self, process: asyncio.subprocess.Process) -> None:
        exit_code = await process.wait()
        if not self.is_exit_expected:
            self._log_state(GatewayState.CRASHED, exit_code)
            self._environment.clients.set_in_rotation(self.number, False)

    async def _wait_exit(self, process: asyncio.subprocess.Process) -> None:
        """Waits for the process to exit and kills it if it does not exit in time."""
        timeout_ms = self._environment.scenario.longest_deadline_ms() + SHUTDOWN_MARGIN_MS
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                await process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await process.wait()

    def _leave_rotation(self, process: asyncio.subprocess.Process) -> None:
        """Takes the gateway out of the load balancer's rotation, unless `process` has been replaced."""
        if self.process is process and (not self.is_ready or self.is_exit_expected):
            self._environment.clients.set_in_rotation(self.number, False)

    def _log_state(self, state: GatewayState, exit_code: int | None = None) -> None:
        self._environment.event_log.add(
            GatewayChanged(self._clock.now(), self.number, state, exit_code=exit_code)
        )
