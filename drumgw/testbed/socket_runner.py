"""A day on loopback: real gatekeepers, each a process as `run` starts it, and stand-ins in one process.

Bounded in time by the day; whatever ends it, no process stays behind.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
from functools import partial
from typing import Any

from drumgw.testbed.clients import TERM_SEEN_MS, ClientAttempt
from drumgw.testbed.clocks import LoopClock
from drumgw.testbed.endpoint import EmulatedEndpoint
from drumgw.testbed.environment import Environment
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.http_wire import Asker, headers
from drumgw.testbed.scenario import Scenario
from drumgw.testbed.socket_servers import CounterLine, RegistryLine, WorkerLine

HOST = "127.0.0.1"
READY_S = 20.0  # until a gatekeeper takes clients; longer is a failed start
CLOSES_MS = 1500.0  # an address that discovery has left closes after this
KILL_MS = 700.0  # beyond the longest expiry, from SIGTERM to SIGKILL
RUN = (sys.executable, "-O", "-m", "drumgw")


class CannotRun(RuntimeError):
    """The lab could not play the day; this says nothing of the gatekeepers."""


class GatewaySubprocess:
    """A gatekeeper's process, its addresses and its log."""

    def __init__(self, lab: SocketRunner, number: int) -> None:
        self.runner, self.number = lab, number
        self.process: asyncio.subprocess.Process | None = None
        self.port = free_port()
        self.discovery = self.counter = ""
        self.expected = False  # that it ends
        self.ready = False
        self.idle: list[Asker] = []  # clients' connections that carry nothing; emptied as they close
        self.busy: dict[str, Asker] = {}  # by try; emptied as tries end

    @property
    def path(self) -> pathlib.Path:
        return self.runner.folder / f"n{self.number}.json"

    def configure(self) -> None:
        world = self.runner.environment
        known = self.runner.initial_list
        rows = [
            {**row, "hostPort": self.runner.address(self.number, row["instanceId"])}
            for row in known["instances"]
        ]
        told = {
            "name": f"n{self.number}",
            "listen": f"{HOST}:{self.port}",
            "discovery": self.discovery,
            "counter": self.counter or None,
            "seed": f"{self.runner.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {**known, "instances": rows},
            "settings": world.gateway_settings(self.number),
        }
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(told))
        fresh.replace(self.path)

    async def start(self) -> None:
        self.configure()
        self.expected = self.ready = False
        with open(self.runner.folder / f"n{self.number}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *RUN,
                env={**os.environ, "GW_CONFIG": str(self.path)},
                stderr=log,
                stdout=log,
                stdin=asyncio.subprocess.DEVNULL,
                start_new_session=True,
            )
        self.runner.event_log.add(self.runner.clock.now(), "gate", gate=self.number, state="starts")
        self.runner.environment.discovery.gateway_started(self.number)
        self.runner.spawn(self.watch(self.process))
        self.ready = await self.wait_ready(self.process)
        if self.ready:
            self.runner.environment.clients.set_in_rotation(self.number, True)
        elif not self.expected:
            self.runner.event_log.add(self.runner.clock.now(), "gate", gate=self.number, state="never ready")

    async def wait_ready(self, process: asyncio.subprocess.Process) -> bool:
        end = self.runner.clock.now() + READY_S * 1000.0
        while self.runner.clock.now() < end and process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                async with asyncio.timeout(2.0):
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    try:
                        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: lab\r\n\r\n")
                        if b" 200 " in await reader.readline():
                            return True
                    finally:
                        writer.close()
            await asyncio.sleep(0.05)
        return False

    async def watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if not self.expected:
            self.runner.event_log.add(
                self.runner.clock.now(), "gate", gate=self.number, state="crashed", code=code
            )
            self.runner.environment.clients.set_in_rotation(self.number, False)

    def send(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: int) -> None:
        """Told to end or killed; back after the fleet's time."""
        process, lab = self.process, self.runner
        if process is None or process.returncode is not None or self.expected:
            return
        self.expected = True
        killed = number is signal.SIGKILL
        lab.event_log.add(
            lab.clock.now(), "gate", gate=self.number, state="killed" if killed else "told to end"
        )
        self.send(number)
        notices = lab.scenario.fleet.front_notices_ms if killed else TERM_SEEN_MS
        lab.clock.call_at(lab.clock.now() + notices, partial(self.notice, process))
        try:
            async with asyncio.timeout((lab.longest_deadline_ms + KILL_MS + 500.0) / 1000.0):
                await process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await process.wait()
        if not killed:
            lab.event_log.add(
                lab.clock.now(), "gate", gate=self.number, state="ended", code=process.returncode
            )
        await asyncio.sleep(lab.scenario.fleet.restart_ms / 1000.0)
        await self.start()

    def notice(self, process: asyncio.subprocess.Process) -> None:
        if self.process is process and (not self.ready or self.expected):
            self.runner.environment.clients.set_in_rotation(self.number, False)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class SocketRunner:
    def __init__(
        self, day: Scenario, seed: int, folder: pathlib.Path, record: EventLog | None = None
    ) -> None:
        self.scenario, self.folder = day, folder
        self.clock = LoopClock()
        self.loop = self.clock.loop
        self.event_log = record or EventLog({"day": day.name, "seed": seed, "clock": "sockets"})
        self.environment = Environment(day, seed, self.clock, self.event_log)
        self.environment.gateways = self.environment.clients.sender = self
        self.random = self.environment.workload.random_stream("gatekeepers")
        self.longest_deadline_ms = max(p.expiry_ms for p in day.product)
        self.ports: dict[tuple[int, str], int] = {}  # where a gatekeeper reaches a worker
        self.listening: dict[str, list[asyncio.Server]] = {}  # of a worker, while it is up
        self.servers: list[asyncio.Server] = []
        self.endpoint_connections: set[WorkerLine] = set()  # open ones; emptied as they close
        self.tasks: set[asyncio.Task[Any]] = set()  # emptied as they end
        self.initial_list: dict[str, Any] = {}
        self.gateways = [GatewaySubprocess(self, n) for n in range(day.fleet.gatekeepers)]

    def spawn(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> EventLog:
        try:
            await self.open()
            self.environment.start()
            await asyncio.sleep((self.environment.end_time_ms() - self.clock.now()) / 1000.0)
            self.environment.finish()
            return self.event_log
        finally:
            await self.close()

    async def open(self) -> None:
        self.initial_list = self.environment.discovery.publish_initial_list()
        for worker in self.environment.endpoints.values():
            await self.listen(worker)
        for gateway in self.gateways:
            await self.settle(gateway)
        for worker in self.environment.endpoints.values():
            self.mind(worker)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        if not all(gateway.ready for gateway in self.gateways):
            raise CannotRun(
                f"a gatekeeper was not ready in time; its log and its configuration are in {self.folder}"
            )

    async def settle(self, gateway: GatewaySubprocess) -> None:
        """Addresses of discovery and counter, its own."""
        made: list[tuple[str, Any]] = [("discovery", RegistryLine)]
        if self.environment.counter is not None:
            made.append(("counter", CounterLine))
        for name, line in made:
            server = await self.loop.create_server(partial(line, self, gateway.number), HOST, 0)
            self.servers.append(server)
            setattr(gateway, name, "{}:{}".format(*server.sockets[0].getsockname()))

    async def listen(self, worker: EmulatedEndpoint) -> None:
        """At the addresses it had, if it had any."""
        made = []
        for gate in range(self.scenario.fleet.gatekeepers):
            server = await self.loop.create_server(
                partial(WorkerLine, self, worker, gate),
                HOST,
                self.ports.get((gate, worker.name), 0),
                backlog=1024,
                reuse_address=True,
            )
            self.ports[gate, worker.name] = server.sockets[0].getsockname()[1]
            made.append(server)
        self.listening[worker.name] = made

    def mind(self, worker: EmulatedEndpoint) -> None:
        """Its machine refuses connections while its process is down."""

        def goes_down() -> None:
            for server in self.listening.pop(worker.name, []):
                server.close()
            for line in [x for x in self.endpoint_connections if x.worker is worker]:
                line.abort()

        worker.on_down = goes_down
        worker.on_up = lambda: self.spawn(self.listen(worker))

    def address(self, gate: int, name: str) -> str:
        """Of a worker, for a gatekeeper; a new worker listens before anyone is told of it."""
        if (gate, name) not in self.ports:
            worker = self.environment.endpoints[name]
            for other in range(self.scenario.fleet.gatekeepers):
                taken = socket.socket()
                taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                taken.bind((HOST, 0))
                taken.listen(1024)
                taken.setblocking(False)
                self.ports[other, name] = taken.getsockname()[1]
                self.spawn(self.adopt(worker, other, taken))
            self.mind(worker)
        return f"{HOST}:{self.ports[gate, name]}"

    async def adopt(self, worker: EmulatedEndpoint, gate: int, listening: socket.socket) -> None:
        server = await self.loop.create_server(partial(WorkerLine, self, worker, gate), sock=listening)
        self.listening.setdefault(worker.name, []).append(server)

    async def close(self) -> None:
        for gateway in self.gateways:
            gateway.expected = True
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.send(signal.SIGCONT)
                gateway.send(signal.SIGKILL)
        for task in list(self.tasks):
            task.cancel()
        for gateway in self.gateways:
            if gateway.process is not None:
                await gateway.process.wait()
        for server in [*self.servers, *(s for made in self.listening.values() for s in made)]:
            server.close()

    # The clients' port

    def send(self, one: ClientAttempt, again: bool = False) -> None:
        gateway = self.gateways[one.gateway]
        while gateway.idle and not again:
            asker = gateway.idle.pop()
            if asker.open:
                self.ask(gateway, one, asker, fresh=False)
                return
        self.spawn(self.connect(gateway, one))

    async def connect(self, gateway: GatewaySubprocess, one: ClientAttempt) -> None:
        try:
            _, asker = await self.loop.create_connection(lambda: Asker(self.clock.now), HOST, gateway.port)
        except OSError:
            self.environment.clients.connect_failed(one)
            return
        if one.is_closed:
            asker.leave()
            return
        self.ask(gateway, one, asker, fresh=True)

    def ask(self, gateway: GatewaySubprocess, one: ClientAttempt, asker: Asker, fresh: bool) -> None:
        gateway.busy[one.attempt_id] = asker

        def heard(head: bytes, body: bytes) -> None:
            gateway.busy.pop(one.attempt_id, None)
            told, status = headers(head), int(head.split(b" ", 2)[1])
            if told.get("connection", "").lower() == "close":
                asker.leave()
            else:
                gateway.idle.append(asker)
            wait = float(told.get("retry-after", 0.0)) * 1000.0
            self.environment.clients.response_received(
                one, status, body.decode("latin-1")[:32] if status == 200 else "", wait
            )

        def lost(began: bool) -> None:
            gateway.busy.pop(one.attempt_id, None)
            if fresh or began:
                self.environment.clients.connection_closed(one)
            elif not one.is_closed:
                self.send(one, again=True)  # the close crossed it: once more, on a new connection

        asker.ask(request(one), heard, lost)

    def cancel(self, one: ClientAttempt) -> None:
        asker = self.gateways[one.gateway].busy.pop(one.attempt_id, None)
        if asker is not None:
            asker.leave()

    # What troubles reach

    def restart(self, number: int) -> None:
        self.spawn(self.gateways[number].end(signal.SIGTERM))

    def kill(self, number: int) -> None:
        self.spawn(self.gateways[number].end(signal.SIGKILL))

    def pause(self, number: int, for_ms: float) -> None:
        gateway = self.gateways[number]
        self.event_log.add(self.clock.now(), "gate", gate=number, state="paused", ms=for_ms)
        gateway.send(signal.SIGSTOP)
        self.clock.call_at(self.clock.now() + for_ms, lambda: gateway.send(signal.SIGCONT))

    def move_discovery(self) -> None:
        """Discovery and counter have new addresses; the old ones close after a while."""
        old, self.servers = self.servers, []

        async def move() -> None:
            for gateway in self.gateways:
                await self.settle(gateway)
                gateway.configure()
                if gateway.ready and not gateway.expected:
                    gateway.send(signal.SIGHUP)
            await asyncio.sleep(CLOSES_MS / 1000.0)
            for server in old:
                server.close()

        self.spawn(move())


def request(one: ClientAttempt) -> bytes:
    a = one.request.arrival
    method = "GET" if a.request_class.repeat == "inquiry-like" else "POST"
    lines = [
        f"{method} /{a.request_class.name}?account={a.customer.number:016x} HTTP/1.1",
        "Host: lab",
        f"Request-Id: {one.attempt_id}",
        f"Plan: {a.customer.plan.name}",
        f"Request-Timeout: {one.time_left_ms:.0f}m",
        f"Quota-Info: units={a.units},spread={len(a.customer.gateways)},first={a.customer.gateways[0]}",
    ]
    if method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()
