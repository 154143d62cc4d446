"""A gateway process in a soak run: reloaded, ended by SIGTERM, killed at the earliest time, and restarted."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any

from tests.flood_case import resident_mb
from tests.gateway_case import raw_config, raw_settings
from tests.soak_peers import HOST, MS
from tests.test_simulator import REQUEST_CLASS

MAX_COUNTED_DEADLINE_MS = 3000.0
KILL_AFTER_DEADLINE_MS = 700.0
READY_WITHIN_S = 10.0
ERROR_SIGNS = (b"internal error", b"Traceback", b"invariant violations: {")


def settings_with_deadline(deadline_ms: float) -> dict[str, Any]:
    """Returns settings whose classes have this deadline."""
    times = {"deadlineMs": deadline_ms, "onTimeMs": deadline_ms / 2}
    repeatable = {**REQUEST_CLASS, **times}
    once = {**REQUEST_CLASS, **times, "name": "b", "idempotency": "once", "gain": 3.0}
    return raw_settings(classes=[repeatable, once])


class SoakGateway:
    """A gateway process that is started again whenever it has ended.

    Attributes:
        port: Where clients connect.
        most_mb: The most resident memory seen.
        problems: What a gateway must not do: unexpected ends, exit codes, errors in its log.
        is_ending: Whether it has received SIGTERM and is not ready again.
        kill_count: How often it was still running at the earliest kill.
    """

    def __init__(
        self, discovery: str, rows: list[dict[str, Any]], deadline_ms: float, memory_mb: float
    ) -> None:
        self.port = _free_port()
        self.most_mb = 0.0
        self.problems: list[str] = []
        self.is_ending = False
        self.kill_count = 0
        self._deadline_ms = deadline_ms
        self._config = raw_config(
            discovery,
            rows,
            listen=f"{HOST}:{self.port}",
            settings=settings_with_deadline(deadline_ms),
            limits={"sockets": 1024, "memory_mb": memory_mb},
        )
        self._folder = tempfile.TemporaryDirectory()
        self._path = Path(self._folder.name) / "gateway.json"
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._is_serving = asyncio.Event()

    async def start(self) -> None:
        """Starts the process and waits until it serves."""
        self.write_config()
        self._is_serving.clear()
        self._process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-O", "-m", "drumgw"),
            env={**os.environ, "GW_CONFIG": str(self._path)},
            stderr=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read_log(self._process))
        try:
            async with asyncio.timeout(READY_WITHIN_S):
                await self._is_serving.wait()
        except TimeoutError:
            self.problems.append("not ready within 10 s")
        self.is_ending = False

    def write_config(self, discovery: str = "") -> None:
        """Writes the configuration, with another address of discovery if it is given."""
        if discovery:
            self._config["discovery"] = discovery
        self._path.write_text(json.dumps(self._config))

    def spoil_config(self) -> None:
        """Makes the file invalid: a reload must keep the present configuration."""
        self._path.write_text("{")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Sends SIGTERM, and SIGKILL at the earliest time at which the platform may."""
        process = self._process
        assert process is not None
        self.is_ending = True
        self.signal(signal.SIGTERM)
        kill_after_ms = min(self._deadline_ms, MAX_COUNTED_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS
        try:
            async with asyncio.timeout(kill_after_ms / MS):
                code = await process.wait()
            if code:
                self.problems.append(f"exit code {code} after SIGTERM")
        except TimeoutError:
            self.kill_count += 1
            self.signal(signal.SIGKILL)
            await process.wait()
        if self._reading is not None:
            await self._reading

    def check_alive(self) -> None:
        """Notes the memory, and an end that nobody asked for."""
        process = self._process
        if process is None or self.is_ending:
            return
        if process.returncode is not None:
            self.problems.append(f"ended by itself: {process.returncode}")
            self.is_ending = True
            return
        self.most_mb = max(self.most_mb, resident_mb(process.pid))

    def close(self) -> None:
        """Removes the configuration."""
        self._folder.cleanup()

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            if b" serves at " in line:
                self._is_serving.set()
            if any(sign in line for sign in ERROR_SIGNS):
                self.problems.append(line.decode(errors="replace").strip())


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port
