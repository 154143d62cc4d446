"""The configuration file of a host (version 1), and the tenant spec, which the API accepts as JSON."""

from __future__ import annotations

import dataclasses
import secrets
from typing import Annotated, Literal

from pydantic import Field, model_validator

from drumgw.config.file_reader import read_file
from drumgw.config.platform_settings import (
    GatewayPlacement,
    JsonObject,
    known_endpoint_list,
    platform_settings,
)
from drumgw.config.sections import (
    Address,
    AllowedSection,
    Count,
    KnownEndpointSection,
    LimitsSection,
    LogSection,
    Name,
    PlanSection,
    RequestClassSection,
    RulesSection,
    Section,
    require_unique,
)
from drumgw.gateway.process_config import GatewayConfig, parse_config

VERSION = 1
SEED_BYTES = 8
MIN_ENDPOINT_CONNECTIONS = 2

HostName = Annotated[str, Field(pattern=r"^([a-z0-9_-]{1,63}(\.[a-z0-9_-]{1,63}){0,9})?$")]
PathPrefix = Annotated[str, Field(pattern=r"^(/[A-Za-z0-9._~-]{1,64}){0,8}$")]
TenantName = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9-]{0,22}[a-z0-9])?$")]

# How long discovery may delay its response to a tenant's watch. With hundreds of tenants, the shorter polls
# of a single gateway would use up the whole event loop. The drawback is that an outage of discovery that is
# shorter than this is noticed late (docs/hosting.md).
TENANT_WATCH_TIMEOUT_MS = 1000.0

# Placeholder for the required listen address: a tenant's service opens no listener, as the host's listener
# accepts the requests of all tenants.
NO_LISTENER = "127.0.0.1:0"
TENANT_SOCKETS = 1024


class RouteSection(Section):
    """`[[tenant.route]]`: an empty `host` matches any host, an empty `path` all paths."""

    host: HostName = ""
    path: PathPrefix = ""


class TenantSpec(Section):
    """The specification of a tenant. The field names are the keys of the file and of the API."""

    route: Annotated[list[RouteSection], Field(min_length=1, max_length=64)]
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    discovery: Address
    counter: Address | None = None
    zone: Name = "a"
    zones: Annotated[list[Name], Field(min_length=1, max_length=64)] = ["a"]
    rules: RulesSection = RulesSection()
    allowed: AllowedSection = AllowedSection()
    product: Annotated[list[RequestClassSection], Field(min_length=1, max_length=64)]
    plan: Annotated[list[PlanSection], Field(min_length=1, max_length=64)]
    worker: Annotated[list[KnownEndpointSection], Field(max_length=4096)] = []

    @model_validator(mode="after")
    def check_consistency(self) -> TenantSpec:
        """Raises ValueError if a name or route is given twice or the zone is not listed."""
        require_unique((request_class.name for request_class in self.product), "product")
        require_unique((plan.name for plan in self.plan), "plan")
        require_unique((endpoint.id for endpoint in self.worker), "worker")
        require_unique((f"{route.host}{route.path}" for route in self.route), "route")
        if self.zone not in self.zones:
            raise ValueError(f"zone {self.zone!r} is not listed in zones")
        return self


class NamedTenantSpec(TenantSpec):
    """`[[tenant]]`, or the body of a request that creates a tenant: a spec with the tenant's name."""

    name: TenantName

    def spec(self) -> JsonObject:
        """Returns the spec without the name, in the form that the registry stores."""
        return self.model_dump(mode="json", exclude={"name"})


class HostSection(Section):
    """`[host]`: the name, addresses and limits of the host process."""

    name: Name
    listen: Address
    api: Address = "127.0.0.1:9090"
    api_beyond_loopback: bool = False  # allowed behind a proxy that terminates TLS
    state: str | None = None  # persistent folder; None: tenants come from this file, the API is read-only
    ordinal: Annotated[int, Field(ge=0)] = 0
    gatekeepers: Count = 1
    txns: Annotated[int, Field(ge=2, le=10**6)] | None = None  # in flight; None: a third of the sockets

    @model_validator(mode="after")
    def check_consistency(self) -> HostSection:
        """Raises ValueError if the ordinal is too large, or tokens would cross a network unencrypted."""
        if self.ordinal >= self.gatekeepers:
            raise ValueError(f"ordinal {self.ordinal} must be below gatekeepers, which is {self.gatekeepers}")
        if not self.api_beyond_loopback and not self.api.startswith("127."):
            raise ValueError("api is not on loopback: tokens pass in the clear; see api_beyond_loopback")
        return self


class TokenSection(Section):
    """`[[token]]`: an administrator's token, stored as its SHA-256 hash."""

    id: Name
    role: Literal["operator", "tenant"]
    tenant: TenantName | None = None
    sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]

    @model_validator(mode="after")
    def check_consistency(self) -> TokenSection:
        """Raises ValueError if role `tenant` has no tenant or role `operator` has one."""
        if (self.role == "tenant") != (self.tenant is not None):
            raise ValueError("role tenant requires a tenant, role operator allows none")
        return self


class HostFile(Section):
    """The whole file. The field names are the file's keys."""

    version: Literal[1]
    host: HostSection
    limits: LimitsSection = LimitsSection()
    log: LogSection = LogSection()
    token: Annotated[list[TokenSection], Field(max_length=4096)] = []
    tenant: list[NamedTenantSpec] = []

    @model_validator(mode="after")
    def check_consistency(self) -> HostFile:
        """Raises ValueError if two tenants or tokens have the same name."""
        require_unique((tenant.name for tenant in self.tenant), "tenant")
        require_unique((token.id for token in self.token), "token")
        return self


def read_host_file(path: str) -> HostFile:
    """Reads and validates the file; raises FileError with all errors in it."""
    return read_file(path, HostFile, VERSION)


def tenant_config(
    file: HostFile, name: str, serial: int, spec: TenantSpec, max_endpoint_connections: int
) -> GatewayConfig:
    """Returns the configuration of a tenant's service.

    Counter keys start with the tenant's name and serial number. Otherwise customers with the same number in
    two tenants would share a counter, and so would a tenant and a removed tenant of the same name.
    """
    placement = GatewayPlacement(
        zone=spec.zone,
        zones=spec.zones,
        gateway_count=file.host.gatekeepers,
        ordinal=file.host.ordinal,
        has_counter=spec.counter is not None,
    )
    configuration = {
        "name": name,
        "listen": NO_LISTENER,
        "discovery": spec.discovery,
        "counter": spec.counter,
        "seed": secrets.token_hex(SEED_BYTES),
        "limits": {"sockets": TENANT_SOCKETS},
        "known": known_endpoint_list(spec.worker),
        "settings": platform_settings(spec.product, spec.plan, spec.rules, spec.allowed, placement),
    }
    return dataclasses.replace(
        parse_config(configuration, {}, name),
        max_endpoint_connections=max(MIN_ENDPOINT_CONNECTIONS, max_endpoint_connections),
        counter_key_prefix=f"{name}-{serial}-",
        log_prefix=f"tenant {name}: ",
        watch_timeout_ms=TENANT_WATCH_TIMEOUT_MS,
    )
