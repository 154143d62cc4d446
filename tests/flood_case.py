"""Runs a gateway process under floods, and measures its memory and what other clients notice of them."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

from tests.flood_clients import Flood
from tests.gateway_case import endpoint_row, http_request, list_response, raw_config
from tests.race_case import GatewaySubprocess, RaceCase
from tests.scripted_server import read_message

KB = 1024
SAMPLE_S = 0.02
USUAL_PAUSE_S = 0.1
USUAL_TIMEOUT_MS = 2500
USUAL_TARGET = "/a?account=0000000012345678"
MAX_DESCRIPTORS = 1024

_request_numbers = itertools.count()


class FloodResult(NamedTuple):
    """What was seen during a flood.

    Attributes:
        most_mb: The most resident memory of the gateway.
        slowest_ms: The longest time that a usual request took.
        statuses: The statuses of the usual requests; 0 for one without a response.
    """

    most_mb: float
    slowest_ms: float
    statuses: list[int]


def resident_mb(process_id: int, field: str = "VmRSS") -> float:
    """Returns the resident memory of a process, of its files too unless `field` is RssAnon."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(f"{field}:")) / KB


class UsualClient:
    """A client that sends one request after the other, and keeps its connection.

    Attributes:
        durations_ms: How long each request took.
        statuses: The status of each response; 0 if there was none.
    """

    def __init__(self, host: str, port: int) -> None:
        self.durations_ms: list[float] = []
        self.statuses: list[int] = []
        self._address = host, port
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        while True:
            await self._send(f"usual-{next(_request_numbers)}")
            await asyncio.sleep(USUAL_PAUSE_S)

    async def _send(self, request_id: str) -> None:
        """Sends a request, and once more on a new connection if a kept one was closed meanwhile."""
        began_s = time.monotonic()
        request = http_request(USUAL_TARGET, Request_Id=request_id, Request_Timeout=f"{USUAL_TIMEOUT_MS}m")
        status = 0
        for _ in range(2):
            is_new = self._connection is None
            try:
                async with asyncio.timeout(2 * USUAL_TIMEOUT_MS / 1000):
                    status = await self._exchange(request)
                break
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self._close()
                if is_new:
                    break
        self.durations_ms.append((time.monotonic() - began_s) * 1000)
        self.statuses.append(status)

    async def _exchange(self, request: bytes) -> int:
        if self._connection is None:
            self._connection = await asyncio.open_connection(*self._address)
        reader, writer = self._connection
        writer.write(request)
        head, _ = await read_message(reader)
        if b"Connection: close" in head:
            self._close()
        return int(head.split()[1])

    def _close(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
        self._connection = None


class FloodCase(RaceCase):
    """A gateway process with one endpoint, and clients that send at full speed."""

    async def start_endpoint(self, response_bytes: int) -> str:
        """Starts an endpoint with responses of this size; returns its address."""
        endpoint = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tests.flood_endpoint", str(response_bytes)),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(_kill, endpoint)
        assert endpoint.stdout is not None
        return (await endpoint.stdout.readline()).decode().strip()

    async def start_gateway(self, memory_mb: float, response_bytes: int = 2) -> tuple[str, int]:
        """Starts `self.process`, a gateway with this memory limit; returns its host and port."""
        rows = [endpoint_row("s", await self.start_endpoint(response_bytes))]
        agent = await self.start_server(
            lambda head, body: None if b"since=" in head else list_response(*rows)
        )
        limits = {"sockets": MAX_DESCRIPTORS, "memory_mb": memory_mb}
        gateway = await GatewaySubprocess.start(raw_config(agent.address, rows, limits=limits))
        self.process = gateway.process
        self.addAsyncCleanup(_kill, gateway.process)
        host, port = await gateway.wait_until_serving()
        self.log = asyncio.create_task(gateway.log.read())  # else its log would fill the pipe
        self.addCleanup(self.log.cancel)
        return host, port

    async def flood(
        self, address: tuple[str, int], flood: Flood, clients: int, seconds: float, field: str = "VmRSS"
    ) -> FloodResult:
        """Floods the gateway, beside a usual client."""
        host, port = address
        flooding = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tests.flood_clients"),
            *(host, str(port), flood.name, str(clients), str(seconds)),
            stdout=asyncio.subprocess.DEVNULL,
        )
        ending = asyncio.create_task(flooding.wait())
        usual = UsualClient(host, port)
        sending = asyncio.create_task(usual.run())
        most_mb = 0.0
        while not ending.done():
            most_mb = max(most_mb, resident_mb(self.process.pid, field))
            await asyncio.sleep(SAMPLE_S)
        sending.cancel()
        return FloodResult(most_mb, max(usual.durations_ms, default=0.0), usual.statuses)

    async def stop_gateway(self) -> Any:
        """Ends the gateway with SIGTERM; returns its exit code."""
        self.process.terminate()
        return await self.process.wait()


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        os.kill(process.pid, signal.SIGKILL)
        await process.wait()
