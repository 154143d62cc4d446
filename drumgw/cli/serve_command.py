"""drumgw serve: a gatekeeper from an operator's file."""

from __future__ import annotations

import os
import sys

import uvloop
from loguru import logger

from drumgw.config.file_reader import FileError
from drumgw.config.gateway_file import gateway_configuration, read_gateway_file
from drumgw.gateway.process import serve
from drumgw.gateway.process_config import GatewayConfig, parse_config

TEXT = "{time:HH:mm:ss.SSS} {level: <7} {message}"


def run(path: str, json_logs: bool) -> int:
    office = read_gateway_file(path)
    logger.remove()
    if json_logs or office.log.form == "json":
        logger.add(sys.stderr, level=office.log.level, serialize=True)
    else:
        logger.add(sys.stderr, level=office.log.level, format=TEXT)

    def again() -> GatewayConfig:
        from drumgw.gateway.process_config import ConfigError

        try:
            return parse_config(gateway_configuration(read_gateway_file(path)), {})
        except FileError as bad:
            raise ConfigError("; ".join(bad.mistakes)) from bad

    uvloop.run(serve(parse_config(gateway_configuration(office), os.environ), again))
    return 0
