"""One service's inner side: the module with its desk, and the adapters to workers, counter and discovery."""

from __future__ import annotations

import asyncio

from drumgw.gateway.clock import Pulse
from drumgw.gateway.counter_client import Counter
from drumgw.gateway.discovery import Discovery
from drumgw.gateway.dispatcher import Desk
from drumgw.gateway.endpoint_clients import Workers
from drumgw.gateway.process_config import Charter
from drumgw.gateway.request_lifecycle import Core
from drumgw.model.events import Listed
from drumgw.policy.engine import Gatekeeper


class Station:
    def __init__(self, charter: Charter, pulse: Pulse) -> None:
        self.charter, self.pulse = charter, pulse
        core = Core(Gatekeeper(charter.seed, charter.terms), charter.terms)
        self.desk = Desk(core, pulse, 4 * charter.lines, charter.said)
        self.workers = Workers(charter, self.desk)
        self.counter = Counter(charter, self.desk) if charter.counter else None
        self.discovery = Discovery(charter, self.desk, self.workers)
        self.desk.workers, self.desk.counter = self.workers, self.counter
        self.workers.heed(self.discovery.look)

    def start(self) -> None:
        """Before anything else of it; it knows no worker yet."""
        self.desk.post(self.desk.core.start, Listed(True, ()))

    def move(self, told: Charter) -> None:
        """Discovery and the counter are asked there; the list, the books and all in hand stay as they are."""
        self.discovery.move(told.discovery)
        if self.counter is not None and told.counter is not None:
            self.counter.move(told.counter)

    async def finish(self) -> None:
        """What was leased and not spent goes back, once nothing is in hand; nobody waits for it but us."""
        if self.counter is None:
            return
        self.desk.post(self.desk.core.ending)
        end = self.pulse.now() + self.counter.wait_ms
        while self.counter.waiting and self.pulse.now() < end:
            await asyncio.sleep(0.005)

    async def shut(self) -> None:
        self.desk.close()
        for part in (self.workers, self.counter, self.discovery):
            if part is not None:
                await part.close()
