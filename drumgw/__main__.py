"""python -m drumgw: one real gatekeeper, as its GW_ variables say."""
from __future__ import annotations

import os
import sys
from functools import partial

import uvloop
from loguru import logger

from drumgw.gate.charter import BadCharter, read_charter
from drumgw.gate.gateway import serve


def main() -> int:
    logger.remove()
    logger.add(sys.stderr, level="INFO", format="{time:HH:mm:ss.SSS} {level: <7} {message}")
    try:
        uvloop.run(serve(read_charter(os.environ), partial(read_charter, os.environ, again=True)))
    except BadCharter as bad:
        print(f"drumgw: {bad}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
