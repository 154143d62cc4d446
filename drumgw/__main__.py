"""`python -m drumgw`: one gateway process, configured by its `GW_` variables."""

from __future__ import annotations

import os
import signal
import sys
from functools import partial

early_hangups: list[int] = []  # SIGHUPs that came before the gateway handles them itself
if __name__ == "__main__":
    # The imports take half a second, and by default either signal ends the process as by a crash.
    signal.signal(signal.SIGHUP, lambda number, _: early_hangups.append(number))
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))  # nothing has been served yet

import uvloop  # noqa: E402
from loguru import logger  # noqa: E402

from drumgw.gateway.process import serve  # noqa: E402
from drumgw.gateway.process_config import ConfigError, read_config  # noqa: E402

LOG_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {message}"
EXIT_UNUSABLE_CONFIG = 2


def main() -> int:
    """Runs the gateway until it is told to stop; the exit code is 2 for an unusable configuration."""
    logger.remove()
    logger.add(sys.stderr, level="INFO", format=LOG_FORMAT)
    read_config_again = partial(read_config, os.environ, is_reload=True)
    try:
        uvloop.run(serve(read_config(os.environ), read_config_again, early_hangups))
    except ConfigError as error:
        print(f"drumgw: {error}", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIG
    return 0


if __name__ == "__main__":
    sys.exit(main())
