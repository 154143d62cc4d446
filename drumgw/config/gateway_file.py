"""The operator's file of one gateway (version 1), and the start-up configuration that it makes."""

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
    """`[gateway]`: the name, addresses and place of this gateway."""

    name: Name
    listen: Address
    discovery: Address
    counter: Address | None = None
    seed: Annotated[str, AfterValidator(_check_seed)] | None = None  # none: a new one at each start
    zone: Name = "a"
    zones: list[Name] = ["a"]
    ordinal: Annotated[int, Field(ge=0)] = 0
    gatekeepers: Count = 1

    @model_validator(mode="after")
    def check_consistency(self) -> GatewaySection:
        """Raises ValueError where the zone is not listed or the ordinal is beyond the gateways."""
        require_unique(self.zones, "zones")
        if self.zone not in self.zones:
            raise ValueError(f"zone {self.zone!r} is none of zones")
        if self.ordinal >= self.gatekeepers:
            raise ValueError(f"ordinal {self.ordinal} counts from 0 and gatekeepers is {self.gatekeepers}")
        return self


class GatewayFile(Section):
    """The file. Its fields are the file's keys."""

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
        """Raises ValueError where a name is given twice."""
        require_unique((request_class.name for request_class in self.product), "product")
        require_unique((plan.name for plan in self.plan), "plan")
        require_unique((endpoint.id for endpoint in self.worker), "worker")
        return self


def read_gateway_file(path: str) -> GatewayFile:
    """Reads and checks the file; raises FileError with every mistake in it."""
    return read_file(path, GatewayFile, VERSION)


def gateway_configuration(file: GatewayFile) -> JsonObject:
    """Returns what the JSON file named by GW_CONFIG would hold."""
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
