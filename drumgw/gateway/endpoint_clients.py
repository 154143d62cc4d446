"""The endpoints' side: a client for each listed endpoint, and the attempts that are in flight to it.

Each attempt that was not aborted is reported once, as it ends. Whether it may have run follows from how far
its request got: before its last byte was written, nothing ran.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

import aiohttp

from drumgw.gateway import http_headers
from drumgw.gateway.commands import AbortAttempt, StartAttempt
from drumgw.gateway.connection_pool import ConnectionPool
from drumgw.gateway.dispatcher import Dispatcher
from drumgw.gateway.peer_connection import Exchange
from drumgw.gateway.peer_errors import CONNECTION_ERRORS, WriteDeadlineError
from drumgw.gateway.process_config import GatewayConfig
from drumgw.gateway.request_parsing import ClientRequest, read_number
from drumgw.gateway.response_framing import RawResponse
from drumgw.model.events import Outcome
from drumgw.model.settings_reader import LOAD_REPORT_FIELDS

STATUS_OK = 200
REJECTION_STATUSES = (503, 504)
"""With `Not-Started: 1` these say that the endpoint had no capacity, and that nothing ran."""
LOAD_REPORT_PREFIX = "TEXT"


class AttemptKey(NamedTuple):
    """Names an attempt in flight."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
        outcome: What the policy engine is told.
        billed_units: True cost; 0 where the endpoint did not tell.
        load_report: What the endpoint reports of its load.
        response: Content type and body for the client, of an attempt that succeeded.
    """

    outcome: Outcome
    billed_units: float = 0.0
    load_report: dict[str, float] = field(default_factory=dict)
    response: tuple[str | None, bytes] | None = None


class EndpointClient:
    """What is known of one endpoint, and what is in flight to it.

    Attributes:
        address: host:port.
        connection_owner: The endpoint and its start: whose connections those at its address are.
        accepts_attempts: Whether it may be sent anything new.
        peer: What the pool knows it by; made at need, as one gateway sends to few of a thousand endpoints.
        in_flight: Its attempts; an entry goes as its attempt ends or is aborted.
    """

    def __init__(self) -> None:
        self.address = ""
        self.connection_owner = ""
        self.accepts_attempts = True
        self.peer: aiohttp.ClientRequest | None = None
        self.in_flight: dict[AttemptKey, tuple[asyncio.Task[None], Exchange]] = {}


class EndpointClients:
    """The clients of all listed endpoints.

    Attributes:
        clients: By the endpoint's number; the endpoint list fills and empties it.
        in_flight: The client that carries each attempt; an entry goes as its attempt ends or is aborted.
        pool: The connections to all endpoints.
    """

    def __init__(self, config: GatewayConfig, dispatcher: Dispatcher) -> None:
        self.pool = ConnectionPool(
            config.max_endpoint_connections,
            config.endpoint_idle_ms,
            config.connect_timeout_ms,
            dispatcher.clock,
        )
        self.clients: dict[int, EndpointClient] = {}
        self.in_flight: dict[AttemptKey, EndpointClient] = {}
        self._dispatcher = dispatcher
        self._max_in_flight = config.max_endpoint_connections
        self._reads_load_reports = bool(config.settings.load_report_fields)

    async def close(self) -> None:
        """Closes all connections."""
        await self.pool.close()

    def check_before_sending(self, check: Callable[[], None]) -> None:
        """Calls `check` before each attempt's first byte.

        Guards drains where the event loop was stalled or is behind: the endpoint list is read first.
        """
        self.pool.before_write = check

    # From the endpoint list

    def set_address(self, endpoint_id: int, address: str, started_at_ms: float | None) -> None:
        """Lists an endpoint that may be sent requests.

        Guards a new endpoint, or a new start, at the address of one that has gone: it gets connections of its
        own, and none that the other left behind.
        """
        client = self.clients.setdefault(endpoint_id, EndpointClient())
        connection_owner = f"{endpoint_id}-{started_at_ms or 0:.0f}"
        if (client.address, client.connection_owner) != (address, connection_owner):
            self._close_idle(client)
        client.address = address
        client.connection_owner = connection_owner
        client.accepts_attempts = True

    def drain(self, endpoint_id: int, gone: bool) -> None:
        """Sends an endpoint nothing new.

        Guards the drain: an attempt that waits for a connection, and was not written yet, would be sent after
        the drain's grace.
        """
        client = self.clients.pop(endpoint_id, None) if gone else self.clients.get(endpoint_id)
        if client is None:
            return
        client.accepts_attempts = False
        self._close_idle(client)
        for key in list(client.in_flight):
            self.withdraw_unsent(key.request_id, key.attempt)

    def _close_idle(self, client: EndpointClient) -> None:
        peer = client.peer
        client.peer = None
        if peer is not None:
            self.pool.close_idle(peer.connection_key)

    # From the dispatcher

    def start_attempt(self, command: StartAttempt, request: ClientRequest) -> None:
        """Sends a request to an endpoint; not sent where that drains or too much is in flight."""
        key = AttemptKey(command.request_id, command.attempt)
        client = self.clients.get(command.endpoint_id)
        is_full = len(self.in_flight) >= self._max_in_flight
        if client is None or not client.accepts_attempts or is_full:
            self._report(key, AttemptResult(Outcome.NOT_SENT))
            return
        exchange = Exchange(command.write_by_ms, partial(self._check_client, request))
        task = self._dispatcher.loop.create_task(self._run(key, command, request, client, exchange))
        client.in_flight[key] = task, exchange
        self.in_flight[key] = client

    def abort_attempt(self, command: AbortAttempt) -> None:
        """Closes the attempt's connection, before anything else of its request is written."""
        key = AttemptKey(command.request_id, command.attempt)
        client = self.in_flight.pop(key, None)
        if client is not None:
            task, exchange = client.in_flight.pop(key)
            exchange.close()
            task.cancel()

    def withdraw_unsent(self, request_id: int, attempt: int) -> None:
        """Ends an attempt as not sent if its last byte was not written: that is no fault of the endpoint."""
        key = AttemptKey(request_id, attempt)
        client = self.in_flight.get(key)
        if client is None:
            return
        _, exchange = client.in_flight[key]
        if not exchange.written:
            self.abort_attempt(AbortAttempt(request_id, attempt))
            self._report(key, AttemptResult(Outcome.NOT_SENT))

    def _check_client(self, request: ClientRequest) -> None:
        """Guards endpoints against an attempt for a client whose close lies unread."""
        if request.client_left():
            self._dispatcher.client_disconnected(request.request_id)

    def _report(self, key: AttemptKey, result: AttemptResult) -> None:
        self._dispatcher.post(
            self._dispatcher.lifecycle.attempt_ended,
            key.request_id,
            key.attempt,
            result.outcome,
            result.billed_units,
            result.load_report,
            result.response,
        )

    async def _run(
        self,
        key: AttemptKey,
        command: StartAttempt,
        request: ClientRequest,
        client: EndpointClient,
        exchange: Exchange,
    ) -> None:
        result = await self._attempt(command, request, client, exchange)
        if self.in_flight.pop(key, None) is not None:
            del client.in_flight[key]
            self._report(key, result)

    async def _attempt(
        self, command: StartAttempt, request: ClientRequest, client: EndpointClient, exchange: Exchange
    ) -> AttemptResult:
        clock = self._dispatcher.clock
        time_left_ms = max(1, round(command.deadline_ms - clock.now()))
        message = b"%bRequest-Timeout: %dm\r\n\r\n%b" % (request.head, time_left_ms, request.body)
        stalled_before_ms = clock.stalled_ms
        if client.peer is None:
            client.peer = self.pool.peer(client.address, client.connection_owner)
        try:
            response = await self.pool.send(client.peer, message, exchange)
        except CONNECTION_ERRORS as error:
            clock.now()  # finds a stall that has just ended
            has_stalled = stalled_before_ms < clock.stalled_ms
            return AttemptResult(outcome_of_error(error, exchange.written, has_stalled))
        except Exception as error:
            self._dispatcher.log_fault(error, "a connection to an endpoint")
            return AttemptResult(Outcome.BROKEN_RESPONSE if exchange.written else Outcome.UNREACHABLE)
        return read_response(response, self._reads_load_reports)


def outcome_of_error(error: BaseException, written: bool, has_stalled: bool) -> Outcome:
    """How an attempt ended that brought no response.

    Guards endpoints against being judged by this process: a connect timeout that ran out while it stalled,
    and a write deadline, are no fault of theirs.

    Args:
        error: What was raised.
        written: Whether the request's last byte was written; before that it cannot have run.
        has_stalled: Whether this process was stalled meanwhile.
    """
    if written:
        return Outcome.BROKEN_RESPONSE
    if isinstance(error, WriteDeadlineError) or (isinstance(error, TimeoutError) and has_stalled):
        return Outcome.NOT_SENT
    return Outcome.UNREACHABLE


def read_response(response: RawResponse, reads_load_report: bool) -> AttemptResult:
    """Maps an endpoint's status and headers: the one place where their names stand for outcomes."""
    headers = response.message.headers
    load_report = read_load_report(headers.get(http_headers.SERVER_LOAD)) if reads_load_report else {}
    status = response.message.code
    if status == STATUS_OK:
        billed_units = read_billed_units(headers.get(http_headers.BILLED_UNITS))
        content = (headers.get(http_headers.CONTENT_TYPE), response.body)
        return AttemptResult(Outcome.SUCCEEDED, billed_units, load_report, content)
    if status in REJECTION_STATUSES and headers.get(http_headers.NOT_STARTED) == "1":
        return AttemptResult(Outcome.REJECTED, load_report=load_report)
    return AttemptResult(Outcome.FAILED, load_report=load_report)


def read_billed_units(text: str | None) -> float:
    """0, for not told, where it cannot be read: the response is good all the same."""
    return max(0.0, read_number(text) or 0.0)


def read_load_report(text: str | None) -> dict[str, float]:
    """Reads `TEXT inflight=7, queue=2`; what cannot be read is left out."""
    load_report: dict[str, float] = {}
    for part in (text or "").removeprefix(LOAD_REPORT_PREFIX).split(","):
        name, _, value = part.partition("=")
        number = read_number(value)
        if number is not None:
            load_report[LOAD_REPORT_FIELDS.get(name.strip(), name.strip())] = number
    return load_report
