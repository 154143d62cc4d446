"""Settings of Python's garbage collector for a process that serves requests.

A full collection visits every object, and the event loop stands still meanwhile.
"""

from __future__ import annotations

import gc

GC_THRESHOLD = 20000
"""Net allocations between two garbage collections. High, as requests create few reference cycles."""


def tune_garbage_collector() -> None:
    """Exempts all existing objects from collection, as most are never freed, and lowers its frequency.

    Garbage that exists already is collected first; it would otherwise be kept until the process ends.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
