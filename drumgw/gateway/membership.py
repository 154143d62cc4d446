"""The endpoint list, and the rule by which updates of it are applied. No I/O, no clock.

Discovery's agent sends the list, complete or as changes, each time with a generation number. An update may
come late, out of order, or from an agent that was restarted or replaced. What must never happen is that a
request is forwarded to an endpoint which, by what the agent has, is draining or removed. The rule:

1. Start. What the agent has counts as known to this gateway from the process's first moment, so the list in
   the configuration is out of date: nothing is forwarded before the agent has answered. Clients are not
   accepted before that either, for MAX_START_WAIT_MS at most; then the gateway is ready all the same, and
   rejects all requests with a Retry-After. Only where the agent is silent for KNOWN_LIST_AFTER_MS does the
   configured list stand in, until the agent answers.
2. Order. Updates are applied in the order of their generations. An older one undoes nothing: of it only
   departures (also of endpoints that a complete list does not name) and later starts of known endpoints are
   applied. An agent that stays behind for RENUMBERED_AFTER_MS has begun its numbering anew.
3. Rows that cannot be read change nothing (`endpoint_list_reader.py`).
4. Silence. The last list stays valid. After a reload of the configuration this goes on with the new agent.
5. Before each attempt, unread updates are read (`DiscoveryClient.read_pending_updates`).
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from drumgw.gateway.endpoint_list_reader import EndpointList, EndpointRow, departing_row
from drumgw.model.events import EndpointStatus, EndpointsUpdated

MAX_START_WAIT_MS = 4000.0
"""Restarted gateways have to be ready within 6 s; a third of that is left for the start itself."""
KNOWN_LIST_AFTER_MS = 20000.0
"""Longer than any known outage of discovery."""
RENUMBERED_AFTER_MS = 6000.0
"""By then whatever discovery has to say counts as known (protocol)."""


class MembershipState(Enum):
    """How the agent's list compares with the one that is known here."""

    WAITING = "waiting for the agent"
    """The agent has not answered yet."""
    IN_SYNC = "in sync"
    """Its last list was not older than what is known."""
    BEHIND = "the agent is behind"
    """Its last list was older."""


class UpdateKind(Enum):
    """What an update is, beside what is known."""

    CURRENT = auto()
    """Not older, and nothing lies between it and what is known."""
    CHANGES_AFTER_GAP = auto()
    """Not older, but changes only, after the agent was behind: there may be changes that it left out."""
    OLDER = auto()
    RENUMBERED = auto()
    """Complete, and older for so long that the numbering must have begun anew."""


class MembershipChange(NamedTuple):
    """What an update changes."""

    update: EndpointsUpdated
    """For the policy engine."""
    ready: tuple[EndpointRow, ...]
    """Endpoints that are new, or have a new start or address."""
    changes_by_status: dict[EndpointStatus, list[str]]
    """Names of the endpoints whose status or start has changed, by their new status."""
    unreadable_count: int
    """Rows that could not be read."""


class Membership:
    """The endpoint list, as far as its updates may be applied."""

    def __init__(self) -> None:
        self.state = MembershipState.WAITING
        self.since: int | None = None
        """The generation to poll for changes since; None to poll for the complete list."""
        self.generation: int | None = None
        """Of the last list applied in sync; None where it had none, or there was none."""
        self.behind_since_ms = 0.0
        """When the agent fell behind; means nothing in other states."""
        self.rows: dict[str, EndpointRow] = {}
        """Endpoints on the list, by name."""
        self._base: EndpointList | None = None  # what the first changes build on; dropped with them

    @property
    def is_behind(self) -> bool:
        """Whether the agent's list is older than what is known."""
        return self.state is MembershipState.BEHIND

    def build_on_known_list(self, known: EndpointList) -> None:
        """Asks first for the changes since a known list, which is not used before they have come.

        That costs a shared discovery service less than a complete list.
        """
        if known.generation is None:
            return
        self.since = known.generation
        if known.rows:  # changes of an empty list need no base
            self._base = known

    def use_known(self, known: EndpointList) -> MembershipChange:
        """Uses a known list while the agent is silent. The agent's first list replaces it."""
        return self._apply_all(known._replace(is_complete=True))

    def update(
        self, now: float, endpoint_list: EndpointList, is_reply_to_complete_poll: bool
    ) -> MembershipChange:
        """Applies a list of the agent's, as far as the rule lets it.

        Args:
            now: the current time.
            endpoint_list: what the agent sent.
            is_reply_to_complete_poll: whether the complete list was polled for; the answer is complete then,
                whatever it says of itself.
        """
        update = endpoint_list._replace(is_complete=endpoint_list.is_complete or is_reply_to_complete_poll)
        if self.state is MembershipState.WAITING and self._base is not None and not update.is_complete:
            update = _merge(self._base, update)
        self._base = None
        kind = self._classify(now, update)
        if kind is UpdateKind.OLDER and self.state is MembershipState.IN_SYNC:
            self.behind_since_ms = now
        self.since = self._next_since(now, update)
        self.state, apply = TRANSITIONS[self.state, kind]
        if self.state is MembershipState.IN_SYNC:
            self.generation = update.generation
        return apply(self, update)

    def _classify(self, now: float, update: EndpointList) -> UpdateKind:
        if self._is_older(update):
            if update.is_complete and self._is_renumbered(now):
                return UpdateKind.RENUMBERED
            return UpdateKind.OLDER
        if update.is_complete or not self.is_behind:
            return UpdateKind.CURRENT
        return UpdateKind.CHANGES_AFTER_GAP

    def _is_older(self, update: EndpointList) -> bool:
        if update.generation is None or self.generation is None:
            return False
        return update.generation < self.generation

    def _is_renumbered(self, now: float) -> bool:
        return self.is_behind and now - self.behind_since_ms >= RENUMBERED_AFTER_MS

    def _next_since(self, now: float, update: EndpointList) -> int | None:
        """Which generation the next call asks from, or None for the complete list.

        Changes since a generation that the agent never had say nothing. Once it is no longer behind, what it
        left out meanwhile is found in its complete list only.
        """
        generation = update.generation
        if update.is_complete or generation is None:
            return generation
        never_had_it = self.since is None or generation < self.since
        was_behind = self.is_behind and (not self._is_older(update) or self._is_renumbered(now))
        return None if never_had_it or was_behind else generation

    # How a list is applied

    def _apply_all(self, update: EndpointList) -> MembershipChange:
        """Applies the list as it is. An endpoint whose row cannot be read stays what it was."""
        changed = {
            name: row for name, row in update.rows.items() if row is not None and self.rows.get(name) != row
        }
        return self._change(update, changed | self._unnamed(update), update.is_complete)

    def _apply_departures(self, update: EndpointList) -> MembershipChange:
        """Applies of an older list only who leaves, and later starts of known endpoints.

        Guards drains after a reload of the configuration: the new agent's numbering may be lower, and its
        drains count long before RENUMBERED_AFTER_MS. An endpoint that joined meanwhile, and is removed here
        because the older list does not name it, comes back with the next newer list.
        """
        changed = self._unnamed(update)
        for name, row in update.rows.items():
            known = self.rows.get(name)
            if row is None or known is None or known == row:
                continue
            is_later_start = row.started_at_ms > known.started_at_ms
            if row.info.status is not EndpointStatus.READY or is_later_start:
                changed[name] = row
        return self._change(update, changed, is_complete=False)

    def _unnamed(self, update: EndpointList) -> dict[str, EndpointRow]:
        """Rows for the endpoints that a complete list does not name: that, too, says that they leave."""
        if not update.is_complete:
            return {}
        missing = self.rows.keys() - update.rows.keys()
        return {name: departing_row(name, EndpointStatus.REMOVED) for name in missing}

    def _change(
        self, update: EndpointList, changed: dict[str, EndpointRow], is_complete: bool
    ) -> MembershipChange:
        changes_by_status: dict[EndpointStatus, list[str]] = {}
        for name, row in changed.items():
            status = row.info.status
            if _is_notable(self.rows.get(name), row):
                changes_by_status.setdefault(status, []).append(name)
            if status is EndpointStatus.REMOVED:
                self.rows.pop(name, None)
            else:
                self.rows[name] = row
        reported = self.rows.values() if is_complete else changed.values()
        return MembershipChange(
            EndpointsUpdated(is_complete, tuple(row.info for row in reported)),
            tuple(row for row in changed.values() if row.info.status is EndpointStatus.READY),
            changes_by_status,
            update.unreadable_count(),
        )


def _merge(base: EndpointList, changes: EndpointList) -> EndpointList:
    """The complete list that changes make of the one that they build on."""
    return EndpointList(
        changes.generation,
        is_complete=True,
        rows=base.rows | changes.rows,
        nameless_rows=base.nameless_rows | changes.nameless_rows,
    )


def _is_notable(known: EndpointRow | None, row: EndpointRow) -> bool:
    """Whether it is worth a line in the log: another status than before, or another start."""
    if known is None:
        return row.info.status is not EndpointStatus.REMOVED
    return known.info.status is not row.info.status or row.info.started_at_ms != known.info.started_at_ms


Effect = Callable[[Membership, EndpointList], MembershipChange]

TRANSITIONS: dict[tuple[MembershipState, UpdateKind], tuple[MembershipState, Effect]] = {
    (MembershipState.WAITING, UpdateKind.CURRENT): (MembershipState.IN_SYNC, Membership._apply_all),
    (MembershipState.IN_SYNC, UpdateKind.CURRENT): (MembershipState.IN_SYNC, Membership._apply_all),
    (MembershipState.IN_SYNC, UpdateKind.OLDER): (MembershipState.BEHIND, Membership._apply_departures),
    (MembershipState.BEHIND, UpdateKind.OLDER): (MembershipState.BEHIND, Membership._apply_departures),
    # The complete list is polled for next; it ends the state.
    (MembershipState.BEHIND, UpdateKind.CHANGES_AFTER_GAP): (
        MembershipState.BEHIND,
        Membership._apply_departures,
    ),
    (MembershipState.BEHIND, UpdateKind.CURRENT): (MembershipState.IN_SYNC, Membership._apply_all),
    (MembershipState.BEHIND, UpdateKind.RENUMBERED): (MembershipState.IN_SYNC, Membership._apply_all),
}
"""The next state, and how the update is applied, for each update that can come in a state."""
