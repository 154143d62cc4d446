"""The counter's actor and its lanes: calls are written one behind another, answers come in their order."""

from __future__ import annotations

from collections import deque
from functools import partial

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

IDLE_MS = 5000.0  # the counter closes what stood idle for about 10 s or less (the protocol's figure)
TURNED_AWAY = (400, 404, 503)


class CounterCall:
    """One call. Its answer counts until its time is over, and is told once."""

    __slots__ = ("order", "asked_at", "written", "end", "total", "took_ms", "timer")

    def __init__(self, order: AddToCounter, asked_at: float) -> None:
        self.order, self.asked_at, self.written = order, asked_at, False
        self.end: Outcome | None = None
        self.total = self.took_ms = 0.0
        self.timer: Timer | None = None


class CounterConnection:
    """A connection to the counter. Its mailbox holds the calls that were not answered on it."""

    def __init__(self, counter: CounterClient) -> None:
        self.counter, self.trip, self.open, self.used_at = counter, Exchange(), True, counter.clock.now()
        self.mailbox: deque[CounterCall] = deque()  # emptied by answers, or at once when the lane closes
        self.wire: PeerConnection | None = None  # once it is up
        self.task = counter.loop.create_task(self.run())

    def put(self, call: CounterCall) -> None:
        self.mailbox.append(call)
        if self.wire is not None:
            self.write(self.wire, call)

    def write(self, wire: PeerConnection, call: CounterCall) -> None:
        order = call.order
        name = f"{self.counter.prefix}{order.counter_key}"
        target = f"/counters/{name}?by={order.amount:.12g}&expire_ms={order.ttl_ms:.0f}"
        wire.send_request(
            (
                f"POST {target} HTTP/1.1\r\nHost: {self.counter.address}\r\n" "Content-Length: 0\r\n\r\n"
            ).encode()
        )
        call.written = True

    async def run(self) -> None:
        """Connects and writes what has gathered; each answer goes to the oldest call."""
        try:
            self.trip.connection, self.wire = await self.counter.pool.connect(self.counter.peer)
            self.wire.on_response, self.wire.on_error = self.answered, lambda _: self.close()
            for call in self.mailbox:
                self.write(self.wire, call)
        except CONNECTION_ERRORS:
            self.close()
        except Exception as error:
            self.counter.dispatcher.log_fault(error, "the counter's lane")
            self.close()

    def answered(self, answer: RawResponse) -> None:
        """Guards the books: after an answer without a number the connection means nothing any more."""
        message, body = answer
        call, total = self.mailbox.popleft(), read_number(body)
        self.used_at = self.counter.clock.now()
        if message.code in TURNED_AWAY:
            self.counter.ended(call, Outcome.REJECTED, 0.0)
        elif message.code == 200 and total is not None:
            self.counter.ended(call, Outcome.SUCCEEDED, total)
        else:
            self.counter.ended(call, Outcome.TIMED_OUT, 0.0)
            self.close()
        if message.should_close:  # what is written behind it would be unsure for nothing
            self.close()
        elif not self.open:
            self.retire()

    def retire(self) -> None:
        """Takes no new calls; closed once nobody waits for it, as it may stay silent for ever."""
        self.open = False
        if all(call.end is not None for call in self.mailbox):
            self.close()

    def close(self) -> None:
        self.open = False
        if self.wire is not None:
            self.wire.on_response = self.wire.on_error = None
        self.counter.connections.discard(self)
        rest, self.mailbox = self.mailbox, deque()
        self.trip.close()
        self.task.cancel()
        for call in rest:  # written, it may have been added, or may yet be
            self.counter.ended(call, Outcome.TIMED_OUT if call.written else Outcome.UNREACHABLE, 0.0)


class CounterClient:
    def __init__(self, config: GatewayConfig, dispatcher: Dispatcher) -> None:
        assert config.counter is not None
        self.dispatcher, self.loop, self.clock = dispatcher, dispatcher.loop, dispatcher.clock
        self.wait_ms, self.most = config.settings.counter_timeout_ms, 4 * config.max_endpoint_connections
        self.pool = ConnectionPool(MAX_COUNTER_CONNECTIONS, IDLE_MS, None, dispatcher.clock)
        self.connections: set[CounterConnection] = set()  # 32 at most; emptied as they close
        self.names: dict[
            int, tuple[deque[CounterCall], CounterConnection | None]
        ] = {}  # calls out; emptied by their ends
        self.waiting, self.prefix = 0, config.counter_key_prefix
        self.set_address(config.counter)

    def set_address(self, address: tuple[str, int]) -> None:
        """New calls go there; those out may still be answered where they were asked."""
        self.address = "{}:{}".format(*address)
        self.peer = self.pool.peer(self.address)
        for lane in list(self.connections):
            lane.retire()

    async def close(self) -> None:
        for lane in list(self.connections):
            lane.close()
        await self.pool.close()

    def call(self, order: AddToCounter) -> None:
        """Calls of a name go behind each other on one lane, so none waits for another's answer."""
        now = self.clock.now()
        call = CounterCall(order, now - self.clock.stalled_ms)
        queue, last = self.names.get(order.counter_key, (deque(), None))
        lane = last if last is not None and last.open else self.choose_connection(now)
        queue.append(call)
        self.waiting, self.names[order.counter_key] = self.waiting + 1, (queue, lane)
        if lane is None or self.waiting > self.most:
            self.ended(call, Outcome.UNREACHABLE, 0.0)
            return
        call.timer = self.clock.call_at(now + self.wait_ms, partial(self.overdue, call, lane))
        lane.put(call)

    def choose_connection(self, now: float) -> CounterConnection | None:
        """An idle one, a new one while there may be more, else the one with the fewest calls."""
        lanes = [lane for lane in self.connections if lane.open]
        for lane in lanes:
            if lane.mailbox:
                continue
            if now - lane.used_at < IDLE_MS:
                return lane
            lane.close()
        if len(self.connections) < MAX_COUNTER_CONNECTIONS:
            lane = CounterConnection(self)
            self.connections.add(lane)
            return lane
        return min(lanes, key=lambda x: len(x.mailbox)) if lanes else None

    def overdue(self, call: CounterCall, lane: CounterConnection) -> None:
        """A late total reaches nobody: its call is over, and new calls go to another lane."""
        self.ended(call, Outcome.TIMED_OUT if call.written else Outcome.UNREACHABLE, 0.0)
        lane.retire()

    def ended(self, call: CounterCall, end: Outcome, total: float) -> None:
        """Told in the order of the name's calls, as the module reads them."""
        if call.end is not None:
            return
        call.end, call.total = end, total
        call.took_ms = self.clock.now() - self.clock.stalled_ms - call.asked_at
        if call.timer is not None:
            call.timer.cancel()
        queue, _ = self.names[call.order.counter_key]
        while queue and (first := queue[0]).end is not None:
            queue.popleft()
            self.waiting -= 1
            if not queue:
                del self.names[call.order.counter_key]
            self.dispatcher.post(
                self.dispatcher.lifecycle.counter_replied,
                first.order.counter_key,
                first.end,
                first.total,
                first.took_ms,
            )
