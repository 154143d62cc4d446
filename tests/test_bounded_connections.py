"""Tests of what a gateway keeps of the bytes that it reads, and for how long."""

from __future__ import annotations

import asyncio
import socket
from unittest import mock

from drumgw.gateway.client_connections import ClientConnection
from drumgw.gateway.peer_connection import PeerConnection
from drumgw.gateway.process_config import MAX_BODY_BYTES, MAX_FRAMING_BYTES, MAX_HEAD_BYTES, ConfigError
from drumgw.gateway.receive_budget import MAX_CONNECTION_BYTES
from tests.flood_case import FloodCase
from tests.flood_clients import ANSWERED_FLOODS, Flood, blocks
from tests.gateway_case import (
    POST_TARGET,
    http_request,
    load_config,
    raw_config,
)
from tests.live_objects import LiveObjects, stop_garbage_collector
from tests.race_case import RaceCase, wait_until
from tests.scripted_server import http_response, read_message

MEMORY_LIMIT_MB = 192
"""The largest memory limit that the operators name for a gateway."""
FLOODING_CLIENTS = 4
ENDLESS_FLOODS = {
    Flood.PIPELINE,
    Flood.UNREAD_PIPELINE,
    Flood.LARGE_PIPELINE,
    Flood.NEW_CUSTOMERS,
    *ANSWERED_FLOODS,
}
"""Their clients are served for as long as they send."""
FLOOD_S = 3.0


class FloodTest(FloodCase):
    """A gateway process while misbehaving clients send at full speed."""

    async def most_mb_under(self, flood: Flood) -> float:
        """Returns the most memory of a gateway, without that of files, while clients flood it."""
        address = await self.start_gateway(MEMORY_LIMIT_MB)
        result = await self.flood(address, flood, FLOODING_CLIENTS, FLOOD_S, "RssAnon")
        self.assertEqual(await self.stop_gateway(), 0)
        return result.most_mb

    async def test_floods_do_not_take_a_gateway_over_its_memory_limit(self) -> None:
        """Regression: four clients with heads that never end took each gateway over 192 MB within 2 s."""
        for flood in (Flood.HEADER, Flood.HEADERS, Flood.BODY, Flood.TRAILERS, Flood.LARGE_PIPELINE):
            with self.subTest(flood=flood):
                self.assertLess(await self.most_mb_under(flood), MEMORY_LIMIT_MB)


class FreedConnectionsTest(RaceCase):
    """What was received is freed when its connection ends, not when the garbage collector runs."""

    def setUp(self) -> None:
        stop_garbage_collector(self)

    async def send_until_closed(self, flood: Flood) -> None:
        """Sends until the gateway reads no more, and closes the connection."""
        connection = self.open_client()
        server = self.gateway.http_server.server
        await wait_until(lambda: server.connections)
        connection.sock.setblocking(False)
        for block in blocks(flood):
            try:
                await asyncio.wait_for(asyncio.get_running_loop().sock_sendall(connection.sock, block), 0.1)
            except (TimeoutError, ConnectionError):
                break
        connection.close()
        await wait_until(lambda: not server.connections)

    async def test_a_client_connection_that_ends_with_an_error_is_freed_at_once(self) -> None:
        """Regression: the error of a head that never ends kept 1 MB of each connection in a cycle."""
        await self.open_gateway()
        connections = LiveObjects(ClientConnection)
        for flood in set(Flood) - ENDLESS_FLOODS:
            with self.subTest(flood=flood):
                await self.send_until_closed(flood)
                await wait_until(lambda: not connections.count())

    async def test_an_endpoint_connection_that_ends_is_freed_at_once(self) -> None:
        """Its parsers hold the last head, and what came of an incomplete body."""
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n" + 0x8000 * b"x"
        responses = (
            http_response(b"ok", Connection="close"),
            b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + 50_000 * b"x",
            chunked + b"\r\n7",
            chunked + b"\r\nnoise",
        )
        for response in responses:
            with self.subTest(response=response[:60]):
                endpoint = await self.start_server(response)
                await self.open_gateway(endpoint.address)
                pool_connections = self.gateway.endpoint_clients.pool.connections
                connections = LiveObjects(
                    PeerConnection,
                    lambda connection: connection._open_connections is pool_connections,  # noqa: B023
                )
                await self.send_request()
                await wait_until(lambda: not connections.count())  # noqa: B023
                await self.close_gateway()


class RequestSizeTest(RaceCase):
    """Limits on heads and on the framing of bodies."""

    async def statuses_of(self, pieces: tuple[bytes, ...], count: int) -> list[bytes]:
        """Sends the pieces one by one, and returns the statuses of as many responses."""
        reader, writer = await self.connect()
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.02)
        async with asyncio.timeout(5):
            heads = [(await read_message(reader))[0] for _ in range(count)]
        return [head.split()[1] for head in heads]

    async def status_of(self, *pieces: bytes) -> bytes:
        """Sends the pieces one by one, and returns the status of the response."""
        return (await self.statuses_of(pieces, 1))[0]

    async def test_the_size_of_a_head_is_limited_however_it_arrives(self) -> None:
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)

        def head_of(byte_count: int, request_id: str) -> bytes:
            def head_with(rest: str) -> bytes:
                large = 6000 * "y"
                return http_request(X_Note=large, X_More=large, X_Rest=rest, Request_Id=request_id)

            return head_with((byte_count - len(head_with(""))) * "y")

        for byte_count, status in ((MAX_HEAD_BYTES, b"200"), (MAX_HEAD_BYTES + 1, b"431")):
            self.assertEqual(await self.status_of(head_of(byte_count, "whole")), status)
            head = head_of(byte_count, "pieces")
            self.assertEqual(await self.status_of(head[:5000], head[5000:10_000], head[10_000:]), status)
        too_large = head_of(MAX_HEAD_BYTES + 1, "incomplete")
        self.assertEqual(await self.status_of(too_large[:-2] + b"X-Last: y"), b"431")
        self.assertEqual(len(endpoint.requests), 2)

    async def test_a_pipelined_head_over_the_limit_is_rejected_after_the_responses_before_it(self) -> None:
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        connection = self.open_client()
        connection.write(
            http_request() + http_request(X_Note=8000 * "y", X_More=8000 * "y", X_Rest=999 * "y")
        )
        answers = await connection.read_to_end()
        self.assertEqual(
            [line.split()[1] for line in answers.split(b"\r\n") if b"HTTP/1.1" in line], [b"200", b"431"]
        )

    async def test_requests_behind_an_offer_to_upgrade_are_answered_like_others(self) -> None:
        """Regression: a large body behind an offer to upgrade was taken for a head, and rejected with 431."""
        endpoint = await self.start_server(http_response(b"ok"))
        offers = [
            http_request(Connection="Upgrade", Upgrade="websocket", Request_Id=f"{n}") for n in range(100)
        ]
        post = http_request(POST_TARGET, "POST", 50_000 * b"y", Request_Id="post")
        next_post = http_request(POST_TARGET, "POST", 50_000 * b"y", Request_Id="next-post")
        too_large = http_request(X_Note=8000 * "y", X_More=8000 * "y", X_Rest=999 * "y")
        ok = b"200"
        for pieces, statuses in (
            ((offers[0], post), [ok, ok]),
            ((offers[0] + post[:500], post[500:20_000], post[20_000:]), [ok, ok]),
            ((offers[0] + post + next_post[:500], next_post[500:]), [ok, ok, ok]),
            ((b"".join(offers),), 100 * [ok]),
            ((offers[0] + b"noise\r\n\r\n",), [ok, b"400"]),
            ((offers[0] + too_large,), [ok, b"431"]),
            ((offers[0] + too_large[:500], too_large[500:12_000], too_large[12_000:-2]), [ok, b"431"]),
        ):
            with self.subTest(pieces=[len(piece) for piece in pieces], statuses=statuses[:3]):
                await self.open_gateway(endpoint.address)  # it has not seen the ids
                self.assertEqual(await self.statuses_of(pieces, len(statuses)), statuses)
                await self.close_gateway()

    async def test_a_body_may_come_in_small_chunks_but_not_with_endless_framing(self) -> None:
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        heads = [http_request(POST_TARGET, "POST", Transfer_Encoding="chunked") for _ in range(3)]
        small_chunks = 2000 * b"1\r\ny\r\n" + b"0\r\nX-Note: 1\r\n\r\n"
        self.assertEqual(await self.status_of(heads[0], small_chunks), b"200")
        self.assertEqual(endpoint.requests[0][1], 2000 * b"y")
        large_chunks = 16 * (b"1000\r\n" + 4096 * b"y" + b"\r\n") + b"0\r\n\r\n"
        self.assertEqual(await self.status_of(heads[1], large_chunks), b"200")
        self.assertEqual(len(endpoint.requests[1][1]), MAX_BODY_BYTES)
        self.assertEqual(await self.status_of(heads[2], b"1;" + 2 * MAX_FRAMING_BYTES * b"x"), b"413")

    async def test_malformed_chunks_get_their_error_at_once(self) -> None:
        await self.open_gateway()
        head = http_request(POST_TARGET, "POST", Transfer_Encoding="chunked")
        self.assertEqual(await self.status_of(head, b"5\r\nhello\r\nnoise\r\n"), b"400")


class SharedBudgetTest(RaceCase):
    """The limit on the bytes of all connections together."""

    async def test_large_partial_requests_give_way_to_others(self) -> None:
        """With 1 MB of memory for the process, 128 KB are for requests: two of 60 KB and a short one."""
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address, limits={"sockets": 1024, "memory_mb": 1})
        connections = [self.open_client() for _ in range(6)]
        for connection in connections:
            connection.write(http_request(POST_TARGET, "POST", 60_000 * b"y")[:-1])
        self.assertEqual((await self.send_request(Request_Id="1"))[0], 200)
        rejected = 0
        for connection in connections:
            connection.sock.setblocking(False)
            try:
                answer = await asyncio.wait_for(connection.read(b"\r\n\r\n"), 0.2)
            except TimeoutError:
                continue
            self.assertEqual(answer.split()[1], b"503")
            rejected += 1
        self.assertGreaterEqual(rejected, 4)
        self.assertEqual(len(endpoint.requests), 1)

    async def test_pipelined_requests_beyond_the_limit_wait_and_are_all_answered(self) -> None:
        """Requests of 60 KB, with a limit for the process below two of them."""
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address, limits={"sockets": 1024, "memory_mb": 0.5})
        reader, writer = await self.connect()
        count = 20
        for number in range(count):
            writer.write(http_request(POST_TARGET, "POST", 50_000 * b"y", Request_Id=f"{number}"))
        async with asyncio.timeout(10):
            for _ in range(count):
                self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
                await reader.readexactly(2)
        self.assertEqual(len(endpoint.requests), count)

    async def test_requests_behind_one_in_flight_are_read_up_to_the_limit_of_their_connection(self) -> None:
        endpoint = await self.start_server(None)
        await self.open_gateway(endpoint.address)
        connection = self.open_client()
        connection.sock.setblocking(False)
        requests = 50 * b"".join(http_request(Request_Id=f"{n}", X_Note=4000 * "y") for n in range(100))
        with self.assertRaises(TimeoutError):  # the gateway stops reading
            await asyncio.wait_for(asyncio.get_running_loop().sock_sendall(connection.sock, requests), 1)
        (client,) = self.gateway.http_server.server.connections
        assert isinstance(client, ClientConnection)
        self.assertLess(client.unanswered_bytes, 2 * MAX_CONNECTION_BYTES)

    async def test_a_client_that_reads_no_responses_is_not_served_on(self) -> None:
        """Each response has 60 KB: without a limit they would pile up in the write buffer."""
        endpoint = await self.start_server(http_response(60_000 * b"x"))
        await self.open_gateway(endpoint.address)
        connection = self.open_client()
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.write(b"".join(http_request(Request_Id=f"{n}") for n in range(500)))
        limits = self.gateway.http_server.limits
        with mock.patch("drumgw.gateway.connection_limits.CLIENT_IDLE_TIMEOUT_MS", 300.0):
            await wait_until(lambda: endpoint.requests and not limits.count())
        self.assertLess(len(endpoint.requests), 400)

    def test_the_memory_limit_must_be_a_positive_number(self) -> None:
        for memory_mb in (-1, float("inf"), float("nan"), "much"):
            with self.assertRaises(ConfigError):
                load_config(raw_config("127.0.0.1:1", [], limits={"memory_mb": memory_mb}))
        without = load_config(raw_config("127.0.0.1:1", [], limits={}))
        self.assertGreater(without.memory.unanswered_bytes, MAX_HEAD_BYTES + MAX_BODY_BYTES)
