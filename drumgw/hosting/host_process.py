"""A host: its front, its tenants' stations and its administration API, from start to end."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable

from loguru import logger

from drumgw.config.host_file import HostFile
from drumgw.gateway.clock import MonotonicClock, StallAwareClock
from drumgw.gateway.process import GC_THRESHOLD, SHUTDOWN_LINGER_MS, handle_signal, ignore_signals
from drumgw.gateway.process_config import RESERVED_DESCRIPTORS, ConfigError, parse_address
from drumgw.hosting.admin_api import MOST_CALLS, AdminApi
from drumgw.hosting.authentication import Authenticator, Token
from drumgw.hosting.http_server import HostHttpServer, ListenerConfig
from drumgw.hosting.state_file import StateFile, StateFileError
from drumgw.hosting.tenant_registry import ChangeRejected, TenantRegistry
from drumgw.hosting.tenant_services import TenantServices


class HostProcess:
    def __init__(self, house: HostFile) -> None:
        self.house = house
        self.clock = StallAwareClock(MonotonicClock(), asyncio.get_running_loop())
        self.store = StateFile(house.host.state) if house.host.state else None
        self.hosting = TenantServices(house, self.clock, self.tenants(), self.store)
        clients = house.limits.sockets - RESERVED_DESCRIPTORS - 2 * MOST_CALLS - self.hosting.most
        if clients < 1:
            raise ConfigError(f"limits.sockets is {house.limits.sockets}, too few")
        doorway = ListenerConfig(parse_address(house.host.listen, "listen"), clients, clients * 3 // 4)
        self.http_server = HostHttpServer(doorway, self.hosting)
        self.api = AdminApi(
            self.hosting, Authenticator(Token(t.id, t.role, t.tenant, t.sha256) for t in house.token)
        )
        self.stop_requested = asyncio.Event()

    def tenants(self) -> TenantRegistry:
        """Those of the state folder, where there is one and it has any; else the file's."""
        if self.store is not None:
            try:
                kept, said = self.store.load()
                if said is not None:
                    logger.warning("{}", said)
                if kept is not None:
                    return TenantRegistry.of(kept)
            except StateFileError as bad:
                raise ConfigError(str(bad)) from bad
            except (KeyError, TypeError, ValueError, AttributeError) as bad:
                raise ConfigError(f"{self.store.path}: not as this version writes it: {bad!r}") from bad
        registry = TenantRegistry()
        for named in self.house.tenant:
            try:
                registry.create(named.name, named.spec())
            except ChangeRejected as no:
                raise ConfigError(f"tenant {named.name}: {no.detail}") from no
        return registry

    async def open(self) -> tuple[tuple[str, int], tuple[str, int]]:
        self.clock.start_heartbeat()
        await self.http_server.bind()
        self.hosting.open()
        try:
            api = await self.api.open(parse_address(self.house.host.api, "api"))
        except OSError as error:
            raise ConfigError(f"cannot listen at {self.house.host.api}: {error}") from error
        place = await self.http_server.open()
        logger.info(
            "host {} serves at {}:{}, its API at {}:{}: {} tenants, {}",
            self.house.host.name,
            *place,
            *api,
            len(self.hosting.registry.tenants),
            "kept" if self.store else "read only",
        )
        return place, api

    async def close(self) -> None:
        self.http_server.withdraw_readiness()
        await self.api.close()
        await asyncio.sleep(SHUTDOWN_LINGER_MS / 1000)
        longest = max(
            (s.service.config.longest_deadline_ms for s in self.hosting.seats.values()), default=0.0
        )
        await self.http_server.drain(self.clock.now() + longest)
        await self.http_server.wait_until_closed()
        await self.http_server.server.shutdown(0.1)
        await self.hosting.close()
        logger.info("host {} ends", self.house.host.name)

    def reload(self, read: Callable[[], HostFile]) -> None:
        """SIGHUP: tokens are read again; tenants change by the API, all else by a restart."""
        try:
            house = read()
        except ValueError as bad:
            logger.warning("SIGHUP: {}; the old file stands", str(bad).splitlines()[0])
            return
        self.api.access = Authenticator(Token(t.id, t.role, t.tenant, t.sha256) for t in house.token)
        logger.info("SIGHUP: {} tokens", len(house.token))


async def serve(house: HostFile, again: Callable[[], HostFile]) -> None:
    host_process, loop = HostProcess(house), asyncio.get_running_loop()
    handle_signal(loop, signal.SIGTERM, host_process.stop_requested.set)
    handle_signal(loop, signal.SIGHUP, lambda: host_process.reload(again))
    try:
        await host_process.open()
    except ConfigError:
        await host_process.api.close()
        await host_process.hosting.close()
        raise
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    await host_process.stop_requested.wait()
    await host_process.close()
    ignore_signals()
