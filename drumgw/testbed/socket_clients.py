"""The emulated clients' connections to gateways: attempts as HTTP requests over persistent connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from drumgw.testbed.background_tasks import BackgroundTasks
from drumgw.testbed.client_requests import ClientAttempt
from drumgw.testbed.clients import ClientPopulation
from drumgw.testbed.http_wire import ClientConnection, parse_headers
from drumgw.testbed.scenario import IDEMPOTENT
from drumgw.testbed.socket_network import HOST
from drumgw.testbed.statuses import STATUS_SUCCEEDED

MAX_BODY_CHARACTERS = 32


@dataclass
class _GatewayConnections:
    """The clients' open connections to one gateway."""

    port: int
    idle: list[ClientConnection] = field(default_factory=list)
    busy: dict[str, ClientConnection] = field(default_factory=dict)
    """By id of the attempt in flight."""


class SocketAttemptSender:
    """Sends clients' attempts to gateway processes over the loopback interface."""

    def __init__(
        self,
        clients: ClientPopulation,
        ports: Sequence[int],
        now: Callable[[], float],
        tasks: BackgroundTasks,
    ) -> None:
        self._clients = clients
        self._now = now
        self._tasks = tasks
        self._gateways = [_GatewayConnections(port) for port in ports]

    def send(self, attempt: ClientAttempt) -> None:
        """Sends an attempt over an idle connection, or over a new one if none is open."""
        gateway = self._gateways[attempt.gateway]
        while gateway.idle:
            connection = gateway.idle.pop()
            if connection.is_open:
                self._send_request(gateway, attempt, connection, is_new=False)
                return
        self._tasks.spawn(self._connect(gateway, attempt))

    def cancel(self, attempt: ClientAttempt) -> None:
        """Closes the attempt's connection because the client disconnects or gives up."""
        connection = self._gateways[attempt.gateway].busy.pop(attempt.attempt_id, None)
        if connection is not None:
            connection.abandon()

    async def _connect(self, gateway: _GatewayConnections, attempt: ClientAttempt) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: ClientConnection(self._now), HOST, gateway.port
            )
        except OSError:
            self._clients.connect_failed(attempt)
            return
        if attempt.is_closed:
            connection.abandon()
            return
        self._send_request(gateway, attempt, connection, is_new=True)

    def _send_request(
        self,
        gateway: _GatewayConnections,
        attempt: ClientAttempt,
        connection: ClientConnection,
        is_new: bool,
    ) -> None:
        gateway.busy[attempt.attempt_id] = connection

        def on_response(head: bytes, body: bytes) -> None:
            gateway.busy.pop(attempt.attempt_id, None)
            headers = parse_headers(head)
            if headers.get("connection", "").lower() == "close":
                connection.abandon()
            else:
                gateway.idle.append(connection)
            status = int(head.split(b" ", 2)[1])
            body_attempt_id = (
                body.decode("latin-1")[:MAX_BODY_CHARACTERS] if status == STATUS_SUCCEEDED else ""
            )
            retry_after_ms = float(headers.get("retry-after", 0.0)) * 1000.0
            self._clients.response_received(attempt, status, body_attempt_id, retry_after_ms)

        def on_lost(has_partial_response: bool) -> None:
            gateway.busy.pop(attempt.attempt_id, None)
            if is_new or has_partial_response:
                self._clients.connection_closed(attempt)
            elif not attempt.is_closed:
                # The gateway closed the idle connection while the request was in transit: use a new one.
                self._tasks.spawn(self._connect(gateway, attempt))

        connection.send_request(format_request(attempt), on_response, on_lost)


def format_request(attempt: ClientAttempt) -> bytes:
    """Encodes an attempt as an HTTP request: GET for idempotent classes, POST for others."""
    arrival = attempt.request.arrival
    customer = arrival.customer
    method = "GET" if arrival.request_class.repeat == IDEMPOTENT else "POST"
    lines = [
        f"{method} /{arrival.request_class.name}?account={customer.number:016x} HTTP/1.1",
        "Host: lab",
        f"Request-Id: {attempt.attempt_id}",
        f"Plan: {customer.plan.name}",
        f"Request-Timeout: {attempt.time_left_ms:.0f}m",
        f"Quota-Info: units={arrival.units},spread={len(customer.gateways)},first={customer.gateways[0]}",
    ]
    if method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()
