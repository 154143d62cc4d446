"""The workers' side: an actor for each worker, with a bounded mailbox of the submissions it carries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

import aiohttp

from drumgw.gateway.connection_pool import BROKEN, Lines, TooLate, Trip
from drumgw.gateway.dispatcher import Desk
from drumgw.gateway.process_config import Charter
from drumgw.gateway.request_lifecycle import Send, Stop
from drumgw.gateway.request_parsing import Passage, read_number
from drumgw.model.events import End
from drumgw.model.settings_reader import LOADS

TURNED_AWAY = (503, 504)
Key = tuple[int, int]


class Outcome:
    __slots__ = ("end", "units", "load", "answer")

    def __init__(
        self, end: End, units: float = 0.0, load: dict[str, float] | None = None, answer: Any = None
    ) -> None:
        self.end, self.units, self.load, self.answer = end, units, load or {}, answer


class Worker:
    """A worker's actor. Its mailbox holds what was sent to it and has not ended."""

    def __init__(self) -> None:
        self.place, self.open = ("", ""), True  # its address, and whose connections stand there
        self.made: aiohttp.ClientRequest | None = None
        self.mailbox: dict[Key, tuple[asyncio.Task[None], Trip]] = {}  # emptied by ends and stops


class Workers:
    def __init__(self, charter: Charter, desk: Desk) -> None:
        self.desk, self.loop, self.most = desk, desk.loop, charter.lines
        self.lines = Lines(charter.lines, charter.idle_ms, charter.connect_ms, desk.pulse)
        self.reports = bool(charter.terms.load_names)
        self.actors: dict[int, Worker] = {}  # workers on the list; emptied by it
        self.where: dict[Key, Worker] = {}  # submissions out; emptied by ends and stops

    async def close(self) -> None:
        await self.lines.close()

    def heed(self, look: Callable[[], None]) -> None:
        """Guards drains where the loop stood or is crowded: the list is read before a first byte goes."""
        self.lines.before = look

    # From the list

    def place(self, number: int, address: str, born: float | None) -> None:
        """Guards a new worker, or a new start, at a gone one's address: its connections are its own."""
        worker, place = self.actors.setdefault(number, Worker()), (address, f"{number}-{born or 0:.0f}")
        if worker.place != place:
            self.leave(worker)
        worker.place, worker.open = place, True

    def leave(self, worker: Worker) -> None:
        card, worker.made = worker.made, None
        if card is not None:
            self.lines.drop(card.connection_key)

    def card(self, worker: Worker) -> aiohttp.ClientRequest:
        """Made at need: of a thousand workers a gateway sends to a few."""
        if worker.made is None:
            worker.made = self.lines.card(*worker.place)
        return worker.made

    def drain(self, number: int, gone: bool) -> None:
        """Guards the drain: what waits for a connection and was not written yet is not sent any more."""
        worker = self.actors.pop(number, None) if gone else self.actors.get(number)
        if worker is None:
            return
        worker.open = False
        self.leave(worker)
        for txn, n in list(worker.mailbox):
            self.give_back(txn, n)

    # From the desk

    def send(self, order: Send, passage: Passage) -> None:
        key, worker = (order.txn, order.submission), self.actors.get(order.worker)
        if worker is None or not worker.open or len(self.where) >= self.most:
            self.tell(order.txn, order.submission, Outcome(End.NOT_SENT))
            return
        trip = Trip(order.write_by_ms, partial(self.recheck, passage))
        worker.mailbox[key] = self.loop.create_task(self.run(order, passage, worker, trip)), trip
        self.where[key] = worker

    def recheck(self, passage: Passage) -> None:
        """Guards against an attempt that begins after its client's close, which may lie unread."""
        if passage.client_left():
            self.desk.left(passage.txn)

    def stop(self, order: Stop) -> None:
        """Closes its connection before anything else of its txn is written."""
        worker = self.where.pop((order.txn, order.submission), None)
        if worker is not None:
            task, trip = worker.mailbox.pop((order.txn, order.submission))
            trip.close()
            task.cancel()

    def give_back(self, txn: int, submission: int) -> None:
        """What waits for a connection, and was not written yet, is not sent any more: no worker's fault."""
        worker = self.where.get((txn, submission))
        if worker is not None and not worker.mailbox[txn, submission][1].written:
            self.stop(Stop(txn, submission))
            self.tell(txn, submission, Outcome(End.NOT_SENT))

    def tell(self, txn: int, submission: int, o: Outcome) -> None:
        self.desk.post(self.desk.core.ended, txn, submission, o.end, o.units, o.load, o.answer)

    async def run(self, order: Send, passage: Passage, worker: Worker, trip: Trip) -> None:
        outcome = await self.carry(order, passage, worker, trip)
        key = order.txn, order.submission
        if self.where.pop(key, None) is not None:
            del worker.mailbox[key]
            self.tell(order.txn, order.submission, outcome)

    async def carry(self, order: Send, passage: Passage, worker: Worker, trip: Trip) -> Outcome:
        left = max(1, round(order.stop_at_ms - self.desk.pulse.now()))
        request = b"%bRequest-Timeout: %dm\r\n\r\n%b" % (passage.head, left, passage.body)
        stood = self.desk.pulse.stood_ms
        try:
            message, body = await self.lines.ask(self.card(worker), request, trip)
        except BROKEN as error:  # before its last byte was written it cannot have run
            self.desk.pulse.now()
            ours = isinstance(error, TimeoutError) and stood < self.desk.pulse.stood_ms
            ours = ours or isinstance(error, TooLate)
            return Outcome(End.BROKEN if trip.written else End.NOT_SENT if ours else End.UNREACHED)
        except Exception as error:
            self.desk.complain(error, "a worker's line")
            return Outcome(End.BROKEN if trip.written else End.UNREACHED)
        headers = message.headers
        load = read_load(headers.get("Server-Load")) if self.reports else None
        if message.code == 200:
            units = read_units(headers.get("Billed-Units"))
            return Outcome(End.SETTLED, units, load, (headers.get("Content-Type"), body))
        turned_away = message.code in TURNED_AWAY and headers.get("Not-Started") == "1"
        return Outcome(End.FULL if turned_away else End.ERROR, load=load)


def read_units(text: str | None) -> float:
    """0, not told, where it can't be read: the answer is good all the same."""
    return max(0.0, read_number(text) or 0.0)


def read_load(text: str | None) -> dict[str, float]:
    """TEXT inflight=7, queue=2: what cannot be read is left out."""
    load: dict[str, float] = {}
    for part in (text or "").removeprefix("TEXT").split(","):
        name, _, value = part.partition("=")
        if (number := read_number(value)) is not None:
            load[LOADS.get(name.strip(), name.strip())] = number
    return load
