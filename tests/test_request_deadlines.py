"""The time that endpoints are told if requests are read, handled or sent late.

A client's time counts from the arrival of its request's last byte.
"""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable
from typing import Any, NamedTuple
from unittest import mock

from drumgw.gateway.client_connections import ClientConnection, ConnectionState
from drumgw.gateway.commands import StartAttempt
from drumgw.gateway.request_parsing import ClientRequest
from drumgw.gateway.tcp_info import receive_ages
from tests.gateway_case import POST_TARGET, http_request, load_config
from tests.race_case import RaceCase, ScriptedConnection, wait_until
from tests.request_delays import parse_slowly
from tests.scripted_server import ScriptedServer, http_response

TOLD_SLACK_MS = 150.0
"""The pages' slack for the time that an attempt tells its endpoint."""
STALL_S = 0.6
TIMEOUT_MS = 2000.0
BODY_REQUEST_ID = "with-body"
REQUEST_WITH_BODY = http_request(
    POST_TARGET, "POST", b"body", Request_Timeout=f"{TIMEOUT_MS:.0f}m", Request_Id=BODY_REQUEST_ID
)


class DeadlineCase(RaceCase):
    """A gateway whose attempts are recorded.

    Attributes:
        deadlines_ms: By request id: the deadline of its latest attempt; the endpoint is told the time left.
        sent_at_ms: By request id: when the client sent the last byte.
    """

    async def open_recording_gateway(self, response_delay_s: float = 0.0) -> None:
        """Opens a gateway with one endpoint, which responds after the delay."""

        async def respond(head: bytes, body: bytes) -> bytes:
            await asyncio.sleep(response_delay_s)
            return http_response(b"ok")

        self.deadlines_ms: dict[str, float] = {}
        self.sent_at_ms: dict[str, float] = {}
        self.sent_count = 0
        gateway = await self.open_gateway((await self.start_server(respond)).address)
        start_attempt = gateway.endpoint_clients.start_attempt

        def record_attempt(command: StartAttempt, request: ClientRequest) -> None:
            request_id = re.search(rb"Request-Id: (\S+)", request.head)
            assert request_id
            self.deadlines_ms[request_id[1].decode()] = command.deadline_ms
            start_attempt(command, request)

        self.enterContext(mock.patch.object(gateway.endpoint_clients, "start_attempt", record_attempt))

    def send(self, connection: ScriptedConnection, *request_ids: str, timeout_ms: float = TIMEOUT_MS) -> None:
        """Sends requests whose bytes arrive before the event loop runs again."""
        self.send_bytes(
            connection,
            b"".join(
                http_request(Request_Id=name, Request_Timeout=f"{timeout_ms:.0f}m") for name in request_ids
            ),
            *request_ids,
        )

    def send_bytes(self, connection: ScriptedConnection, data: bytes, *request_ids: str) -> None:
        """Sends bytes that complete these requests."""
        for request_id in request_ids:
            self.sent_at_ms[request_id] = self.gateway.clock.now()
        self.sent_count += len(request_ids)
        connection.write(data)

    async def send_in_pieces(self, connection: ScriptedConnection, pause_s: float) -> None:
        """Sends a request with a body, the end of the body after a pause."""
        connection.write(REQUEST_WITH_BODY[:-2])
        await asyncio.sleep(pause_s)
        self.send_bytes(connection, REQUEST_WITH_BODY[-2:], BODY_REQUEST_ID)

    async def assert_deadlines_count_from_arrival(self, timeout_ms: float = TIMEOUT_MS) -> None:
        """Waits for all responses, and checks the attempts; a few requests may have been rejected."""
        lifecycle = self.gateway.dispatcher.lifecycle
        await wait_until(lambda: lifecycle.received_count == self.sent_count and not lifecycle.in_flight)
        self.assertGreater(len(self.deadlines_ms), len(self.sent_at_ms) // 4)
        for request_id, deadline_ms in self.deadlines_ms.items():
            latest_ms = self.sent_at_ms[request_id] + timeout_ms + TOLD_SLACK_MS
            self.assertLessEqual(deadline_ms, latest_ms, request_id)

    def assert_whole_time_is_left(self) -> None:
        """Checks that no attempt's deadline is earlier than that of its client."""
        for request_id, deadline_ms in self.deadlines_ms.items():
            earliest_ms = self.sent_at_ms[request_id] + TIMEOUT_MS - TOLD_SLACK_MS
            self.assertGreater(deadline_ms, earliest_ms, request_id)


class QueuedRequestTest(DeadlineCase):
    """Requests that wait on their connection for the response to an earlier one."""

    async def test_time_of_pipelined_request_counts_from_its_arrival(self) -> None:
        """Otherwise the time for which the first request is in flight is given to the second once more."""
        await self.open_recording_gateway(response_delay_s=0.3)
        self.send(self.open_client(), "1", "2")
        await self.assert_deadlines_count_from_arrival()

    async def test_time_of_request_that_the_parser_holds_back_counts_from_its_arrival(self) -> None:
        """At most 32 requests are parsed ahead, the others when earlier ones have their responses."""
        await self.open_recording_gateway(response_delay_s=0.02)
        self.send(self.open_client(), *map(str, range(40)), timeout_ms=4000.0)
        await self.assert_deadlines_count_from_arrival(timeout_ms=4000.0)
        self.assertEqual(len(self.deadlines_ms), 40)

    async def test_time_of_request_in_pieces_counts_from_its_last_byte(self) -> None:
        await self.open_recording_gateway()
        await self.send_in_pieces(self.open_client(), pause_s=0.3)
        await self.assert_deadlines_count_from_arrival()
        self.assert_whole_time_is_left()


class StallTest(DeadlineCase):
    """Requests that arrive while the process is stalled, or that are read late for another reason."""

    async def open_stalling_gateway(self) -> ScriptedConnection:
        """Opens a gateway, and returns an idle connection to it."""
        await self.open_recording_gateway()
        return await self.open_idle_connection()

    async def open_idle_connection(self) -> ScriptedConnection:
        """Opens a connection, and sends a request on it that later checks ignore."""
        connection = self.open_client()
        request_id = f"first-{self.sent_count}"
        self.send(connection, request_id)
        await connection.read(b"ok")
        del self.sent_at_ms[request_id], self.deadlines_ms[request_id]
        return connection

    async def test_requests_on_old_and_new_connections_that_take_long_to_read(self) -> None:
        """The listener accepts one connection an iteration, so the last request is read long after the stall.

        Guards against a limit on how long after a stall requests are taken for old ones.
        """
        await self.open_stalling_gateway()
        old = [await self.open_idle_connection() for n in range(20)]
        with parse_slowly(0.004):
            for n, connection in enumerate(old):
                self.send(connection, f"old{n}")
            for n in range(40):
                self.send(self.open_client(), f"new{n}")
            time.sleep(STALL_S)
            await self.assert_deadlines_count_from_arrival()

    async def test_requests_that_arrive_after_a_stall_keep_their_time(self) -> None:
        """Guards against deducting a stall from requests that did not wait for its end."""
        idle = await self.open_stalling_gateway()
        time.sleep(STALL_S)
        self.send(idle, "old")
        self.send(self.open_client(), "new")
        await self.assert_deadlines_count_from_arrival()
        self.assert_whole_time_is_left()

    async def test_connections_that_wait_to_be_accepted_without_a_stall(self) -> None:
        """The loop is busy, but runs its heartbeat; each iteration accepts one of the connections."""
        await self.open_stalling_gateway()
        with parse_slowly(0.02):
            for n in range(20):
                self.send(self.open_client(), str(n))
            await self.assert_deadlines_count_from_arrival()

    async def test_pipelined_requests_of_which_only_the_last_came_late(self) -> None:
        """The kernel tells when the last of the bytes arrived, which is not the age of the first request."""
        connections = [await self.open_stalling_gateway(), self.open_client()]
        for n, connection in enumerate(connections):
            self.send(connection, f"first{n}")
        time.sleep(STALL_S)
        for n, connection in enumerate(connections):
            self.send(connection, f"second{n}")
        await self.assert_deadlines_count_from_arrival()

    async def test_request_with_a_part_of_the_next_one_that_came_late(self) -> None:
        """The last byte that was read is not the last byte of the request."""
        connections = [await self.open_stalling_gateway(), self.open_client()]
        for n, connection in enumerate(connections):
            self.send(connection, str(n))
        time.sleep(STALL_S)
        for connection in connections:
            connection.write(b"GET /a")
        await self.assert_deadlines_count_from_arrival()

    async def test_request_in_pieces_of_which_the_last_came_before_the_stall_ended(self) -> None:
        connection = await self.open_stalling_gateway()
        await self.send_in_pieces(connection, pause_s=0.05)
        time.sleep(STALL_S)
        await self.assert_deadlines_count_from_arrival()

    async def test_without_the_kernels_record(self) -> None:
        """Then a request counts as old as it can be."""
        idle = await self.open_stalling_gateway()
        with mock.patch.object(receive_ages, "read_ms", return_value=None):
            self.send(idle, "old")
            for n in range(10):
                self.send(self.open_client(), f"new{n}")
            time.sleep(STALL_S)
            await self.assert_deadlines_count_from_arrival()

    async def test_without_the_kernels_record_time_is_whole_again_soon_after_a_stall(self) -> None:
        """Once the loop has polled its sockets again, what is read from an old connection is new."""
        idle = await self.open_stalling_gateway()
        with mock.patch.object(receive_ages, "read_ms", return_value=None):
            time.sleep(STALL_S)
            await asyncio.sleep(0.02)
            self.send(idle, "old")
            await self.assert_deadlines_count_from_arrival()
        self.assert_whole_time_is_left()

    async def test_connection_that_was_not_read_for_a_while(self) -> None:
        """Reading is paused while a connection's requests use up their memory; there is no stall."""
        for has_record in (True, False):
            idle = await self.open_stalling_gateway()
            (client,) = self.gateway.http_server.limits.connections[ConnectionState.IDLE]
            assert isinstance(client, ClientConnection)
            client._pause_transport_reading()
            self.send(idle, "paused")
            await asyncio.sleep(STALL_S)
            with mock.patch.object(
                receive_ages, "read_ms", receive_ages.read_ms if has_record else lambda sock: None
            ):
                client._resume_transport_reading()
                await self.assert_deadlines_count_from_arrival()
            await self.close_gateway()

    async def test_stall_between_reading_and_handling_a_request(self) -> None:
        connection = await self.open_stalling_gateway()
        with parse_slowly(STALL_S):
            self.send(connection, "1")
            await self.assert_deadlines_count_from_arrival()

    async def test_stalls_during_reload_start_and_shutdown(self) -> None:
        def reload() -> None:
            def read_config() -> Any:
                time.sleep(STALL_S)
                return load_config(self.raw_config)

            self.gateway.reload(read_config)

        def shut_down() -> None:
            shutdowns.append(asyncio.create_task(self.gateway.close()))
            time.sleep(STALL_S)

        def start() -> None:
            time.sleep(STALL_S)

        shutdowns = list[asyncio.Task[None]]()
        stalls: tuple[Callable[[], None], ...] = (start, reload, shut_down)
        for stall in stalls:
            with self.subTest(stall.__name__):
                await self.open_recording_gateway()
                connections = [self.open_client()]
                if stall is not start:
                    connections.append(await self.open_idle_connection())
                for n, connection in enumerate(connections):
                    self.send(connection, str(n))
                stall()
                await self.assert_deadlines_count_from_arrival()
                await asyncio.gather(*shutdowns)
                if stall is not shut_down:
                    await self.close_gateway()


class ToldTimeout(NamedTuple):
    """What an endpoint was told by an attempt, and when it read that."""

    timeout_ms: float
    read_at_ms: float


class SlowConnectionTest(RaceCase):
    """The time that an endpoint is told if its connection opens late."""

    async def start_endpoint(self, response: bytes, delay_s: float = 0.0) -> ScriptedServer:
        """Starts an endpoint that records what it is told."""

        async def respond(head: bytes, body: bytes) -> bytes:
            timeout = re.search(rb"Request-Timeout: (\d+)m", head)
            assert timeout
            self.told.append(ToldTimeout(float(timeout[1]), self.gateway.clock.now()))
            await asyncio.sleep(delay_s)
            return response

        return await self.start_server(respond)

    async def asyncSetUp(self) -> None:
        self.told: list[ToldTimeout] = []

    def assert_told_at_most_what_was_left(self, sent_at_ms: float) -> None:
        for told in self.told:
            left_ms = sent_at_ms + TIMEOUT_MS - told.read_at_ms
            self.assertLessEqual(told.timeout_ms, left_ms + TOLD_SLACK_MS)

    async def test_first_attempt(self) -> None:
        """Guards against reading the clock before the connection is open."""
        endpoint = await self.start_endpoint(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        connection, sent_at_ms = self.open_client(), self.gateway.clock.now()
        with self.hold_connections(lambda request: True) as release:
            connection.write(http_request(Request_Timeout=f"{TIMEOUT_MS:.0f}m"))
            await asyncio.sleep(0.5)
            release.set()
            await connection.read(b"ok")
        self.assert_told_at_most_what_was_left(sent_at_ms)

    async def test_further_attempt(self) -> None:
        """The first endpoint rejects the request after a while, and the connection to the next opens late."""
        rejection = http_response(status=503, Not_Started="1")
        endpoints = [await self.start_endpoint(rejection, delay_s=0.3) for _ in range(2)]
        await self.open_gateway(*(endpoint.address for endpoint in endpoints))
        connection, sent_at_ms = self.open_client(), self.gateway.clock.now()
        with self.hold_connections(lambda request: bool(self.told)) as release:
            connection.write(http_request(Request_Timeout=f"{TIMEOUT_MS:.0f}m"))
            await asyncio.sleep(0.8)
            release.set()
            await connection.read(b"\r\n\r\n")
        self.assertEqual(len(self.told), 2)
        self.assert_told_at_most_what_was_left(sent_at_ms)

    async def test_nothing_is_sent_after_the_deadline(self) -> None:
        """The connection opens during a stall in which the client's time is up; nothing may have run."""
        endpoint = await self.start_endpoint(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        connection = self.open_client()
        with self.hold_connections(lambda request: True) as release:
            connection.write(http_request(Request_Timeout="200m"))
            await wait_until(lambda: endpoint.connections)
            release.set()
            time.sleep(STALL_S)
            self.assertIn(b" 503 ", await connection.read(b"\r\n\r\n"))
        await asyncio.sleep(0.05)
        self.assertEqual(self.told, [])
