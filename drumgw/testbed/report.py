"""Reports for people: one run, several with their spread, or two sets of runs side by side."""

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
PARTS = ("by product", "by plan", "by zone", "by time")
TOTALS = ("tries", "submissions", "counter calls", "calls a try", "faults")
MAX_VIOLATIONS_SHOWN = 20
SCENARIO_FILE = "day.toml"
EVENT_LOG_FILE = "record.jsonl"


def read_run(folder: str) -> Figures:
    """Figures of a run from its folder, which holds the scenario and the event log.

    Raises:
        FileError: where the scenario cannot be read.
        EventLogError: where the event log cannot be read.
    """
    path = pathlib.Path(folder)
    scenario = read_scenario(str(path / SCENARIO_FILE))
    return run_figures(read_event_log(str(path / EVENT_LOG_FILE)), scenario)


def format_runs(runs: list[Figures]) -> str:
    """One run, or several of one scenario with their spread."""
    first = runs[0]
    seeds = ", ".join(str(run["seed"]) for run in runs)
    return "\n".join(
        [
            f"scenario {first['day']}, {first['clock']} clock, {len(runs)} run(s), seed {seeds}",
            *(f"INVALID (seed {run['seed']}): {run['invalid']}" for run in runs if not run["valid"]),
            *_whole_table(runs),
            *(line for part in PARTS for line in _part_table(runs, part)),
            *(f"  {name}: {_spread([run[name] for run in runs])}" for name in TOTALS),
            *_quota_lines(runs),
            *_outage_lines(runs),
            *_balance_lines(runs),
            *violation_lines(runs),
        ]
    )


def violation_lines(runs: list[Figures]) -> list[str]:
    """The violations of all runs, or one line that says that there are none."""
    lines = []
    for run in runs:
        violations = [Violation.from_figures(figures) for figures in run["breaches"]]
        for violation in violations[:MAX_VIOLATIONS_SHOWN]:
            lines.append(f"BROKEN (seed {run['seed']}): {violation}")
        if len(violations) > MAX_VIOLATIONS_SHOWN:
            lines.append(f"BROKEN (seed {run['seed']}): and {len(violations) - MAX_VIOLATIONS_SHOWN} more")
    return lines or ["rules kept"]


def format_comparison(runs: list[Figures], others: list[Figures]) -> str:
    """Two sets of runs with their spread, and the differences of their means."""
    lines = [f"{'':<34}{'these':>22}{'against':>22}{'difference':>14}"]
    for measure in _measures(runs[0]):
        own_values = _values(runs, measure)
        other_values = _values(others, measure)
        if own_values and other_values:
            difference = _mean(own_values) - _mean(other_values)
            lines.append(
                f"{measure.label:<34}{_spread(own_values):>22}{_spread(other_values):>22}{difference:>+14.4g}"
            )
    if any(not run["valid"] for run in [*runs, *others]):
        lines.append("INVALID runs are among these: the testbed did not keep up")
    lines += violation_lines(runs)
    lines += [f"against: {line}" for line in violation_lines(others)]
    return "\n".join(lines)


def format_json(runs: list[Figures]) -> str:
    """The figures for programs."""
    return json.dumps(runs, indent=1, sort_keys=True)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _spread(values: list[float]) -> str:
    """Mean and standard deviation."""
    mean = _mean(values)
    if len(values) == 1:
        return f"{mean:.4g}"
    deviation = math.sqrt(sum((value - mean) ** 2 for value in values) / (len(values) - 1))
    return f"{mean:.4g} ± {deviation:.2g}"


def _cell(rows: list[Figures], column: str) -> str:
    values = [row[column] for row in rows if column in row]
    return _spread(values) if values else "-"


def _cells(rows: list[Figures]) -> str:
    return "".join(f"{_cell(rows, column):>18}" for column in COLUMNS)


def _headings() -> str:
    return "".join(f"{column:>18}" for column in COLUMNS)


def _whole_table(runs: list[Figures]) -> list[str]:
    return [f"  {'whole run':<16}" + _headings(), "  " + " " * 16 + _cells([run["whole"] for run in runs])]


def _part_table(runs: list[Figures], part: str) -> list[str]:
    lines = [f"  {part.removeprefix('by '):<16}" + _headings()]
    for name in sorted({name for run in runs for name in run[part]}):
        rows = [run[part][name] for run in runs if name in run[part]]
        lines.append(f"  {name:<16}" + _cells(rows))
    return lines


def _quota_lines(runs: list[Figures]) -> Iterator[str]:
    for plan in sorted({plan for run in runs for plan in run["beyond quotas"]}):
        shares = [run["beyond quotas"][plan]["share"] for run in runs if plan in run["beyond quotas"]]
        yield f"  units beyond quotas, {plan}: {_spread(shares)} of those forwarded"


def _outage_lines(runs: list[Figures]) -> Iterator[str]:
    for name in sorted({name for run in runs for name in run["while the counter was lost"]}):
        rows = [run["while the counter was lost"].get(name, {}) for run in runs]
        yield (
            f"  {name}: most of one customer {_cell(rows, 'of bound')} of the bound, "
            f"{_cell(rows, 'of quota')} of its quota"
        )


def _balance_lines(runs: list[Figures]) -> Iterator[str]:
    """How evenly endpoints and gateways were used."""
    for name in ("by worker", "by gatekeeper"):
        counts = [count for run in runs for count in run[name].values()]
        if counts:
            yield (f"  submissions {name}: least {min(counts)}, mean {_mean(counts):.1f}, most {max(counts)}")


class _Measure(NamedTuple):
    """A figure that two sets of runs are compared by."""

    label: str
    read: Callable[[Figures], float | None]


def _values(runs: list[Figures], measure: _Measure) -> list[float]:
    values = [measure.read(run) for run in runs]
    return [value for value in values if value is not None]


def _measures(run: Figures) -> list[_Measure]:
    measures = [_Measure(f"whole, {column}", _reader("whole", column)) for column in COLUMNS[1:]]
    for part in ("by product", "by plan"):
        measures += [_Measure(f"{name}, served", _reader(part, name, "served")) for name in run[part]]
    for plan in run["beyond quotas"]:
        measures.append(_Measure(f"{plan}, beyond quotas", _reader("beyond quotas", plan, "share")))
    measures.append(_Measure("counter calls a try", _reader("calls a try")))
    return measures


def _reader(*keys: str) -> Callable[[Figures], float | None]:
    """Reads the figure at these nested keys; None where it is missing."""

    def read(figures: Figures) -> float | None:
        value = figures
        for key in keys[:-1]:
            value = value.get(key, {})
        return value.get(keys[-1])

    return read
