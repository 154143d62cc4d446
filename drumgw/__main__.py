"""`python -m drumgw`: one gateway process, configured by its GW_ variables."""

from __future__ import annotations

import os
import signal
import sys
from functools import partial

early_signals: list[int] = []  # SIGHUPs received before the event loop handles them
if __name__ == "__main__":  # before the imports, which take half a second: by default both end the process
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))  # nothing has been served yet

import uvloop  # noqa: E402
from loguru import logger  # noqa: E402

from drumgw.gateway.process import serve  # noqa: E402
from drumgw.gateway.process_config import ConfigError, read_config  # noqa: E402


def main() -> int:
    """Runs the gateway until it is told to stop; the exit code is 2 for an unusable configuration."""
    logger.remove()
    logger.add(sys.stderr, level="INFO", format="{time:HH:mm:ss.SSS} {level: <7} {message}")
    try:
        uvloop.run(
            serve(read_config(os.environ), partial(read_config, os.environ, is_reload=True), early_signals)
        )
    except ConfigError as bad:
        print(f"drumgw: {bad}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
