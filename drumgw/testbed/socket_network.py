"""The servers of the emulated components on loopback addresses.

Each component has a separate address for every gateway, so that it can identify the gateway.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial

from drumgw.testbed.background_tasks import BackgroundTasks
from drumgw.testbed.clocks import TestbedClock
from drumgw.testbed.endpoint import EmulatedEndpoint
from drumgw.testbed.environment import Environment
from drumgw.testbed.socket_servers import (
    CounterConnection,
    DiscoveryConnection,
    EndpointConnection,
    ServerConnection,
    ServerContext,
)

HOST = "127.0.0.1"
BACKLOG = 1024


class SocketNetwork:
    """All servers of a run: endpoints, discovery agents and the shared counter."""

    def __init__(self, environment: Environment, clock: TestbedClock, tasks: BackgroundTasks) -> None:
        self._environment = environment
        self._tasks = tasks
        self._gateway_count = environment.scenario.fleet.gatekeepers
        self._context = ServerContext(environment, clock, self.endpoint_address)
        self._endpoint_ports: dict[tuple[int, str], int] = {}
        """By gateway and endpoint name; an endpoint keeps its ports when its process restarts."""
        self._endpoint_servers: dict[str, list[asyncio.Server]] = {}
        """By endpoint name; only for endpoints that are up."""
        self._service_servers: list[asyncio.Server] = []
        """Servers of discovery and counter at their current addresses."""

    async def open_endpoints(self) -> None:
        """Opens the servers of all endpoints that exist so far."""
        for endpoint in self._environment.endpoints.values():
            await self._listen(endpoint)

    def register_endpoint_hooks(self) -> None:
        """Makes the endpoints' servers close and open as their processes go down and start."""
        for endpoint in self._environment.endpoints.values():
            self._register_hooks(endpoint)

    async def serve_discovery(self, gateway: int) -> str:
        """Opens a discovery agent for a gateway and returns its address as `host:port`."""
        return await self._serve(partial(DiscoveryConnection, self._context, gateway))

    async def serve_counter(self, gateway: int) -> str:
        """Opens the counter for a gateway; returns its address, empty if the scenario has no counter."""
        if self._environment.counter is None:
            return ""
        return await self._serve(partial(CounterConnection, self._context, gateway))

    def detach_services(self) -> list[asyncio.Server]:
        """Returns the servers of discovery and counter, which the caller must then close."""
        servers = self._service_servers
        self._service_servers = []
        return servers

    def endpoint_address(self, gateway: int, name: str) -> str:
        """An endpoint's address for a gateway; opens ports for a new endpoint before they are announced."""
        if (gateway, name) not in self._endpoint_ports:
            self._bind_ports(self._environment.endpoints[name])
        return f"{HOST}:{self._endpoint_ports[gateway, name]}"

    def close(self) -> None:
        """Closes all servers; those from `detach_services` are left to its caller."""
        endpoint_servers = [server for servers in self._endpoint_servers.values() for server in servers]
        for server in [*self._service_servers, *endpoint_servers]:
            server.close()

    async def _serve(self, make_connection: Callable[[], ServerConnection]) -> str:
        server = await asyncio.get_running_loop().create_server(make_connection, HOST, 0)
        self._service_servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _listen(self, endpoint: EmulatedEndpoint) -> None:
        """Opens an endpoint's servers, on its previous ports if it had any."""
        servers = []
        for gateway in range(self._gateway_count):
            server = await asyncio.get_running_loop().create_server(
                partial(EndpointConnection, self._context, endpoint, gateway),
                HOST,
                self._endpoint_ports.get((gateway, endpoint.name), 0),
                backlog=BACKLOG,
                reuse_address=True,
            )
            self._endpoint_ports[gateway, endpoint.name] = server.sockets[0].getsockname()[1]
            servers.append(server)
        self._endpoint_servers[endpoint.name] = servers

    def _bind_ports(self, endpoint: EmulatedEndpoint) -> None:
        """Binds an endpoint's ports synchronously; connections wait in the backlog until a server starts."""
        for gateway in range(self._gateway_count):
            listening = socket.socket()
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind((HOST, 0))
            listening.listen(BACKLOG)
            listening.setblocking(False)
            self._endpoint_ports[gateway, endpoint.name] = listening.getsockname()[1]
            self._tasks.spawn(self._start_server(endpoint, gateway, listening))
        self._register_hooks(endpoint)

    async def _start_server(self, endpoint: EmulatedEndpoint, gateway: int, listening: socket.socket) -> None:
        server = await asyncio.get_running_loop().create_server(
            partial(EndpointConnection, self._context, endpoint, gateway), sock=listening
        )
        self._endpoint_servers.setdefault(endpoint.name, []).append(server)

    def _register_hooks(self, endpoint: EmulatedEndpoint) -> None:
        """Makes the operating system refuse connections while the endpoint's process is down."""
        endpoint.on_down = partial(self._close_endpoint, endpoint)
        endpoint.on_up = lambda: self._tasks.spawn(self._listen(endpoint))

    def _close_endpoint(self, endpoint: EmulatedEndpoint) -> None:
        for server in self._endpoint_servers.pop(endpoint.name, []):
            server.close()
        connections = self._context.endpoint_connections
        for connection in [connection for connection in connections if connection.endpoint is endpoint]:
            connection.abort()


def free_port() -> int:
    """Returns a port that is currently free; another process could still take it before it is used."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])
