"""Reports for people: one run, several with their spread, or two sets side by side."""

from __future__ import annotations

import json
import math
import pathlib
from typing import Any

from drumgw.testbed.event_log import read_event_log
from drumgw.testbed.metrics import figures
from drumgw.testbed.oracle import Violation
from drumgw.testbed.scenario import read_scenario

Figures = dict[str, Any]
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


def read_run(folder: str) -> Figures:
    """A run's folder holds its day and its record."""
    place = pathlib.Path(folder)
    day = read_scenario(str(place / "day.toml"))
    return figures(read_event_log(str(place / "record.jsonl")), day)


def spread(values: list[float]) -> str:
    mean = sum(values) / len(values)
    if len(values) == 1:
        return f"{mean:.4g}"
    deviation = math.sqrt(sum((v - mean) ** 2 for v in values) / (len(values) - 1))
    return f"{mean:.4g} ± {deviation:.2g}"


def table(runs: list[Figures], part: str) -> list[str]:
    names = sorted({name for run in runs for name in run[part]})
    lines = [f"  {part[3:]:<16}" + "".join(f"{c:>18}" for c in COLUMNS)]
    for name in names:
        rows = [run[part][name] for run in runs if name in run[part]]
        lines.append(f"  {name:<16}" + "".join(f"{cell(rows, c):>18}" for c in COLUMNS))
    return lines


def cell(rows: list[Figures], column: str) -> str:
    values = [row[column] for row in rows if column in row]
    return spread(values) if values else "-"


def text(runs: list[Figures]) -> str:
    first = runs[0]
    seeds = ", ".join(str(run["seed"]) for run in runs)
    lines = [f"day {first['day']}, {first['clock']} clock, {len(runs)} run(s), seed {seeds}"]
    for run in runs:
        if not run["valid"]:
            lines.append(f"INVALID (seed {run['seed']}): {run['invalid']}")
    lines.append("  whole day       " + "".join(f"{c:>18}" for c in COLUMNS))
    lines.append("  " + " " * 16 + "".join(f"{cell([run['whole'] for run in runs], c):>18}" for c in COLUMNS))
    for part in ("by product", "by plan", "by zone", "by time"):
        lines += table(runs, part)
    for name in ("tries", "submissions", "counter calls", "calls a try", "faults"):
        lines.append(f"  {name}: {spread([run[name] for run in runs])}")
    for plan in sorted({p for run in runs for p in run["beyond quotas"]}):
        shares = [run["beyond quotas"][plan]["share"] for run in runs if plan in run["beyond quotas"]]
        lines.append(f"  units beyond quotas, {plan}: {spread(shares)} of those sent on")
    for plan in sorted({p for run in runs for p in run["while the counter was lost"]}):
        rows = [run["while the counter was lost"].get(plan, {}) for run in runs]
        lines.append(
            f"  {plan}: most of one customer {cell(rows, 'of bound')} of the bound, "
            f"{cell(rows, 'of quota')} of its quota"
        )
    for name in ("by worker", "by gatekeeper"):
        counts = [n for run in runs for n in run[name].values()]
        if counts:
            lines.append(
                f"  submissions {name}: least {min(counts)}, mean {sum(counts) / len(counts):.1f}, "
                f"most {max(counts)}"
            )
    lines += rules(runs)
    return "\n".join(lines)


def rules(runs: list[Figures]) -> list[str]:
    lines = []
    for run in runs:
        for b in run["breaches"][:20]:
            lines.append(f"BROKEN (seed {run['seed']}): {Violation(**b)}")
        if len(run["breaches"]) > 20:
            lines.append(f"BROKEN (seed {run['seed']}): and {len(run['breaches']) - 20} more")
    return lines or ["rules kept"]


def beside(runs: list[Figures], others: list[Figures]) -> str:
    """Two sets of runs, with their spread, and the differences of their means."""
    lines = [f"{'':<34}{'these':>22}{'against':>22}{'difference':>14}"]
    for label, found in measures(runs[0]):
        mine = [v for run in runs if (v := found(run)) is not None]
        theirs = [v for run in others if (v := found(run)) is not None]
        if mine and theirs:
            change = sum(mine) / len(mine) - sum(theirs) / len(theirs)
            lines.append(f"{label:<34}{spread(mine):>22}{spread(theirs):>22}{change:>+14.4g}")
    if any(not run["valid"] for run in [*runs, *others]):
        lines.append("INVALID runs are among these: the lab did not keep up")
    return "\n".join([*lines, *rules(runs), *(f"against: {line}" for line in rules(others))])


def measures(run: Figures) -> list[tuple[str, Any]]:
    found: list[tuple[str, Any]] = []
    for column in COLUMNS[1:]:
        found.append((f"whole, {column}", lambda r, c=column: r["whole"].get(c)))
    for part in ("by product", "by plan"):
        for name in run[part]:
            found.append((f"{name}, served", lambda r, p=part, n=name: r[p].get(n, {}).get("served")))
    for plan in run["beyond quotas"]:
        found.append((f"{plan}, beyond quotas", lambda r, p=plan: r["beyond quotas"].get(p, {}).get("share")))
    found.append(("counter calls a try", lambda r: r["calls a try"]))
    return found


def as_json(runs: list[Figures]) -> str:
    return json.dumps(runs, indent=1, sort_keys=True)
