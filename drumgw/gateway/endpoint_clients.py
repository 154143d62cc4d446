"""Clients for the endpoints: one for each listed endpoint, with the attempts in flight to it.

The result of each attempt is reported once, when it ends; an aborted attempt is not reported. Whether the
endpoint may have processed the request depends on how much of it was written: until the last byte is written,
it cannot have been processed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

import aiohttp

from drumgw.gateway import http_headers
from drumgw.gateway.address_owners import AddressOwners
from drumgw.gateway.commands import AbortAttempt, StartAttempt
from drumgw.gateway.connection_pool import ConnectionPool
from drumgw.gateway.dispatcher import Dispatcher
from drumgw.gateway.exchange import Exchange
from drumgw.gateway.peer_errors import CONNECTION_ERRORS, WriteDeadlineError
from drumgw.gateway.process_config import MAX_BODY_BYTES, GatewayConfig
from drumgw.gateway.request_parsing import ClientRequest, parse_finite_number
from drumgw.gateway.response_framing import RawResponse
from drumgw.gateway.response_memory import ResponseMemory
from drumgw.gateway.shedding import ShedReason, shed
from drumgw.model.events import Outcome
from drumgw.model.settings_reader import LOAD_REPORT_FIELDS

STATUS_OK = 200
REJECTION_STATUSES = (503, 504)
"""With `Not-Started: 1` they mean that the endpoint had no capacity and did not process the request."""
LOAD_REPORT_PREFIX = "TEXT"


class AttemptKey(NamedTuple):
    """Identifies an attempt in flight."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
        outcome: The outcome that is reported to the policy engine.
        billed_units: Actual cost of the request; 0 if the endpoint did not report it.
        load_report: The load figures that the endpoint reported, by name.
        response: Content type and body for the client; None unless the attempt succeeded.
    """

    outcome: Outcome
    billed_units: float = 0.0
    load_report: dict[str, float] = field(default_factory=dict)
    response: tuple[str | None, bytes] | None = None


class EndpointClient:
    """One endpoint's address, and the attempts in flight to it.

    Attributes:
        address: host:port.
        connection_owner: Endpoint id and start time. Connections to the address are reused only while
            this stays the same.
        started_at_ms: When the endpoint's process started; 0 for long ago.
        accepts_attempts: Whether new attempts may be sent to the endpoint.
        peer: Identifies the endpoint in the pool. Created when an attempt needs it, as one gateway sends to
            few of a thousand endpoints.
        in_flight: Task and exchange of each attempt; removed when the attempt ends or is aborted.
    """

    def __init__(self) -> None:
        self.address = ""
        self.connection_owner = ""
        self.started_at_ms = 0.0
        self.accepts_attempts = True
        self.peer: aiohttp.ClientRequest | None = None
        self.in_flight: dict[AttemptKey, tuple[asyncio.Task[None], Exchange]] = {}


class EndpointClients:
    """The clients of all listed endpoints.

    Attributes:
        clients: By endpoint id; `set_address` and `drain` apply changes of the endpoint list to it.
        in_flight: The client of each attempt; removed when the attempt ends or is aborted.
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
        self._owners = AddressOwners[EndpointClient]()
        self._dispatcher = dispatcher
        self._max_in_flight = config.max_endpoint_connections
        self._memory = ResponseMemory(config.memory.attempts_bytes, MAX_BODY_BYTES)
        self._reads_load_reports = bool(config.settings.load_report_fields)

    def limit_memory(self, max_bytes: int) -> None:
        """Limits the memory of the responses to attempts in flight, from now on."""
        self._memory.max_bytes = max_bytes

    async def close(self) -> None:
        """Closes all connections, also those of attempts in flight."""
        await self.pool.close()

    def set_before_write_check(self, check: Callable[[], None]) -> None:
        """Calls `check` before the first byte of each attempt is written.

        The check reads updates of the endpoint list that arrived while the event loop was stalled or lagging,
        so that no attempt is sent to an endpoint that is draining.
        """
        self.pool.before_write = check

    # Called for changes of the endpoint list

    def set_address(
        self, endpoint_id: int, address: str, started_at_ms: float | None
    ) -> tuple[AttemptKey, ...]:
        """Adds or updates an endpoint that accepts attempts.

        If the address or the start time changed, the unused connections are closed: an endpoint that started
        at the address of an earlier one must not receive requests on connections opened to that one.

        Returns:
            The attempts for the earlier process, also of an endpoint that is still listed at the address.
            Those that are not written yet would reach the new one, so the caller passes them to `withdraw`
            once the policy engine knows of the change.
        """
        client = self.clients.setdefault(endpoint_id, EndpointClient())
        connection_owner = f"{endpoint_id}-{started_at_ms or 0:.0f}"
        replaced: tuple[AttemptKey, ...] = ()
        if (client.address, client.connection_owner) != (address, connection_owner):
            self._close_idle(client)
            self._owners.release(client)
            replaced = tuple(client.in_flight)
        client.address = address
        client.connection_owner = connection_owner
        client.started_at_ms = started_at_ms or 0.0
        client.accepts_attempts = True
        superseded = self._owners.take(client)
        if superseded is None:
            return replaced
        self._close_idle(superseded)
        return replaced + tuple(superseded.in_flight)

    def withdraw(self, attempts: Iterable[AttemptKey]) -> None:
        """Ends those of the attempts that are not fully written as `NOT_SENT`."""
        for key in attempts:
            self.withdraw_unsent(key.request_id, key.attempt)

    def drain(self, endpoint_id: int, is_removed: bool) -> None:
        """Stops sending attempts to an endpoint, and removes it if `is_removed`.

        Attempts that are not fully written are withdrawn. One that still waits for a connection could
        otherwise be sent after the grace period of the drain.
        """
        client = self.clients.pop(endpoint_id, None) if is_removed else self.clients.get(endpoint_id)
        if client is None:
            return
        client.accepts_attempts = False
        self._close_idle(client)
        self._owners.release(client)
        self.withdraw(tuple(client.in_flight))

    def _close_idle(self, client: EndpointClient) -> None:
        peer = client.peer
        client.peer = None
        if peer is not None:
            self.pool.close_idle(peer.connection_key)

    # Called by the dispatcher

    def start_attempt(self, command: StartAttempt, request: ClientRequest) -> None:
        """Starts sending a request to an endpoint.

        The attempt ends as `NOT_SENT` at once if the endpoint is draining or removed, if another one has
        taken its address, or if the limit on attempts in flight or on the memory of their responses is
        reached.
        """
        key = AttemptKey(command.request_id, command.attempt)
        client = self.clients.get(command.endpoint_id)
        is_full = len(self.in_flight) >= self._max_in_flight or not self._has_memory()
        if client is None or not client.accepts_attempts or self._owners.is_superseded(client) or is_full:
            self._report(key, AttemptResult(Outcome.NOT_SENT))
            return
        exchange = Exchange(command.write_deadline_ms, partial(self._check_client, key, request))
        task = self._dispatcher.loop.create_task(self._run(key, command, request, client, exchange))
        client.in_flight[key] = task, exchange
        self.in_flight[key] = client

    def _has_memory(self) -> bool:
        has_memory = self._memory.has_room(len(self.in_flight))
        if not has_memory:
            shed[ShedReason.RESPONSE_MEMORY] += 1
        return has_memory

    def abort_attempt(self, command: AbortAttempt) -> None:
        """Closes the attempt's connection at once; the unsent part of its request is discarded."""
        key = AttemptKey(command.request_id, command.attempt)
        client = self.in_flight.pop(key, None)
        if client is not None:
            task, exchange = client.in_flight.pop(key)
            exchange.close()
            task.cancel()

    def is_written(self, request_id: int, attempt: int) -> bool:
        """Whether an attempt is in flight and its request is fully written."""
        key = AttemptKey(request_id, attempt)
        client = self.in_flight.get(key)
        return client is not None and client.in_flight[key][1].written

    def withdraw_unsent(self, request_id: int, attempt: int) -> None:
        """Ends an attempt as `NOT_SENT` if its request is not fully written.

        That outcome does not count against the endpoint. An attempt that is fully written continues.
        """
        key = AttemptKey(request_id, attempt)
        client = self.in_flight.get(key)
        if client is None:
            return
        _, exchange = client.in_flight[key]
        if not exchange.written:
            self.abort_attempt(AbortAttempt(request_id, attempt))
            self._report(key, AttemptResult(Outcome.NOT_SENT))

    def _check_client(self, key: AttemptKey, request: ClientRequest) -> None:
        """Ends the request if its client has closed the connection and the event loop has not noticed yet.

        Called before the first byte of an attempt, so that nothing is sent for a disconnected client. If the
        client may have left, only the attempt ends, and the request still gets its answer.
        """
        if request.has_client_disconnected():
            self._dispatcher.client_disconnected(request.request_id)
        elif request.may_client_have_left():
            shed[ShedReason.UNREAD_REQUESTS] += 1
            self.withdraw_unsent(key.request_id, key.attempt)

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
        clock.now()  # updates stalled_ms if a stall has just ended
        stalled_before_ms = clock.stalled_ms
        if client.peer is None:
            client.peer = self.pool.peer(client.address, client.connection_owner)
        try:
            request_at = partial(forwarded_request, request, command.deadline_ms)
            response = await self.pool.send(client.peer, request_at, exchange)
        except CONNECTION_ERRORS as error:
            clock.now()  # updates stalled_ms if a stall has just ended
            has_stalled = stalled_before_ms < clock.stalled_ms
            return AttemptResult(outcome_of_error(error, exchange.written, has_stalled))
        except Exception as error:
            self._dispatcher.log_internal_error(error, "a connection to an endpoint")
            return AttemptResult(Outcome.BROKEN_RESPONSE if exchange.written else Outcome.UNREACHABLE)
        self._memory.record(len(response.body))
        return read_response(response, self._reads_load_reports)


def forwarded_request(request: ClientRequest, deadline_ms: float, now_ms: float) -> bytes:
    """Returns the bytes of a request that is written to an endpoint now, with the time left.

    Raises:
        WriteDeadlineError: Less than a millisecond is left, so that the response could not reach the client.
    """
    time_left_ms = int(deadline_ms - now_ms)
    if time_left_ms < 1:
        raise WriteDeadlineError
    return b"%bRequest-Timeout: %dm\r\n\r\n%b" % (request.head, time_left_ms, request.body)


def outcome_of_error(error: BaseException, written: bool, has_stalled: bool) -> Outcome:
    """Returns the outcome of an attempt that ended with an error instead of a response.

    A deadline that passed before the request was written must not count against the endpoint, nor a connect
    timeout that expired while this process was stalled: the outcome is then `NOT_SENT`.

    Args:
        error: The exception that ended the attempt.
        written: Whether the request's last byte was written; before that it cannot have been processed.
        has_stalled: Whether this process was stalled during the attempt.
    """
    if written:
        return Outcome.BROKEN_RESPONSE
    if isinstance(error, WriteDeadlineError) or (isinstance(error, TimeoutError) and has_stalled):
        return Outcome.NOT_SENT
    return Outcome.UNREACHABLE


def read_response(response: RawResponse, reads_load_report: bool) -> AttemptResult:
    """Maps an endpoint's response to a result; nothing else interprets its status and headers."""
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
    """Returns the cost, or 0 for "not reported" if the header is malformed; the response stays valid."""
    return max(0.0, parse_finite_number(text) or 0.0)


def read_load_report(text: str | None) -> dict[str, float]:
    """Parses a header such as `TEXT inflight=7, queue=2`; entries that cannot be parsed are left out."""
    load_report: dict[str, float] = {}
    for part in (text or "").removeprefix(LOAD_REPORT_PREFIX).split(","):
        name, _, value = part.partition("=")
        number = parse_finite_number(value)
        if number is not None:
            load_report[LOAD_REPORT_FIELDS.get(name.strip(), name.strip())] = number
    return load_report
