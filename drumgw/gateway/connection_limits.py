"""Limits on client connections: how many may be open, and for how long one may be inactive.

Misbehaving clients open hundreds of connections without sending anything, send half a request, or send one
request and stay connected. Well-behaved clients keep connections open between requests. If a connection has
to be closed, the one whose loss does least harm is selected.
"""

from __future__ import annotations

from itertools import islice
from typing import Protocol

from drumgw.gateway.client_connections import ClientConnection, ConnectionState
from drumgw.gateway.clock import MS_PER_S, STALL_THRESHOLD_MS, StallAwareClock
from drumgw.gateway.process_config import CLIENT_IDLE_TIMEOUT_MS
from drumgw.gateway.shedding import ShedReason, shed

SWEEP_INTERVAL_S = CLIENT_IDLE_TIMEOUT_MS / 8.0 / MS_PER_S
CLOSING_TIMEOUT_MS = CLIENT_IDLE_TIMEOUT_MS / 8.0
"""How long a client may take to shut down its side after its last response was sent. A client that has read
the response needs one round trip. While part of it is unsent, `CLIENT_IDLE_TIMEOUT_MS` applies instead."""
CLOSING_POLL_INTERVAL_S = 0.01


class ConnectionBounds(Protocol):
    """The part of the configuration that limits client connections."""

    @property
    def max_client_connections(self) -> int:
        """How many client connections may be open."""

    @property
    def max_requesting_clients(self) -> int:
        """How many of the open connections may have sent a request."""


class ConnectionLimits:
    """Tracks client connections by state and closes those that exceed the limits.

    Attributes:
        bounds: The configured limits.
        clock: The clock that states are timed with; it also detects stalls of this process.
        connections: The open connections by state, those longest in the state first.
    """

    def __init__(self, bounds: ConnectionBounds, clock: StallAwareClock) -> None:
        self.bounds = bounds
        self.clock = clock
        self.connections: dict[ConnectionState, dict[ClientConnection, None]] = {
            state: {} for state in ConnectionState
        }
        self._close_check_scheduled = False

    # Called by the connections

    def opened(self, client: ClientConnection) -> None:
        """Adds a new connection.

        At the limit it closes one connection first, so clients that open hundreds of connections without
        sending anything cannot lock out others. A NEW one is reset, which tells its client that no request
        was read; on any other the system may still have a response to send, which a reset would discard.
        """
        if self.count() >= self.bounds.max_client_connections:
            shed[ShedReason.CONNECTION_LIMIT] += 1
            closing = self.select_for_closing(client)
            if closing.state is ConnectionState.NEW:
                closing.reset()
            else:
                closing.abort()
        self.connections[ConnectionState.NEW][client] = None

    def change_state(self, client: ClientConnection, state: ConnectionState) -> bool:
        """Moves a connection to another state; returns False if it is no longer registered."""
        connections = self.connections[client.state]
        if client not in connections:
            return False
        del connections[client]
        self.connections[state][client] = None
        return True

    def unregister(self, client: ClientConnection) -> None:
        """Removes a connection that is about to be closed, so that it no longer counts."""
        self.connections[client.state].pop(client, None)

    def closed(self, client: ClientConnection) -> None:
        """Removes a connection that was closed, if `unregister` has not done so already."""
        self.unregister(client)

    def schedule_close_check(self) -> None:
        """Schedules `close_finished`, which reschedules itself as long as any connection is CLOSING."""
        if not self._close_check_scheduled:
            self._close_check_scheduled = True
            self.clock.loop.call_later(CLOSING_POLL_INTERVAL_S, self.close_finished)

    # Limits on the number of connections

    def count(self) -> int:
        """How many connections are open, in any state."""
        return sum(map(len, self.connections.values()))

    def requesting_count(self) -> int:
        """How many connections have sent a request and are not CLOSING."""
        connections = self.connections
        return (
            len(connections[ConnectionState.READING])
            + len(connections[ConnectionState.IN_FLIGHT])
            + len(connections[ConnectionState.IDLE])
        )

    def select_for_closing(self, new_client: ClientConnection) -> ClientConnection:
        """Selects the connection to close at the limit; the new connection itself if there is no other.

        In this order: a CLOSING one whose last response has been sent; the oldest NEW one; the longest idle;
        the one that has been READING for longest. One whose request was read completely is never selected, as
        that request has to be answered. A NEW connection is selected only if the event loop has had
        time to read it, or if there are more NEW connections than idle ones. That protects new connections if
        many clients send one request and stay connected, and idle ones if hundreds connect without sending
        anything.
        """
        new = self.connections[ConnectionState.NEW]
        idle = self.connections[ConnectionState.IDLE]
        closing = self.connections[ConnectionState.CLOSING]
        finished = next((client for client in closing if not client.has_unsent_data()), None)
        if finished is not None:
            return finished
        oldest_new = next(filter(_can_close_unanswered, new), None)
        if oldest_new is not None:
            had_time_to_be_read = new_client.state_since_ms - oldest_new.state_since_ms > STALL_THRESHOLD_MS
            if had_time_to_be_read or len(new) > len(idle):
                return oldest_new
        longest_idle = self.longest_idle()
        if longest_idle is not None:
            return longest_idle
        reading = self.connections[ConnectionState.READING]
        return next(filter(_can_close_unanswered, reading), new_client)

    def longest_idle(self) -> ClientConnection | None:
        """The longest idle connection; None if there is none or it cannot be closed safely yet.

        `select_for_closing` and `close_surplus_idle` close the returned connection. Subclasses may select
        another one.
        """
        client = next(iter(self.connections[ConnectionState.IDLE]), None)
        return client if client is not None and self.can_close_idle(client) else None

    def can_close_idle(self, client: ClientConnection) -> bool:
        """Whether an idle connection can be closed: the loop had time to read it and no data is pending."""
        idle_ms = self.clock.now() - client.state_since_ms
        return (
            idle_ms > STALL_THRESHOLD_MS
            and not client.has_unsent_data()
            and not client.defer_close_if_unread()
        )

    def close_surplus_idle(self) -> None:
        """Closes one idle connection if more connections than allowed have sent a request.

        Clients that send one request and stay connected would otherwise use up all connections.
        """
        if self.requesting_count() <= self.bounds.max_requesting_clients:
            return
        idle = self.longest_idle()
        if idle is not None:
            shed[ShedReason.SURPLUS_IDLE] += 1
            idle.send_last_response()

    # Limits on inactivity

    def sweep(self) -> None:
        """Closes connections that exceeded `CLIENT_IDLE_TIMEOUT_MS`, and schedules the next sweep.

        Idle connections are closed only as far as the connections that have sent a request exceed half of
        `max_requesting_clients`. After a stall of this process nothing is closed: bytes that clients sent
        during the stall may still be unread.
        """
        self.clock.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        timed_out_before_ms = self.clock.now() - CLIENT_IDLE_TIMEOUT_MS
        if self.clock.may_have_unread_bytes():
            return
        surplus = max(0, self.requesting_count() - self.bounds.max_requesting_clients // 2)
        self._close_timed_out(ConnectionState.NEW, None, timed_out_before_ms)
        self._close_timed_out(ConnectionState.READING, None, timed_out_before_ms)
        self._close_timed_out(ConnectionState.IDLE, surplus, timed_out_before_ms)

    def _close_timed_out(self, state: ConnectionState, limit: int | None, before_ms: float) -> None:
        for client in list(islice(self.connections[state], limit)):
            if client.state_since_ms >= before_ms:
                break
            if client.defer_close_if_unread():
                continue
            shed[ShedReason.TIMED_OUT] += 1
            if state is ConnectionState.IDLE:
                client.send_last_response()
            elif client.has_further_requests() and not client.has_unsent_data():
                client.reject_partial_request()  # it may be a whole request, which has to be answered
            else:
                client.abort()

    def close_finished(self) -> None:
        """Closes CLOSING connections whose client has shut down its side or has exceeded its timeout."""
        self._close_check_scheduled = False
        now_ms = self.clock.now()
        for client in list(self.connections[ConnectionState.CLOSING]):
            timeout_ms = CLIENT_IDLE_TIMEOUT_MS if client.has_unsent_data() else CLOSING_TIMEOUT_MS
            if now_ms - client.state_since_ms > timeout_ms or client.client_has_ended():
                client.abort()
        if self.connections[ConnectionState.CLOSING]:
            self.schedule_close_check()


def _can_close_unanswered(client: ClientConnection) -> bool:
    """Whether no request on a connection is owed a response: none was read completely."""
    return client.is_receiving_request() and not client.has_unparsed_bytes()
