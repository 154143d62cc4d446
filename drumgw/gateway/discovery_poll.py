"""A call to discovery: its time limits, its state while in progress, and its outcomes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class PollOutcome(Enum):
    """How a call to discovery ended; the value describes it."""

    ANSWERED = "answered"
    REJECTED = "rejected: discovery is overloaded"
    FAILED = "failed"
    ABANDONED = "abandoned: the address of discovery changed, or another call was answered"


class DiscoveryError(ValueError):
    """Discovery answered with something other than an endpoint list."""


class DiscoveryOverloadedError(DiscoveryError):
    """Discovery rejected the call because it is overloaded."""


class PollTimes(NamedTuple):
    """The time limits of one call, in milliseconds."""

    wait_ms: float
    """How long discovery may wait for an update before it answers."""
    timeout_ms: float
    """How long the gateway waits for the answer, including the time to connect."""
    min_interval_ms: float
    """Minimum time between the start of this call and the start of the next."""


@dataclass(slots=True, eq=False)
class Poll:
    """A call to discovery in progress, from the time at which its connection is open."""

    task: asyncio.Task[None] | None
    epoch: int
    """The client's epoch at the start of the call. The response is ignored if the epoch has changed since:
    then another call was answered, or the address of discovery changed."""
    requests_complete_list: bool
    """False if it requests the changes since a generation."""
    sent_at_ms: float
    finished: asyncio.Future[None]
    """Done once the response has been applied; holds the error of a failed call."""

    def fail(self, error: BaseException) -> None:
        """Fails the call, unless it has finished."""
        if not self.finished.done():
            self.finished.set_exception(error)
            self.finished.exception()  # else asyncio logs it if the call was abandoned in the same turn
