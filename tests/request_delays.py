"""Delays that a test puts into the handling of requests."""

from __future__ import annotations

import time
from typing import Any
from unittest import mock

from drumgw.gateway.request_parsing import parse_request


def parse_slowly(seconds: float) -> Any:
    """Makes handling a request take this time."""

    def parse(*arguments: Any) -> Any:
        time.sleep(seconds)
        return parse_request(*arguments)

    return mock.patch("drumgw.gateway.http_server.parse_request", parse)
