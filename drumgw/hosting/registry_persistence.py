"""Converts the tenant registry to and from the JSON content of the state file.

Operations are not stored: they wait for requests in flight, and after a restart there are no such requests.
"""

from __future__ import annotations

from drumgw.hosting.tenant_registry import IdempotencyRecord, JsonObject, Tenant, TenantRegistry
from drumgw.hosting.tenant_states import TenantState


def registry_to_json(registry: TenantRegistry) -> JsonObject:
    """Returns the content of the state file for a registry."""
    return {
        "counted": registry.last_sequence_number,
        "tenants": [
            [tenant.name, tenant.serial, tenant.version, tenant.state.value, tenant.spec]
            for tenant in registry.tenants.values()
        ],
        "keys": registry.idempotency_records,
    }


def registry_from_json(content: JsonObject) -> TenantRegistry:
    """Returns the registry for the content of a state file.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: the content is not in the format of this version.
    """
    registry = TenantRegistry()
    registry.last_sequence_number = content["counted"]
    for key, (digest, tenant_name, serial) in content["keys"].items():
        registry.idempotency_records[key] = IdempotencyRecord(str(digest), str(tenant_name), int(serial))
    for name, serial, version, state, spec in content["tenants"]:
        registry.tenants[name] = Tenant(name, serial, version, spec, _state_after_restart(state))
    registry.rebuild_routes()
    return registry


def _state_after_restart(stored: str) -> TenantState:
    """Returns DRAINED for a tenant that was draining: no request is in flight in a new process."""
    state = TenantState(stored)
    return TenantState.DRAINED if state is TenantState.DRAINING else state
