"""The stations of all tenants: opened, moved, replaced and shut as the registry's changes say."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from loguru import logger
from pydantic import ValidationError

from drumgw.config.host_file import HostFile, TenantSpec, tenant_config
from drumgw.gateway.clock import StallAwareClock
from drumgw.gateway.process_config import ConfigError
from drumgw.gateway.service import GatewayService
from drumgw.hosting.resource_limits import FairShares, FairTurns
from drumgw.hosting.state_file import StateFile
from drumgw.hosting.tenant_registry import ACTIVE, DRAINING, JsonObject, Tenant, TenantChange, TenantRegistry

LAG_BEAT_MS = 50.0
MOVES = ("discovery", "counter")  # a station goes on with others of these
OUTSIDE = ("route", "weight")  # and knows nothing of these


class TenantService:
    """A tenant's station, and what is in flight there."""

    def __init__(self, tenant: Tenant, service: GatewayService) -> None:
        self.name, self.serial, self.spec, self.service = tenant.name, tenant.serial, tenant.spec, service
        self.key = tenant.key
        self.ids: set[str] = set()  # of open txns; emptied by their ends
        self.open = self.taken = self.turned_away = 0
        self.ready = False
        self.empty: Callable[[], None] | None = None  # called once nothing is in flight


class TenantServices:
    def __init__(
        self, house: HostFile, clock: StallAwareClock, registry: TenantRegistry, store: StateFile | None
    ) -> None:
        self.house, self.clock, self.registry, self.store = house, clock, registry, store
        self.most = house.host.txns or house.limits.sockets // 3
        self.shares, self.turns = FairShares(self.most), FairTurns()
        self.seats: dict[str, TenantService] = {}  # by name; emptied by removals
        self.coming: dict[str, TenantService] = {}  # that take a seat's place once they are ready
        self.leaving: set[TenantService] = set()  # that finish; emptied as they end
        self.tasks: set[asyncio.Task[Any]] = set()  # emptied as they end
        self.lock = asyncio.Lock()  # changes come one after another
        self.weights: dict[str, float] = {}  # by key; emptied by removals
        self.drains: dict[str, int] = {}  # key: serial of who waits to be empty; emptied by that

    # Start and end

    def open(self) -> None:
        for tenant in self.registry.tenants.values():
            self.seat(tenant)
        self.spawn(self.watch_lag())

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for seat in {*self.seats.values(), *self.coming.values(), *self.leaving}:
            await seat.service.return_reservations()
            await seat.service.close()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def watch_lag(self) -> None:
        while True:
            due = self.clock.now() + LAG_BEAT_MS
            await asyncio.sleep(LAG_BEAT_MS / 1000)
            late = self.clock.now() - due
            self.turns.lag_ms = max(late, self.turns.lag_ms / 2)

    # Changes: kept first, then made

    async def change(self, make: Callable[[TenantRegistry], tuple[Any, TenantChange | None]]) -> Any:
        """On a copy, which takes the registry's place once it is kept; nothing is half applied."""
        async with self.lock:
            new = self.registry.copy()
            found, change = make(new)
            if change is not None:
                if change.what in ("opened", "changed"):
                    self.fits(change.tenant)
                if self.store is not None:
                    await asyncio.to_thread(self.store.save, new.kept())
                self.registry = new
                self.apply(change)
            return found

    def fits(self, tenant: Tenant) -> None:
        """Raises BadCharter where a station could not be made of it."""
        tenant_config(self.house, tenant.name, tenant.serial, TenantSpec.model_validate(tenant.spec), 2)

    def apply(self, change: TenantChange) -> None:
        tenant = change.tenant
        logger.info("tenant {}: {}, version {}, {}", tenant.name, change.what, tenant.version, tenant.state)
        if change.what == "opened":
            self.seat(tenant)
        elif change.what == "changed":
            self.renew(tenant)
        elif change.what == "removed":
            self.remove(tenant)
        elif tenant.state == DRAINING:
            self.await_empty(tenant.key, tenant.serial)
        else:
            self.drains.pop(tenant.key, None)

    def seat(self, tenant: Tenant) -> None:
        self.shares.put(tenant.key, tenant.spec["weight"])
        self.weights[tenant.key] = tenant.spec["weight"]
        seat = self.seats[tenant.name] = TenantService(tenant, self.service(tenant))
        self.spawn(self.begin(seat))

    def service(self, tenant: Tenant) -> GatewayService:
        try:
            spec = TenantSpec.model_validate(tenant.spec)
        except ValidationError as bad:  # from a state file of other days
            raise ConfigError(f"tenant {tenant.name}: {bad.errors()[0]['msg']}") from bad
        lines = self.shares.holds_most(tenant.key)
        return GatewayService(tenant_config(self.house, tenant.name, tenant.serial, spec, lines), self.clock)

    async def begin(self, seat: TenantService) -> None:
        """Nobody is let in there before its own discovery has spoken: one that takes another's place would
        refuse what that one still serves."""
        seat.service.start()
        await seat.service.discovery.start(None)
        seat.ready = True
        if self.coming.get(seat.name) is seat:
            old = self.seats[seat.name]
            del self.coming[seat.name]
            self.seats[seat.name] = seat
            self.retire(old)
        logger.info(
            "tenant {}: serves, {} workers listed", seat.name, len(seat.service.discovery.membership.rows)
        )

    def renew(self, tenant: Tenant) -> None:
        """A station goes on where it can; else a new one takes its place once it knows its workers."""
        seat = self.coming.get(tenant.name) or self.seats[tenant.name]
        self.shares.put(seat.key, tenant.spec["weight"])
        self.weights[seat.key] = tenant.spec["weight"]
        inner = {k for k in tenant.spec.keys() | seat.spec.keys() if tenant.spec.get(k) != seat.spec.get(k)}
        inner -= set(OUTSIDE)
        moves = inner <= set(MOVES) and (tenant.spec["counter"] is None) == (seat.spec["counter"] is None)
        if moves:
            if inner:
                spec = TenantSpec.model_validate(tenant.spec)
                lines = seat.service.config.max_endpoint_connections
                seat.service.reconfigure(tenant_config(self.house, tenant.name, tenant.serial, spec, lines))
            seat.spec = tenant.spec
            return
        new = TenantService(tenant, self.service(tenant))
        new.ids = seat.ids  # an id is open in the tenant, whichever station has it
        if (waiting := self.coming.pop(tenant.name, None)) is not None:
            self.retire(waiting)
        self.coming[tenant.name] = new
        self.spawn(self.begin(new))

    def remove(self, tenant: Tenant) -> None:
        seat = self.seats.pop(tenant.name)
        if (waiting := self.coming.pop(tenant.name, None)) is not None:
            self.retire(waiting)
        self.shares.drop(seat.key)
        self.weights.pop(seat.key, None)
        self.retire(seat)
        self.await_empty(seat.key, seat.serial)

    # What is in flight

    def take(self, name: str) -> tuple[TenantService | None, float]:
        """The seat that a txn may go to, or none and when to come back (ms)."""
        tenant, seat = self.registry.tenants.get(name), self.seats.get(name)
        if tenant is None or seat is None or tenant.state != ACTIVE or not seat.ready:
            return None, 1000.0
        if not self.turns.take(self.clock.now(), seat.key, self.weights) or not self.shares.take(seat.key):
            seat.turned_away += 1
            return None, seat.service.config.settings.max_retry_after_ms or 500.0
        seat.open, seat.taken = seat.open + 1, seat.taken + 1
        return seat, 0.0

    def give(self, seat: TenantService) -> None:
        seat.open -= 1
        self.shares.give(seat.key)
        if not seat.open and seat.empty is not None:
            empty, seat.empty = seat.empty, None
            empty()
        if seat.key in self.drains:
            self.await_empty(seat.key, seat.serial)

    def await_empty(self, key: str, serial: int) -> None:
        """Whichever station its txns are at."""
        part = self.shares.parts.get(key)
        if part is not None and part.open:
            self.drains[key] = serial
        else:
            self.drains.pop(key, None)
            self.spawn(self.emptied(serial))

    def when_empty(self, seat: TenantService, call: Callable[[], Any]) -> None:
        if seat.open:
            seat.empty = call
        else:
            call()

    def retire(self, seat: TenantService) -> None:
        self.leaving.add(seat)
        self.when_empty(seat, lambda: self.spawn(self.shut(seat)))

    async def shut(self, seat: TenantService) -> None:
        await seat.service.return_reservations()
        await seat.service.close()
        self.leaving.discard(seat)
        logger.info("tenant {}: a station of serial {} has gone", seat.name, seat.serial)

    async def emptied(self, serial: int) -> None:
        async with self.lock:
            self.registry.emptied(serial)
            if self.store is not None:
                await asyncio.to_thread(self.store.save, self.registry.kept())

    # For the API

    def use(self, name: str) -> JsonObject:
        seat = self.seats[name]
        part = self.shares.parts[seat.key]
        service = seat.service
        return {
            "ready": seat.ready,
            "open": seat.open,
            "taken": seat.taken,
            "turned_away": seat.turned_away,
            "share": {"own": part.own, "most": self.shares.holds_most(seat.key), "refused": part.refused},
            "workers": Counter(row.info.status.value for row in service.discovery.membership.rows.values()),
            "lines": len(service.endpoint_clients.pool.connections),
            "discovery_heard": service.discovery.is_connected,
        }
