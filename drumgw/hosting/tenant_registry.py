"""The tenants, their versions and what is being done with them. No I/O, no clock.

Every change makes a version that no resource ever had, so who changes names the version that was read. A name
that is removed is free at once: what is still in flight there belongs to the old serial number.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from typing import Any, NamedTuple

from drumgw.hosting.routing import AmbiguousRouteError, Route, Routes

MOST_TENANTS, MOST_KEYS, MOST_OPERATIONS = 10_000, 1024, 1024
ACTIVE, SUSPENDED, DRAINING, DRAINED, REMOVED = "active", "suspended", "draining", "drained", "removed"
RUNNING, DONE, CALLED_OFF = "running", "done", "called off"
JsonObject = dict[str, Any]


class ChangeRejected(Exception):
    """A change that is not made: a status, a line, and where the mistake is."""

    def __init__(
        self, status: int, title: str, detail: str, pointer: str = "", errors: list[JsonObject] | None = None
    ) -> None:
        super().__init__(detail)
        self.status, self.title, self.detail, self.pointer = status, title, detail, pointer
        self.errors = errors


class Tenant:
    __slots__ = ("name", "serial", "version", "state", "spec", "operation")

    def __init__(self, name: str, serial: int, version: int, spec: JsonObject, state: str = ACTIVE) -> None:
        self.name, self.serial, self.version, self.state, self.spec = name, serial, version, state, spec
        self.operation: str | None = None  # that waits for its txns

    @property
    def key(self) -> str:
        """Of what it holds: a name made anew is another tenant."""
        return f"{self.name}#{self.serial}"

    def told(self) -> JsonObject:
        return {
            "name": self.name,
            "version": self.version,
            "state": self.state,
            "operation": self.operation,
            "spec": self.spec,
        }


class Operation(NamedTuple):
    id: str
    kind: str
    tenant: str
    serial: int
    state: str


class TenantChange(NamedTuple):
    """For hosting: what became of a tenant."""

    what: str  # opened, changed, marked, removed
    tenant: Tenant


def routes_of(spec: JsonObject) -> list[Route]:
    return [Route(route["host"], route["path"]) for route in spec["route"]]


class TenantRegistry:
    def __init__(self) -> None:
        self.tenants: dict[str, Tenant] = {}  # emptied by removals
        self.leaving: dict[int, str] = {}  # serial: its removal; emptied as txns end
        self.operations: dict[str, Operation] = {}  # the last MOST_OPERATIONS
        self.keys: dict[str, tuple[str, str, int]] = {}  # the last MOST_KEYS: digest, tenant, version
        self.counted = 0  # versions, serials and operations have numbers of one row
        self.routes = Routes()

    def number(self) -> int:
        self.counted += 1
        return self.counted

    def copy(self) -> TenantRegistry:
        """To make a change in, which takes effect once it is kept."""
        new = TenantRegistry()
        for name, tenant in self.tenants.items():
            one = new.tenants[name] = Tenant(name, tenant.serial, tenant.version, tenant.spec, tenant.state)
            one.operation = tenant.operation
        new.leaving, new.operations, new.keys = dict(self.leaving), dict(self.operations), dict(self.keys)
        new.counted, new.routes = self.counted, self.routes
        return new

    # Reading

    def get(self, name: str) -> Tenant:
        if (tenant := self.tenants.get(name)) is None:
            raise ChangeRejected(404, "No such tenant", f"there is no tenant {name!r}")
        return tenant

    def page(self, after: str, limit: int, only: str | None = None) -> tuple[list[Tenant], str | None]:
        names = sorted(n for n in self.tenants if n > after and (only is None or n == only))
        found = [self.tenants[name] for name in names[:limit]]
        return found, names[limit - 1] if len(names) > limit else None

    def operation(self, name: str) -> Operation:
        if (found := self.operations.get(name)) is None:
            raise ChangeRejected(
                404, "No such operation", f"there is no operation {name!r}, or it was long ago"
            )
        return found

    # Changes

    def create(
        self, name: str, spec: JsonObject, key: str | None = None
    ) -> tuple[Tenant, TenantChange | None]:
        """No change where the key says that it was made before."""
        digest = hashlib.sha256(json.dumps([name, spec], sort_keys=True).encode()).hexdigest()
        if key is not None and (known := self.keys.get(key)) is not None:
            if known[0] != digest:
                raise ChangeRejected(422, "Key used", "this idempotency key came with another body")
            tenant = self.tenants.get(known[1])
            if tenant is None or tenant.serial != known[2]:
                raise ChangeRejected(410, "Gone", f"what this key created is no more: {known[1]!r}")
            return tenant, None
        if name in self.tenants:
            raise ChangeRejected(409, "Name taken", f"there is a tenant {name!r}", "/name")
        if len(self.tenants) >= MOST_TENANTS:
            raise ChangeRejected(409, "Full", f"there are {MOST_TENANTS} tenants")
        routes = self.compiled(name, spec)
        number = self.number()
        tenant = self.tenants[name] = Tenant(name, number, number, spec)
        self.routes = routes
        if key is not None:
            self.keys[key] = digest, name, number
            bound(self.keys, MOST_KEYS)
        return tenant, TenantChange("opened", tenant)

    def replace(self, name: str, spec: JsonObject, match: str | None) -> tuple[Tenant, TenantChange]:
        tenant = self.matched(name, match)
        routes = self.compiled(name, spec)
        tenant.spec, tenant.version, self.routes = spec, self.number(), routes
        return tenant, TenantChange("changed", tenant)

    def mark(self, name: str, word: str, match: str | None) -> tuple[Tenant, TenantChange]:
        tenant = self.matched(name, match)
        row = TABLE.get((tenant.state, word))
        if row is None:
            raise ChangeRejected(409, "Not now", f"{name!r} is {tenant.state}: it can't be told to {word}")
        tenant.state, effect = row
        tenant.version = self.number()
        if effect is not None:
            effect(self, tenant, word)
        return tenant, TenantChange("removed" if tenant.state == REMOVED else "marked", tenant)

    def emptied(self, serial: int) -> Tenant | None:
        """No txn is in flight there any more."""
        if (removal := self.leaving.pop(serial, None)) is not None:
            self.end(removal, DONE)
            return None
        tenant = next((t for t in self.tenants.values() if t.serial == serial), None)
        if tenant is not None and tenant.state == DRAINING:
            tenant.state, tenant.version = DRAINED, self.number()
            self.end(tenant.operation, DONE)
            tenant.operation = None
        return tenant

    # What they share

    def matched(self, name: str, match: str | None) -> Tenant:
        tenant = self.get(name)
        if match is None:
            raise ChangeRejected(428, "Version wanted", "say in If-Match which version this was made from")
        if match.strip() != f'"{tenant.version}"':
            raise ChangeRejected(412, "Changed meanwhile", f"{name!r} is at version {tenant.version}")
        return tenant

    def compiled(self, name: str, spec: JsonObject) -> Routes:
        """The whole table as it would be."""
        others = [(t.name, r) for t in self.tenants.values() if t.name != name for r in routes_of(t.spec)]
        routes = Routes(others)
        for place, route in enumerate(routes_of(spec)):
            try:
                routes.add(name, route)
            except AmbiguousRouteError as bad:
                raise ChangeRejected(409, "Route taken", str(bad), f"/route/{place}") from bad
        return routes

    def begin(self, tenant: Tenant, word: str) -> None:
        one = Operation(f"op-{self.number()}", word, tenant.name, tenant.serial, RUNNING)
        self.operations[one.id] = one
        tenant.operation = one.id
        bound(self.operations, MOST_OPERATIONS)

    def end(self, name: str | None, state: str) -> None:
        if name is not None and name in self.operations:
            self.operations[name] = self.operations[name]._replace(state=state)

    # Effects

    def drain(self, tenant: Tenant, word: str) -> None:
        self.begin(tenant, word)

    def remove(self, tenant: Tenant, word: str) -> None:
        self.end(tenant.operation, CALLED_OFF)
        self.begin(tenant, word)
        assert tenant.operation is not None
        self.leaving[tenant.serial] = tenant.operation
        del self.tenants[tenant.name]
        self.routes = Routes((t.name, r) for t in self.tenants.values() for r in routes_of(t.spec))

    def call_off(self, tenant: Tenant, _word: str) -> None:
        self.end(tenant.operation, CALLED_OFF)
        tenant.operation = None

    # State that outlives the process

    def kept(self) -> JsonObject:
        rows = [[t.name, t.serial, t.version, t.state, t.spec] for t in self.tenants.values()]
        return {"counted": self.counted, "tenants": rows, "keys": self.keys}

    @classmethod
    def of(cls, kept: JsonObject) -> TenantRegistry:
        """A process that ended has no txns in flight: what drained has drained."""
        registry = cls()
        registry.counted = kept["counted"]
        registry.keys = {key: (str(d), str(name), int(n)) for key, (d, name, n) in kept["keys"].items()}
        for name, serial, version, state, spec in kept["tenants"]:
            state = DRAINED if state == DRAINING else state
            registry.tenants[name] = Tenant(name, serial, version, spec, state)
        registry.routes = Routes((t.name, r) for t in registry.tenants.values() for r in routes_of(t.spec))
        return registry


def bound(table: dict[str, Any], most: int) -> None:
    while len(table) > most:
        del table[next(iter(table))]


Effect = Callable[[TenantRegistry, Tenant, str], None]
TABLE: dict[tuple[str, str], tuple[str, Effect | None]] = {
    (ACTIVE, "suspend"): (SUSPENDED, None),
    (SUSPENDED, "resume"): (ACTIVE, None),
    (ACTIVE, "drain"): (DRAINING, TenantRegistry.drain),
    (SUSPENDED, "drain"): (DRAINING, TenantRegistry.drain),
    (DRAINING, "resume"): (ACTIVE, TenantRegistry.call_off),
    (DRAINED, "resume"): (ACTIVE, None),
    (ACTIVE, "remove"): (REMOVED, TenantRegistry.remove),
    (SUSPENDED, "remove"): (REMOVED, TenantRegistry.remove),
    (DRAINING, "remove"): (REMOVED, TenantRegistry.remove),
    (DRAINED, "remove"): (REMOVED, TenantRegistry.remove),
}
