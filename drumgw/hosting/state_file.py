"""Reads and writes the state file atomically, keeping the previous version as the last good copy.

The file consists of two lines of JSON: a header with the format version and the content's length and
checksum, and the content:

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

FORMAT_VERSION = 1
VERSION_KEY = "drumgw state"
MAX_CONTENT_BYTES = 64 * 2**20
MAX_HEADER_BYTES = 4096


class StateFileError(ValueError):
    """A state file cannot be used; the message is a single line."""


class NewerVersionError(StateFileError):
    """A later release wrote the state file: the older last good copy must not be used in its place."""


@dataclass(frozen=True)
class LoadedState:
    """The result of loading the state.

    Attributes:
        content: the value that was passed to StateFile.save.
        warning: a single line that says why the last good copy was used; None if the file itself was.
    """

    content: Any
    warning: str | None = None


class FileSystem:
    """The file system calls that a save consists of; tests replace them to interrupt a save at each call."""

    def write(self, path: pathlib.Path, data: bytes) -> None:
        """Writes a file and flushes it to disk (fsync)."""
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def link(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Creates a hard link to a file."""
        os.link(source, target)

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Atomically renames a file, replacing the target."""
        os.replace(source, target)

    def remove(self, path: pathlib.Path) -> None:
        """Removes a file if it exists."""
        path.unlink(missing_ok=True)

    def sync(self, folder: pathlib.Path) -> None:
        """Flushes the renames in a folder to disk (fsync)."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class StateFile:
    """The state file of a folder, and its last good copy."""

    def __init__(self, folder: str, file_system: FileSystem | None = None) -> None:
        self.folder = pathlib.Path(folder)
        self.path = self.folder / "tenants.state"
        self.last_good_path = self.folder / "tenants.state.last"
        self._file_system = file_system or FileSystem()

    def save(self, content: Any) -> None:
        """Replaces the stored content; raises OSError if that fails.

        The process may be killed at any point: the old file keeps its name until the new one is renamed over
        it, and has become the last good copy by then, so a complete file always exists.
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
        """Reads the file, or the last good copy if the file is missing or damaged; None if neither exists.

        Raises:
            NewerVersionError: a later release wrote the file.
            StateFileError: the file is missing or damaged, and so is the last good copy.
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
            return LoadedState(_read(self.last_good_path), f"{error}; using the last good copy")


def _encode(content: Any) -> bytes:
    text = json.dumps(content, separators=(",", ":")).encode()
    header = {VERSION_KEY: FORMAT_VERSION, "bytes": len(text), "sha256": hashlib.sha256(text).hexdigest()}
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
        raise StateFileError(f"{path}: damaged, content is not JSON") from error


def _check_header(path: pathlib.Path, header_line: bytes, text: bytes) -> None:
    try:
        header = json.loads(header_line)
        version = header[VERSION_KEY]
        size = header["bytes"]
        digest = header["sha256"]
    except (ValueError, KeyError, TypeError) as error:
        raise StateFileError(f"{path}: not a state file") from error
    if version != FORMAT_VERSION:
        if isinstance(version, int) and version > FORMAT_VERSION:
            raise NewerVersionError(f"{path}: has the format of a newer version, {version!r}")
        raise StateFileError(f"{path}: has an unknown format version, {version!r}")
    if len(text) != size or hashlib.sha256(text).hexdigest() != digest:
        raise StateFileError(f"{path}: damaged, length or checksum does not match the header")
