"""Polls discovery for the endpoint list, and applies the updates that the membership rule allows.

Discovery is an agent that serves this gateway alone or, by a setting, a service that many gateways share.

* An agent is watched by long polling: a call waits at the agent for an update, and the next call follows at
  once. After an outage an agent may never answer the calls that were in progress during it. While the agent
  is silent, the gateway therefore makes backup polls in parallel to the watch, one at a time. Regardless of
  the length of the outage, updates are received within two poll intervals after its end.
* A shared service gets one call at a time. Each call occupies the service even if the gateway no longer waits
  for the answer. Time limits are therefore long enough for a call to reach the head of the service's queue,
  and the gateway backs off after failures.

A response is applied in the same iteration of the event loop in which its bytes are read, and unread bytes
are read before an attempt if nothing has been read for MAX_UNREAD_MS. So no request is forwarded by a list
that is known on this host to be out of date.
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
from drumgw.gateway.endpoint_clients import AttemptKey, EndpointClients
from drumgw.gateway.endpoint_list_reader import (
    EndpointListReader,
    MalformedEndpointListError,
    endpoint_id_of,
)
from drumgw.gateway.exchange import Exchange
from drumgw.gateway.membership import KNOWN_LIST_AFTER_MS, Membership, MembershipChange
from drumgw.gateway.process_config import ConfigError, GatewayConfig
from drumgw.gateway.response_framing import RawResponse
from drumgw.model.events import EndpointStatus

LIST_PATH = "/registry/instances"
STATUS_OK = 200
OVERLOAD_STATUSES = (429, 503)

# Connections to discovery
MAX_CONNECTIONS = 2
"""One for the watch and one for backup polls."""
KEEP_ALIVE_MS = 5000.0
CONNECT_TIMEOUT_MS = 1000.0
MAX_LIST_BYTES = 4 * 1024 * 1024
"""Enough for a list of thousands of endpoints."""

# An agent that serves this gateway alone
POLL_INTERVAL_PER_DRAIN_GRACE = 0.25
"""An update is received within two poll intervals, which are half of the drain grace."""
MAX_POLL_INTERVAL_MS = 150.0
SOCKET_ALLOWANCE_MS = 50.0
"""The protocol extends each time limit by this much for gateways on sockets."""
WATCH_TIMEOUT_MS = 2000.0
"""A slow agent may answer a watch this long after the wait has ended (protocol)."""
WATCH_MIN_INTERVAL_MS = 50.0
"""Between the starts of two watch calls. The protocol allows a watch to pause for 200 ms."""
MAX_UNREAD_MS = 50.0
"""No attempt starts while an update may have been unread for longer than this."""
TIMEOUT_LOG_DELAY_MS = 1000.0
"""Time-outs of a call are logged only once discovery has been silent for this long."""

# A shared service. All gateways must receive an update within 6 s. A call that is not answered must time out,
# and the next one must be answered, within that time.
SHARED_WATCH_WAIT_MS = 3500.0
"""How long a call may wait at the service for an update."""
SHARED_WATCH_TIMEOUT_MS = 5000.0
"""For a call that follows an answered one."""
SHARED_FIRST_TIMEOUT_MS = 5500.0
"""For a call that may be queued behind those of many other gateways."""
SHARED_MIN_INTERVAL_MS = 150.0
"""Between the starts of two calls."""


BACKOFF_BY_OUTCOME = {
    # A service that rejects calls has a longer queue than a call can wait for, and each further call adds to
    # it, whether answered or not. Delays must exceed the time in which it can serve every gateway once, which
    # is up to 8 s.
    PollOutcome.REJECTED: Backoff(initial_ms=4000.0, max_ms=16000.0),
    PollOutcome.FAILED: Backoff(initial_ms=250.0, max_ms=2000.0),
}


class DiscoveryClient:
    """Keeps the gateway's endpoint list up to date.

    Args:
        config: has the address and the kind of discovery.
        dispatcher: passes updates of the list to the policy engine.
        endpoint_clients: receive the endpoints' addresses, drains and removals.

    Raises:
        ConfigError: the configured list of known endpoints is malformed.
    """

    def __init__(
        self, config: GatewayConfig, dispatcher: Dispatcher, endpoint_clients: EndpointClients
    ) -> None:
        self.clock = dispatcher.clock
        self.membership = Membership()
        self.has_endpoints = asyncio.Event()
        """Set once the gateway has a list, from discovery or from the configuration."""
        self.tasks: list[asyncio.Task[None]] = []
        self._config = config
        self._dispatcher = dispatcher
        self._endpoint_clients = endpoint_clients
        self._log = DiscoveryLog(config.log_prefix)
        self._reader = EndpointListReader(config.names)
        try:
            known = self._reader.read(config.known_endpoints)
        except MalformedEndpointListError as error:
            raise ConfigError(f"known: malformed endpoint list: {error}") from error
        if config.shared_discovery:
            self.membership.start_from_known(known)
        self._pool = ConnectionPool(
            MAX_CONNECTIONS, KEEP_ALIVE_MS, CONNECT_TIMEOUT_MS, dispatcher.clock, MAX_LIST_BYTES
        )
        self._poll_tasks: set[asyncio.Task[None]] = set()  # calls in progress
        self._poll_epoch = 0  # incremented by each answer and change of address; see Poll.epoch
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
        """Whether discovery answers, as last logged; True at the start."""
        return self._log.is_connected

    def set_address(self, address: tuple[str, int]) -> None:
        """Switches to a new address at once. Calls to the old one are abandoned: it may never answer them."""
        host, port = address
        self._address = f"{host}:{port}"
        self._peer = self._pool.peer(self._address)
        self.next_backup_poll_ms = self.clock.now() + self.poll_interval_ms
        self._abandon_polls(answered=None)

    async def start(self, max_wait_s: float | None) -> None:
        """Starts polling, and returns once there is a list, or after `max_wait_s` seconds without one.

        Without a list the policy engine has no endpoints, and rejects all requests at once.

        Args:
            max_wait_s: None to wait without a limit.
        """
        self.last_answer_ms = self.clock.now()
        self.next_backup_poll_ms = self.last_answer_ms + self.poll_interval_ms
        if self._config.shared_discovery:
            polling = [self.watch_shared_service()]
        else:
            polling = [self._watch_agent(), self._poll_while_silent()]
        self.tasks = [asyncio.create_task(work) for work in (*polling, self._use_known_list_if_silent())]
        try:
            async with asyncio.timeout(max_wait_s):
                await self.has_endpoints.wait()
        except TimeoutError:
            assert max_wait_s is not None
            self._log.log_silence_at_start(max_wait_s, "all requests are rejected until it answers")

    async def close(self) -> None:
        """Stops polling and closes the connections."""
        for task in (*self.tasks, *self._poll_tasks):
            task.cancel()
        await self._pool.close()

    async def _use_known_list_if_silent(self) -> None:
        """Falls back to the configured list if discovery has not answered within KNOWN_LIST_AFTER_MS.

        Not with an agent, unless that list is empty: what the agent has counts as announced from the start of
        the process, so an endpoint of the list may be draining by now.
        """
        await asyncio.sleep(KNOWN_LIST_AFTER_MS / 1000)
        known = self._reader.read(self._config.known_endpoints)  # valid: the constructor has read it
        may_use_known = self._config.shared_discovery or not known.rows
        if may_use_known and not self.has_endpoints.is_set():
            self._log.log_silence_at_start(KNOWN_LIST_AFTER_MS / 1000, "the known endpoint list is used")
            self._apply(self.membership.use_known(known), "known endpoint list")
            self.has_endpoints.set()

    # Polling loops

    async def _watch_agent(self) -> None:
        min_interval_ms = min(WATCH_MIN_INTERVAL_MS, self.poll_interval_ms)
        while True:
            await self.poll(PollTimes(self._watch_wait_ms, WATCH_TIMEOUT_MS, min_interval_ms))

    async def _poll_while_silent(self) -> None:
        """Makes backup polls, in parallel to the watch, while the agent is silent.

        After an outage an agent may never answer the watch that was in progress, but it answers new calls.
        Without backup polls, drains would become known only after the watch has timed out.
        """
        interval_ms = self.poll_interval_ms
        while True:
            wait_ms = self.next_backup_poll_ms - self.clock.now()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / 1000)
            else:
                await self.poll(PollTimes(interval_ms / 2, interval_ms, interval_ms))

    async def watch_shared_service(self) -> None:
        """Polls a shared discovery service, and backs off while it rejects calls or fails. Never returns."""
        outcome = await self.poll(PollTimes(0.0, SHARED_FIRST_TIMEOUT_MS, 0.0))
        failures = 0
        while True:
            may_be_queued = outcome is not PollOutcome.ANSWERED
            timeout_ms = SHARED_FIRST_TIMEOUT_MS if may_be_queued else SHARED_WATCH_TIMEOUT_MS
            outcome = await self.poll(PollTimes(SHARED_WATCH_WAIT_MS, timeout_ms, SHARED_MIN_INTERVAL_MS))
            backoff = BACKOFF_BY_OUTCOME.get(outcome)
            if backoff is None:
                failures = 0
            else:
                await asyncio.sleep(backoff.delay_ms(failures, self._jitter) / 1000)
                failures += 1

    # A single call

    async def poll(self, times: PollTimes) -> PollOutcome:
        """Makes one call, and returns once `times.min_interval_ms` have passed since its start.

        The call is abandoned when another call is answered or the address of discovery changes; then it
        returns at once.
        """
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
            self._log_failure(error)
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
            requests_complete_list=since is None,
            sent_at_ms=self.clock.now(),
            finished=self._dispatcher.loop.create_future(),
        )
        connection.on_response = partial(self._response_received, poll)
        connection.on_error = poll.fail
        try:
            connection.send_request(self._request(since, wait_ms))
            await asyncio.wait((poll.finished,), timeout=(deadline_ms - self.clock.now()) / 1000)
            if not poll.finished.done():
                connection.read_pending()  # after a stall of this process the response may still be unread
            if not poll.finished.done():
                raise TimeoutError
            poll.finished.result()
            exchange.connection = None
            handle.release()
        finally:
            poll.task = None  # breaks a reference cycle: the task of a failed call keeps its error and frames
            connection.on_response = connection.on_error = None
            exchange.close()

    def _request(self, since: int | None, wait_ms: float) -> bytes:
        query = "" if since is None else f"?since={since}&timeout_ms={wait_ms:.0f}"
        return f"GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {self._address}\r\n\r\n".encode()

    def _abandon_polls(self, answered: asyncio.Task[None] | None) -> None:
        """Cancels all calls but the answered one: their responses would be older, or from the old address."""
        self._poll_epoch += 1
        for task in self._poll_tasks:
            if task is not answered:
                task.cancel()

    def _log_failure(self, error: BaseException) -> None:
        """Logs a failed call, except for a time-out shortly after an answer."""
        silent_ms = self.clock.now() - self.last_answer_ms
        if isinstance(error, TimeoutError) and silent_ms < TIMEOUT_LOG_DELAY_MS:
            return
        self._log.log_failure(error, self.has_endpoints.is_set())

    # Responses

    def read_pending_updates(self) -> None:
        """Reads unread responses from the sockets. Called before the first byte of each attempt is written.

        When the event loop is busy or has just come out of a stall, an update with a drain may still be in
        the socket's buffer, and the attempt would be sent to the draining endpoint.
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
        except Exception as error:  # any error means that the list is invalid: the last one stays in use
            poll.fail(error)
            return
        silent_ms = now - self.last_answer_ms
        self.last_answer_ms = now
        self.next_backup_poll_ms = now + self._watch_wait_ms + self.poll_interval_ms
        self._abandon_polls(answered=poll.task)
        origin = (
            f"endpoint list {self.membership.generation}, requested {now - poll.sent_at_ms:.0f} ms ago, "
            f"after {silent_ms:.0f} ms without an answer"
        )
        self._apply(change, origin)
        self._log.log_answer()
        self.has_endpoints.set()
        if not poll.finished.done():
            poll.finished.set_result(None)

    def _update_membership(self, now: float, poll: Poll, response: RawResponse) -> MembershipChange:
        status = response.message.code
        if status in OVERLOAD_STATUSES:
            raise DiscoveryOverloadedError(f"discovery is overloaded: it answered with status {status}")
        if status != STATUS_OK:
            raise DiscoveryError(f"discovery answered with status {status}")
        endpoint_list = self._reader.read(json.loads(response.body))
        return self.membership.update(now, endpoint_list, poll.requests_complete_list)

    def _apply(self, change: MembershipChange, origin: str) -> None:
        """Passes changes to the policy engine and to the endpoint clients.

        The policy engine must be informed of a drain or a restart before attempts that were not written yet
        are returned to it, as it must not forward their requests to another endpoint that drains by the same
        list.
        """
        replaced: list[AttemptKey] = []
        for row in change.ready:
            replaced += self._endpoint_clients.set_address(
                row.info.endpoint_id, row.address, row.info.started_at_ms
            )
        if change.update.endpoints or change.update.is_complete:
            self._dispatcher.post(self._dispatcher.lifecycle.endpoints_updated, change.update)
        self._endpoint_clients.withdraw(replaced)
        for status in (EndpointStatus.DRAINING, EndpointStatus.REMOVED):
            for name in change.changes_by_status.get(status, ()):
                is_removed = status is EndpointStatus.REMOVED
                self._endpoint_clients.drain(endpoint_id_of(name), is_removed=is_removed)
        self._log.log_change(change, origin, self.membership.is_behind)


def _poll_interval_ms(config: GatewayConfig) -> float:
    """Returns the interval of backup polls, which is the time until an agent is polled after an outage.

    Updates are received within two intervals, so the interval is a fraction of the drain grace. A gateway
    service that shares its process with others has a watch time-out configured, and uses the longest
    interval, as all of them run in one event loop.
    """
    if config.watch_timeout_ms:
        return MAX_POLL_INTERVAL_MS
    drain_grace_ms = config.drain_grace_ms + SOCKET_ALLOWANCE_MS
    return min(MAX_POLL_INTERVAL_MS, POLL_INTERVAL_PER_DRAIN_GRACE * drain_grace_ms)
