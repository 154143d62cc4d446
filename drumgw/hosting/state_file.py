"""The state file: written whole beside the old one, synced, renamed; the one before it stays as the last.

{"drumgw state": 1, "bytes": N, "sha256": "..."}
{...}
"""

from __future__ import annotations

import hashlib
import json
import os
import pathlib
from typing import Any

VERSION, MOST_BYTES, MAX_HEAD_BYTES = 1, 64 * 2**20, 4096
MARK = "drumgw state"


class StateFileError(ValueError):
    """A state file that is not used; its text is one line."""


class Disk:
    """The few calls that a write is made of; tests end the process at each of them."""

    def write(self, path: pathlib.Path, data: bytes) -> None:
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def link(self, old: pathlib.Path, new: pathlib.Path) -> None:
        os.link(old, new)

    def replace(self, old: pathlib.Path, new: pathlib.Path) -> None:
        os.replace(old, new)

    def remove(self, path: pathlib.Path) -> None:
        path.unlink(missing_ok=True)

    def sync(self, folder: pathlib.Path) -> None:
        number = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(number)
        finally:
            os.close(number)


class StateFile:
    def __init__(self, folder: str, disk: Disk | None = None) -> None:
        self.folder, self.disk = pathlib.Path(folder), disk or Disk()
        self.path = self.folder / "tenants.state"
        self.last = self.folder / "tenants.state.last"

    def save(self, content: Any) -> None:
        """After a failure at any point the file, or the one before it, is whole."""
        text = json.dumps(content, separators=(",", ":")).encode()
        head = {MARK: VERSION, "bytes": len(text), "sha256": hashlib.sha256(text).hexdigest()}
        fresh, spare = self.path.with_suffix(".new"), self.path.with_suffix(".spare")
        self.disk.write(fresh, json.dumps(head).encode() + b"\n" + text)
        if self.path.exists():
            self.disk.remove(spare)
            self.disk.link(self.path, spare)
            self.disk.replace(spare, self.last)
        self.disk.replace(fresh, self.path)
        self.disk.sync(self.folder)

    def load(self) -> tuple[Any, str | None]:
        """The content, and a line where it is not that of the file itself. None: there is no state yet."""
        if not self.path.exists() and not self.last.exists():
            return None, None
        try:
            return read(self.path), None
        except StateFileError as bad:
            if "newer" in str(bad) or not self.last.exists():
                raise
            return read(self.last), f"{bad}; the last good state stands"


def read(path: pathlib.Path) -> Any:
    try:
        with open(path, "rb") as file:
            line, text = file.readline(MAX_HEAD_BYTES), file.read(MOST_BYTES + 1)
    except OSError as bad:
        raise StateFileError(f"{path}: {bad.strerror or bad}") from bad
    try:
        head = json.loads(line)
        version, size, digest = head[MARK], head["bytes"], head["sha256"]
    except (ValueError, KeyError, TypeError) as bad:
        raise StateFileError(f"{path}: no state file") from bad
    if version != VERSION:
        newer = isinstance(version, int) and version > VERSION
        raise StateFileError(f"{path}: of {'a newer' if newer else 'an unknown'} version, {version!r}")
    if len(text) != size or hashlib.sha256(text).hexdigest() != digest:
        raise StateFileError(f"{path}: damaged")
    try:
        return json.loads(text)
    except ValueError as bad:
        raise StateFileError(f"{path}: damaged") from bad
