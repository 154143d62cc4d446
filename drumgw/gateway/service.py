"""One gateway without its listener: the policy engine, its dispatcher, and their network clients."""

from __future__ import annotations

import asyncio

from drumgw.gateway.clock import StallAwareClock
from drumgw.gateway.counter_client import CounterClient
from drumgw.gateway.discovery import DiscoveryClient
from drumgw.gateway.dispatcher import Dispatcher
from drumgw.gateway.endpoint_clients import EndpointClients
from drumgw.gateway.memory_plan import MemoryPlan
from drumgw.gateway.process_config import GatewayConfig
from drumgw.gateway.request_lifecycle import RequestLifecycle
from drumgw.model.events import EndpointsUpdated
from drumgw.policy.engine import PolicyEngine

MAILBOX_ENTRIES_PER_ENDPOINT_CONNECTION = 4
"""Sets the capacity of the dispatcher's mailbox in proportion to the maximum number of attempts in flight."""
RETURN_POLL_INTERVAL_S = 0.005


class GatewayService:
    """One service: its policy, endpoints, counter and discovery. A host runs many services in one process.

    Args:
        config: the service's configuration.
        clock: the clock that all services of the process share.

    Raises:
        ConfigError: if the configured list of known endpoints is invalid.
    """

    def __init__(self, config: GatewayConfig, clock: StallAwareClock) -> None:
        self.config = config
        self.clock = clock
        engine = PolicyEngine(config.seed, config.settings)
        lifecycle = RequestLifecycle(engine, config.settings)
        self.dispatcher = Dispatcher(
            lifecycle,
            clock,
            MAILBOX_ENTRIES_PER_ENDPOINT_CONNECTION * config.max_endpoint_connections,
            config.log_prefix,
        )
        self.endpoint_clients = EndpointClients(config, self.dispatcher)
        self.counter = CounterClient(config, self.dispatcher) if config.counter else None
        self.discovery = DiscoveryClient(config, self.dispatcher, self.endpoint_clients)
        self._accounts = engine.accounts
        self.limit_memory(config.memory)
        self.dispatcher.attempts = self.endpoint_clients
        self.dispatcher.counter = self.counter
        self.endpoint_clients.set_before_write_check(self.discovery.read_pending_updates)

    @property
    def max_accounts(self) -> int:
        """How many quota accounts are kept at most."""
        return self._accounts.max_accounts

    def limit_memory(self, memory: MemoryPlan) -> None:
        """Applies limits on attempts and accounts, from now on."""
        self._accounts.max_accounts = memory.max_accounts
        self.endpoint_clients.limit_memory(memory.attempts_bytes)

    def start(self) -> None:
        """Starts the policy engine with an empty endpoint list, which `discovery.start` fills later."""
        self.dispatcher.post(self.dispatcher.lifecycle.start, EndpointsUpdated(True, ()))

    def reconfigure(self, config: GatewayConfig) -> None:
        """Switches to the discovery and counter addresses of a new configuration.

        The endpoint list, quota accounts and requests in flight are kept. All other configuration changes
        take effect only after a restart.
        """
        self.discovery.set_address(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.set_address(config.counter)

    async def return_reservations(self) -> None:
        """Returns unused reserved quota to the counter; waits at most the timeout of one counter call.

        Call it only when no request is in flight.
        """
        if self.counter is None:
            return
        self.dispatcher.post(self.dispatcher.lifecycle.gateway_stopping)
        deadline_ms = self.clock.now() + self.counter.timeout_ms
        while self.counter.calls_in_flight and self.clock.now() < deadline_ms:
            await asyncio.sleep(RETURN_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Cancels timers and closes all connections."""
        self.dispatcher.close()
        await self.endpoint_clients.close()
        if self.counter is not None:
            await self.counter.close()
        await self.discovery.close()
