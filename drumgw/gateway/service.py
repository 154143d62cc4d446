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
    def __init__(self, config: GatewayConfig, clock: StallAwareClock) -> None:
        self.config, self.clock = config, clock
        lifecycle = RequestLifecycle(PolicyEngine(config.seed, config.settings), config.settings)
        self.dispatcher = Dispatcher(lifecycle, clock, 4 * config.max_endpoint_connections, config.log_prefix)
        self.endpoint_clients = EndpointClients(config, self.dispatcher)
        self.counter = CounterClient(config, self.dispatcher) if config.counter else None
        self.discovery = DiscoveryClient(config, self.dispatcher, self.endpoint_clients)
        self.dispatcher.attempts, self.dispatcher.counter = self.endpoint_clients, self.counter
        self.endpoint_clients.check_before_sending(self.discovery.read_pending_updates)

    def start(self) -> None:
        """Before anything else of it; it knows no worker yet."""
        self.dispatcher.post(self.dispatcher.lifecycle.start, EndpointsUpdated(True, ()))

    def reconfigure(self, told: GatewayConfig) -> None:
        """Discovery and the counter are asked there; the list, the books and all in hand stay as they are."""
        self.discovery.set_address(told.discovery)
        if self.counter is not None and told.counter is not None:
            self.counter.set_address(told.counter)

    async def return_reservations(self) -> None:
        """What was leased and not spent goes back, once nothing is in hand; nobody waits for it but us."""
        if self.counter is None:
            return
        self.dispatcher.post(self.dispatcher.lifecycle.gateway_stopping)
        end = self.clock.now() + self.counter.wait_ms
        while self.counter.waiting and self.clock.now() < end:
            await asyncio.sleep(0.005)

    async def close(self) -> None:
        self.dispatcher.close()
        for part in (self.endpoint_clients, self.counter, self.discovery):
            if part is not None:
                await part.close()
