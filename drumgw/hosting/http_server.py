"""The clients' side of a host: finds the tenant, then its desk; the connections are the gate's own."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, cast

from aiohttp.web_request import BaseRequest
from loguru import logger

from drumgw.gateway.clock import STALL_THRESHOLD_MS, StallAwareClock
from drumgw.gateway.http_server import ClientConnection, CompleteResponse, ConnectionState, HttpServer
from drumgw.gateway.request_parsing import BadRequestError
from drumgw.hosting.tenant_services import TenantServices


@dataclass(frozen=True)
class ListenerConfig:
    listen: tuple[str, int]
    max_client_connections: int
    max_requesting_clients: int


class ListenerDispatcher:
    """What the front needs of a desk beside the txns."""

    def __init__(self, clock: StallAwareClock) -> None:
        self.clock, self.loop = clock, clock.loop

    def log_fault(self, error: Exception, where: str) -> None:
        logger.opt(exception=error).error("fault in {}: {!r}", where, error)


class HostHttpServer(HttpServer):
    def __init__(self, doorway: ListenerConfig, hosting: TenantServices) -> None:
        super().__init__(cast(Any, doorway), cast(Any, ListenerDispatcher(hosting.clock)))
        self.hosting = hosting
        self.held: dict[str, int] = {}  # connections by whom they asked last; emptied as they close

    # Connections

    def own(self, client: ClientConnection, key: str) -> None:
        if client.tenant_key != key:
            self.connection_closed(client)
            client.tenant_key, self.held[key] = key, self.held.get(key, 0) + 1

    def connection_closed(self, client: ClientConnection) -> None:
        if client.tenant_key:
            self.held[client.tenant_key] -= 1
            if not self.held[client.tenant_key]:
                del self.held[client.tenant_key]
            client.tenant_key = ""

    def longest_idle(self) -> ClientConnection | None:
        """Guards tenants whose clients keep few connections: who keeps more than its part loses one first."""
        weights, now = self.hosting.weights, self.dispatcher.clock.now()
        all_of_them = sum(weights.values()) or 1.0
        for client in self.connections[ConnectionState.IDLE]:
            if now - client.state_since_ms <= STALL_THRESHOLD_MS:
                break
            part = self.config.max_client_connections * weights.get(client.tenant_key, 0.0) / all_of_them
            if self.held.get(client.tenant_key, 0) > part and self.is_resting(client):
                return client
        return super().longest_idle()

    # Requests

    async def serve(self, request: BaseRequest, target: str, client: ClientConnection) -> CompleteResponse:
        found = self.hosting.registry.routes.find(request.headers.get("Host"), target)
        if found is None:
            raise BadRequestError(404, "no tenant is served there")
        seat, wait_ms = self.hosting.take(found.tenant)
        if seat is None:
            await self.read(request)
            return CompleteResponse(503, b"", f"Retry-After: {wait_ms / 1000:.3f}\r\n")
        self.own(client, seat.key)
        try:
            service = seat.service
            return await self.forward(
                request, target, found.path, client, service.config, service.dispatcher, seat.ids
            )
        finally:
            self.hosting.give(seat)
