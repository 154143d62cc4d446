"""Calls to the shared counter: pipelined over a few connections, with outcomes reported in call order.

The policy engine relies on the order of the calls for one counter key. Calls for a key are therefore
pipelined on one connection, without waiting for earlier replies, and their outcomes are reported in the order
of the calls, even if a later call's reply arrives first on another connection.

The counter may have added a call that was written even if no reply arrives; the outcome is then `TIMED_OUT`.
A call that was never written ends as `UNREACHABLE`: it has added nothing.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from functools import partial

from aiohttp.connector import Connection as ConnectionHandle

from drumgw.gateway.clock import Timer
from drumgw.gateway.connection_pool import ConnectionPool
from drumgw.gateway.dispatcher import Dispatcher
from drumgw.gateway.exchange import Exchange
from drumgw.gateway.peer_connection import PeerConnection
from drumgw.gateway.peer_errors import CONNECTION_ERRORS
from drumgw.gateway.process_config import MAX_COUNTER_CONNECTIONS, GatewayConfig
from drumgw.gateway.request_parsing import parse_finite_number
from drumgw.gateway.response_framing import RawResponse
from drumgw.model.actions import AddToCounter
from drumgw.model.events import Outcome

IDLE_TIMEOUT_MS = 5000.0
"""A connection that was idle for longer is not reused: the counter closes it after about 10 s (protocol)."""
CALLS_PER_ENDPOINT_CONNECTION = 4
"""Limit on calls in flight, as a multiple of the maximum number of endpoint connections."""
STATUS_OK = 200
STATUSES_REJECTED = (400, 404, 503)
"""Statuses by which the counter reports that it has added nothing."""


@dataclass(slots=True, eq=False)
class CounterRequest:
    """One call. A reply that arrives after the timeout is ignored; the outcome is reported once."""

    command: AddToCounter
    started_at_ms: float
    """Time of the call, less all stalls of this process up to then."""
    is_written: bool = False
    """Whether the call was written, so that the counter may have added it."""
    outcome: Outcome | None = None
    """None while the call is in flight."""
    total: float = 0.0
    """The counter's total after the call; 0 unless the outcome is `SUCCEEDED`."""
    duration_ms: float = 0.0
    """How long the call took, without stalls of this process."""
    timer: Timer | None = None

    @property
    def outcome_without_reply(self) -> Outcome:
        """The outcome if no reply arrives."""
        return Outcome.TIMED_OUT if self.is_written else Outcome.UNREACHABLE


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The calls for one counter key whose outcome has not been reported yet."""

    calls: deque[CounterRequest] = field(default_factory=deque)
    """In the order in which the calls were made."""
    connection: CounterConnection | None = None
    """The connection of the latest call."""


class CounterConnection:
    """A connection to the counter; replies arrive in the order of the calls written on it.

    Args:
        client: the client that makes the calls and receives their outcomes.
    """

    def __init__(self, client: CounterClient) -> None:
        self.calls: deque[CounterRequest] = deque()  # without a reply; cleared when the connection closes
        self.is_open = True
        """Whether further calls may be made on this connection."""
        self.last_used_ms = client.clock.now()
        self._client = client
        self._exchange = Exchange()
        self._connection: PeerConnection | None = None  # None until it is established
        self._task = client.loop.create_task(self._connect())

    def send(self, call: CounterRequest) -> None:
        """Writes the call, now or as soon as the connection is established."""
        self.calls.append(call)
        if self._connection is not None:
            self._write(self._connection, call)

    def retire(self) -> None:
        """Accepts no further calls, and closes the connection once every call on it has an outcome.

        It does not wait for the replies to calls that timed out, as they may never arrive.
        """
        self.is_open = False
        if all(call.outcome is not None for call in self.calls):
            self.close()

    def close(self) -> None:
        """Closes the connection at once and ends its calls that have no reply."""
        self.is_open = False
        if self._connection is not None:
            self._connection.on_response = self._connection.on_error = None
        self._client.connections.discard(self)
        unanswered, self.calls = self.calls, deque()
        self._exchange.close()
        self._task.cancel()
        for call in unanswered:
            self._client.end(call, call.outcome_without_reply, 0.0)

    async def _connect(self) -> None:
        """Connects, then writes the calls that were made before the connection was open."""
        try:
            self._exchange.connection, connection = await self._client.connect()
            self._connection = connection
            connection.on_response = self._reply_received
            connection.on_error = lambda _: self.close()
            for call in self.calls:
                self._write(connection, call)
        except CONNECTION_ERRORS:
            self.close()
        except Exception as error:
            self._client.log_internal_error(error)
            self.close()

    def _write(self, connection: PeerConnection, call: CounterRequest) -> None:
        connection.send_request(self._client.request(call.command))
        call.is_written = True

    def _reply_received(self, response: RawResponse) -> None:
        """Ends the oldest call.

        After a reply without a valid total it is uncertain which reply belongs to which call. The connection
        is closed and no further total from it is used, as a wrong one would corrupt a quota account.
        """
        call = self.calls.popleft()
        total = parse_finite_number(response.body)
        self.last_used_ms = self._client.clock.now()
        status = response.message.code
        if status in STATUSES_REJECTED:
            self._client.end(call, Outcome.REJECTED, 0.0)
        elif status == STATUS_OK and total is not None:
            self._client.end(call, Outcome.SUCCEEDED, total)
        else:
            self._client.end(call, Outcome.TIMED_OUT, 0.0)
            self.close()
        if response.message.should_close:  # the counter may or may not have added later calls on it
            self.close()
        elif not self.is_open:
            self.retire()


class CounterClient:
    """Calls the shared counter.

    Args:
        config: the counter's address, the timeout of a call and the prefix of counter keys.
        dispatcher: receives the outcome of each call.
    """

    def __init__(self, config: GatewayConfig, dispatcher: Dispatcher) -> None:
        assert config.counter is not None
        self.loop = dispatcher.loop
        self.clock = dispatcher.clock
        self.timeout_ms = config.settings.counter_timeout_ms
        self.connections: set[CounterConnection] = set()  # those not closed yet
        self.queues: dict[int, KeyQueue] = {}  # by counter key; removed with its last call
        self.calls_in_flight = 0
        self._dispatcher = dispatcher
        self._max_calls_in_flight = CALLS_PER_ENDPOINT_CONNECTION * config.max_endpoint_connections
        self._key_prefix = config.counter_key_prefix
        self._pool = ConnectionPool(MAX_COUNTER_CONNECTIONS, IDLE_TIMEOUT_MS, None, dispatcher.clock)
        self.set_address(config.counter)

    def set_address(self, address: tuple[str, int]) -> None:
        """Sends new calls to this address; the old address may still reply to calls in flight."""
        host, port = address
        self._address = f"{host}:{port}"
        self._peer = self._pool.peer(self._address)
        for connection in list(self.connections):
            connection.retire()

    async def close(self) -> None:
        """Closes all connections and ends the calls in flight."""
        for connection in list(self.connections):
            connection.close()
        await self._pool.close()

    def call(self, command: AddToCounter) -> None:
        """Makes a call; its outcome is reported through the dispatcher.

        It ends as `UNREACHABLE` at once if no connection is available or too many calls are in flight.
        """
        now = self.clock.now()
        call = CounterRequest(command, now - self.clock.stalled_ms)
        queue = self.queues.get(command.counter_key) or KeyQueue()
        connection = queue.connection
        if connection is None or not connection.is_open:
            connection = self._choose_connection(now)
        queue.connection = connection
        queue.calls.append(call)
        self.queues[command.counter_key] = queue
        self.calls_in_flight += 1
        if connection is None or self.calls_in_flight > self._max_calls_in_flight:
            self.end(call, Outcome.UNREACHABLE, 0.0)
            return
        call.timer = self.clock.call_at(now + self.timeout_ms, partial(self.time_out, call, connection))
        connection.send(call)

    def time_out(self, call: CounterRequest, connection: CounterConnection) -> None:
        """Ends a call that has no reply in time, and retires its connection."""
        self.end(call, call.outcome_without_reply, 0.0)
        connection.retire()

    def end(self, call: CounterRequest, outcome: Outcome, total: float) -> None:
        """Ends a call, and reports the ended calls of its key up to the first that is in flight.

        Has no effect on a call that has already ended: a total that arrives after the timeout is dropped.
        """
        if call.outcome is not None:
            return
        call.outcome = outcome
        call.total = total
        call.duration_ms = self.clock.now() - self.clock.stalled_ms - call.started_at_ms
        if call.timer is not None:
            call.timer.cancel()
        counter_key = call.command.counter_key
        calls = self.queues[counter_key].calls
        while calls and calls[0].outcome is not None:
            ended = calls.popleft()
            self.calls_in_flight -= 1
            if not calls:
                del self.queues[counter_key]
            self._report(ended)

    def _report(self, call: CounterRequest) -> None:
        assert call.outcome is not None
        self._dispatcher.post(
            self._dispatcher.lifecycle.counter_replied,
            call.command.counter_key,
            call.outcome,
            call.total,
            call.duration_ms,
        )

    def _choose_connection(self, now: float) -> CounterConnection | None:
        """Returns an idle connection, else a new one within the limit, else the one with the fewest calls.

        None if the limit is reached and no connection accepts calls. Connections that were idle for too long
        are closed.
        """
        open_connections = [connection for connection in self.connections if connection.is_open]
        for connection in open_connections:
            if connection.calls:
                continue
            if now - connection.last_used_ms < IDLE_TIMEOUT_MS:
                return connection
            connection.close()
        if len(self.connections) < MAX_COUNTER_CONNECTIONS:
            new_connection = CounterConnection(self)
            self.connections.add(new_connection)
            return new_connection
        if not open_connections:
            return None
        return min(open_connections, key=lambda candidate: len(candidate.calls))

    # Called by the connections

    async def connect(self) -> tuple[ConnectionHandle, PeerConnection]:
        """Opens a connection to the counter.

        Raises:
            CONNECTION_ERRORS: No connection could be established.
        """
        return await self._pool.connect(self._peer)

    def request(self, command: AddToCounter) -> bytes:
        """Returns the HTTP request of a call."""
        key = f"{self._key_prefix}{command.counter_key}"
        target = f"/counters/{key}?by={command.amount:.12g}&expire_ms={command.ttl_ms:.0f}"
        return f"POST {target} HTTP/1.1\r\nHost: {self._address}\r\nContent-Length: 0\r\n\r\n".encode()

    def log_internal_error(self, error: Exception) -> None:
        """Logs an unexpected exception, with its traceback."""
        self._dispatcher.log_internal_error(error, "a connection to the counter")
