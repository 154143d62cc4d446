"""Parses the endpoint lists that discovery sends; the names of their fields are mapped here.

A row of an endpoint that is draining or removed needs an id and a lifecycle only: a malformed field that has
no further use must not hide a drain. Other malformed rows are counted, and their endpoints keep their state.
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

FIELD_ERRORS = (KeyError, TypeError, ValueError, ArithmeticError)
"""Raised when a field is read that is missing, of the wrong type or out of range."""


class MalformedEndpointListError(ValueError):
    """The JSON is not a valid endpoint list; the message is one line."""


class EndpointRow(NamedTuple):
    """The parsed row of an endpoint."""

    info: EndpointInfo
    address: str
    """host:port; empty if the endpoint is draining or removed."""
    started_at_ms: float
    """When the endpoint process that the row refers to was started. Infinite if the row of a draining or
    removed endpoint does not have it, so that the row takes precedence over other rows of the endpoint."""


class EndpointList(NamedTuple):
    """A parsed list: all endpoints, or changes only."""

    generation: int | None
    """Version number of the list, increasing; None if it is missing or malformed."""
    is_complete: bool
    """Whether endpoints that the list omits have been removed."""
    rows: dict[str, EndpointRow | None]
    """By endpoint name; None if the row is malformed."""
    nameless_rows: frozenset[int]
    """Positions of the rows without a valid endpoint name."""

    def malformed_count(self) -> int:
        """Returns the number of endpoints with malformed rows, plus the rows without a valid name."""
        return len(self.nameless_rows) + sum(row is None for row in self.rows.values())


def endpoint_id_of(name: str) -> int:
    """Derives an endpoint's id from its name.

    The id is the same at every gateway, so that all gateways rank the endpoints alike.
    """
    digest = hashlib.blake2b(name.encode("utf-8", "surrogatepass"), digest_size=ENDPOINT_ID_BYTES).digest()
    return int.from_bytes(digest, "big")


def departing_row(name: str, status: EndpointStatus, started_at: Any = None) -> EndpointRow:
    """Returns a row for an endpoint that is draining or removed; its other fields are left empty.

    Args:
        name: the endpoint's name.
        status: DRAINING or REMOVED.
        started_at: the raw start time of the endpoint process; may be missing or malformed.
    """
    try:
        started_at_ms = _read_number(started_at)
    except FIELD_ERRORS:
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
    """Parses lists into `EndpointList`.

    Args:
        names: the index of zones; zones that the settings do not name are added to it.
    """

    def __init__(self, names: NameIndex) -> None:
        self._names = names

    def read(self, raw: Any) -> EndpointList:
        """Parses a decoded JSON list.

        If an endpoint has several rows, the one with the latest start is used. Among rows with the same
        start, draining or removed takes precedence over ready.

        Raises:
            MalformedEndpointListError: the JSON has another structure, or all of its rows are malformed.
        """
        raw_rows = _raw_rows(raw)
        rows: dict[str, EndpointRow | None] = {}
        nameless_rows: set[int] = set()
        for position, raw_row in enumerate(raw_rows):
            try:
                name = _read_name(raw_row)
            except FIELD_ERRORS:
                nameless_rows.add(position)
                continue
            try:
                row = self._read_row(name, raw_row)
            except FIELD_ERRORS:
                rows.setdefault(name, None)
                continue
            other = rows.get(name)
            rows[name] = row if other is None else max(row, other, key=_precedence)
        if raw_rows and not any(rows.values()):
            raise MalformedEndpointListError("all rows of the list are malformed")
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
        raise MalformedEndpointListError("expected a JSON object")
    if "instances" not in raw:
        raise MalformedEndpointListError("instances is missing")
    raw_rows = raw["instances"]
    if not isinstance(raw_rows, list):
        raise MalformedEndpointListError("instances: expected an array")
    return raw_rows


def _read_generation(raw: Any) -> int | None:
    is_number = isinstance(raw, int) and not isinstance(raw, bool)
    return raw if is_number and raw >= 0 else None


def _read_name(raw_row: Any) -> str:
    name = raw_row["instanceId"]
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARACTERS:
        raise ValueError("instanceId has an invalid length or type")
    return name


def _read_address(address: str) -> str:
    if not ADDRESS_PATTERN.fullmatch(address) or int(address.rpartition(":")[2]) > MAX_PORT:
        raise ValueError("expected host:port")
    return address


def _read_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise ValueError("expected a finite number")
    return float(value)


def _precedence(row: EndpointRow) -> tuple[float, bool]:
    is_departing = row.info.status is not EndpointStatus.READY
    return row.started_at_ms, is_departing
