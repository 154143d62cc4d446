"""The client listener of a host: forwards each request through the service of its tenant.

Connections are handled as in a single-tenant gateway (drumgw/gateway/http_server.py). A connection is not
bound to a tenant: a client may send requests for several tenants on it, so it counts for the tenant of its
latest request.
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
from drumgw.gateway.memory_plan import MemoryPlan
from drumgw.gateway.request_parsing import BadRequestError
from drumgw.gateway.responses import CompleteResponse
from drumgw.hosting.tenant_services import TenantServices


@dataclass(frozen=True)
class ListenerConfig:
    """The part of a gateway's configuration that the listener needs.

    Attributes:
        listen: host and port.
        max_client_connections: limit on open connections.
        max_requesting_clients: limit on the connections among them that have sent a request.
        memory: limits on what clients can make the process keep.
    """

    listen: tuple[str, int]
    max_client_connections: int
    max_requesting_clients: int
    memory: MemoryPlan


class ListenerDispatcher:
    """The part of a dispatcher that the listener itself needs; requests go to the tenants' dispatchers."""

    def __init__(self, clock: StallAwareClock) -> None:
        self.clock = clock
        self.loop = clock.loop

    def log_internal_error(self, error: Exception, where: str) -> None:
        """Logs an internal error with its traceback."""
        logger.opt(exception=error).error("internal error in {}: {!r}", where, error)


class TenantConnectionLimits(ConnectionLimits):
    """Limits on client connections, shared by all tenants.

    Attributes:
        connection_counts: open connections, by the key of the tenant of their latest request.
    """

    def __init__(self, bounds: ListenerConfig, services: TenantServices) -> None:
        super().__init__(bounds, services.clock)
        self.connection_counts: Counter[str] = Counter()
        self._services = services

    def closed(self, client: ClientConnection) -> None:
        """Stops counting a closed connection, both in total and for its tenant."""
        super().closed(client)
        self._unassign_tenant(client)

    def assign_tenant(self, client: ClientConnection, tenant_key: str) -> None:
        """Counts a connection for the tenant of its latest request, and no longer for the one before."""
        if client.tenant_key != tenant_key:
            self._unassign_tenant(client)
            client.tenant_key = tenant_key
            self.connection_counts[tenant_key] += 1

    def longest_idle(self) -> ClientConnection | None:
        """Returns the idle connection to close when there are too many.

        Connections of tenants that have more than their share by weight are closed first: otherwise a tenant
        with hundreds of idle connections would displace the connections of tenants that have few.
        """
        now_ms = self.clock.now()
        weights = self._services.admission.weights
        total_weight = sum(weights.values()) or 1.0
        for client in self.connections[ConnectionState.IDLE]:
            if now_ms - client.state_since_ms <= STALL_THRESHOLD_MS:
                break
            weight = weights.get(client.tenant_key, 0.0)
            fair_count = self.bounds.max_client_connections * weight / total_weight
            if self.connection_counts[client.tenant_key] > fair_count and self.can_close_idle(client):
                return client
        return super().longest_idle()

    def _unassign_tenant(self, client: ClientConnection) -> None:
        if client.tenant_key:
            self.connection_counts[client.tenant_key] -= 1
            if not self.connection_counts[client.tenant_key]:
                del self.connection_counts[client.tenant_key]
            client.tenant_key = ""


class HostHttpServer(HttpServer):
    """The HTTP server that clients of all tenants connect to.

    Attributes:
        tenant_limits: the limits on client connections, shared by all tenants.
    """

    def __init__(self, config: ListenerConfig, services: TenantServices) -> None:
        self.tenant_limits = TenantConnectionLimits(config, services)
        dispatcher = ListenerDispatcher(services.clock)
        super().__init__(cast(Any, config), cast(Any, dispatcher), self.tenant_limits)
        self._services = services

    async def serve(self, request: BaseRequest, target: str, client: ClientConnection) -> CompleteResponse:
        """Forwards a request through its tenant's service, or rejects it with 503 and a Retry-After.

        Raises:
            BadRequestError: no tenant has a route for the request.
        """
        route = self._services.registry.routes.find(request.headers.get("Host"), target)
        if route is None:
            raise BadRequestError(404, "no tenant is served there")
        service, retry_after_ms = self._services.admit(route.tenant)
        if service is None:
            await self.read(request)
            return CompleteResponse(503, b"", f"Retry-After: {retry_after_ms / 1000:.3f}\r\n")
        self.tenant_limits.assign_tenant(client, service.key)
        gateway_service = service.gateway_service
        serving = ServingService(gateway_service.config, gateway_service.dispatcher, service.request_ids)
        try:
            return await self.forward(request, target, route.path, client, serving)
        finally:
            self._services.release(service)
