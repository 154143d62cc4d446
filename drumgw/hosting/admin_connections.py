"""Connections of the administration API: aiohttp's application server with bounded connections."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from aiohttp import web

from drumgw.gateway.bounded_connection import BoundedConnection
from drumgw.gateway.bounded_server import BoundedServer
from drumgw.hosting.errors import HttpStatusError
from drumgw.hosting.problem_details import problem_response


class AdminConnection(BoundedConnection):
    """The connection of a caller."""

    def error_response(self, status: int) -> web.Response:
        """Returns problem details."""
        return problem_response(HttpStatusError(status, HTTPStatus(status).phrase))


class AdminAppRunner(web.AppRunner):
    """Serves an application on bounded connections.

    Args:
        app: The application.
        max_unanswered_bytes: Limit on the memory of calls without a response.
        max_unsent_bytes: Limit on the bytes of responses that callers do not read.
        options: The arguments of aiohttp's runner.
    """

    __slots__ = ("_max_unanswered_bytes", "_max_unsent_bytes")

    def __init__(
        self, app: web.Application, *, max_unanswered_bytes: int, max_unsent_bytes: int, **options: Any
    ) -> None:
        super().__init__(app, **options)
        self._max_unanswered_bytes = max_unanswered_bytes
        self._max_unsent_bytes = max_unsent_bytes

    async def _make_server(self) -> BoundedServer:
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            connection_factory=AdminConnection,
            max_unanswered_bytes=self._max_unanswered_bytes,
            max_unsent_bytes=self._max_unsent_bytes,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            loop=server._loop,
            **server._kwargs,
        )
