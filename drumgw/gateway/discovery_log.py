"""What the log says of discovery: each change of the endpoint list, and each change of mode, once."""

from __future__ import annotations

from loguru import logger

from drumgw.gateway.endpoint_list_reader import endpoint_id_of
from drumgw.gateway.membership import MembershipChange


class DiscoveryLog:
    """Writes one line for each change.

    Args:
        prefix: stands before each line.
    """

    def __init__(self, prefix: str) -> None:
        self.is_connected = True
        """Whether the log last said that discovery answers."""
        self._prefix = prefix
        self._unreadable_count = 0
        self._is_behind = False

    def changed(self, change: MembershipChange, origin: str, is_behind: bool) -> None:
        """The endpoint list has changed.

        Args:
            change: what has changed.
            origin: which list this is, and how it came.
            is_behind: whether the agent's list is older than what is known.
        """
        for status, names in change.changes_by_status.items():
            endpoints = ", ".join(f"{endpoint_id_of(name)} ({name})" for name in names)
            logger.info("{}{}: {} now {}: {}", self._prefix, origin, len(names), status.value, endpoints)
        if change.unreadable_count != self._unreadable_count:
            self._unreadable_count = change.unreadable_count
            logger.warning(
                "{}{} rows of the endpoint list cannot be read; those endpoints stay as they were",
                self._prefix,
                change.unreadable_count,
            )
        if is_behind is not self._is_behind:
            self._is_behind = is_behind
            relation = (
                "older than the known one: only departures are applied" if is_behind else "in sync again"
            )
            logger.warning("{}the agent's endpoint list is {}", self._prefix, relation)

    def answered(self) -> None:
        """Discovery has answered."""
        if not self.is_connected:
            self.is_connected = True
            logger.info("{}discovery answers again", self._prefix)

    def lost(self, error: BaseException, has_endpoints: bool) -> None:
        """Discovery cannot be reached, or does not answer.

        Args:
            error: what shows it.
            has_endpoints: whether there is an endpoint list to go on with.
        """
        if not self.is_connected:
            return
        self.is_connected = False
        logger.warning(
            "{}discovery lost: {}; {}",
            self._prefix,
            str(error) or type(error).__name__,
            "the last endpoint list stays in use" if has_endpoints else "nothing is forwarded yet",
        )

    def silent_at_start(self, silent_s: float, consequence: str) -> None:
        """Discovery has not answered since the start.

        Args:
            silent_s: for how long, in seconds.
            consequence: what the gateway does about it.
        """
        logger.warning(
            "{}discovery was silent for {:.0f} s from the start: {}", self._prefix, silent_s, consequence
        )
