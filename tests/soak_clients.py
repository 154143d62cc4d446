"""The usual clients of a soak run: one request at a time on a kept connection, and what became of each."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from tests.gateway_case import http_request
from tests.scripted_server import read_message
from tests.soak_peers import HOST, MS, now_ms

LATE_MS = 500.0
"""An answer that comes later after its time than this is a lost request (protocol)."""
CONNECT_RETRY_S = 0.02
LEAVING_SHARE = 0.08
"""Share of the requests whose client leaves before the answer."""
MAX_PAUSE_S = 0.15
RESTING_SHARE = 0.1
"""Share of the pauses that are long: the client rests on its open connection."""
MAX_REST_S = 2.5
CUSTOMERS = 20


class Ending(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    LEFT = "the client left"
    CLOSED = "closed without an answer"
    LATE = "no answer within its time and half a second"
    UNSENT = "closed unread, and no gateway accepted a connection within its time"


@dataclass
class SentRequest:
    """A request and its end.

    Attributes:
        request_id: Its id.
        is_repeatable: Whether its class is safe to repeat.
        timeout_ms: The time that the client gives it.
        sent_ms: When it was first written.
        left_ms: When its client closed the connection; 0 if it did not.
        ending: How it ended.
        status: The status of the answer; 0 if there was none.
        body: The body of the answer.
        crossings: How often a close crossed it, so that it was sent again.
    """

    request_id: str
    is_repeatable: bool
    timeout_ms: float
    sent_ms: float = 0.0
    left_ms: float = 0.0
    ending: Ending = Ending.LATE
    status: int = 0
    body: bytes = b""
    crossings: int = 0


@dataclass
class SoakClient:
    """A client that sends until it is stopped.

    Attributes:
        name: Prefix of its request ids.
        port: The gateway's port.
        choices: Its random numbers.
        max_timeout_ms: The longest deadline of a class.
        may_cross: Whether a close without an answer may have crossed a request that was not read, given its
            id and whether it was the first one on its connection.
        is_stopping: Whether it sends no further request.
        requests: All that it has sent.
    """

    name: str
    port: int
    choices: random.Random
    max_timeout_ms: float
    may_cross: Callable[[str, bool], bool]
    is_stopping: bool = False
    requests: list[SentRequest] = field(default_factory=list)
    _connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Sends one request after the other."""
        for number in itertools.count():
            if self.is_stopping:
                break
            timeout_ms = self.choices.uniform(0.3, 1.0) * self.max_timeout_ms
            request = SentRequest(f"{self.name}-{number}", self.choices.random() < 0.5, timeout_ms)
            await self._send(request)
            await asyncio.sleep(self._pause_s())
        self.close()

    def _pause_s(self) -> float:
        is_resting = self.choices.random() < RESTING_SHARE
        return self.choices.uniform(0.0, MAX_REST_S if is_resting else MAX_PAUSE_S)

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection[1].close()
        self._connection = None

    async def _send(self, request: SentRequest) -> None:
        leaves_after_s = None
        if self.choices.random() < LEAVING_SHARE:
            leaves_after_s = self.choices.uniform(0.0, 0.05)
        while True:
            is_new = self._connection is None
            reader, writer = self._connection = self._connection or await self._connect()
            if not request.sent_ms:
                request.sent_ms = now_ms()
                self.requests.append(request)
            left_ms = request.timeout_ms + LATE_MS - (now_ms() - request.sent_ms)
            if left_ms <= LATE_MS:
                request.ending = Ending.UNSENT
                return
            try:
                async with asyncio.timeout(max(0.0, left_ms) / MS):
                    writer.write(self._bytes_of(request))
                    await self._receive(request, reader, leaves_after_s)
                return
            except TimeoutError:
                self.close()
                return
            except (ConnectionError, asyncio.IncompleteReadError):
                self.close()
                is_over = now_ms() - request.sent_ms > request.timeout_ms
                if is_over or not self.may_cross(request.request_id, is_new):
                    request.ending = Ending.CLOSED
                    return
                request.crossings += 1

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while True:
            with contextlib.suppress(OSError):
                return await asyncio.open_connection(HOST, self.port)
            await asyncio.sleep(CONNECT_RETRY_S)

    async def _receive(
        self, request: SentRequest, reader: asyncio.StreamReader, leaves_after_s: float | None
    ) -> None:
        if leaves_after_s is not None:
            await asyncio.sleep(leaves_after_s)
            request.left_ms = now_ms()
            request.ending = Ending.LEFT
            self.close()
            return
        head, request.body = await read_message(reader)
        request.status = int(head.split()[1])
        request.ending = Ending.ANSWERED
        if b"Connection: close" in head:
            self.close()

    def _bytes_of(self, request: SentRequest) -> bytes:
        customer = self.choices.randrange(CUSTOMERS)
        left_ms = max(1.0, request.timeout_ms - (now_ms() - request.sent_ms))
        target = f"/{'a' if request.is_repeatable else 'b'}?account={customer:016x}"
        method, body = ("GET", b"") if request.is_repeatable else ("POST", b"{}")
        timeout = f"{left_ms:.0f}m"
        return http_request(target, method, body, Request_Id=request.request_id, Request_Timeout=timeout)
