"""Endpoints whose process is replaced by another one at the same address."""

from __future__ import annotations

import asyncio

from tests.gateway_case import POST_TARGET, endpoint_row, list_response
from tests.race_case import RaceCase, wait_until
from tests.scripted_server import http_response

WARM_MS = 60000.0
"""An endpoint of this age is not warming up."""


class ReplacedEndpointTest(RaceCase):
    """Attempts that were meant for the earlier process."""

    async def check_replacement(self, *rows_at_address: tuple[str, float]) -> None:
        """An attempt waits for its connection while another process takes over the address.

        Args:
            rows_at_address: Name and age in milliseconds of each endpoint that the update lists there.
        """
        endpoint, other = [await self.start_server(http_response(b"ok")) for _ in range(2)]
        update: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        await self.open_gateway(endpoint.address, watch=lambda head, body: asyncio.shield(update))
        clients = self.gateway.endpoint_clients.clients
        with self.hold_connections(lambda request: True) as release:
            request = asyncio.create_task(
                self.send_request(POST_TARGET, "POST", b"{}", Request_Timeout="3000m")
            )
            await wait_until(lambda: endpoint.connections)
            (connection,) = endpoint.connections
            now_ms = self.gateway.clock.now()
            rows = [
                endpoint_row(name, endpoint.address, startedAtMs=now_ms - age_ms)
                for name, age_ms in rows_at_address
            ]
            update.set_result(list_response(*rows, endpoint_row("s-other", other.address)))
            await wait_until(lambda: any(client.address == other.address for client in clients.values()))
            release.set()
            status, _, _ = await request
        self.assertEqual(status, 200)
        self.assertNotIn(connection, endpoint.request_connections)

    async def test_an_attempt_does_not_go_to_a_process_that_restarted_under_the_same_id(self) -> None:
        await self.check_replacement(("s-0", WARM_MS))

    async def test_an_attempt_does_not_go_to_another_endpoint_at_the_address(self) -> None:
        await self.check_replacement(("s-new", WARM_MS))

    async def test_an_attempt_does_not_go_to_a_later_endpoint_at_the_address_of_a_listed_one(self) -> None:
        await self.check_replacement(("s-0", 2 * WARM_MS), ("s-new", WARM_MS))
