"""One service's inner side: the module with its desk, and the adapters to workers, counter and discovery."""

from __future__ import annotations

import asyncio

from drumgw.gateway.clock import StallAwareClock
from drumgw.gateway.counter_client import CounterClient
from drumgw.gateway.discovery import DiscoveryClient
from drumgw.gateway.dispatcher import Dispatcher
from drumgw.gateway.endpoint_clients import EndpointClients
from drumgw.gateway.process_config import GatewayConfig
from drumgw.gateway.request_lifecycle import RequestLifecycle
from drumgw.model.events import EndpointsUpdated
from drumgw.policy.engine import PolicyEngine


class GatewayService:
    def __init__(self, charter: GatewayConfig, pulse: StallAwareClock) -> None:
        self.charter, self.pulse = charter, pulse
        core = RequestLifecycle(PolicyEngine(charter.seed, charter.terms), charter.terms)
        self.desk = Dispatcher(core, pulse, 4 * charter.lines, charter.said)
        self.workers = EndpointClients(charter, self.desk)
        self.counter = CounterClient(charter, self.desk) if charter.counter else None
        self.discovery = DiscoveryClient(charter, self.desk, self.workers)
        self.desk.workers, self.desk.counter = self.workers, self.counter
        self.workers.heed(self.discovery.look)

    def start(self) -> None:
        """Before anything else of it; it knows no worker yet."""
        self.desk.post(self.desk.core.start, EndpointsUpdated(True, ()))

    def move(self, told: GatewayConfig) -> None:
        """Discovery and the counter are asked there; the list, the books and all in hand stay as they are."""
        self.discovery.move(told.discovery)
        if self.counter is not None and told.counter is not None:
            self.counter.move(told.counter)

    async def finish(self) -> None:
        """What was leased and not spent goes back, once nothing is in hand; nobody waits for it but us."""
        if self.counter is None:
            return
        self.desk.post(self.desk.core.ending)
        end = self.pulse.now() + self.counter.wait_ms
        while self.counter.waiting and self.pulse.now() < end:
            await asyncio.sleep(0.005)

    async def shut(self) -> None:
        self.desk.close()
        for part in (self.workers, self.counter, self.discovery):
            if part is not None:
                await part.close()
