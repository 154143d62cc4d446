"""The life cycle of a host process: its listener, the tenants' services and the administration API."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from loguru import logger

from drumgw.config.host_file import HostFile
from drumgw.gateway.clock import MonotonicClock, StallAwareClock
from drumgw.gateway.garbage_collection import tune_garbage_collector
from drumgw.gateway.process import SHUTDOWN_LINGER_MS
from drumgw.gateway.process_config import (
    RESERVED_DESCRIPTORS,
    ConfigError,
    parse_address,
    plan_memory,
)
from drumgw.gateway.shedding import ShedLog
from drumgw.gateway.shutdown import finish_requests
from drumgw.gateway.signals import handle_signal, ignore_signals
from drumgw.hosting.admin_api import MAX_CONCURRENT_CALLS, AdminApi
from drumgw.hosting.authentication import ApiToken, Authenticator, Role
from drumgw.hosting.errors import ApiError
from drumgw.hosting.http_server import HostHttpServer, ListenerConfig
from drumgw.hosting.registry_persistence import registry_from_json
from drumgw.hosting.state_file import StateFile, StateFileError
from drumgw.hosting.tenant_registry import TenantRegistry
from drumgw.hosting.tenant_services import TenantServices

DESCRIPTORS_PER_API_CALL = 2
REQUESTING_CLIENTS_FRACTION = (3, 4)  # of the client connections; limits those that have sent a request
SERVER_SHUTDOWN_TIMEOUT_S = 0.1

Address = tuple[str, int]


class HostProcess:
    """Creates the components of a host, and starts and stops them in order."""

    def __init__(self, file: HostFile) -> None:
        self.clock = StallAwareClock(MonotonicClock(), asyncio.get_running_loop())
        self.state_file = StateFile(file.host.state) if file.host.state else None
        self.services = TenantServices(
            file, self.clock, _load_registry(file, self.state_file), self.state_file
        )
        listener = _listener_config(file, self.services.capacity)
        self.services.limit_memory(listener.memory)
        self.http_server = HostHttpServer(listener, self.services)
        self.api = AdminApi(self.services, _authenticator(file))
        self.stop_requested = asyncio.Event()
        self._file = file
        self._shed_log = ShedLog(asyncio.get_running_loop())

    async def open(self) -> tuple[Address, Address]:
        """Starts all components; returns the bound addresses of the listener and of the API.

        Raises:
            ConfigError: the listener or the API cannot listen on its address.
        """
        self.clock.start_heartbeat()
        await self.http_server.bind()
        self.services.open()
        try:
            api_address = await self.api.open(parse_address(self._file.host.api, "api"))
        except OSError as error:
            raise ConfigError(f"cannot listen on {self._file.host.api}: {error}") from error
        client_address = await self.http_server.open()
        logger.info(
            "host {} serves at {}:{}, API at {}:{}: {} tenants, {}",
            self._file.host.name,
            *client_address,
            *api_address,
            len(self.services.registry.tenants),
            "tenants stored in the state folder" if self.state_file else "no state folder, API is read-only",
        )
        self._shed_log.start()
        return client_address, api_address

    async def close(self) -> None:
        """Shuts down gracefully.

        First, readiness is withdrawn and the API is closed. New clients are served for SHUTDOWN_LINGER_MS
        more; then the requests in flight are completed, within the longest deadline of any tenant and a limit
        (`finish_requests`), and the other components are closed.
        """
        linger_end_ms = self.clock.now() + SHUTDOWN_LINGER_MS
        self.http_server.withdraw_readiness()
        await self.api.close()
        await asyncio.sleep(SHUTDOWN_LINGER_MS / 1000)
        await finish_requests(
            self.http_server, linger_end_ms, self.services.longest_deadline_ms(), self.services.end_requests
        )
        await self.http_server.wait_until_closed()
        await self.http_server.server.shutdown(SERVER_SHUTDOWN_TIMEOUT_S)
        await self.services.close()
        self._shed_log.close()
        logger.info("host {} has shut down", self._file.host.name)

    def reload_tokens(self, read_file: Callable[[], HostFile]) -> None:
        """Reloads the API tokens from the host file; called on SIGHUP.

        Tenants are changed through the API only; every other setting needs a restart.

        Args:
            read_file: reads the host file again.
        """
        try:
            file = read_file()
        except ValueError as error:
            logger.warning("SIGHUP: {}; keeping the previous API tokens", str(error).splitlines()[0])
            return
        self.api.authenticator = _authenticator(file)
        logger.info("SIGHUP: {} API tokens loaded", len(file.token))


async def serve(file: HostFile, read_file: Callable[[], HostFile]) -> None:
    """Runs a host until SIGTERM.

    Args:
        file: the host file.
        read_file: reads the host file again; called on SIGHUP.

    Raises:
        ConfigError: the host cannot start with this file or with the stored state.
    """
    host_process = HostProcess(file)
    loop = asyncio.get_running_loop()
    handle_signal(loop, signal.SIGTERM, host_process.stop_requested.set)
    handle_signal(loop, signal.SIGHUP, lambda: host_process.reload_tokens(read_file))
    try:
        await host_process.open()
    except ConfigError:
        await host_process.api.close()
        await host_process.services.close()
        raise
    tune_garbage_collector()
    await host_process.stop_requested.wait()
    await host_process.close()
    ignore_signals()


def _load_registry(file: HostFile, state_file: StateFile | None) -> TenantRegistry:
    """Returns the tenants of the state folder if it holds a state file, else those of the host file."""
    stored = _load_stored_registry(state_file) if state_file is not None else None
    return stored if stored is not None else _registry_from_host_file(file)


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
        raise ConfigError(
            f"{state_file.path}: content is not in the format of this version: {error!r}"
        ) from error


def _registry_from_host_file(file: HostFile) -> TenantRegistry:
    registry = TenantRegistry()
    for entry in file.tenant:
        try:
            registry.create(entry.name, entry.spec())
        except ApiError as error:
            raise ConfigError(f"tenant {entry.name}: {error.detail}") from error
    return registry


def _listener_config(file: HostFile, capacity: int) -> ListenerConfig:
    """Returns limits that leave descriptors for the process, the API and the requests in flight."""
    reserved = RESERVED_DESCRIPTORS + DESCRIPTORS_PER_API_CALL * MAX_CONCURRENT_CALLS + capacity
    max_connections = file.limits.sockets - reserved
    if max_connections < 1:
        raise ConfigError(
            f"limits.sockets is {file.limits.sockets}, which leaves none for client connections"
        )
    numerator, denominator = REQUESTING_CLIENTS_FRACTION
    return ListenerConfig(
        listen=parse_address(file.host.listen, "listen"),
        max_client_connections=max_connections,
        max_requesting_clients=max_connections * numerator // denominator,
        memory=plan_memory(file.limits.memory_mb, max_connections + capacity),
    )


def _authenticator(file: HostFile) -> Authenticator:
    return Authenticator(
        ApiToken(token.id, Role(token.role), token.tenant, token.sha256) for token in file.token
    )
