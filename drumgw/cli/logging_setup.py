"""Sets up the log of a process that runs from a configuration file."""

from __future__ import annotations

import sys

from loguru import logger

from drumgw.config.sections import LogSection

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {message}"


def configure_logging(log: LogSection, as_json: bool = False) -> None:
    """Sends log lines to standard error, in the format and from the level that the file sets.

    Args:
        log: the section `[log]` of the file.
        as_json: whether lines are JSON objects, regardless of the file's setting.
    """
    logger.remove()
    if as_json or log.form == "json":
        logger.add(sys.stderr, level=log.level, serialize=True)
    else:
        logger.add(sys.stderr, level=log.level, format=TEXT_FORMAT)
