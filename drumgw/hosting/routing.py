"""Which tenant a request is for: a compiled table of hosts and path prefixes. No I/O.

The exact host goes before any host, then the longer prefix. A prefix ends where a segment of the path ends.
A table is replaced, never changed, once it is in use: a request that was routed by the old one stays with it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_ROUTES = 100_000
ANY_HOST = ""

PathSegments = tuple[str, ...]


class Route(NamedTuple):
    """Where a tenant's requests come in.

    Attributes:
        host: in lower case, without a port; or ANY_HOST.
        prefix: of the path: "" or /segment/segment.
    """

    host: str
    prefix: str


class RouteMatch(NamedTuple):
    """The tenant of a request.

    Attributes:
        tenant: its name.
        path: the target behind the prefix, from which the request class is read.
    """

    tenant: str
    path: str


class AmbiguousRouteError(ValueError):
    """Two tenants have the same route; its text is one line."""

    def __init__(self, route: Route, first: str, second: str) -> None:
        super().__init__(
            f"{route.host or 'any host'}{route.prefix or '/'} is routed to {first} and to {second}"
        )


class RoutingTable:
    """The routes of all tenants, by host and then by path segments."""

    def __init__(self, routes: Iterable[tuple[str, Route]] = ()) -> None:
        self.tenants_by_host: dict[str, dict[PathSegments, str]] = {}
        self._max_depth: dict[str, int] = {}  # segments of the longest prefix of a host
        for count, (tenant, route) in enumerate(routes):
            if count >= MAX_ROUTES:
                raise ValueError(f"more than {MAX_ROUTES} routes")
            self.add(tenant, route)

    def add(self, tenant: str, route: Route) -> None:
        """Adds a route while the table is built; raises AmbiguousRouteError where another tenant has it."""
        tenants = self.tenants_by_host.setdefault(route.host, {})
        segments = split_path(route.prefix)
        owner = tenants.get(segments, tenant)
        if owner != tenant:
            raise AmbiguousRouteError(route, owner, tenant)
        tenants[segments] = tenant
        self._max_depth[route.host] = max(self._max_depth.get(route.host, 0), len(segments))

    def find(self, host: str | None, target: str) -> RouteMatch | None:
        """Returns the tenant for a Host header and a request target, or None."""
        path = target.partition("?")[0]
        for name in (normalize_host(host), ANY_HOST) if host else (ANY_HOST,):
            tenants = self.tenants_by_host.get(name)
            if tenants is None:
                continue
            segments = split_path(path)[: self._max_depth[name]]
            for length in range(len(segments), -1, -1):
                tenant = tenants.get(segments[:length])
                if tenant is not None:
                    prefix_length = sum(len(segment) + 1 for segment in segments[:length])
                    return RouteMatch(tenant, target[prefix_length:] or "/")
        return None


def split_path(path: str) -> PathSegments:
    """Returns the segments of a path; none for an empty one."""
    return tuple(path.removeprefix("/").split("/")) if path.strip("/") else ()


def normalize_host(host: str) -> str:
    """Returns the name in a Host header.

    Browsers and proxies send it with a port, with a dot at its end, or in capitals.
    """
    name = host.strip().lower()
    if name.startswith("["):
        return name.partition("]")[0] + "]"
    return name.partition(":")[0].removesuffix(".")
