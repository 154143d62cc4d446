"""Which tenant a request is for: a compiled table of hosts and path prefixes. No I/O.

The exact host goes before any host, then the longer prefix. A prefix ends where a segment of the path ends.
A table is never changed: a new one takes its place whole, and who was routed by the old one stays with it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MOST_ROUTES = 100_000
ANY = ""  # host


class Route(NamedTuple):
    host: str  # lower case, without a port; ANY
    prefix: str  # "" or /segment/segment


class AmbiguousRouteError(ValueError):
    """Two tenants ask for the same route; its text is one line."""

    def __init__(self, route: Route, one: str, other: str) -> None:
        super().__init__(f"{route.host or 'any host'}{route.prefix or '/'} is routed to {one} and to {other}")
        self.route, self.one, self.other = route, one, other


class Found(NamedTuple):
    tenant: str
    path: str  # the target behind the prefix, from which the product is read


class Routes:
    def __init__(self, wanted: Iterable[tuple[str, Route]] = ()) -> None:
        self.table: dict[str, dict[tuple[str, ...], str]] = {}
        self.deepest: dict[str, int] = {}  # segments of the longest prefix of a host
        for number, (tenant, route) in enumerate(wanted):
            if number >= MOST_ROUTES:
                raise ValueError(f"more than {MOST_ROUTES} routes")
            self.add(tenant, route)

    def add(self, tenant: str, route: Route) -> None:
        paths, parts = self.table.setdefault(route.host, {}), segments(route.prefix)
        if paths.get(parts, tenant) != tenant:
            raise AmbiguousRouteError(route, paths[parts], tenant)
        paths[parts] = tenant
        self.deepest[route.host] = max(self.deepest.get(route.host, 0), len(parts))

    def find(self, host: str | None, target: str) -> Found | None:
        path = target.partition("?")[0]
        for name in (bare(host), ANY) if host else (ANY,):
            paths = self.table.get(name)
            if paths is None:
                continue
            parts = segments(path)[: self.deepest[name]]
            for length in range(len(parts), -1, -1):
                if (tenant := paths.get(parts[:length])) is not None:
                    return Found(tenant, target[sum(len(part) + 1 for part in parts[:length]) :] or "/")
        return None


def segments(path: str) -> tuple[str, ...]:
    return tuple(path.removeprefix("/").split("/")) if path.strip("/") else ()


def bare(host: str) -> str:
    """As browsers and proxies may send it: with a port, with a dot at its end, in capitals."""
    name = host.strip().lower()
    if name.startswith("["):
        return name.partition("]")[0] + "]"
    return name.partition(":")[0].removesuffix(".")
