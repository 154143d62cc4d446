"""Handlers of SIGTERM and SIGHUP that hold from the program's first line to its last.

A signal without a handler ends the process as by a crash. The event loop's own way of handling signals
brings the defaults back when the loop closes, before the process ends; so it is not used.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


def handle_signal(
    loop: asyncio.AbstractEventLoop, number: signal.Signals, callback: Callable[[], object]
) -> None:
    """Calls back in the event loop at each signal of this number."""

    def handler(*_: object) -> None:
        loop.call_soon_threadsafe(callback)

    signal.signal(number, handler)
    signal.siginterrupt(number, False)


def ignore_signals() -> None:
    """Ignores both signals from now on, with no moment between in which neither handler holds."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
