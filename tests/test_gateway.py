"""Tests of a gateway on sockets: forwarding of requests, and protection against misbehaving clients."""

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
    """Forwarding of requests and responses; retry, rejection or failure of unsuccessful attempts."""

    async def test_targets_and_bodies_are_forwarded_unchanged(self) -> None:
        """Targets are not re-encoded; bodies are not (de)compressed, even with a Content-Encoding header."""
        body, response_body = b"\x1f\x8bnot really gzip\x00", b"\x00\xffneither"
        endpoint = await self.start_server(
            http_response(response_body, Content_Encoding="gzip", Billed_Units="2")
        )
        await self.open_gateway(endpoint.address)
        status, received_response, _ = await self.send_request(
            GET_TARGET.replace("/a", "/b"), "POST", body, Content_Encoding="gzip", Request_Id="9b1f"
        )
        head, received_body = endpoint.requests[0]
        self.assertEqual((status, received_response, received_body), (200, response_body, body))
        self.assertTrue(head.startswith(f"POST {GET_TARGET.replace('/a', '/b')} HTTP/1.1\r\n".encode()))
        self.assertIn(b"\r\nRequest-Id: 9b1f\r\n", head)
        self.assertRegex(head, rb"\r\nRequest-Timeout: [1-9]\d{1,2}m\r\n")

    async def test_all_but_hop_by_hop_headers_are_forwarded(self) -> None:
        """Regression: the Idempotency-Key header was dropped, so endpoints could not recognise retries."""
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

    async def test_sequential_requests_reuse_one_connection(self) -> None:
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        connection = await self.connect()
        for _ in range(3):
            self.assertEqual((await self.send_request(connection=connection))[:2], (200, b"ok"))
        self.assertEqual((len(endpoint.requests), endpoint.disconnected.is_set()), (3, False))

    async def test_a_request_on_a_broken_reused_connection_is_not_resent(self) -> None:
        """HTTP libraries resend a GET when a reused connection breaks, which would be a second attempt."""
        scripted_responses = [http_response(b"ok"), b"", http_response(b"ok")]
        endpoint = await self.start_server(lambda head, body: scripted_responses.pop(0))
        one_attempt = {**raw_settings()["ceilings"], "maxAttempts": 1}
        await self.open_gateway(endpoint.address, settings=raw_settings(ceilings=one_attempt))
        with mock.patch("drumgw.gateway.connection_pool.REUSE_DELAY_MS", 0.0):
            self.assertEqual((await self.send_request())[0], 200)
        self.assertEqual((await self.send_request())[0], 503)
        self.assertEqual((len(endpoint.requests), len(endpoint.connections)), (2, 1))

    async def test_a_request_that_did_not_run_is_retried_at_another_endpoint(self) -> None:
        unreachable, overloaded = (
            await self.start_server(None),
            await self.start_server(http_response(status=503, Not_Started="1")),
        )
        unreachable.server.close()
        await unreachable.server.wait_closed()
        healthy = await self.start_server(http_response(b"ok"))
        for first in (unreachable, overloaded):
            await self.open_gateway(first.address, healthy.address)
            for _ in range(4):
                status, response_body, _ = await self.send_request("/b?account=00000000b4d65521", "POST")
                self.assertEqual((status, response_body), (200, b"ok"))
            await self.close_gateway()

    async def test_a_non_idempotent_request_that_may_have_run_fails(self) -> None:
        truncated = PartialResponse(b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf")
        for scripted_response in (b"", http_response(status=500), http_response(status=503), truncated):
            endpoint = await self.start_server(scripted_response)
            await self.open_gateway(endpoint.address)
            status, _, _ = await self.send_request("/b?account=00000000b4d65521", "POST")
            self.assertEqual((status, len(endpoint.requests)), (500, 1), scripted_response)
            await self.close_gateway()

    async def test_a_malformed_response_fails_the_request_at_once(self) -> None:
        """A malformed response is not buffered without limit, passed to the client or waited for.

        The request may have run, so its status is 500.
        """
        head, chunked_head = b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        length_head = head + b"Content-Length: "
        malformed_responses = (
            b"\x00noise",
            b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
            length_head + b"-2\r\n\r\nok",
            length_head + b"3000000000\r\n\r\n" + b"x" * 9999,
            length_head + b"2\r\nContent-Length: 3\r\n\r\nok!",
            length_head + b"9\r\n\r\nok",
            head + b"X-Pad: p\r\n" * 9999,
            head,
            chunked_head + b"zz\r\n",
            chunked_head + b"5\r\nok",
            chunked_head + b"fff\r\n%b\r\n" % (b"x" * 4095) * 17,
            head + b"\r\nno length",
            b"HTTP/1.1 101 OK\r\nUpgrade: x\r\n\r\n",
        )
        scripted_responses = list[bytes]()
        endpoint = await self.start_server(lambda head, body: scripted_responses.pop(0))
        await self.open_gateway(endpoint.address)
        for scripted_response in malformed_responses:
            scripted_responses.append(scripted_response)
            no_outlier_exclusion = mock.patch("drumgw.policy.outlier_detection.MAX_FAILURE_SHARE", 9.0)
            with no_outlier_exclusion:  # the endpoint keeps receiving requests after failures
                status, _, _ = await self.send_request(POST_TARGET, "POST", Request_Timeout="60000m")
            self.assertEqual((status, scripted_responses), (500, []), scripted_response[:60])
            await asyncio.wait_for(endpoint.disconnected.wait(), 10)  # the gateway closed the connection
            endpoint.disconnected.clear()

    async def test_bytes_after_a_valid_response_close_its_connection(self) -> None:
        """Bytes after a valid response must not affect the next request.

        On a reused connection they would be taken for its response; stray bytes could also make the gateway
        lose the valid response.
        """
        trailing_bytes = (b"\x00noise", http_response(b"other"), b"HTTP/1.1 200 OK\r\n")
        chunked_response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        valid_responses = (
            http_response(b"ok"),
            http_response(b"ok", Billed_Units="nan", Server_Load="TEXT \xff=,inflight=inf"),
            chunked_response,
            b"HTTP/1.1 103 x\r\n\r\n" + http_response(b"ok"),
        )
        scripted_responses = list[bytes]()
        endpoint = await self.start_server(lambda head, body: scripted_responses.pop(0))
        await self.open_gateway(endpoint.address)
        for valid_response in valid_responses:
            for trailing in trailing_bytes:
                scripted_responses += [valid_response + trailing, http_response(b"mine")]
                self.assertEqual((await self.send_request())[:2], (200, b"ok"))
                self.assertEqual((await self.send_request())[:2], (200, b"mine"))
        scripted_responses += [http_response(b"ok"), http_response(b"mine")]
        with mock.patch("drumgw.gateway.connection_pool.REUSE_DELAY_MS", 0.0):
            self.assertEqual((await self.send_request())[:2], (200, b"ok"))
        endpoint.connections[-1].write(http_response(b"late"))  # on an idle connection, and not read yet
        self.assertEqual((await self.send_request())[:2], (200, b"mine"))

    async def test_the_most_recently_used_connection_is_reused_first(self) -> None:
        """Old idle connections are more likely to be broken, which fails requests that are not idempotent."""
        pending_responses = [asyncio.get_running_loop().create_future() for _ in range(3)]
        scripted_responses = [*pending_responses, http_response(b"ok"), http_response(b"ok")]
        endpoint = await self.start_server(lambda head, body: scripted_responses.pop(0))
        await self.open_gateway(endpoint.address)
        # The delay before reuse has its own test.
        patch = mock.patch("drumgw.gateway.connection_pool.REUSE_DELAY_MS", 0.0)
        patch.start()
        self.addCleanup(patch.stop)
        sent_requests = [asyncio.create_task(self.send_request(Request_Id=name)) for name in ("1", "2", "3")]
        while len(endpoint.requests) < 3:
            await asyncio.sleep(0.001)
        for n in (1, 0, 2):  # the third connection is closed by its response, and not reused
            pending_responses[n].set_result(
                http_response(b"ok", Connection="close") if n == 2 else http_response(b"ok")
            )
            self.assertEqual((await sent_requests[n])[1], b"ok")
        for _ in range(2):
            self.assertEqual((await self.send_request())[1], b"ok")
        self.assertEqual(
            [endpoint.connections.index(connection) for connection in endpoint.request_connections],
            [0, 1, 2, 0, 0],
        )

    async def test_a_client_disconnect_closes_the_endpoint_connection(self) -> None:
        endpoint, writer = await self.open_gateway_with_request_in_flight()
        writer.close()
        await asyncio.wait_for(endpoint.disconnected.wait(), 10)
        self.assertEqual(
            (self.gateway.dispatcher.lifecycle.in_flight, self.gateway.dispatcher.pending_requests), ({}, {})
        )

    async def test_the_deadline_fails_a_request_and_closes_the_endpoint_connection(self) -> None:
        endpoint = await self.start_server(None)
        await self.open_gateway(endpoint.address)
        status, _, _ = await self.send_request(
            "/b?account=00000000b4d65521", "POST", Request_Timeout="30000u"
        )
        self.assertEqual(status, 500)
        await asyncio.wait_for(endpoint.disconnected.wait(), 10)

    async def test_malformed_requests_do_not_reach_the_policy_engine(self) -> None:
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
            *((400, {name.lower(): "1"}) for name in ("Host", "Request_Id", "Plan", "Quota_Info")),
            (400, {"request_timeout": "900m"}),
            (400, {"Client_Retry": "1", "client_retry": "1"}),
            *(
                (400, {"Quota_Info": f"units={units},spread={gateway_count},first={first}"})
                for units, gateway_count, first in (
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
        for status, arguments in cases:
            self.assertEqual((await self.send_request(**arguments))[0], status, arguments)
        self.assertEqual(self.gateway.dispatcher.lifecycle.received_count, 0)
        # A body of the maximum size is accepted; 503, as the gateway has no endpoint.
        self.assertEqual((await self.send_request(POST_TARGET, "POST", b"x" * (64 * 1024)))[0], 503)
        self.assertEqual(self.gateway.dispatcher.lifecycle.received_count, 1)

    async def test_a_request_over_quota_is_rejected_with_retry_after(self) -> None:
        await self.open_gateway(
            settings=raw_settings(tiersOfService=[{**PLAN, "unitsPerS": 1.0, "peakUnits": 4.0}])
        )
        status, _, head = await self.send_request(Quota_Info="units=9,spread=1,first=0")
        self.assertEqual(status, 503)
        self.assertRegex(head, rb"Retry-After: 0\.\d+")

    async def test_internal_errors_are_answered_and_the_gateway_keeps_serving(self) -> None:
        endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(endpoint.address)
        with mock.patch.object(self.gateway.dispatcher.lifecycle.policy, "handle", side_effect=KeyError("x")):
            self.assertEqual((await self.send_request())[0], 503)
        for function_path in (
            "drumgw.gateway.http_server.parse_request",
            "drumgw.gateway.request_lifecycle.RequestLifecycle.request_received",
        ):
            with mock.patch(function_path, side_effect=KeyError("x")):
                self.assertEqual((await self.send_request())[0], 500)
        with mock.patch(
            "drumgw.gateway.request_lifecycle.RequestLifecycle.attempt_ended", side_effect=KeyError("x")
        ):
            status, _, _ = await self.send_request(Request_Timeout="50m")  # answered at its deadline
        self.assertEqual((status, (await self.send_request())[:2]), (503, (200, b"ok")))


class MisbehavingClientsTest(GatewayCase):
    """Misbehaving clients are refused or disconnected before they exhaust resources that others need."""

    async def open_gateway_with_idle_timeout(self, client_idle_timeout_ms: float = 40.0, **more: Any) -> None:
        """Opens a gateway with one endpoint, this idle timeout for clients, and a sweep every 5 ms."""
        for name, value in (("CLIENT_IDLE_TIMEOUT_MS", client_idle_timeout_ms), ("SWEEP_INTERVAL_S", 0.005)):
            patch = mock.patch(f"drumgw.gateway.connection_limits.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)
        self.endpoint = await self.start_server(http_response(b"ok"))
        await self.open_gateway(self.endpoint.address, **more)

    async def test_connections_with_incomplete_requests_are_closed(self) -> None:
        await self.open_gateway_with_idle_timeout()
        complete, incomplete_body = http_request(), http_request(POST_TARGET, "POST", b"body")[:-2]
        for data in (b"", complete[:-2], incomplete_body):
            for is_reused in (False, True) if data else (False,):
                connection = await self.connect()
                if is_reused:
                    self.assertEqual((await self.send_request(connection=connection))[0], 200)
                connection[1].write(data)
                self.assertEqual(await asyncio.wait_for(connection[0].read(), 10), b"")  # reads until EOF
        self.assertEqual(
            (self.gateway.http_server.limits.count(), self.gateway.http_server.request_ids.in_flight),
            (0, set()),
        )

    async def test_idle_connections_are_closed_only_when_descriptors_are_scarce(self) -> None:
        # At most 6 client connections, 4 of which may have sent requests; 2 may stay idle past the timeout.
        await self.open_gateway_with_idle_timeout(60000.0, limits={"sockets": 34})
        first, *others = [await self.connect() for _ in range(3)]
        for connection in (first, *others):
            self.assertEqual((await self.send_request(connection=connection))[0], 200)
        with mock.patch("drumgw.gateway.connection_limits.CLIENT_IDLE_TIMEOUT_MS", 1.0):
            self.assertEqual(await asyncio.wait_for(first[0].read(), 10), b"")  # idle for longest
            self.gateway.http_server.limits.sweep()
        for connection in others:
            self.assertEqual((await self.send_request(connection=connection))[0], 200)

    async def test_silent_connections_do_not_lock_out_active_clients(self) -> None:
        await self.open_gateway_with_idle_timeout(60000.0, limits={"sockets": 34})
        connection = await self.connect()
        self.assertEqual((await self.send_request(connection=connection))[0], 200)
        for _ in range(60):
            await self.connect()
        self.assertEqual(
            ((await self.send_request(connection=connection))[0], (await self.send_request())[0]), (200, 200)
        )
        self.assertLessEqual(self.gateway.http_server.limits.count(), 6)

    async def test_idle_clients_do_not_lock_out_new_clients(self) -> None:
        await self.open_gateway_with_idle_timeout(60000.0, limits={"sockets": 34})
        with mock.patch("drumgw.gateway.connection_limits.STALL_THRESHOLD_MS", 0.0):
            for _ in range(20):
                self.assertEqual((await self.send_request())[0], 200)
        # Four may have sent requests; the other connections stay available for new clients.
        self.assertEqual(self.gateway.http_server.limits.requesting_count(), 4)
        async with asyncio.timeout(20):  # surplus connections are half-closed, so clients can read responses
            while self.gateway.http_server.limits.connections[ConnectionState.CLOSING]:
                await asyncio.sleep(0.001)
        self.assertEqual(self.gateway.http_server.limits.count(), 4)

    async def test_a_request_id_already_in_flight_is_rejected(self) -> None:
        """The endpoint would treat the second request as a retry of the first."""
        endpoint, _ = await self.open_gateway_with_request_in_flight(request_id="9b1f")
        self.assertEqual((await self.send_request(Request_Id="9b1f"))[0], 409)
        self.assertEqual(len(endpoint.requests), 1)
