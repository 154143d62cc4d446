"""Requests whose id comes again: none that may have run is forwarded a second time, whatever came of it."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from drumgw.gateway.commands import SendResponse
from drumgw.gateway.memory_plan import MIN_KEPT_IDS
from drumgw.gateway.request_ids import RETENTION_MS, RepeatedIdError, RequestIds
from drumgw.gateway.shedding import ShedReason, shed
from tests.gateway_case import GET_TARGET, POST_TARGET, http_request, raw_settings
from tests.race_case import KEYED, ONE_ATTEMPT, RaceCase, ScriptedConnection, wait_until
from tests.scripted_server import ScriptedServer, http_response

LONG_TIMEOUT = "60000m"
SHORT_TIMEOUT = "300m"
REQUEST_ID = "9b1f"
CONFLICT = 409


class RepeatedIdCase(RaceCase):
    """Requests with the same id, each on a connection of its own."""

    def send(self, timeout: str = LONG_TIMEOUT) -> ScriptedConnection:
        connection = self.open_client()
        request = http_request(POST_TARGET, "POST", b"{}", Request_Timeout=timeout, Request_Id=REQUEST_ID)
        connection.write(request)
        return connection

    async def open_with_pending_response(self, cancel: bool = True) -> ScriptedServer:
        """Opens a gateway whose endpoint does not respond before `self.response` is set."""
        self.response: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        endpoint = await self.start_server(lambda head, body: self.response)
        ceilings = {**raw_settings()["ceilings"], "cancel": cancel}
        await self.open_gateway(endpoint.address, settings=raw_settings(ceilings=ceilings))
        return endpoint


class LeftClientTest(RepeatedIdCase):
    """A client that leaves before its response has come, and the same id on another connection."""

    async def wait_until_clients_have_left(self) -> None:
        await wait_until(lambda: not self.gateway.http_server.limits.count())

    async def test_an_id_that_may_have_run_is_not_sent_again_after_its_client_has_left(self) -> None:
        for cancel in (True, False):
            with self.subTest(cancel=cancel):
                endpoint = await self.open_with_pending_response(cancel)
                first = self.send()
                await wait_until(lambda: endpoint.requests)  # noqa: B023
                first.close()
                await self.wait_until_clients_have_left()
                second = self.send()
                self.assertIn(b" 409 ", await second.read(b"\r\n\r\n"))
                self.response.set_result(http_response(b"ok"))
                self.assertEqual(len(endpoint.requests), 1)
                await self.close_gateway()

    async def test_an_id_is_not_sent_again_if_its_client_left_as_the_response_came(self) -> None:
        """The event loop reads the response and the close in the same turn, or the response first."""
        for is_close_first in (True, False):
            with self.subTest(is_close_first=is_close_first):
                endpoint = await self.open_with_pending_response(cancel=True)
                first = self.send()
                await wait_until(lambda: endpoint.requests)  # noqa: B023
                send_response = self.gateway.dispatcher._send_response

                def leave(command: object) -> None:
                    first.close()  # noqa: B023
                    send_response(command)  # type: ignore[arg-type]  # noqa: B023

                if is_close_first:
                    first.close()
                else:
                    self.gateway.dispatcher._handlers[SendResponse] = leave
                self.response.set_result(http_response(b"ok"))
                await self.wait_until_clients_have_left()
                second = self.send()
                self.assertIn(b" 409 ", await second.read(b"\r\n\r\n"))
                self.assertEqual(len(endpoint.requests), 1)
                await self.close_gateway()

    async def test_an_id_that_cannot_have_run_is_sent_when_it_comes_again(self) -> None:
        endpoint = await self.open_with_pending_response(cancel=True)
        self.response.set_result(http_response(b"ok"))
        with self.hold_connections(lambda request: True) as release:
            first = self.send()
            await wait_until(lambda: endpoint.connections)
            first.close()
            await self.wait_until_clients_have_left()
            release.set()
        second = self.send()
        self.assertIn(b"200 OK", await second.read(b"ok"))
        self.assertEqual(len(endpoint.requests), 1)


class AnsweredIdTest(RepeatedIdCase):
    """A copy that is read after the response was decided, before or after its client has it."""

    async def test_a_copy_that_crosses_the_response_is_not_forwarded(self) -> None:
        """Regression: an id was forgotten once its response was decided, and a copy of it ran again."""
        endpoint = await self.open_with_pending_response()
        first = self.send()
        await wait_until(lambda: endpoint.requests)
        send_response = self.gateway.dispatcher._send_response
        copies: list[ScriptedConnection] = []

        def send_copy(command: Any) -> None:
            send_response(command)
            copies.append(self.send())  # read in the turn in which the response is written, or later

        self.gateway.dispatcher._handlers[SendResponse] = send_copy
        self.response.set_result(http_response(b"ok"))
        self.assertIn(b"200 OK", await first.read(b"ok"))
        self.assertIn(b" 409 ", await copies[0].read(b"\r\n\r\n"))
        self.assertEqual(len(endpoint.requests), 1)

    async def test_no_id_that_may_have_run_is_forwarded_again_whatever_came_of_it(self) -> None:
        settings = raw_settings(ceilings=ONE_ATTEMPT)
        cut_off = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
        for target, method in ((POST_TARGET, "POST"), (GET_TARGET, "GET"), (KEYED, "POST")):
            for response in (http_response(b"ok"), http_response(status=500), cut_off, b"", None):
                with self.subTest(target=target, response=response):
                    endpoint = await self.start_server(response)
                    if target is KEYED:
                        await self.open_keyed_gateway(endpoint.address, ceilings=ONE_ATTEMPT)
                    else:
                        await self.open_gateway(endpoint.address, settings=settings)
                    statuses = [
                        (
                            await self.send_request(
                                target, method, Request_Id=REQUEST_ID, Request_Timeout=SHORT_TIMEOUT
                            )
                        )[0]
                        for _ in range(3)
                    ]
                    self.assertEqual(statuses[1:], [CONFLICT, CONFLICT])
                    self.assertEqual(len(endpoint.requests), 1)
                    await self.close_gateway()

    async def test_an_id_that_was_rejected_without_having_run_may_come_again(self) -> None:
        responses = [http_response(status=503, Not_Started="1"), http_response(b"ok")]
        endpoint = await self.start_server(lambda head, body: responses.pop(0))
        await self.open_gateway(endpoint.address, settings=raw_settings(ceilings=ONE_ATTEMPT))
        for status in (503, 200, CONFLICT):
            answer = await self.send_request(POST_TARGET, "POST", b"{}", Request_Id=REQUEST_ID)
            self.assertEqual(answer[0], status)
        self.assertEqual(len(endpoint.requests), 2)

    async def test_a_copy_of_a_request_whose_body_is_incomplete_is_not_forwarded(self) -> None:
        """The client of the original would get the error, and the other client the response."""
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        original = http_request(POST_TARGET, "POST", b"{}", Request_Id=REQUEST_ID)
        first = self.open_client()
        first.write(original[:-1])
        request_ids = self.gateway.http_server.request_ids
        await wait_until(lambda: request_ids.in_flight)
        self.assertEqual((await self.send_request(POST_TARGET, "POST", Request_Id=REQUEST_ID))[0], CONFLICT)
        first.write(original[-1:])
        self.assertIn(b"200 OK", await first.read(b"ok"))
        self.assertEqual(len(endpoint.requests), 1)

    async def test_an_id_in_flight_is_not_forwarded_behind_another_id(self) -> None:
        """Regression: of two Request-Id headers the first was checked, and both were forwarded."""
        endpoint = await self.open_with_pending_response()
        first = self.send()
        await wait_until(lambda: endpoint.requests)
        for first_id, second_id in (("another", REQUEST_ID), (REQUEST_ID, "another")):
            connection = self.open_client()
            copy = http_request(POST_TARGET, "POST", b"{}", Request_Id=first_id, request_id=second_id)
            connection.write(copy)
            self.assertIn(b" 400 ", await connection.read(b"\r\n\r\n"))
        self.response.set_result(http_response(b"ok"))
        self.assertIn(b"200 OK", await first.read(b"ok"))
        self.assertEqual(len(endpoint.requests), 1)

    async def test_the_id_of_a_request_that_is_never_complete_is_free_again(self) -> None:
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        first = self.open_client()
        first.write(http_request(POST_TARGET, "POST", b"{}", Request_Id=REQUEST_ID)[:-1])
        request_ids = self.gateway.http_server.request_ids
        await wait_until(lambda: request_ids.in_flight)
        first.close()
        await wait_until(lambda: not request_ids.in_flight)
        self.assertEqual((await self.send_request(POST_TARGET, "POST", Request_Id=REQUEST_ID))[0], 200)


class RequestIdsTest(unittest.TestCase):
    """The table of ids."""

    def test_an_id_is_kept_for_the_retention_time_and_no_longer(self) -> None:
        request_ids = RequestIds(MIN_KEPT_IDS)
        request_ids.claim("1", 0.0)
        request_ids.release("1", 10.0, may_have_run=True)
        with self.assertRaises(RepeatedIdError):
            request_ids.claim("1", 9.0 + RETENTION_MS)
        request_ids.claim("1", 10.0 + RETENTION_MS)
        request_ids.release("1", 11.0 + RETENTION_MS, may_have_run=False)
        request_ids.claim("1", 12.0 + RETENTION_MS)

    def test_the_table_does_not_grow_with_the_requests_seen(self) -> None:
        request_ids = RequestIds(100)
        shed.clear()
        for number in range(1000):
            request_ids.claim(f"{number}", float(number))
            request_ids.release(f"{number}", float(number), may_have_run=True)
        self.assertEqual((len(request_ids._ended_ms), len(request_ids.in_flight)), (100, 0))
        self.assertEqual(shed.pop(ShedReason.REQUEST_IDS), 900)
        with self.assertRaises(RepeatedIdError):
            request_ids.claim("900", 1000.0)
        request_ids.claim("899", 1000.0)
        request_ids.release("next", RETENTION_MS + 1000.0, may_have_run=True)
        self.assertEqual(len(request_ids._ended_ms), 1)
