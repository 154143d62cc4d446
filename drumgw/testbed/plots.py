"""Plots of runs as files: results over time, and the load distribution over gateways and endpoints."""

from __future__ import annotations

import pathlib
from itertools import pairwise
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from drumgw.testbed.metrics import Figures  # noqa: E402

RESULT_COLOURS = {
    "in time": "#2a7f4f",
    "late": "#c9a227",
    "declined": "#8a8a8a",
    "voided": "#b5442e",
    "unreached": "#5b6fa8",
    "lost": "#000000",
}
BAR_WIDTH_FRACTION = 0.9
"""Width of a bar as a fraction of its time window."""


def plot_runs(runs: list[Figures], folder: str, file_format: str) -> list[pathlib.Path]:
    """Writes all plots into a folder, which is created if needed, and returns their paths."""
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    return [_plot_results(runs, path, file_format), _plot_load_distribution(runs, path, file_format)]


def _plot_results(runs: list[Figures], folder: pathlib.Path, file_format: str) -> pathlib.Path:
    """Plots, by time window, the number of requests by result and the share of the value that was earned."""
    figure, (counts_axis, value_axis) = pyplot.subplots(
        2, 1, sharex=True, figsize=(8, 6), layout="constrained"
    )
    windows = sorted({window for run in runs for window in run["by time"]})
    starts_s = [float(window.split()[0]) for window in windows]
    width_s = min((after - before for before, after in pairwise(starts_s)), default=1.0)
    _stack_results(counts_axis, runs, windows, starts_s, width_s)
    for run in runs:
        served = [run["by time"].get(window, {}).get("served") for window in windows]
        centres_s = [start_s + BAR_WIDTH_FRACTION / 2 * width_s for start_s in starts_s]
        value_axis.plot(centres_s, served, marker=".", label=f"seed {run['seed']}")
    value_axis.set_ylim(0, 1.02)
    value_axis.set_ylabel("share of value earned")
    value_axis.set_xlabel("time since the start (s)")
    value_axis.legend(fontsize="small")
    figure.suptitle(f"{runs[0]['day']}, {runs[0]['clock']} clock")
    return _save(figure, folder / f"over-time.{file_format}")


def _stack_results(
    axis: Any, runs: list[Figures], windows: list[str], starts_s: list[float], width_s: float
) -> None:
    bottoms = [0.0] * len(windows)
    for result, colour in RESULT_COLOURS.items():
        counts = [
            sum(run["by time"].get(window, {}).get(result, 0) for run in runs) / len(runs)
            for window in windows
        ]
        axis.bar(
            starts_s,
            counts,
            bottom=bottoms,
            width=BAR_WIDTH_FRACTION * width_s,
            align="edge",
            color=colour,
            label=result,
        )
        bottoms = [bottom + count for bottom, count in zip(bottoms, counts, strict=True)]
    axis.set_ylabel("requests")
    axis.legend(ncols=6, fontsize="small", loc="lower center", bbox_to_anchor=(0.5, 1.0))


def _plot_load_distribution(runs: list[Figures], folder: pathlib.Path, file_format: str) -> pathlib.Path:
    """Plots how evenly forwarded attempts were distributed over gateways and over endpoints."""
    figure, axes = pyplot.subplots(1, 2, figsize=(8, 3.5), layout="constrained")
    labels = {"by gatekeeper": "gateways", "by worker": "endpoints"}
    for axis, (breakdown, label) in zip(axes, labels.items(), strict=True):
        for run in runs:
            axis.plot(
                sorted(run[breakdown].values()), marker=".", linestyle="none", label=f"seed {run['seed']}"
            )
        axis.set_xlabel(f"{label}, least used first")
        axis.set_ylabel("forwarded attempts")
        axis.set_ylim(bottom=0)
    return _save(figure, folder / f"load.{file_format}")


def _save(figure: Any, path: pathlib.Path) -> pathlib.Path:
    figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
    pyplot.close(figure)
    return path
