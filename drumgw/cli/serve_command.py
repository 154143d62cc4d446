"""drumgw serve: a gatekeeper from an operator's file."""

from __future__ import annotations

import os
import sys

import uvloop
from loguru import logger

from drumgw.config.file_reader import Unusable
from drumgw.config.gateway_file import configuration, read_office
from drumgw.gateway.process import serve
from drumgw.gateway.process_config import Charter, charter_of

TEXT = "{time:HH:mm:ss.SSS} {level: <7} {message}"


def run(path: str, json_logs: bool) -> int:
    office = read_office(path)
    logger.remove()
    if json_logs or office.log.form == "json":
        logger.add(sys.stderr, level=office.log.level, serialize=True)
    else:
        logger.add(sys.stderr, level=office.log.level, format=TEXT)

    def again() -> Charter:
        from drumgw.gateway.process_config import BadCharter

        try:
            return charter_of(configuration(read_office(path)), {})
        except Unusable as bad:
            raise BadCharter("; ".join(bad.mistakes)) from bad

    uvloop.run(serve(charter_of(configuration(office), os.environ), again))
    return 0
