"""Peers and connections that a test moves step by step, to force an event at a given moment."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import struct
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any
from unittest import mock

import uvloop

from drumgw.gateway.process import GatewayProcess
from tests.gateway_case import (
    GatewayCase,
    endpoint_row,
    load_config,
    raw_config,
    raw_settings,
)
from tests.scripted_server import http_response
from tests.test_simulator import REQUEST_CLASS

KEYED = "/k?account=00000000b4d65521"
LARGE = b"x" * 60000
ONE_ATTEMPT = {**raw_settings()["ceilings"], "maxAttempts": 1}
BOUND_S = 20  # only so that what is broken fails and does not hang
RESET = struct.pack("ii", 1, 0)  # close() then resets


class ScriptedConnection:
    """One end of a connection, moved by the test alone."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.setblocking(False)

    async def read(self, mark: bytes) -> bytes:
        """Until the mark has come; what else came with it is returned too."""
        came = b""
        async with asyncio.timeout(BOUND_S):
            while mark not in came:
                data = await asyncio.get_running_loop().sock_recv(self.sock, 65536)
                if not data:
                    raise EOFError(came)
                came += data
        return came

    async def read_to_end(self) -> bytes:
        """All that still comes until the other side ends or resets."""
        came = b""
        try:
            async with asyncio.timeout(BOUND_S):
                while data := await asyncio.get_running_loop().sock_recv(self.sock, 65536):
                    came += data
        except ConnectionError:
            came += b"(reset)"
        return came

    def write(self, data: bytes) -> None:
        """At once: it lies in the other side's system before the gateway's loop has another turn."""
        self.sock.setblocking(True)
        self.sock.sendall(data)
        self.sock.setblocking(False)

    def close(self, reset: bool = False) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.sock.close()


class ManualPeer:
    """An endpoint, counter or agent that accepts, reads and writes only when its test does."""

    def __init__(self, receive_buffer_bytes: int = 0) -> None:
        self.sock, self.connections = socket.socket(), list[ScriptedConnection]()
        if receive_buffer_bytes:  # of what is sent to it the system keeps so little
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.sock.setblocking(False)
        self.address = "{}:{}".format(*self.sock.getsockname())

    async def accept(self) -> ScriptedConnection:
        async with asyncio.timeout(BOUND_S):
            self.connections.append(
                ScriptedConnection((await asyncio.get_running_loop().sock_accept(self.sock))[0])
            )
        return self.connections[-1]

    def close(self) -> None:
        for line in self.connections:
            line.sock.close()
        self.sock.close()


async def wait_until(true: Callable[[], Any]) -> None:
    """Waits until the condition holds; a time-out where it never does."""
    async with asyncio.timeout(BOUND_S):
        while not true():
            await asyncio.sleep(0.001)


class RaceCase(GatewayCase):
    """On uvloop, as the gateway runs in service."""

    @classmethod
    def setUpClass(cls) -> None:
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls) -> None:
        asyncio.set_event_loop_policy(None)

    def peer(self, receive_buffer_bytes: int = 0) -> ManualPeer:
        peer = ManualPeer(receive_buffer_bytes)
        self.addCleanup(peer.close)
        return peer

    def open_client(self) -> ScriptedConnection:
        line = ScriptedConnection(socket.create_connection(self.listen_address))
        self.addCleanup(line.sock.close)
        return line

    async def open_keyed_gateway(
        self, *addresses: str, window_ms: float = 150.0, group: str = "all", **more: Any
    ) -> GatewayProcess:
        keyed = {
            **REQUEST_CLASS,
            "name": "k",
            "idempotency": "by_key",
            "keyTtlMs": window_ms,
            "group": group,
            "deadlineMs": 60000.0,
            "onTimeMs": 50000.0,
        }
        return await self.open_gateway(
            *addresses,
            settings=raw_settings(classes=[*raw_settings()["classes"], keyed], balancers=1, **more),
        )

    @contextmanager
    def hold_connections(self, when: Callable[[Any], bool]) -> Iterator[asyncio.Event]:
        """Holds connections to endpoints that come up, where told, until the event is set."""
        connector, go = self.gateway.endpoint_clients.pool.connector, asyncio.Event()
        connect = connector.connect

        async def up(card: Any, *rest: Any) -> Any:
            connection = await connect(card, *rest)
            try:
                if when(card):
                    await go.wait()
            except asyncio.CancelledError:
                connection.close()
                raise
            return connection

        with mock.patch.object(connector, "connect", up):
            yield go

    @contextmanager
    def shrink_send_buffers(self) -> Iterator[None]:
        """Of what is sent to endpoints our system keeps little, so a large request stays in the gateway."""
        connector = self.gateway.endpoint_clients.pool.connector
        connect = connector.connect

        async def up(*args: Any) -> Any:
            connection = await connect(*args)
            assert connection.transport is not None
            sock = connection.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return connection

        with mock.patch.object(connector, "connect", up):
            yield

    def has_elapsed(self, window_ms: float) -> Callable[[], bool]:
        end = self.gateway.clock.now() + window_ms
        return lambda: self.gateway.clock.now() > end


class WatchingCase(RaceCase):
    """A scripted agent, which falls silent and comes back when its test says so."""

    async def open_watching_gateway(self, grace_ms: float) -> tuple[ManualPeer, GatewayProcess, list[str]]:
        agent, self.is_silent, asked = self.peer(), False, list[str]()
        contract = {**raw_settings()["contract"], "stopSendingWithinMs": grace_ms}
        self.generation, self.lifecycle = 1, "up"
        self.rows = [endpoint_row("s-0", "127.0.0.1:1")]
        gateway = GatewayProcess(
            load_config(raw_config(agent.address, self.rows, settings=raw_settings(contract=contract)))
        )
        self.gateway = gateway
        self.tasks = [asyncio.create_task(self.accept(agent, asked))]
        self.addCleanup(lambda: [task.cancel() for task in self.tasks])
        self.listen_address = await gateway.open()
        self.addAsyncCleanup(self.close_gateway)
        return agent, gateway, asked

    async def accept(self, agent: ManualPeer, asked: list[str]) -> None:
        while True:
            self.tasks.append(asyncio.create_task(self.serve(await agent.accept(), asked)))

    async def serve(self, line: ScriptedConnection, asked: list[str]) -> None:
        """The calls that come while it is deaf are never answered; others at once or after their wait."""
        with suppress(EOFError, ConnectionError, TimeoutError):
            while True:
                target = (await line.read(b"\r\n\r\n")).split()[1].decode()
                asked.append(target)
                if self.is_silent:
                    continue
                if f"since={self.generation}&" in target:
                    await asyncio.sleep(float(target.partition("timeout_ms=")[2]) / 1000)
                if not self.is_silent:
                    news = (
                        []
                        if f"since={self.generation}&" in target
                        else [{**self.rows[0], "lifecycle": self.lifecycle}, *self.rows[1:]]
                    )
                    line.write(
                        http_response(
                            json.dumps(
                                {
                                    "generation": self.generation,
                                    "reset": "since=" not in target,
                                    "instances": news,
                                }
                            ).encode()
                        )
                    )


class GatewaySubprocess:
    """A gateway's own process, and what it says."""

    def __init__(self, run: asyncio.subprocess.Process, path: str) -> None:
        assert run.stderr
        self.run, self.log, self.path = run, run.stderr, path

    @staticmethod
    async def start(config: dict[str, Any], descriptors: int = 0) -> GatewaySubprocess:
        """Started, and not ready yet; with so many descriptors at most, which its system enforces."""

        def bound() -> None:
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(config, file)
        return GatewaySubprocess(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "drumgw",
                env={**os.environ, "GW_CONFIG": file.name},
                stderr=asyncio.subprocess.PIPE,
                preexec_fn=bound,
            ),
            file.name,
        )

    async def wait_for_log_line(self, words: bytes) -> bytes:
        """The first line from here on that holds the words."""
        async with asyncio.timeout(BOUND_S):
            while words not in (line := await self.log.readline()):
                if not line:
                    raise EOFError("it ended early")
        return line

    async def wait_until_serving(self) -> tuple[str, int]:
        line = await self.wait_for_log_line(b" serves at ")
        os.unlink(self.path)
        host, _, port = line.split(b" serves at ")[1].split(b": ")[0].decode().rpartition(":")
        return host, int(port)
