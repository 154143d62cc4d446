"""Runs the command line in a test's own folder."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from click.testing import CliRunner, Result

from drumgw.cli.__main__ import main

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
GATEWAY_FILE = EXAMPLES / "drumgw.toml"


class CommandLineCase(unittest.TestCase):
    """A test with a folder for the files that commands read and write."""

    def setUp(self) -> None:
        """Makes the folder."""
        self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))

    def write_file(self, text: str, name: str = "file.toml") -> str:
        """Writes a file into the folder; returns its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def drumgw(self, *arguments: str) -> Result:
        """Runs a command; its output has standard error too."""
        return CliRunner().invoke(main, arguments)
