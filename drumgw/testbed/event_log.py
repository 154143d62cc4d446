"""What the stand-ins saw, one sighting a line: the judge and the reports read this and nothing else."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, TextIO

FORM = 1


class EventLog:
    """Sightings in the order of their times; in memory, as a day is bounded, and in a file if told."""

    def __init__(self, head: dict[str, Any], file: TextIO | None = None) -> None:
        self.head = {"form": FORM, **head}
        self.rows: list[dict[str, Any]] = []
        self.file = file
        if file is not None:
            file.write(line(self.head))

    def add(self, t: float, what: str, **fields: Any) -> None:
        row = {"t": round(t, 3), "what": what, **fields}
        self.rows.append(row)
        if self.file is not None:
            self.file.write(line(row))

    def text(self) -> Iterator[str]:
        yield line(self.head)
        yield from map(line, self.rows)


def line(row: dict[str, Any]) -> str:
    return json.dumps(row, separators=(",", ":"), sort_keys=True) + "\n"


class EventLogError(ValueError):
    """A file that is no record, or one of another form."""


def read_event_log(path: str) -> EventLog:
    try:
        with open(path, encoding="utf-8") as file:
            head = json.loads(file.readline())
            if head.pop("form", None) != FORM:
                raise EventLogError(f"{path}: not a record of form {FORM}")
            record = EventLog(head)
            record.rows = [json.loads(row) for row in file]
    except OSError as bad:
        raise EventLogError(f"{path}: {bad.strerror}") from bad
    except (ValueError, AttributeError) as bad:
        raise (
            bad if isinstance(bad, EventLogError) else EventLogError(f"{path}: not a record: {bad}")
        ) from bad
    return record
