"""drumgw serve: a gatekeeper from an operator's file."""

from __future__ import annotations

import os
import sys

import uvloop
from loguru import logger

from drumgw.gate.charter import Charter, charter_of
from drumgw.gate.gateway import serve
from drumgw.papers.office import configuration, read_office
from drumgw.papers.reading import Unusable

TEXT = "{time:HH:mm:ss.SSS} {level: <7} {message}"


def run(path: str, json_logs: bool) -> int:
    office = read_office(path)
    logger.remove()
    if json_logs or office.log.form == "json":
        logger.add(sys.stderr, level=office.log.level, serialize=True)
    else:
        logger.add(sys.stderr, level=office.log.level, format=TEXT)

    def again() -> Charter:
        from drumgw.gate.charter import BadCharter

        try:
            return charter_of(configuration(read_office(path)), {})
        except Unusable as bad:
            raise BadCharter("; ".join(bad.mistakes)) from bad

    uvloop.run(serve(charter_of(configuration(office), os.environ), again))
    return 0
