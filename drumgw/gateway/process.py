"""One gateway process: its parts put together, started, reloaded on SIGHUP, and shut down on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable, Sequence
from functools import partial

from loguru import logger

from drumgw.gateway.clock import MonotonicClock, StallAwareClock
from drumgw.gateway.http_server import HttpServer
from drumgw.gateway.invariants import violations
from drumgw.gateway.membership import MAX_START_WAIT_MS
from drumgw.gateway.process_config import ConfigError, GatewayConfig
from drumgw.gateway.service import GatewayService
from drumgw.gateway.signals import handle_signal, ignore_signals

SHUTDOWN_LINGER_MS = 700.0
"""For how long after SIGTERM new clients may still come (protocol)."""
SERVER_SHUTDOWN_TIMEOUT_S = 0.1
GC_THRESHOLD = 20000
"""Objects between two runs of the garbage collector: requests leave few reference cycles behind."""

ReadConfig = Callable[[], GatewayConfig]


class GatewayProcess:
    """A gateway: a service and its listener.

    Args:
        config: what it was configured with at its start.

    Raises:
        ConfigError: where the list of known endpoints cannot be read.
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

    async def open(self) -> tuple[str, int]:
        """Starts, and accepts clients once discovery has answered, or was silent for MAX_START_WAIT_MS.

        Returns:
            The host and port at which it listens.

        Raises:
            ConfigError: where it cannot listen there.
        """
        self.clock.start_heartbeat()
        self.service.start()
        await self.http_server.bind()
        await self.discovery.start(MAX_START_WAIT_MS / 1000)
        host, port = await self.http_server.open()
        logger.info(
            "{} serves at {}:{}: {} endpoints listed, at most {} clients and {} connections to endpoints",
            self.config.name,
            host,
            port,
            len(self.discovery.membership.rows),
            self.config.max_client_connections,
            self.config.max_endpoint_connections,
        )
        return host, port

    async def close(self) -> None:
        """Serves new clients for a while longer, finishes the requests in flight, then closes all."""
        self.http_server.withdraw_readiness()
        logger.info(
            "{} was told to stop: {} requests in flight",
            self.config.name,
            len(self.dispatcher.pending_requests),
        )
        await asyncio.sleep(SHUTDOWN_LINGER_MS / 1000)
        await self.http_server.drain(self.clock.now() + self.config.longest_deadline_ms)
        await self.service.return_reservations()
        await self.http_server.wait_until_closed()
        await self.http_server.server.shutdown(SERVER_SHUTDOWN_TIMEOUT_S)
        await self.service.close()
        logger.info(
            "{} ends: {} requests received, {} left open, invariants broken: {}",
            self.config.name,
            self.dispatcher.lifecycle.received_count,
            len(self.dispatcher.pending_requests),
            dict(violations) or "none",
        )

    def reload(self, read_config: ReadConfig) -> None:
        """Reads the configuration again, and moves to its discovery and counter.

        A configuration that cannot be used is logged and changes nothing.
        """
        try:
            config = read_config()
        except ConfigError as error:
            logger.warning("SIGHUP: {}; the old configuration stands", error)
            return
        self.service.reconfigure(config)
        discovery_host, discovery_port = config.discovery
        logger.info(
            "SIGHUP: discovery at {}:{}, counter at {}",
            discovery_host,
            discovery_port,
            "{}:{}".format(*config.counter) if config.counter else "none",
        )


async def serve(
    config: GatewayConfig, read_config_again: ReadConfig, early_hangups: Sequence[int] = ()
) -> None:
    """Runs a gateway until SIGTERM.

    Guards SIGHUP at both ends: one that came before the gateway serves is obeyed then, and one that comes
    when it has ended does not end the process as by a crash.

    Args:
        config: the configuration to start with.
        read_config_again: called at SIGHUP.
        early_hangups: not empty if SIGHUP came before this was called, or comes until the handler is set.

    Raises:
        ConfigError: where the gateway cannot be started.
    """
    gateway = GatewayProcess(config)
    loop = asyncio.get_running_loop()
    handle_signal(loop, signal.SIGTERM, gateway.stop_requested.set)
    handle_signal(loop, signal.SIGHUP, partial(gateway.reload, read_config_again))
    if await _open_unless_stopped(gateway):
        if early_hangups:
            gateway.reload(read_config_again)
        _tune_garbage_collector()
        await gateway.stop_requested.wait()
        await gateway.close()
    else:
        logger.info("{} ends before it served", config.name)
    ignore_signals()


async def _open_unless_stopped(gateway: GatewayProcess) -> bool:
    """Opens the gateway. Returns False, with all closed, if it is asked to stop meanwhile."""
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
    opening.result()  # raises what went wrong
    return True


def _tune_garbage_collector() -> None:
    """Spares the collector what lives as long as the process, and runs it less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
