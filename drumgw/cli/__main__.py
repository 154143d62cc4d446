"""drumgw: the command line. Exit codes: 0 done; 1 a rule was broken, or a run is invalid; 2 unusable input;
3 the lab could not run the day; 130 stopped by a signal.
"""

from __future__ import annotations

import sys
from importlib.metadata import PackageNotFoundError, version
from typing import NoReturn

import click

from drumgw.cli.tenant_commands import tenants
from drumgw.config.file_reader import FileError

BROKEN, UNUSABLE, CANNOT, STOPPED = 1, 2, 3, 130


def installed() -> str:
    try:
        return version("drumgw")
    except PackageNotFoundError:
        return "not installed"


def refuse(what: object, code: int = UNUSABLE) -> NoReturn:
    click.echo(f"drumgw: {what}" if "\n" not in str(what) else str(what), err=True)
    sys.exit(code)


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, epilog=__doc__.partition(". ")[2])
@click.version_option(installed(), prog_name="drumgw")
def main() -> None:
    """An admission gateway for services sold by plan."""


@main.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option("--json-logs", is_flag=True, help="Log lines as JSON objects, whatever the file says.")
def serve(config: str, json_logs: bool) -> None:
    """Run one gatekeeper as CONFIG, an operator's file, says. SIGTERM ends it, SIGHUP reads it again."""
    from drumgw.cli.serve_command import run
    from drumgw.gateway.process_config import ConfigError

    try:
        sys.exit(run(config, json_logs))
    except (FileError, ConfigError) as bad:
        refuse(bad)


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--check", "only_check", is_flag=True, help="Only say whether FILE is usable.")
def host(file: str, only_check: bool) -> None:
    """Run a host of many tenants as FILE says. SIGTERM ends it; SIGHUP reads its tokens again."""
    from drumgw.cli.host_command import check, run
    from drumgw.gateway.process_config import ConfigError

    try:
        if only_check:
            click.echo(check(file))
        else:
            run(file)
    except (FileError, ConfigError) as bad:
        refuse(bad)


@main.command()
def token() -> None:
    """Make an administrator's token: the first line is shown once, the second is for the host's file."""
    from drumgw.hosting.authentication import create_token

    text, digest = create_token()
    click.echo(f"token:  {text}\nsha256: {digest}")


@main.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option("--show", is_flag=True, help="Print the configuration that it makes, as JSON.")
@click.option(
    "--lost",
    type=click.FloatRange(0, 86400),
    default=10.0,
    show_default=True,
    help="Seconds for which the counter is lost, for the bounds on quotas.",
)
@click.option("--set", "spread", type=click.IntRange(1), help="Gatekeepers of a customer.  [default: all]")
def check(config: str, show: bool, lost: float, spread: int | None) -> None:
    """Check CONFIG, an operator's file: every mistake in it, each on a line with the path to its key.

    Of a usable one it says how far quotas can be passed while the counter is lost.
    """
    import json

    from drumgw.config.gateway_file import gateway_configuration, read_gateway_file
    from drumgw.config.quota_bounds import describe_bound, sending_bound
    from drumgw.model.settings_reader import SettingsError, read_settings

    try:
        office = read_gateway_file(config)
        told = gateway_configuration(office)
        read_settings(told["settings"])
    except (FileError, SettingsError) as bad:
        refuse(bad)
    if show:
        click.echo(json.dumps(told, indent=1))
    else:
        g = office.gateway
        click.echo(
            f"{config}: usable: {g.name} at {g.listen}, {len(office.product)} product(s), "
            f"{len(office.plan)} plan(s), {g.gatekeepers} gatekeeper(s)"
        )
        if g.counter is not None:
            gates = min(spread or g.gatekeepers, g.gatekeepers)
            for plan in office.plan:
                if (b := sending_bound(plan, gates, lost)) is not None:
                    click.echo(describe_bound(b, gates, lost))


@main.group()
def lab() -> None:
    """The laboratory: play a day against gatekeepers, judge it, report."""


@lab.command("run")
@click.argument("day", type=click.Path(dir_okay=False))
@click.option("--seed", type=click.IntRange(0, 2**63), default=1, show_default=True)
@click.option(
    "--virtual",
    is_flag=True,
    help="On a virtual clock in this process, instead of real gatekeepers on " "sockets.",
)
@click.option(
    "--out", type=click.Path(file_okay=False), help="Where to leave the run.  [default: runs/NAME-SEED]"
)
@click.option("--quiet", is_flag=True, help="Print nothing but broken rules.")
def lab_run(day: str, seed: int, virtual: bool, out: str | None, quiet: bool) -> None:
    """Play DAY, a day file, with real gatekeepers on loopback, or on a virtual clock."""
    from drumgw.testbed.report import rules, text
    from drumgw.testbed.runner import Stopped, run_day
    from drumgw.testbed.scenario import read_scenario

    try:
        name = read_scenario(day).name
        found = run_day(day, seed, out or f"runs/{name}-{seed}", virtual)
    except FileError as bad:
        refuse(bad)
    except Stopped:
        refuse("stopped; no gatekeeper was left behind", STOPPED)
    except (RuntimeError, OSError) as cannot:
        refuse(cannot, CANNOT)
    click.echo("\n".join(rules([found])) if quiet else text([found]))
    sys.exit(BROKEN if found["breaches"] or not found["valid"] else 0)


@lab.command("report")
@click.argument("runs", nargs=-1, required=True, type=click.Path(exists=True, file_okay=False))
@click.option(
    "--against",
    multiple=True,
    type=click.Path(exists=True, file_okay=False),
    help="A run to set beside them; may be given several times.",
)
@click.option("--json", "as_text", is_flag=True, help="The figures for programs.")
@click.option("--plots", type=click.Path(file_okay=False), help="Draw plots into this folder.")
@click.option("--form", type=click.Choice(["svg", "png"]), default="svg", show_default=True)
def lab_report(
    runs: tuple[str, ...], against: tuple[str, ...], as_text: bool, plots: str | None, form: str
) -> None:
    """Report on RUNS, folders that `lab run` left: together with their spread, or beside others."""
    from drumgw.testbed.event_log import EventLogError
    from drumgw.testbed.report import as_json, beside, read_run, text

    try:
        found, others = [read_run(r) for r in runs], [read_run(r) for r in against]
    except (FileError, EventLogError) as bad:
        refuse(bad)
    if as_text:
        click.echo(as_json([*found, *others]))
    else:
        click.echo(beside(found, others) if others else text(found))
    if plots is not None:
        from drumgw.testbed.plots import plot

        for path in plot(found, plots, form):
            click.echo(f"drawn: {path}")
    sys.exit(BROKEN if any(run["breaches"] or not run["valid"] for run in found) else 0)


main.add_command(tenants)

if __name__ == "__main__":
    main()
