"""Runs a day and leaves a folder: the day, the record, the figures, and on sockets the gatekeepers' logs."""

from __future__ import annotations

import asyncio
import json
import pathlib
import shutil
import signal
from typing import Any

from drumgw.testbed.event_log import EventLog
from drumgw.testbed.metrics import figures
from drumgw.testbed.scenario import Scenario, read_scenario


class Stopped(Exception):
    """Told to stop before the day was over."""


def run_day(path: str, seed: int, folder: str, virtual: bool) -> dict[str, Any]:
    day = read_scenario(path)  # checked before anything is made
    place = pathlib.Path(folder)
    place.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(path, place / "day.toml")
    head = {"day": day.name, "seed": seed, "clock": "virtual" if virtual else "sockets"}
    with open(place / "record.jsonl", "w", encoding="utf-8") as file:
        record = EventLog(head, file)
        play_virtual(day, seed, record) if virtual else play_sockets(day, seed, place, record)
    found = figures(record, day)
    (place / "figures.json").write_text(json.dumps(found, indent=1, sort_keys=True) + "\n")
    return found


def play_virtual(day: Scenario, seed: int, record: EventLog) -> None:
    from drumgw.testbed.virtual_runner import VirtualRunner

    VirtualRunner(day, seed, record=record).run()


def play_sockets(day: Scenario, seed: int, place: pathlib.Path, record: EventLog) -> None:
    from drumgw.testbed.socket_runner import SocketRunner

    async def play() -> None:
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        try:
            await SocketRunner(day, seed, place, record).run()
        except asyncio.CancelledError as told:
            raise Stopped from told

    asyncio.run(play())
