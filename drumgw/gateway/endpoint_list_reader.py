"""Reads discovery's endpoint lists; the names of their fields are mapped here.

A row that says that an endpoint leaves needs its id and its lifecycle only: a drain must not be missed for a
field that nobody needs any more. A row that cannot be read is counted, and leaves its endpoint as it was.
"""

from __future__ import annotations

import hashlib
import re
from math import inf, isfinite
from typing import Any, NamedTuple

from drumgw.gateway.process_config import MAX_PORT
from drumgw.model.events import EndpointInfo, EndpointStatus
from drumgw.model.settings_reader import NameIndex

JsonObject = dict[str, Any]

STATUS_BY_LIFECYCLE = {
    "up": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.REMOVED,
}
ADDRESS_PATTERN = re.compile(r"[0-9A-Za-z._:\[\]-]{1,256}:[0-9]{1,5}")
MAX_NAME_CHARACTERS = 256
ENDPOINT_ID_BYTES = 6

UNREADABLE = (KeyError, TypeError, ValueError, ArithmeticError)
"""What a field that is missing, of the wrong type or out of range raises where it is read."""


class MalformedEndpointListError(ValueError):
    """Not an endpoint list; its text is one line."""


class EndpointRow(NamedTuple):
    """What is known of an endpoint: its last readable row."""

    info: EndpointInfo
    address: str
    """host:port; empty for an endpoint that leaves."""
    started_at_ms: float
    """The start that the row speaks of; infinite where the row of a leaving endpoint does not say."""


class EndpointList(NamedTuple):
    """A list as discovery sent it: all endpoints, or changes only."""

    generation: int | None
    """Number of this state of the list, growing; None where the list has none that can be used."""
    is_complete: bool
    """Whether endpoints that are not named have been removed."""
    rows: dict[str, EndpointRow | None]
    """By the endpoint's name; None where the row cannot be read."""
    nameless_rows: frozenset[int]
    """Positions of the rows that name no endpoint."""

    def unreadable_count(self) -> int:
        """Endpoints and rows that cannot be read."""
        return len(self.nameless_rows) + sum(row is None for row in self.rows.values())


def endpoint_id_of(name: str) -> int:
    """The endpoint's number, the same at every gateway: they rank the endpoints by it."""
    digest = hashlib.blake2b(name.encode("utf-8", "surrogatepass"), digest_size=ENDPOINT_ID_BYTES).digest()
    return int.from_bytes(digest, "big")


def departing_row(name: str, status: EndpointStatus, started_at: Any = None) -> EndpointRow:
    """The row of an endpoint that drains or is removed, of which no other field counts.

    Args:
        name: the endpoint's name.
        status: DRAINING or REMOVED.
        started_at: the start that is meant, as the list has it; may be missing or malformed.
    """
    try:
        started_at_ms = _read_number(started_at)
    except UNREADABLE:
        started_at_ms = inf
    info = EndpointInfo(
        endpoint_id_of(name),
        zone=0,
        cell=0,
        machine_type="",
        status=status,
        started_at_ms=None,
        weight=0.0,
    )
    return EndpointRow(info, "", started_at_ms)


class EndpointListReader:
    """Reads lists into `EndpointList`.

    Args:
        names: the index of zones; grows by zones that the settings do not name.
    """

    def __init__(self, names: NameIndex) -> None:
        self._names = names

    def read(self, raw: Any) -> EndpointList:
        """Reads a list from its JSON.

        Of two rows of one endpoint the later start's counts, and leaving goes before staying.

        Raises:
            MalformedEndpointListError: where it is no list, or no row of it can be read.
        """
        raw_rows = _raw_rows(raw)
        rows: dict[str, EndpointRow | None] = {}
        nameless_rows: set[int] = set()
        for position, raw_row in enumerate(raw_rows):
            try:
                name = _read_name(raw_row)
            except UNREADABLE:
                nameless_rows.add(position)
                continue
            try:
                row = self._read_row(name, raw_row)
            except UNREADABLE:
                rows.setdefault(name, None)
                continue
            other = rows.get(name)
            rows[name] = row if other is None else max(row, other, key=_precedence)
        if raw_rows and not any(rows.values()):
            raise MalformedEndpointListError("no row of the list can be read")
        return EndpointList(
            _read_generation(raw.get("generation")), bool(raw.get("reset")), rows, frozenset(nameless_rows)
        )

    def _read_row(self, name: str, raw: JsonObject) -> EndpointRow:
        status = STATUS_BY_LIFECYCLE[raw["lifecycle"]]
        if status is not EndpointStatus.READY:
            return departing_row(name, status, raw.get("startedAtMs"))
        started_at_ms = _read_number(raw["startedAtMs"])
        address = _read_address(raw["hostPort"])
        info = EndpointInfo(
            endpoint_id_of(name),
            zone=self._names.zone_index(raw["zone"]),
            cell=int(raw["cell"]),
            machine_type=str(raw["machineType"]),
            status=status,
            started_at_ms=started_at_ms or None,
            weight=_read_number(raw["weight"]),
        )
        return EndpointRow(info, address, started_at_ms)


def _raw_rows(raw: Any) -> list[Any]:
    if not isinstance(raw, dict):
        raise MalformedEndpointListError("not an object")
    if "instances" not in raw:
        raise MalformedEndpointListError("instances is missing")
    raw_rows = raw["instances"]
    if not isinstance(raw_rows, list):
        raise MalformedEndpointListError("instances is no list")
    return raw_rows


def _read_generation(raw: Any) -> int | None:
    is_number = isinstance(raw, int) and not isinstance(raw, bool)
    return raw if is_number and raw >= 0 else None


def _read_name(raw_row: Any) -> str:
    name = raw_row["instanceId"]
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARACTERS:
        raise ValueError("no id")
    return name


def _read_address(address: str) -> str:
    if not ADDRESS_PATTERN.fullmatch(address) or int(address.rpartition(":")[2]) > MAX_PORT:
        raise ValueError("no address")
    return address


def _read_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise ValueError("not a finite number")
    return float(value)


def _precedence(row: EndpointRow) -> tuple[float, bool]:
    is_departing = row.info.status is not EndpointStatus.READY
    return row.started_at_ms, is_departing
