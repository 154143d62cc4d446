"""Races between attempts and endpoints: late retries, partially sent requests, unsolicited responses."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from drumgw.gateway import connection_pool
from tests.gateway_case import (
    POST_TARGET,
    http_request,
    raw_settings,
)
from tests.race_case import (
    KEYED,
    LARGE,
    ONE_ATTEMPT,
    RaceCase,
    ScriptedConnection,
    wait_until,
)
from tests.scripted_server import ScriptedServer, http_response


class IdempotencyWindowTest(RaceCase):
    """The last byte of a retry with an idempotency key is sent within the key's window, or never."""

    async def open_with_failing_endpoint(self, other_address: str, **options: Any) -> ScriptedServer:
        """Opens a gateway whose first attempt goes to an endpoint that fails it; the other gets the retry."""
        failing = await self.start_server(http_response(status=500))
        await self.open_keyed_gateway(failing.address, other_address, **options)
        failing_id = next(
            endpoint_id
            for endpoint_id, client in self.gateway.endpoint_clients.clients.items()
            if client.address == failing.address
        )
        policy = self.gateway.dispatcher.lifecycle.policy
        policy.back_end.endpoints.preferred.sort(key=lambda endpoint: endpoint.endpoint_id != failing_id)  # type: ignore[attr-defined]
        selector = policy.selector  # type: ignore[attr-defined]
        select = selector.select

        def select_failing_first(request: Any) -> Any:
            return select(request) if request.tried_endpoints else selector.endpoints.by_id[failing_id]

        patch = mock.patch.object(selector, "select", select_failing_first)
        patch.start()
        self.addCleanup(patch.stop)
        return failing

    async def test_connection_established_after_the_window_carries_no_retry(self) -> None:
        healthy = await self.start_server(http_response(b"ok"))
        failing = await self.open_with_failing_endpoint(healthy.address)
        with self.hold_connections(lambda request: str(request.url.port) in healthy.address) as release:
            request_task = asyncio.create_task(self.send_request(KEYED, "POST", b"{}"))
            await wait_until(lambda: healthy.connections)
            await wait_until(self.has_elapsed(150.0))
            release.set()
            status, _, _ = await request_task
        self.assertEqual((status, len(failing.requests), healthy.requests), (500, 1, []))

    async def test_connection_established_within_the_window_carries_the_retry(self) -> None:
        """Counterpart of the test above: a slow connection alone does not prevent the retry."""
        healthy = await self.start_server(http_response(b"ok"))
        failing = await self.open_with_failing_endpoint(healthy.address, window_ms=60000.0)
        with self.hold_connections(lambda request: str(request.url.port) in healthy.address) as release:
            request_task = asyncio.create_task(self.send_request(KEYED, "POST", b"{}"))
            await wait_until(lambda: healthy.connections)
            release.set()
            self.assertEqual((await request_task)[:2], (200, b"ok"))
        self.assertEqual((len(failing.requests), len(healthy.requests)), (1, 1))

    async def test_slow_reader_gets_no_last_byte_after_the_window(self) -> None:
        peer = self.peer(receive_buffer_bytes=4096)
        await self.open_with_failing_endpoint(peer.address)
        with self.shrink_send_buffers():
            request_task = asyncio.create_task(self.send_request(KEYED, "POST", LARGE))
            connection = await peer.accept()
            status, _, _ = await request_task
        self.assertEqual(status, 500)
        self.assertLess((await connection.read_to_end()).count(b"x"), len(LARGE))

    async def test_request_is_rejected_only_while_a_retry_falls_within_the_window(self) -> None:
        """A 503 means to the client that a retry is safe; after the window, endpoints have discarded the key.

        A retry would then be processed a second time, so the response is a 500.
        """
        # Retry-After is half of the window's remaining time, and at most 0.5 s.
        for window_ms, max_retry_after_s in ((60000.0, 0.5), (300.0, 0.15)):
            failing = await self.start_server(http_response(status=500))
            await self.open_keyed_gateway(failing.address, window_ms=window_ms)
            status, _, head = await self.send_request(KEYED, "POST", b"{}")
            self.assertEqual(status, 503)
            self.assertLessEqual(float(head.partition(b"Retry-After: ")[2].split()[0]), max_retry_after_s)
            await self.close_gateway()
        response: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        slow = await self.start_server(lambda head, body: response)
        await self.open_keyed_gateway(slow.address, window_ms=50.0)
        request_task = asyncio.create_task(self.send_request(KEYED, "POST", b"{}"))
        await wait_until(lambda: slow.requests)
        await wait_until(self.has_elapsed(50.0))
        response.set_result(http_response(status=500))
        self.assertEqual((await request_task)[0], 500)  # the window is over: a retry is not safe


class PartialTransferTest(RaceCase):
    """Whether a request may have been processed depends on how much of it was sent."""

    async def test_reset_before_the_last_byte_is_safe_to_retry(self) -> None:
        """A request that is not idempotent may be retried if its last byte was not sent.

        Guards against answering it with 500, which means that it may have been processed.
        """
        peer = self.peer(receive_buffer_bytes=4096)
        await self.open_gateway(peer.address, settings=raw_settings(ceilings=ONE_ATTEMPT))
        with self.shrink_send_buffers():
            request_task = asyncio.create_task(self.send_request(POST_TARGET, "POST", LARGE))
            connection = await peer.accept()
            await wait_until(
                lambda: any(
                    pooled.transport is not None and pooled.transport.get_write_buffer_size()
                    for pooled in self.gateway.endpoint_clients.pool.connections
                )
            )
            connection.close(reset=True)
            status, _, _ = await request_task
        self.assertEqual(status, 503)  # safe to retry: it was never processed

    async def test_reset_after_the_last_byte_is_not_safe_to_retry(self) -> None:
        peer = self.peer()
        await self.open_gateway(peer.address)
        request_task = asyncio.create_task(self.send_request(POST_TARGET, "POST", b"{}"))
        connection = await peer.accept()
        await connection.read(b"{}")
        connection.close(reset=True)
        self.assertEqual((await request_task)[0], 500)

    async def test_reset_before_the_first_byte_is_safe_to_retry(self) -> None:
        """The write fails at once: nothing was sent, so a request that must run only once gets a 503."""
        peer = self.peer()
        await self.open_gateway(peer.address, settings=raw_settings(ceilings=ONE_ATTEMPT))
        connections: list[ScriptedConnection] = []

        def reset() -> None:
            connections.pop().close(reset=True)

        with self.hold_connections(lambda request: True) as release:
            request_task = asyncio.create_task(self.send_request(POST_TARGET, "POST", b"{}"))
            connections.append(await peer.accept())
            with mock.patch.object(self.gateway.endpoint_clients.pool, "before_write", reset):
                release.set()
                self.assertEqual((await request_task)[0], 503)

    async def test_response_without_length_is_complete_only_after_the_peers_eof(self) -> None:
        """After a reset, a stall or a close by the gateway the response may be truncated.

        It is then not delivered to the client.
        """
        partial_response = b"HTTP/1.1 200 OK\r\n\r\nhalf of it"
        for ending, status in (("end", 200), ("reset", 500), ("stall", 500), ("local close", 500)):
            peer = self.peer()
            await self.open_gateway(peer.address)
            request_task = asyncio.create_task(self.send_request(POST_TARGET, "POST", b"{}"))
            connection = await peer.accept()
            await connection.read(b"{}")
            connection.write(partial_response)
            if ending == "local close":
                await wait_until(
                    lambda: any(
                        pooled.framer.message for pooled in self.gateway.endpoint_clients.pool.connections
                    )
                )
                for pooled in list(self.gateway.endpoint_clients.pool.connections):
                    pooled.close()
            elif ending != "stall":
                connection.close(reset=ending == "reset")
            self.assertEqual((await request_task)[0], status, ending)
            await self.close_gateway()


class SecondResponseTest(RaceCase):
    """An endpoint that responds twice: the second response is not taken for that of another request."""

    async def test_late_second_response_is_not_delivered_to_the_next_request(self) -> None:
        """The next request on a kept connection must not get the second response to the previous one.

        That happened if the second response arrived after the check for unread bytes on the kept connection
        and before the next request's own response. The reuse delay is prolonged, so that
        each step of the test falls within it on a slow machine too.
        """
        prolonged_ms = 1000 * connection_pool.REUSE_DELAY_MS
        self.enterContext(mock.patch.object(connection_pool, "REUSE_DELAY_MS", prolonged_ms))
        peer = self.peer()
        await self.open_gateway(peer.address)
        first, second = self.open_client(), self.open_client()
        first.write(http_request())
        first_connection = await peer.accept()
        await first_connection.read(b"\r\n\r\n")
        first_connection.write(http_response(b"one"))
        await first.read(b"one")
        second.write(http_request(Request_Id="9b20"))  # at once: the first connection is not reused yet
        second_connection = await peer.accept()
        await second_connection.read(b"Request-Id: 9b20")
        first_connection.write(http_response(b"one"))  # the second response; no request waits for it
        self.assertEqual(await first_connection.read_to_end(), b"")  # the gateway closes the connection
        second_connection.write(http_response(b"two"))
        self.assertIn(b"two", await second.read(b"two"))

    async def test_connection_is_reused_after_the_reuse_delay(self) -> None:
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        for n in range(3):
            self.assertEqual((await self.send_request(Request_Id=f"{n}"))[0], 200)
            await wait_until(lambda: any(self.gateway.endpoint_clients.pool.connector._conns.values()))
        self.assertEqual((len(endpoint.requests), len(endpoint.connections)), (3, 1))
