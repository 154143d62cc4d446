"""The memory that this process uses now."""

from __future__ import annotations

import os
import resource
from pathlib import Path

from drumgw.gateway.memory_plan import BYTES_PER_KB

STATM_PATH = Path("/proc/self/statm")


def resident_bytes() -> int:
    """Returns the resident memory of this process; its peak if the system does not tell the present one."""
    try:
        pages = int(STATM_PATH.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB
    return pages * os.sysconf("SC_PAGE_SIZE")
