"""The memory that this process uses now."""

from __future__ import annotations

import os
import resource
from pathlib import Path

STATM_PATH = Path("/proc/self/statm")
BYTES_PER_KB = 1024


def resident_bytes() -> int:
    """Returns the resident memory of this process; its peak if the system does not tell the present one."""
    try:
        pages = int(STATM_PATH.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB
    return pages * os.sysconf("SC_PAGE_SIZE")
