"""`drumgw host` and `drumgw token`: run a host of many tenants, and create tokens for its API."""

from __future__ import annotations

import click

from drumgw.cli.exit_codes import exit_with_error


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--check", "only_check", is_flag=True, help="Check FILE and exit.")
def host(file: str, only_check: bool) -> None:
    """Run a host of many tenants from its configuration FILE. SIGTERM stops it, SIGHUP reloads tokens."""
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
    """Create an administrator's token. It is shown only now; put its hash in the host file."""
    from drumgw.hosting.authentication import generate_token

    text, digest = generate_token()
    click.echo(f"token:  {text}\nsha256: {digest}")
