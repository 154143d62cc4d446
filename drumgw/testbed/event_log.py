"""The event log of a run: everything that oracle and reports go by, in memory and in a file of JSON lines.

The first line is the run's header; each further line is one event, in the order of their times.
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
    """A file that is no event log, or one of another format; the text is one line."""


@dataclass(frozen=True, slots=True)
class RunHeader:
    """What a run was: the scenario's name, the seed and the kind of clock."""

    scenario: str | None = None
    seed: int | None = None
    clock: ClockKind | None = None

    def to_row(self) -> Row:
        """The file's first line."""
        return {"form": FORMAT_VERSION, "day": self.scenario, "seed": self.seed, "clock": self.clock}

    @classmethod
    def from_row(cls, row: Row) -> RunHeader:
        """Reads the file's first line.

        Raises:
            ValueError: where the clock is unknown.
        """
        clock = row.get("clock")
        return cls(row.get("day"), row.get("seed"), ClockKind(clock) if clock is not None else None)


class EventLog:
    """Events in the order of their times, also written to a file if there is one."""

    def __init__(self, header: RunHeader, file: TextIO | None = None) -> None:
        self.header = header
        self.events: list[LoggedEvent] = []
        self._file = file
        self._write(header.to_row())

    def add(self, event: LoggedEvent) -> None:
        """Appends an event."""
        self.events.append(event)
        if self._file is not None:
            self._write(event_to_row(event))

    def lines(self) -> Iterator[str]:
        """The lines of the file, header first."""
        yield _to_line(self.header.to_row())
        for event in self.events:
            yield _to_line(event_to_row(event))

    def _write(self, row: Row) -> None:
        if self._file is not None:
            self._file.write(_to_line(row))


class _EventFormat:
    """How one type of event is written and read."""

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
    """An event under the file's names; fields that are None are left out."""
    return _FORMAT_BY_TYPE[type(event)].to_row(event)


def event_from_row(row: Row) -> LoggedEvent | None:
    """An event from the file's names; None for a kind that this version does not know.

    Raises:
        KeyError, TypeError, ValueError: where a value is unknown or a field is missing.
    """
    event_format = _FORMAT_BY_NAME.get(row[EVENT_KEY])
    return event_format.from_row(row) if event_format is not None else None


def read_event_log(path: str) -> EventLog:
    """Reads the log of a run, complete or cut off.

    Raises:
        EventLogError: where the file cannot be read or is no event log of this format.
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
