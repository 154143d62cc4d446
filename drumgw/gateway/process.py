"""One gateway process: construction, start, configuration reload on SIGHUP, and shutdown on SIGTERM."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Sequence
from functools import partial

from loguru import logger

from drumgw.gateway.clock import MonotonicClock, StallAwareClock
from drumgw.gateway.garbage_collection import tune_garbage_collector
from drumgw.gateway.http_server import HttpServer
from drumgw.gateway.invariants import violations
from drumgw.gateway.membership import MAX_START_WAIT_MS
from drumgw.gateway.process_config import ConfigError, GatewayConfig
from drumgw.gateway.service import GatewayService
from drumgw.gateway.shedding import ShedLog
from drumgw.gateway.shutdown import finish_requests
from drumgw.gateway.signals import handle_signal, ignore_signals

SHUTDOWN_LINGER_MS = 700.0
"""How long new clients may still connect after SIGTERM (protocol)."""
SERVER_SHUTDOWN_TIMEOUT_S = 0.1

ReadConfig = Callable[[], GatewayConfig]


class GatewayProcess:
    """A gateway service together with its HTTP listener.

    Args:
        config: the configuration at start.

    Raises:
        ConfigError: the list of known endpoints is malformed.
    """

    def __init__(self, config: GatewayConfig) -> None:
        self.config = config
        self.clock = StallAwareClock(MonotonicClock(), asyncio.get_running_loop())
        self.service = GatewayService(config, self.clock)
        self.dispatcher = self.service.dispatcher
        self.endpoint_clients = self.service.endpoint_clients
        self.counter = self.service.counter
        self.discovery = self.service.discovery
        self.http_server = HttpServer(config, self.dispatcher)
        self.stop_requested = asyncio.Event()
        self._shed_log = ShedLog(asyncio.get_running_loop())

    async def open(self) -> tuple[str, int]:
        """Starts, and accepts clients once discovery has answered or MAX_START_WAIT_MS has passed.

        Returns:
            The host and port that it listens on.

        Raises:
            ConfigError: the configured address cannot be bound.
        """
        self.clock.start_heartbeat()
        self.service.start()
        await self.http_server.bind()
        await self.discovery.start(MAX_START_WAIT_MS / 1000)
        host, port = await self.http_server.open()
        logger.info(
            "{} serves at {}:{}: {} endpoints known, limits: {} client and {} endpoint connections",
            self.config.name,
            host,
            port,
            len(self.discovery.membership.rows),
            self.config.max_client_connections,
            self.config.max_endpoint_connections,
        )
        logger.info("{} keeps at most: {}", self.config.name, self.config.memory.describe())
        self._shed_log.start()
        return host, port

    async def close(self) -> None:
        """Accepts clients for SHUTDOWN_LINGER_MS more, finishes the requests in flight, then closes.

        Requests in flight have the longest deadline of any request class to finish, up to a limit
        (`finish_requests`). Quota reservations that were not used are returned to the counter.
        """
        linger_end_ms = self.clock.now() + SHUTDOWN_LINGER_MS
        self.http_server.withdraw_readiness()
        logger.info(
            "{} received SIGTERM: {} requests in flight",
            self.config.name,
            len(self.dispatcher.pending_requests),
        )
        await asyncio.sleep(SHUTDOWN_LINGER_MS / 1000)
        await finish_requests(
            self.http_server, linger_end_ms, self.config.longest_deadline_ms, self.dispatcher.end_requests
        )
        await self.service.return_reservations()
        await self.http_server.wait_until_closed()
        await self.http_server.server.shutdown(SERVER_SHUTDOWN_TIMEOUT_S)
        await self.service.close()
        self._shed_log.close()
        logger.info(
            "{} exits: {} requests received, {} unfinished, invariant violations: {}",
            self.config.name,
            self.dispatcher.lifecycle.received_count,
            len(self.dispatcher.pending_requests),
            dict(violations) or "none",
        )

    def reload(self, read_config: ReadConfig) -> None:
        """Rereads the configuration, and switches to the discovery and counter addresses that it names.

        An invalid configuration is logged and has no other effect.
        """
        try:
            config = read_config()
        except ConfigError as error:
            logger.warning("SIGHUP: {}; keeping the previous configuration", error)
            return
        self.service.reconfigure(config)
        discovery_host, discovery_port = config.discovery
        logger.info(
            "SIGHUP: discovery at {}:{}, counter at {}",
            discovery_host,
            discovery_port,
            "{}:{}".format(*config.counter) if config.counter else "none",
        )


async def serve(config: GatewayConfig, reread_config: ReadConfig, early_sighups: Sequence[int] = ()) -> None:
    """Runs a gateway until SIGTERM.

    A SIGHUP that arrives before the handler is installed triggers a reload once the gateway is open. Both
    signals are ignored after the shutdown, as their default action would kill the process before it can exit
    with code 0.

    Args:
        config: the configuration to start with.
        reread_config: called at each SIGHUP.
        early_sighups: the signals received before the handler is installed; the caller's own handler may add
            to it until then.

    Raises:
        ConfigError: the gateway cannot start with this configuration.
    """
    gateway = GatewayProcess(config)
    loop = asyncio.get_running_loop()
    handle_signal(loop, signal.SIGTERM, gateway.stop_requested.set)
    handle_signal(loop, signal.SIGHUP, partial(gateway.reload, reread_config))
    if await _open_unless_stopped(gateway):
        if early_sighups:
            gateway.reload(reread_config)
        tune_garbage_collector()
        await gateway.stop_requested.wait()
        await gateway.close()
    else:
        logger.info("{} exits: received SIGTERM during startup", config.name)
    ignore_signals()


async def _open_unless_stopped(gateway: GatewayProcess) -> bool:
    """Opens the gateway. Returns False, after closing it again, if SIGTERM arrives before it is open."""
    opening = asyncio.create_task(gateway.open())
    stopping = asyncio.create_task(gateway.stop_requested.wait())
    await asyncio.wait((opening, stopping), return_when=asyncio.FIRST_COMPLETED)
    if not opening.done():
        opening.cancel()
        await asyncio.wait((opening,))
    stopping.cancel()
    if opening.cancelled() or opening.exception():
        await gateway.service.close()
    if opening.cancelled():
        return False
    opening.result()  # raises the error of a failed start
    return True
