"""The state file: written beside the old one, synced, renamed; the one before stays as the last good copy.

Two lines of JSON, a header with the version, length and checksum of the second, and the content:

    {"drumgw state": 1, "bytes": N, "sha256": "..."}
    {...}
"""

from __future__ import annotations

import hashlib
import json
import os
import pathlib
from dataclasses import dataclass
from typing import Any

VERSION = 1
VERSION_KEY = "drumgw state"
MAX_CONTENT_BYTES = 64 * 2**20
MAX_HEADER_BYTES = 4096


class StateFileError(ValueError):
    """A state file that is not used; its text is one line."""


class NewerVersionError(StateFileError):
    """A state file of a later release: an older copy of it must not take its place."""


@dataclass(frozen=True)
class LoadedState:
    """What was read.

    Attributes:
        content: as it was given to save.
        warning: a line that says why it is the last good copy's; None where it is the file's own.
    """

    content: Any
    warning: str | None = None


class FileSystem:
    """The few calls that a write is made of; tests end the process at each of them."""

    def write(self, path: pathlib.Path, data: bytes) -> None:
        """Writes a file and syncs it."""
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def link(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Gives a file a second name."""
        os.link(source, target)

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Renames a file over another, in one step."""
        os.replace(source, target)

    def remove(self, path: pathlib.Path) -> None:
        """Removes a file, if it is there."""
        path.unlink(missing_ok=True)

    def sync(self, folder: pathlib.Path) -> None:
        """Makes the renames in a folder durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class StateFile:
    """A folder's state file and its last good copy."""

    def __init__(self, folder: str, file_system: FileSystem | None = None) -> None:
        self.folder = pathlib.Path(folder)
        self.path = self.folder / "tenants.state"
        self.last_good_path = self.folder / "tenants.state.last"
        self._file_system = file_system or FileSystem()

    def save(self, content: Any) -> None:
        """Writes the content; raises OSError where the disk does.

        Guards against a process that ends at any point: until the last rename the old file has its name, and
        it has a second one before that, so one complete file is always found.
        """
        new_path = self.path.with_suffix(".new")
        spare_path = self.path.with_suffix(".spare")
        self._file_system.write(new_path, _encode(content))
        if self.path.exists():
            self._file_system.remove(spare_path)
            self._file_system.link(self.path, spare_path)
            self._file_system.replace(spare_path, self.last_good_path)
        self._file_system.replace(new_path, self.path)
        self._file_system.sync(self.folder)

    def load(self) -> LoadedState | None:
        """Reads the file, or its last good copy where the file is damaged; None where there is neither.

        Raises:
            NewerVersionError: a later release wrote the file.
            StateFileError: the file is damaged and there is no usable copy.
        """
        if not self.path.exists() and not self.last_good_path.exists():
            return None
        try:
            return LoadedState(_read(self.path))
        except NewerVersionError:
            raise
        except StateFileError as error:
            if not self.last_good_path.exists():
                raise
            return LoadedState(_read(self.last_good_path), f"{error}; the last good state stands")


def _encode(content: Any) -> bytes:
    text = json.dumps(content, separators=(",", ":")).encode()
    header = {VERSION_KEY: VERSION, "bytes": len(text), "sha256": hashlib.sha256(text).hexdigest()}
    return json.dumps(header).encode() + b"\n" + text


def _read(path: pathlib.Path) -> Any:
    try:
        with open(path, "rb") as file:
            header_line = file.readline(MAX_HEADER_BYTES)
            text = file.read(MAX_CONTENT_BYTES + 1)
    except OSError as error:
        raise StateFileError(f"{path}: {error.strerror or error}") from error
    _check_header(path, header_line, text)
    try:
        return json.loads(text)
    except ValueError as error:
        raise StateFileError(f"{path}: damaged") from error


def _check_header(path: pathlib.Path, header_line: bytes, text: bytes) -> None:
    try:
        header = json.loads(header_line)
        version = header[VERSION_KEY]
        size = header["bytes"]
        digest = header["sha256"]
    except (ValueError, KeyError, TypeError) as error:
        raise StateFileError(f"{path}: no state file") from error
    if version != VERSION:
        if isinstance(version, int) and version > VERSION:
            raise NewerVersionError(f"{path}: of a newer version, {version!r}")
        raise StateFileError(f"{path}: of an unknown version, {version!r}")
    if len(text) != size or hashlib.sha256(text).hexdigest() != digest:
        raise StateFileError(f"{path}: damaged")
