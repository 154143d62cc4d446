"""Events at endpoints in the moments in which they hurt: retries, half-sent requests, second responses."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from tests.crossing_case import (
    KEYED,
    LARGE,
    ONE_ATTEMPT,
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


class IdempotencyWindowTest(CrossingCase):
    """A repeat of a keyed request: its last byte leaves within the window of the first, or never."""

    async def failing_first(self, other: str, **more: Any) -> ScriptedServer:
        """An endpoint that fails what it gets; the other gets the repeat, whoever is asked first."""
        bad = await self.start_server(http_response(status=500))
        await self.open_keyed_gateway(bad.address, other, **more)
        number = next(n for n, w in self.gateway.endpoint_clients.clients.items() if w.address == bad.address)
        policy = self.gateway.dispatcher.lifecycle.policy
        policy.back_end.endpoints.preferred.sort(key=lambda w: w.endpoint_id != number)  # type: ignore[attr-defined]
        selector = policy.selector  # type: ignore[attr-defined]
        select = selector.select

        def first(http_request: Any) -> Any:
            return select(http_request) if http_request.tried_endpoints else selector.endpoints.by_id[number]

        patch = mock.patch.object(selector, "select", first)
        patch.start()
        self.addCleanup(patch.stop)
        return bad

    async def test_a_connection_that_comes_up_after_the_window_carries_no_repeat(self) -> None:
        other = await self.start_server(http_response(b"ok"))
        bad = await self.failing_first(other.address)
        with self.hold_connections(lambda card: str(card.url.port) in other.address) as go:
            asked = asyncio.create_task(self.send_request(KEYED, "POST", b"{}"))
            await wait_until(lambda: other.connections)
            await wait_until(self.has_elapsed(150.0))
            go.set()
            status, _, _ = await asked
        self.assertEqual((status, len(bad.requests), other.requests), (500, 1, []))

    async def test_within_the_window_it_carries_it(self) -> None:
        """The other side of the same: a late connection alone stops nothing."""
        other = await self.start_server(http_response(b"ok"))
        bad = await self.failing_first(other.address, window_ms=60000.0)
        with self.hold_connections(lambda card: str(card.url.port) in other.address) as go:
            asked = asyncio.create_task(self.send_request(KEYED, "POST", b"{}"))
            await wait_until(lambda: other.connections)
            go.set()
            self.assertEqual((await asked)[:2], (200, b"ok"))
        self.assertEqual((len(bad.requests), len(other.requests)), (1, 1))

    async def test_an_endpoint_that_reads_slowly_gets_no_last_byte_after_the_window(self) -> None:
        peer = self.peer(receive_buffer_bytes=4096)
        await self.failing_first(peer.address)
        with self.shrink_send_buffers():
            asked = asyncio.create_task(self.send_request(KEYED, "POST", LARGE))
            line = await peer.accept()
            status, _, _ = await asked
        self.assertEqual(status, 500)
        self.assertLess((await line.read_to_end()).count(b"x"), len(LARGE))

    async def test_it_is_rejected_only_where_a_retry_is_within_the_window(self) -> None:
        """A rejection says that coming again is harmless: to endpoints that forgot the first it is not."""
        for window_ms, most_s in ((60000.0, 0.5), (300.0, 0.15)):  # to come back after: half of what is left
            bad = await self.start_server(http_response(status=500))
            await self.open_keyed_gateway(bad.address, window_ms=window_ms)
            status, _, head = await self.send_request(KEYED, "POST", b"{}")
            self.assertEqual(status, 503)
            self.assertLessEqual(float(head.partition(b"Retry-After: ")[2].split()[0]), most_s)
            await self.close_gateway()
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        slow = await self.start_server(lambda head, body: answer)
        await self.open_keyed_gateway(slow.address, window_ms=50.0)
        asked = asyncio.create_task(self.send_request(KEYED, "POST", b"{}"))
        await wait_until(lambda: slow.requests)
        await wait_until(self.has_elapsed(50.0))
        answer.set_result(http_response(status=500))
        self.assertEqual((await asked)[0], 500)  # they have forgotten it


class PartialTransferTest(CrossingCase):
    """How much of a request has left decides whether it may have run."""

    async def test_a_reset_under_the_first_half_says_that_it_never_ran(self) -> None:
        """Guards requests that are not idempotent: they may go to another endpoint then, and were failed."""
        peer = self.peer(receive_buffer_bytes=4096)
        await self.open_gateway(peer.address, settings=raw_settings(ceilings=ONE_ATTEMPT))
        with self.shrink_send_buffers():
            asked = asyncio.create_task(self.send_request(POST_TARGET, "POST", LARGE))
            line = await peer.accept()
            await wait_until(
                lambda: any(
                    wire.transport is not None and wire.transport.get_write_buffer_size()
                    for wire in self.gateway.endpoint_clients.pool.connections
                )
            )
            line.close(reset=True)
            status, _, _ = await asked
        self.assertEqual(status, 503)  # harmless to repeat, as it never ran

    async def test_a_reset_behind_the_last_byte_says_that_it_may_have_run(self) -> None:
        peer = self.peer()
        await self.open_gateway(peer.address)
        asked = asyncio.create_task(self.send_request(POST_TARGET, "POST", b"{}"))
        line = await peer.accept()
        await line.read(b"{}")
        line.close(reset=True)
        self.assertEqual((await asked)[0], 500)

    async def test_a_connection_that_resets_before_the_first_byte(self) -> None:
        """The system refuses the bytes: nothing has left, so a once-only request is not failed."""
        peer = self.peer()
        await self.open_gateway(peer.address, settings=raw_settings(ceilings=ONE_ATTEMPT))
        lines: list[ScriptedConnection] = []

        def reset() -> None:
            lines.pop().close(reset=True)

        with self.hold_connections(lambda card: True) as go:
            asked = asyncio.create_task(self.send_request(POST_TARGET, "POST", b"{}"))
            lines.append(await peer.accept())
            with mock.patch.object(self.gateway.endpoint_clients.pool, "before_write", reset):
                go.set()
                self.assertEqual((await asked)[0], 503)

    async def test_an_answer_without_a_length_ends_by_its_peer_alone(self) -> None:
        """Half of it and a reset, a stall, or a close of ours is no answer; the peer's own end is one."""
        half = b"HTTP/1.1 200 OK\r\n\r\nhalf of it"
        for how, status in (("end", 200), ("reset", 500), ("stall", 500), ("ours", 500)):
            peer = self.peer()
            await self.open_gateway(peer.address)
            asked = asyncio.create_task(self.send_request(POST_TARGET, "POST", b"{}"))
            line = await peer.accept()
            await line.read(b"{}")
            line.write(half)
            if how == "ours":
                await wait_until(
                    lambda: any(
                        wire.framer.message for wire in self.gateway.endpoint_clients.pool.connections
                    )
                )
                for wire in list(self.gateway.endpoint_clients.pool.connections):
                    wire.close()
            elif how != "stall":
                line.close(reset=how == "reset")
            self.assertEqual((await asked)[0], status, how)
            await self.close_gateway()


class SecondResponseTest(CrossingCase):
    """An endpoint that answers twice: the second response meets no request."""

    async def test_a_second_answer_some_milliseconds_late_is_not_the_next_ones(self) -> None:
        """Guards the next request, which was served what no endpoint had made for it.

        The second answer came between the look at the kept connection and the next request's own answer.
        """
        peer = self.peer()
        await self.open_gateway(peer.address)
        first, second = self.open_client(), self.open_client()
        first.write(http_request())
        line = await peer.accept()
        await line.read(b"\r\n\r\n")
        line.write(http_response(b"one"))
        await first.read(b"one")
        second.write(http_request(Request_Id="9b20"))  # at once: the first connection rests
        other = await peer.accept()
        await other.read(b"Request-Id: 9b20")
        line.write(http_response(b"one"))  # it comes late, and to nobody
        self.assertEqual(await line.read_to_end(), b"")  # its connection ends
        other.write(http_response(b"two"))
        self.assertIn(b"two", await second.read(b"two"))

    async def test_after_its_rest_a_connection_is_used_again(self) -> None:
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        for n in range(3):
            self.assertEqual((await self.send_request(Request_Id=f"{n}"))[0], 200)
            await wait_until(lambda: any(self.gateway.endpoint_clients.pool.connector._conns.values()))
        self.assertEqual((len(endpoint.requests), len(endpoint.connections)), (3, 1))
