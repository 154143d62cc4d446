"""`drumgw lab`: runs scenarios against gateways in the testbed, and reports on the runs."""

from __future__ import annotations

import sys
from typing import Any

import click

from drumgw.cli.exit_codes import ExitCode, exit_with_error

MAX_SEED = 2**63


@click.group()
def lab() -> None:
    """Run scenarios in the testbed, check the rules, and report."""


@lab.command("run")
@click.argument("scenario", type=click.Path(dir_okay=False))
@click.option("--seed", type=click.IntRange(0, MAX_SEED), default=1, show_default=True)
@click.option(
    "--virtual",
    is_flag=True,
    help="Run on a virtual clock in this process, instead of with real gateways on sockets.",
)
@click.option(
    "--out", type=click.Path(file_okay=False), help="Folder for the run's files.  [default: runs/NAME-SEED]"
)
@click.option("--quiet", is_flag=True, help="Print rule violations only.")
def run_scenario(scenario: str, seed: int, virtual: bool, out: str | None, quiet: bool) -> None:
    """Run the scenario file SCENARIO with real gateways on loopback, or on a virtual clock."""
    from drumgw.config.file_reader import FileError
    from drumgw.testbed import runner
    from drumgw.testbed.report import format_runs, violation_lines
    from drumgw.testbed.runner import RunStoppedError
    from drumgw.testbed.scenario import read_scenario

    try:
        name = read_scenario(scenario).name
        figures = runner.run_scenario(scenario, seed, out or f"runs/{name}-{seed}", virtual)
    except FileError as error:
        exit_with_error(error)
    except RunStoppedError:
        exit_with_error("stopped by a signal; no gateway process is left running", ExitCode.STOPPED)
    except (RuntimeError, OSError) as error:
        exit_with_error(error, ExitCode.CANNOT_RUN)
    click.echo("\n".join(violation_lines([figures])) if quiet else format_runs([figures]))
    sys.exit(_exit_code([figures]))


@lab.command("report")
@click.argument("runs", nargs=-1, required=True, type=click.Path(exists=True, file_okay=False))
@click.option(
    "--against",
    multiple=True,
    type=click.Path(exists=True, file_okay=False),
    help="A run to compare RUNS with; may be given several times.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON.")
@click.option("--plots", type=click.Path(file_okay=False), help="Write plots to this folder.")
@click.option("--form", type=click.Choice(["svg", "png"]), default="svg", show_default=True)
def report(
    runs: tuple[str, ...], against: tuple[str, ...], as_json: bool, plots: str | None, form: str
) -> None:
    """Report on RUNS, folders written by `lab run`: means with their spread, or a comparison."""
    from drumgw.config.file_reader import FileError
    from drumgw.testbed import report as reports
    from drumgw.testbed.event_log import EventLogError

    try:
        figures = [reports.read_run(run) for run in runs]
        compared = [reports.read_run(run) for run in against]
    except (FileError, EventLogError) as error:
        exit_with_error(error)
    if as_json:
        click.echo(reports.format_json([*figures, *compared]))
    elif compared:
        click.echo(reports.format_comparison(figures, compared))
    else:
        click.echo(reports.format_runs(figures))
    if plots is not None:
        _write_plots(figures, plots, form)
    sys.exit(_exit_code(figures))


def _write_plots(figures: list[dict[str, Any]], folder: str, form: str) -> None:
    from drumgw.testbed.plots import plot_runs

    for path in plot_runs(figures, folder, form):
        click.echo(f"plot written: {path}")


def _exit_code(figures: list[dict[str, Any]]) -> ExitCode:
    has_failed = any(run["breaches"] or not run["valid"] for run in figures)
    return ExitCode.RULE_VIOLATED if has_failed else ExitCode.DONE
