"""Which word on the workers may be acted on: one rule for all starts and lists. No I/O, no clock.

1. What the agent has counts as told from a process's first moment, so what is known at a start is old:
   until the agent has spoken nothing is sent. Nobody is let in before, for READY_MS at most; after that the
   gateway is ready, and refuses all at once with a time to come back. Only where the agent says nothing for
   SILENT_START_MS does the known list stand in, until it speaks.
2. Its lists are taken in the order of their generations. An older one undoes nothing: of it only leaving
   workers (those that a whole one does not name among them) and later starts are heeded. One that is older
   for RENUMBERED_MS is a numbering begun anew.
3. A row says that a worker leaves by its id and lifecycle alone. One that can't be read changes nothing,
   so the last that could stands; a list of none but such rows is no list.
4. In silence the last list stands. After SIGHUP all this goes on with the new agent.
5. Nothing is sent while a word of the agent's has lain unread for LOOK_MS (gate/discovery.py).
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Callable
from math import inf, isfinite
from typing import Any, NamedTuple

from drumgw.model.events import EndpointInfo, EndpointStatus, EndpointsUpdated
from drumgw.model.settings_reader import NameIndex

READY_MS = 4000.0  # ready within 6 s of a start (the shortest that is asked for), less a third for the start
SILENT_START_MS = 20000.0  # longer than any outage that the operators' pages know of
RENUMBERED_MS = 6000.0  # what discovery has to tell counts as told by then (the protocol's figure)
MOST_NAME = 256  # characters of an id
STATUS_BY_LIFECYCLE = {
    "up": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.REMOVED,
}
ADDRESS = re.compile(r"[0-9A-Za-z._:\[\]-]{1,256}:[0-9]{1,5}")
UNREADABLE = (KeyError, TypeError, ValueError, ArithmeticError)

WAITING, IN_STEP, BEHIND = "waiting for the agent", "in step", "the agent is behind"


def endpoint_id_of(instance: str) -> int:
    """The same number at every gateway: they rank the workers by it."""
    return int.from_bytes(
        hashlib.blake2b(instance.encode("utf-8", "surrogatepass"), digest_size=6).digest(), "big"
    )


class EndpointRow(NamedTuple):
    """What is known of a worker: its last readable row."""

    info: EndpointInfo
    address: str
    started_at_ms: float  # of the start that the row speaks of; without end where a leaving row does not say


class MembershipChange(NamedTuple):
    """What a list changes. Those up are new, or a new start, or at a new address."""

    update: EndpointsUpdated
    ready: tuple[EndpointRow, ...]
    changes_by_status: dict[EndpointStatus, list[str]]  # for the log: who is now what
    unreadable_count: int  # rows that could not be read


Read = dict[str, "EndpointRow | None"]


class Membership:
    def __init__(self, names: NameIndex) -> None:
        self.names, self.state = names, WAITING
        self.since: int | None = None  # what the next call asks from; none: for the whole list
        self.newest: int | None = None  # the generation acted on; none: without one, or not heard yet
        self.older_at = 0.0  # since when the agent is behind
        self.rows: dict[str, EndpointRow] = {}  # workers on the list; emptied by it
        self.base: Read = {}  # what the first changes are changes of; dropped with them

    def build_on(self, known: dict[str, Any]) -> None:
        """Asks first for what changed since the known list, which costs a shared service less than a whole
        one. Nothing is sent by it before that is answered."""
        if (generation := generation_of(known)) is not None:
            self.base, self.since = self.read(rows_of(known)), generation

    def stand_in(self, known: dict[str, Any]) -> MembershipChange:
        """The known list, while the agent says nothing. Whatever the agent says first goes before it."""
        return self.adopt(self.read(rows_of(known)), True)

    def take(self, now: float, told: Any, plain: bool) -> MembershipChange:
        """A list of the agent's; plain: the whole one was asked for. Raises what UNREADABLE names."""
        rows, generation = rows_of(told), generation_of(told)
        whole = plain or bool(told.get("reset"))
        read = self.read(rows)
        if self.state is WAITING and self.base and not whole:
            read, whole = self.base | read, True
        self.base = {}
        word = self.word(now, generation, whole)
        if word == "older" and self.state is IN_STEP:
            self.older_at = now
        self.since = self.next_since(now, generation, whole)
        self.state, effect = TABLE[self.state, word]
        if self.state is IN_STEP:
            self.newest = generation
        return effect(self, read, whole)

    def word(self, now: float, generation: int | None, whole: bool) -> str:
        if not self.is_older(generation):
            return "newer" if whole or self.state is not BEHIND else "changes"
        return "renumbered" if whole and self.is_renumbered(now) else "older"

    @property
    def behind(self) -> bool:
        return self.state is BEHIND

    def is_older(self, generation: int | None) -> bool:
        return generation is not None and self.newest is not None and generation < self.newest

    def is_renumbered(self, now: float) -> bool:
        return self.state is BEHIND and now - self.older_at >= RENUMBERED_MS

    def next_since(self, now: float, generation: int | None, whole: bool) -> int | None:
        """Changes since what the agent never had tell nothing; after it was behind all of its list is due."""
        if whole or generation is None:
            return generation
        lacking = self.since is None or generation < self.since
        overtaken = self.state is BEHIND and (not self.is_older(generation) or self.is_renumbered(now))
        return None if lacking or overtaken else generation

    # Effects

    def adopt(self, read: Read, whole: bool) -> MembershipChange:
        """As it stands. Who is not named in a whole list is gone; who can't be read stays what it was."""
        changed = {name: row for name, row in read.items() if row is not None and self.rows.get(name) != row}
        return self.change(read, changed | self.unnamed(read, whole), whole)

    def unnamed(self, read: Read, whole: bool) -> dict[str, EndpointRow]:
        """Guards drains, which a whole list may tell by leaving their workers out."""
        return (
            {name: leaving(name, EndpointStatus.REMOVED) for name in self.rows.keys() - read.keys()}
            if whole
            else {}
        )

    def heed(self, read: Read, whole: bool) -> MembershipChange:
        """Of an older list: who leaves, and later starts of those that are known. It undoes nothing. Who is
        not named in a whole one is gone here too: where a numbering began anew, as at another agent after
        SIGHUP, its drains count long before RENUMBERED_MS. A worker that joined since comes back with the
        next newer list."""
        changed = self.unnamed(read, whole)
        for name, row in read.items():
            known = self.rows.get(name)
            if row is None or known is None or known == row:
                continue
            if row.info.status is not EndpointStatus.READY or row.started_at_ms > known.started_at_ms:
                changed[name] = row
        return self.change(read, changed, False)

    def change(self, read: Read, changed: dict[str, EndpointRow], whole: bool) -> MembershipChange:
        told: dict[EndpointStatus, list[str]] = {}
        for name, row in changed.items():
            health = row.info.status
            if is_news(self.rows.get(name), row):
                told.setdefault(health, []).append(name)
            if health is EndpointStatus.REMOVED:
                self.rows.pop(name, None)
            else:
                self.rows[name] = row
        rows = self.rows.values() if whole else changed.values()
        up = tuple(row for row in changed.values() if row.info.status is EndpointStatus.READY)
        return MembershipChange(
            EndpointsUpdated(whole, tuple(row.info for row in rows)),
            up,
            told,
            sum(row is None for row in read.values()),
        )

    # Reading

    def read(self, rows: list[Any]) -> Read:
        """By name; none where a row names a worker and can't be read. Of two the later start's counts."""
        found: Read = {}
        for n, row in enumerate(rows):
            try:
                name = row["instanceId"]
                if not isinstance(name, str) or not 0 < len(name) <= MOST_NAME:
                    raise ValueError("no id")
            except UNREADABLE:
                found[f"\x00{n}"] = None  # no name of a worker's
                continue
            try:
                one = self.row(name, row)
            except UNREADABLE:
                found.setdefault(name, None)
                continue
            other = found.get(name)
            found[name] = one if other is None else max(one, other, key=precedence)
        if rows and not any(found.values()):
            raise ValueError("no row of the list can be read")
        return found

    def row(self, name: str, row: dict[str, Any]) -> EndpointRow:
        health = STATUS_BY_LIFECYCLE[row["lifecycle"]]
        if health is not EndpointStatus.READY:
            return leaving(name, health, row.get("startedAtMs"))
        born, address = number(row["startedAtMs"]), row["hostPort"]
        if not ADDRESS.fullmatch(address) or int(address.rpartition(":")[2]) > 65535:
            raise ValueError("no address")
        entry = EndpointInfo(
            endpoint_id_of(name),
            self.names.zone_index(row["zone"]),
            int(row["cell"]),
            str(row["machineType"]),
            health,
            born or None,
            number(row["weight"]),
        )
        return EndpointRow(entry, address, born)


def rows_of(told: Any) -> list[Any]:
    rows = told["instances"]
    if not isinstance(rows, list):
        raise TypeError("instances is no list")
    return rows


def generation_of(told: dict[str, Any]) -> int | None:
    """None where the list has none that can be used."""
    generation = told.get("generation")
    if isinstance(generation, bool) or not isinstance(generation, int) or generation < 0:
        return None
    return generation


def number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise ValueError("not a number to count with")
    return float(value)


def leaving(name: str, health: EndpointStatus, born: Any = None) -> EndpointRow:
    """Needs nothing but its id and lifecycle."""
    try:
        start = number(born)
    except UNREADABLE:
        start = inf
    return EndpointRow(EndpointInfo(endpoint_id_of(name), 0, 0, "", health, None, 0.0), "", start)


def is_news(known: EndpointRow | None, row: EndpointRow) -> bool:
    """For the log: another health than before, or another start."""
    if known is None:
        return row.info.status is not EndpointStatus.REMOVED
    return known.info.status is not row.info.status or row.info.started_at_ms != known.info.started_at_ms


def precedence(row: EndpointRow) -> tuple[float, bool]:
    return row.started_at_ms, row.info.status is not EndpointStatus.READY


TABLE: dict[tuple[str, str], tuple[str, Callable[[Membership, Read, bool], MembershipChange]]] = {
    (WAITING, "newer"): (IN_STEP, Membership.adopt),
    (IN_STEP, "newer"): (IN_STEP, Membership.adopt),
    (IN_STEP, "older"): (BEHIND, Membership.heed),
    (BEHIND, "older"): (BEHIND, Membership.heed),
    (BEHIND, "changes"): (BEHIND, Membership.heed),  # in step again; its whole list is asked for next
    (BEHIND, "newer"): (IN_STEP, Membership.adopt),
    (BEHIND, "renumbered"): (IN_STEP, Membership.adopt),
}
