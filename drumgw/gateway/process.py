"""One gatekeeper: its parts put together, started, and taken down on SIGTERM."""

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

SHUTDOWN_LINGER_MS = 700.0  # after SIGTERM clients still come for so long (the protocol's figure)
GC_THRESHOLD = 20000  # objects between two walks of the collector


class GatewayProcess:
    def __init__(self, config: GatewayConfig) -> None:
        self.config = config
        self.clock = StallAwareClock(MonotonicClock(), asyncio.get_running_loop())
        self.service = service = GatewayService(config, self.clock)
        self.dispatcher, self.endpoint_clients, self.counter, self.discovery = (
            service.dispatcher,
            service.endpoint_clients,
            service.counter,
            service.discovery,
        )
        self.http_server = HttpServer(config, self.dispatcher)
        self.stop_requested = asyncio.Event()

    async def open(self) -> tuple[str, int]:
        """Accepts clients once discovery has answered, or was silent for MAX_START_WAIT_MS."""
        self.clock.start_heartbeat()
        self.service.start()
        await self.http_server.bind()
        await self.discovery.start(MAX_START_WAIT_MS / 1000)
        place = await self.http_server.open()
        logger.info(
            "{} serves at {}:{}: {} workers listed, at most {} clients and {} lines to workers",
            self.config.name,
            *place,
            len(self.discovery.membership.rows),
            self.config.max_client_connections,
            self.config.max_endpoint_connections,
        )
        return place

    async def close(self) -> None:
        """Still serves what comes for a while, then finishes what is in hand."""
        self.http_server.withdraw_readiness()
        logger.info(
            "{} was told to end: {} txns in hand", self.config.name, len(self.dispatcher.pending_requests)
        )
        await asyncio.sleep(SHUTDOWN_LINGER_MS / 1000)
        await self.http_server.drain(self.clock.now() + self.config.longest_deadline_ms)
        await self.service.return_reservations()
        await self.http_server.wait_until_closed()
        await self.http_server.server.shutdown(0.1)
        await self.close_service()
        logger.info(
            "{} ends: {} txns taken, {} left open, invariants broken: {}",
            self.config.name,
            self.dispatcher.lifecycle.received_count,
            len(self.dispatcher.pending_requests),
            dict(violations) or "none",
        )

    def reload(self, read: Callable[[], GatewayConfig]) -> None:
        """SIGHUP: discovery and the counter move; the list, the books and all in hand stay as they are."""
        try:
            told = read()
        except ConfigError as bad:
            logger.warning("SIGHUP: {}; the old configuration stands", bad)
            return
        self.service.reconfigure(told)
        logger.info(
            "SIGHUP: discovery at {}:{}, counter at {}",
            *told.discovery,
            "{}:{}".format(*told.counter) if told.counter else "none",
        )

    async def close_service(self) -> None:
        await self.service.close()


async def serve(config: GatewayConfig, again: Callable[[], GatewayConfig], early: Sequence[int] = ()) -> None:
    """Guards SIGHUP at both ends: early ones are heeded once it serves, late ones do not end the process."""
    gateway, loop = GatewayProcess(config), asyncio.get_running_loop()
    handle_signal(loop, signal.SIGTERM, gateway.stop_requested.set)
    handle_signal(loop, signal.SIGHUP, partial(gateway.reload, again))
    opening, term = asyncio.create_task(gateway.open()), asyncio.create_task(gateway.stop_requested.wait())
    await asyncio.wait((opening, term), return_when=asyncio.FIRST_COMPLETED)
    if not opening.done():  # told to end while it waited for discovery: nobody was let in
        opening.cancel()
        await asyncio.wait((opening,))
    term.cancel()
    if opening.cancelled() or opening.exception():
        await gateway.close_service()
    if opening.cancelled():
        logger.info("{} ends before it served", config.name)
        ignore_signals()
        return
    opening.result()
    if early:
        gateway.reload(again)
    gc.collect()
    gc.freeze()  # what lives as long as the process is not walked again
    gc.set_threshold(GC_THRESHOLD)  # a txn leaves few cycles behind; memory has room for more of them
    await gateway.stop_requested.wait()
    await gateway.close()
    ignore_signals()


def handle_signal(
    loop: asyncio.AbstractEventLoop, number: signal.Signals, call: Callable[[], object]
) -> None:
    """Not by the loop's own way, which brings the defaults back at its end: they end the process."""
    signal.signal(number, lambda *_: loop.call_soon_threadsafe(call) and None)
    signal.siginterrupt(number, False)


def ignore_signals() -> None:
    """From one handler to the next there is no moment with none."""
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
