"""Finds the tenant of a request by its host and path prefix.

Routes for the exact host take precedence over routes for any host; among those of a host, the longest prefix
takes precedence. Prefixes match whole path segments. A table in use is never changed but replaced as a whole,
so requests that the old table has routed are not affected.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_ROUTES = 100_000
ANY_HOST = ""

PathSegments = tuple[str, ...]


class Route(NamedTuple):
    """A host and path prefix whose requests belong to one tenant.

    Attributes:
        host: in lower case and without a port, or ANY_HOST.
        prefix: the path prefix, such as /segment/segment; "" matches every path.
    """

    host: str
    prefix: str


class RouteMatch(NamedTuple):
    """The result of routing a request.

    Attributes:
        tenant: the tenant's name.
        path: the request target without the prefix; it determines the request class.
    """

    tenant: str
    path: str


class AmbiguousRouteError(ValueError):
    """Two tenants have the same route; the message is a single line."""

    def __init__(self, route: Route, first: str, second: str) -> None:
        super().__init__(
            f"{route.host or 'any host'}{route.prefix or '/'} is routed to {first} and to {second}"
        )


class RoutingTable:
    """The routes of all tenants, by host and then by path segments."""

    def __init__(self, routes: Iterable[tuple[str, Route]] = ()) -> None:
        self.tenants_by_host: dict[str, dict[PathSegments, str]] = {}
        self._max_depth: dict[str, int] = {}  # by host: number of segments of its longest prefix
        for count, (tenant, route) in enumerate(routes):
            if count >= MAX_ROUTES:
                raise ValueError(f"more than {MAX_ROUTES} routes")
            self.add(tenant, route)

    def add(self, tenant: str, route: Route) -> None:
        """Adds a route; raises AmbiguousRouteError if another tenant has it.

        Must not be called on a table in use.
        """
        tenants = self.tenants_by_host.setdefault(route.host, {})
        segments = split_path(route.prefix)
        owner = tenants.get(segments, tenant)
        if owner != tenant:
            raise AmbiguousRouteError(route, owner, tenant)
        tenants[segments] = tenant
        self._max_depth[route.host] = max(self._max_depth.get(route.host, 0), len(segments))

    def find(self, host: str | None, target: str) -> RouteMatch | None:
        """Returns the route match for a Host header and a request target; None if no route matches."""
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
    """Returns the segments of a path; an empty tuple for a path of slashes only."""
    return tuple(path.removeprefix("/").split("/")) if path.strip("/") else ()


def normalize_host(host: str) -> str:
    """Returns the host name of a Host header in lower case, without a port or a trailing dot.

    Browsers and proxies may send a port, a trailing dot or capitals. An IPv6 address keeps its brackets.
    """
    name = host.strip().lower()
    if name.startswith("["):
        return name.partition("]")[0] + "]"
    return name.partition(":")[0].removesuffix(".")
