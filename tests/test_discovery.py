"""Tests of polling for the endpoint list, including outages of discovery, against a scripted agent."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from typing import Any
from unittest import mock

from drumgw.gateway.discovery_poll import PollTimes
from drumgw.gateway.membership import RENUMBERED_AFTER_MS
from drumgw.gateway.process_config import MAX_BODY_BYTES
from tests.agent_case import ALL_GATEWAYS_QUOTA_INFO, AgentCase, JsonObject, endpoint_list
from tests.gateway_case import POST_TARGET, endpoint_row, load_config, raw_config, raw_settings
from tests.scripted_server import ScriptedServer, http_response

DISCOVERY = "drumgw.gateway.discovery"


class StartTest(AgentCase):
    """A gateway starts while the endpoint list in its configuration is out of date."""

    async def test_start_with_outdated_list_forwards_nothing_to_drained_endpoint(self) -> None:
        """An endpoint was drained while the gateway was down; in the configuration it is still ready.

        The protocol counts the agent's list as known to the gateway from the start. The gateway must not
        accept clients or forward requests before the agent has answered.
        """
        one, _, known = await self.start_endpoints()
        await self.start_agent({**known[0], "lifecycle": "draining"}, known[1])
        may_answer, agent_answer = asyncio.Event(), self.answer

        async def answer_later(head: bytes, body: bytes) -> bytes | None:
            await may_answer.wait()
            return await agent_answer(head, body)

        self.discovery.answer = answer_later
        gateway = await self.start_gateway(known)
        while not self.discovery.requests:
            await asyncio.sleep(0.001)
        assert gateway.http_server.socket is not None
        self.assertEqual((gateway.http_server.ready, self.opening.done()), (False, False))
        self.assertEqual(gateway.endpoint_clients.clients, {})
        with self.assertRaises(ConnectionRefusedError):  # as if the gateway were not running
            await asyncio.open_connection(*gateway.http_server.socket.sockets[0].getsockname())
        may_answer.set()
        await self.wait_until_open()
        self.assertEqual((await self.send_request("/health/ready"))[0], 200)
        self.assertEqual(await self.send_requests_of_all_customers(), [(200, b"other")] * 16)
        self.assertEqual((one.requests, self.statuses()), ([], {"s-0": "draining", "s-1": "ready"}))

    async def test_known_list_is_not_used_however_long_the_agent_is_silent(self) -> None:
        """Regression: after 20 s of silence a request went to an endpoint whose drain the agent had."""
        one, other, known = await self.start_endpoints()
        await self.start_agent()
        self.content = None
        with (
            mock.patch(f"{DISCOVERY}.KNOWN_LIST_AFTER_MS", 0.0),
            mock.patch(f"{DISCOVERY}.POLL_INTERVAL_PER_DRAIN_GRACE", 0.07),
            mock.patch("drumgw.gateway.process.MAX_START_WAIT_MS", 100.0),
        ):
            gateway = await self.start_gateway(known)
            await self.wait_until_open()
            for status, _ in await self.send_requests_of_all_customers():
                self.assertEqual(status, 503)
            self.assertEqual((one.connections, other.connections), ([], []))
            self.assertFalse(gateway.discovery.has_endpoints.is_set())
            await self.answer_with_drain(known)
        self.assertEqual(await self.send_requests_of_all_customers(), [(200, b"other")] * 16)
        self.assertEqual((one.requests, self.targets[0]), ([], "/registry/instances"))

    async def test_gateway_becomes_ready_and_rejects_requests_while_agent_is_silent(self) -> None:
        """The agent is down when the gateway starts, and the gateway must become ready in time.

        It must reject all requests itself and at once, without calls to endpoints or the counter, as the
        known list may name endpoints that are draining or removed.
        """
        one, other, known = await self.start_endpoints()
        counter = await self.start_server(http_response(b"0"))
        await self.start_agent({**known[0], "lifecycle": "draining"}, known[1])
        content, self.content = self.content, None
        family = {"counter": True, "countWaitMs": 5000.0, "unitsTop": 9}
        with mock.patch("drumgw.gateway.process.MAX_START_WAIT_MS", 0.0):
            gateway = await self.start_gateway(
                known, counter=counter.address, settings=raw_settings(familyInfo=family)
            )
            await self.wait_until_open()
        self.assertEqual((await self.send_request("/health/ready"))[0], 200)
        for target, method in (("/a?account=00000000b4d65521", "GET"), (POST_TARGET, "POST")):
            status, _, head = await self.send_request(target, method, Request_Timeout="60000m")
            self.assertEqual(status, 503)
            self.assertRegex(head, rb"Retry-After: 0\.[1-9]")
        self.assertEqual((one.connections, other.connections, counter.connections), ([], [], []))
        self.assertFalse(gateway.discovery.has_endpoints.is_set())
        self.content = content
        await self.wait_for_calls("since=7&")
        self.assertEqual(set(await self.send_requests_of_all_customers()), {(200, b"other")})
        self.assertEqual((one.requests, self.statuses()), ([], {"s-0": "draining", "s-1": "ready"}))

    async def test_sigterm_while_waiting_for_discovery(self) -> None:
        """A gateway that is stopped during its start must exit at once with code 0."""
        discovery = await self.start_server(None)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(raw_config(discovery.address, []), file)
            file.flush()
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "drumgw",
                env={**os.environ, "GW_CONFIG": file.name},
                stderr=asyncio.subprocess.PIPE,
            )
            while not discovery.requests:
                await asyncio.sleep(0.001)
            process.terminate()
            _, log = await process.communicate()
        self.assertEqual(
            (process.returncode, b"n0 exits: received SIGTERM during startup" in log), (0, True), log
        )


class WatchTest(AgentCase):
    """A running gateway receives changes of the endpoint list."""

    async def test_backup_poll_succeeds_if_watch_is_never_answered_after_outage(self) -> None:
        """An endpoint drains during an outage of the agent.

        The watch in progress when the outage began is never answered, and times out long after the drain must
        have been applied. A backup poll must return the drain.
        """
        await self.start_agent(endpoint_row("s-0", "127.0.0.1:1"))
        with (
            mock.patch(f"{DISCOVERY}.WATCH_TIMEOUT_MS", 1e9),
            mock.patch(f"{DISCOVERY}.POLL_INTERVAL_PER_DRAIN_GRACE", 0.07),
        ):
            await self.start_gateway([])
            await self.wait_until_open()
            await self.wait_for_calls("since=7&")  # never answered: the change of content is not notified
            self.content = {
                "generation": 8,
                "reset": False,
                "instances": [endpoint_row("s-0", "", "draining")],
            }
            async with asyncio.timeout(20):  # without backup polls the test must fail instead of hanging
                await self.wait_for_calls("since=8&")
        self.assertEqual(self.statuses(), {"s-0": "draining"})

    def write_update(self, *rows: Any) -> None:
        """Answers the pending watch; the bytes stay unread in the gateway's socket until the loop runs."""
        self.discovery.request_connections[-1].write(endpoint_list(8, *rows, complete=False))

    async def start_with_pending_watch(self) -> tuple[ScriptedServer, ScriptedServer, list[JsonObject]]:
        """Starts a gateway with two endpoints, a pending watch, and no further polls."""
        one, other, rows = await self.start_endpoints()
        await self.start_agent(*rows)
        for name in ("MAX_POLL_INTERVAL_MS", "POLL_INTERVAL_PER_DRAIN_GRACE", "WATCH_TIMEOUT_MS"):
            patch = mock.patch(f"{DISCOVERY}.{name}", 1e9)
            patch.start()
            self.addCleanup(patch.stop)
        await self.start_gateway([])
        await self.wait_until_open()
        await self.wait_for_calls("since=7&")
        return one, other, rows

    async def test_unread_drain_is_applied_before_request_is_forwarded(self) -> None:
        """A drain and a request arrive while the event loop is busy or stalled; the request is read first.

        The update with the drain is still unread in the gateway's socket. It must be read before the
        attempt's first byte is written.
        """
        one, _, _ = await self.start_with_pending_watch()
        customers_of_one = [
            n
            for n, answer in enumerate(await self.send_requests_of_all_customers())
            if answer == (200, b"one")
        ]  # this also opens the connections that are reused below
        read = self.gateway.http_server.read
        one.requests = []

        async def read_after_drain(request: Any) -> bytes:
            self.write_update(endpoint_row("s-0", "", "draining"))
            return await read(request)

        with (
            mock.patch(f"{DISCOVERY}.MAX_UNREAD_MS", 0.0),
            mock.patch.object(self.gateway.http_server, "read", read_after_drain),
        ):
            answer = await self.send_request(f"/a?account={customers_of_one[0]:016x}")
        self.assertEqual(answer[:2], (200, b"other"))
        self.assertEqual((one.requests, self.statuses()), ([], {"s-0": "draining", "s-1": "ready"}))

    async def test_unread_removal_is_applied_before_attempt_on_new_connection(self) -> None:
        """An endpoint is removed while an attempt waits for its connection; the update is still unread."""
        one, _, _ = await self.start_with_pending_watch()
        connector = self.gateway.endpoint_clients.pool.connector
        connect = connector.connect

        async def connect_and_remove(peer: Any, *rest: Any) -> Any:
            connection = await connect(peer, *rest)
            if f":{peer.url.port}" in one.address and not one.requests:
                self.write_update({"instanceId": "s-0", "lifecycle": "removed"})
            return connection

        with (
            mock.patch(f"{DISCOVERY}.MAX_UNREAD_MS", 0.0),
            mock.patch.object(connector, "connect", connect_and_remove),
        ):
            self.assertEqual(await self.send_requests_of_all_customers(), [(200, b"other")] * 16)
        self.assertEqual((one.requests, self.statuses()), ([], {"s-1": "ready"}))

    async def test_endpoint_omitted_by_new_agent_with_lower_generations_is_removed(self) -> None:
        """A reload switches the gateway to another agent, whose generations are lower.

        The new agent's list counts as known 4 s after the reload. An endpoint that its complete list omits
        must be removed at once, long before the new numbering is accepted after RENUMBERED_AFTER_MS.
        """
        one, _, rows = await self.start_endpoints()
        await self.start_agent(*rows)
        assert self.content is not None
        self.content["generation"] = 41
        gateway = await self.start_gateway([])
        await self.wait_until_open()
        self.assertEqual(set(await self.send_requests_of_all_customers()), {(200, b"one"), (200, b"other")})
        one.requests = []
        self.content = None
        other_agent = await self.start_server(endpoint_list(3, rows[1]))
        gateway.service.reconfigure(load_config(raw_config(other_agent.address, [])))
        membership = gateway.discovery.membership
        while "s-0" in membership.rows:
            await asyncio.sleep(0.001)
        self.assertLess(gateway.clock.now() - membership.behind_since_ms, RENUMBERED_AFTER_MS)
        self.assertEqual(await self.send_requests_of_all_customers(), [(200, b"other")] * 16)
        self.assertEqual((one.requests, self.statuses()), ([], {"s-1": "ready"}))

    async def test_list_of_a_thousand_endpoints(self) -> None:
        """The list exceeds the limit for other bodies; then one update drains all endpoints but one."""
        _, _, rows = await self.start_endpoints()
        many = [endpoint_row(f"s-{n}", f"127.0.0.1:{n}") for n in range(2, 1025)]
        await self.start_agent(*many, rows[1])
        self.assertGreater(len(json.dumps(many)), MAX_BODY_BYTES)
        await self.start_gateway([], settings=raw_settings(balancers=1024))
        await self.wait_until_open()
        self.assertEqual(len(self.gateway.endpoint_clients.clients), 1024)
        await self.update_agent(8, *({**row, "lifecycle": "draining"} for row in many))
        await self.wait_for_calls("since=8&")
        self.assertEqual((await self.send_request(Quota_Info=ALL_GATEWAYS_QUOTA_INFO))[:2], (200, b"other"))
        self.assertEqual(
            sum(client.accepts_attempts for client in self.gateway.endpoint_clients.clients.values()), 1
        )

    async def test_minimum_interval_between_polls_if_agent_answers_at_once(self) -> None:
        """An agent that never waits for updates must not keep the gateway busy with polls."""
        await self.start_agent()
        gateway = await self.start_gateway([])
        await self.wait_until_open()
        slept_s: list[float] = []

        async def sleep(seconds: float) -> None:
            slept_s.append(seconds)

        for task in gateway.discovery.tasks:
            task.cancel()
        with (
            mock.patch.object(gateway.clock, "now", lambda: 1e6),
            mock.patch.object(gateway.discovery, "_exchange", mock.AsyncMock()),
            mock.patch("asyncio.sleep", sleep),
        ):
            await gateway.discovery.poll(PollTimes(1000.0, 2000.0, 50.0))
        self.assertEqual(slept_s, [0.05])

    async def test_invalid_responses_keep_the_last_list_and_are_logged_once(self) -> None:
        """The agent sends ten invalid responses in a row, each of a different kind."""
        await self.start_agent(endpoint_row("s-0", "127.0.0.1:1"))
        broken = [
            http_response(status=500),
            b"",
            b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\n{",
            http_response(b"{]"),
            http_response(b"7"),
            http_response(b"[]"),
            http_response(b'{"instances": {}}'),
            http_response(b'{"generation": 8}'),
            http_response(b'{"generation": 8, "reset": true, "instances": [7, {}]}'),
            http_response(b"[" * 100000),
        ]
        agent_answer = self.answer

        async def answer(head: bytes, body: bytes) -> bytes | None:
            """Sends the complete list, then the broken responses in a row, then an update."""
            if b"since=7&" in head and broken:
                return broken.pop(0)
            if b"since=" in head:
                rows = [endpoint_row("s-1", "127.0.0.1:1")]
                self.content = {"generation": 8, "reset": False, "instances": rows}
            return await agent_answer(head, body)

        self.discovery.answer = answer
        with (
            mock.patch("drumgw.gateway.discovery_log.logger") as log,
            mock.patch(f"{DISCOVERY}.WATCH_MIN_INTERVAL_MS", 0.0),
        ):
            gateway = await self.start_gateway([])
            await self.wait_until_open()
            await self.wait_for_calls("since=8&")
        failures = [call for call in log.warning.call_args_list if "discovery unavailable" in call[0][0]]
        self.assertEqual((broken, self.statuses()), ([], {"s-0": "ready", "s-1": "ready"}))
        self.assertEqual(len(failures), 1)
        self.assertEqual(len(gateway.endpoint_clients.clients), 2)
