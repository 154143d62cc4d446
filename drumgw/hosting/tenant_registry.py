"""The tenants of a host, their versions, and the long-running operations on them.

Every change gives the tenant a version that was never used before, and the caller of a change must name the
version that it is based on, so two administrators cannot overwrite each other's changes unknowingly. The name
of a removed tenant can be reused at once; requests still in flight belong to the old tenant's serial number.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, NamedTuple

from drumgw.hosting.errors import (
    CreatedTenantRemovedError,
    IdempotencyKeyReusedError,
    InvalidTransitionError,
    NameTakenError,
    OperationNotFoundError,
    RouteTakenError,
    TenantNotFoundError,
    TooManyTenantsError,
    VersionMismatchError,
    VersionRequiredError,
)
from drumgw.hosting.routing import AmbiguousRouteError, Route, RoutingTable
from drumgw.hosting.tenant_states import (
    TRANSITIONS,
    OperationState,
    TenantCommand,
    TenantState,
    TransitionEffect,
)

MAX_TENANTS = 10_000
MAX_IDEMPOTENCY_KEYS = 1024
MAX_OPERATIONS = 1024

JsonObject = dict[str, Any]


@dataclass(slots=True)
class Tenant:
    """A tenant; only the registry changes it.

    Attributes:
        name: unique among the current tenants.
        serial: never reused: a tenant created again under the same name has another serial.
        version: changes with every change of the tenant.
        spec: its settings (TenantSpec in drumgw/config/host_file.py), as JSON.
        state: whether it is active, suspended, draining, drained or removed.
        operation_id: the running operation that waits for its requests in flight; None if there is none.
    """

    name: str
    serial: int
    version: int
    spec: JsonObject
    state: TenantState = TenantState.ACTIVE
    operation_id: str | None = None

    @property
    def key(self) -> str:
        """Identifies the tenant in the tables of shares, weights and connection counts."""
        return f"{self.name}#{self.serial}"

    @property
    def routes(self) -> list[Route]:
        """The hosts and path prefixes of its requests, from the spec."""
        return _routes_of(self.spec)


@dataclass(frozen=True)
class LongRunningOperation:
    """A drain or a removal, which is done when no request of the tenant is in flight.

    Attributes:
        id: never reused.
        kind: the command that started it.
        tenant: the tenant's name.
        serial: the tenant's serial number.
        state: running, done or cancelled.
    """

    id: str
    kind: TenantCommand
    tenant: str
    serial: int
    state: OperationState


class IdempotencyRecord(NamedTuple):
    """The result of a create with an idempotency key: the request's digest and the tenant created."""

    digest: str
    tenant: str
    serial: int


class ChangeKind(Enum):
    """How a change affected a tenant; the value is used in the log."""

    NONE = "unchanged"  # a repeated create with the same idempotency key
    CREATED = "created"
    SPEC_REPLACED = "spec replaced"
    STATE_CHANGED = "state changed"
    REMOVED = "removed"


class TenantChange(NamedTuple):
    """The result of a change; TenantServices updates the tenant's services accordingly."""

    kind: ChangeKind
    tenant: Tenant


class TenantRegistry:
    """The tenants by name, the routing table, the operations and the idempotency keys."""

    def __init__(self) -> None:
        self.tenants: dict[str, Tenant] = {}  # by name; dropped on removal
        self.routes = RoutingTable()
        self.operations: dict[str, LongRunningOperation] = {}  # by id; the latest MAX_OPERATIONS
        self.pending_removals: dict[int, str] = {}  # operation id by serial; dropped as they end
        self.idempotency_records: dict[str, IdempotencyRecord] = {}  # by key; the latest MAX_IDEMPOTENCY_KEYS
        self.last_sequence_number = 0  # versions, serials and operations are numbered in one sequence

    def next_sequence_number(self) -> int:
        """Returns the next number of the sequence; no number is used twice, not even after a restart."""
        self.last_sequence_number += 1
        return self.last_sequence_number

    def copy(self) -> TenantRegistry:
        """Returns a copy to change; it replaces this registry once the change is stored."""
        new = TenantRegistry()
        new.tenants = {name: replace(tenant) for name, tenant in self.tenants.items()}
        new.routes = self.routes
        new.operations = dict(self.operations)
        new.pending_removals = dict(self.pending_removals)
        new.idempotency_records = dict(self.idempotency_records)
        new.last_sequence_number = self.last_sequence_number
        return new

    # Reading

    def get(self, name: str) -> Tenant:
        """Returns a tenant; raises TenantNotFoundError."""
        tenant = self.tenants.get(name)
        if tenant is None:
            raise TenantNotFoundError(name)
        return tenant

    def list_page(
        self, after: str, limit: int, only_name: str | None = None
    ) -> tuple[list[Tenant], str | None]:
        """Returns a page of tenants in name order, and its last name if there are more, else None.

        Args:
            after: the last name of the previous page; "" for the first page.
            limit: the maximum number of tenants.
            only_name: the only tenant to list; None lists all.
        """
        names = sorted(name for name in self.tenants if name > after and only_name in (None, name))
        page = [self.tenants[name] for name in names[:limit]]
        return page, names[limit - 1] if len(names) > limit else None

    def get_operation(self, operation_id: str) -> LongRunningOperation:
        """Returns an operation; raises OperationNotFoundError."""
        operation = self.operations.get(operation_id)
        if operation is None:
            raise OperationNotFoundError(f"operation {operation_id!r} does not exist or is no longer kept")
        return operation

    # Changes

    def create(self, name: str, spec: JsonObject, idempotency_key: str | None = None) -> TenantChange:
        """Adds a tenant, or returns the one that an earlier call with the same key and arguments added.

        Raises:
            ApiError: the name or a route is taken, the registry is full, the key was used with other
                arguments, or the tenant created with it was removed.
        """
        digest = hashlib.sha256(json.dumps([name, spec], sort_keys=True).encode()).hexdigest()
        if idempotency_key is not None and idempotency_key in self.idempotency_records:
            return self._repeat_create(self.idempotency_records[idempotency_key], digest)
        if name in self.tenants:
            raise NameTakenError(name)
        if len(self.tenants) >= MAX_TENANTS:
            raise TooManyTenantsError(MAX_TENANTS)
        self.routes = self._routes_with(name, spec)
        number = self.next_sequence_number()
        tenant = Tenant(name, number, number, spec)
        self.tenants[name] = tenant
        if idempotency_key is not None:
            self.idempotency_records[idempotency_key] = IdempotencyRecord(digest, name, number)
            _drop_oldest(self.idempotency_records, MAX_IDEMPOTENCY_KEYS)
        return TenantChange(ChangeKind.CREATED, tenant)

    def replace_spec(self, name: str, spec: JsonObject, if_match: str | None) -> TenantChange:
        """Replaces a tenant's spec; raises ApiError if the version does not match or a route is taken."""
        tenant = self._get_at_version(name, if_match)
        self.routes = self._routes_with(name, spec)
        tenant.spec = spec
        tenant.version = self.next_sequence_number()
        return TenantChange(ChangeKind.SPEC_REPLACED, tenant)

    def apply_command(self, name: str, command: TenantCommand, if_match: str | None) -> TenantChange:
        """Suspends, resumes, drains or removes a tenant.

        Raises:
            ApiError: the version does not match, or the command is not possible in this state.
        """
        tenant = self._get_at_version(name, if_match)
        transition = TRANSITIONS.get((tenant.state, command))
        if transition is None:
            raise InvalidTransitionError(f"{name!r} is {tenant.state.value}: {command.value} is not possible")
        tenant.state = transition.state
        tenant.version = self.next_sequence_number()
        match transition.effect:
            case TransitionEffect.BEGIN_DRAIN:
                self._begin_operation(tenant, command)
            case TransitionEffect.CANCEL_DRAIN:
                self._end_operation(tenant.operation_id, OperationState.CANCELLED)
                tenant.operation_id = None
            case TransitionEffect.REMOVE:
                self._remove(tenant)
        removed = tenant.state is TenantState.REMOVED
        return TenantChange(ChangeKind.REMOVED if removed else ChangeKind.STATE_CHANGED, tenant)

    def finish_drain(self, serial: int) -> Tenant | None:
        """Ends the drain or removal that waited for a tenant's requests in flight.

        Returns:
            The tenant; None if it was removed. A tenant that is no longer draining is returned unchanged.
        """
        removal = self.pending_removals.pop(serial, None)
        if removal is not None:
            self._end_operation(removal, OperationState.DONE)
            return None
        tenant = next((tenant for tenant in self.tenants.values() if tenant.serial == serial), None)
        if tenant is not None and tenant.state is TenantState.DRAINING:
            tenant.state = TenantState.DRAINED
            tenant.version = self.next_sequence_number()
            self._end_operation(tenant.operation_id, OperationState.DONE)
            tenant.operation_id = None
        return tenant

    # Helpers of the changes

    def _repeat_create(self, record: IdempotencyRecord, digest: str) -> TenantChange:
        if record.digest != digest:
            raise IdempotencyKeyReusedError
        tenant = self.tenants.get(record.tenant)
        if tenant is None or tenant.serial != record.serial:
            raise CreatedTenantRemovedError(record.tenant)
        return TenantChange(ChangeKind.NONE, tenant)

    def _get_at_version(self, name: str, if_match: str | None) -> Tenant:
        tenant = self.get(name)
        if if_match is None:
            raise VersionRequiredError
        if if_match.strip() != f'"{tenant.version}"':
            raise VersionMismatchError(name, tenant.version)
        return tenant

    def _routes_with(self, name: str, spec: JsonObject) -> RoutingTable:
        """Returns the routing table with this spec's routes for a tenant; raises RouteTakenError."""
        routes = _routing_table(tenant for tenant in self.tenants.values() if tenant.name != name)
        for position, route in enumerate(_routes_of(spec)):
            try:
                routes.add(name, route)
            except AmbiguousRouteError as error:
                raise RouteTakenError(position, str(error)) from error
        return routes

    def _remove(self, tenant: Tenant) -> None:
        self._end_operation(tenant.operation_id, OperationState.CANCELLED)
        self.pending_removals[tenant.serial] = self._begin_operation(tenant, TenantCommand.REMOVE)
        del self.tenants[tenant.name]
        self.rebuild_routes()

    def rebuild_routes(self) -> None:
        """Builds the routing table from the current tenants."""
        self.routes = _routing_table(self.tenants.values())

    def _begin_operation(self, tenant: Tenant, kind: TenantCommand) -> str:
        operation = LongRunningOperation(
            id=f"op-{self.next_sequence_number()}",
            kind=kind,
            tenant=tenant.name,
            serial=tenant.serial,
            state=OperationState.RUNNING,
        )
        self.operations[operation.id] = operation
        tenant.operation_id = operation.id
        _drop_oldest(self.operations, MAX_OPERATIONS)
        return operation.id

    def _end_operation(self, operation_id: str | None, state: OperationState) -> None:
        if operation_id is not None and operation_id in self.operations:
            self.operations[operation_id] = replace(self.operations[operation_id], state=state)


def _routes_of(spec: Mapping[str, Any]) -> list[Route]:
    return [Route(route["host"], route["path"]) for route in spec["route"]]


def _routing_table(tenants: Iterable[Tenant]) -> RoutingTable:
    return RoutingTable((tenant.name, route) for tenant in tenants for route in tenant.routes)


def _drop_oldest(table: dict[str, Any], max_size: int) -> None:
    while len(table) > max_size:
        del table[next(iter(table))]
