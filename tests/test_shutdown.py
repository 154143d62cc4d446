"""Requests that are in flight when a gateway ends: each has its answer before the earliest kill."""

from __future__ import annotations

import asyncio
import time
from unittest import mock

from drumgw.gateway.client_connections import ClientConnection
from tests.gateway_case import POST_TARGET, http_request, raw_settings
from tests.race_case import RaceCase, wait_until
from tests.soak_gateway import settings_with_deadline

LINGER_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0


class EarliestKillTest(RaceCase):
    """SIGKILL may come 0.7 s and the longest deadline after SIGTERM, which is counted as 3 s at most."""

    async def time_of_answer_s(self, deadline_ms: float) -> tuple[float, bytes]:
        """Returns when, after the start of the shutdown, a request was answered whose endpoint hangs."""
        endpoint = await self.start_server(None)
        await self.open_gateway(endpoint.address, settings=settings_with_deadline(deadline_ms))
        connection = self.open_client()
        began_s = time.monotonic()
        closing = asyncio.create_task(self.gateway.close())
        await asyncio.sleep(LINGER_S - 0.05)
        connection.write(http_request(POST_TARGET, "POST", b"{}", Request_Timeout=f"{deadline_ms:.0f}m"))
        await wait_until(lambda: endpoint.requests)
        head = await connection.read(b"\r\n\r\n")
        answered_s = time.monotonic() - began_s
        await closing
        return answered_s, head

    async def test_a_request_with_a_long_deadline_is_answered_before_the_earliest_kill(self) -> None:
        answered_s, head = await self.time_of_answer_s(deadline_ms=60_000.0)
        self.assertIn(b" 500 ", head)  # it may have run
        self.assertLess(answered_s, LINGER_S + MAX_COUNTED_DEADLINE_S)

    async def test_a_request_with_a_short_deadline_is_answered_before_the_earliest_kill(self) -> None:
        answered_s, head = await self.time_of_answer_s(deadline_ms=400.0)
        self.assertIn(b" 500 ", head)
        self.assertLess(answered_s, LINGER_S + 0.4)


class ClosedWhileWaitingTest(RaceCase):
    """A connection that is closed while its request waits for a turn."""

    async def test_the_rest_of_a_body_on_a_closed_connection_is_no_internal_error(self) -> None:
        endpoint = await self.start_server(None)
        await self.open_gateway(endpoint.address, settings=raw_settings())
        closed = asyncio.Event()
        wait_for_turn = ClientConnection.wait_for_turn

        async def close_after_turn(client: ClientConnection) -> None:
            await wait_for_turn(client)
            client.abort()
            closed.set()

        partial = http_request(POST_TARGET, "POST", b"{}", Request_Id="9b20")[:-1]
        self.enterContext(mock.patch.object(ClientConnection, "wait_for_turn", close_after_turn))
        log = self.enterContext(mock.patch.object(self.gateway.dispatcher, "log_internal_error"))
        connection = self.open_client()
        connection.write(http_request("/health/live") + partial)
        await closed.wait()
        await wait_until(lambda: not self.gateway.http_server.limits.count())
        await asyncio.sleep(0.05)
        log.assert_not_called()
