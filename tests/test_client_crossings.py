"""Events on clients' connections in the moments in which they hurt: closes, shutdowns, clients that leave."""

from __future__ import annotations

import asyncio
import socket
from typing import Any
from unittest import mock

from drumgw.gateway.client_connections import ClientConnection, ConnectionState
from drumgw.gateway.responses import CompleteResponse
from tests.crossing_case import (
    BOUND_S,
    LARGE,
    CrossingCase,
    ScriptedConnection,
    wait_until,
)
from tests.gateway_case import (
    POST_TARGET,
    http_request,
    raw_settings,
)
from tests.scripted_server import ScriptedServer, http_response
from tests.test_simulator import REQUEST_CLASS


class ConnectionClosingTest(CrossingCase):
    """Bytes that come in the moment in which the gateway closes a connection."""

    async def rested(self) -> tuple[ScriptedServer, ScriptedConnection]:
        """A client between requests, and the endpoint that served it."""
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        line = self.open_client()
        line.write(http_request())
        await line.read(b"ok")
        await wait_until(lambda: self.gateway.http_server.limits.connections[ConnectionState.IDLE])
        return endpoint, line

    async def test_a_request_that_lies_unread_as_the_idle_are_closed_is_served(self) -> None:
        endpoint, line = await self.rested()
        line.write(http_request(Request_Id="9b20"))
        self.gateway.http_server.withdraw_readiness()
        self.assertEqual(self.gateway.http_server.close_idle(), 1)
        self.assertIn(b"Connection: close", await line.read(b"ok"))
        self.assertEqual((await line.read_to_end(), len(endpoint.requests)), (b"", 2))

    async def test_a_request_that_comes_after_the_shutdown_is_not_read(self) -> None:
        """It is its client's to send again: it sees an end, no answer and no reset."""
        endpoint, line = await self.rested()
        with mock.patch("drumgw.gateway.connection_limits.CLOSING_TIMEOUT_MS", 1e9):
            self.assertEqual(self.gateway.http_server.close_idle(), 0)
            line.write(http_request(Request_Id="9b20"))
            self.assertEqual(await line.read_to_end(), b"")
            await asyncio.sleep(0.02)
            (client,) = self.gateway.http_server.limits.connections[ConnectionState.CLOSING]
            self.assertTrue(client.has_unread_data())  # it lies where it came
            line.close()
            await wait_until(lambda: not self.gateway.http_server.limits.count())
        self.assertEqual((len(endpoint.requests), self.gateway.dispatcher.lifecycle.received_count), (1, 1))

    async def test_a_long_last_answer_arrives_whole_though_bytes_came_behind_its_request(self) -> None:
        """A close over unread bytes would reset, and take the rest of the answer with it."""
        endpoint = await self.start_server(http_response(LARGE))
        await self.open_gateway(endpoint.address)
        line = ScriptedConnection(socket.socket())
        self.addCleanup(line.sock.close)
        line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        line.sock.setblocking(True)
        line.sock.connect(self.listen_address)
        line.sock.setblocking(False)
        self.gateway.http_server.withdraw_readiness()
        prepare = CompleteResponse.prepare

        async def crossed(answer: CompleteResponse, asked: Any) -> None:
            sock = asked.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await prepare(answer, asked)
            line.write(b"GET /a?acc")

        with mock.patch.object(CompleteResponse, "prepare", crossed):
            line.write(http_request())
            whole = await line.read(b"\r\n\r\n")
            await asyncio.sleep(0.02)
            whole += await line.read_to_end()
        whole = whole.partition(b"\r\n\r\n")[2]
        self.assertEqual((whole.count(b"x"), b"(reset)" in whole), (len(LARGE), False))

    async def test_two_requests_read_at_once_are_both_answered_at_the_end(self) -> None:
        """None is read and then dropped."""
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        line = self.open_client()
        self.gateway.http_server.withdraw_readiness()
        line.write(http_request() + http_request(Request_Id="9b20"))
        came = await line.read_to_end()
        counted = came.count(b"200 OK"), came.count(b"Connection: close"), len(endpoint.requests)
        self.assertEqual(counted, (2, 1, 2))

    async def test_half_a_request_at_the_end_is_never_sent_on(self) -> None:
        """Its last byte would come after the shutdown. One whose rest lies unread is whole, and is served."""
        whole = http_request(POST_TARGET, "POST", b"{}", Request_Timeout="60000m")
        for cut in (10, len(whole) - 1):
            for rest in (False, True):
                endpoint = await self.start_server(http_response(b"ok"))
                await self.open_gateway(endpoint.address)
                line = self.open_client()
                line.write(whole[:cut])
                await wait_until(
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
                came = await line.read_to_end()
                self.assertEqual((b"200 OK" in came, len(endpoint.requests)), (rest, int(rest)), (cut, rest))

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
        silent = self.open_client()
        await wait_until(lambda: self.gateway.http_server.limits.connections[ConnectionState.NEW])
        with mock.patch("drumgw.gateway.process.SHUTDOWN_LINGER_MS", 0.0):
            async with asyncio.timeout(BOUND_S):
                await self.gateway.close()
        self.assertEqual(
            (self.gateway.http_server.limits.count(), await line.read_to_end(), await silent.read_to_end()),
            (0, b"", b""),
        )


class ClientDisconnectTest(CrossingCase):
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
                endpoint = await self.start_server(http_response(b"ok"))
                await self.open_gateway(
                    endpoint.address,
                    settings=raw_settings(ceilings={**raw_settings()["ceilings"], "cancel": cancel}),
                )
                line = self.open_client()
                with self.hold_connections(lambda card: True) as go:
                    line.write(http_request(Request_Timeout="60000m"))
                    await wait_until(lambda: endpoint.connections)  # noqa: B023
                    line.close(reset)
                    await wait_until(self.empty)
                    go.set()
                    self.assertEqual((await self.send_request())[0], 200)
                self.assertEqual(len(endpoint.requests), 1, (cancel, reset))  # the other client's
                await self.close_gateway()

    async def test_while_it_waits_for_the_counter(self) -> None:
        """A hundred at once, by an end or a reset, some with bytes behind their request."""
        endpoint, counter = await self.start_server(http_response(b"ok")), self.peer()
        family = {"counter": True, "countWaitMs": 60000.0, "unitsTop": 9}
        slow = {**REQUEST_CLASS, "deadlineMs": 900000.0, "onTimeMs": 100000.0}
        await self.open_gateway(
            endpoint.address,
            counter=counter.address,
            settings=raw_settings(familyInfo=family, classes=[slow]),
        )
        lines = [self.open_client() for _ in range(100)]
        for n, line in enumerate(lines):
            line.write(http_request(Request_Timeout="900000m", Request_Id=f"{n:x}") + b"GET /" * (n % 3 == 0))
        await wait_until(lambda: len(self.gateway.dispatcher.lifecycle.in_flight) == 100)
        for n, line in enumerate(lines):
            line.close(reset=n % 2 == 0)
        await wait_until(lambda: not self.gateway.dispatcher.lifecycle.in_flight)
        await wait_until(self.empty)
        counter_connection = await counter.accept()
        await counter_connection.read(b"\r\n\r\n")
        for _ in range(100):
            counter_connection.write(http_response(b"0"))
        await asyncio.sleep(0.05)
        self.assertEqual((endpoint.requests, endpoint.connections), ([], []))

    async def test_while_its_close_lies_unread_as_an_attempt_begins(self) -> None:
        """The loop had no turn since: first attempts and further ones, by an end or a reset."""
        for first, reset in ((True, False), (True, True), (False, False), (False, True)):
            endpoints = [
                await self.start_server(http_response(b"ok") if first else http_response(status=500))
                for _ in range(2)
            ]
            await self.open_gateway(*(endpoint.address for endpoint in endpoints))
            line, attempts = self.open_client(), list[int]()

            def before() -> None:
                attempts.append(1)  # noqa: B023
                if len(attempts) == (1 if first else 2):  # noqa: B023
                    line.close(reset)  # noqa: B023

            with mock.patch.object(self.gateway.endpoint_clients.pool, "before_write", before):
                line.write(http_request(Request_Timeout="60000m"))
                await wait_until(lambda: attempts)  # noqa: B023
                await wait_until(lambda: self.empty() and not self.gateway.http_server.limits.count())
            came = sum(len(endpoint.requests) for endpoint in endpoints)
            self.assertEqual(came, 0 if first else 1, (first, reset))
            await self.close_gateway()

    async def test_while_so_many_of_its_requests_wait_that_nothing_more_is_read(self) -> None:
        """Guards endpoints: the close lies behind what is not read, and each request would be sent on."""
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        endpoint = await self.start_server(lambda head, body: answer)
        await self.open_gateway(endpoint.address)
        line = self.open_client()
        line.write(b"".join(http_request(Request_Id=f"{n:x}", Request_Timeout="60000m") for n in range(1000)))
        await wait_until(lambda: endpoint.requests)
        (client,) = self.gateway.http_server.server.connections
        assert isinstance(client, ClientConnection)
        await wait_until(lambda: client._buffer_paused)
        line.sock.shutdown(socket.SHUT_WR)  # an end of both would be told by the first answer's reset
        answer.set_result(http_response(b"ok"))
        await wait_until(lambda: self.empty() and not self.gateway.http_server.limits.count())
        self.assertEqual(len(endpoint.requests), 1)
