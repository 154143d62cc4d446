"""The clients' side of a host: finds the tenant of each request, then forwards it through that service.

Connections are handled as in one gateway (drumgw/gateway/http_server.py). None belongs to a tenant for good:
a client may reach several on one connection, so each counts for the tenant of its last request.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any, cast

from aiohttp.web_request import BaseRequest
from loguru import logger

from drumgw.gateway.client_connections import ClientConnection, ConnectionState
from drumgw.gateway.clock import STALL_THRESHOLD_MS, StallAwareClock
from drumgw.gateway.connection_limits import ConnectionLimits
from drumgw.gateway.http_server import HttpServer, ServingService
from drumgw.gateway.request_parsing import BadRequestError
from drumgw.gateway.responses import CompleteResponse
from drumgw.hosting.tenant_services import TenantServices


@dataclass(frozen=True)
class ListenerConfig:
    """What the listener needs of a gateway's configuration.

    Attributes:
        listen: host and port.
        max_client_connections: connections at most.
        max_requesting_clients: of them, those that have sent a request.
    """

    listen: tuple[str, int]
    max_client_connections: int
    max_requesting_clients: int


class ListenerDispatcher:
    """What the listener needs of a dispatcher beside the requests: the clock, the loop and the log."""

    def __init__(self, clock: StallAwareClock) -> None:
        self.clock = clock
        self.loop = clock.loop

    def log_fault(self, error: Exception, where: str) -> None:
        """Logs a fault of this program with its trace."""
        logger.opt(exception=error).error("fault in {}: {!r}", where, error)


class TenantConnectionLimits(ConnectionLimits):
    """Bounds on the connections of all tenants' clients.

    Attributes:
        connection_counts: open connections by the key of the tenant of their last request.
    """

    def __init__(self, bounds: ListenerConfig, services: TenantServices) -> None:
        super().__init__(bounds, services.clock)
        self.connection_counts: Counter[str] = Counter()
        self._services = services

    def closed(self, client: ClientConnection) -> None:
        """Counts the connection no more, for its tenant neither."""
        super().closed(client)
        self._count_for_no_tenant(client)

    def count_for_tenant(self, client: ClientConnection, tenant_key: str) -> None:
        """Counts the connection for the tenant of its last request."""
        if client.tenant_key != tenant_key:
            self._count_for_no_tenant(client)
            client.tenant_key = tenant_key
            self.connection_counts[tenant_key] += 1

    def longest_idle(self) -> ClientConnection | None:
        """Returns the idle connection to close where one must go.

        Guards tenants whose clients keep few connections against one whose clients keep hundreds: a tenant
        with more connections than its part by weight loses one first.
        """
        now_ms = self.clock.now()
        weights = self._services.admission.weights
        total_weight = sum(weights.values()) or 1.0
        for client in self.connections[ConnectionState.IDLE]:
            if now_ms - client.state_since_ms <= STALL_THRESHOLD_MS:
                break
            weight = weights.get(client.tenant_key, 0.0)
            fair_count = self.bounds.max_client_connections * weight / total_weight
            if self.connection_counts[client.tenant_key] > fair_count and self.is_resting(client):
                return client
        return super().longest_idle()

    def _count_for_no_tenant(self, client: ClientConnection) -> None:
        if client.tenant_key:
            self.connection_counts[client.tenant_key] -= 1
            if not self.connection_counts[client.tenant_key]:
                del self.connection_counts[client.tenant_key]
            client.tenant_key = ""


class HostHttpServer(HttpServer):
    """The listener of a host.

    Attributes:
        tenant_limits: the bounds on connections, shared by the tenants' clients.
    """

    def __init__(self, config: ListenerConfig, services: TenantServices) -> None:
        self.tenant_limits = TenantConnectionLimits(config, services)
        dispatcher = ListenerDispatcher(services.clock)
        super().__init__(cast(Any, config), cast(Any, dispatcher), self.tenant_limits)
        self._services = services

    async def serve(self, request: BaseRequest, target: str, client: ClientConnection) -> CompleteResponse:
        """Answers a request through the service of its tenant, or rejects it with a Retry-After."""
        route = self._services.registry.routes.find(request.headers.get("Host"), target)
        if route is None:
            raise BadRequestError(404, "no tenant is served there")
        service, retry_after_ms = self._services.admit(route.tenant)
        if service is None:
            await self.read(request)
            return CompleteResponse(503, b"", f"Retry-After: {retry_after_ms / 1000:.3f}\r\n")
        self.tenant_limits.count_for_tenant(client, service.key)
        gateway_service = service.gateway_service
        serving = ServingService(gateway_service.config, gateway_service.dispatcher, service.open_request_ids)
        try:
            return await self.forward(request, target, route.path, client, serving)
        finally:
            self._services.release(service)
