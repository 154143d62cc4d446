"""Exit codes of the commands, and the way in which they report a fatal error."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import NoReturn

import click


class ExitCode(IntEnum):
    """Exit codes of all commands. EXIT_CODES_HELP and docs/configuration.md list them too."""

    DONE = 0
    RULE_VIOLATED = 1
    INVALID_INPUT = 2
    CANNOT_RUN = 3
    STOPPED = 130


EXIT_CODES_HELP = (
    "Exit codes: 0 success; 1 a rule was violated, or a run is invalid; 2 invalid input; "
    "3 the scenario could not be run; 130 stopped by a signal."
)


def exit_with_error(error: object, code: ExitCode = ExitCode.INVALID_INPUT) -> NoReturn:
    """Prints an error to standard error and exits.

    An error of several lines has no prefix "drumgw: ", as each of its lines starts with the file's path.
    """
    message = str(error)
    click.echo(message if "\n" in message else f"drumgw: {message}", err=True)
    sys.exit(code)
