"""How a command ends: its exit code, and the message of one that cannot do its work."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import NoReturn

import click


class ExitCode(IntEnum):
    """The exit codes of all commands; the help text and docs/configuration.md name them too."""

    DONE = 0
    RULE_BROKEN = 1
    UNUSABLE_INPUT = 2
    CANNOT_RUN = 3
    STOPPED = 130


EXIT_CODES_HELP = (
    "Exit codes: 0 done; 1 a rule was broken, or a run is invalid; 2 unusable input; "
    "3 the scenario could not be run; 130 stopped by a signal."
)


def exit_with_error(error: object, code: ExitCode = ExitCode.UNUSABLE_INPUT) -> NoReturn:
    """Prints an error to standard error and ends; an error of several lines names its file in each."""
    message = str(error)
    click.echo(message if "\n" in message else f"drumgw: {message}", err=True)
    sys.exit(code)
