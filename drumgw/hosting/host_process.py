"""A host: its front, its tenants' stations and its administration API, from start to end."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable

from loguru import logger

from drumgw.config.host_file import House
from drumgw.gateway.clock import Clock, Pulse
from drumgw.gateway.process import GARBAGE, LINGER_MS, deaf, heed
from drumgw.gateway.process_config import RESERVED, BadCharter, address
from drumgw.hosting.admin_api import MOST_CALLS, Api
from drumgw.hosting.authentication import Access, Token
from drumgw.hosting.http_server import Doorway, HostFront
from drumgw.hosting.state_file import BadState, Store
from drumgw.hosting.tenant_registry import Refused, Registry
from drumgw.hosting.tenant_services import Hosting


class Service:
    def __init__(self, house: House) -> None:
        self.house = house
        self.pulse = Pulse(Clock(), asyncio.get_running_loop())
        self.store = Store(house.host.state) if house.host.state else None
        self.hosting = Hosting(house, self.pulse, self.tenants(), self.store)
        clients = house.limits.sockets - RESERVED - 2 * MOST_CALLS - self.hosting.most
        if clients < 1:
            raise BadCharter(f"limits.sockets is {house.limits.sockets}, too few")
        doorway = Doorway(address(house.host.listen, "listen"), clients, clients * 3 // 4)
        self.front = HostFront(doorway, self.hosting)
        self.api = Api(self.hosting, Access(Token(t.id, t.role, t.tenant, t.sha256) for t in house.token))
        self.term = asyncio.Event()

    def tenants(self) -> Registry:
        """Those of the state folder, where there is one and it has any; else the file's."""
        if self.store is not None:
            try:
                kept, said = self.store.load()
                if said is not None:
                    logger.warning("{}", said)
                if kept is not None:
                    return Registry.of(kept)
            except BadState as bad:
                raise BadCharter(str(bad)) from bad
            except (KeyError, TypeError, ValueError, AttributeError) as bad:
                raise BadCharter(f"{self.store.path}: not as this version writes it: {bad!r}") from bad
        registry = Registry()
        for named in self.house.tenant:
            try:
                registry.create(named.name, named.spec())
            except Refused as no:
                raise BadCharter(f"tenant {named.name}: {no.detail}") from no
        return registry

    async def open(self) -> tuple[tuple[str, int], tuple[str, int]]:
        self.pulse.beat()
        await self.front.bind()
        self.hosting.open()
        try:
            api = await self.api.open(address(self.house.host.api, "api"))
        except OSError as error:
            raise BadCharter(f"cannot listen at {self.house.host.api}: {error}") from error
        place = await self.front.open()
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
        self.front.withdraw()
        await self.api.close()
        await asyncio.sleep(LINGER_MS / 1000)
        longest = max((s.station.charter.longest_ms for s in self.hosting.seats.values()), default=0.0)
        await self.front.finish(self.pulse.now() + longest)
        await self.front.seen_off()
        await self.front.server.shutdown(0.1)
        await self.hosting.close()
        logger.info("host {} ends", self.house.host.name)

    def reload(self, read: Callable[[], House]) -> None:
        """SIGHUP: tokens are read again; tenants change by the API, all else by a restart."""
        try:
            house = read()
        except ValueError as bad:
            logger.warning("SIGHUP: {}; the old file stands", str(bad).splitlines()[0])
            return
        self.api.access = Access(Token(t.id, t.role, t.tenant, t.sha256) for t in house.token)
        logger.info("SIGHUP: {} tokens", len(house.token))


async def serve(house: House, again: Callable[[], House]) -> None:
    service, loop = Service(house), asyncio.get_running_loop()
    heed(loop, signal.SIGTERM, service.term.set)
    heed(loop, signal.SIGHUP, lambda: service.reload(again))
    try:
        await service.open()
    except BadCharter:
        await service.api.close()
        await service.hosting.close()
        raise
    gc.freeze()
    gc.set_threshold(GARBAGE)
    await service.term.wait()
    await service.close()
    deaf()
