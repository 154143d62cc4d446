"""Discovery's outages of any length, alone and beside clients that fill the descriptors."""

from __future__ import annotations

import asyncio

from tests.crossing_case import (
    GatewaySubprocess,
    ScriptedConnection,
    WatchingCase,
    wait_until,
)
from tests.gateway_case import (
    endpoint_row,
    raw_config,
)
from tests.scripted_server import http_response


class DiscoveryOutageTest(WatchingCase):
    """An agent that comes back may answer no call that was out: whatever the length, it is asked in time."""

    async def test_outages_of_any_length_are_over_within_the_grace(self) -> None:
        """Guards drains. Between the loss and the return no call is answered, nor any that was out."""
        _, gateway, asked = await self.open_watching_gateway(grace_ms=1000.0)
        for outage_ms in (50.0, 150.0, 300.0, 700.0, 1500.0):
            self.is_silent = True
            await wait_until(self.has_elapsed(outage_ms))
            self.generation += 1
            self.lifecycle = "up" if self.lifecycle == "draining" else "draining"
            self.is_silent = False
            before = len(asked)
            wanted = {"draining": "draining", "up": "ready"}[self.lifecycle]
            await wait_until(lambda: gateway.discovery.membership.rows["s-0"].info.status.value == wanted)  # noqa: B023
            # A poll from the new generation on was sent after the news had been read: the watch going on
            without_news = [poll for poll in asked[before:] if f"since={self.generation}&" not in poll]
            self.assertEqual(len(without_news), 1, outage_ms)  # the first poll after the return brings it
            self.assertLessEqual(
                gateway.discovery.next_backup_poll_ms - gateway.discovery.last_answer_ms, 1000.0 / 2
            )

    async def test_the_pace_follows_the_grace_of_the_settings(self) -> None:
        """Two paces from a return to the next call at most, for an outage shorter than one."""
        for grace_ms, pace_ms in ((0.0, 12.5), (100.0, 37.5), (250.0, 75.0), (2000.0, 150.0)):
            _, gateway, asked = await self.open_watching_gateway(grace_ms)
            self.assertEqual(gateway.discovery.poll_interval_ms, pace_ms)
            await wait_until(lambda: len(asked) > 2)  # noqa: B023
            self.assertIn(f"timeout_ms={pace_ms:.0f}", asked[1])
            now = gateway.clock.now()
            self.assertLessEqual(
                gateway.discovery.next_backup_poll_ms - gateway.discovery.last_answer_ms, 2 * pace_ms
            )
            self.assertLessEqual(gateway.discovery.last_answer_ms, now)
            await self.close_gateway()


class CrowdedOutageTest(WatchingCase):
    """Idle clients fill the descriptors while discovery is down: its return is heard, and service goes on."""

    async def test_an_outage_beside_idle_clients_that_fill_the_descriptors(self) -> None:
        endpoint, agent = await self.start_server(http_response(b"ok")), self.peer()
        self.is_silent, self.generation, self.lifecycle, asked = False, 1, "up", list[str]()
        self.rows = [endpoint_row("s-0", "127.0.0.1:1"), endpoint_row("s-1", endpoint.address)]
        self.tasks = [asyncio.create_task(self.accept(agent, asked))]
        self.addCleanup(lambda: [task.cancel() for task in self.tasks])
        config = raw_config(agent.address, self.rows, limits={"sockets": 64})
        process = await GatewaySubprocess.start(config, descriptors=64)
        self.listen_address = await process.wait_until_serving()
        idle = list[ScriptedConnection]()
        for _ in range(3):
            self.is_silent = True
            idle += [self.open_client() for _ in range(120)]  # twice what it may hold; it closes the first
            self.generation, self.lifecycle = self.generation + 1, "draining"
            self.is_silent, before = False, len(asked)
            await process.wait_for_log_line(f" list {self.generation}, ".encode())
            self.assertLessEqual(len(asked) - before, 4)  # the grace is as long as four paces
            self.assertEqual((await self.send_request(Request_Timeout="60000m"))[:2], (200, b"ok"))
            self.lifecycle, self.generation = "up", self.generation + 1
            await process.wait_for_log_line(f" list {self.generation}, ".encode())
        process.run.terminate()
        self.assertEqual(await process.run.wait(), 0)
