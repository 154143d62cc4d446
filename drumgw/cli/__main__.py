"""The `drumgw` command.

Subcommands import their dependencies when called, so that `drumgw --help` loads neither gateway nor testbed.
"""

from __future__ import annotations

from importlib.metadata import PackageNotFoundError, version

import click

from drumgw.cli.exit_codes import EXIT_CODES_HELP
from drumgw.cli.gateway_commands import check, serve
from drumgw.cli.host_commands import host, token
from drumgw.cli.lab_commands import lab
from drumgw.cli.tenant_commands import tenants


def installed_version() -> str:
    """Returns the version of the installed package; "not installed" when run from a source tree."""
    try:
        return version("drumgw")
    except PackageNotFoundError:
        return "not installed"


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, epilog=EXIT_CODES_HELP)
@click.version_option(installed_version(), prog_name="drumgw")
def main() -> None:
    """An admission gateway for services sold by plan."""


for command in (serve, host, token, check, lab, tenants):
    main.add_command(command)

if __name__ == "__main__":
    main()
