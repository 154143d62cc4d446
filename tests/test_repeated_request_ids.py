"""Requests whose id comes again: none runs a second time because its client has left."""

from __future__ import annotations

import asyncio

from drumgw.gateway.commands import SendResponse
from tests.gateway_case import POST_TARGET, http_request, raw_settings
from tests.race_case import RaceCase, ScriptedConnection, wait_until
from tests.scripted_server import ScriptedServer, http_response

LONG_TIMEOUT = "60000m"


class RepeatedIdTest(RaceCase):
    """A client that leaves before its response has come, and the same id on another connection."""

    async def open_with_pending_response(self, cancel: bool) -> ScriptedServer:
        """Opens a gateway whose endpoint does not respond before `self.response` is set."""
        self.response: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        endpoint = await self.start_server(lambda head, body: self.response)
        ceilings = {**raw_settings()["ceilings"], "cancel": cancel}
        await self.open_gateway(endpoint.address, settings=raw_settings(ceilings=ceilings))
        return endpoint

    def send(self) -> ScriptedConnection:
        connection = self.open_client()
        connection.write(http_request(POST_TARGET, "POST", b"{}", Request_Timeout=LONG_TIMEOUT))
        return connection

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
