"""Bounds on clients' connections: how many, and for how long one may say nothing.

Bad clients connect by the hundred and say nothing, send half a request, or send one and stay. Usual clients
keep connections between requests. Where one must go, the one that is missed least is closed.
"""

from __future__ import annotations

from itertools import islice
from typing import Protocol

from drumgw.gateway.client_connections import ClientConnection, ConnectionState
from drumgw.gateway.clock import MS_PER_S, STALL_THRESHOLD_MS, StallAwareClock
from drumgw.gateway.process_config import CLIENT_IDLE_TIMEOUT_MS

SWEEP_INTERVAL_S = CLIENT_IDLE_TIMEOUT_MS / 8.0 / MS_PER_S
CLOSING_TIMEOUT_MS = CLIENT_IDLE_TIMEOUT_MS / 8.0
"""A client that has read its last response ends its side within a round trip. One that has not read it yet
has `CLIENT_IDLE_TIMEOUT_MS`."""
CLOSING_POLL_INTERVAL_S = 0.01


class ConnectionBounds(Protocol):
    """The figures that are kept to; a part of the configuration."""

    @property
    def max_client_connections(self) -> int:
        """How many connections clients may hold."""

    @property
    def max_requesting_clients(self) -> int:
        """How many of them may have sent a request."""


class ConnectionLimits:
    """Clients' connections by state, and which of them is closed when.

    Attributes:
        bounds: The figures that are kept to.
        clock: The process's time.
        connections: By state, the one that is in it for longest first; emptied as they close.
    """

    def __init__(self, bounds: ConnectionBounds, clock: StallAwareClock) -> None:
        self.bounds = bounds
        self.clock = clock
        self.connections: dict[ConnectionState, dict[ClientConnection, None]] = {
            state: {} for state in ConnectionState
        }
        self._watches_closing = False

    # Called by the connections

    def opened(self, client: ClientConnection) -> None:
        """Takes a new connection in.

        Guards usual clients against those that connect by the hundred and say nothing: at the limit another
        connection goes.
        """
        if self.count() >= self.bounds.max_client_connections:
            self.choose_to_close(client).abort()
        self.connections[ConnectionState.NEW][client] = None

    def change_state(self, client: ClientConnection, state: ConnectionState) -> bool:
        """Enters a connection under another state; False where it was closed meanwhile."""
        connections = self.connections[client.state]
        if client not in connections:
            return False
        del connections[client]
        self.connections[state][client] = None
        return True

    def forget(self, client: ClientConnection) -> None:
        """Counts a connection no more: it is about to be closed."""
        self.connections[client.state].pop(client, None)

    def closed(self, client: ClientConnection) -> None:
        """Counts a connection no more: it is closed."""
        self.forget(client)

    def watch_closing(self) -> None:
        """Closes CLOSING connections in time, for as long as there are any."""
        if not self._watches_closing:
            self._watches_closing = True
            self.clock.loop.call_later(CLOSING_POLL_INTERVAL_S, self.close_finished)

    # Too many

    def count(self) -> int:
        """How many are open."""
        return sum(map(len, self.connections.values()))

    def requesting_count(self) -> int:
        """How many are open and have sent a request."""
        new = len(self.connections[ConnectionState.NEW])
        return self.count() - new - len(self.connections[ConnectionState.CLOSING])

    def choose_to_close(self, newcomer: ClientConnection) -> ClientConnection:
        """The connection that is missed least, if need be the newcomer.

        In this order: one whose last response has left; a silent one; the longest idle; one that reads a
        request. Guards newcomers where many clients send one request and stay, and idle clients where
        hundreds connect and say nothing: a silent connection goes if it had its turn to be read, or if there
        are more silent than idle ones.
        """
        new = self.connections[ConnectionState.NEW]
        idle = self.connections[ConnectionState.IDLE]
        closing = self.connections[ConnectionState.CLOSING]
        finished = next((client for client in closing if not client.has_unsent()), None)
        if finished is not None:
            return finished
        silent = next(iter(new), None)
        if silent is not None:
            had_its_turn = newcomer.state_since_ms - silent.state_since_ms > STALL_THRESHOLD_MS
            if had_its_turn or len(new) > len(idle):
                return silent
        longest_idle = self.longest_idle()
        if longest_idle is not None:
            return longest_idle
        return next(iter(self.connections[ConnectionState.READING]), newcomer)

    def longest_idle(self) -> ClientConnection | None:
        """The longest idle connection; None if its response may not be written yet."""
        client = next(iter(self.connections[ConnectionState.IDLE]), None)
        return client if client is not None and self.is_resting(client) else None

    def is_resting(self, client: ClientConnection) -> bool:
        """Whether an idle connection had its turn to be read, and nothing is on its way in or out."""
        idle_ms = self.clock.now() - client.state_since_ms
        return idle_ms > STALL_THRESHOLD_MS and not client.has_unsent() and not client.spare_if_unread()

    def close_surplus_idle(self) -> None:
        """Guards usual clients against those that send one request and stay: all share what may be held."""
        if self.requesting_count() <= self.bounds.max_requesting_clients:
            return
        idle = self.longest_idle()
        if idle is not None:
            idle.send_last_response()

    # Too long

    def sweep(self) -> None:
        """Closes what says nothing or never ends, again and again.

        Idle connections are closed only where they are more than half of what may be held. After a stall of
        this process none is: what they sent may lie unread.
        """
        self.clock.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        timed_out_before_ms = self.clock.now() - CLIENT_IDLE_TIMEOUT_MS
        if self.clock.recent_stall_ms:
            return
        surplus = max(0, self.requesting_count() - self.bounds.max_requesting_clients // 2)
        self._close_timed_out(ConnectionState.NEW, None, timed_out_before_ms)
        self._close_timed_out(ConnectionState.READING, None, timed_out_before_ms)
        self._close_timed_out(ConnectionState.IDLE, surplus, timed_out_before_ms)

    def _close_timed_out(self, state: ConnectionState, limit: int | None, before_ms: float) -> None:
        for client in list(islice(self.connections[state], limit)):
            if client.state_since_ms >= before_ms:
                break
            if client.spare_if_unread():
                continue
            if state is ConnectionState.IDLE:
                client.send_last_response()
            else:
                client.abort()

    def close_finished(self) -> None:
        """Closes those whose last response is written: at their client's end, or when it had time for it."""
        self._watches_closing = False
        now_ms = self.clock.now()
        for client in list(self.connections[ConnectionState.CLOSING]):
            timeout_ms = CLIENT_IDLE_TIMEOUT_MS if client.has_unsent() else CLOSING_TIMEOUT_MS
            if now_ms - client.state_since_ms > timeout_ms or client.client_has_ended():
                client.abort()
        if self.connections[ConnectionState.CLOSING]:
            self.watch_closing()
