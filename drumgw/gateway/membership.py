"""The endpoint list, and the rule by which updates are applied to it. Does no I/O and reads no clock.

The discovery agent sends the list, complete or as changes, with a generation number. An update may be late,
out of order, or sent by an agent that was restarted or replaced. The rule ensures that no request is
forwarded to an endpoint that is draining or removed according to the agent:

1. Start. The protocol counts the agent's list as known to the gateway from the start of the process, so the
   configured list must be taken as out of date. Nothing is forwarded before the agent has answered, and no
   clients are accepted. After MAX_START_WAIT_MS without an answer the gateway becomes ready nevertheless, and
   rejects all requests with Retry-After until the agent answers. A shared discovery service that cannot be
   reached has announced nothing: after KNOWN_LIST_AFTER_MS without an answer the configured list is used.
2. Order. Updates are applied in the order of their generations. From an older update, only departures (drains
   and removals, including endpoints that a complete list omits) and later starts of known endpoints are
   applied; anything else could revert a newer update. If the agent stays behind for RENUMBERED_AFTER_MS, it
   is assumed to have restarted its numbering.
3. Malformed rows change nothing (`endpoint_list_reader.py`).
4. Outages. The last list stays in use while the agent is silent, and also when a reload of the configuration
   switches to another agent.
5. Before each attempt, unread updates are read (`DiscoveryClient.read_pending_updates`).
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from drumgw.gateway.endpoint_list_reader import EndpointList, EndpointRow, departing_row
from drumgw.model.events import EndpointStatus, EndpointsUpdated

MAX_START_WAIT_MS = 4000.0
"""A restarted gateway must be ready within 6 s, of which a third is left for the start of the process."""
KNOWN_LIST_AFTER_MS = 20000.0
"""Longer than any known outage of discovery."""
RENUMBERED_AFTER_MS = 6000.0
"""The protocol counts any information of discovery as known after this time."""


class MembershipState(Enum):
    """How the agent's last list compares with the gateway's."""

    WAITING = "waiting for the agent"
    """The agent has not answered yet."""
    IN_SYNC = "in sync"
    """The agent's last list was not older than the gateway's."""
    BEHIND = "the agent is behind"
    """The agent's last list was older than the gateway's."""


class UpdateKind(Enum):
    """How an update compares with the gateway's list."""

    CURRENT = auto()
    """Not older, and no changes between the gateway's list and the update are missing."""
    CHANGES_AFTER_GAP = auto()
    """Not older, but it has changes only, and the agent was behind before: earlier changes may be missing."""
    OLDER = auto()
    RENUMBERED = auto()
    """Complete and older, and the agent has been behind for so long that it must have restarted numbering."""


class MembershipChange(NamedTuple):
    """The effect of an update."""

    update: EndpointsUpdated
    """The event for the policy engine."""
    ready: tuple[EndpointRow, ...]
    """Changed rows of ready endpoints: they are new, or their start, address or other fields changed."""
    changes_by_status: dict[EndpointStatus, list[str]]
    """Names of the endpoints whose status or start has changed, by their new status."""
    malformed_count: int
    """See `EndpointList.malformed_count`."""


class Membership:
    """The gateway's endpoint list, and its state relative to the agent's list."""

    def __init__(self) -> None:
        self.state = MembershipState.WAITING
        self.since: int | None = None
        """The next call requests the changes since this generation; None to request the complete list."""
        self.generation: int | None = None
        """Generation of the last list applied in sync; None if it had none, or no list was applied yet."""
        self.behind_since_ms = 0.0
        """When the agent fell behind; undefined unless the state is BEHIND."""
        self.rows: dict[str, EndpointRow] = {}
        """By endpoint name."""
        self._base: EndpointList | None = None  # merged with the first update if that has changes only

    @property
    def is_behind(self) -> bool:
        """Whether the agent's last list was older than the gateway's."""
        return self.state is MembershipState.BEHIND

    def start_from_known(self, known: EndpointList) -> None:
        """Makes the first call request the changes since a known list, instead of the complete list.

        This costs a shared discovery service less. The known list itself is not used until the changes have
        been received.
        """
        if known.generation is None:
            return
        self.since = known.generation
        if known.rows:  # changes since an empty list are complete by themselves
            self._base = known

    def use_known(self, known: EndpointList) -> MembershipChange:
        """Applies a known list while the agent is silent. The agent's first list replaces it."""
        return self._apply_all(known._replace(is_complete=True))

    def update(self, now: float, endpoint_list: EndpointList, requested_complete: bool) -> MembershipChange:
        """Applies a list from the agent, as far as the rule allows.

        Args:
            now: the current time.
            endpoint_list: the list that the agent sent.
            requested_complete: whether the complete list was requested; the answer then counts as complete
                even if it is not marked so.
        """
        update = endpoint_list._replace(is_complete=endpoint_list.is_complete or requested_complete)
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
        """Returns the generation for the next call's `since`, or None to request the complete list.

        The complete list is needed if the agent never had the generation that changes were requested since,
        as the changes are meaningless then. It is also needed once the agent is no longer behind, as its
        changes may omit those of the time when it was behind.
        """
        generation = update.generation
        if update.is_complete or generation is None:
            return generation
        never_had_it = self.since is None or generation < self.since
        was_behind = self.is_behind and (not self._is_older(update) or self._is_renumbered(now))
        return None if never_had_it or was_behind else generation

    # Effects of updates

    def _apply_all(self, update: EndpointList) -> MembershipChange:
        """Applies all rows of the list. Endpoints with malformed rows keep their state."""
        changed = {
            name: row for name, row in update.rows.items() if row is not None and self.rows.get(name) != row
        }
        return self._change(update, changed | self._removals_by_omission(update), update.is_complete)

    def _apply_departures(self, update: EndpointList) -> MembershipChange:
        """Applies only the departures of an older list, and later starts of known endpoints.

        Ignoring older lists would miss drains after a reload of the configuration: the new agent's numbering
        may be lower, and its drains count as known long before RENUMBERED_AFTER_MS. An endpoint that was
        added after the older list, and is removed here because that list omits it, is added again by the next
        newer list.
        """
        changed = self._removals_by_omission(update)
        for name, row in update.rows.items():
            known = self.rows.get(name)
            if row is None or known is None or known == row:
                continue
            is_later_start = row.started_at_ms > known.started_at_ms
            if row.info.status is not EndpointStatus.READY or is_later_start:
                changed[name] = row
        return self._change(update, changed, is_complete=False)

    def _removals_by_omission(self, update: EndpointList) -> dict[str, EndpointRow]:
        """Returns rows with status REMOVED for the endpoints that a complete list omits."""
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
            if _changes_status(self.rows.get(name), row):
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
            update.malformed_count(),
        )


def _merge(base: EndpointList, changes: EndpointList) -> EndpointList:
    """Applies changes to the list that they are based on, and returns the resulting complete list."""
    return EndpointList(
        changes.generation,
        is_complete=True,
        rows=base.rows | changes.rows,
        nameless_rows=base.nameless_rows | changes.nameless_rows,
    )


def _changes_status(known: EndpointRow | None, row: EndpointRow) -> bool:
    """Whether a row has another status or start than the known one, which makes it worth a log line."""
    if known is None:
        return row.info.status is not EndpointStatus.REMOVED
    return known.info.status is not row.info.status or row.info.started_at_ms != known.info.started_at_ms


ApplyUpdate = Callable[[Membership, EndpointList], MembershipChange]

TRANSITIONS: dict[tuple[MembershipState, UpdateKind], tuple[MembershipState, ApplyUpdate]] = {
    (MembershipState.WAITING, UpdateKind.CURRENT): (MembershipState.IN_SYNC, Membership._apply_all),
    (MembershipState.IN_SYNC, UpdateKind.CURRENT): (MembershipState.IN_SYNC, Membership._apply_all),
    (MembershipState.IN_SYNC, UpdateKind.OLDER): (MembershipState.BEHIND, Membership._apply_departures),
    (MembershipState.BEHIND, UpdateKind.OLDER): (MembershipState.BEHIND, Membership._apply_departures),
    # The next call requests the complete list, which brings the state back to IN_SYNC.
    (MembershipState.BEHIND, UpdateKind.CHANGES_AFTER_GAP): (
        MembershipState.BEHIND,
        Membership._apply_departures,
    ),
    (MembershipState.BEHIND, UpdateKind.CURRENT): (MembershipState.IN_SYNC, Membership._apply_all),
    (MembershipState.BEHIND, UpdateKind.RENUMBERED): (MembershipState.IN_SYNC, Membership._apply_all),
}
"""The next state and the method that applies the update, for each kind of update possible in a state."""
