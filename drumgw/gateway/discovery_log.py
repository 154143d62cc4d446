"""Log lines about discovery. Each change of the endpoint list and of discovery's state is logged once."""

from __future__ import annotations

from loguru import logger

from drumgw.gateway.endpoint_list_reader import endpoint_id_of
from drumgw.gateway.membership import MembershipChange


class DiscoveryLog:
    """Logs changes only: a state that persists is not logged again.

    Args:
        prefix: put before each line; may be empty.
    """

    def __init__(self, prefix: str) -> None:
        self.is_connected = True
        """Whether discovery answers, as last logged."""
        self._prefix = prefix
        self._malformed_count = 0
        self._is_behind = False

    def log_change(self, change: MembershipChange, origin: str, is_behind: bool) -> None:
        """Logs changes of the endpoint list, of its malformed rows, and of the agent's lag.

        Args:
            change: the changes.
            origin: which list they come from, and how it was received.
            is_behind: whether the agent's list is older than the gateway's.
        """
        for status, names in change.changes_by_status.items():
            endpoints = ", ".join(f"{endpoint_id_of(name)} ({name})" for name in names)
            logger.info("{}{}: {} now {}: {}", self._prefix, origin, len(names), status.value, endpoints)
        if change.malformed_count != self._malformed_count:
            self._malformed_count = change.malformed_count
            logger.warning(
                "{}{} rows of the endpoint list are malformed; their endpoints keep their last state",
                self._prefix,
                change.malformed_count,
            )
        if is_behind is not self._is_behind:
            self._is_behind = is_behind
            relation = (
                "older than the last one applied: only removals, drains and restarts are applied"
                if is_behind
                else "up to date again"
            )
            logger.warning("{}the agent's endpoint list is {}", self._prefix, relation)

    def log_answer(self) -> None:
        """Logs that discovery answers again, if a failure was logged before."""
        if not self.is_connected:
            self.is_connected = True
            logger.info("{}discovery answers again", self._prefix)

    def log_failure(self, error: BaseException, has_endpoints: bool) -> None:
        """Logs that a call to discovery failed, once until the next answer.

        Args:
            error: the error of the call.
            has_endpoints: whether the gateway has an endpoint list to keep using.
        """
        if not self.is_connected:
            return
        self.is_connected = False
        logger.warning(
            "{}discovery unavailable: {}; {}",
            self._prefix,
            str(error) or type(error).__name__,
            "the last endpoint list stays in use" if has_endpoints else "no requests are forwarded yet",
        )

    def log_silence_at_start(self, silent_s: float, consequence: str) -> None:
        """Logs that discovery has not answered since the gateway started.

        Args:
            silent_s: time since the start, in seconds.
            consequence: what the gateway does until discovery answers.
        """
        logger.warning(
            "{}discovery did not answer within {:.0f} s of the start: {}", self._prefix, silent_s, consequence
        )
