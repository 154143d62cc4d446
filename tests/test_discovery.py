"""The worker list: which word may be acted on, and when it is read. Discovery is the tests' own script."""

from __future__ import annotations

import asyncio
import difflib
import json
import os
import sys
import tempfile
import unittest
from typing import Any
from unittest import mock

from drumgw.gateway.discovery import PAUSES, CallOutcome
from drumgw.gateway.membership import RENUMBERED_MS, UNREADABLE, Membership, MembershipChange
from drumgw.gateway.process import GatewayProcess
from drumgw.gateway.process_config import MAX_BODY_BYTES
from drumgw.model.events import EndpointStatus
from tests.harness import TRACES
from tests.scripted_server import StandIn, http
from tests.test_gateway import POSTED, GateCase, gateway_config, instance, settings, told

JsonObject = dict[str, Any]


def listed(generation: Any, *rows: Any, whole: bool = True) -> bytes:
    return http(json.dumps({"generation": generation, "reset": whole, "instances": rows}, indent=4).encode())


class Agent(GateCase):
    """A discovery that has what its test says, from the first call on: news answer a watch at once."""

    async def agent(self, *rows: Any) -> StandIn:
        self.now: JsonObject | None = {
            "generation": 7,
            "reset": True,
            "instances": list(rows),
        }  # none: silence
        self.asked: list[str] = []
        self.news: asyncio.Condition = asyncio.Condition()
        self.discovery = await self.stand_in(self.answer)
        return self.discovery

    async def answer(self, head: bytes, body: bytes) -> bytes | None:
        self.asked.append(head.split()[1].decode())
        if self.now is None:
            return None
        async with self.news:
            while self.now is not None and f"since={self.now['generation']}&" in self.asked[-1]:
                await self.news.wait()
        return None if self.now is None else http(json.dumps(self.now).encode())

    async def start(self, known: list[JsonObject], **more: Any) -> GatewayProcess:
        self.gateway = GatewayProcess(gateway_config(told(self.discovery.address, known, **more)))
        self.opening = asyncio.create_task(self.gateway.open())
        self.addAsyncCleanup(self.end)
        return self.gateway

    async def opened(self) -> None:
        self.place = await self.opening

    async def until(self, *words: str) -> None:
        """Until so many calls have come whose targets hold the words."""
        while not all(any(word in target for target in self.asked) for word in words):
            await asyncio.sleep(0.001)

    def health(self) -> dict[str, str]:
        return {name: row.info.status.value for name, row in self.gateway.discovery.membership.rows.items()}

    async def workers(self) -> tuple[StandIn, StandIn, list[JsonObject]]:
        one, other = await self.stand_in(http(b"one")), await self.stand_in(http(b"other"))
        return one, other, [instance("s-0", one.address), instance("s-1", other.address)]

    async def ask_all(self) -> list[tuple[int, bytes]]:
        """Txns of many customers: ranked by hash, half of them come to each of two workers."""
        answers = [await self.ask(f"/a?account={n:016x}", Request_Id=f"{n:x}") for n in range(16)]
        return [answer[:2] for answer in answers]


class Starts(Agent):
    async def test_a_start_with_an_old_list_sends_nothing_to_who_has_left(self) -> None:
        """What the agent has counts as told from the first moment: it speaks before anybody is let in."""
        one, other, known = await self.workers()
        await self.agent({**known[0], "lifecycle": "draining"}, known[1])
        hold, held = asyncio.Event(), self.answer

        async def answer(head: bytes, body: bytes) -> bytes | None:
            await hold.wait()
            return await held(head, body)

        self.discovery.answer = answer
        gateway = await self.start(known)
        while not self.discovery.came:
            await asyncio.sleep(0.001)
        assert gateway.http_server.socket is not None
        self.assertEqual((gateway.http_server.ready, self.opening.done()), (False, False))
        self.assertEqual(gateway.endpoint_clients.clients, {})
        with self.assertRaises(ConnectionRefusedError):  # as while it was not running
            await asyncio.open_connection(*gateway.http_server.socket.sockets[0].getsockname())
        hold.set()
        await self.opened()
        self.assertEqual((await self.ask("/health/ready"))[0], 200)
        self.assertEqual(await self.ask_all(), [(200, b"other")] * 16)
        self.assertEqual((one.came, self.health()), ([], {"s-0": "draining", "s-1": "ready"}))

    async def test_silent_at_the_start_then_back_with_a_drain(self) -> None:
        """After long silence the known list stands in; whatever the agent then has is taken at once."""
        one, other, known = await self.workers()
        await self.agent()
        self.now = None
        with (
            mock.patch("drumgw.gateway.discovery.SILENT_START_MS", 0.0),
            mock.patch("drumgw.gateway.discovery.GRACE_PART", 0.07),
            mock.patch("drumgw.gateway.discovery.logger") as log,
        ):
            await self.start(known)
            await self.opened()
            self.assertIn("the known list stands in", str(log.warning.call_args_list))
            self.assertEqual(set(await self.ask_all()), {(200, b"one"), (200, b"other")})
            came = len(one.came)
            self.now = {
                "generation": 3,
                "reset": True,
                "instances": [{"instanceId": "s-0", "lifecycle": "draining"}, known[1]],
            }
            await self.until("since=3&")
        self.assertEqual(await self.ask_all(), [(200, b"other")] * 16)
        self.assertEqual((len(one.came), self.asked[0]), (came, "/registry/instances"))

    async def test_silent_for_longer_than_a_start_may_take(self) -> None:
        """It is ready, and refuses all at once by itself: the known list may name workers that have left."""
        one, other, known = await self.workers()
        counter = await self.stand_in(http(b"0"))
        await self.agent({**known[0], "lifecycle": "draining"}, known[1])
        held, self.now = self.now, None
        family = {"counter": True, "countWaitMs": 5000.0, "unitsTop": 9}
        with mock.patch("drumgw.gateway.process.READY_MS", 0.0):
            gateway = await self.start(known, counter=counter.address, settings=settings(familyInfo=family))
            await self.opened()
        self.assertEqual((await self.ask("/health/ready"))[0], 200)
        for target, method in (("/a?account=00000000b4d65521", "GET"), (POSTED, "POST")):
            status, _, head = await self.ask(target, method, Request_Timeout="60000m")
            self.assertEqual(status, 503)
            self.assertRegex(head, rb"Retry-After: 0\.[1-9]")
        self.assertEqual((one.lines, other.lines, counter.lines), ([], [], []))
        self.assertFalse(gateway.discovery.listed.is_set())
        self.now = held
        await self.until("since=7&")
        self.assertEqual(set(await self.ask_all()), {(200, b"other")})
        self.assertEqual((one.came, self.health()), ([], {"s-0": "draining", "s-1": "ready"}))

    async def test_told_to_end_while_it_waits_for_discovery(self) -> None:
        discovery = await self.stand_in(None)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(told(discovery.address, []), file)
            file.flush()
            run = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "drumgw",
                env={**os.environ, "GW_CONFIG": file.name},
                stderr=asyncio.subprocess.PIPE,
            )
            while not discovery.came:
                await asyncio.sleep(0.001)
            run.terminate()
            _, said = await run.communicate()
        self.assertEqual((run.returncode, b"n0 ends before it served" in said), (0, True), said)


class Watches(Agent):
    async def test_a_call_that_is_out_as_the_agent_comes_back_may_hear_nothing(self) -> None:
        """Guards the grace: the watch's own patience is far longer here, and it is never answered."""
        await self.agent(instance("s-0", "127.0.0.1:1"))
        with (
            mock.patch("drumgw.gateway.discovery.SLOW_MS", 1e9),
            mock.patch("drumgw.gateway.discovery.GRACE_PART", 0.07),
        ):
            await self.start([])
            await self.opened()
            await self.until("since=7&")  # out for good: news do not wake it
            self.now = {"generation": 8, "reset": False, "instances": [instance("s-0", "", "draining")]}
            async with asyncio.timeout(20):  # only so that a broken scout fails and does not hang
                await self.until("since=8&")
        self.assertEqual(self.health(), {"s-0": "draining"})

    def write(self, *rows: Any) -> None:
        """News on the watch that is out: its bytes lie in our socket, and the loop has had no turn."""
        self.discovery.came_on[-1].write(listed(8, *rows, whole=False))

    async def watched(self) -> tuple[StandIn, StandIn, list[JsonObject]]:
        """Its one watch stays out, so what is written behind the last call that came is on a live one."""
        one, other, rows = await self.workers()
        await self.agent(*rows)
        for name in ("MAX_POLL_INTERVAL_MS", "GRACE_PART", "SLOW_MS"):
            patch = mock.patch(f"drumgw.gateway.discovery.{name}", 1e9)
            patch.start()
            self.addCleanup(patch.stop)
        await self.start([])
        await self.opened()
        await self.until("since=7&")
        return one, other, rows

    async def test_a_drain_that_lies_unread_goes_before_a_txn(self) -> None:
        """Guards drains behind a crowd or a stall of ours: the txn is read first, the list acted on first."""
        one, _, _ = await self.watched()
        came = [n for n, answer in enumerate(await self.ask_all()) if answer == (200, b"one")]  # kept lines
        read, one.came = self.gateway.http_server.read, []

        async def late(request: Any) -> bytes:
            self.write(instance("s-0", "", "draining"))
            return await read(request)

        with (
            mock.patch("drumgw.gateway.discovery.LOOK_MS", 0.0),
            mock.patch.object(self.gateway.http_server, "read", late),
        ):
            self.assertEqual((await self.ask(f"/a?account={came[0]:016x}"))[:2], (200, b"other"))
        self.assertEqual((one.came, self.health()), ([], {"s-0": "draining", "s-1": "ready"}))

    async def test_a_drain_that_lies_unread_goes_before_what_waited_for_its_connection(self) -> None:
        one, _, rows = await self.watched()
        connector = self.gateway.endpoint_clients.pool.connector
        connect = connector.connect

        async def up(card: Any, *rest: Any) -> Any:
            connection = await connect(card, *rest)
            if f":{card.url.port}" in one.address and not one.came:
                self.write({"instanceId": "s-0", "lifecycle": "removed"})
            return connection

        with mock.patch("drumgw.gateway.discovery.LOOK_MS", 0.0), mock.patch.object(connector, "connect", up):
            self.assertEqual(await self.ask_all(), [(200, b"other")] * 16)
        self.assertEqual((one.came, self.health()), ([], {"s-1": "ready"}))

    async def test_another_agent_with_a_lower_numbering_leaves_a_drain_out(self) -> None:
        """After SIGHUP what the new agent has counts in 4 s: its drains can't wait for its numbering."""
        one, other, rows = await self.workers()
        await self.agent(*rows)
        assert self.now is not None
        self.now["generation"] = 41
        gateway = await self.start([])
        await self.opened()
        self.assertEqual(set(await self.ask_all()), {(200, b"one"), (200, b"other")})
        one.came, self.now = [], None
        moved = await self.stand_in(listed(3, rows[1]))
        gateway.service.reconfigure(gateway_config(told(moved.address, [])))
        while "s-0" in gateway.discovery.membership.rows:
            await asyncio.sleep(0.001)
        self.assertLess(gateway.clock.now() - gateway.discovery.membership.older_at, RENUMBERED_MS)
        self.assertEqual(await self.ask_all(), [(200, b"other")] * 16)
        self.assertEqual((one.came, self.health()), ([], {"s-1": "ready"}))

    async def test_a_thousand_workers_in_one_list(self) -> None:
        """Beyond what a body may hold elsewhere; a drain of all but one of them is one list more."""
        _, other, rows = await self.workers()
        many = [instance(f"s-{n}", f"127.0.0.1:{n}") for n in range(2, 1025)]
        await self.agent(*many, rows[1])
        self.assertGreater(len(json.dumps(many)), MAX_BODY_BYTES)
        await self.start([], settings=settings(balancers=1024))
        await self.opened()
        self.assertEqual(len(self.gateway.endpoint_clients.clients), 1024)
        leave = [{**row, "lifecycle": "draining"} for row in many]
        self.now = {"generation": 8, "reset": False, "instances": leave}
        async with self.news:
            self.news.notify_all()
        await self.until("since=8&")
        info = "units=1,spread=1024,first=1023"
        self.assertEqual((await self.ask(Quota_Info=info))[:2], (200, b"other"))
        self.assertEqual(sum(worker.open for worker in self.gateway.endpoint_clients.clients.values()), 1)

    async def test_an_agent_that_answers_at_once_is_not_asked_without_end(self) -> None:
        await self.agent()
        gateway = await self.start([])
        await self.opened()
        slept: list[float] = []

        async def sleep(seconds: float) -> None:
            slept.append(seconds)

        for task in gateway.discovery.tasks:
            task.cancel()
        with (
            mock.patch.object(gateway.clock, "now", lambda: 1e6),
            mock.patch.object(gateway.discovery, "ask", mock.AsyncMock()),
            mock.patch("asyncio.sleep", sleep),
        ):
            await gateway.discovery.call(1000.0, 2000.0, 50.0)
        self.assertEqual(slept, [0.05])

    async def test_what_is_no_list_leaves_the_last_and_is_one_line(self) -> None:
        up = instance("s-0", "127.0.0.1:1")
        await self.agent(up)
        bad = [
            http(status=500),
            b"",
            b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\n{",
            http(b"{]"),
            http(b"7"),
            http(b"[]"),
            http(b'{"instances": {}}'),
            http(b'{"generation": 8}'),
            http(b'{"generation": 8, "reset": true, "instances": [7, {}]}'),
            http(b"[" * 100000),
        ]
        held = self.answer

        async def answer(head: bytes, body: bytes) -> bytes | None:
            """The whole list, then each of the bad ones, then news: no good answer comes between them."""
            if b"since=7&" in head and bad:
                return bad.pop(0)
            if b"since=" in head:
                self.now = {"generation": 8, "reset": False, "instances": [instance("s-1", "127.0.0.1:1")]}
            return await held(head, body)

        self.discovery.answer = answer
        with (
            mock.patch("drumgw.gateway.discovery.logger") as log,
            mock.patch("drumgw.gateway.discovery.AGAIN_MS", 0.0),
        ):
            gateway = await self.start([])
            await self.opened()
            await self.until("since=8&")
        lost = [call for call in log.warning.call_args_list if "discovery lost" in call[0][0]]
        self.assertEqual((bad, self.health()), ([], {"s-0": "ready", "s-1": "ready"}))
        self.assertEqual(len(lost), 1)
        self.assertEqual(len(gateway.endpoint_clients.clients), 2)


class SharedService(Agent):
    """Lists are asked of one service for all: it has a line, and turns away who finds it long."""

    ASKED = settings(discovery="ask", balancers=1024)

    async def test_a_start_asks_for_what_changed_since_its_known_list(self) -> None:
        """Not for the whole list, and nothing is sent by the known one before the answer."""
        one, other, known = await self.workers()
        drained = {"instanceId": "s-0", "lifecycle": "draining"}
        await self.agent()
        self.now = {"generation": 8, "reset": False, "instances": [drained]}
        gateway = GatewayProcess(
            gateway_config(
                {
                    **told(self.discovery.address, known, settings=self.ASKED),
                    "known": {"generation": 5, "reset": True, "instances": known},
                }
            )
        )
        self.gateway = gateway
        self.assertEqual((gateway.discovery.membership.rows, gateway.endpoint_clients.clients), ({}, {}))
        self.place = await gateway.open()
        self.addAsyncCleanup(self.end)
        info = "units=1,spread=1024,first=1023"
        self.assertEqual((await self.ask(Quota_Info=info))[:2], (200, b"other"))
        await self.until("since=8&")
        self.assertEqual(
            self.asked,
            ["/registry/instances?since=5&timeout_ms=0", "/registry/instances?since=8&timeout_ms=3500"],
        )
        self.assertEqual((one.came, self.health()), ([], {"s-0": "draining", "s-1": "ready"}))

    async def test_a_watch_goes_on_after_news(self) -> None:
        _, _, known = await self.workers()
        await self.agent(*known)
        await self.start([], settings=self.ASKED)
        await self.opened()
        await self.until("since=7&")
        self.now = {"generation": 8, "reset": False, "instances": [{**known[0], "lifecycle": "draining"}]}
        async with self.news:
            self.news.notify_all()
        await self.until("since=8&")
        self.assertEqual(self.health(), {"s-0": "draining", "s-1": "ready"})
        self.assertEqual(
            self.asked,
            [
                "/registry/instances?since=1&timeout_ms=0",
                "/registry/instances?since=7&timeout_ms=3500",
                "/registry/instances?since=8&timeout_ms=3500",
            ],
        )

    async def pauses(self, seed: str, *outcomes: CallOutcome) -> list[float]:
        """Between calls that end so."""
        await self.agent()
        discovery = GatewayProcess(
            gateway_config(told(self.discovery.address, [], settings=self.ASKED, seed=seed))
        ).discovery
        slept = list[float]()

        async def sleep(seconds: float) -> None:
            slept.append(seconds * 1000)

        with (
            mock.patch.object(discovery, "call", mock.AsyncMock(side_effect=outcomes)),
            mock.patch("asyncio.sleep", sleep),
            self.assertRaises(StopAsyncIteration),
        ):
            await discovery.subscribe()
        return slept

    async def test_who_is_turned_away_waits_longer_each_time_and_not_as_others_do(self) -> None:
        """Guards the service against a fleet that comes again in step."""
        away, failed, told = CallOutcome.TURNED_AWAY, CallOutcome.FAILED, CallOutcome.ANSWERED
        outcomes = told, away, away, away, away, away, told, away, told, failed, failed
        one, other = await self.pauses("8c1f", *outcomes), await self.pauses("8c20", *outcomes)
        middles = 4000.0, 8000.0, 16000.0, 16000.0, 16000.0, 4000.0, 250.0, 500.0
        for pause, middle in zip(one, middles, strict=True):
            self.assertTrue(0.5 * middle <= pause <= 1.5 * middle, (pause, middle))
        self.assertEqual(set(one) & set(other), set())

    async def test_a_fleet_that_starts_at_once_is_served_in_turn(self) -> None:
        """Each call keeps the service for a while, also one that nobody waits for any more."""
        line, took_s, most, asked, gateways = asyncio.Lock(), 0.02, 8, list[str](), 24
        waiting = 0

        async def serve(head: bytes, body: bytes) -> bytes | None:
            nonlocal waiting
            asked.append(head.split()[1].decode())
            if "since=2&" in asked[-1]:
                return None  # a watch that goes on is free, and has no news
            if waiting >= most:
                return http(status=503)
            waiting += 1
            async with line:
                await asyncio.sleep(took_s)
            waiting -= 1
            return listed(2, instance("s-0", "127.0.0.1:1"))

        service = await self.stand_in(serve)
        fleet = [
            GatewayProcess(gateway_config(told(service.address, [], settings=self.ASKED, seed=f"{n + 1:x}")))
            for n in range(gateways)
        ]
        pauses = {outcome: (least / 8, most / 8) for outcome, (least, most) in PAUSES.items()}
        opening = [asyncio.create_task(gateway.open()) for gateway in fleet]
        with (
            mock.patch("drumgw.gateway.process.SHUTDOWN_LINGER_MS", 0.0),
            mock.patch.dict("drumgw.gateway.discovery.PAUSES", pauses),
        ):
            for gateway, task in zip(fleet, opening, strict=True):
                await task
                self.assertTrue(gateway.discovery.listed.is_set())
            for gateway in fleet:
                await gateway.close()
        self.assertLess(sum("since=2&" not in target for target in asked), 6 * gateways)


ROW = instance("s-a", "127.0.0.1:1")


class Order(unittest.TestCase):
    """The rule itself, as a trace of lists and what each of them changes."""

    def setUp(self) -> None:
        self.membership, self.now, self.trace = (
            Membership(gateway_config(told("127.0.0.1:1", [])).names),
            0.0,
            list[str](),
        )

    def take(self, generation: Any, *rows: Any, whole: bool = False, after_ms: float = 100.0) -> None:
        self.now += after_ms
        plain = self.membership.since is None
        said = {"generation": generation, "reset": whole, "instances": list(rows)}
        asked = "all" if plain else f"since {self.membership.since}"
        try:
            change = self.membership.take(self.now, said, plain)
        except UNREADABLE as bad:
            self.trace.append(f"{self.now:6.0f}  asked {asked}, list {generation}: {type(bad).__name__}")
            return
        self.note(f"asked {asked}, {'whole ' if whole else ''}list {generation}", change)

    def note(self, what: str, change: MembershipChange) -> None:
        moves = "; ".join(
            f"{health.value}: {', '.join(names)}" for health, names in change.changes_by_status.items()
        )
        rows = ", ".join(f"{name} {row.info.status.value}" for name, row in self.membership.rows.items())
        unread = f", {change.unreadable_count} unread" if change.unreadable_count else ""
        self.trace.append(f"{self.now:6.0f}  {what}{unread} -> {moves or 'nothing'}")
        self.trace.append(f"        {self.membership.state}: {rows}")

    def same(self, name: str) -> None:
        kept = (TRACES / f"{name}.txt").read_text().splitlines()
        change = list(difflib.unified_diff(kept, self.trace, "kept", "now", lineterm="", n=2))
        self.assertFalse(change, "\n" + "\n".join(change))

    def row(self, name: str, state: str = "up", born: float = 0.0) -> JsonObject:
        return instance(name, "127.0.0.1:1", state, startedAtMs=born)

    def test_an_older_list_undoes_nothing(self) -> None:
        self.take(41, self.row("s-a"), self.row("s-b"), self.row("s-c"), whole=True)
        self.take(43, self.row("s-a", "draining"), self.row("s-b", "removed"))
        self.take(42, self.row("s-a"), self.row("s-b"), self.row("s-c", "draining"), whole=True)
        self.take(42, self.row("s-a", born=9.0), self.row("s-d"))  # a later start; one that may have left
        self.take(43)  # in step again: all is asked for
        self.take(43, self.row("s-a", born=9.0), self.row("s-c"), whole=True)
        self.same("membership-older")

    def test_a_numbering_begun_anew_is_taken_in_time(self) -> None:
        self.take(41, self.row("s-a"), self.row("s-b"), whole=True)
        self.take(3)  # its version says nothing of its list
        self.take(3, self.row("s-b"), self.row("s-c"), whole=True)
        self.take(4, self.row("s-b", "draining"), after_ms=RENUMBERED_MS / 2)
        self.take(5, after_ms=RENUMBERED_MS / 2)
        self.take(5, self.row("s-b", "draining"), self.row("s-c"), whole=True)
        self.take(6, self.row("s-c", "draining"))
        self.same("membership-renumbered")

    def test_known_stands_in_only_until_the_agent_speaks(self) -> None:
        known = {"generation": 50, "instances": [self.row("s-a"), self.row("s-b")]}
        self.note("known", self.membership.stand_in(known))
        self.take(41, self.row("s-b", "draining"), self.row("s-c"))  # older, and not said to be whole
        self.same("membership-known")

    def test_a_row_that_lacks_or_spoils_fields_hides_no_drain(self) -> None:
        self.take(1, *(self.row(f"s-{n}") for n in "abcdefg"), whole=True)
        self.take(
            2,
            {"instanceId": "s-a", "lifecycle": "draining"},
            {"instanceId": "s-b", "lifecycle": "removed"},
            instance("s-c", "nowhere", "draining", startedAtMs="?", zone=[], weight=None, cell={}),
        )
        bad: list[Any] = [
            {"instanceId": "s-d"},
            {**ROW, "instanceId": "s-e", "weight": float("nan")},
            {**ROW, "instanceId": "s-f", "lifecycle": ["up"]},
            {**ROW, "instanceId": "s-g", "cell": float("inf")},
            {**ROW, "instanceId": "s-h", "hostPort": "a b"},
            {**ROW, "instanceId": "s-i", "hostPort": "h:70000"},
            {**ROW, "instanceId": 5},
            {**ROW, "instanceId": ""},
            {**ROW, "instanceId": "s" * 257},
            {**ROW, "instanceId": "s-j", "startedAtMs": True},
            {**ROW, "instanceId": "s-k", "zone": {}},
        ]
        self.take(3, *bad, None, "s-d", ROW, whole=True)  # who is named stays what it was, others are gone
        self.same("membership-rows")

    def test_two_rows_of_a_worker_in_one_list(self) -> None:
        self.take(1, self.row("s-a"), self.row("s-b"), self.row("s-c"), self.row("s-d"), whole=True)
        self.take(
            2,
            self.row("s-a", "removed"),
            self.row("s-a", born=5.0),  # replaced in one step
            self.row("s-b", born=5.0),
            self.row("s-b", "removed"),
            self.row("s-c"),
            self.row("s-c", "draining"),  # leaving goes before staying
            self.row("s-d", born=5.0),
            {"instanceId": "s-d", "lifecycle": "draining"},
        )
        self.take(3, self.row("s-c"))  # a newer list may call a drain off
        self.same("membership-twice")

    def test_a_generation_that_cannot_be_used(self) -> None:
        self.take(1, self.row("s-a"), whole=True)
        for generation in (None, "2", True, -3, 2.5):
            self.take(generation, self.row("s-a", "draining"))
        self.take(2, "no row", {}, whole=True)  # no list
        self.same("membership-generations")
        self.assertEqual(self.membership.rows["s-a"].info.status, EndpointStatus.DRAINING)
