"""The running service of one tenant, and its requests in flight."""

from __future__ import annotations

from collections.abc import Callable

from drumgw.gateway.service import GatewayService
from drumgw.hosting.tenant_registry import Tenant


class TenantService:
    """A gateway service that serves one tenant under one spec.

    A spec that its gateway service cannot take over is served by a new one, which has the tenant's key and
    serial too; the old one finishes what is in flight there.

    Attributes:
        name: of the tenant.
        serial: of the tenant.
        key: of the tenant.
        spec: that it serves, as JSON.
        gateway_service: the policy engine, the dispatcher and the clients.
        open_request_ids: ids of the tenant's requests in flight; emptied as they end.
        is_ready: whether its discovery has spoken; nothing is admitted before.
        in_flight: requests that it has.
        admitted_count: requests that it was given since its start.
        rejected_count: requests of the tenant that were not admitted meanwhile.
    """

    def __init__(self, tenant: Tenant, gateway_service: GatewayService) -> None:
        self.name = tenant.name
        self.serial = tenant.serial
        self.key = tenant.key
        self.spec = tenant.spec
        self.gateway_service = gateway_service
        self.open_request_ids: set[str] = set()
        self.is_ready = False
        self.in_flight = 0
        self.admitted_count = 0
        self.rejected_count = 0
        self._on_idle: Callable[[], object] | None = None

    def begin_request(self) -> None:
        """Counts a request that was admitted."""
        self.in_flight += 1
        self.admitted_count += 1

    def end_request(self) -> None:
        """Counts the end of a request."""
        self.in_flight -= 1
        if not self.in_flight and self._on_idle is not None:
            on_idle = self._on_idle
            self._on_idle = None
            on_idle()

    def call_when_idle(self, call: Callable[[], object]) -> None:
        """Calls once no request is in flight: now, or when the last one ends."""
        if self.in_flight:
            self._on_idle = call
        else:
            call()

    async def close(self) -> None:
        """Returns the reservations that were not used, then closes the clients."""
        await self.gateway_service.return_reservations()
        await self.gateway_service.close()
