"""Plots of runs, as files: what was served over time, and how answer times spread."""

from __future__ import annotations

import pathlib
from itertools import pairwise
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

ENDS = ("in time", "late", "declined", "voided", "unreached", "lost")
COLOURS = ("#2a7f4f", "#c9a227", "#8a8a8a", "#b5442e", "#5b6fa8", "#000000")
Figures = dict[str, Any]


def over_time(runs: list[Figures], path: pathlib.Path, form: str) -> pathlib.Path:
    """Orders of each window by what became of them, and the share of value served."""
    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=(8, 6), layout="constrained")
    windows = sorted({w for run in runs for w in run["by time"]})
    at = [float(w.split()[0]) for w in windows]
    wide = min((b - a for a, b in pairwise(at)), default=1.0)
    base = [0.0] * len(at)
    for end, colour in zip(ENDS, COLOURS, strict=True):
        counts = [sum(run["by time"].get(w, {}).get(end, 0) for run in runs) / len(runs) for w in windows]
        upper.bar(at, counts, bottom=base, width=0.9 * wide, align="edge", color=colour, label=end)
        base = [b + c for b, c in zip(base, counts, strict=True)]
    upper.set_ylabel("orders")
    upper.legend(ncols=6, fontsize="small", loc="lower center", bbox_to_anchor=(0.5, 1.0))
    for run in runs:
        served = [run["by time"].get(w, {}).get("served") for w in windows]
        lower.plot([a + 0.45 * wide for a in at], served, marker=".", label=f"seed {run['seed']}")
    lower.set_ylim(0, 1.02)
    lower.set_ylabel("value served")
    lower.set_xlabel("seconds of the day")
    lower.legend(fontsize="small")
    figure.suptitle(f"{runs[0]['day']}, {runs[0]['clock']} clock")
    return save(figure, path / f"over-time.{form}")


def by_gatekeeper(runs: list[Figures], path: pathlib.Path, form: str) -> pathlib.Path:
    """How evenly gatekeepers and workers were used."""
    figure, axes = pyplot.subplots(1, 2, figsize=(8, 3.5), layout="constrained")
    for axis, name in zip(axes, ("by gatekeeper", "by worker"), strict=True):
        for run in runs:
            axis.plot(sorted(run[name].values()), marker=".", linestyle="none", label=f"seed {run['seed']}")
        axis.set_xlabel(name[3:] + "s, least used first")
        axis.set_ylabel("submissions")
        axis.set_ylim(bottom=0)
    return save(figure, path / f"load.{form}")


def save(figure: Any, path: pathlib.Path) -> pathlib.Path:
    figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
    pyplot.close(figure)
    return path


def plot(runs: list[Figures], folder: str, form: str) -> list[pathlib.Path]:
    place = pathlib.Path(folder)
    place.mkdir(parents=True, exist_ok=True)
    return [over_time(runs, place, form), by_gatekeeper(runs, place, form)]
