"""The workers' side: aiohttp's client. An actor for each worker, a task for each submission."""
from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from aiohttp import hdrs
from yarl import URL

from drumgw.gate.charter import Charter
from drumgw.gate.core import Send, Stop
from drumgw.gate.desk import Desk
from drumgw.gate.door import Passage
from drumgw.interface import End
from drumgw.terms import LOADS

NOT_STARTED = (503, 504)
PLAIN = frozenset((hdrs.ACCEPT, hdrs.ACCEPT_ENCODING, hdrs.USER_AGENT, hdrs.CONTENT_TYPE))


class Outcome:
    __slots__ = ("end", "units", "load", "answer")

    def __init__(self, end: End, units: float = 0.0, load: dict[str, float] | None = None,
                 answer: Any = None) -> None:
        self.end, self.units, self.load, self.answer = end, units, load or {}, answer


class Workers:
    def __init__(self, charter: Charter, desk: Desk) -> None:
        self.charter, self.desk, self.loop = charter, desk, desk.loop
        self.tasks: dict[tuple[int, int], asyncio.Task[None]] = {}      # submissions out
        self.places: dict[int, URL] = {}        # workers on the list; emptied by it
        self.reports = bool(charter.terms.load_names)
        connector = aiohttp.TCPConnector(
            limit=charter.lines, keepalive_timeout=charter.idle_ms / 1000 or None,
            force_close=not charter.idle_ms, use_dns_cache=False)
        connect = charter.connect_ms / 1000
        self.session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, connect=connect, sock_connect=connect),
            skip_auto_headers=PLAIN)
        self.session._retry_connection = False      # one submission is sent once: a resend is a second copy

    async def close(self) -> None:
        await self.session.close()

    # From the list

    def place(self, worker: int, address: str) -> None:
        self.places[worker] = URL(f"http://{address}")

    def remove(self, worker: int) -> None:
        self.places.pop(worker, None)

    # From the desk

    def send(self, order: Send, passage: Passage) -> None:
        key = order.txn, order.submission
        self.tasks[key] = self.loop.create_task(self.run(order, passage))

    def stop(self, order: Stop) -> None:
        task = self.tasks.pop((order.txn, order.submission), None)
        if task is not None:
            task.cancel()       # closes its connection

    async def run(self, order: Send, passage: Passage) -> None:
        outcome = await self.attempt(order, passage)
        self.tasks.pop((order.txn, order.submission), None)
        self.desk.post(self.desk.core.ended, order.txn, order.submission, outcome.end, outcome.units,
                       outcome.load, outcome.answer)

    async def attempt(self, order: Send, passage: Passage) -> Outcome:
        place = self.places.get(order.worker)
        if place is None:
            return Outcome(End.UNREACHED)
        left_ms = order.stop_at_ms - self.desk.clock.now()
        headers = {"Request-Id": passage.request_id, "Request-Timeout": f"{max(1, round(left_ms))}m"}
        if passage.content_type:
            headers["Content-Type"] = passage.content_type
        url = URL(f"{place}{passage.target}", encoded=True)
        try:
            async with self.session.request(passage.method, url, headers=headers, data=passage.body or None,
                                            allow_redirects=False) as answer:
                body = await answer.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Outcome(End.UNREACHED)
        except (aiohttp.ClientError, OSError):
            return Outcome(End.BROKEN)
        return self.outcome(answer, body)

    def outcome(self, answer: aiohttp.ClientResponse, body: bytes) -> Outcome:
        load = read_load(answer.headers.get("Server-Load")) if self.reports else None
        if answer.status == 200:
            units = read_units(answer.headers.get("Billed-Units"))
            return Outcome(End.SETTLED, units, load, (answer.headers.get("Content-Type"), body))
        if answer.status in NOT_STARTED and answer.headers.get("Not-Started") == "1":
            return Outcome(End.FULL, load=load)
        return Outcome(End.ERROR, load=load)


def read_units(text: str | None) -> float:
    try:
        return float(text or 0.0)
    except ValueError:
        return 0.0


def read_load(text: str | None) -> dict[str, float]:
    """TEXT inflight=7, queue=2: what cannot be read is left out."""
    load: dict[str, float] = {}
    for part in (text or "").removeprefix("TEXT").split(","):
        name, _, value = part.partition("=")
        try:
            load[LOADS.get(name.strip(), name.strip())] = float(value)
        except ValueError:
            continue
    return load


