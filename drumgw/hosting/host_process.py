"""A host from its start to its end: the listener, the tenants' services and the administration API."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable

from loguru import logger

from drumgw.config.host_file import HostFile
from drumgw.gateway.clock import MonotonicClock, StallAwareClock
from drumgw.gateway.process import GC_THRESHOLD, SHUTDOWN_LINGER_MS
from drumgw.gateway.process_config import RESERVED_DESCRIPTORS, ConfigError, parse_address
from drumgw.gateway.signals import handle_signal, ignore_signals
from drumgw.hosting.admin_api import MAX_OPEN_CALLS, AdminApi
from drumgw.hosting.authentication import ApiToken, Authenticator, Role
from drumgw.hosting.errors import ApiError
from drumgw.hosting.http_server import HostHttpServer, ListenerConfig
from drumgw.hosting.registry_persistence import registry_from_json
from drumgw.hosting.state_file import StateFile, StateFileError
from drumgw.hosting.tenant_registry import TenantRegistry
from drumgw.hosting.tenant_services import TenantServices

DESCRIPTORS_PER_API_CALL = 2
REQUESTING_CLIENTS_FRACTION = (3, 4)  # of the connections that clients may hold
CONNECTION_SHUTDOWN_S = 0.1

Address = tuple[str, int]


class HostProcess:
    """The parts of a host, put together."""

    def __init__(self, file: HostFile) -> None:
        self.clock = StallAwareClock(MonotonicClock(), asyncio.get_running_loop())
        self.state_file = StateFile(file.host.state) if file.host.state else None
        self.services = TenantServices(
            file, self.clock, _load_registry(file, self.state_file), self.state_file
        )
        self.http_server = HostHttpServer(_listener_config(file, self.services.capacity), self.services)
        self.api = AdminApi(self.services, _authenticator(file))
        self.stop_requested = asyncio.Event()
        self._file = file

    async def open(self) -> tuple[Address, Address]:
        """Starts everything; returns the bound addresses of the listener and of the API.

        Raises:
            ConfigError: an address cannot be listened at.
        """
        self.clock.start_heartbeat()
        await self.http_server.bind()
        self.services.open()
        try:
            api_address = await self.api.open(parse_address(self._file.host.api, "api"))
        except OSError as error:
            raise ConfigError(f"cannot listen at {self._file.host.api}: {error}") from error
        client_address = await self.http_server.open()
        logger.info(
            "host {} serves at {}:{}, its API at {}:{}: {} tenants, {}",
            self._file.host.name,
            *client_address,
            *api_address,
            len(self.services.registry.tenants),
            "state in a folder" if self.state_file else "read only",
        )
        return client_address, api_address

    async def close(self) -> None:
        """Serves what still comes for a while, finishes what is in flight, then closes everything."""
        self.http_server.withdraw_readiness()
        await self.api.close()
        await asyncio.sleep(SHUTDOWN_LINGER_MS / 1000)
        await self.http_server.drain(self.clock.now() + self.services.longest_deadline_ms())
        await self.http_server.wait_until_closed()
        await self.http_server.server.shutdown(CONNECTION_SHUTDOWN_S)
        await self.services.close()
        logger.info("host {} ends", self._file.host.name)

    def reload_tokens(self, read: Callable[[], HostFile]) -> None:
        """Reads the tokens again (SIGHUP). Tenants change through the API, all else with a restart."""
        try:
            file = read()
        except ValueError as error:
            logger.warning("SIGHUP: {}; the old file stands", str(error).splitlines()[0])
            return
        self.api.authenticator = _authenticator(file)
        logger.info("SIGHUP: {} tokens", len(file.token))


async def serve(file: HostFile, read_again: Callable[[], HostFile]) -> None:
    """Runs a host until SIGTERM.

    Args:
        file: the operator's file.
        read_again: reads it anew, for SIGHUP.

    Raises:
        ConfigError: the file cannot be used.
    """
    host_process = HostProcess(file)
    loop = asyncio.get_running_loop()
    handle_signal(loop, signal.SIGTERM, host_process.stop_requested.set)
    handle_signal(loop, signal.SIGHUP, lambda: host_process.reload_tokens(read_again))
    try:
        await host_process.open()
    except ConfigError:
        await host_process.api.close()
        await host_process.services.close()
        raise
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    await host_process.stop_requested.wait()
    await host_process.close()
    ignore_signals()


def _load_registry(file: HostFile, state_file: StateFile | None) -> TenantRegistry:
    """Returns the tenants of the state folder where it holds any state, else those of the operator's file."""
    stored = _load_stored_registry(state_file) if state_file is not None else None
    return stored if stored is not None else _registry_of_file(file)


def _load_stored_registry(state_file: StateFile) -> TenantRegistry | None:
    try:
        loaded = state_file.load()
        if loaded is None:
            return None
        if loaded.warning is not None:
            logger.warning("{}", loaded.warning)
        return None if loaded.content is None else registry_from_json(loaded.content)
    except StateFileError as error:
        raise ConfigError(str(error)) from error
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{state_file.path}: not as this version writes it: {error!r}") from error


def _registry_of_file(file: HostFile) -> TenantRegistry:
    registry = TenantRegistry()
    for named in file.tenant:
        try:
            registry.create(named.name, named.spec())
        except ApiError as error:
            raise ConfigError(f"tenant {named.name}: {error.detail}") from error
    return registry


def _listener_config(file: HostFile, capacity: int) -> ListenerConfig:
    """Gives clients the descriptors that the requests in flight, the API and the process itself leave."""
    reserved = RESERVED_DESCRIPTORS + DESCRIPTORS_PER_API_CALL * MAX_OPEN_CALLS + capacity
    max_connections = file.limits.sockets - reserved
    if max_connections < 1:
        raise ConfigError(f"limits.sockets is {file.limits.sockets}, too few")
    numerator, denominator = REQUESTING_CLIENTS_FRACTION
    return ListenerConfig(
        listen=parse_address(file.host.listen, "listen"),
        max_client_connections=max_connections,
        max_requesting_clients=max_connections * numerator // denominator,
    )


def _authenticator(file: HostFile) -> Authenticator:
    return Authenticator(
        ApiToken(token.id, Role(token.role), token.tenant, token.sha256) for token in file.token
    )
