"""Races on client connections: bytes that arrive during a close or shutdown, clients that disconnect."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Any
from unittest import mock

from drumgw.gateway.client_connections import ClientConnection, ConnectionState
from drumgw.gateway.http_headers import HEAD_END
from drumgw.gateway.http_server import RECEIVE_BUFFER_BYTES
from drumgw.gateway.responses import CompleteResponse
from tests.gateway_case import (
    POST_TARGET,
    http_request,
    raw_settings,
)
from tests.race_case import (
    LARGE,
    TIMEOUT_S,
    RaceCase,
    ScriptedConnection,
    wait_until,
)
from tests.scripted_server import ScriptedServer, http_response
from tests.test_simulator import REQUEST_CLASS


class ConnectionClosingTest(RaceCase):
    """Bytes that arrive while the gateway closes a connection."""

    async def open_idle_connection(self) -> tuple[ScriptedServer, ScriptedConnection]:
        """Opens a gateway; returns its endpoint and a client connection that is idle after one request."""
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        connection = self.open_client()
        connection.write(http_request())
        await connection.read(b"ok")
        await wait_until(lambda: self.gateway.http_server.limits.connections[ConnectionState.IDLE])
        return endpoint, connection

    async def test_unread_request_is_served_when_idle_connections_are_closed(self) -> None:
        endpoint, connection = await self.open_idle_connection()
        connection.write(http_request(Request_Id="9b20"))
        self.gateway.http_server.withdraw_readiness()
        self.assertEqual(self.gateway.http_server.close_idle(), 1)
        self.assertIn(b"Connection: close", await connection.read(b"ok"))
        self.assertEqual((await connection.read_to_end(), len(endpoint.requests)), (b"", 2))

    async def test_request_that_arrives_after_the_shutdown_is_not_read(self) -> None:
        """The client gets neither a response nor a reset but an end of stream, and can send it again."""
        endpoint, connection = await self.open_idle_connection()
        with mock.patch("drumgw.gateway.connection_limits.CLOSING_TIMEOUT_MS", 1e9):
            self.assertEqual(self.gateway.http_server.close_idle(), 0)
            connection.write(http_request(Request_Id="9b20"))
            self.assertEqual(await connection.read_to_end(), b"")
            await asyncio.sleep(0.02)
            (client,) = self.gateway.http_server.limits.connections[ConnectionState.CLOSING]
            self.assertTrue(client.has_unread_data())  # the request stays in the socket
            connection.close()
            await wait_until(lambda: not self.gateway.http_server.limits.count())
        self.assertEqual((len(endpoint.requests), self.gateway.dispatcher.lifecycle.received_count), (1, 1))

    async def test_long_last_response_is_complete_despite_unread_bytes(self) -> None:
        """Closing a socket with unread bytes sends a reset, which would truncate the response."""
        endpoint = await self.start_server(http_response(LARGE))
        await self.open_gateway(endpoint.address)
        connection = ScriptedConnection(socket.socket())
        self.addCleanup(connection.sock.close)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.sock.setblocking(True)
        connection.sock.connect(self.listen_address)
        connection.sock.setblocking(False)
        self.gateway.http_server.withdraw_readiness()
        prepare = CompleteResponse.prepare

        async def prepare_with_unread_bytes(response: CompleteResponse, request: Any) -> None:
            sock = request.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await prepare(response, request)
            connection.write(b"GET /a?acc")

        with mock.patch.object(CompleteResponse, "prepare", prepare_with_unread_bytes):
            connection.write(http_request())
            received = await connection.read(b"\r\n\r\n")
            await asyncio.sleep(0.02)
            received += await connection.read_to_end()
        received = received.partition(b"\r\n\r\n")[2]
        self.assertEqual((received.count(b"x"), b"(reset)" in received), (len(LARGE), False))

    async def test_pipelined_requests_are_both_answered_at_shutdown(self) -> None:
        """A request that was read must not be dropped."""
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        connection = self.open_client()
        self.gateway.http_server.withdraw_readiness()
        connection.write(http_request() + http_request(Request_Id="9b20"))
        received = await connection.read_to_end()
        counts = received.count(b"200 OK"), received.count(b"Connection: close"), len(endpoint.requests)
        self.assertEqual(counts, (2, 1, 2))

    async def test_incomplete_request_is_not_forwarded_at_shutdown(self) -> None:
        """The rest could arrive after the shutdown. If it is already in the socket, the request is served."""
        request = http_request(POST_TARGET, "POST", b"{}", Request_Timeout="60000m")
        for cut in (10, len(request) - 1):
            for rest in (False, True):
                endpoint = await self.start_server(http_response(b"ok"))
                await self.open_gateway(endpoint.address)
                connection = self.open_client()
                connection.write(request[:cut])
                await wait_until(
                    lambda: any(
                        c._messages or c._current_request or c._parser is not None
                        for c in self.gateway.http_server.server.connections
                    )
                )
                await asyncio.sleep(0.01)
                if rest:
                    connection.write(request[cut:])
                with (
                    mock.patch("drumgw.gateway.process.SHUTDOWN_LINGER_MS", 0.0),
                    mock.patch("asyncio.sleep", self.skip_first_sleep()),
                ):
                    await self.gateway.close()
                received = await connection.read_to_end()
                self.assertEqual(
                    (b"200 OK" in received, len(endpoint.requests)), (rest, int(rest)), (cut, rest)
                )

    def skip_first_sleep(self) -> Any:
        """Skips the wait between SIGTERM and the shutdown, so that the event loop reads nothing during it."""
        sleep, is_first_call = asyncio.sleep, [True]

        async def sleep_unless_first(seconds: float, *arguments: Any) -> None:
            if is_first_call and is_first_call.pop():
                return
            await sleep(seconds, *arguments)

        return sleep_unless_first

    async def test_clients_that_never_close_do_not_delay_shutdown(self) -> None:
        _, connection = await self.open_idle_connection()
        silent = self.open_client()
        await wait_until(lambda: self.gateway.http_server.limits.connections[ConnectionState.NEW])
        with mock.patch("drumgw.gateway.process.SHUTDOWN_LINGER_MS", 0.0):
            async with asyncio.timeout(TIMEOUT_S):
                await self.gateway.close()
        self.assertEqual(
            (
                self.gateway.http_server.limits.count(),
                await connection.read_to_end(),
                await silent.read_to_end(),
            ),
            (0, b"", b""),
        )


class ConnectionLimitTest(RaceCase):
    """A gateway with six client connections."""

    async def test_connections_whose_request_was_read_are_not_closed_for_new_ones(self) -> None:
        """Regression: at the limit the oldest new connection was closed, though its request had been read."""
        endpoint = await self.start_server(http_response(b"ok"))
        gateway = await self.open_gateway(endpoint.address, limits={"sockets": 34})
        kept = [self.open_client() for _ in range(6)]
        for connection in kept[:3]:  # the second requests of these are held, and the first of the others
            connection.write(http_request())
            await connection.read(HEAD_END)
        release = asyncio.Event()
        serve = gateway.http_server.serve
        held: list[str] = []

        async def hold(request: Any, target: str, client: Any) -> Any:
            held.append(target)
            await release.wait()
            return await serve(request, target, client)

        with mock.patch.object(gateway.http_server, "serve", hold):
            for connection in kept:
                connection.write(http_request())
            await wait_until(lambda: len(held) == len(kept))
            for _ in range(20):
                surplus = self.open_client()
                self.assertEqual(await surplus.read_to_end(), b"(reset)")
            release.set()
            for connection in kept:
                self.assertRegex(await connection.read(HEAD_END), b"HTTP/1.1 (200|503)")

    async def test_a_response_on_its_way_is_not_lost_when_its_connection_gives_way(self) -> None:
        """Regression: the reset of an idle connection discarded what the system had not sent yet."""
        endpoint = await self.start_server(http_response(LARGE))
        gateway = await self.open_gateway(endpoint.address, limits={"sockets": 34})
        slow = socket.socket()
        self.addCleanup(slow.close)
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.connect(self.listen_address)
        client = ScriptedConnection(slow)
        client.write(http_request())
        limits = gateway.http_server.limits
        await wait_until(lambda: limits.connections[ConnectionState.IDLE])
        (idle,) = limits.connections[ConnectionState.IDLE]
        await wait_until(lambda: not idle.has_unsent_data())  # the system has it all
        with (
            mock.patch.object(limits, "count", return_value=gateway.config.max_client_connections),
            mock.patch.object(limits, "select_for_closing", return_value=idle),
        ):
            self.open_client()
            await wait_until(lambda: idle not in limits.connections[ConnectionState.IDLE])
        self.assertEqual((await client.read_to_end()).count(b"x"), len(LARGE))

    async def test_new_connections_without_a_whole_request_give_way_to_others(self) -> None:
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address, limits={"sockets": 34})
        complete_bytes = len(http_request(POST_TARGET, "POST", b"{}"))
        for sent_bytes in (0, complete_bytes - 9, complete_bytes - 1):
            partial = [self.open_client() for _ in range(6)]
            for connection in partial:
                connection.write(http_request(POST_TARGET, "POST", b"{}")[:sent_bytes])
            await asyncio.sleep(0.15)  # the event loop has had time to read them
            for _ in range(6):
                other = self.open_client()
                other.write(http_request())
                self.assertRegex(await other.read(HEAD_END), b"HTTP/1.1 (200|503)")
                other.close()
            self.assertEqual(await partial[0].read_to_end(), b"(reset)")
            for connection in partial:
                connection.close()
            await wait_until(lambda: not self.gateway.http_server.limits.count())


class ClientDisconnectTest(RaceCase):
    """A client that disconnects while its request waits: no more is sent, its resources are released."""

    def is_everything_released(self) -> bool:
        """Returns whether no request has quota, in-flight slots, attempts, deadlines or request ids."""
        dispatcher, policy = self.gateway.dispatcher, self.gateway.dispatcher.lifecycle.policy
        has_requests = policy.pending or policy.back_end.limit.in_flight  # type: ignore[attr-defined]
        has_requests = has_requests or policy.back_end.endpoints.with_attempts  # type: ignore[attr-defined]
        has_attempts = any(account.attempts_in_flight for account in policy.accounts.values())  # type: ignore[attr-defined]
        return not (
            has_requests
            or has_attempts
            or dispatcher.lifecycle.in_flight
            or dispatcher.pending_requests
            or dispatcher.request_deadlines
            or self.gateway.http_server.request_ids.in_flight
        )

    async def test_while_waiting_for_an_endpoint_connection(self) -> None:
        for cancel in (True, False):  # an unsent attempt ends even without cancellation
            for reset in (False, True):
                endpoint = await self.start_server(http_response(b"ok"))
                await self.open_gateway(
                    endpoint.address,
                    settings=raw_settings(ceilings={**raw_settings()["ceilings"], "cancel": cancel}),
                )
                connection = self.open_client()
                with self.hold_connections(lambda request: True) as release:
                    connection.write(http_request(Request_Timeout="60000m"))
                    await wait_until(lambda: endpoint.connections)  # noqa: B023
                    connection.close(reset)
                    await wait_until(self.is_everything_released)
                    release.set()
                    self.assertEqual((await self.send_request())[0], 200)
                self.assertEqual(len(endpoint.requests), 1, (cancel, reset))  # only that of send_request
                await self.close_gateway()

    async def test_while_waiting_for_the_counter(self) -> None:
        """A hundred clients disconnect at once by a close or a reset, some with bytes after their request."""
        endpoint, counter = await self.start_server(http_response(b"ok")), self.peer()
        family_info = {"counter": True, "countWaitMs": 60000.0, "unitsTop": 9}
        slow = {**REQUEST_CLASS, "deadlineMs": 900000.0, "onTimeMs": 100000.0}
        await self.open_gateway(
            endpoint.address,
            counter=counter.address,
            settings=raw_settings(familyInfo=family_info, classes=[slow]),
        )
        connections = [self.open_client() for _ in range(100)]
        for n, connection in enumerate(connections):
            connection.write(
                http_request(Request_Timeout="900000m", Request_Id=f"{n:x}") + b"GET /" * (n % 3 == 0)
            )
        await wait_until(lambda: len(self.gateway.dispatcher.lifecycle.in_flight) == 100)
        for n, connection in enumerate(connections):
            connection.close(reset=n % 2 == 0)
        await wait_until(lambda: not self.gateway.dispatcher.lifecycle.in_flight)
        await wait_until(self.is_everything_released)
        counter_connection = await counter.accept()
        await counter_connection.read(b"\r\n\r\n")
        for _ in range(100):
            counter_connection.write(http_response(b"0"))
        await asyncio.sleep(0.05)
        self.assertEqual((endpoint.requests, endpoint.connections), ([], []))

    async def test_while_an_attempt_starts_with_the_close_unread(self) -> None:
        """The event loop has not read the close or reset yet; for first attempts and retries."""
        for first, reset in ((True, False), (True, True), (False, False), (False, True)):
            endpoints = [
                await self.start_server(http_response(b"ok") if first else http_response(status=500))
                for _ in range(2)
            ]
            await self.open_gateway(*(endpoint.address for endpoint in endpoints))
            connection, attempts = self.open_client(), list[int]()

            def disconnect_on_attempt() -> None:
                attempts.append(1)  # noqa: B023
                if len(attempts) == (1 if first else 2):  # noqa: B023
                    connection.close(reset)  # noqa: B023

            with mock.patch.object(self.gateway.endpoint_clients.pool, "before_write", disconnect_on_attempt):
                connection.write(http_request(Request_Timeout="60000m"))
                await wait_until(lambda: attempts)  # noqa: B023
                await wait_until(
                    lambda: self.is_everything_released() and not self.gateway.http_server.limits.count()
                )
            request_count = sum(len(endpoint.requests) for endpoint in endpoints)
            self.assertEqual(request_count, 0 if first else 1, (first, reset))
            await self.close_gateway()

    async def fill_connection(self) -> ScriptedConnection:
        """Returns a connection with more pipelined requests than the kernel accepts at the gateway's side."""
        connection = self.open_client()
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * RECEIVE_BUFFER_BYTES)
        sent_bytes = 0
        with suppress(BlockingIOError):  # all of it arrives before the event loop runs again
            for n in range(1_000_000):
                sent_bytes += connection.sock.send(
                    http_request(Request_Id=f"{n:x}", Request_Timeout="60000m")
                )
        self.assertGreater(sent_bytes, 3 * RECEIVE_BUFFER_BYTES)
        return connection

    async def test_behind_more_unread_requests_than_the_kernel_accepts(self) -> None:
        """The close waits at the client's side, while an attempt waits for its connection."""
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        with self.hold_connections(lambda request: True) as release:
            connection = await self.fill_connection()
            await wait_until(lambda: endpoint.connections)
            connection.close()
            await asyncio.sleep(0.15)
            release.set()
            await wait_until(
                lambda: self.is_everything_released() and not self.gateway.http_server.limits.count()
            )
        self.assertEqual(endpoint.requests, [])

    async def test_requests_behind_more_than_the_kernel_accepts_are_served_while_their_client_is_there(
        self,
    ) -> None:
        """Counterpart of the test above: the client reads the responses."""
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        connection = await self.fill_connection()
        received = b""
        while received.count(b"200 OK") < 100:
            received += await connection.read(b"ok")
        self.assertNotIn(b" 429 ", received)

    async def test_while_pipelined_requests_pause_reading(self) -> None:
        """The close comes after bytes that are not read yet; only the first request is forwarded.

        If the close went unnoticed, each of the waiting requests would be forwarded to the endpoint.
        """
        response: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        endpoint = await self.start_server(lambda head, body: response)
        await self.open_gateway(endpoint.address)
        connection = self.open_client()
        connection.write(
            b"".join(http_request(Request_Id=f"{n:x}", Request_Timeout="60000m") for n in range(1000))
        )
        await wait_until(lambda: endpoint.requests)
        (client,) = self.gateway.http_server.server.connections
        assert isinstance(client, ClientConnection)
        await wait_until(client.has_unparsed_bytes)
        connection.sock.shutdown(socket.SHUT_WR)  # a full close would show as a reset on the response
        response.set_result(http_response(b"ok"))
        await wait_until(
            lambda: self.is_everything_released() and not self.gateway.http_server.limits.count()
        )
        self.assertEqual(len(endpoint.requests), 1)
