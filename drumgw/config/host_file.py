"""The operator's file of a host (version 1) and the spec of a tenant, which the API takes in JSON."""

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

# How long discovery may hold a tenant's watch. The shorter polls that one gateway uses would take the whole
# event loop with hundreds of tenants; the price is that a shorter outage of discovery is noticed late
# (docs/hosting.md).
TENANT_WATCH_TIMEOUT_MS = 1000.0

# A tenant's service listens nowhere: the host's listener serves all tenants.
NO_LISTENER = "127.0.0.1:0"
TENANT_SOCKETS = 1024


class RouteSection(Section):
    """`[[tenant.route]]`: any host where `host` is empty, all paths where `path` is."""

    host: HostName = ""
    path: PathPrefix = ""


class TenantSpec(Section):
    """What an operator or a tenant says of a tenant. Its fields are the file's and the API's keys."""

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
        """Raises ValueError where a name is given twice or the zone is not listed."""
        require_unique((request_class.name for request_class in self.product), "product")
        require_unique((plan.name for plan in self.plan), "plan")
        require_unique((endpoint.id for endpoint in self.worker), "worker")
        require_unique((f"{route.host}{route.path}" for route in self.route), "route")
        if self.zone not in self.zones:
            raise ValueError(f"zone {self.zone!r} is none of zones")
        return self


class NamedTenantSpec(TenantSpec):
    """`[[tenant]]`, or the body of a create: a spec with the tenant's name."""

    name: TenantName

    def spec(self) -> JsonObject:
        """Returns the spec without the name, as the registry stores it."""
        return self.model_dump(mode="json", exclude={"name"})


class HostSection(Section):
    """`[host]`: the addresses and limits of the host itself."""

    name: Name
    listen: Address
    api: Address = "127.0.0.1:9090"
    api_beyond_loopback: bool = False  # says that a proxy which speaks TLS stands before it
    state: str | None = None  # a folder that lasts; none: tenants come from this file, the API reads only
    ordinal: Annotated[int, Field(ge=0)] = 0
    gatekeepers: Count = 1
    txns: Annotated[int, Field(ge=2, le=10**6)] | None = None  # in flight; none: a third of the sockets

    @model_validator(mode="after")
    def check_consistency(self) -> HostSection:
        """Raises ValueError for an ordinal beyond the gateways, or an API that would leak its tokens."""
        if self.ordinal >= self.gatekeepers:
            raise ValueError(f"ordinal {self.ordinal} counts from 0 and gatekeepers is {self.gatekeepers}")
        if not self.api_beyond_loopback and not self.api.startswith("127."):
            raise ValueError("api is beyond loopback: tokens pass in the clear; see api_beyond_loopback")
        return self


class TokenSection(Section):
    """`[[token]]`: an administrator's token, known by its hash."""

    id: Name
    role: Literal["operator", "tenant"]
    tenant: TenantName | None = None
    sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]

    @model_validator(mode="after")
    def check_consistency(self) -> TokenSection:
        """Raises ValueError where the role and the tenant contradict each other."""
        if (self.role == "tenant") != (self.tenant is not None):
            raise ValueError("role tenant names its tenant, role operator none")
        return self


class HostFile(Section):
    """The file. Its fields are the file's keys."""

    version: Literal[1]
    host: HostSection
    limits: LimitsSection = LimitsSection()
    log: LogSection = LogSection()
    token: Annotated[list[TokenSection], Field(max_length=4096)] = []
    tenant: list[NamedTenantSpec] = []

    @model_validator(mode="after")
    def check_consistency(self) -> HostFile:
        """Raises ValueError where a name is given twice."""
        require_unique((tenant.name for tenant in self.tenant), "tenant")
        require_unique((token.id for token in self.token), "token")
        return self


def read_host_file(path: str) -> HostFile:
    """Reads and checks the file; raises FileError with every mistake in it."""
    return read_file(path, HostFile, VERSION)


def tenant_config(
    file: HostFile, name: str, serial: int, spec: TenantSpec, max_endpoint_connections: int
) -> GatewayConfig:
    """Returns the configuration of a tenant's service.

    The names of its counters start with the tenant's name and serial number. So tenants with customers of one
    number share no count, nor does a tenant share one with a removed tenant of its name.
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
