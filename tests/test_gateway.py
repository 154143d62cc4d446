"""Requests through a gateway on sockets, and bad clients beside them."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

from drumgw.gateway.client_connections import ConnectionState
from tests.gateway_case import (
    GET_TARGET,
    POST_TARGET,
    GatewayCase,
    http_request,
    raw_settings,
)
from tests.scripted_server import PartialResponse, http_response
from tests.test_simulator import PLAN


class ForwardingTest(GatewayCase):
    """Requests pass to an endpoint and its response back; what fails is retried, rejected or failed."""

    async def test_bytes_pass_as_they_came(self) -> None:
        """Targets are not re-encoded; bodies neither packed nor unpacked, whatever the headers say."""
        body, back = b"\x1f\x8bnot really gzip\x00", b"\x00\xffneither"
        endpoint = await self.start_server(http_response(back, Content_Encoding="gzip", Billed_Units="2"))
        await self.open_gateway(endpoint.address)
        status, answer, _ = await self.send_request(
            GET_TARGET.replace("/a", "/b"), "POST", body, Content_Encoding="gzip"
        )
        head, came = endpoint.requests[0]
        self.assertEqual((status, answer, came), (200, back, body))
        self.assertTrue(head.startswith(f"POST {GET_TARGET.replace('/a', '/b')} HTTP/1.1\r\n".encode()))
        self.assertIn(b"\r\nRequest-Id: 9b1f\r\n", head)
        self.assertRegex(head, rb"\r\nRequest-Timeout: [1-9]\d{1,2}m\r\n")

    async def test_headers_pass_but_those_of_the_connection(self) -> None:
        """Guards keyed requests of another customer: their key was dropped, so no repeat was known."""
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        status, _, _ = await self.send_request(
            POST_TARGET,
            "POST",
            b"{}",
            Idempotency_Key="868894f6",
            Content_Encoding="x",
            traceparent="00-1",
            Connection="keep-alive, X-Mine",
            X_Mine="1",
            TE="trailers",
            Keep_Alive="9",
            Expect="later",
        )
        head, _ = endpoint.requests[0]
        names = [line.split(b":")[0].decode() for line in head.split(b"\r\n")[1:-2]]
        self.assertEqual(
            (status, names),
            (
                200,
                [
                    "Host",
                    "Request-Id",
                    "Plan",
                    "Quota-Info",
                    "Idempotency-Key",
                    "Content-Encoding",
                    "traceparent",
                    "Content-Length",
                    "Request-Timeout",
                ],
            ),
        )
        self.assertIn(b"\r\nIdempotency-Key: 868894f6\r\n", head)

    async def test_one_connection_carries_one_request_after_another(self) -> None:
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        line = await self.connect()
        for _ in range(3):
            self.assertEqual((await self.send_request(line=line))[:2], (200, b"ok"))
        self.assertEqual((len(endpoint.requests), endpoint.disconnected.is_set()), (3, False))

    async def test_a_request_on_a_dead_connection_is_not_sent_again_by_itself(self) -> None:
        """Guards against a second copy: HTTP libraries repeat a GET whose kept connection broke."""
        answers = [http_response(b"ok"), b"", http_response(b"ok")]
        endpoint = await self.start_server(lambda head, body: answers.pop(0))
        once = {**raw_settings()["ceilings"], "maxAttempts": 1}
        await self.open_gateway(endpoint.address, settings=raw_settings(ceilings=once))
        with mock.patch("drumgw.gateway.connection_pool.REUSE_DELAY_MS", 0.0):
            self.assertEqual((await self.send_request())[0], 200)
        self.assertEqual((await self.send_request())[0], 503)
        self.assertEqual((len(endpoint.requests), len(endpoint.connections)), (2, 1))

    async def test_what_never_ran_goes_to_another_endpoint(self) -> None:
        gone, full = (
            await self.start_server(None),
            await self.start_server(http_response(status=503, Not_Started="1")),
        )
        gone.server.close()
        await gone.server.wait_closed()
        good = await self.start_server(http_response(b"ok"))
        for first in (gone, full):
            await self.open_gateway(first.address, good.address)
            for _ in range(4):
                status, answer, _ = await self.send_request("/b?account=00000000b4d65521", "POST")
                self.assertEqual((status, answer), (200, b"ok"))
            await self.close_gateway()

    async def test_a_request_that_is_not_idempotent_and_may_have_run_fails(self) -> None:
        half = PartialResponse(b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf")
        for answer in (b"", http_response(status=500), http_response(status=503), half):
            endpoint = await self.start_server(answer)
            await self.open_gateway(endpoint.address)
            status, _, _ = await self.send_request("/b?account=00000000b4d65521", "POST")
            self.assertEqual((status, len(endpoint.requests)), (500, 1), answer)
            await self.close_gateway()

    async def test_a_spoilt_answer_is_given_up_at_once_and_may_have_run(self) -> None:
        """Guards memory and clients: nothing is read without bound, nor passed on, nor waited for."""
        head, lines = b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        ok = head + b"Content-Length: "
        spoilt = (
            b"\x00noise",
            b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
            ok + b"-2\r\n\r\nok",
            ok + b"3000000000\r\n\r\n" + b"x" * 9999,
            ok + b"2\r\nContent-Length: 3\r\n\r\nok!",
            ok + b"9\r\n\r\nok",
            head + b"X-Pad: p\r\n" * 9999,
            head,
            lines + b"zz\r\n",
            lines + b"5\r\nok",
            lines + b"fff\r\n%b\r\n" % (b"x" * 4095) * 17,
            head + b"\r\nno length",
            b"HTTP/1.1 101 OK\r\nUpgrade: x\r\n\r\n",
        )
        answers = list[bytes]()
        endpoint = await self.start_server(lambda head, body: answers.pop(0))
        await self.open_gateway(endpoint.address)
        for answer in spoilt:
            answers.append(answer)
            limit = mock.patch("drumgw.policy.outlier_detection.MAX_FAILURE_SHARE", 9.0)
            with limit:  # it gets the next one all the same
                status, _, _ = await self.send_request(POST_TARGET, "POST", Request_Timeout="60000m")
            self.assertEqual((status, answers), (500, []), answer[:60])
            await asyncio.wait_for(endpoint.disconnected.wait(), 10)  # its connection ended
            endpoint.disconnected.clear()

    async def test_what_comes_behind_a_good_answer_ends_its_connection(self) -> None:
        """Guards the next request: it would be served with another's answer, or lose a good one to noise."""
        behind = (b"\x00noise", http_response(b"other"), b"HTTP/1.1 200 OK\r\n")
        chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        good = (
            http_response(b"ok"),
            http_response(b"ok", Billed_Units="nan", Server_Load="TEXT \xff=,inflight=inf"),
            chunks,
            b"HTTP/1.1 103 x\r\n\r\n" + http_response(b"ok"),
        )
        answers = list[bytes]()
        endpoint = await self.start_server(lambda head, body: answers.pop(0))
        await self.open_gateway(endpoint.address)
        for first in good:
            for more in behind:
                answers += [first + more, http_response(b"mine")]
                self.assertEqual((await self.send_request())[:2], (200, b"ok"))
                self.assertEqual((await self.send_request())[:2], (200, b"mine"))
        answers += [http_response(b"ok"), http_response(b"mine")]
        with mock.patch("drumgw.gateway.connection_pool.REUSE_DELAY_MS", 0.0):
            self.assertEqual((await self.send_request())[:2], (200, b"ok"))
        endpoint.connections[-1].write(http_response(b"late"))  # on a kept connection, and not read yet
        self.assertEqual((await self.send_request())[:2], (200, b"mine"))

    async def test_the_connection_last_used_is_used_next(self) -> None:
        """Guards what is not idempotent: the longer a connection is kept, the likelier it has died."""
        held = [asyncio.get_running_loop().create_future() for _ in range(3)]
        answers = [*held, http_response(b"ok"), http_response(b"ok")]
        endpoint = await self.start_server(lambda head, body: answers.pop(0))
        await self.open_gateway(endpoint.address)
        patch = mock.patch(
            "drumgw.gateway.connection_pool.REUSE_DELAY_MS", 0.0
        )  # how long it rests before is another test's
        patch.start()
        self.addCleanup(patch.stop)
        asked = [asyncio.create_task(self.send_request(Request_Id=name)) for name in ("1", "2", "3")]
        while len(endpoint.requests) < 3:
            await asyncio.sleep(0.001)
        for n in (1, 0, 2):  # the third is not kept, and changes nothing
            held[n].set_result(http_response(b"ok", Connection="close") if n == 2 else http_response(b"ok"))
            self.assertEqual((await asked[n])[1], b"ok")
        for _ in range(2):
            self.assertEqual((await self.send_request())[1], b"ok")
        self.assertEqual(
            [endpoint.connections.index(line) for line in endpoint.request_connections], [0, 1, 2, 0, 0]
        )

    async def test_a_client_that_leaves_is_noticed_at_its_endpoint(self) -> None:
        endpoint, writer = await self.open_gateway_with_request_in_flight()
        writer.close()
        await asyncio.wait_for(endpoint.disconnected.wait(), 10)
        self.assertEqual(
            (self.gateway.dispatcher.lifecycle.in_flight, self.gateway.dispatcher.pending_requests), ({}, {})
        )

    async def test_the_deadline_fails_a_request_at_once_and_closes_its_attempt(self) -> None:
        endpoint = await self.start_server(None)
        await self.open_gateway(endpoint.address)
        status, _, _ = await self.send_request(
            "/b?account=00000000b4d65521", "POST", Request_Timeout="30000u"
        )
        self.assertEqual(status, 500)
        await asyncio.wait_for(endpoint.disconnected.wait(), 10)

    async def test_what_is_malformed_never_reaches_the_policy_engine(self) -> None:
        await self.open_gateway()
        cases: list[tuple[int, dict[str, Any]]] = [
            (404, {"target": "/none?account=00000000b4d65521"}),
            (400, {"target": "/a"}),
            (400, {"target": "/a?account=12"}),
            (400, {"Plan": "q"}),
            (400, {"Plan": None}),
            (400, {"Request_Id": None}),
            (400, {"Request_Timeout": "5s"}),
            (400, {"Request_Timeout": "nanm"}),
            (400, {"Quota_Info": "units=1"}),
            (400, {"Quota_Info": "units=-1,spread=1,first=0"}),
            (400, {"target": "/a?account=00000002b4d65521"}),
            (400, {"Request_Id": "a b"}),
            *(
                (400, {"Quota_Info": f"units={units},spread={gates},first={first}"})
                for units, gates, first in (
                    ("nan", 1, 0),
                    (1, 2, 0),
                    (1, 1, 1),
                    (10, 1, 0),
                    ("1_0", 1, 0),
                    (1, 0.5, 0),
                    (1, 1, "x"),
                )
            ),
            (400, {"Request_Timeout": "-5m"}),
            (400, {"Request_Timeout": "1e3m"}),
            (400, {"Request_Timeout": "infm"}),
            (405, {"method": "POST"}),
            (405, {"method": "GET", "target": POST_TARGET}),
            (400, {"body": b"x"}),
            (400, {"Transfer_Encoding": "chunked", "body": b"x"}),
            (400, {"Content_Length": "-1"}),
            (400, {"Host": None}),
            (413, {"target": POST_TARGET, "method": "POST", "Content_Length": "62914560"}),
            (405, {"method": "PUT"}),
            (413, {"target": POST_TARGET, "method": "POST", "body": b"x" * (64 * 1024 + 1)}),
        ]
        for status, asked in cases:
            self.assertEqual((await self.send_request(**asked))[0], status, asked)
        self.assertEqual(self.gateway.dispatcher.lifecycle.received_count, 0)
        self.assertEqual(
            (await self.send_request(POST_TARGET, "POST", b"x" * (64 * 1024)))[0], 503
        )  # no endpoint
        self.assertEqual(self.gateway.dispatcher.lifecycle.received_count, 1)

    async def test_rejected_with_retry_after(self) -> None:
        await self.open_gateway(
            settings=raw_settings(tiersOfService=[{**PLAN, "unitsPerS": 1.0, "peakUnits": 4.0}])
        )
        status, _, head = await self.send_request(Quota_Info="units=9,spread=1,first=0")
        self.assertEqual(status, 503)
        self.assertRegex(head, rb"Retry-After: 0\.\d+")

    async def test_a_fault_of_the_policy_engine_is_answered_and_outlived(self) -> None:
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        with mock.patch.object(self.gateway.dispatcher.lifecycle.policy, "handle", side_effect=KeyError("x")):
            self.assertEqual((await self.send_request())[0], 503)
        for where in (
            "drumgw.gateway.http_server.parse_request",
            "drumgw.gateway.request_lifecycle.RequestLifecycle.request_received",
        ):
            with mock.patch(where, side_effect=KeyError("x")):
                self.assertEqual((await self.send_request())[0], 500)
        with mock.patch(
            "drumgw.gateway.request_lifecycle.RequestLifecycle.attempt_ended", side_effect=KeyError("x")
        ):
            status, _, _ = await self.send_request(Request_Timeout="50m")  # its expiry ends it
        self.assertEqual((status, (await self.send_request())[:2]), (503, (200, b"ok")))


class CrowdTest(GatewayCase):
    """Bad clients: each gets an error or a close soon, and holds nothing that a usual one needs."""

    async def short(self, client_ms: float = 40.0, **more: Any) -> None:
        for name, value in (("CLIENT_IDLE_TIMEOUT_MS", client_ms), ("SWEEP_INTERVAL_S", 0.005)):
            patch = mock.patch(f"drumgw.gateway.connection_limits.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)
        self.endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(self.endpoint.address, **more)

    async def test_what_never_comes_whole_is_closed(self) -> None:
        await self.short()
        whole, half = http_request(), http_request(POST_TARGET, "POST", b"body")[:-2]
        for sent in (b"", whole[:-2], half):
            for used in (False, True) if sent else (False,):
                line = await self.connect()
                if used:
                    self.assertEqual((await self.send_request(line=line))[0], 200)
                line[1].write(sent)
                self.assertEqual(await asyncio.wait_for(line[0].read(), 10), b"")  # to its end
        self.assertEqual(
            (self.gateway.http_server.limits.count(), self.gateway.http_server.open_request_ids), (0, set())
        )

    async def test_an_idle_client_is_closed_only_where_descriptors_are_short(self) -> None:
        await self.short(60000.0, limits={"sockets": 34})  # six clients; four may ask, two be idle for long
        first, *others = [await self.connect() for _ in range(3)]
        for line in (first, *others):
            self.assertEqual((await self.send_request(line=line))[0], 200)
        with mock.patch("drumgw.gateway.connection_limits.CLIENT_IDLE_TIMEOUT_MS", 1.0):
            self.assertEqual(await asyncio.wait_for(first[0].read(), 10), b"")  # the longest idle
            self.gateway.http_server.limits.sweep()
        for line in others:
            self.assertEqual((await self.send_request(line=line))[0], 200)

    async def test_hundreds_that_say_nothing_keep_no_usual_client_out(self) -> None:
        await self.short(60000.0, limits={"sockets": 34})
        line = await self.connect()
        self.assertEqual((await self.send_request(line=line))[0], 200)
        for _ in range(60):
            await self.connect()
        self.assertEqual(
            ((await self.send_request(line=line))[0], (await self.send_request())[0]), (200, 200)
        )
        self.assertLessEqual(self.gateway.http_server.limits.count(), 6)

    async def test_those_that_asked_once_and_stay_keep_no_newcomer_out(self) -> None:
        await self.short(60000.0, limits={"sockets": 34})
        with mock.patch("drumgw.gateway.connection_limits.STALL_THRESHOLD_MS", 0.0):
            for _ in range(20):
                self.assertEqual((await self.send_request())[0], 200)
        self.assertEqual(
            self.gateway.http_server.limits.requesting_count(), 4
        )  # the rest of what clients may hold is free
        async with asyncio.timeout(20):  # the others got an end, and have a moment to read what was theirs
            while self.gateway.http_server.limits.connections[ConnectionState.CLOSING]:
                await asyncio.sleep(0.001)
        self.assertEqual(self.gateway.http_server.limits.count(), 4)

    async def test_the_id_of_a_request_in_flight_is_rejected(self) -> None:
        """Guards that request: its endpoint would take the second for a copy."""
        endpoint, _ = await self.open_gateway_with_request_in_flight()
        self.assertEqual((await self.send_request())[0], 409)
        self.assertEqual(len(endpoint.requests), 1)
