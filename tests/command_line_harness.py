"""Test case that runs the command line on files in a temporary folder."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from click.testing import CliRunner, Result

from drumgw.cli.__main__ import main

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
GATEWAY_FILE = EXAMPLES / "drumgw.toml"


class CommandLineCase(unittest.TestCase):
    """A test with a temporary folder for the files that commands read and write."""

    def setUp(self) -> None:
        """Creates the folder; it is removed after the test."""
        self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))

    def write_file(self, text: str, name: str = "file.toml") -> str:
        """Writes a file to the folder; returns its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def drumgw(self, *arguments: str) -> Result:
        """Runs a `drumgw` command; the output of the result includes standard error."""
        return CliRunner().invoke(main, arguments)
