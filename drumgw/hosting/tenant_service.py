"""A tenant's running gateway service, and the count of its requests in flight."""

from __future__ import annotations

from collections.abc import Callable

from drumgw.gateway.memory_plan import MemoryPlan
from drumgw.gateway.request_ids import RequestIds
from drumgw.gateway.service import GatewayService
from drumgw.hosting.tenant_registry import Tenant


class TenantService:
    """A gateway service that serves one tenant with one spec.

    A spec that the gateway service cannot adopt while it runs needs another TenantService, with the same key
    and serial; the replaced one completes its requests in flight.

    Attributes:
        name: the tenant's name.
        serial: the tenant's serial number.
        key: the tenant's key.
        spec: the spec in use, as JSON.
        gateway_service: the policy engine, the dispatcher and the clients.
        request_ids: ids that must not be forwarded again, shared with the service it replaces.
        is_ready: whether the endpoint list was received; no request is admitted before.
        in_flight: number of admitted requests that have not ended.
        admitted_count: number of requests admitted since its start.
        rejected_count: number of requests that RequestAdmission rejected since its start.
    """

    def __init__(self, tenant: Tenant, gateway_service: GatewayService) -> None:
        self.name = tenant.name
        self.serial = tenant.serial
        self.key = tenant.key
        self.spec = tenant.spec
        self.gateway_service = gateway_service
        self.request_ids = RequestIds(gateway_service.config.memory.max_kept_ids)
        self.is_ready = False
        self.in_flight = 0
        self.admitted_count = 0
        self.rejected_count = 0
        self._on_idle: Callable[[], object] | None = None

    def limit_memory(self, memory: MemoryPlan) -> None:
        """Applies limits on attempts, accounts and kept ids, from now on."""
        self.gateway_service.limit_memory(memory)
        self.request_ids.limit(memory.max_kept_ids)

    def begin_request(self) -> None:
        """Counts an admitted request as in flight."""
        self.in_flight += 1
        self.admitted_count += 1

    def end_request(self) -> None:
        """Counts a request as ended; calls the callback of call_when_idle after the last one."""
        self.in_flight -= 1
        if not self.in_flight and self._on_idle is not None:
            on_idle = self._on_idle
            self._on_idle = None
            on_idle()

    def call_when_idle(self, callback: Callable[[], object]) -> None:
        """Calls the callback once: now if no request is in flight, else when the last one ends."""
        if self.in_flight:
            self._on_idle = callback
        else:
            callback()

    async def close(self) -> None:
        """Returns unused reservations to the counter, then closes the clients."""
        await self.gateway_service.return_reservations()
        await self.gateway_service.close()
