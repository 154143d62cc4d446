"""Runs a scenario and writes its folder: the scenario, the event log, the figures and the gateways' logs."""

from __future__ import annotations

import asyncio
import json
import pathlib
import shutil
import signal

from drumgw.testbed.event_log import EventLog, RunHeader
from drumgw.testbed.logged_events import ClockKind
from drumgw.testbed.metrics import Figures, run_figures
from drumgw.testbed.report import EVENT_LOG_FILE, SCENARIO_FILE
from drumgw.testbed.scenario import Scenario, read_scenario

FIGURES_FILE = "figures.json"


class RunStoppedError(Exception):
    """The run was stopped by a signal before its end."""


def run_scenario(path: str, seed: int, folder: str, on_virtual_clock: bool) -> Figures:
    """Runs a scenario file and returns the figures of the run.

    Raises:
        FileError: if the scenario cannot be read; nothing is written in this case.
        RunStoppedError: after SIGINT or SIGTERM, on sockets.
        CannotRunError: if the testbed could not run it.
    """
    scenario = read_scenario(path)
    run_folder = pathlib.Path(folder)
    run_folder.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(path, run_folder / SCENARIO_FILE)
    header = RunHeader(scenario.name, seed, ClockKind.VIRTUAL if on_virtual_clock else ClockKind.SOCKETS)
    with open(run_folder / EVENT_LOG_FILE, "w", encoding="utf-8") as file:
        event_log = EventLog(header, file)
        if on_virtual_clock:
            _run_on_virtual_clock(scenario, seed, event_log)
        else:
            _run_on_sockets(scenario, seed, run_folder, event_log)
    figures = run_figures(event_log, scenario)
    (run_folder / FIGURES_FILE).write_text(json.dumps(figures, indent=1, sort_keys=True) + "\n")
    return figures


def _run_on_virtual_clock(scenario: Scenario, seed: int, event_log: EventLog) -> None:
    from drumgw.testbed.virtual_runner import VirtualRunner

    VirtualRunner(scenario, seed, event_log=event_log).run()


def _run_on_sockets(scenario: Scenario, seed: int, folder: pathlib.Path, event_log: EventLog) -> None:
    from drumgw.testbed.socket_runner import SocketRunner

    async def run_until_signal() -> None:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, task.cancel)
        try:
            await SocketRunner(scenario, seed, folder, event_log).run()
        except asyncio.CancelledError as error:
            raise RunStoppedError from error

    asyncio.run(run_until_signal())
