"""Calls to the shared counter: pipelined over a few connections, with their ends reported in order.

The policy engine relies on the order of the calls for one counter key. So calls for a key are written one
behind the other on one connection, none waiting for an earlier one's reply, and their ends are reported in
the order of the calls, even where a later call's reply comes first on another connection.

A call that was written may have been added, whether or not its reply comes. It ends as timed out then; only
one that was not written ends as unreachable, and has added nothing.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from functools import partial

from aiohttp.connector import Connection as ConnectionHandle

from drumgw.gateway.clock import Timer
from drumgw.gateway.connection_pool import ConnectionPool
from drumgw.gateway.dispatcher import Dispatcher
from drumgw.gateway.peer_connection import Exchange, PeerConnection
from drumgw.gateway.peer_errors import CONNECTION_ERRORS
from drumgw.gateway.process_config import MAX_COUNTER_CONNECTIONS, GatewayConfig
from drumgw.gateway.request_parsing import read_number
from drumgw.gateway.response_framing import RawResponse
from drumgw.model.actions import AddToCounter
from drumgw.model.events import Outcome

IDLE_TIMEOUT_MS = 5000.0
"""A connection idle for longer is not used again: the counter closes it after about 10 s (protocol)."""
CALLS_PER_ENDPOINT_CONNECTION = 4
"""How many calls may be in flight, for each attempt that may be."""
STATUS_OK = 200
STATUSES_REJECTED = (400, 404, 503)
"""The counter has added nothing."""


@dataclass(slots=True, eq=False)
class CounterRequest:
    """One call. Its reply counts until it is timed out; its end is reported once."""

    command: AddToCounter
    started_at_ms: float
    """On a clock that does not advance while this process is stalled."""
    is_written: bool = False
    """Whether it may have been added."""
    outcome: Outcome | None = None
    """None until it has ended."""
    total: float = 0.0
    duration_ms: float = 0.0
    timer: Timer | None = None

    @property
    def outcome_without_reply(self) -> Outcome:
        """How it ends if no reply comes."""
        return Outcome.TIMED_OUT if self.is_written else Outcome.UNREACHABLE


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The calls for one counter key whose end has not been reported yet."""

    calls: deque[CounterRequest] = field(default_factory=deque)
    """In the order in which they were made."""
    connection: CounterConnection | None = None
    """Where the last one was written."""


class CounterConnection:
    """A connection to the counter. Replies come in the order of the calls written on it.

    Args:
        client: whose connection it is.
    """

    def __init__(self, client: CounterClient) -> None:
        self.calls: deque[CounterRequest] = deque()  # not answered on it; emptied at once when it closes
        self.is_open = True
        """Whether it takes further calls."""
        self.last_used_ms = client.clock.now()
        self._client = client
        self._exchange = Exchange()
        self._connection: PeerConnection | None = None  # None until it is up
        self._task = client.loop.create_task(self._connect())

    def send(self, call: CounterRequest) -> None:
        """Writes the call, now or once the connection is up."""
        self.calls.append(call)
        if self._connection is not None:
            self._write(self._connection, call)

    def retire(self) -> None:
        """Takes no further calls. Closes once nobody waits for it, as its replies may never come."""
        self.is_open = False
        if all(call.outcome is not None for call in self.calls):
            self.close()

    def close(self) -> None:
        """Closes at once, and ends the calls that were not answered."""
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
        """Connects, and writes the calls that have gathered meanwhile."""
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
            self._client.log_fault(error)
            self.close()

    def _write(self, connection: PeerConnection, call: CounterRequest) -> None:
        connection.send_request(self._client.request(call.command))
        call.is_written = True

    def _reply_received(self, response: RawResponse) -> None:
        """Ends the oldest call.

        Guards quota accounts: after a reply without a number it is not known any more which reply belongs to
        which call, so the connection is closed and no total of it is believed.
        """
        call = self.calls.popleft()
        total = read_number(response.body)
        self.last_used_ms = self._client.clock.now()
        status = response.message.code
        if status in STATUSES_REJECTED:
            self._client.end(call, Outcome.REJECTED, 0.0)
        elif status == STATUS_OK and total is not None:
            self._client.end(call, Outcome.SUCCEEDED, total)
        else:
            self._client.end(call, Outcome.TIMED_OUT, 0.0)
            self.close()
        if response.message.should_close:  # what is written behind it could be added or not
            self.close()
        elif not self.is_open:
            self.retire()


class CounterClient:
    """Calls the shared counter.

    Args:
        config: says where the counter is, and how long a call may take.
        dispatcher: receives how each call ended.
    """

    def __init__(self, config: GatewayConfig, dispatcher: Dispatcher) -> None:
        assert config.counter is not None
        self.loop = dispatcher.loop
        self.clock = dispatcher.clock
        self.timeout_ms = config.settings.counter_timeout_ms
        self.connections: set[CounterConnection] = set()  # emptied as they close
        self.queues: dict[int, KeyQueue] = {}  # by counter key; dropped with its last call
        self.calls_in_flight = 0
        self._dispatcher = dispatcher
        self._max_calls_in_flight = CALLS_PER_ENDPOINT_CONNECTION * config.max_endpoint_connections
        self._key_prefix = config.counter_key_prefix
        self._pool = ConnectionPool(MAX_COUNTER_CONNECTIONS, IDLE_TIMEOUT_MS, None, dispatcher.clock)
        self.set_address(config.counter)

    def set_address(self, address: tuple[str, int]) -> None:
        """Makes new calls at this address; those in flight may still be answered where they were made."""
        host, port = address
        self._address = f"{host}:{port}"
        self._peer = self._pool.peer(self._address)
        for connection in list(self.connections):
            connection.retire()

    async def close(self) -> None:
        """Closes all connections, and ends the calls in flight."""
        for connection in list(self.connections):
            connection.close()
        await self._pool.close()

    def call(self, command: AddToCounter) -> None:
        """Makes a call. It ends as unreachable at once where too many are in flight."""
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
        """Ends a call that was not answered in time; its connection takes no further calls."""
        self.end(call, call.outcome_without_reply, 0.0)
        connection.retire()

    def end(self, call: CounterRequest, outcome: Outcome, total: float) -> None:
        """Ends a call, and reports its key's ended calls, up to the first that has not ended.

        Does nothing for a call that has ended: a late total reaches nobody.
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
        """An idle connection, else a new one while there may be more, else the one with the fewest calls."""
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
        return min(open_connections, key=lambda each: len(each.calls))

    # For its connections

    async def connect(self) -> tuple[ConnectionHandle, PeerConnection]:
        """Opens a connection to the counter."""
        return await self._pool.connect(self._peer)

    def request(self, command: AddToCounter) -> bytes:
        """The request that makes a call."""
        key = f"{self._key_prefix}{command.counter_key}"
        target = f"/counters/{key}?by={command.amount:.12g}&expire_ms={command.ttl_ms:.0f}"
        return f"POST {target} HTTP/1.1\r\nHost: {self._address}\r\nContent-Length: 0\r\n\r\n".encode()

    def log_fault(self, error: Exception) -> None:
        """Logs an exception that nobody expected."""
        self._dispatcher.log_fault(error, "a connection to the counter")
