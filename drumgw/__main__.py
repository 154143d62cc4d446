"""Entry point of `python -m drumgw`: runs one gateway process, configured by `GW_` environment variables."""

from __future__ import annotations

import os
import signal
import sys
from functools import partial

early_sighups: list[int] = []  # SIGHUPs received before the gateway installs its own handler
if __name__ == "__main__":
    # The imports below take half a second. Without these handlers, a signal would kill the process during
    # them, which looks like a crash to its supervisor.
    signal.signal(signal.SIGHUP, lambda number, _: early_sighups.append(number))
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))  # no request has been accepted yet

import uvloop  # noqa: E402
from loguru import logger  # noqa: E402

from drumgw.gateway.process import serve  # noqa: E402
from drumgw.gateway.process_config import ConfigError, read_config  # noqa: E402

LOG_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {message}"
EXIT_INVALID_CONFIG = 2


def main() -> int:
    """Runs the gateway until SIGTERM.

    Returns:
        The exit code: 0 after a shutdown, EXIT_INVALID_CONFIG for an invalid configuration.
    """
    logger.remove()
    logger.add(sys.stderr, level="INFO", format=LOG_FORMAT)
    reread_config = partial(read_config, os.environ, is_reload=True)
    try:
        uvloop.run(serve(read_config(os.environ), reread_config, early_sighups))
    except ConfigError as error:
        print(f"drumgw: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIG
    return 0


if __name__ == "__main__":
    sys.exit(main())
