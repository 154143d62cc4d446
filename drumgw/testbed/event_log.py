"""The event log of a run, in memory and as a file of JSON lines, the input of oracle and reports.

The first line is the header of the run. Each following line is one event, in chronological order.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any, TextIO, get_type_hints

from drumgw.testbed.logged_events import EVENT_NAMES, FIELD_NAMES, ClockKind, LoggedEvent

FORMAT_VERSION = 1
EVENT_KEY = "what"
Row = dict[str, Any]


class EventLogError(ValueError):
    """A file is not an event log, or has another format version. The message is one line."""


@dataclass(frozen=True, slots=True)
class RunHeader:
    """Identifies a run: the scenario's name, the seed and the kind of clock."""

    scenario: str | None = None
    seed: int | None = None
    clock: ClockKind | None = None

    def to_row(self) -> Row:
        """Returns the header as the first line of the file, under the file's names."""
        return {"form": FORMAT_VERSION, "day": self.scenario, "seed": self.seed, "clock": self.clock}

    @classmethod
    def from_row(cls, row: Row) -> RunHeader:
        """Parses the first line of the file.

        Raises:
            ValueError: if the clock is unknown.
        """
        clock = row.get("clock")
        return cls(row.get("day"), row.get("seed"), ClockKind(clock) if clock is not None else None)


class EventLog:
    """Events in chronological order, also written to a file if one is given."""

    def __init__(self, header: RunHeader, file: TextIO | None = None) -> None:
        self.header = header
        self.events: list[LoggedEvent] = []
        self._file = file
        self._write(header.to_row())

    def add(self, event: LoggedEvent) -> None:
        """Appends an event and writes it to the file, if there is one."""
        self.events.append(event)
        if self._file is not None:
            self._write(event_to_row(event))

    def lines(self) -> Iterator[str]:
        """Yields the lines of the file, the header first."""
        yield _to_line(self.header.to_row())
        for event in self.events:
            yield _to_line(event_to_row(event))

    def _write(self, row: Row) -> None:
        if self._file is not None:
            self._file.write(_to_line(row))


class _EventFormat:
    """Serializes and parses events of one type."""

    def __init__(self, event_type: type[LoggedEvent], name: str) -> None:
        self.name = name
        self._type = event_type
        self._keys = {field.name: FIELD_NAMES.get(field.name, field.name) for field in fields(event_type)}
        self._enums: dict[str, Callable[[Any], Any]] = {
            attribute: hint
            for attribute, hint in get_type_hints(event_type).items()
            if isinstance(hint, type) and issubclass(hint, Enum)
        }

    def to_row(self, event: LoggedEvent) -> Row:
        row: Row = {EVENT_KEY: self.name}
        for attribute, key in self._keys.items():
            value = getattr(event, attribute)
            if value is not None:
                row[key] = value
        return row

    def from_row(self, row: Row) -> LoggedEvent:
        values = {attribute: row[key] for attribute, key in self._keys.items() if key in row}
        for attribute, enum_type in self._enums.items():
            values[attribute] = enum_type(values[attribute])
        return self._type(**values)


_FORMAT_BY_TYPE = {event_type: _EventFormat(event_type, name) for event_type, name in EVENT_NAMES.items()}
_FORMAT_BY_NAME = {event_format.name: event_format for event_format in _FORMAT_BY_TYPE.values()}


def event_to_row(event: LoggedEvent) -> Row:
    """Returns an event under the file's names, without the fields that are None."""
    return _FORMAT_BY_TYPE[type(event)].to_row(event)


def event_from_row(row: Row) -> LoggedEvent | None:
    """Parses an event; returns None if its type is unknown to this version.

    Raises:
        KeyError, TypeError, ValueError: if a value is unknown or a field is missing.
    """
    event_format = _FORMAT_BY_NAME.get(row[EVENT_KEY])
    return event_format.from_row(row) if event_format is not None else None


def read_event_log(path: str) -> EventLog:
    """Reads the event log of a run. A log that lacks its last events is accepted.

    Raises:
        EventLogError: if the file cannot be read or is not an event log of this format version.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return _read(path, file)
    except OSError as error:
        raise EventLogError(f"{path}: {error.strerror}") from error
    except EventLogError:
        raise
    except (ValueError, AttributeError, KeyError, TypeError) as error:
        raise EventLogError(f"{path}: not an event log: {error}") from error


def _read(path: str, file: TextIO) -> EventLog:
    header_row = json.loads(file.readline())
    if header_row.get("form") != FORMAT_VERSION:
        raise EventLogError(f"{path}: not an event log of format {FORMAT_VERSION}")
    log = EventLog(RunHeader.from_row(header_row))
    events = (event_from_row(json.loads(line)) for line in file)
    log.events = [event for event in events if event is not None]
    return log


def _to_line(row: Row) -> str:
    return json.dumps(row, separators=(",", ":"), sort_keys=True) + "\n"
