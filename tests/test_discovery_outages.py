"""Tests of discovery outages of different lengths, also while clients use up the file descriptors."""

from __future__ import annotations

import asyncio

from tests.gateway_case import (
    endpoint_row,
    raw_config,
)
from tests.race_case import (
    GatewaySubprocess,
    ScriptedConnection,
    WatchingCase,
    wait_until,
)
from tests.scripted_server import http_response


class DiscoveryOutageTest(WatchingCase):
    """After an outage a new call must follow in time, as calls made during it may never be answered."""

    async def test_update_is_received_within_drain_grace_after_outage(self) -> None:
        """During an outage the agent answers no call, and those calls are not answered afterwards either.

        If the gateway waited for them, it would miss drains for longer than the drain grace.
        """
        _, gateway, targets = await self.open_watching_gateway(grace_ms=1000.0)
        for outage_ms in (50.0, 150.0, 300.0, 700.0, 1500.0):
            self.is_silent = True
            await wait_until(self.has_elapsed(outage_ms))
            self.generation += 1
            self.lifecycle = "up" if self.lifecycle == "draining" else "draining"
            self.is_silent = False
            before = len(targets)
            expected = {"draining": "draining", "up": "ready"}[self.lifecycle]
            await wait_until(lambda: gateway.discovery.membership.rows["s-0"].info.status.value == expected)  # noqa: B023
            # Calls since the new generation are those of the watch that follows once the update was read.
            before_update = [
                target for target in targets[before:] if f"since={self.generation}&" not in target
            ]
            self.assertEqual(len(before_update), 1, outage_ms)  # the first call after the outage returns it
            self.assertLessEqual(
                gateway.discovery.next_backup_poll_ms - gateway.discovery.last_answer_ms, 1000.0 / 2
            )

    async def test_poll_interval_is_derived_from_drain_grace(self) -> None:
        """After an outage shorter than a poll interval, the next call is due within two intervals."""
        for grace_ms, interval_ms in ((0.0, 12.5), (100.0, 37.5), (250.0, 75.0), (2000.0, 150.0)):
            _, gateway, targets = await self.open_watching_gateway(grace_ms)
            self.assertEqual(gateway.discovery.poll_interval_ms, interval_ms)
            await wait_until(lambda: len(targets) > 2)  # noqa: B023
            self.assertIn(f"timeout_ms={interval_ms:.0f}", targets[1])
            now = gateway.clock.now()
            self.assertLessEqual(
                gateway.discovery.next_backup_poll_ms - gateway.discovery.last_answer_ms, 2 * interval_ms
            )
            self.assertLessEqual(gateway.discovery.last_answer_ms, now)
            await self.close_gateway()


class DescriptorExhaustionTest(WatchingCase):
    """Idle clients use up the file descriptors during outages of discovery.

    The gateway must still reconnect to discovery in time, and serve requests.
    """

    async def test_outages_while_idle_clients_use_up_descriptors(self) -> None:
        endpoint, agent = await self.start_server(http_response(b"ok")), self.peer()
        self.is_silent, self.generation, self.lifecycle, targets = False, 1, "up", list[str]()
        self.rows = [endpoint_row("s-0", "127.0.0.1:1"), endpoint_row("s-1", endpoint.address)]
        self.tasks = [asyncio.create_task(self.accept(agent, targets))]
        self.addCleanup(lambda: [task.cancel() for task in self.tasks])
        config = raw_config(agent.address, self.rows, limits={"sockets": 64})
        gateway = await GatewaySubprocess.start(config, max_descriptors=64)
        self.listen_address = await gateway.wait_until_serving()
        idle = list[ScriptedConnection]()
        for _ in range(3):
            self.is_silent = True
            idle += [self.open_client() for _ in range(120)]  # twice its limit: it closes the first ones
            self.generation, self.lifecycle = self.generation + 1, "draining"
            self.is_silent, before = False, len(targets)
            await gateway.wait_for_log_line(f" list {self.generation}, ".encode())
            self.assertLessEqual(len(targets) - before, 4)  # the drain grace is four poll intervals
            self.assertEqual((await self.send_request(Request_Timeout="60000m"))[:2], (200, b"ok"))
            self.lifecycle, self.generation = "up", self.generation + 1
            await gateway.wait_for_log_line(f" list {self.generation}, ".encode())
        gateway.process.terminate()
        self.assertEqual(await gateway.process.wait(), 0)
