"""Tests of polling a discovery service that many gateways share, also when it is overloaded."""

from __future__ import annotations

import asyncio
import dataclasses
from unittest import mock

from drumgw.gateway.discovery import BACKOFF_BY_OUTCOME
from drumgw.gateway.discovery_poll import PollOutcome
from drumgw.gateway.process import GatewayProcess
from tests.agent_case import ALL_GATEWAYS_QUOTA_INFO, AgentCase, endpoint_list
from tests.gateway_case import endpoint_row, load_config, raw_config, raw_settings
from tests.scripted_server import http_response

DISCOVERY = "drumgw.gateway.discovery"


class SharedServiceTest(AgentCase):
    """Many gateways poll one service, which queues their calls and rejects some when the queue is long."""

    SETTINGS = raw_settings(discovery="ask", balancers=1024)

    async def test_start_requests_changes_since_known_list(self) -> None:
        """Sending complete lists to all gateways at their start would overload the service.

        The changes are merged into the known list. No request may be forwarded by the known list before the
        changes have been received.
        """
        one, _, known = await self.start_endpoints()
        await self.start_agent()
        self.content = {
            "generation": 8,
            "reset": False,
            "instances": [{"instanceId": "s-0", "lifecycle": "draining"}],
        }
        config = raw_config(self.discovery.address, known, settings=self.SETTINGS)
        config["known"] = {"generation": 5, "reset": True, "instances": known}
        gateway = GatewayProcess(load_config(config))
        self.gateway = gateway
        self.assertEqual((gateway.discovery.membership.rows, gateway.endpoint_clients.clients), ({}, {}))
        self.listen_address = await gateway.open()
        self.addAsyncCleanup(self.close_gateway)
        self.assertEqual((await self.send_request(Quota_Info=ALL_GATEWAYS_QUOTA_INFO))[:2], (200, b"other"))
        await self.wait_for_calls("since=8&")
        self.assertEqual(
            self.targets,
            ["/registry/instances?since=5&timeout_ms=0", "/registry/instances?since=8&timeout_ms=3500"],
        )
        self.assertEqual((one.requests, self.statuses()), ([], {"s-0": "draining", "s-1": "ready"}))

    async def test_known_list_is_used_during_long_outage_at_start(self) -> None:
        """The service is down when the gateway starts, for longer than any known outage; an endpoint drains.

        The gateway falls back to the known list, as it would otherwise reject all requests. It must apply the
        service's list, with the drain, as soon as the service answers.
        """
        one, _, known = await self.start_endpoints()
        await self.start_agent()
        self.content = None
        with (
            mock.patch(f"{DISCOVERY}.KNOWN_LIST_AFTER_MS", 0.0),
            mock.patch(f"{DISCOVERY}.SHARED_FIRST_TIMEOUT_MS", 200.0),
            mock.patch("drumgw.gateway.discovery_log.logger") as log,
        ):
            await self.start_gateway(known, settings=raw_settings(discovery="ask"))
            await self.wait_until_open()
            self.assertIn("the known endpoint list is used", str(log.warning.call_args_list))
            self.assertEqual(
                set(await self.send_requests_of_all_customers()), {(200, b"one"), (200, b"other")}
            )
            requests_before_drain = len(one.requests)
            await self.answer_with_drain(known)
        self.assertEqual(await self.send_requests_of_all_customers(), [(200, b"other")] * 16)
        self.assertEqual(len(one.requests), requests_before_drain)

    async def test_watch_continues_after_update(self) -> None:
        """Each answer is followed by exactly one call, which requests the changes since its generation."""
        _, _, known = await self.start_endpoints()
        await self.start_agent(*known)
        await self.start_gateway([], settings=self.SETTINGS)
        await self.wait_until_open()
        await self.wait_for_calls("since=7&")
        await self.update_agent(8, {**known[0], "lifecycle": "draining"})
        await self.wait_for_calls("since=8&")
        self.assertEqual(self.statuses(), {"s-0": "draining", "s-1": "ready"})
        self.assertEqual(
            self.targets,
            [
                "/registry/instances?since=1&timeout_ms=0",
                "/registry/instances?since=7&timeout_ms=3500",
                "/registry/instances?since=8&timeout_ms=3500",
            ],
        )

    async def backoff_delays_ms(self, seed: str, *outcomes: PollOutcome) -> list[float]:
        """Returns the backoff delays of a gateway with this seed whose calls have these outcomes."""
        await self.start_agent()
        config = raw_config(self.discovery.address, [], settings=self.SETTINGS, seed=seed)
        discovery = GatewayProcess(load_config(config)).discovery
        slept_ms: list[float] = []

        async def sleep(seconds: float) -> None:
            slept_ms.append(seconds * 1000)

        with (
            mock.patch.object(discovery, "poll", mock.AsyncMock(side_effect=outcomes)),
            mock.patch("asyncio.sleep", sleep),
            self.assertRaises(StopAsyncIteration),
        ):
            await discovery.watch_shared_service()
        return slept_ms

    async def test_backoff_grows_and_differs_between_gateways(self) -> None:
        """The service rejects the calls of all gateways at the same moment.

        If the gateways retried simultaneously and with a constant delay, they would be rejected every time.
        """
        rejected, failed, answered = PollOutcome.REJECTED, PollOutcome.FAILED, PollOutcome.ANSWERED
        outcomes = (answered, *[rejected] * 5, answered, rejected, answered, failed, failed)
        one = await self.backoff_delays_ms("8c1f", *outcomes)
        other = await self.backoff_delays_ms("8c20", *outcomes)
        means = 4000.0, 8000.0, 16000.0, 16000.0, 16000.0, 4000.0, 250.0, 500.0
        for delay, mean in zip(one, means, strict=True):
            self.assertTrue(0.5 * mean <= delay <= 1.5 * mean, (delay, mean))
        self.assertEqual(set(one) & set(other), set())

    async def test_gateways_that_start_simultaneously_are_all_served(self) -> None:
        """24 gateways start at the same moment; the service can queue 8 calls and rejects the others.

        Each call occupies the service for a while, even if its gateway no longer waits for the answer. If
        gateways retried too soon, no call would be answered in time.
        """
        service_time_s, max_queued, gateway_count = 0.02, 8, 24
        queue = asyncio.Lock()
        targets: list[str] = []
        queued = 0

        async def serve(head: bytes, _body: bytes) -> bytes | None:
            nonlocal queued
            targets.append(head.split()[1].decode())
            if "since=2&" in targets[-1]:
                return None  # a pending watch does not occupy the service, and there is no update
            if queued >= max_queued:
                return http_response(status=503)
            queued += 1
            async with queue:
                await asyncio.sleep(service_time_s)
            queued -= 1
            return endpoint_list(2, endpoint_row("s-0", "127.0.0.1:1"))

        service = await self.start_server(serve)
        gateways = [
            GatewayProcess(
                load_config(raw_config(service.address, [], settings=self.SETTINGS, seed=f"{n + 1:x}"))
            )
            for n in range(gateway_count)
        ]
        shorter_backoff = {
            outcome: dataclasses.replace(
                backoff, initial_ms=backoff.initial_ms / 8, max_ms=backoff.max_ms / 8
            )
            for outcome, backoff in BACKOFF_BY_OUTCOME.items()
        }
        opening = [asyncio.create_task(gateway.open()) for gateway in gateways]
        with (
            mock.patch("drumgw.gateway.process.SHUTDOWN_LINGER_MS", 0.0),
            mock.patch.dict(f"{DISCOVERY}.BACKOFF_BY_OUTCOME", shorter_backoff),
        ):
            for gateway, task in zip(gateways, opening, strict=True):
                await task
                self.assertTrue(gateway.discovery.has_endpoints.is_set())
            for gateway in gateways:
                await gateway.close()
        self.assertLess(sum("since=2&" not in target for target in targets), 6 * gateway_count)
