"""python -m drumgw: one real gatekeeper, as its GW_ variables say."""

from __future__ import annotations

import os
import signal
import sys
from functools import partial

early: list[int] = []  # SIGHUPs that came before the loop listens for them
if __name__ == "__main__":  # before the imports, which take half a second: their defaults end the process
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))  # nothing was served yet

import uvloop  # noqa: E402
from loguru import logger  # noqa: E402

from drumgw.gateway.process import serve  # noqa: E402
from drumgw.gateway.process_config import ConfigError, read_config  # noqa: E402


def main() -> int:
    logger.remove()
    logger.add(sys.stderr, level="INFO", format="{time:HH:mm:ss.SSS} {level: <7} {message}")
    try:
        uvloop.run(serve(read_config(os.environ), partial(read_config, os.environ, again=True), early))
    except ConfigError as bad:
        print(f"drumgw: {bad}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
