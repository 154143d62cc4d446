"""`drumgw serve` and `drumgw check`: run a gateway from a configuration file, or check the file."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import click

from drumgw.cli.exit_codes import exit_with_error

if TYPE_CHECKING:
    from drumgw.config.gateway_file import GatewayFile

MAX_COUNTER_OUTAGE_S = 86400


@click.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option("--json-logs", is_flag=True, help="Write log lines as JSON objects, regardless of CONFIG.")
def serve(config: str, json_logs: bool) -> None:
    """Run one gateway from the configuration file CONFIG. SIGTERM stops it, SIGHUP reloads CONFIG."""
    from drumgw.cli.gateway_runner import run_gateway
    from drumgw.config.file_reader import FileError
    from drumgw.gateway.process_config import ConfigError

    try:
        run_gateway(config, json_logs)
    except (FileError, ConfigError) as error:
        exit_with_error(error)


@click.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option("--show", is_flag=True, help="Print the resulting start-up configuration as JSON.")
@click.option(
    "--lost",
    "counter_outage_s",
    type=click.FloatRange(0, MAX_COUNTER_OUTAGE_S),
    default=10.0,
    show_default=True,
    help="Length of a counter outage in seconds, for the quota bounds.",
)
@click.option(
    "--set", "gateways_per_customer", type=click.IntRange(1), help="Gateways per customer.  [default: all]"
)
def check(config: str, show: bool, counter_outage_s: float, gateways_per_customer: int | None) -> None:
    """Check the configuration file CONFIG. Each error is one line with the path to its key.

    For a valid file, print how far customers can exceed their quotas during an outage of the counter.
    """
    from drumgw.config.file_reader import FileError
    from drumgw.config.gateway_file import gateway_configuration, read_gateway_file
    from drumgw.model.settings_reader import SettingsError, read_settings

    try:
        file = read_gateway_file(config)
        configuration = gateway_configuration(file)
        read_settings(configuration["settings"])
    except (FileError, SettingsError) as error:
        exit_with_error(error)
    if show:
        click.echo(json.dumps(configuration, indent=1))
        return
    gateway = file.gateway
    click.echo(
        f"{config}: valid: {gateway.name} at {gateway.listen}, {len(file.product)} request class(es), "
        f"{len(file.plan)} plan(s), {gateway.gatekeepers} gateway(s)"
    )
    if gateway.counter is not None:
        gateway_count = min(gateways_per_customer or gateway.gatekeepers, gateway.gatekeepers)
        _print_quota_bounds(file, gateway_count, counter_outage_s)


def _print_quota_bounds(file: GatewayFile, gateway_count: int, counter_outage_s: float) -> None:
    from drumgw.config.quota_bounds import describe_bound, sending_bound

    for plan in file.plan:
        bound = sending_bound(plan, gateway_count, counter_outage_s)
        if bound is not None:
            click.echo(describe_bound(bound, gateway_count, counter_outage_s))
