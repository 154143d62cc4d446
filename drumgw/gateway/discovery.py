"""The actor that asks discovery for the worker list, and acts on what the membership rule makes of it."""

from __future__ import annotations

import asyncio
import json
import random
from enum import Enum
from functools import partial

from loguru import logger

from drumgw.gateway.connection_pool import ConnectionPool
from drumgw.gateway.dispatcher import Dispatcher
from drumgw.gateway.endpoint_clients import EndpointClients
from drumgw.gateway.membership import (
    SILENT_START_MS,
    UNREADABLE,
    Membership,
    MembershipChange,
    endpoint_id_of,
)
from drumgw.gateway.peer_connection import Exchange
from drumgw.gateway.process_config import ConfigError, GatewayConfig
from drumgw.gateway.response_framing import RawResponse
from drumgw.model.events import EndpointStatus

GRACE_PART, MAX_POLL_INTERVAL_MS = 0.25, 150.0  # of a drain's grace; the most, as lists help service
SLOW_MS = 2000.0  # a slow agent is waited for as long (the protocol's, once a wait is over)
LOST_MS = 1000.0  # of silence, then it is a line in the log
SLACK_MS = 50.0  # by which each limit grows on sockets (the protocol's figure)
AGAIN_MS = 50.0  # between two calls of a watch; under the protocol's gap of 200 ms
LOOK_MS = 50.0  # nothing is sent on a word of the agent's that has lain unread for longer
# Of a shared service: how long a call may wait for news, so that one that fell silent is known to be, and
# another answered, within the 6 s after which a change counts as told
NEWS_MS, ANSWER_MS, SILENT_MS = 3500.0, 5500.0, 5000.0
GO_ON_MS = 150.0  # between two of its calls; under the 200 ms in which a watch goes on
RETRY_MS, RETRY_MOST_MS = 250.0, 2000.0  # after a call that failed; doubled with each further one
# After one that was turned away. Its line is then longer than any call waits for, and each call lengthens it,
# answered or not: the pause grows beyond the time in which it can take a call of every gateway (8 s at most)
BACK_OFF_MS, BACK_OFF_MOST_MS = 4000.0, 16000.0
MOST_DOUBLINGS = 3  # of a pause
TOO_MANY = (429, 503)
LINES, IDLE_MS, CONNECT_MS = 2, 5000.0, 1000.0  # a watch and a scout
PATH = "/registry/instances"
MOST_LIST = 4 * 1024 * 1024  # bytes; thousands of workers


class CallOutcome(Enum):
    """How a call to discovery ended."""

    ANSWERED = "answered"
    TURNED_AWAY = "turned away: the service has too many calls"
    FAILED = "failed"
    DROPPED = "given up: discovery moved, or another call was answered"


class DiscoveryOverloadedError(ValueError):
    """Discovery has too many calls."""


PAUSES = {
    CallOutcome.TURNED_AWAY: (BACK_OFF_MS, BACK_OFF_MOST_MS),
    CallOutcome.FAILED: (RETRY_MS, RETRY_MOST_MS),
}


class DiscoveryClient:
    def __init__(self, config: GatewayConfig, dispatcher: Dispatcher, workers: EndpointClients) -> None:
        self.config, self.dispatcher, self.workers, self.clock = config, dispatcher, workers, dispatcher.clock
        self.membership = Membership(config.names)
        try:
            Membership(config.names).stand_in(config.known_endpoints)
        except UNREADABLE as bad:
            raise ConfigError(f"known cannot be read: {bad!r}") from bad
        self.pool = ConnectionPool(LINES, IDLE_MS, CONNECT_MS, dispatcher.clock, MOST_LIST)
        self.calls: set[asyncio.Task[None]] = set()  # those out; emptied as they end
        self.tasks: list[asyncio.Task[None]] = []  # the watch and its scout
        self.round = 0  # a call that began before the last word, or a move, tells nothing any more
        # Guards drains as a silent agent comes back, which may answer no call that was out: however long
        # the outage, the next call begins two paces after the last word, or one after the last call
        self.pace_ms = min(MAX_POLL_INTERVAL_MS, GRACE_PART * (config.drain_grace_ms + SLACK_MS))
        if config.watch_timeout_ms:  # one of many in this process, whose loop has to bear them all
            self.pace_ms = MAX_POLL_INTERVAL_MS
        self.watch_ms = config.watch_timeout_ms or self.pace_ms
        self.is_connected, self.unread, self.behind = True, 0, False  # modes that the log told
        self.listed = asyncio.Event()  # the agent spoke, or the known list stands in
        self.heard_at = self.looked_at = self.scout_at = self.clock.now()
        self.chance = random.Random(config.seed)  # spreads what all gateways do after the same failure
        if config.shared_discovery:
            self.membership.build_on(config.known_endpoints)
        self.set_address(config.discovery)

    def set_address(self, address: tuple[str, int]) -> None:
        """The watch goes on there at once: the old address may keep its calls for as long as it likes."""
        self.address = "{}:{}".format(*address)
        self.peer = self.pool.peer(self.address)
        self.scout_at = self.clock.now() + self.pace_ms
        self.drop_calls(None)

    def drop_calls(self, answered: asyncio.Task[None] | None) -> None:
        """What the others may still bring is older than what was just heard, or from elsewhere."""
        self.round += 1
        for call in self.calls:
            if call is not answered:
                call.cancel()

    async def start(self, patience_s: float | None) -> None:
        """Returns once there is a list, and after the patience, if any, without one: no worker is known then,
        so the module refuses all that comes, at once and with a time to come back."""
        self.heard_at, self.scout_at = self.clock.now(), self.clock.now() + self.pace_ms
        asking = (self.subscribe,) if self.config.shared_discovery else (self.watch, self.scout)
        self.tasks = [asyncio.create_task(task()) for task in (*asking, self.stand_in)]
        try:
            async with asyncio.timeout(patience_s):
                await self.listed.wait()
        except TimeoutError:
            logger.warning(
                "{}discovery was silent for {:.0f} s from the start: {}",
                self.dispatcher.log_prefix,
                patience_s,
                "all is refused until it speaks",
            )

    async def stand_in(self) -> None:
        await asyncio.sleep(SILENT_START_MS / 1000)
        if not self.listed.is_set():
            logger.warning(
                "{}discovery was silent for {:.0f} s from the start: the known list stands in",
                self.dispatcher.log_prefix,
                SILENT_START_MS / 1000,
            )
            self.act(self.membership.stand_in(self.config.known_endpoints), "list known")
            self.listed.set()

    async def close(self) -> None:
        for task in (*self.tasks, *self.calls):
            task.cancel()
        await self.pool.close()

    # Calls

    async def watch(self) -> None:
        """Each next call at once after an answer, but not faster than the drains want it."""
        while True:
            await self.call(self.watch_ms, SLOW_MS, min(AGAIN_MS, self.pace_ms))

    async def subscribe(self) -> None:
        """Of a shared service: one call at a time, and none given up that may still have its turn. Guards the
        service: many gateways that ask again before its line has come to them keep it too long for all."""
        outcome, failures = await self.call(0.0, ANSWER_MS, 0.0), 0  # answered though there is no news
        while True:
            going_on = outcome is CallOutcome.ANSWERED
            outcome = await self.call(NEWS_MS, SILENT_MS if going_on else ANSWER_MS, GO_ON_MS)
            if outcome in PAUSES:
                least_ms, most_ms = PAUSES[outcome]
                pause_ms = min(most_ms, least_ms * 2**failures) * self.chance.uniform(0.5, 1.5)
                failures = min(failures + 1, MOST_DOUBLINGS)
                await asyncio.sleep(pause_ms / 1000)
            else:
                failures = 0

    async def scout(self) -> None:
        """While the agent is silent: a call that is out as it comes back may hear nothing, a new one does."""
        while True:
            if (wait := self.scout_at - self.clock.now()) > 0:
                await asyncio.sleep(wait / 1000)
            else:
                await self.call(self.pace_ms / 2, self.pace_ms, self.pace_ms)

    async def call(self, wait_ms: float, patience_ms: float, least_ms: float) -> CallOutcome:
        """One call that the agent may let wait; given up when another one is answered or discovery moves."""
        end = self.clock.now() + least_ms
        call = asyncio.create_task(self.ask(wait_ms, patience_ms))
        self.calls.add(call)
        try:
            await asyncio.wait((call,))
        finally:
            self.calls.discard(call)
            call.cancel()
        if call.cancelled():
            return CallOutcome.DROPPED
        if (error := call.exception()) is not None:
            self.hear(error)
        await asyncio.sleep(max(0.0, end - self.clock.now()) / 1000)
        if error is None:
            return CallOutcome.ANSWERED
        return CallOutcome.TURNED_AWAY if isinstance(error, DiscoveryOverloadedError) else CallOutcome.FAILED

    async def ask(self, wait_ms: float, patience_ms: float) -> None:
        trip, over, end = Exchange(), self.dispatcher.loop.create_future(), self.clock.now() + patience_ms
        async with asyncio.timeout(patience_ms / 1000):
            connection, wire = await self.pool.connect(self.peer)
        trip.connection = connection
        since, task = self.membership.since, asyncio.current_task()
        wire.on_response = partial(self.told, over, task, self.round, since is None, self.clock.now())
        wire.on_error = partial(fail, over)
        try:
            query = "" if since is None else f"?since={since}&timeout_ms={wait_ms:.0f}"
            wire.send_request(f"GET {PATH}{query} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode())
            await asyncio.wait((over,), timeout=(end - self.clock.now()) / 1000)
            if not over.done():
                wire.read_pending()  # we may have stood
            if not over.done():
                raise TimeoutError
            over.result()
            trip.connection = None
            connection.release()
        finally:
            wire.on_response = wire.on_error = None
            trip.close()

    def read_pending_updates(self) -> None:
        """Before anything is sent: the agent's word may lie unread, behind a crowd or a stall of ours."""
        now = self.clock.now()
        if now - self.looked_at >= LOOK_MS:
            self.looked_at = now
            for wire in list(self.pool.connections):
                wire.read_pending()

    # What is told

    def told(
        self,
        over: asyncio.Future[None],
        call: asyncio.Task[None] | None,
        begun: int,
        plain: bool,
        asked_at: float,
        answer: RawResponse,
    ) -> None:
        """Acts within the turn in which the bytes are read: no txn of that turn goes by an older list."""
        if over.done() or begun != self.round:
            return
        message, body = answer
        now = self.looked_at = self.clock.now()
        try:
            if message.code != 200:
                kind = DiscoveryOverloadedError if message.code in TOO_MANY else ValueError
                raise kind(f"discovery answers {message.code}")
            change = self.membership.take(now, json.loads(body), plain)
        except Exception as error:  # no list that can be read: the last one stands
            fail(over, error)
            return
        silent_ms, self.heard_at, self.scout_at = now - self.heard_at, now, now + self.watch_ms + self.pace_ms
        self.drop_calls(call)
        self.act(
            change,
            f"list {self.membership.newest}, asked {now - asked_at:.0f} ms ago, "
            f"nothing heard for {silent_ms:.0f} ms before",
        )
        self.hear(None)
        self.listed.set()
        if not over.done():
            over.set_result(None)

    def act(self, change: MembershipChange, how: str) -> None:
        """The module first: what the drained workers give back must not go to others of the same list."""
        for row in change.ready:
            self.workers.set_address(row.info.endpoint_id, row.address, row.info.started_at_ms)
        if change.update.endpoints or change.update.is_complete:
            self.dispatcher.post(self.dispatcher.lifecycle.endpoints_updated, change.update)
        for health in (EndpointStatus.DRAINING, EndpointStatus.REMOVED):
            for name in change.changes_by_status.get(health, ()):
                self.workers.drain(endpoint_id_of(name), gone=health is EndpointStatus.REMOVED)
        self.log(change, how)

    # The log

    def log(self, change: MembershipChange, how: str) -> None:
        for health, names in change.changes_by_status.items():
            numbered = ", ".join(f"{endpoint_id_of(name)} ({name})" for name in names)
            logger.info(
                "{}{}: {} now {}: {}", self.dispatcher.log_prefix, how, len(names), health.value, numbered
            )
        if change.unreadable_count != self.unread:
            self.unread = change.unreadable_count
            logger.warning(
                "{}{} rows of the worker list cannot be read; those workers stay as they were",
                self.dispatcher.log_prefix,
                change.unreadable_count,
            )
        if self.membership.behind is not self.behind:
            self.behind = self.membership.behind
            mode = "older than what is known: only who leaves is heeded" if self.behind else "in step again"
            logger.warning("{}the agent's list is {}", self.dispatcher.log_prefix, mode)

    def hear(self, error: BaseException | None) -> None:
        """A line for each change of mode; a silent watch that ends in time is no loss."""
        quiet = isinstance(error, TimeoutError) and self.clock.now() - self.heard_at < LOST_MS
        if self.is_connected is (error is None) or quiet:
            return
        self.is_connected = error is None
        if error is None:
            logger.info("{}discovery heard", self.dispatcher.log_prefix)
        else:
            logger.warning(
                "{}discovery lost: {}; {}",
                self.dispatcher.log_prefix,
                str(error) or type(error).__name__,
                "the last list stands" if self.listed.is_set() else "nothing is sent yet",
            )


def fail(over: asyncio.Future[None], error: BaseException) -> None:
    if not over.done():
        over.set_exception(error)
