"""The operator's file of a host (version 1), and what a tenant is made of; the API takes the same in JSON."""

from __future__ import annotations

import dataclasses
import secrets
from typing import Annotated, Any, Literal

from pydantic import Field, model_validator

from drumgw.config.file_reader import read
from drumgw.config.gateway_file import Address, KnownEndpointSection, LimitsSection, LogSection, known
from drumgw.config.sections import (
    AllowedSection,
    Count,
    Name,
    PlanSection,
    RequestClassSection,
    RulesSection,
    Section,
    settings,
    twice,
)
from drumgw.gateway.process_config import GatewayConfig, parse_config

VERSION = 1
Host = Annotated[str, Field(pattern=r"^([a-z0-9_-]{1,63}(\.[a-z0-9_-]{1,63}){0,9})?$")]
Prefix = Annotated[str, Field(pattern=r"^(/[A-Za-z0-9._~-]{1,64}){0,8}$")]
TenantName = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9-]{0,22}[a-z0-9])?$")]

# A short pace for each of hundreds of tenants would take the whole loop: an agent that is silent for less
# than this, and answers no call that was out, is heard late (docs/hosting.md)
TENANT_WATCH_MS = 1000.0


class RouteSection(Section):
    """A route: any host where it is empty, all paths where that is."""

    host: Host = ""
    path: Prefix = ""


class TenantSpec(Section):
    """What a tenant is made of."""

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
    def fits(self) -> TenantSpec:
        twice([each.name for each in self.product], "product")
        twice([each.name for each in self.plan], "plan")
        twice([each.id for each in self.worker], "worker")
        twice([f"{each.host}{each.path}" for each in self.route], "route")
        if self.zone not in self.zones:
            raise ValueError(f"zone {self.zone!r} is none of zones")
        return self


class NamedTenantSpec(TenantSpec):
    """A tenant as a file or a create gives it."""

    name: TenantName

    def spec(self) -> dict[str, Any]:
        told = self.model_dump(mode="json")
        del told["name"]
        return told


class HostSection(Section):
    name: Name
    listen: Address
    api: Address = "127.0.0.1:9090"
    api_beyond_loopback: bool = False  # says that a proxy which speaks TLS stands before it
    state: str | None = None  # a folder that lasts; none: tenants come from this file, the API reads only
    ordinal: Annotated[int, Field(ge=0)] = 0
    gatekeepers: Count = 1
    txns: Annotated[int, Field(ge=2, le=10**6)] | None = None  # open at once; none: a third of the sockets

    @model_validator(mode="after")
    def fits(self) -> HostSection:
        if self.ordinal >= self.gatekeepers:
            raise ValueError(f"ordinal {self.ordinal} counts from 0 and there are {self.gatekeepers}")
        if not self.api_beyond_loopback and not self.api.startswith("127."):
            raise ValueError("api is beyond loopback: tokens pass in the clear; see api_beyond_loopback")
        return self


class TokenSection(Section):
    id: Name
    role: Literal["operator", "tenant"]
    tenant: TenantName | None = None
    sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]

    @model_validator(mode="after")
    def fits(self) -> TokenSection:
        if (self.role == "tenant") != (self.tenant is not None):
            raise ValueError("role tenant names its tenant, role operator none")
        return self


class HostFile(Section):
    version: Literal[1]
    host: HostSection
    limits: LimitsSection = LimitsSection()
    log: LogSection = LogSection()
    token: Annotated[list[TokenSection], Field(max_length=4096)] = []
    tenant: list[NamedTenantSpec] = []

    @model_validator(mode="after")
    def fits(self) -> HostFile:
        twice([each.name for each in self.tenant], "tenant")
        twice([each.id for each in self.token], "token")
        return self


def read_host_file(path: str) -> HostFile:
    return read(path, HostFile, VERSION)


def tenant_config(house: HostFile, name: str, serial: int, spec: TenantSpec, lines: int) -> GatewayConfig:
    """A gatekeeper's charter, without a front of its own. Its counts bear its serial number: a name that is
    removed and made anew, or two tenants with customers of one number, share none."""
    told = {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": spec.discovery,
        "counter": spec.counter,
        "seed": secrets.token_hex(8),
        "limits": {"sockets": 1024},
        "known": known(spec.worker),
        "settings": settings(
            list(spec.product),
            list(spec.plan),
            spec.rules,
            spec.allowed,
            list(spec.zones),
            spec.zone,
            house.host.gatekeepers,
            house.host.ordinal,
            spec.counter is not None,
        ),
    }
    config = parse_config(told, {}, name)
    prefix, said = f"{name}-{serial}-", f"tenant {name}: "
    return dataclasses.replace(
        config,
        max_endpoint_connections=max(2, lines),
        counter_key_prefix=prefix,
        log_prefix=said,
        watch_timeout_ms=TENANT_WATCH_MS,
    )
