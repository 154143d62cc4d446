"""What if a request, an answer or a signal comes between two lines? Each crossing is forced: the peers are
scripted byte by byte on real sockets, and whoever has to wait is held until told. See docs/crossings.md.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import struct
import sys
import tempfile
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any
from unittest import mock

import uvloop

from drumgw.gateway.client_connections import ClientConnection, ConnectionState
from drumgw.gateway.process import GatewayProcess
from drumgw.gateway.responses import CompleteResponse
from tests.scripted_server import StandIn, http
from tests.test_gateway import POSTED, GateCase, gateway_config, instance, request, settings, told
from tests.test_simulator import REQUEST_CLASS

KEYED = "/k?account=00000000b4d65521"
LARGE = b"x" * 60000
ONE_ATTEMPT = {**settings()["ceilings"], "maxAttempts": 1}
BOUND_S = 20  # only so that what is broken fails and does not hang
RESET = struct.pack("ii", 1, 0)  # close() then resets


class Line:
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

    async def rest(self) -> bytes:
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


class Peer:
    """A worker, counter or agent that accepts, reads and writes only when its test does."""

    def __init__(self, room: int = 0) -> None:
        self.sock, self.lines = socket.socket(), list[Line]()
        if room:  # of what is sent to it the system keeps so little
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.sock.setblocking(False)
        self.address = "{}:{}".format(*self.sock.getsockname())

    async def accept(self) -> Line:
        async with asyncio.timeout(BOUND_S):
            self.lines.append(Line((await asyncio.get_running_loop().sock_accept(self.sock))[0]))
        return self.lines[-1]

    def close(self) -> None:
        for line in self.lines:
            line.sock.close()
        self.sock.close()


async def until(true: Callable[[], Any]) -> None:
    async with asyncio.timeout(BOUND_S):
        while not true():
            await asyncio.sleep(0.001)


class CrossingCase(GateCase):
    """On uvloop, as the gateway runs in service."""

    @classmethod
    def setUpClass(cls) -> None:
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls) -> None:
        asyncio.set_event_loop_policy(None)

    def peer(self, room: int = 0) -> Peer:
        peer = Peer(room)
        self.addCleanup(peer.close)
        return peer

    def client(self) -> Line:
        line = Line(socket.create_connection(self.place))
        self.addCleanup(line.sock.close)
        return line

    async def begin_keyed(
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
        return await self.begin(
            *addresses, settings=settings(classes=[*settings()["classes"], keyed], balancers=1, **more)
        )

    @contextmanager
    def held(self, when: Callable[[Any], bool]) -> Iterator[asyncio.Event]:
        """Holds connections to workers that come up, where told, until the event is set."""
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
    def narrow(self) -> Iterator[None]:
        """Of what is sent to workers our system keeps little, so a large request stays in the gateway."""
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

    def past(self, window_ms: float) -> Callable[[], bool]:
        end = self.gateway.clock.now() + window_ms
        return lambda: self.gateway.clock.now() > end


class Window(CrossingCase):
    """A repeat of a keyed request: its last byte leaves within the window of the first, or never."""

    async def failing_first(self, other: str, **more: Any) -> StandIn:
        """A worker that fails what it gets; the other gets the repeat, whoever is asked first."""
        bad = await self.stand_in(http(status=500))
        await self.begin_keyed(bad.address, other, **more)
        number = next(n for n, w in self.gateway.endpoint_clients.clients.items() if w.address == bad.address)
        policy = self.gateway.dispatcher.lifecycle.policy
        policy.back_end.endpoints.preferred.sort(key=lambda w: w.endpoint_id != number)  # type: ignore[attr-defined]
        selector = policy.selector  # type: ignore[attr-defined]
        select = selector.select

        def first(request: Any) -> Any:
            return select(request) if request.tried_endpoints else selector.endpoints.by_id[number]

        patch = mock.patch.object(selector, "select", first)
        patch.start()
        self.addCleanup(patch.stop)
        return bad

    async def test_a_connection_that_comes_up_after_the_window_carries_no_repeat(self) -> None:
        other = await self.stand_in(http(b"ok"))
        bad = await self.failing_first(other.address)
        with self.held(lambda card: str(card.url.port) in other.address) as go:
            asked = asyncio.create_task(self.ask(KEYED, "POST", b"{}"))
            await until(lambda: other.lines)
            await until(self.past(150.0))
            go.set()
            status, _, _ = await asked
        self.assertEqual((status, len(bad.came), other.came), (500, 1, []))

    async def test_within_the_window_it_carries_it(self) -> None:
        """The other side of the same: a late connection alone stops nothing."""
        other = await self.stand_in(http(b"ok"))
        bad = await self.failing_first(other.address, window_ms=60000.0)
        with self.held(lambda card: str(card.url.port) in other.address) as go:
            asked = asyncio.create_task(self.ask(KEYED, "POST", b"{}"))
            await until(lambda: other.lines)
            go.set()
            self.assertEqual((await asked)[:2], (200, b"ok"))
        self.assertEqual((len(bad.came), len(other.came)), (1, 1))

    async def test_a_worker_that_reads_slowly_gets_no_last_byte_after_the_window(self) -> None:
        peer = self.peer(room=4096)
        await self.failing_first(peer.address)
        with self.narrow():
            asked = asyncio.create_task(self.ask(KEYED, "POST", LARGE))
            line = await peer.accept()
            status, _, _ = await asked
        self.assertEqual(status, 500)
        self.assertLess((await line.rest()).count(b"x"), len(LARGE))

    async def test_it_is_declined_only_where_coming_again_is_within_the_window(self) -> None:
        """A decline says that coming again is harmless: to workers that forgot the first it is not."""
        for window_ms, most_s in ((60000.0, 0.5), (300.0, 0.15)):  # to come back after: half of what is left
            bad = await self.stand_in(http(status=500))
            await self.begin_keyed(bad.address, window_ms=window_ms)
            status, _, head = await self.ask(KEYED, "POST", b"{}")
            self.assertEqual(status, 503)
            self.assertLessEqual(float(head.partition(b"Retry-After: ")[2].split()[0]), most_s)
            await self.end()
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        slow = await self.stand_in(lambda head, body: answer)
        await self.begin_keyed(slow.address, window_ms=50.0)
        asked = asyncio.create_task(self.ask(KEYED, "POST", b"{}"))
        await until(lambda: slow.came)
        await until(self.past(50.0))
        answer.set_result(http(status=500))
        self.assertEqual((await asked)[0], 500)  # they have forgotten it


class Halves(CrossingCase):
    """How much of a request has left decides whether it may have run."""

    async def test_a_reset_under_the_first_half_says_that_it_never_ran(self) -> None:
        """Guards once-only requests, which may go to another worker then; they were failed."""
        peer = self.peer(room=4096)
        await self.begin(peer.address, settings=settings(ceilings=ONE_ATTEMPT))
        with self.narrow():
            asked = asyncio.create_task(self.ask(POSTED, "POST", LARGE))
            line = await peer.accept()
            await until(
                lambda: any(
                    wire.transport is not None and wire.transport.get_write_buffer_size()
                    for wire in self.gateway.endpoint_clients.pool.connections
                )
            )
            line.close(reset=True)
            status, _, _ = await asked
        self.assertEqual(status, 503)  # harmless to repeat, as it never ran

    async def test_a_reset_behind_the_last_byte_says_that_it_may_have_run(self) -> None:
        peer = self.peer()
        await self.begin(peer.address)
        asked = asyncio.create_task(self.ask(POSTED, "POST", b"{}"))
        line = await peer.accept()
        await line.read(b"{}")
        line.close(reset=True)
        self.assertEqual((await asked)[0], 500)

    async def test_a_connection_that_resets_before_the_first_byte(self) -> None:
        """The system refuses the bytes: nothing has left, so a once-only request is not failed."""
        peer = self.peer()
        await self.begin(peer.address, settings=settings(ceilings=ONE_ATTEMPT))
        lines: list[Line] = []

        def reset() -> None:
            lines.pop().close(reset=True)

        with self.held(lambda card: True) as go:
            asked = asyncio.create_task(self.ask(POSTED, "POST", b"{}"))
            lines.append(await peer.accept())
            with mock.patch.object(self.gateway.endpoint_clients.pool, "before_write", reset):
                go.set()
                self.assertEqual((await asked)[0], 503)

    async def test_an_answer_without_a_length_ends_by_its_peer_alone(self) -> None:
        """Half of it and a reset, a stall, or a close of ours is no answer; the peer's own end is one."""
        half = b"HTTP/1.1 200 OK\r\n\r\nhalf of it"
        for how, status in (("end", 200), ("reset", 500), ("stall", 500), ("ours", 500)):
            peer = self.peer()
            await self.begin(peer.address)
            asked = asyncio.create_task(self.ask(POSTED, "POST", b"{}"))
            line = await peer.accept()
            await line.read(b"{}")
            line.write(half)
            if how == "ours":
                await until(
                    lambda: any(
                        wire.framer.message for wire in self.gateway.endpoint_clients.pool.connections
                    )
                )
                for wire in list(self.gateway.endpoint_clients.pool.connections):
                    wire.close()
            elif how != "stall":
                line.close(reset=how == "reset")
            self.assertEqual((await asked)[0], status, how)
            await self.end()


class SecondAnswers(CrossingCase):
    async def test_a_second_answer_some_milliseconds_late_is_not_the_next_ones(self) -> None:
        """Guards the next txn: it came between the look at the kept connection and its own answer, so it was
        served what no worker made for it."""
        peer = self.peer()
        await self.begin(peer.address)
        first, second = self.client(), self.client()
        first.write(request())
        line = await peer.accept()
        await line.read(b"\r\n\r\n")
        line.write(http(b"one"))
        await first.read(b"one")
        second.write(request(Request_Id="9b20"))  # at once: the first connection rests
        other = await peer.accept()
        await other.read(b"Request-Id: 9b20")
        line.write(http(b"one"))  # it comes late, and to nobody
        self.assertEqual(await line.rest(), b"")  # its connection ends
        other.write(http(b"two"))
        self.assertIn(b"two", await second.read(b"two"))

    async def test_after_its_rest_a_connection_is_used_again(self) -> None:
        worker = await self.stand_in(http(b"ok"))
        await self.begin(worker.address)
        for n in range(3):
            self.assertEqual((await self.ask(Request_Id=f"{n}"))[0], 200)
            await until(lambda: any(self.gateway.endpoint_clients.pool.connector._conns.values()))
        self.assertEqual((len(worker.came), len(worker.lines)), (3, 1))


class WatchingCase(CrossingCase):
    """A scripted agent, which falls silent and comes back when its test says so."""

    async def begin_watching(self, grace_ms: float) -> tuple[Peer, GatewayProcess, list[str]]:
        agent, self.ignore_signals, asked = self.peer(), False, list[str]()
        contract = {**settings()["contract"], "stopSendingWithinMs": grace_ms}
        self.generation, self.lifecycle = 1, "up"
        self.rows = [instance("s-0", "127.0.0.1:1")]
        gateway = GatewayProcess(
            gateway_config(told(agent.address, self.rows, settings=settings(contract=contract)))
        )
        self.gateway = gateway
        self.tasks = [asyncio.create_task(self.accept(agent, asked))]
        self.addCleanup(lambda: [task.cancel() for task in self.tasks])
        self.place = await gateway.open()
        self.addAsyncCleanup(self.end)
        return agent, gateway, asked

    async def accept(self, agent: Peer, asked: list[str]) -> None:
        while True:
            self.tasks.append(asyncio.create_task(self.serve(await agent.accept(), asked)))

    async def serve(self, line: Line, asked: list[str]) -> None:
        """The calls that come while it is deaf are never answered; others at once or after their wait."""
        with suppress(EOFError, ConnectionError, TimeoutError):
            while True:
                target = (await line.read(b"\r\n\r\n")).split()[1].decode()
                asked.append(target)
                if self.ignore_signals:
                    continue
                if f"since={self.generation}&" in target:
                    await asyncio.sleep(float(target.partition("timeout_ms=")[2]) / 1000)
                if not self.ignore_signals:
                    news = (
                        []
                        if f"since={self.generation}&" in target
                        else [{**self.rows[0], "lifecycle": self.lifecycle}, *self.rows[1:]]
                    )
                    line.write(
                        http(
                            json.dumps(
                                {
                                    "generation": self.generation,
                                    "reset": "since=" not in target,
                                    "instances": news,
                                }
                            ).encode()
                        )
                    )


class Outages(WatchingCase):
    """An agent that comes back may answer no call that was out: whatever the length, it is asked in time."""

    async def test_outages_of_any_length_are_over_within_the_grace(self) -> None:
        """Guards drains. Between the loss and the return no call is answered, nor any that was out."""
        _, gateway, asked = await self.begin_watching(grace_ms=1000.0)
        for outage_ms in (50.0, 150.0, 300.0, 700.0, 1500.0):
            self.ignore_signals = True
            await until(self.past(outage_ms))
            self.generation += 1
            self.lifecycle = "up" if self.lifecycle == "draining" else "draining"
            self.ignore_signals, before = False, len(asked)
            wanted = {"draining": "draining", "up": "ready"}[self.lifecycle]
            await until(lambda: gateway.discovery.membership.rows["s-0"].info.status.value == wanted)  # noqa: B023
            self.assertEqual(len(asked) - before, 1, outage_ms)  # the first call after the return
            self.assertLessEqual(
                gateway.discovery.next_backup_poll_ms - gateway.discovery.last_answer_ms, 1000.0 / 2
            )

    async def test_the_pace_follows_the_grace_of_the_settings(self) -> None:
        """Two paces from a return to the next call at most, for an outage shorter than one."""
        for grace_ms, pace_ms in ((0.0, 12.5), (100.0, 37.5), (250.0, 75.0), (2000.0, 150.0)):
            _, gateway, asked = await self.begin_watching(grace_ms)
            self.assertEqual(gateway.discovery.poll_interval_ms, pace_ms)
            await until(lambda: len(asked) > 2)  # noqa: B023
            self.assertIn(f"timeout_ms={pace_ms:.0f}", asked[1])
            now = gateway.clock.now()
            self.assertLessEqual(
                gateway.discovery.next_backup_poll_ms - gateway.discovery.last_answer_ms, 2 * pace_ms
            )
            self.assertLessEqual(gateway.discovery.last_answer_ms, now)
            await self.end()


class Process:
    """A gateway's own process, and what it says."""

    def __init__(self, run: asyncio.subprocess.Process, path: str) -> None:
        assert run.stderr
        self.run, self.log, self.path = run, run.stderr, path

    @staticmethod
    async def start(config: dict[str, Any], descriptors: int = 0) -> Process:
        """Started, and not ready yet; with so many descriptors at most, which its system enforces."""

        def bound() -> None:
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(config, file)
        return Process(
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

    async def says(self, words: bytes) -> bytes:
        """The first line from here on that holds the words."""
        async with asyncio.timeout(BOUND_S):
            while words not in (line := await self.log.readline()):
                if not line:
                    raise EOFError("it ended early")
        return line

    async def serves(self) -> tuple[str, int]:
        line = await self.says(b" serves at ")
        os.unlink(self.path)
        host, _, port = line.split(b" serves at ")[1].split(b": ")[0].decode().rpartition(":")
        return host, int(port)


class Crowded(WatchingCase):
    """Idle clients fill the descriptors while discovery is down: its return is heard, and service goes on."""

    async def test_an_outage_beside_idle_clients_that_fill_the_descriptors(self) -> None:
        worker, agent = await self.stand_in(http(b"ok")), self.peer()
        self.ignore_signals, self.generation, self.lifecycle, asked = False, 1, "up", list[str]()
        self.rows = [instance("s-0", "127.0.0.1:1"), instance("s-1", worker.address)]
        self.tasks = [asyncio.create_task(self.accept(agent, asked))]
        self.addCleanup(lambda: [task.cancel() for task in self.tasks])
        config = told(agent.address, self.rows, limits={"sockets": 64})
        process = await Process.start(config, descriptors=64)
        self.place = await process.serves()
        idle = list[Line]()
        for _ in range(3):
            self.ignore_signals = True
            idle += [self.client() for _ in range(120)]  # twice what it may hold; it closes the first
            self.generation, self.lifecycle = self.generation + 1, "draining"
            self.ignore_signals, before = False, len(asked)
            await process.says(f" list {self.generation}, ".encode())
            self.assertLessEqual(len(asked) - before, 4)  # the grace is as long as four paces
            self.assertEqual((await self.ask(Request_Timeout="60000m"))[:2], (200, b"ok"))
            self.lifecycle, self.generation = "up", self.generation + 1
            await process.says(f" list {self.generation}, ".encode())
        process.run.terminate()
        self.assertEqual(await process.run.wait(), 0)


class Partings(CrossingCase):
    """Bytes that come in the moment in which the gateway closes a connection."""

    async def rested(self) -> tuple[StandIn, Line]:
        """A client between requests, and the worker that served it."""
        worker = await self.stand_in(http(b"ok"))
        await self.begin(worker.address)
        line = self.client()
        line.write(request())
        await line.read(b"ok")
        await until(lambda: self.gateway.http_server.limits.connections[ConnectionState.IDLE])
        return worker, line

    async def test_a_request_that_lies_unread_as_the_idle_are_closed_is_served(self) -> None:
        worker, line = await self.rested()
        line.write(request(Request_Id="9b20"))
        self.gateway.http_server.withdraw_readiness()
        self.assertEqual(self.gateway.http_server.close_idle(), 1)
        self.assertIn(b"Connection: close", await line.read(b"ok"))
        self.assertEqual((await line.rest(), len(worker.came)), (b"", 2))

    async def test_a_request_that_comes_after_the_shutdown_is_not_read(self) -> None:
        """It is its client's to send again: it sees an end, no answer and no reset."""
        worker, line = await self.rested()
        with mock.patch("drumgw.gateway.connection_limits.CLOSING_TIMEOUT_MS", 1e9):
            self.assertEqual(self.gateway.http_server.close_idle(), 0)
            line.write(request(Request_Id="9b20"))
            self.assertEqual(await line.rest(), b"")
            await asyncio.sleep(0.02)
            (client,) = self.gateway.http_server.limits.connections[ConnectionState.CLOSING]
            self.assertTrue(client.has_unread())  # it lies where it came
            line.close()
            await until(lambda: not self.gateway.http_server.limits.count())
        self.assertEqual((len(worker.came), self.gateway.dispatcher.lifecycle.received_count), (1, 1))

    async def test_a_long_last_answer_arrives_whole_though_bytes_came_behind_its_request(self) -> None:
        """A close over unread bytes would reset, and take the rest of the answer with it."""
        worker = await self.stand_in(http(LARGE))
        await self.begin(worker.address)
        line = Line(socket.socket())
        self.addCleanup(line.sock.close)
        line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        line.sock.setblocking(True)
        line.sock.connect(self.place)
        line.sock.setblocking(False)
        self.gateway.http_server.withdraw_readiness()
        prepare = CompleteResponse.prepare

        async def crossed(answer: CompleteResponse, asked: Any) -> None:
            sock = asked.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await prepare(answer, asked)
            line.write(b"GET /a?acc")

        with mock.patch.object(CompleteResponse, "prepare", crossed):
            line.write(request())
            whole = await line.read(b"\r\n\r\n")
            await asyncio.sleep(0.02)
            whole += await line.rest()
        whole = whole.partition(b"\r\n\r\n")[2]
        self.assertEqual((whole.count(b"x"), b"(reset)" in whole), (len(LARGE), False))

    async def test_two_requests_read_at_once_are_both_answered_at_the_end(self) -> None:
        """None is read and then dropped."""
        worker = await self.stand_in(http(b"ok"))
        await self.begin(worker.address)
        line = self.client()
        self.gateway.http_server.withdraw_readiness()
        line.write(request() + request(Request_Id="9b20"))
        came = await line.rest()
        counted = came.count(b"200 OK"), came.count(b"Connection: close"), len(worker.came)
        self.assertEqual(counted, (2, 1, 2))

    async def test_half_a_request_at_the_end_is_never_sent_on(self) -> None:
        """Its last byte would come after the shutdown. One whose rest lies unread is whole, and is served."""
        whole = request(POSTED, "POST", b"{}", Request_Timeout="60000m")
        for cut in (10, len(whole) - 1):
            for rest in (False, True):
                worker = await self.stand_in(http(b"ok"))
                await self.begin(worker.address)
                line = self.client()
                line.write(whole[:cut])
                await until(
                    lambda: any(
                        c._messages or c._current_request or c._parser is not None
                        for c in self.gateway.http_server.server.connections
                    )
                )
                await asyncio.sleep(0.01)
                if rest:
                    line.write(whole[cut:])
                with (
                    mock.patch("drumgw.gateway.process.SHUTDOWN_LINGER_MS", 0.0),
                    mock.patch("asyncio.sleep", self.no_turn_first()),
                ):
                    await self.gateway.close()
                came = await line.rest()
                self.assertEqual((b"200 OK" in came, len(worker.came)), (rest, int(rest)), (cut, rest))

    def no_turn_first(self) -> Any:
        """The wait between SIGTERM and the shutdown gives the loop no turn: what lies unread stays so."""
        sleep, first = asyncio.sleep, [True]

        async def asleep(seconds: float, *rest: Any) -> None:
            if first and first.pop():
                return
            await sleep(seconds, *rest)

        return asleep

    async def test_clients_that_never_end_their_side_do_not_hold_up_the_end(self) -> None:
        _, line = await self.rested()
        silent = self.client()
        await until(lambda: self.gateway.http_server.limits.connections[ConnectionState.NEW])
        with mock.patch("drumgw.gateway.process.SHUTDOWN_LINGER_MS", 0.0):
            async with asyncio.timeout(BOUND_S):
                await self.gateway.close()
        self.assertEqual(
            (self.gateway.http_server.limits.count(), await line.rest(), await silent.rest()), (0, b"", b"")
        )


class Leavers(CrossingCase):
    """A client that leaves while its request waits: nothing of it is sent on, and what it held comes back."""

    def empty(self) -> bool:
        dispatcher, policy = self.gateway.dispatcher, self.gateway.dispatcher.lifecycle.policy
        held = policy.pending or policy.back_end.limit.in_flight  # type: ignore[attr-defined]
        held = held or policy.back_end.endpoints.with_attempts  # type: ignore[attr-defined]
        out = any(a.attempts_in_flight for a in policy.accounts.values())  # type: ignore[attr-defined]
        return not (
            held
            or out
            or dispatcher.lifecycle.in_flight
            or dispatcher.pending_requests
            or dispatcher.request_deadlines
            or self.gateway.http_server.open_request_ids
        )

    async def test_while_it_waits_for_its_connection(self) -> None:
        for cancel in (True, False):  # an attempt that was not sent needs no calling off
            for reset in (False, True):
                worker = await self.stand_in(http(b"ok"))
                await self.begin(
                    worker.address, settings=settings(ceilings={**settings()["ceilings"], "cancel": cancel})
                )
                line = self.client()
                with self.held(lambda card: True) as go:
                    line.write(request(Request_Timeout="60000m"))
                    await until(lambda: worker.lines)  # noqa: B023
                    line.close(reset)
                    await until(self.empty)
                    go.set()
                    self.assertEqual((await self.ask())[0], 200)
                self.assertEqual(len(worker.came), 1, (cancel, reset))  # the other client's
                await self.end()

    async def test_while_it_waits_for_the_counter(self) -> None:
        """A hundred at once, by an end or a reset, some with bytes behind their request."""
        worker, counter = await self.stand_in(http(b"ok")), self.peer()
        family = {"counter": True, "countWaitMs": 60000.0, "unitsTop": 9}
        slow = {**REQUEST_CLASS, "deadlineMs": 900000.0, "onTimeMs": 100000.0}
        await self.begin(
            worker.address, counter=counter.address, settings=settings(familyInfo=family, classes=[slow])
        )
        lines = [self.client() for _ in range(100)]
        for n, line in enumerate(lines):
            line.write(request(Request_Timeout="900000m", Request_Id=f"{n:x}") + b"GET /" * (n % 3 == 0))
        await until(lambda: len(self.gateway.dispatcher.lifecycle.in_flight) == 100)
        for n, line in enumerate(lines):
            line.close(reset=n % 2 == 0)
        await until(lambda: not self.gateway.dispatcher.lifecycle.in_flight)
        await until(self.empty)
        lane = await counter.accept()
        await lane.read(b"\r\n\r\n")
        for _ in range(100):
            lane.write(http(b"0"))
        await asyncio.sleep(0.05)
        self.assertEqual((worker.came, worker.lines), ([], []))

    async def test_while_its_close_lies_unread_as_an_attempt_begins(self) -> None:
        """The loop had no turn since: first attempts and further ones, by an end or a reset."""
        for first, reset in ((True, False), (True, True), (False, False), (False, True)):
            workers = [await self.stand_in(http(b"ok") if first else http(status=500)) for _ in range(2)]
            await self.begin(*(worker.address for worker in workers))
            line, attempts = self.client(), list[int]()

            def before() -> None:
                attempts.append(1)  # noqa: B023
                if len(attempts) == (1 if first else 2):  # noqa: B023
                    line.close(reset)  # noqa: B023

            with mock.patch.object(self.gateway.endpoint_clients.pool, "before_write", before):
                line.write(request(Request_Timeout="60000m"))
                await until(lambda: attempts)  # noqa: B023
                await until(lambda: self.empty() and not self.gateway.http_server.limits.count())
            came = sum(len(worker.came) for worker in workers)
            self.assertEqual(came, 0 if first else 1, (first, reset))
            await self.end()

    async def test_while_so_many_of_its_requests_wait_that_nothing_more_is_read(self) -> None:
        """Guards workers: the close lies behind what is not read, and each request would be sent on."""
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        worker = await self.stand_in(lambda head, body: answer)
        await self.begin(worker.address)
        line = self.client()
        line.write(b"".join(request(Request_Id=f"{n:x}", Request_Timeout="60000m") for n in range(1000)))
        await until(lambda: worker.came)
        (client,) = self.gateway.http_server.server.connections
        assert isinstance(client, ClientConnection)
        await until(lambda: client._buffer_paused)
        line.sock.shutdown(socket.SHUT_WR)  # an end of both would be told by the first answer's reset
        answer.set_result(http(b"ok"))
        await until(lambda: self.empty() and not self.gateway.http_server.limits.count())
        self.assertEqual(len(worker.came), 1)


class Signals(CrossingCase):
    async def test_sigterm_during_the_imports_ends_with_0(self) -> None:
        """Its default ends the process as by a crash; here it comes between the program's own lines."""
        story = (
            "import builtins, os, runpy, signal\n"
            "real = builtins.__import__\n"
            "def called(name, *rest, **more):\n"
            "    if name == 'uvloop': os.kill(os.getpid(), signal.SIGTERM)\n"
            "    return real(name, *rest, **more)\n"
            "builtins.__import__ = called\n"
            "runpy.run_module('drumgw', run_name='__main__')"
        )
        run = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-c", story, stderr=asyncio.subprocess.PIPE
        )
        _, said = await run.communicate()
        self.assertEqual((run.returncode, said), (0, b""))

    async def test_sigterm_twice_beside_a_silent_counter_and_a_request_that_ends_last(self) -> None:
        """It serves what it has, waits for the counter as long as for a call, and exits with 0."""
        held: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        worker, counter = await self.stand_in(lambda head, body: held), self.peer()
        row = instance("s-0", worker.address)
        listed = http(json.dumps({"generation": 1, "reset": True, "instances": [row]}).encode())
        discovery = await self.stand_in(lambda head, body: None if b"since=" in head else listed)
        family = {"counter": True, "countWaitMs": 30.0, "unitsTop": 9}
        process = await Process.start(
            told(discovery.address, [row], counter=counter.address, settings=settings(familyInfo=family))
        )
        self.place = await process.serves()
        line = self.client()
        line.write(request(Request_Timeout="60000m"))
        await until(lambda: worker.came)
        process.run.terminate()
        await process.says(b"told to stop")
        process.run.terminate()
        held.set_result(http(b"ok"))
        self.assertIn(b"Connection: close", await line.read(b"ok"))
        said = await process.log.read()
        self.assertIn(b"0 left open, invariants broken: none", said)
        self.assertEqual(await process.run.wait(), 0)


class Edges(CrossingCase):
    """Another customer's settings, each at an edge: it starts, answers each request once, repeats only what
    it may, as often as it may, and holds nothing afterwards."""

    EDGES: dict[str, dict[str, Any]] = {
        "no counter": {"familyInfo": {"counter": False, "unitsTop": 9}},
        "a counter that nobody reaches": {
            "familyInfo": {"counter": True, "countWaitMs": 30.0, "unitsTop": 9}
        },
        "nothing may be called off": {"ceilings": {**settings()["ceilings"], "cancel": False}},
        "one attempt": {"ceilings": ONE_ATTEMPT},
        "five attempts, two at once": {
            "ceilings": {**settings()["ceilings"], "maxAttempts": 5, "secondCopies": True}
        },
        "no advice to clients": {"ceilings": {**settings()["ceilings"], "retryAfter": False}},
        "no limits of connections told": {"ceilings": {"maxAttempts": 2, "cancel": True}},
        "no zones": {"zones": [], "az": ""},
        "more zones than said": {"zones": ["elsewhere"], "az": "here"},
        "short deadlines and windows": {"deadlineMs": 300.0, "onTimeMs": 100.0, "keyTtlMs": 100.0},
        "no window": {"keyTtlMs": 0.0},
        "a ceiling alone": {"plan": {"unitsPerS": 0.0, "neverOverRate": 50.0, "hardBurst": 50.0}},
        "a cap alone": {"plan": {"unitsPerS": 0.0, "concurrency": 2}},
        "an empty plan": {"plan": {"unitsPerS": 0.0}},
        "a grace of nothing": {"contract": {**settings()["contract"], "stopSendingWithinMs": 0.0}},
        "one of 1,024": {"balancers": 1024, "ordinal": 1023},
    }
    KINDS = {"s": "repeatable", "k": "by_key", "z": "by_key", "u": "once"}

    def settings_of(self, **edge: Any) -> dict[str, Any]:
        times = {key: edge.pop(key) for key in ("deadlineMs", "onTimeMs", "keyTtlMs") if key in edge}
        plan = {**settings()["tiersOfService"][0], **edge.pop("plan", {})}
        classes = [
            {
                **REQUEST_CLASS,
                "name": name,
                "idempotency": kind,
                "group": "zone" if name == "z" else "all",
                **times,
            }
            for name, kind in self.KINDS.items()
        ]
        return settings(classes=classes, tiersOfService=[plan], **edge)

    async def test_each_starts_and_keeps_the_rules(self) -> None:
        for name, edge in self.EDGES.items():
            with self.subTest(name):
                await self.play(self.settings_of(**edge))

    async def play(self, told_settings: dict[str, Any]) -> None:
        ran: dict[bytes, list[bool]] = {}  # by id, of each attempt that came whole: whether it may have run

        def worker(answer: bytes) -> Any:
            def say(head: bytes, body: bytes) -> bytes:
                name = head.partition(b"Request-Id: ")[2].split()[0]
                ran.setdefault(name, []).append(b"Not-Started" not in answer)
                return answer

            return say

        stand_ins = [
            await self.stand_in(worker(answer))
            for answer in (http(b"ok"), http(status=500), b"", http(status=503, Not_Started="1"))
        ]
        gateway = await self.begin(
            *(one.address for one in stand_ins), counter="127.0.0.1:9", settings=told_settings
        )
        asked = [(f"{kind}{n}", kind) for n in range(8) for kind in self.KINDS]

        async def one(name: str, kind: str) -> int:
            method = "GET" if kind == "s" else "POST"
            target = f"/{kind}?account={len(name) + int(name[1:]):016x}"
            return (await self.ask(target, method, Request_Id=name, Request_Timeout="300m"))[0]

        async with asyncio.timeout(BOUND_S):
            statuses = await asyncio.gather(*(one(*each) for each in asked))
        most = told_settings["ceilings"]["maxAttempts"]
        for (name, kind), status in zip(asked, statuses, strict=True):
            attempts = ran.get(name.encode(), [])
            self.assertIn(status, (200, 500, 503), name)
            self.assertLessEqual(len(attempts), most, name)
            if kind == "u":  # after one that may have run there is no other, and no decline
                self.assertNotIn(True, attempts[:-1], name)
                self.assertFalse(status == 503 and True in attempts, name)
            if kind == "z" or kind == "k" and told_settings["classes"][1]["keyTtlMs"] == 0.0:
                self.assertFalse(status == 503 and True in attempts, name)
        self.assertIn(200, statuses)
        await until(
            lambda: not (
                gateway.dispatcher.lifecycle.in_flight
                or gateway.endpoint_clients.in_flight
                or gateway.http_server.open_request_ids
            )
        )
        await self.end()


if __name__ == "__main__":
    unittest.main()
