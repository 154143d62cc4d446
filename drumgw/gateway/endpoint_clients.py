"""The workers' side: an actor for each worker, with a bounded mailbox of the submissions it carries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

import aiohttp

from drumgw.gateway.commands import AbortAttempt, StartAttempt
from drumgw.gateway.connection_pool import ConnectionPool
from drumgw.gateway.dispatcher import Dispatcher
from drumgw.gateway.peer_connection import Exchange
from drumgw.gateway.peer_errors import CONNECTION_ERRORS, WriteDeadlineError
from drumgw.gateway.process_config import GatewayConfig
from drumgw.gateway.request_parsing import ClientRequest, read_number
from drumgw.model.events import Outcome
from drumgw.model.settings_reader import LOAD_REPORT_FIELDS

TURNED_AWAY = (503, 504)
Key = tuple[int, int]


class AttemptResult:
    __slots__ = ("end", "units", "load", "answer")

    def __init__(
        self, end: Outcome, units: float = 0.0, load: dict[str, float] | None = None, answer: Any = None
    ) -> None:
        self.end, self.units, self.load, self.answer = end, units, load or {}, answer


class EndpointClient:
    """A worker's actor. Its mailbox holds what was sent to it and has not ended."""

    def __init__(self) -> None:
        self.place, self.open = ("", ""), True  # its address, and whose connections stand there
        self.made: aiohttp.ClientRequest | None = None
        self.mailbox: dict[Key, tuple[asyncio.Task[None], Exchange]] = {}  # emptied by ends and stops


class EndpointClients:
    def __init__(self, config: GatewayConfig, dispatcher: Dispatcher) -> None:
        self.dispatcher, self.loop, self.most = dispatcher, dispatcher.loop, config.max_endpoint_connections
        self.pool = ConnectionPool(
            config.max_endpoint_connections,
            config.endpoint_idle_ms,
            config.connect_timeout_ms,
            dispatcher.clock,
        )
        self.reports = bool(config.settings.load_report_fields)
        self.clients: dict[int, EndpointClient] = {}  # workers on the list; emptied by it
        self.where: dict[Key, EndpointClient] = {}  # submissions out; emptied by ends and stops

    async def close(self) -> None:
        await self.pool.close()

    def check_before_sending(self, look: Callable[[], None]) -> None:
        """Guards drains where the loop stood or is crowded: the list is read before a first byte goes."""
        self.pool.before_write = look

    # From the list

    def set_address(self, number: int, address: str, born: float | None) -> None:
        """Guards a new worker, or a new start, at a gone one's address: its connections are its own."""
        worker, place = (
            self.clients.setdefault(number, EndpointClient()),
            (address, f"{number}-{born or 0:.0f}"),
        )
        if worker.place != place:
            self.leave(worker)
        worker.place, worker.open = place, True

    def leave(self, worker: EndpointClient) -> None:
        card, worker.made = worker.made, None
        if card is not None:
            self.pool.close_idle(card.connection_key)

    def card(self, worker: EndpointClient) -> aiohttp.ClientRequest:
        """Made at need: of a thousand workers a gateway sends to a few."""
        if worker.made is None:
            worker.made = self.pool.peer(*worker.place)
        return worker.made

    def drain(self, number: int, gone: bool) -> None:
        """Guards the drain: what waits for a connection and was not written yet is not sent any more."""
        worker = self.clients.pop(number, None) if gone else self.clients.get(number)
        if worker is None:
            return
        worker.open = False
        self.leave(worker)
        for txn, n in list(worker.mailbox):
            self.withdraw_unsent(txn, n)

    # From the desk

    def start_attempt(self, order: StartAttempt, request: ClientRequest) -> None:
        key, worker = (order.request_id, order.attempt), self.clients.get(order.endpoint_id)
        if worker is None or not worker.open or len(self.where) >= self.most:
            self.tell(order.request_id, order.attempt, AttemptResult(Outcome.NOT_SENT))
            return
        trip = Exchange(order.write_by_ms, partial(self.recheck, request))
        worker.mailbox[key] = self.loop.create_task(self.run(order, request, worker, trip)), trip
        self.where[key] = worker

    def recheck(self, request: ClientRequest) -> None:
        """Guards against an attempt that begins after its client's close, which may lie unread."""
        if request.client_left():
            self.dispatcher.client_disconnected(request.request_id)

    def abort_attempt(self, order: AbortAttempt) -> None:
        """Closes its connection before anything else of its txn is written."""
        worker = self.where.pop((order.request_id, order.attempt), None)
        if worker is not None:
            task, trip = worker.mailbox.pop((order.request_id, order.attempt))
            trip.close()
            task.cancel()

    def withdraw_unsent(self, txn: int, submission: int) -> None:
        """What waits for a connection, and was not written yet, is not sent any more: no worker's fault."""
        worker = self.where.get((txn, submission))
        if worker is not None and not worker.mailbox[txn, submission][1].written:
            self.abort_attempt(AbortAttempt(txn, submission))
            self.tell(txn, submission, AttemptResult(Outcome.NOT_SENT))

    def tell(self, txn: int, submission: int, o: AttemptResult) -> None:
        self.dispatcher.post(
            self.dispatcher.lifecycle.attempt_ended, txn, submission, o.end, o.units, o.load, o.answer
        )

    async def run(
        self, order: StartAttempt, request: ClientRequest, worker: EndpointClient, trip: Exchange
    ) -> None:
        outcome = await self.carry(order, request, worker, trip)
        key = order.request_id, order.attempt
        if self.where.pop(key, None) is not None:
            del worker.mailbox[key]
            self.tell(order.request_id, order.attempt, outcome)

    async def carry(
        self, order: StartAttempt, request: ClientRequest, worker: EndpointClient, trip: Exchange
    ) -> AttemptResult:
        left = max(1, round(order.deadline_ms - self.dispatcher.clock.now()))
        message_bytes = b"%bRequest-Timeout: %dm\r\n\r\n%b" % (request.head, left, request.body)
        stood = self.dispatcher.clock.stalled_ms
        try:
            message, body = await self.pool.send(self.card(worker), message_bytes, trip)
        except CONNECTION_ERRORS as error:  # before its last byte was written it cannot have run
            self.dispatcher.clock.now()
            ours = isinstance(error, TimeoutError) and stood < self.dispatcher.clock.stalled_ms
            ours = ours or isinstance(error, WriteDeadlineError)
            return AttemptResult(
                Outcome.BROKEN_RESPONSE if trip.written else Outcome.NOT_SENT if ours else Outcome.UNREACHABLE
            )
        except Exception as error:
            self.dispatcher.log_fault(error, "a worker's line")
            return AttemptResult(Outcome.BROKEN_RESPONSE if trip.written else Outcome.UNREACHABLE)
        headers = message.headers
        load = read_load(headers.get("Server-Load")) if self.reports else None
        if message.code == 200:
            units = read_units(headers.get("Billed-Units"))
            return AttemptResult(Outcome.SUCCEEDED, units, load, (headers.get("Content-Type"), body))
        turned_away = message.code in TURNED_AWAY and headers.get("Not-Started") == "1"
        return AttemptResult(Outcome.REJECTED if turned_away else Outcome.FAILED, load=load)


def read_units(text: str | None) -> float:
    """0, not told, where it can't be read: the answer is good all the same."""
    return max(0.0, read_number(text) or 0.0)


def read_load(text: str | None) -> dict[str, float]:
    """TEXT inflight=7, queue=2: what cannot be read is left out."""
    load: dict[str, float] = {}
    for part in (text or "").removeprefix("TEXT").split(","):
        name, _, value = part.partition("=")
        if (number := read_number(value)) is not None:
            load[LOAD_REPORT_FIELDS.get(name.strip(), name.strip())] = number
    return load
