"""drumgw host, drumgw token: many tenants in one process, and the tokens of their administrators."""

from __future__ import annotations

import click

from drumgw.cli.exit_codes import exit_with_error


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--check", "only_check", is_flag=True, help="Only say whether FILE is usable.")
def host(file: str, only_check: bool) -> None:
    """Run a host of many tenants as FILE says. SIGTERM ends it; SIGHUP reads its tokens again."""
    from drumgw.cli.host_runner import describe_host_file, run_host
    from drumgw.config.file_reader import FileError
    from drumgw.gateway.process_config import ConfigError

    try:
        if only_check:
            click.echo(describe_host_file(file))
        else:
            run_host(file)
    except (FileError, ConfigError) as error:
        exit_with_error(error)


@click.command()
def token() -> None:
    """Make an administrator's token: the first line is shown once, the second is for the host's file."""
    from drumgw.hosting.authentication import create_token

    text, digest = create_token()
    click.echo(f"token:  {text}\nsha256: {digest}")
