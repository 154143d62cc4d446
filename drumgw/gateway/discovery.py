"""Polls discovery for the endpoint list, and applies what the membership rule lets through.

Discovery is an agent of this gateway's own or, where the settings say so, a service that many gateways share.

* An agent is watched: a call waits there for an update, and the next one follows at once. An agent that has
  been away may answer none of the calls that were out meanwhile. So while it is silent, backup polls are made
  beside the watch, one after the other. However long the outage was, its updates are known within two poll
  intervals.
* A shared service is called by one call at a time. Each call keeps it busy, whether or not its answer is
  still waited for, so no call is given up before its turn, and after failures the gateway backs off.

A response is applied in the very turn of the event loop in which its bytes are read, and unread bytes are
looked for before each attempt: no request is forwarded by a list that this machine knows to be out of date.
"""

from __future__ import annotations

import asyncio
import json
import random
from functools import partial

from drumgw.gateway.backoff import Backoff
from drumgw.gateway.connection_pool import ConnectionPool
from drumgw.gateway.discovery_log import DiscoveryLog
from drumgw.gateway.discovery_poll import (
    DiscoveryError,
    DiscoveryOverloadedError,
    Poll,
    PollOutcome,
    PollTimes,
)
from drumgw.gateway.dispatcher import Dispatcher
from drumgw.gateway.endpoint_clients import EndpointClients
from drumgw.gateway.endpoint_list_reader import (
    EndpointListReader,
    MalformedEndpointListError,
    endpoint_id_of,
)
from drumgw.gateway.membership import KNOWN_LIST_AFTER_MS, Membership, MembershipChange
from drumgw.gateway.peer_connection import Exchange
from drumgw.gateway.process_config import ConfigError, GatewayConfig
from drumgw.gateway.response_framing import RawResponse
from drumgw.model.events import EndpointStatus

LIST_PATH = "/registry/instances"
STATUS_OK = 200
STATUSES_OVERLOADED = (429, 503)

# The connections
MAX_CONNECTIONS = 2
"""The watch's, and one for backup polls."""
KEEP_ALIVE_MS = 5000.0
CONNECT_TIMEOUT_MS = 1000.0
MAX_LIST_BYTES = 4 * 1024 * 1024
"""A list of thousands of endpoints."""

# An agent of this gateway's own
POLL_INTERVAL_PER_DRAIN_GRACE = 0.25
"""An update is known after two poll intervals at most: half of the drain grace."""
MAX_POLL_INTERVAL_MS = 150.0
SOCKET_ALLOWANCE_MS = 50.0
"""By which each time limit is longer on sockets (protocol)."""
WATCH_TIMEOUT_MS = 2000.0
"""A slow agent may take so long to answer a watch whose wait is over (protocol)."""
WATCH_MIN_INTERVAL_MS = 50.0
"""Between the starts of two watch calls; the protocol lets a watch pause for 200 ms."""
MAX_UNREAD_MS = 50.0
"""No attempt starts while an update may have lain unread for longer than this."""
LOST_AFTER_MS = 1000.0
"""A watch that times out is worth a line in the log after so long a silence."""

# A shared service. All gateways have to know of an update within 6 s. So a call that is not answered is given
# up, and the next one answered, within that time.
SHARED_WATCH_WAIT_MS = 3500.0
"""How long a call may wait there for an update."""
SHARED_WATCH_TIMEOUT_MS = 5000.0
"""For a call that follows an answered one."""
SHARED_FIRST_TIMEOUT_MS = 5500.0
"""For a call that may have to queue behind those of many other gateways."""
SHARED_MIN_INTERVAL_MS = 150.0
"""Between the starts of two calls."""


BACKOFF_BY_OUTCOME = {
    # The queue of a service that rejects is longer than a call waits, and each call lengthens it, whether
    # answered or not: delays grow beyond the time in which it can serve every gateway once (8 s at most).
    PollOutcome.REJECTED: Backoff(initial_ms=4000.0, max_ms=16000.0),
    PollOutcome.FAILED: Backoff(initial_ms=250.0, max_ms=2000.0),
}


class DiscoveryClient:
    """Keeps the endpoint list up to date.

    Args:
        config: says where discovery is, and of which kind.
        dispatcher: receives the list.
        endpoint_clients: receive addresses and departures.

    Raises:
        ConfigError: where the configuration's list of known endpoints cannot be read.
    """

    def __init__(
        self, config: GatewayConfig, dispatcher: Dispatcher, endpoint_clients: EndpointClients
    ) -> None:
        self.clock = dispatcher.clock
        self.membership = Membership()
        self.has_endpoints = asyncio.Event()
        """Set once there is a list: the agent answered, or the known list is used."""
        self.tasks: list[asyncio.Task[None]] = []
        self._config = config
        self._dispatcher = dispatcher
        self._endpoint_clients = endpoint_clients
        self._log = DiscoveryLog(config.log_prefix)
        self._reader = EndpointListReader(config.names)
        try:
            known = self._reader.read(config.known_endpoints)
        except MalformedEndpointListError as error:
            raise ConfigError(f"known cannot be read: {error}") from error
        if config.shared_discovery:
            self.membership.build_on_known_list(known)
        self._pool = ConnectionPool(
            MAX_CONNECTIONS, KEEP_ALIVE_MS, CONNECT_TIMEOUT_MS, dispatcher.clock, MAX_LIST_BYTES
        )
        self._poll_tasks: set[asyncio.Task[None]] = set()  # emptied as they end
        self._poll_epoch = 0  # grows with each answer and move; earlier calls' responses are ignored
        self.poll_interval_ms = _poll_interval_ms(config)
        self._watch_wait_ms = config.watch_timeout_ms or self.poll_interval_ms
        now = self.clock.now()
        self.last_answer_ms = now
        self.next_backup_poll_ms = now
        self._last_read_ms = now
        self._jitter = random.Random(config.seed)
        self.set_address(config.discovery)

    @property
    def is_connected(self) -> bool:
        """Whether discovery answers."""
        return self._log.is_connected

    def set_address(self, address: tuple[str, int]) -> None:
        """Goes on at this address at once. Calls to the old one are given up: it may keep them for ever."""
        host, port = address
        self._address = f"{host}:{port}"
        self._peer = self._pool.peer(self._address)
        self.next_backup_poll_ms = self.clock.now() + self.poll_interval_ms
        self._abandon_polls(answered=None)

    async def start(self, max_wait_s: float | None) -> None:
        """Starts to poll, and returns once there is a list or, without one, after `max_wait_s` seconds.

        The policy engine knows no endpoint then, and rejects all requests at once.

        Args:
            max_wait_s: None to wait for as long as it takes.
        """
        self.last_answer_ms = self.clock.now()
        self.next_backup_poll_ms = self.last_answer_ms + self.poll_interval_ms
        if self._config.shared_discovery:
            polling = [self.watch_shared_service()]
        else:
            polling = [self._watch_agent(), self._poll_while_silent()]
        self.tasks = [asyncio.create_task(work) for work in (*polling, self._use_known_list_later())]
        try:
            async with asyncio.timeout(max_wait_s):
                await self.has_endpoints.wait()
        except TimeoutError:
            assert max_wait_s is not None
            self._log.silent_at_start(max_wait_s, "all requests are rejected until it answers")

    async def close(self) -> None:
        """Stops to poll, and closes the connections."""
        for task in (*self.tasks, *self._poll_tasks):
            task.cancel()
        await self._pool.close()

    async def _use_known_list_later(self) -> None:
        await asyncio.sleep(KNOWN_LIST_AFTER_MS / 1000)
        if not self.has_endpoints.is_set():
            self._log.silent_at_start(KNOWN_LIST_AFTER_MS / 1000, "the known endpoint list is used")
            known = self._reader.read(self._config.known_endpoints)  # it was checked at the start
            self._apply(self.membership.use_known(known), "known endpoint list")
            self.has_endpoints.set()

    # When to poll

    async def _watch_agent(self) -> None:
        min_interval_ms = min(WATCH_MIN_INTERVAL_MS, self.poll_interval_ms)
        while True:
            await self.poll(PollTimes(self._watch_wait_ms, WATCH_TIMEOUT_MS, min_interval_ms))

    async def _poll_while_silent(self) -> None:
        """Makes backup polls, beside the watch, while the agent is silent.

        Guards drains: an agent that comes back may never answer a call that was out, but it does a new one.
        """
        interval_ms = self.poll_interval_ms
        while True:
            wait_ms = self.next_backup_poll_ms - self.clock.now()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / 1000)
            else:
                await self.poll(PollTimes(interval_ms / 2, interval_ms, interval_ms))

    async def watch_shared_service(self) -> None:
        """Watches a service that many gateways share, and backs off when it rejects calls or fails."""
        outcome = await self.poll(PollTimes(0.0, SHARED_FIRST_TIMEOUT_MS, 0.0))
        failures = 0
        while True:
            is_queued = outcome is not PollOutcome.ANSWERED
            timeout_ms = SHARED_FIRST_TIMEOUT_MS if is_queued else SHARED_WATCH_TIMEOUT_MS
            outcome = await self.poll(PollTimes(SHARED_WATCH_WAIT_MS, timeout_ms, SHARED_MIN_INTERVAL_MS))
            backoff = BACKOFF_BY_OUTCOME.get(outcome)
            if backoff is None:
                failures = 0
            else:
                await asyncio.sleep(backoff.delay_ms(failures, self._jitter) / 1000)
                failures += 1

    # One call

    async def poll(self, times: PollTimes) -> PollOutcome:
        """Makes one call. It is abandoned when another call is answered, or discovery moves."""
        next_ms = self.clock.now() + times.min_interval_ms
        task = asyncio.create_task(self._exchange(times.wait_ms, times.timeout_ms))
        self._poll_tasks.add(task)
        try:
            await asyncio.wait((task,))
        finally:
            self._poll_tasks.discard(task)
            task.cancel()
        if task.cancelled():
            return PollOutcome.ABANDONED
        error = task.exception()
        if error is not None:
            self._poll_failed(error)
        await asyncio.sleep(max(0.0, next_ms - self.clock.now()) / 1000)
        if error is None:
            return PollOutcome.ANSWERED
        is_overloaded = isinstance(error, DiscoveryOverloadedError)
        return PollOutcome.REJECTED if is_overloaded else PollOutcome.FAILED

    async def _exchange(self, wait_ms: float, timeout_ms: float) -> None:
        deadline_ms = self.clock.now() + timeout_ms
        async with asyncio.timeout(timeout_ms / 1000):
            handle, connection = await self._pool.connect(self._peer)
        exchange = Exchange()
        exchange.connection = handle
        since = self.membership.since
        poll = Poll(
            task=asyncio.current_task(),
            epoch=self._poll_epoch,
            asks_for_complete_list=since is None,
            sent_at_ms=self.clock.now(),
            finished=self._dispatcher.loop.create_future(),
        )
        connection.on_response = partial(self._response_received, poll)
        connection.on_error = poll.fail
        try:
            connection.send_request(self._request(since, wait_ms))
            await asyncio.wait((poll.finished,), timeout=(deadline_ms - self.clock.now()) / 1000)
            if not poll.finished.done():
                connection.read_pending()  # after a stall of this process the response may lie unread
            if not poll.finished.done():
                raise TimeoutError
            poll.finished.result()
            exchange.connection = None
            handle.release()
        finally:
            connection.on_response = connection.on_error = None
            exchange.close()

    def _request(self, since: int | None, wait_ms: float) -> bytes:
        query = "" if since is None else f"?since={since}&timeout_ms={wait_ms:.0f}"
        return f"GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {self._address}\r\n\r\n".encode()

    def _abandon_polls(self, answered: asyncio.Task[None] | None) -> None:
        """Gives up all calls but the answered one: what they may still bring is older, or from elsewhere."""
        self._poll_epoch += 1
        for task in self._poll_tasks:
            if task is not answered:
                task.cancel()

    def _poll_failed(self, error: BaseException) -> None:
        """Logs it, unless it is but a watch that ended without an update."""
        silent_ms = self.clock.now() - self.last_answer_ms
        if isinstance(error, TimeoutError) and silent_ms < LOST_AFTER_MS:
            return
        self._log.lost(error, self.has_endpoints.is_set())

    # What a call brings

    def read_pending_updates(self) -> None:
        """Reads responses that lie unread. Called before each attempt's first byte is written.

        Guards drains when the event loop is crowded, or has just come out of a stall: without this an attempt
        would be started by an older list than the one that lies in the socket.
        """
        now = self.clock.now()
        if now - self._last_read_ms >= MAX_UNREAD_MS:
            self._last_read_ms = now
            for connection in list(self._pool.connections):
                connection.read_pending()

    def _response_received(self, poll: Poll, response: RawResponse) -> None:
        if poll.finished.done() or poll.epoch != self._poll_epoch:
            return
        now = self.clock.now()
        self._last_read_ms = now
        try:
            change = self._update_membership(now, poll, response)
        except Exception as error:  # no list, whatever is wrong with it: the last one stays in use
            poll.fail(error)
            return
        silent_ms = now - self.last_answer_ms
        self.last_answer_ms = now
        self.next_backup_poll_ms = now + self._watch_wait_ms + self.poll_interval_ms
        self._abandon_polls(answered=poll.task)
        origin = (
            f"endpoint list {self.membership.generation}, polled {now - poll.sent_at_ms:.0f} ms ago, "
            f"discovery silent for {silent_ms:.0f} ms before"
        )
        self._apply(change, origin)
        self._log.answered()
        self.has_endpoints.set()
        if not poll.finished.done():
            poll.finished.set_result(None)

    def _update_membership(self, now: float, poll: Poll, response: RawResponse) -> MembershipChange:
        status = response.message.code
        if status in STATUSES_OVERLOADED:
            raise DiscoveryOverloadedError(f"discovery answers {status}")
        if status != STATUS_OK:
            raise DiscoveryError(f"discovery answers {status}")
        endpoint_list = self._reader.read(json.loads(response.body))
        return self.membership.update(now, endpoint_list, poll.asks_for_complete_list)

    def _apply(self, change: MembershipChange, origin: str) -> None:
        """Passes a change on.

        The policy engine is first. As an endpoint drains, its client gives back what was not written yet, and
        the engine must not forward that to another endpoint that drains by the same list.
        """
        for row in change.ready:
            self._endpoint_clients.set_address(row.info.endpoint_id, row.address, row.info.started_at_ms)
        if change.update.endpoints or change.update.is_complete:
            self._dispatcher.post(self._dispatcher.lifecycle.endpoints_updated, change.update)
        for status in (EndpointStatus.DRAINING, EndpointStatus.REMOVED):
            for name in change.changes_by_status.get(status, ()):
                is_removed = status is EndpointStatus.REMOVED
                self._endpoint_clients.drain(endpoint_id_of(name), gone=is_removed)
        self._log.changed(change, origin, self.membership.is_behind)


def _poll_interval_ms(config: GatewayConfig) -> float:
    """Within how long an agent that comes back after an outage is polled.

    Two intervals pass at most until its updates are known, so the interval is a part of the drain grace. A
    service that is one of many in its process polls no faster than it has to: one event loop bears them all.
    """
    if config.watch_timeout_ms:
        return MAX_POLL_INTERVAL_MS
    drain_grace_ms = config.drain_grace_ms + SOCKET_ALLOWANCE_MS
    return min(MAX_POLL_INTERVAL_MS, POLL_INTERVAL_PER_DRAIN_GRACE * drain_grace_ms)
