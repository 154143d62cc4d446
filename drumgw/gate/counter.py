"""The counter's actor: calls of one name in their order, each alone on its connection until answered."""
from __future__ import annotations

import asyncio
from collections import deque

import aiohttp
from aiohttp import hdrs
from yarl import URL

from drumgw import interface as api
from drumgw.gate.charter import COUNTER_LINES, Charter
from drumgw.gate.desk import Desk
from drumgw.interface import End

PLAIN = frozenset((hdrs.ACCEPT, hdrs.ACCEPT_ENCODING, hdrs.USER_AGENT, hdrs.CONTENT_TYPE))
ADDED_NOTHING = (400, 404, 503)


class Counter:
    def __init__(self, charter: Charter, desk: Desk) -> None:
        assert charter.counter is not None
        self.desk, self.loop = desk, desk.loop
        self.wait_ms = charter.terms.counter_wait_ms
        self.base = "http://{}:{}/counters/".format(*charter.counter)
        self.lanes: dict[int, deque[tuple[api.Add, float]]] = {}    # calls by name; emptied by their answers
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=COUNTER_LINES, keepalive_timeout=5.0, use_dns_cache=False),
            cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False, skip_auto_headers=PLAIN,
            timeout=aiohttp.ClientTimeout(total=None))
        self.session._retry_connection = False      # a resend might add twice

    async def close(self) -> None:
        await self.session.close()

    def call(self, order: api.Add) -> None:
        """The module reads the answers of a name in the order of its calls, so one at a time is out."""
        lane = self.lanes.get(order.name)
        if lane is not None:
            lane.append((order, self.desk.clock.now()))
            return
        self.lanes[order.name] = deque([(order, self.desk.clock.now())])
        self.loop.create_task(self.run(order.name))

    async def run(self, name: int) -> None:
        lane = self.lanes[name]
        while lane:
            order, asked_at = lane[0]
            left_ms = asked_at + self.wait_ms - self.desk.clock.now()
            end, total = End.UNREACHED, 0.0     # never written: nothing was added
            if left_ms > 0:
                end, total = await self.ask(order, left_ms)
            lane.popleft()
            if not lane:
                del self.lanes[name]
            took = self.desk.clock.now() - asked_at
            self.desk.post(self.desk.core.total, name, end, total, took)

    async def ask(self, order: api.Add, left_ms: float) -> tuple[End, float]:
        call = f"{order.name}?by={order.amount:.12g}&expire_ms={order.lives_ms:.0f}"
        url = URL(self.base + call, encoded=True)
        try:
            async with asyncio.timeout(left_ms / 1000):
                async with self.session.post(url, allow_redirects=False) as answer:
                    text = await answer.read()
        except TimeoutError:
            return End.TIMEOUT, 0.0     # its connection is closed, so a late total reaches nobody
        except aiohttp.ClientConnectorError:
            return End.UNREACHED, 0.0
        except (aiohttp.ClientError, OSError):
            return End.TIMEOUT, 0.0     # it may have been added
        if answer.status == 200:
            try:
                return End.SETTLED, float(text)
            except ValueError:
                return End.TIMEOUT, 0.0
        return (End.FULL if answer.status in ADDED_NOTHING else End.TIMEOUT), 0.0
