"""Test case of a gateway whose discovery agent is scripted by the test."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from drumgw.gateway.process import GatewayProcess
from tests.gateway_case import GatewayCase, endpoint_row, load_config, raw_config
from tests.scripted_server import ScriptedServer, http_response

JsonObject = dict[str, Any]
ALL_GATEWAYS_QUOTA_INFO = "units=1,spread=1024,first=1023"
"""Quota-Info of a customer whose requests are spread over all 1,024 gateways of a fleet."""


def endpoint_list(generation: Any, *rows: Any, complete: bool = True) -> bytes:
    """Returns discovery's response with an endpoint list; a list that is not complete is an update."""
    content = {"generation": generation, "reset": complete, "instances": rows}
    return http_response(json.dumps(content, indent=4).encode())


class AgentCase(GatewayCase):
    """A gateway and an agent whose endpoint list the test sets; a watch is answered when the list changes."""

    async def start_agent(self, *rows: Any) -> ScriptedServer:
        """Starts the agent with a complete endpoint list of these rows."""
        self.content: JsonObject | None = {"generation": 7, "reset": True, "instances": list(rows)}
        """The agent's endpoint list; None for an agent that does not answer."""
        self.targets: list[str] = []  # of the calls received
        self.content_changed = asyncio.Condition()
        self.discovery = await self.start_server(self.answer)
        return self.discovery

    async def answer(self, head: bytes, _body: bytes) -> bytes | None:
        """Answers a call; waits for an update if the caller already has the current list."""
        target = head.split()[1].decode()
        self.targets.append(target)
        if self.content is None:
            return None
        async with self.content_changed:
            while self.content is not None and f"since={self.content['generation']}&" in target:
                await self.content_changed.wait()
        return None if self.content is None else http_response(json.dumps(self.content).encode())

    async def update_agent(self, generation: int, *rows: Any) -> None:
        """Replaces the agent's endpoint list by an update, and answers the watch that waits for one."""
        self.content = {"generation": generation, "reset": False, "instances": list(rows)}
        async with self.content_changed:
            self.content_changed.notify_all()

    async def answer_with_drain(self, known: list[JsonObject]) -> None:
        """Lets a silent agent answer again, with a drain of the first endpoint; waits until that is read."""
        self.content = {
            "generation": 3,
            "reset": True,
            "instances": [{"instanceId": "s-0", "lifecycle": "draining"}, known[1]],
        }
        await self.wait_for_calls("since=3&")

    async def start_gateway(self, known: list[JsonObject], **config: Any) -> GatewayProcess:
        """Starts a gateway, without waiting until it accepts clients (see `wait_until_open`)."""
        self.gateway = GatewayProcess(load_config(raw_config(self.discovery.address, known, **config)))
        self.opening = asyncio.create_task(self.gateway.open())
        self.addAsyncCleanup(self.close_gateway)
        return self.gateway

    async def wait_until_open(self) -> None:
        """Waits until the gateway accepts clients."""
        self.listen_address = await self.opening

    async def wait_for_calls(self, *texts: str) -> None:
        """Waits until, for each of the texts, a call has been received whose target contains it."""
        while not all(any(text in target for target in self.targets) for text in texts):
            await asyncio.sleep(0.001)

    def statuses(self) -> dict[str, str]:
        """Returns the status of each endpoint on the gateway's list, by name."""
        rows = self.gateway.discovery.membership.rows
        return {name: row.info.status.value for name, row in rows.items()}

    async def start_endpoints(self) -> tuple[ScriptedServer, ScriptedServer, list[JsonObject]]:
        """Starts two endpoints; returns them and their rows of the endpoint list."""
        first, second = (
            await self.start_server(http_response(b"one")),
            await self.start_server(http_response(b"other")),
        )
        return first, second, [endpoint_row("s-0", first.address), endpoint_row("s-1", second.address)]

    async def send_requests_of_all_customers(self) -> list[tuple[int, bytes]]:
        """Sends a request for each of 16 customers; half of them rank one endpoint first, half the other."""
        answers = [await self.send_request(f"/a?account={n:016x}") for n in range(16)]
        return [answer[:2] for answer in answers]
