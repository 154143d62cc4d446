"""Event-loop tasks that run in the background and are cancelled at the end of the run."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Holds a strong reference to each running task; the event loop itself keeps only a weak one."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Schedules a coroutine as a task and returns at once."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_all(self) -> None:
        """Requests cancellation of all running tasks; does not wait for them to finish."""
        for task in list(self._tasks):
            task.cancel()
