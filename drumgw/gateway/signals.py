"""Handlers of SIGTERM and SIGHUP that stay installed until the process exits.

Without a handler either signal kills the process. `loop.add_signal_handler` is not used: it restores the
default actions when the event loop closes, which is before the process exits.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


def handle_signal(
    loop: asyncio.AbstractEventLoop, number: signal.Signals, callback: Callable[[], object]
) -> None:
    """Runs a callback in the event loop at each signal of this number. System calls are restarted."""

    def handler(*_: object) -> None:
        loop.call_soon_threadsafe(callback)

    signal.signal(number, handler)
    signal.siginterrupt(number, False)


def ignore_signals() -> None:
    """Ignores both signals from now on. The default action is not restored in between."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
