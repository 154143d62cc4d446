"""Starts, reconfigures, replaces and closes the tenants' services as the registry changes."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from loguru import logger
from pydantic import ValidationError

from drumgw.config.host_file import MIN_ENDPOINT_CONNECTIONS, HostFile, TenantSpec, tenant_config
from drumgw.gateway.clock import StallAwareClock
from drumgw.gateway.memory_plan import MemoryPlan
from drumgw.gateway.process_config import ConfigError, GatewayConfig
from drumgw.gateway.service import GatewayService
from drumgw.hosting.registry_persistence import registry_to_json
from drumgw.hosting.request_admission import RequestAdmission
from drumgw.hosting.state_file import StateFile
from drumgw.hosting.tenant_registry import ChangeKind, JsonObject, Tenant, TenantChange, TenantRegistry
from drumgw.hosting.tenant_service import TenantService
from drumgw.hosting.tenant_states import TenantState

LAG_INTERVAL_MS = 50.0  # between two measurements of the event loop lag
LAG_DECAY = 0.5  # factor by which a past lag decreases with each measurement
SOCKETS_PER_REQUEST = 3  # to derive the capacity, if the host file does not set it
NOT_SERVED_RETRY_AFTER_MS = 1000.0  # for requests of a tenant that is not active or not ready
REJECTED_RETRY_AFTER_MS = 500.0  # for requests beyond a tenant's share, if max_retry_after_ms is not set

# Keys of a spec that a running service can adopt, and keys that do not concern the service.
RECONFIGURABLE_KEYS = frozenset({"discovery", "counter"})
KEYS_OUTSIDE_SERVICE = frozenset({"route", "weight"})


class AdmissionResult(NamedTuple):
    """The service that forwards the request; None if it is rejected, with the time for Retry-After."""

    service: TenantService | None
    retry_after_ms: float = 0.0


class TenantServices:
    """The services of all tenants; all changes of the registry are made here.

    Attributes:
        registry: the tenants; each change replaces the registry.
        services: the services of the current tenants, by tenant name.
        replacements: services that replace the current ones once they are ready, by tenant name.
        closing: replaced or removed services that complete their requests in flight.
        awaiting_drain: serials of draining or removed tenants with requests in flight, by tenant key.
    """

    def __init__(
        self, file: HostFile, clock: StallAwareClock, registry: TenantRegistry, state_file: StateFile | None
    ) -> None:
        self.registry = registry
        self.state_file = state_file
        self.clock = clock
        self.capacity = file.host.txns or file.limits.sockets // SOCKETS_PER_REQUEST
        self.admission = RequestAdmission(self.capacity)
        self.services: dict[str, TenantService] = {}
        self.replacements: dict[str, TenantService] = {}
        self.closing: set[TenantService] = set()
        self.awaiting_drain: dict[str, int] = {}
        self._memory: MemoryPlan | None = None  # None until the listener's limits are known
        self._file = file
        self._tasks: set[asyncio.Task[Any]] = set()  # entries are removed as the tasks end
        self._change_lock = asyncio.Lock()

    # Memory

    def limit_memory(self, memory: MemoryPlan) -> None:
        """Divides the limits of the process among the services, now and whenever their number changes."""
        self._memory = memory
        self._divide_memory()

    def _divide_memory(self) -> None:
        services = self._open_services()
        if self._memory is None or not services:
            return
        shares = self._memory.share(len(services))
        for service in services:
            service.limit_memory(shares)

    # Start and stop

    def open(self) -> None:
        """Starts the services of the stored tenants and the measurement of the event loop lag."""
        for tenant in self.registry.tenants.values():
            self._start_service(tenant)
        self._spawn(self._measure_event_loop_lag())

    async def close(self) -> None:
        """Closes all services; called when no request is in flight any more."""
        for task in list(self._tasks):
            task.cancel()
        for service in self._open_services():
            await service.close()

    def end_requests(self) -> None:
        """Answers all requests in flight as if their deadlines had passed."""
        for service in self._open_services():
            service.gateway_service.dispatcher.end_requests()

    def _open_services(self) -> set[TenantService]:
        return {*self.services.values(), *self.replacements.values(), *self.closing}

    def longest_deadline_ms(self) -> float:
        """Returns the longest request deadline of any tenant; 0 without tenants."""
        return max(
            (service.gateway_service.config.longest_deadline_ms for service in self.services.values()),
            default=0.0,
        )

    # Changes

    async def change(self, modify: Callable[[TenantRegistry], TenantChange]) -> TenantChange:
        """Applies a change to a copy of the registry, stores the copy, then puts it into effect.

        If the change, its validation or the write fails, the current registry stays as it was, so a change is
        never made in part. Changes are made one at a time.

        Args:
            modify: makes the change in the registry that is passed to it.

        Raises:
            ApiError: the registry rejects the change.
            ConfigError: the spec does not give a valid configuration.
            OSError: the state file cannot be written.
        """
        async with self._change_lock:
            registry = self.registry.copy()
            change = modify(registry)
            if change.kind is ChangeKind.NONE:
                return change
            if change.kind in (ChangeKind.CREATED, ChangeKind.SPEC_REPLACED):
                self._check_configurable(change.tenant)
            await self._store(registry)
            self.registry = registry
            self._apply(change)
            return change

    async def _store(self, registry: TenantRegistry) -> None:
        if self.state_file is not None:
            await asyncio.to_thread(self.state_file.save, registry_to_json(registry))

    def _check_configurable(self, tenant: Tenant) -> None:
        spec = TenantSpec.model_validate(tenant.spec)
        tenant_config(self._file, tenant.name, tenant.serial, spec, MIN_ENDPOINT_CONNECTIONS)

    def _apply(self, change: TenantChange) -> None:
        tenant = change.tenant
        logger.info(
            "tenant {}: {}, version {}, state {}",
            tenant.name,
            change.kind.value,
            tenant.version,
            tenant.state.value,
        )
        match change.kind:
            case ChangeKind.CREATED:
                self._start_service(tenant)
            case ChangeKind.SPEC_REPLACED:
                self._update_service(tenant)
            case ChangeKind.REMOVED:
                self._remove_service(tenant)
            case ChangeKind.STATE_CHANGED if tenant.state is TenantState.DRAINING:
                self._check_drained(tenant.key, tenant.serial)
            case ChangeKind.STATE_CHANGED:
                self.awaiting_drain.pop(tenant.key, None)

    # Services

    def _start_service(self, tenant: Tenant) -> None:
        self.admission.set_weight(tenant.key, tenant.spec["weight"])
        service = self._create_service(tenant)
        self.services[tenant.name] = service
        self._divide_memory()
        self._spawn(self._run_until_ready(service))

    def _create_service(self, tenant: Tenant) -> TenantService:
        try:
            spec = TenantSpec.model_validate(tenant.spec)
        except ValidationError as error:  # from the state file of another release
            raise ConfigError(f"tenant {tenant.name}: {error.errors()[0]['msg']}") from error
        config = self._config_of(tenant, spec, self.admission.shares.limit_of(tenant.key))
        return TenantService(tenant, GatewayService(config, self.clock))

    def _config_of(self, tenant: Tenant, spec: TenantSpec, max_endpoint_connections: int) -> GatewayConfig:
        return tenant_config(self._file, tenant.name, tenant.serial, spec, max_endpoint_connections)

    async def _run_until_ready(self, service: TenantService) -> None:
        """Starts a service and puts it into use once it has received its endpoint list.

        A replacement without an endpoint list would reject requests that the current service can still
        forward.
        """
        gateway_service = service.gateway_service
        gateway_service.start()
        await gateway_service.discovery.start(None)
        service.is_ready = True
        if self.replacements.get(service.name) is service:
            replaced = self.services[service.name]
            del self.replacements[service.name]
            self.services[service.name] = service
            self._retire(replaced)
        endpoint_count = len(gateway_service.discovery.membership.rows)
        logger.info("tenant {}: ready, {} endpoints listed", service.name, endpoint_count)

    def _update_service(self, tenant: Tenant) -> None:
        """Applies the new spec to a tenant's service, or starts a replacement if that is not possible."""
        service = self.replacements.get(tenant.name) or self.services[tenant.name]
        self.admission.set_weight(service.key, tenant.spec["weight"])
        changed_keys = _changed_keys(service.spec, tenant.spec) - KEYS_OUTSIDE_SERVICE
        gains_or_loses_counter = (tenant.spec["counter"] is None) != (service.spec["counter"] is None)
        if changed_keys <= RECONFIGURABLE_KEYS and not gains_or_loses_counter:
            if changed_keys:
                gateway_service = service.gateway_service
                max_connections = gateway_service.config.max_endpoint_connections
                spec = TenantSpec.model_validate(tenant.spec)
                gateway_service.reconfigure(self._config_of(tenant, spec, max_connections))
            service.spec = tenant.spec
        else:
            self._replace_service(tenant, service)

    def _replace_service(self, tenant: Tenant, replaced: TenantService) -> None:
        replacement = self._create_service(tenant)
        # What the replaced service has forwarded must not be forwarded again by the new one.
        replacement.request_ids = replaced.request_ids
        self._discard_replacement(tenant.name)
        self.replacements[tenant.name] = replacement
        self._divide_memory()
        self._spawn(self._run_until_ready(replacement))

    def _remove_service(self, tenant: Tenant) -> None:
        service = self.services.pop(tenant.name)
        self._discard_replacement(tenant.name)
        self.admission.remove(service.key)
        self._retire(service)
        self._check_drained(service.key, service.serial)

    def _discard_replacement(self, name: str) -> None:
        replacement = self.replacements.pop(name, None)
        if replacement is not None:
            self._retire(replacement)

    def _retire(self, service: TenantService) -> None:
        """Closes a service once it has no requests in flight."""
        self.closing.add(service)
        service.call_when_idle(lambda: self._spawn(self._close_service(service)))

    async def _close_service(self, service: TenantService) -> None:
        await service.close()
        self.closing.discard(service)
        self._divide_memory()
        logger.info("tenant {}: closed a service of serial {}", service.name, service.serial)

    # Requests

    def admit(self, name: str) -> AdmissionResult:
        """Admits or rejects a request for a tenant; an admitted one must be released when it ends."""
        tenant = self.registry.tenants.get(name)
        service = self.services.get(name)
        is_served = tenant is not None and tenant.state is TenantState.ACTIVE
        if service is None or not is_served or not service.is_ready:
            return AdmissionResult(None, NOT_SERVED_RETRY_AFTER_MS)
        if not self.admission.admit(self.clock.now(), service.key):
            service.rejected_count += 1
            retry_after_ms = service.gateway_service.config.settings.max_retry_after_ms
            return AdmissionResult(None, retry_after_ms or REJECTED_RETRY_AFTER_MS)
        service.begin_request()
        return AdmissionResult(service)

    def release(self, service: TenantService) -> None:
        """Records the end of an admitted request."""
        self.admission.release(service.key)
        service.end_request()
        if service.key in self.awaiting_drain:
            self._check_drained(service.key, service.serial)

    def _check_drained(self, key: str, serial: int) -> None:
        """Ends a drain or removal, or postpones that while a service of the tenant has requests in flight."""
        if self.admission.has_requests_in_flight(key):
            self.awaiting_drain[key] = serial
        else:
            self.awaiting_drain.pop(key, None)
            self._spawn(self._finish_drain(serial))

    async def _finish_drain(self, serial: int) -> None:
        async with self._change_lock:
            self.registry.finish_drain(serial)
            await self._store(self.registry)

    # Reports

    def usage_report(self, name: str) -> JsonObject:
        """Returns a tenant's current usage, in the form of the API."""
        service = self.services[name]
        gateway_service = service.gateway_service
        share = self.admission.shares.tenants[service.key]
        endpoints = gateway_service.discovery.membership.rows.values()
        return {
            "ready": service.is_ready,
            "open": service.in_flight,
            "taken": service.admitted_count,
            "turned_away": service.rejected_count,
            "share": {
                "own": share.guaranteed,
                "most": self.admission.shares.limit_of(service.key),
                "refused": share.refused_count,
            },
            "workers": Counter(endpoint.info.status.value for endpoint in endpoints),
            "lines": len(gateway_service.endpoint_clients.pool.connections),
            "discovery_heard": gateway_service.discovery.is_connected,
        }

    # Tasks

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _measure_event_loop_lag(self) -> None:
        while True:
            due_ms = self.clock.now() + LAG_INTERVAL_MS
            await asyncio.sleep(LAG_INTERVAL_MS / 1000)
            lateness_ms = self.clock.now() - due_ms
            fair_limiter = self.admission.fair_limiter
            fair_limiter.lag_ms = max(lateness_ms, fair_limiter.lag_ms * LAG_DECAY)


def _changed_keys(old: JsonObject, new: JsonObject) -> set[str]:
    return {key for key in old.keys() | new.keys() if old.get(key) != new.get(key)}
