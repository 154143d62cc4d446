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
from drumgw.gateway.invariants import broken
from drumgw.gateway.membership import READY_MS
from drumgw.gateway.process_config import ConfigError, GatewayConfig
from drumgw.gateway.service import GatewayService

LINGER_MS = 700.0  # after SIGTERM clients still come for so long (the protocol's figure)
GARBAGE = 20000  # objects between two walks of the collector


class GatewayProcess:
    def __init__(self, charter: GatewayConfig) -> None:
        self.charter = charter
        self.pulse = StallAwareClock(MonotonicClock(), asyncio.get_running_loop())
        self.station = station = GatewayService(charter, self.pulse)
        self.desk, self.workers, self.counter, self.discovery = (
            station.desk,
            station.workers,
            station.counter,
            station.discovery,
        )
        self.front = HttpServer(charter, self.desk)
        self.term = asyncio.Event()

    async def open(self) -> tuple[str, int]:
        """Nobody is let in before the agent has spoken, or was silent for READY_MS (gate/membership.py)."""
        self.pulse.beat()
        self.station.start()
        await self.front.bind()
        await self.discovery.begin(READY_MS / 1000)
        place = await self.front.open()
        logger.info(
            "{} serves at {}:{}: {} workers listed, at most {} clients and {} lines to workers",
            self.charter.name,
            *place,
            len(self.discovery.membership.rows),
            self.charter.clients,
            self.charter.lines,
        )
        return place

    async def close(self) -> None:
        """Still serves what comes for a while, then finishes what is in hand."""
        self.front.withdraw()
        logger.info("{} was told to end: {} txns in hand", self.charter.name, len(self.desk.waiting))
        await asyncio.sleep(LINGER_MS / 1000)
        await self.front.finish(self.pulse.now() + self.charter.longest_ms)
        await self.station.finish()
        await self.front.seen_off()
        await self.front.server.shutdown(0.1)
        await self.shut()
        logger.info(
            "{} ends: {} txns taken, {} left open, invariants broken: {}",
            self.charter.name,
            self.desk.core.taken,
            len(self.desk.waiting),
            dict(broken) or "none",
        )

    def reload(self, read: Callable[[], GatewayConfig]) -> None:
        """SIGHUP: discovery and the counter move; the list, the books and all in hand stay as they are."""
        try:
            told = read()
        except ConfigError as bad:
            logger.warning("SIGHUP: {}; the old configuration stands", bad)
            return
        self.station.move(told)
        logger.info(
            "SIGHUP: discovery at {}:{}, counter at {}",
            *told.discovery,
            "{}:{}".format(*told.counter) if told.counter else "none",
        )

    async def shut(self) -> None:
        await self.station.shut()


async def serve(
    charter: GatewayConfig, again: Callable[[], GatewayConfig], early: Sequence[int] = ()
) -> None:
    """Guards SIGHUP at both ends: early ones are heeded once it serves, late ones do not end the process."""
    gateway, loop = GatewayProcess(charter), asyncio.get_running_loop()
    heed(loop, signal.SIGTERM, gateway.term.set)
    heed(loop, signal.SIGHUP, partial(gateway.reload, again))
    opening, term = asyncio.create_task(gateway.open()), asyncio.create_task(gateway.term.wait())
    await asyncio.wait((opening, term), return_when=asyncio.FIRST_COMPLETED)
    if not opening.done():  # told to end while it waited for discovery: nobody was let in
        opening.cancel()
        await asyncio.wait((opening,))
    term.cancel()
    if opening.cancelled() or opening.exception():
        await gateway.shut()
    if opening.cancelled():
        logger.info("{} ends before it served", charter.name)
        deaf()
        return
    opening.result()
    if early:
        gateway.reload(again)
    gc.collect()
    gc.freeze()  # what lives as long as the process is not walked again
    gc.set_threshold(GARBAGE)  # a txn leaves few cycles behind; memory has room for more of them
    await gateway.term.wait()
    await gateway.close()
    deaf()


def heed(loop: asyncio.AbstractEventLoop, number: signal.Signals, call: Callable[[], object]) -> None:
    """Not by the loop's own way, which brings the defaults back at its end: they end the process."""
    signal.signal(number, lambda *_: loop.call_soon_threadsafe(call) and None)
    signal.siginterrupt(number, False)


def deaf() -> None:
    """From one handler to the next there is no moment with none."""
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
