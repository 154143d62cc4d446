"""A gateway whose discovery is an agent of the test's, with the content that the test sets."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from drumgw.gateway.process import GatewayProcess
from tests.gateway_case import GatewayCase, endpoint_row, load_config, raw_config
from tests.scripted_server import ScriptedServer, http_response

JsonObject = dict[str, Any]
EVERY_GATEWAY = "units=1,spread=1024,first=1023"
"""Quota-Info of a customer whose requests come in through all gateways of a large fleet."""


def endpoint_list(generation: Any, *rows: Any, complete: bool = True) -> bytes:
    """A response of discovery's."""
    content = {"generation": generation, "reset": complete, "instances": rows}
    return http_response(json.dumps(content, indent=4).encode())


class AgentCase(GatewayCase):
    """A gateway, and an agent that has what its test says; a watch is answered as that changes."""

    async def start_agent(self, *rows: Any) -> ScriptedServer:
        """Starts the agent with a complete list of these rows."""
        self.content: JsonObject | None = {"generation": 7, "reset": True, "instances": list(rows)}
        """What the agent has; None for an agent that answers nothing."""
        self.targets: list[str] = []  # of the calls that came
        self.content_changed = asyncio.Condition()
        self.discovery = await self.start_server(self.answer)
        return self.discovery

    async def answer(self, head: bytes, _body: bytes) -> bytes | None:
        """The agent's answer to a call; waits for an update where the call has the content already."""
        target = head.split()[1].decode()
        self.targets.append(target)
        if self.content is None:
            return None
        async with self.content_changed:
            while self.content is not None and f"since={self.content['generation']}&" in target:
                await self.content_changed.wait()
        return None if self.content is None else http_response(json.dumps(self.content).encode())

    async def update_agent(self, generation: int, *rows: Any) -> None:
        """The agent has an update, and wakes the watch that waits for it."""
        self.content = {"generation": generation, "reset": False, "instances": list(rows)}
        async with self.content_changed:
            self.content_changed.notify_all()

    async def start_gateway(self, known: list[JsonObject], **config: Any) -> GatewayProcess:
        """Begins to start a gateway."""
        self.gateway = GatewayProcess(load_config(raw_config(self.discovery.address, known, **config)))
        self.opening = asyncio.create_task(self.gateway.open())
        self.addAsyncCleanup(self.close_gateway)
        return self.gateway

    async def wait_until_open(self) -> None:
        """Waits until the gateway accepts clients."""
        self.listen_address = await self.opening

    async def wait_for_calls(self, *words: str) -> None:
        """Waits until a call has come for each of the words, with that word in its target."""
        while not all(any(word in target for target in self.targets) for word in words):
            await asyncio.sleep(0.001)

    def statuses(self) -> dict[str, str]:
        """Status of each endpoint on the gateway's list."""
        rows = self.gateway.discovery.membership.rows
        return {name: row.info.status.value for name, row in rows.items()}

    async def start_endpoints(self) -> tuple[ScriptedServer, ScriptedServer, list[JsonObject]]:
        """Two endpoints, and their rows."""
        one, other = (
            await self.start_server(http_response(b"one")),
            await self.start_server(http_response(b"other")),
        )
        return one, other, [endpoint_row("s-0", one.address), endpoint_row("s-1", other.address)]

    async def send_requests_of_all_customers(self) -> list[tuple[int, bytes]]:
        """Requests of 16 customers, ranked by hash: half of them go to each of two endpoints."""
        answers = [await self.send_request(f"/a?account={n:016x}", Request_Id=f"{n:x}") for n in range(16)]
        return [answer[:2] for answer in answers]
