"""All of one gateway but its listener: the policy engine, its dispatcher, and the clients that they use."""

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

MAILBOX_ENTRIES_PER_ENDPOINT_CONNECTION = 4
"""Bounds the dispatcher's mailbox by the attempts that may be in flight."""
RESERVATION_CHECK_S = 0.005


class GatewayService:
    """One service, from its endpoints to its policy; a host runs many of them in one process.

    Args:
        config: the service's configuration.
        clock: the process's clock.

    Raises:
        ConfigError: where the list of known endpoints cannot be read.
    """

    def __init__(self, config: GatewayConfig, clock: StallAwareClock) -> None:
        self.config = config
        self.clock = clock
        lifecycle = RequestLifecycle(PolicyEngine(config.seed, config.settings), config.settings)
        self.dispatcher = Dispatcher(
            lifecycle,
            clock,
            MAILBOX_ENTRIES_PER_ENDPOINT_CONNECTION * config.max_endpoint_connections,
            config.log_prefix,
        )
        self.endpoint_clients = EndpointClients(config, self.dispatcher)
        self.counter = CounterClient(config, self.dispatcher) if config.counter else None
        self.discovery = DiscoveryClient(config, self.dispatcher, self.endpoint_clients)
        self.dispatcher.attempts = self.endpoint_clients
        self.dispatcher.counter = self.counter
        self.endpoint_clients.check_before_sending(self.discovery.read_pending_updates)

    def start(self) -> None:
        """Starts the policy engine. It knows no endpoint yet; `discovery.start` brings the list."""
        self.dispatcher.post(self.dispatcher.lifecycle.start, EndpointsUpdated(True, ()))

    def reconfigure(self, config: GatewayConfig) -> None:
        """Moves to the discovery and the counter of another configuration.

        The endpoint list, quota accounts and requests in flight stay as they are; all else that has changed
        in the configuration needs a restart.
        """
        self.discovery.set_address(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.set_address(config.counter)

    async def return_reservations(self) -> None:
        """Returns to the counter what was reserved and not used; waits no longer than for one call.

        Called once no request is in flight.
        """
        if self.counter is None:
            return
        self.dispatcher.post(self.dispatcher.lifecycle.gateway_stopping)
        deadline_ms = self.clock.now() + self.counter.timeout_ms
        while self.counter.calls_in_flight and self.clock.now() < deadline_ms:
            await asyncio.sleep(RESERVATION_CHECK_S)

    async def close(self) -> None:
        """Cancels timers and closes all connections."""
        self.dispatcher.close()
        await self.endpoint_clients.close()
        if self.counter is not None:
            await self.counter.close()
        await self.discovery.close()
