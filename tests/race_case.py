"""Peers and connections that a test controls step by step, to force a race at a given moment."""

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
TIMEOUT_S = 20  # a broken gateway fails the test instead of blocking it
ZERO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER value with which close() sends a reset


class ScriptedConnection:
    """One end of a connection, which reads and writes only when the test does."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.setblocking(False)

    async def read(self, expected: bytes) -> bytes:
        """Reads until the expected bytes have arrived; returns all bytes read, also any after them."""
        received = b""
        async with asyncio.timeout(TIMEOUT_S):
            while expected not in received:
                data = await asyncio.get_running_loop().sock_recv(self.sock, 65536)
                if not data:
                    raise EOFError(received)
                received += data
        return received

    async def read_to_end(self) -> bytes:
        """Reads until the other side closes the connection; a reset is shown as "(reset)" at the end."""
        received = b""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while data := await asyncio.get_running_loop().sock_recv(self.sock, 65536):
                    received += data
        except ConnectionError:
            received += b"(reset)"
        return received

    def write(self, data: bytes) -> None:
        """Blocks until the kernel has the data, so it arrives before the gateway's event loop runs again."""
        self.sock.setblocking(True)
        self.sock.sendall(data)
        self.sock.setblocking(False)

    def close(self, reset: bool = False) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        self.sock.close()


class ManualPeer:
    """An endpoint, counter or agent that accepts, reads and writes only when the test does."""

    def __init__(self, receive_buffer_bytes: int = 0) -> None:
        self.sock, self.connections = socket.socket(), list[ScriptedConnection]()
        if receive_buffer_bytes:  # a small buffer makes the sender block early
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.sock.setblocking(False)
        self.address = "{}:{}".format(*self.sock.getsockname())

    async def accept(self) -> ScriptedConnection:
        async with asyncio.timeout(TIMEOUT_S):
            self.connections.append(
                ScriptedConnection((await asyncio.get_running_loop().sock_accept(self.sock))[0])
            )
        return self.connections[-1]

    def close(self) -> None:
        for connection in self.connections:
            connection.sock.close()
        self.sock.close()


async def wait_until(condition: Callable[[], Any]) -> None:
    """Waits until the condition holds; raises TimeoutError after `TIMEOUT_S`."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


class RaceCase(GatewayCase):
    """Runs on uvloop, as the gateway does in production."""

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
        connection = ScriptedConnection(socket.create_connection(self.listen_address))
        self.addCleanup(connection.sock.close)
        return connection

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
    def hold_connections(self, matches: Callable[[Any], bool]) -> Iterator[asyncio.Event]:
        """Delays new endpoint connections whose request matches, until the yielded event is set."""
        connector, release = self.gateway.endpoint_clients.pool.connector, asyncio.Event()
        connect = connector.connect

        async def connect_and_hold(request: Any, *rest: Any) -> Any:
            connection = await connect(request, *rest)
            try:
                if matches(request):
                    await release.wait()
            except asyncio.CancelledError:
                connection.close()
                raise
            return connection

        with mock.patch.object(connector, "connect", connect_and_hold):
            yield release

    @contextmanager
    def shrink_send_buffers(self) -> Iterator[None]:
        """Shrinks the send buffers of endpoint connections, so that a large request stays in the gateway."""
        connector = self.gateway.endpoint_clients.pool.connector
        connect = connector.connect

        async def connect_with_small_buffer(*args: Any) -> Any:
            connection = await connect(*args)
            assert connection.transport is not None
            sock = connection.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return connection

        with mock.patch.object(connector, "connect", connect_with_small_buffer):
            yield

    def has_elapsed(self, window_ms: float) -> Callable[[], bool]:
        end = self.gateway.clock.now() + window_ms
        return lambda: self.gateway.clock.now() > end


class WatchingCase(RaceCase):
    """A gateway that watches a scripted agent, which answers no calls while `is_silent` is set."""

    async def open_watching_gateway(self, grace_ms: float) -> tuple[ManualPeer, GatewayProcess, list[str]]:
        agent, self.is_silent, targets = self.peer(), False, list[str]()
        contract = {**raw_settings()["contract"], "stopSendingWithinMs": grace_ms}
        self.generation, self.lifecycle = 1, "up"
        self.rows = [endpoint_row("s-0", "127.0.0.1:1")]
        gateway = GatewayProcess(
            load_config(raw_config(agent.address, self.rows, settings=raw_settings(contract=contract)))
        )
        self.gateway = gateway
        self.tasks = [asyncio.create_task(self.accept(agent, targets))]
        self.addCleanup(lambda: [task.cancel() for task in self.tasks])
        self.listen_address = await gateway.open()
        self.addAsyncCleanup(self.close_gateway)
        return agent, gateway, targets

    async def accept(self, agent: ManualPeer, targets: list[str]) -> None:
        while True:
            self.tasks.append(asyncio.create_task(self.serve(await agent.accept(), targets)))

    async def serve(self, connection: ScriptedConnection, targets: list[str]) -> None:
        """Serves the calls on a connection; collects their targets.

        Calls received while the agent is silent are never answered, others at once or after their long poll.
        """
        with suppress(EOFError, ConnectionError, TimeoutError):
            while True:
                target = (await connection.read(b"\r\n\r\n")).split()[1].decode()
                targets.append(target)
                if self.is_silent:
                    continue
                if f"since={self.generation}&" in target:
                    await asyncio.sleep(float(target.partition("timeout_ms=")[2]) / 1000)
                if not self.is_silent:
                    changed_rows = (
                        []
                        if f"since={self.generation}&" in target
                        else [{**self.rows[0], "lifecycle": self.lifecycle}, *self.rows[1:]]
                    )
                    connection.write(
                        http_response(
                            json.dumps(
                                {
                                    "generation": self.generation,
                                    "reset": "since=" not in target,
                                    "instances": changed_rows,
                                }
                            ).encode()
                        )
                    )


class GatewaySubprocess:
    """A gateway in a process of its own, and its log."""

    def __init__(self, process: asyncio.subprocess.Process, config_path: str) -> None:
        assert process.stderr
        self.process, self.log, self.config_path = process, process.stderr, config_path

    @staticmethod
    async def start(config: dict[str, Any], max_descriptors: int = 0) -> GatewaySubprocess:
        """Starts a gateway, without waiting until it serves; its file descriptors are limited if not 0."""

        def limit_descriptors() -> None:
            if max_descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))

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
                preexec_fn=limit_descriptors,
            ),
            file.name,
        )

    async def wait_for_log_line(self, text: bytes) -> bytes:
        """Skips log lines until one contains the text, and returns it."""
        async with asyncio.timeout(TIMEOUT_S):
            while text not in (line := await self.log.readline()):
                if not line:
                    raise EOFError("the gateway exited before it logged this line")
        return line

    async def wait_until_serving(self) -> tuple[str, int]:
        line = await self.wait_for_log_line(b" serves at ")
        os.unlink(self.config_path)
        host, _, port = line.split(b" serves at ")[1].split(b": ")[0].decode().rpartition(":")
        return host, int(port)
