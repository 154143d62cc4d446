"""Runs one gateway from a configuration file (`drumgw serve`)."""

from __future__ import annotations

import os

import uvloop

from drumgw.cli.logging_setup import configure_logging
from drumgw.config.file_reader import FileError
from drumgw.config.gateway_file import gateway_configuration, read_gateway_file
from drumgw.gateway.process import serve
from drumgw.gateway.process_config import ConfigError, GatewayConfig, parse_config


def run_gateway(path: str, json_logs: bool) -> None:
    """Serves until SIGTERM.

    Args:
        path: the configuration file; read again at SIGHUP.
        json_logs: whether log lines are JSON objects, regardless of the file's setting.

    Raises:
        FileError, ConfigError: the file cannot be used.
    """
    file = read_gateway_file(path)
    configure_logging(file.log, as_json=json_logs)

    def reread_config() -> GatewayConfig:
        try:
            return parse_config(gateway_configuration(read_gateway_file(path)), {})
        except FileError as error:
            raise ConfigError("; ".join(error.messages)) from error

    uvloop.run(serve(parse_config(gateway_configuration(file), os.environ), reread_config))
