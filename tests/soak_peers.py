"""The peers of a gateway in a soak run, which record what comes: endpoints with faults, a discovery agent."""

from __future__ import annotations

import asyncio
import json
import random
import re
import time
from typing import Any, NamedTuple, cast

from tests.endless_server import Endless
from tests.flood_endpoint import CONTENT_LENGTH, HEAD_END
from tests.gateway_case import endpoint_row
from tests.scripted_server import http_response

HOST = "127.0.0.1"
BACKLOG = 1024
MS = 1000.0
LOAD_RETRY_S = 0.02
"""Pause before a port that was just closed is bound again."""
REQUEST_ID = re.compile(rb"(?i)\r\nrequest-id: (\S+)")
TIME_LEFT = re.compile(rb"(?i)\r\nrequest-timeout: (\d+)m")
WATCH = re.compile(r"since=(\d+)&timeout_ms=(\d+)")
ENDLESS_ANSWERS = tuple(kind for kind in Endless if kind is not Endless.SURPLUS_ANSWERS)
"""The first of surplus answers is whole, and would be passed on."""
NOT_STARTED = http_response(status=503, Not_Started="1")


def now_ms() -> float:
    """The time in milliseconds, on a clock that is never stepped."""
    return time.monotonic() * MS


class Attempt(NamedTuple):
    """A request that an endpoint has read completely.

    Attributes:
        endpoint: The endpoint's name, which changes with its process.
        at_ms: When its last byte was read.
        told_ms: The time that the gateway told to be left.
        has_run: Whether the endpoint ran it.
    """

    endpoint: str
    at_ms: float
    told_ms: float
    has_run: bool


class SoakEndpoint:
    """An endpoint that answers after a while; sometimes it fails, hangs, resets, refuses or never ends.

    Attributes:
        name: The name of the present process.
        address: host:port; stays when the process is replaced.
        state: The lifecycle that discovery lists.
        started_at_ms: Unix time of the start of a replaced process, as discovery lists it; 0 for long ago.
        is_hanging: Whether it answers nothing.
    """

    def __init__(self, name: str, attempts: dict[str, list[Attempt]], choices: random.Random) -> None:
        self.name = name
        self.state = "up"
        self.started_at_ms = 0.0
        self.is_hanging = False
        self.address = ""
        self.connections: set[EndpointConnection] = set()
        self._attempts = attempts
        self._choices = choices
        self._port = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listens at the endpoint's address."""
        loop = asyncio.get_running_loop()
        while self._server is None:
            try:
                self._server = await loop.create_server(
                    lambda: EndpointConnection(self), HOST, self._port, backlog=BACKLOG
                )
            except OSError:
                await asyncio.sleep(LOAD_RETRY_S)
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self._port}"

    def close(self) -> None:
        """Ends the process: the listener and all connections are gone."""
        if self._server is not None:
            self._server.close()
        self._server = None
        for connection in list(self.connections):
            connection.abort()

    async def replace(self, name: str) -> None:
        """Starts another process at the address."""
        self.close()
        self.name = name
        self.state = "up"
        self.started_at_ms = time.time() * MS
        await self.open()

    def received(self, connection: EndpointConnection, head: bytes) -> None:
        """Records an attempt, and answers it as chance has it."""
        request_id = REQUEST_ID.search(head)
        time_left = TIME_LEFT.search(head)
        chance = self._choices.random()
        has_run = chance >= 0.05
        attempt = Attempt(self.name, now_ms(), float(time_left[1]) if time_left else 0.0, has_run)
        key = request_id[1].decode() if request_id else ""
        self._attempts.setdefault(key, []).append(attempt)
        response = http_response(key.encode())
        delay_s = self._choices.uniform(0.001, 0.04)
        if self.is_hanging:
            return
        if not has_run:
            connection.answer(NOT_STARTED)
        elif chance < 0.10:
            connection.answer_later(delay_s, http_response(status=500))
        elif chance < 0.13:
            connection.abort_later(delay_s)
        elif chance < 0.15:
            return  # never answers
        elif chance < 0.17:
            connection.answer_without_end(self._choices.choice(ENDLESS_ANSWERS))
        else:
            connection.answer_later(delay_s, response)


class EndpointConnection(asyncio.Protocol):
    """A connection that a gateway has opened to an endpoint."""

    def __init__(self, endpoint: SoakEndpoint) -> None:
        self._endpoint = endpoint
        self._received = b""
        self._transport: asyncio.Transport | None = None
        self._is_paused = False
        self._endless: Endless | None = None  # what it sends until the gateway closes the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._endpoint.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection."""
        self._endpoint.connections.discard(self)
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Passes on each request that is complete."""
        self._received += data
        while (head_end := self._received.find(HEAD_END)) >= 0:
            head = self._received[: head_end + len(HEAD_END)]
            length = CONTENT_LENGTH.search(head)
            request_bytes = len(head) + (int(length[1]) if length else 0)
            if len(self._received) < request_bytes:
                return
            self._received = self._received[request_bytes:]
            self._endpoint.received(self, head)

    def answer(self, response: bytes) -> None:
        """Writes a response, if the gateway has not closed the connection."""
        if self._transport is not None:
            self._transport.write(response)

    def answer_without_end(self, endless: Endless) -> None:
        """Begins an answer, and goes on with it as fast as it is read."""
        self._endless = endless
        self.answer(endless.start)
        self._go_on()

    def _go_on(self) -> None:
        """Writes the next part of an answer without end, and further ones until the buffer is full."""
        if self._endless is not None and self._transport is not None and not self._is_paused:
            self.answer(self._endless.block)
            asyncio.get_running_loop().call_soon(self._go_on)

    def pause_writing(self) -> None:
        """Notes that the buffer is full."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Goes on with an answer without end."""
        self._is_paused = False
        self._go_on()

    def answer_later(self, delay_s: float, response: bytes) -> None:
        """Writes a response after a while."""
        asyncio.get_running_loop().call_later(delay_s, self.answer, response)

    def abort(self) -> None:
        """Resets the connection."""
        if self._transport is not None:
            self._transport.abort()

    def abort_later(self, delay_s: float) -> None:
        """Resets the connection after a while."""
        asyncio.get_running_loop().call_later(delay_s, self.abort)


class SoakAgent:
    """A discovery agent at two addresses; answers with the whole list.

    Attributes:
        addresses: Where it listens; a gateway is moved from one to the other by a reload.
        drains_told_ms: When a drain was first written to a gateway, by the name of the endpoint.
    """

    def __init__(self, endpoints: list[SoakEndpoint]) -> None:
        self.addresses: list[str] = []
        self.drains_told_ms: dict[str, float] = {}
        self.generation = 1
        self._endpoints = endpoints
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._is_changed = asyncio.Event()

    async def open(self) -> None:
        """Listens at both addresses."""
        for _ in range(2):
            server = await asyncio.start_server(self._serve, HOST, 0)
            self._servers.append(server)
            self.addresses.append("{}:{}".format(*server.sockets[0].getsockname()))

    def close(self) -> None:
        """Stops listening and ends all calls."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    def publish(self) -> None:
        """Makes the endpoints' present state known."""
        self.generation += 1
        self._is_changed.set()
        self._is_changed = asyncio.Event()

    def rows(self) -> list[dict[str, Any]]:
        """The present list."""
        return [
            endpoint_row(endpoint.name, endpoint.address, endpoint.state, startedAtMs=endpoint.started_at_ms)
            for endpoint in self._endpoints
        ]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                target = (await reader.readuntil(HEAD_END)).split()[1].decode()
                await self._wait_for_change(target)
                writer.write(self._list_response())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _wait_for_change(self, target: str) -> None:
        watch = WATCH.search(target)
        if watch is None or int(watch[1]) != self.generation:
            return
        try:
            async with asyncio.timeout(int(watch[2]) / MS):
                await self._is_changed.wait()
        except TimeoutError:
            return

    def _list_response(self) -> bytes:
        rows = self.rows()
        for row in rows:
            if row["lifecycle"] == "draining":
                self.drains_told_ms.setdefault(row["instanceId"], now_ms())
        document = {"generation": self.generation, "reset": True, "instances": rows}
        return http_response(json.dumps(document).encode())
