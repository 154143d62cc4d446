"""The counter's actor: calls of one name in their order, each alone on its connection until answered."""
from __future__ import annotations

import asyncio
from collections import deque

from drumgw import interface as api
from drumgw.gate.charter import COUNTER_LINES, Charter
from drumgw.gate.desk import Desk
from drumgw.gate.line import Lines, Trip
from drumgw.gate.workers import BROKEN
from drumgw.interface import End

IDLE_MS = 5000.0        # the counter closes what stood idle for about 10 s or less (the protocol's figure)
TURNED_AWAY = (400, 404, 503)


class Counter:
    def __init__(self, charter: Charter, desk: Desk) -> None:
        assert charter.counter is not None
        self.desk, self.loop, self.pulse = desk, desk.loop, desk.pulse
        self.wait_ms = charter.terms.counter_wait_ms
        self.lines = Lines(COUNTER_LINES, IDLE_MS, None)
        self.address = "{}:{}".format(*charter.counter)
        self.card = self.lines.card(self.address)
        self.mailbox: dict[int, deque[tuple[api.Add, float]]] = {}  # calls by name; emptied by their answers
        self.waiting, self.most = 0, 4 * charter.lines

    async def close(self) -> None:
        await self.lines.close()

    def call(self, order: api.Add) -> None:
        """The module reads the answers of a name in the order of its calls, so one at a time is out."""
        if self.waiting >= self.most:
            self.desk.post(self.desk.core.total, order.name, End.UNREACHED, 0.0, 0.0)
            return
        self.waiting += 1
        now = self.pulse.now() - self.pulse.stood_ms
        queue = self.mailbox.get(order.name)
        if queue is not None:
            queue.append((order, now))
            return
        self.mailbox[order.name] = deque([(order, now)])
        self.loop.create_task(self.run(order.name, self.mailbox[order.name]))

    async def run(self, name: int, queue: deque[tuple[api.Add, float]]) -> None:
        while queue:
            order, asked_at = queue[0]
            end, total = await self.ask(order, asked_at + self.wait_ms)
            queue.popleft()
            self.waiting -= 1
            if not queue:
                del self.mailbox[name]
            took = self.pulse.now() - self.pulse.stood_ms - asked_at
            self.desk.post(self.desk.core.total, name, end, total, took)

    async def ask(self, order: api.Add, until: float) -> tuple[End, float]:
        """A call that ends without an answer has its connection closed: a late total reaches nobody."""
        target = f"/counters/{order.name}?by={order.amount:.12g}&expire_ms={order.lives_ms:.0f}"
        request = (f"POST {target} HTTP/1.1\r\n"
                   f"Host: {self.address}\r\nContent-Length: 0\r\n\r\n")
        if until <= self.pulse.now() - self.pulse.stood_ms:     # it waited for others of its name
            return End.UNREACHED, 0.0
        trip, timeout = Trip(), asyncio.timeout(None)
        alarm = self.pulse.at(until + self.pulse.stood_ms, lambda: timeout.reschedule(0.0))
        try:
            async with timeout:
                message, body = await self.lines.ask(self.card, request.encode(), trip)
            if message.code == 200:
                return End.SETTLED, float(body)
            return (End.FULL if message.code in TURNED_AWAY else End.TIMEOUT), 0.0
        except (*BROKEN, TimeoutError, ValueError):     # written whole, it may have been added
            return (End.TIMEOUT if trip.written else End.UNREACHED), 0.0
        except Exception as error:
            self.desk.complain(error, "the counter's line")
            return (End.TIMEOUT if trip.written else End.UNREACHED), 0.0
        finally:
            alarm.cancel()
