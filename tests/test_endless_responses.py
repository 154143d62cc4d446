"""Peers that answer without end: each answer ends, and others have their turn meanwhile."""

from __future__ import annotations

import asyncio
import gc
import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from aiohttp.base_protocol import BaseProtocol

from drumgw.gateway.connection_pool import ConnectionPool
from drumgw.gateway.discovery import MAX_LIST_BYTES, MAX_UNREAD_MS
from drumgw.gateway.exchange import Exchange
from drumgw.gateway.peer_connection import READ_BYTES, PeerConnection
from drumgw.gateway.peer_errors import CONNECTION_ERRORS
from drumgw.gateway.process_config import MAX_BODY_BYTES, MAX_FRAMING_BYTES, MAX_HEAD_BYTES
from drumgw.gateway.response_framing import MIN_FRAMING_PER_CHUNK, ResponseFramer
from drumgw.model.actions import AddToCounter
from tests.endless_server import Endless, EndlessServer
from tests.gateway_case import POST_TARGET, endpoint_row, list_response, raw_settings
from tests.race_case import RaceCase, wait_until
from tests.scripted_server import http_response

MAX_TURN_S = MAX_UNREAD_MS / 1000
"""Longer turns of the event loop would make the gateway read discovery's updates too late."""
KEEP_ALIVE_MS = 5000.0
ENDS_WITHIN_S = 2.0
MAX_COST_GROWTH = 64
"""For 16 times the bytes linear cost grows by 16, and quadratic cost by 256."""
SMALL_READ_BYTES = 1024
RUNS = 3


def max_response_bytes(max_body_bytes: int) -> int:
    """The most bytes of one response that a connection reads: heads, framing, body, and the last read."""
    body_bytes = (1 + MIN_FRAMING_PER_CHUNK) * max_body_bytes
    return 2 * MAX_HEAD_BYTES + MAX_FRAMING_BYTES + body_bytes + 2 * READ_BYTES


class TurnMeter:
    """Measures the processor time of this thread in each turn of the event loop.

    The garbage collector's time does not count: it is that of the objects of all tests.

    Attributes:
        longest_s: The longest turn.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._collector_s = 0.0
        self._collection_began_s = 0.0

    async def run(self) -> None:
        """Measures until it is cancelled."""
        gc.callbacks.append(self._note_collection)
        try:
            while True:
                began_s = self._own_time_s()
                await asyncio.sleep(0)
                self.longest_s = max(self.longest_s, self._own_time_s() - began_s)
        finally:
            gc.callbacks.remove(self._note_collection)

    def _own_time_s(self) -> float:
        return time.thread_time() - self._collector_s

    def _note_collection(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self._collection_began_s = time.thread_time()
        else:
            self._collector_s += time.thread_time() - self._collection_began_s


class EndlessResponseCase(RaceCase):
    """Measures the turns of the event loop, and the bytes that are read from peers."""

    def start_endless(self, endless: Endless, *responses: bytes) -> EndlessServer:
        server = EndlessServer(endless, *responses)
        self.addCleanup(server.close)
        return server

    @contextmanager
    def measured_turns(self) -> Iterator[None]:
        """Fails if a turn within the context is too long."""
        meter = TurnMeter()
        task = asyncio.create_task(meter.run())
        try:
            yield
        finally:
            task.cancel()
        self.assertLess(meter.longest_s, MAX_TURN_S)

    @contextmanager
    def count_received_bytes(self) -> Iterator[dict[PeerConnection, int]]:
        """Yields how many bytes each connection to a peer has read."""
        counts: dict[PeerConnection, int] = {}
        data_received = PeerConnection.data_received

        def count(connection: PeerConnection, data: bytes) -> None:
            counts[connection] = counts.get(connection, 0) + len(data)
            data_received(connection, data)

        with mock.patch.object(PeerConnection, "data_received", count):
            yield counts


class EndlessResponseTest(EndlessResponseCase):
    """Each kind of answer without end, on one connection."""

    async def exchange(self, pool: ConnectionPool, address: str) -> None:
        """Sends a request; only the peer that sends further answers has answered it."""
        request = b"GET / HTTP/1.1\r\n\r\n"
        await pool.send(pool.peer(address), lambda now_ms: request, Exchange())

    async def check_every_kind(self, connect_timeout_ms: float, max_body_bytes: int) -> None:
        gateway = await self.open_gateway()
        for endless in Endless:
            with self.subTest(endless=endless), self.count_received_bytes() as received:
                server = self.start_endless(endless)
                pool = ConnectionPool(4, KEEP_ALIVE_MS, connect_timeout_ms, gateway.clock, max_body_bytes)
                with self.measured_turns():
                    async with asyncio.timeout(ENDS_WITHIN_S):
                        try:
                            await self.exchange(pool, server.address)
                        except CONNECTION_ERRORS:
                            self.assertIsNot(endless, Endless.SURPLUS_ANSWERS)
                        while pool.connections or not server.ended.is_set():
                            await asyncio.sleep(0.001)
                self.assertLessEqual(max(received.values()), max_response_bytes(max_body_bytes))
                await pool.close()

    async def test_an_endless_response_ends_within_its_bound_and_leaves_turns_to_others(self) -> None:
        """Regression: one answer of endless 1xx heads held up the event loop for 2 s a turn."""
        await self.check_every_kind(250.0, MAX_BODY_BYTES)

    async def test_an_endless_list_of_discovery_ends_within_its_bound(self) -> None:
        await self.check_every_kind(1000.0, MAX_LIST_BYTES)

    async def test_many_endless_responses_at_once_leave_turns_to_others(self) -> None:
        gateway = await self.open_gateway()
        for endless in (Endless.INFORMATIONAL, Endless.SMALL_CHUNKS, Endless.CHUNK_EXTENSION):
            with self.subTest(endless=endless):
                server = self.start_endless(endless)
                pool = ConnectionPool(32, KEEP_ALIVE_MS, 250.0, gateway.clock)
                with self.measured_turns():
                    exchanges = [self.exchange(pool, server.address) for _ in range(32)]
                    results = await asyncio.gather(*exchanges, return_exceptions=True)
                for result in results:
                    self.assertIsInstance(result, CONNECTION_ERRORS)
                await pool.close()

    async def test_a_response_that_waits_for_its_turn_comes_whole(self) -> None:
        gateway = await self.open_gateway()
        endless = self.start_endless(Endless.SMALL_CHUNKS)
        body = bytes(range(256)) * (MAX_BODY_BYTES // 256)
        chunks = b"".join(b"%x\r\n%b\r\n" % (size, size * b"z") for size in (1, 4000, 16_000, 3, 40_000))
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
        for response, expected in ((http_response(body), body), (chunked, 60_004 * b"z")):
            pool = ConnectionPool(32, KEEP_ALIVE_MS, 2000.0, gateway.clock)
            server = await self.start_server(response)
            others = [asyncio.create_task(self.exchange(pool, endless.address)) for _ in range(16)]
            await wait_until(lambda: endless.endless_count)
            request = b"GET / HTTP/1.1\r\n\r\n"
            answer = await pool.send(pool.peer(server.address), lambda now_ms: request, Exchange())  # noqa: B023
            self.assertEqual(answer.body, expected)
            await asyncio.gather(*others, return_exceptions=True)
            await pool.close()


class EndlessPeersTest(EndlessResponseCase):
    """A gateway whose peers answer without end."""

    async def test_a_request_whose_endpoint_answers_without_end_fails_at_once(self) -> None:
        for endless in (Endless.INFORMATIONAL, Endless.EMPTY_LINES_AFTER_1XX, Endless.CHUNK_EXTENSION):
            with self.subTest(endless=endless):
                server = self.start_endless(endless)
                await self.open_gateway(server.address)
                with self.measured_turns():
                    self.assertEqual((await self.send_request(POST_TARGET, "POST", b"{}"))[0], 500)
                await self.close_gateway()

    async def test_requests_are_answered_while_discovery_answers_without_end(self) -> None:
        endpoint = await self.start_server(http_response(b"ok"))
        rows = list_response(endpoint_row("s-0", endpoint.address))
        for endless in (Endless.INFORMATIONAL, Endless.SMALL_CHUNKS, Endless.SURPLUS_ANSWERS):
            with self.subTest(endless=endless):
                server = self.start_endless(endless, rows)
                await self.open_gateway(endpoint.address)
                self.reload(discovery=server.address)
                with self.measured_turns():
                    await wait_until(lambda: server.endless_count > 2)  # noqa: B023
                    for number in range(20):
                        self.assertEqual((await self.send_request(Request_Id=f"{number}"))[0], 200)
                await self.close_gateway()

    async def test_calls_end_while_the_counter_answers_without_end(self) -> None:
        for endless in (Endless.INFORMATIONAL, Endless.SMALL_CHUNKS, Endless.HEADER):
            with self.subTest(endless=endless):
                server = self.start_endless(endless)
                family_info = {"counter": True, "countWaitMs": 80.0}
                settings = raw_settings(familyInfo=family_info)
                gateway = await self.open_gateway(settings=settings, counter=server.address)
                assert gateway.counter
                with self.measured_turns():
                    gateway.counter.call(AddToCounter(5, 1.0, 4000.0))
                    await wait_until(lambda: server.endless_count)  # noqa: B023
                    await wait_until(lambda: not gateway.counter.connections)  # type: ignore[union-attr]  # noqa: B023
                self.assertEqual(gateway.counter.calls_in_flight, 0)
                await self.close_gateway()


class FramingCostTest(unittest.IsolatedAsyncioTestCase):
    """The cost of a response is in proportion to its bytes, however small the reads are."""

    def processor_time_s(self, body_bytes: int) -> float:
        """Returns the least processor time of some runs."""
        loop = asyncio.get_running_loop()
        return min(self._frame_in_small_reads(body_bytes, loop) for _ in range(RUNS))

    def _frame_in_small_reads(self, body_bytes: int, loop: asyncio.AbstractEventLoop) -> float:
        framer = ResponseFramer(BaseProtocol(loop), loop, MAX_LIST_BYTES)
        framer.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % body_bytes)
        began_s = time.thread_time()
        for _ in range(0, body_bytes, SMALL_READ_BYTES):
            self.assertIsNone(framer.next_response())
            framer.feed(SMALL_READ_BYTES * b"y")
        self.assertIsNotNone(framer.next_response())
        return time.thread_time() - began_s

    async def test_a_body_in_small_reads_costs_linear_time(self) -> None:
        """Regression: each read copied all that had come before it."""
        small_s = self.processor_time_s(MAX_LIST_BYTES // 16)
        self.assertLess(self.processor_time_s(MAX_LIST_BYTES), MAX_COST_GROWTH * small_s)
