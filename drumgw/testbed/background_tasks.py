"""Tasks of the event loop that run beside the caller, and end with the run at the latest."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Keeps a reference to each task while it runs: the event loop has none."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_all(self) -> None:
        """Cancels the tasks that run."""
        for task in list(self._tasks):
            task.cancel()
