"""One call to discovery: its times, its state while it is under way, and how it ends."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class PollOutcome(Enum):
    """How a call to discovery ended."""

    ANSWERED = "answered"
    REJECTED = "rejected: the service has too many calls"
    FAILED = "failed"
    ABANDONED = "abandoned: discovery moved, or another call was answered"


class DiscoveryError(ValueError):
    """Discovery answered, but not with a list."""


class DiscoveryOverloadedError(DiscoveryError):
    """Discovery has too many calls."""


class PollTimes(NamedTuple):
    """The times of one call, in milliseconds."""

    wait_ms: float
    """How long discovery may wait for an update before it answers."""
    timeout_ms: float
    """When the call is given up."""
    min_interval_ms: float
    """The next call starts no earlier than this after this one's start."""


@dataclass(slots=True, eq=False)
class Poll:
    """A call to discovery whose request has been sent."""

    task: asyncio.Task[None] | None
    epoch: int
    """Its response counts only while no other call was answered, and discovery has not moved."""
    asks_for_complete_list: bool
    """Whether it asks for the complete list."""
    sent_at_ms: float
    finished: asyncio.Future[None]

    def fail(self, error: BaseException) -> None:
        """Ends the call without a list."""
        if not self.finished.done():
            self.finished.set_exception(error)
