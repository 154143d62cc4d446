"""A server whose connections are bounded in what they keep, each by itself and all together."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from aiohttp.web_server import Server

from drumgw.gateway.bounded_connection import READ_BYTES, BoundedConnection
from drumgw.gateway.bounded_reader import BoundedReader, read_buffer
from drumgw.gateway.connection_shares import ConnectionShares
from drumgw.gateway.receive_budget import ReceiveBudget
from drumgw.gateway.send_budget import SendBudget
from drumgw.gateway.turn_scheduler import TurnScheduler


class BoundedServer(Server):
    """aiohttp's server with `BoundedConnection` objects that share a budget.

    Args:
        arguments: The arguments of aiohttp's server.
        connection_factory: Creates the handler of a connection from the shares, the server and the options
            of aiohttp's handler.
        max_unanswered_bytes: Limit on the memory of requests without a response.
        max_unsent_bytes: Limit on the bytes of responses that clients do not read.

    Attributes:
        budget: Counts the bytes received on all connections.
    """

    def __init__(
        self,
        *arguments: Any,
        connection_factory: Callable[..., BoundedConnection],
        max_unanswered_bytes: int,
        max_unsent_bytes: int,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self.budget = ReceiveBudget(
            max_unanswered_bytes, lambda: cast(list[BoundedConnection], self.connections)
        )
        self._shares = ConnectionShares(
            self.budget,
            SendBudget(max_unsent_bytes),
            reading=TurnScheduler(self._loop, lambda: not self.budget.is_exhausted),
            handling=TurnScheduler(self._loop),
        )
        self._connection_factory = connection_factory
        self._read_buffer = read_buffer(READ_BYTES)

    def __call__(self) -> BoundedReader:  # type: ignore[override]
        """Returns the protocol of a new connection; called by asyncio."""
        connection = self._connection_factory(self._shares, self, loop=self._loop, **self._kwargs)
        return BoundedReader(connection, self._read_buffer)
