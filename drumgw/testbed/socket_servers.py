"""Emulated components on sockets: the server side of gateways' connections.

Each component has a separate address for every gateway, so that a server can identify the gateway.
"""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from drumgw.testbed.clocks import TestbedClock
from drumgw.testbed.counter import CounterStatus
from drumgw.testbed.discovery import EndpointRow, ListUpdate
from drumgw.testbed.endpoint import EmulatedEndpoint, ReceivedAttempt, ReceivedState
from drumgw.testbed.environment import Environment
from drumgw.testbed.http_wire import MessageProtocol, OrderedReplies, format_response, parse_headers
from drumgw.testbed.logged_events import EndpointOutcome
from drumgw.testbed.statuses import (
    STATUS_BAD_REQUEST,
    STATUS_FAILED,
    STATUS_REJECTED,
    STATUS_SUCCEEDED,
    STATUS_UNKNOWN_REQUEST,
)

CORRUPT_RESPONSE = b"\x00\x01spoilt\xff\r\n\r\n"
MAX_WATCH_MS = 60_000.0
MAX_COUNTER_AMOUNT = 1e9
MAX_COUNTER_NAME = 64


@dataclass
class ServerContext:
    """Parts of the run that server connections use."""

    environment: Environment
    clock: TestbedClock
    endpoint_address: Callable[[int, str], str]
    """Returns an endpoint's address, given the gateway's number and the endpoint's name."""
    endpoint_connections: set[EndpointConnection] = field(default_factory=set)
    """Endpoint connections that are open."""


class ServerConnection(MessageProtocol):
    """A gateway's connection to an emulated component."""

    def __init__(self, context: ServerContext, gateway: int) -> None:
        super().__init__()
        self._context = context
        self._environment = context.environment
        self._gateway = gateway

    def now(self) -> float:
        """Current Unix time in milliseconds."""
        return self._context.clock.now()


class EndpointConnection(ServerConnection):
    """A gateway's connection to an endpoint, used for one attempt at a time."""

    def __init__(self, context: ServerContext, endpoint: EmulatedEndpoint, gateway: int) -> None:
        super().__init__(context, gateway)
        self.endpoint = endpoint
        self._attempt: ReceivedAttempt | None = None
        self._is_accepted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop; asks the endpoint whether it accepts the connection."""
        super().connection_made(transport)
        self._is_accepted = self.endpoint.accept_connection(self._gateway)
        self._context.endpoint_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop; an attempt in progress counts as abandoned."""
        self._context.endpoint_connections.discard(self)
        if self._is_accepted:
            self.endpoint.connection_closed(self._gateway)
        if self._attempt is not None and self._attempt.state is not ReceivedState.FINISHED:
            self.endpoint.abandon(self._attempt)

    def message_received(self, head: bytes, body: bytes, first_byte_ms: float) -> None:
        """Handles an attempt from a gateway; it is dropped without an answer during a network partition."""
        if self._environment.is_partitioned(self._gateway, self.endpoint.zone):
            return
        attempt_id = parse_headers(head).get("request-id", "")
        client_attempt = self._environment.clients.known_attempts.get(attempt_id)
        self._attempt = ReceivedAttempt(
            self._environment.next_delivery_number(),
            attempt_id,
            client_attempt,
            self._gateway,
            self._attempt_ended,
        )
        if client_attempt is None:
            self.endpoint.log_received(self._attempt, first_byte_ms)
            self.write(format_response(STATUS_BAD_REQUEST if attempt_id else STATUS_UNKNOWN_REQUEST))
        elif not self._is_accepted:
            self.endpoint.log_received(self._attempt, first_byte_ms)
            self.endpoint.end_attempt(self._attempt, EndpointOutcome.REJECTED, has_run=False)
        else:
            self.endpoint.receive(self._attempt, first_byte_ms)

    def _attempt_ended(self, attempt: ReceivedAttempt, outcome: EndpointOutcome) -> None:
        if self._environment.is_partitioned(self._gateway, self.endpoint.zone):
            return
        match outcome:
            case EndpointOutcome.SUCCEEDED:
                self.write(self._success_response(attempt))
            case EndpointOutcome.REJECTED:
                self.write(format_response(STATUS_REJECTED, Not_Started="1"))
            case EndpointOutcome.FAILED:
                self.write(format_response(STATUS_FAILED))
            case EndpointOutcome.CORRUPT_RESPONSE:
                self.write(CORRUPT_RESPONSE)
            case EndpointOutcome.CONNECTION_RESET:
                self.abort()

    def _success_response(self, attempt: ReceivedAttempt) -> bytes:
        """Builds a response whose body names its attempt, so that mixed-up responses are detected."""
        assert attempt.client_attempt is not None
        return format_response(
            STATUS_SUCCEEDED,
            attempt.attempt_id.encode(),
            Billed_Units=str(attempt.client_attempt.request.arrival.true_units),
            Server_Load=f"TEXT mean_ms={self.endpoint.mean_service_ms:.1f}",
        )


class ReceivedCounterCall(NamedTuple):
    """Parsed arguments of one call to the shared counter."""

    name: str
    amount: float
    ttl_ms: float


class CounterConnection(ServerConnection):
    """A gateway's connection to the counter; calls may be pipelined, replies are sent in call order."""

    def __init__(self, context: ServerContext, gateway: int) -> None:
        super().__init__(context, gateway)
        self._replies = OrderedReplies(self.write)

    def message_received(self, head: bytes, body: bytes, first_byte_ms: float) -> None:
        """Handles a counter call; replies with 400 if it is malformed or the scenario has no counter."""
        send_reply = self._replies.reserve()
        counter = self._environment.counter
        call = parse_counter_call(head)
        if call is None or counter is None:
            send_reply(format_response(STATUS_BAD_REQUEST))
            return

        def on_reply(status: CounterStatus, total: float) -> None:
            if status is CounterStatus.ADDED:
                send_reply(format_response(STATUS_SUCCEEDED, f"{total:.7g}".encode()))
            else:
                send_reply(format_response(STATUS_REJECTED))

        counter.call(self._gateway, call.name, call.amount, call.ttl_ms, on_reply)


def parse_counter_call(head: bytes) -> ReceivedCounterCall | None:
    """Parses a counter call from a request's head; None if it is malformed or out of range."""
    method, target, _ = head.split(b"\r\n", 1)[0].decode("latin-1").split(" ", 2)
    url = urlsplit(target)
    query = parse_qs(url.query)
    try:
        amount = float(query["by"][0])
        ttl_ms = float(query["expire_ms"][0])
    except (KeyError, ValueError):
        return None
    name = url.path.removeprefix("/counters/")
    is_counter_path = method == "POST" and url.path != name and 1 <= len(name) <= MAX_COUNTER_NAME
    is_in_range = abs(amount) <= MAX_COUNTER_AMOUNT and math.isfinite(amount) and math.isfinite(ttl_ms)
    return ReceivedCounterCall(name, amount, ttl_ms) if is_counter_path and is_in_range else None


class DiscoveryConnection(ServerConnection):
    """A gateway's connection to its discovery agent, for lists and watches; a silent agent never answers."""

    def message_received(self, head: bytes, body: bytes, first_byte_ms: float) -> None:
        """Answers a request for the list, or a watch for changes since a generation."""
        target = head.split(b" ", 2)[1].decode("latin-1")
        query = parse_qs(urlsplit(target).query)
        generation = int(query["since"][0]) if "since" in query else None
        timeout_ms = float(query["timeout_ms"][0]) if "timeout_ms" in query else 0.0
        discovery = self._environment.discovery
        if discovery.is_silent:
            return
        update = discovery.updates_since(self._gateway, generation)
        if update is not None:
            self._send(update)
            return
        timer = self._context.clock.call_at(
            self.now() + min(timeout_ms, MAX_WATCH_MS), lambda: self._end_watch(generation)
        )

        def changed() -> None:
            timer.cancel()
            self._end_watch(generation)

        discovery.watchers[self._gateway] = changed

    def _end_watch(self, generation: int | None) -> None:
        discovery = self._environment.discovery
        discovery.watchers[self._gateway] = None
        if not discovery.is_silent:
            update = discovery.updates_since(self._gateway, generation)
            self._send(update or discovery.empty_update(self._gateway, generation))

    def _send(self, update: ListUpdate) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        rows = add_addresses(update["instances"], self._gateway, self._context.endpoint_address)
        self.write(format_response(STATUS_SUCCEEDED, json.dumps({**update, "instances": rows}).encode()))


def add_addresses(
    rows: list[EndpointRow], gateway: int, endpoint_address: Callable[[int, str], str]
) -> list[dict[str, object]]:
    """Returns discovery's rows with the endpoints' addresses for a gateway added as `hostPort`."""
    return [{**row, "hostPort": endpoint_address(gateway, row["instanceId"])} for row in rows]
