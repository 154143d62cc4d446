"""The configuration file of a gateway (version 1), and its conversion to a start-up configuration."""

from __future__ import annotations

import re
import secrets
from typing import Annotated, Literal

from pydantic import AfterValidator, Field, model_validator

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

VERSION = 1
SEED_BYTES = 8


def _check_seed(text: str) -> str:
    if not re.fullmatch(r"[0-9a-f]{1,16}", text):
        raise ValueError(f"expected up to 16 hex digits, found {text!r}")
    return text


class GatewaySection(Section):
    """`[gateway]`: the name and addresses of this gateway, its zone, and its number among the gateways."""

    name: Name
    listen: Address
    discovery: Address
    counter: Address | None = None
    seed: Annotated[str, AfterValidator(_check_seed)] | None = None  # None: random at each start
    zone: Name = "a"
    zones: list[Name] = ["a"]
    ordinal: Annotated[int, Field(ge=0)] = 0
    gatekeepers: Count = 1

    @model_validator(mode="after")
    def check_consistency(self) -> GatewaySection:
        """Raises ValueError if the zone is not listed or the ordinal is not below the number of gateways."""
        require_unique(self.zones, "zones")
        if self.zone not in self.zones:
            raise ValueError(f"zone {self.zone!r} is not listed in zones")
        if self.ordinal >= self.gatekeepers:
            raise ValueError(f"ordinal {self.ordinal} must be below gatekeepers, which is {self.gatekeepers}")
        return self


class GatewayFile(Section):
    """The whole file. The field names are the file's keys."""

    version: Literal[1]
    gateway: GatewaySection
    limits: LimitsSection = LimitsSection()
    log: LogSection = LogSection()
    rules: RulesSection = RulesSection()
    allowed: AllowedSection = AllowedSection()
    product: Annotated[list[RequestClassSection], Field(min_length=1)]
    plan: Annotated[list[PlanSection], Field(min_length=1)]
    worker: list[KnownEndpointSection] = []

    @model_validator(mode="after")
    def check_consistency(self) -> GatewayFile:
        """Raises ValueError if two request classes, plans or endpoints have the same name."""
        require_unique((request_class.name for request_class in self.product), "product")
        require_unique((plan.name for plan in self.plan), "plan")
        require_unique((endpoint.id for endpoint in self.worker), "worker")
        return self


def read_gateway_file(path: str) -> GatewayFile:
    """Reads and validates the file; raises FileError with all errors in it."""
    return read_file(path, GatewayFile, VERSION)


def gateway_configuration(file: GatewayFile) -> JsonObject:
    """Returns the start-up configuration in the form of the JSON file that GW_CONFIG names."""
    gateway = file.gateway
    placement = GatewayPlacement(
        zone=gateway.zone,
        zones=gateway.zones,
        gateway_count=gateway.gatekeepers,
        ordinal=gateway.ordinal,
        has_counter=gateway.counter is not None,
    )
    settings = platform_settings(file.product, file.plan, file.rules, file.allowed, placement)
    return {
        "name": gateway.name,
        "listen": gateway.listen,
        "discovery": gateway.discovery,
        "counter": gateway.counter,
        "seed": gateway.seed or secrets.token_hex(SEED_BYTES),
        "limits": {
            "cores": file.limits.cores,
            "memory_mb": file.limits.memory_mb,
            "sockets": file.limits.sockets,
        },
        "known": known_endpoint_list(file.worker),
        "settings": settings,
    }
