"""Text and JSON reports on one run, on several with their standard deviation, or on two sets compared."""

from __future__ import annotations

import json
import math
import pathlib
from collections.abc import Callable, Iterator
from typing import NamedTuple

from drumgw.testbed.event_log import read_event_log
from drumgw.testbed.metrics import Figures, run_figures
from drumgw.testbed.observations import Violation
from drumgw.testbed.scenario import read_scenario

COLUMNS = (
    "orders",
    "served",
    "in time",
    "late",
    "declined",
    "voided",
    "unreached",
    "lost",
    "p50_ms",
    "p99_ms",
)
BREAKDOWNS = ("by product", "by plan", "by zone", "by time")
TOTALS = ("tries", "submissions", "counter calls", "calls a try", "faults")
MAX_VIOLATIONS_SHOWN = 20
SCENARIO_FILE = "day.toml"
EVENT_LOG_FILE = "record.jsonl"


def read_run(folder: str) -> Figures:
    """Computes the figures of a run from the scenario and the event log in its folder.

    Raises:
        FileError: if the scenario cannot be read.
        EventLogError: if the event log cannot be read.
    """
    path = pathlib.Path(folder)
    scenario = read_scenario(str(path / SCENARIO_FILE))
    return run_figures(read_event_log(str(path / EVENT_LOG_FILE)), scenario)


def format_runs(runs: list[Figures]) -> str:
    """Formats one run, or the means and standard deviations of several runs of one scenario."""
    first = runs[0]
    seeds = ", ".join(str(run["seed"]) for run in runs)
    return "\n".join(
        [
            f"scenario {first['day']}, {first['clock']} clock, {len(runs)} run(s), seed {seeds}",
            *(f"INVALID (seed {run['seed']}): {run['invalid']}" for run in runs if not run["valid"]),
            *_totals_table(runs),
            *(line for breakdown in BREAKDOWNS for line in _breakdown_table(runs, breakdown)),
            *(f"  {name}: {_format_mean([run[name] for run in runs])}" for name in TOTALS),
            *_quota_lines(runs),
            *_outage_lines(runs),
            *_load_lines(runs),
            *violation_lines(runs),
        ]
    )


def violation_lines(runs: list[Figures]) -> list[str]:
    """Returns a line for each violation, up to a limit per run, or one line if there are none."""
    lines = []
    for run in runs:
        violations = [Violation.from_figures(figures) for figures in run["breaches"]]
        for violation in violations[:MAX_VIOLATIONS_SHOWN]:
            lines.append(f"BROKEN (seed {run['seed']}): {violation}")
        if len(violations) > MAX_VIOLATIONS_SHOWN:
            lines.append(
                f"BROKEN (seed {run['seed']}): and {len(violations) - MAX_VIOLATIONS_SHOWN} more violations"
            )
    return lines or ["rules kept"]


def format_comparison(runs: list[Figures], others: list[Figures]) -> str:
    """Formats the means of two sets of runs with their standard deviations and differences."""
    lines = [f"{'':<34}{'these':>22}{'against':>22}{'difference':>14}"]
    for measure in _measures(runs[0]):
        values = _values(runs, measure)
        other_values = _values(others, measure)
        if values and other_values:
            difference = _mean(values) - _mean(other_values)
            lines.append(
                f"{measure.label:<34}{_format_mean(values):>22}{_format_mean(other_values):>22}{difference:>+14.4g}"
            )
    if any(not run["valid"] for run in [*runs, *others]):
        lines.append("INVALID runs are included: their figures do not describe the gateways")
    lines += violation_lines(runs)
    lines += [f"against: {line}" for line in violation_lines(others)]
    return "\n".join(lines)


def format_json(runs: list[Figures]) -> str:
    """Formats the figures as JSON, for other programs."""
    return json.dumps(runs, indent=1, sort_keys=True)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _format_mean(values: list[float]) -> str:
    """Formats the mean, with the standard deviation if there are several values."""
    mean = _mean(values)
    if len(values) == 1:
        return f"{mean:.4g}"
    deviation = math.sqrt(sum((value - mean) ** 2 for value in values) / (len(values) - 1))
    return f"{mean:.4g} ± {deviation:.2g}"


def _format_cell(rows: list[Figures], column: str) -> str:
    values = [row[column] for row in rows if column in row]
    return _format_mean(values) if values else "-"


def _format_row(rows: list[Figures]) -> str:
    return "".join(f"{_format_cell(rows, column):>18}" for column in COLUMNS)


def _header_row() -> str:
    return "".join(f"{column:>18}" for column in COLUMNS)


def _totals_table(runs: list[Figures]) -> list[str]:
    return [
        f"  {'whole run':<16}" + _header_row(),
        "  " + " " * 16 + _format_row([run["whole"] for run in runs]),
    ]


def _breakdown_table(runs: list[Figures], breakdown: str) -> list[str]:
    lines = [f"  {breakdown.removeprefix('by '):<16}" + _header_row()]
    for name in sorted({name for run in runs for name in run[breakdown]}):
        rows = [run[breakdown][name] for run in runs if name in run[breakdown]]
        lines.append(f"  {name:<16}" + _format_row(rows))
    return lines


def _quota_lines(runs: list[Figures]) -> Iterator[str]:
    for plan in sorted({plan for run in runs for plan in run["beyond quotas"]}):
        shares = [run["beyond quotas"][plan]["share"] for run in runs if plan in run["beyond quotas"]]
        yield f"  units beyond quotas, {plan}: {_format_mean(shares)} of the plan's forwarded units"


def _outage_lines(runs: list[Figures]) -> Iterator[str]:
    for name in sorted({name for run in runs for name in run["while the counter was lost"]}):
        rows = [run["while the counter was lost"].get(name, {}) for run in runs]
        yield (
            f"  {name}: largest usage of a customer {_format_cell(rows, 'of bound')} of the bound, "
            f"{_format_cell(rows, 'of quota')} of its quota"
        )


def _load_lines(runs: list[Figures]) -> Iterator[str]:
    """Yields how evenly the load was distributed over endpoints and over gateways."""
    for name in ("by worker", "by gatekeeper"):
        counts = [count for run in runs for count in run[name].values()]
        if counts:
            yield (f"  submissions {name}: least {min(counts)}, mean {_mean(counts):.1f}, most {max(counts)}")


class _Measure(NamedTuple):
    """A figure in which two sets of runs are compared."""

    label: str
    read: Callable[[Figures], float | None]


def _values(runs: list[Figures], measure: _Measure) -> list[float]:
    values = [measure.read(run) for run in runs]
    return [value for value in values if value is not None]


def _measures(run: Figures) -> list[_Measure]:
    measures = [_Measure(f"whole, {column}", _reader("whole", column)) for column in COLUMNS[1:]]
    for breakdown in ("by product", "by plan"):
        measures += [
            _Measure(f"{name}, served", _reader(breakdown, name, "served")) for name in run[breakdown]
        ]
    for plan in run["beyond quotas"]:
        measures.append(_Measure(f"{plan}, beyond quotas", _reader("beyond quotas", plan, "share")))
    measures.append(_Measure("counter calls a try", _reader("calls a try")))
    return measures


def _reader(*keys: str) -> Callable[[Figures], float | None]:
    """Returns a function that reads the figure at these nested keys; None if it is missing."""

    def read(figures: Figures) -> float | None:
        value = figures
        for key in keys[:-1]:
            value = value.get(key, {})
        return value.get(keys[-1])

    return read
