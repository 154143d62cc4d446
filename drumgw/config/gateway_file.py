"""The operator's file of one gatekeeper (version 1), and the configuration that it makes."""

from __future__ import annotations

import re
import secrets
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, Field, model_validator

from drumgw.config.file_reader import read
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

VERSION = 1


def _address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > 65535:
        raise ValueError(f"expected host:port, found {text!r}")
    return text


def _seed(text: str) -> str:
    if not re.fullmatch(r"[0-9a-f]{1,16}", text):
        raise ValueError(f"expected up to 16 hex digits, found {text!r}")
    return text


Address = Annotated[str, AfterValidator(_address)]


class GatewaySection(Section):
    name: Name
    listen: Address
    discovery: Address
    counter: Address | None = None
    seed: Annotated[str, AfterValidator(_seed)] | None = None  # none: a new one at each start
    zone: Name = "a"
    zones: list[Name] = ["a"]
    ordinal: Annotated[int, Field(ge=0)] = 0
    gatekeepers: Count = 1

    @model_validator(mode="after")
    def fits(self) -> GatewaySection:
        twice(self.zones, "zones")
        if self.zone not in self.zones:
            raise ValueError(f"zone {self.zone!r} is none of zones")
        if self.ordinal >= self.gatekeepers:
            raise ValueError(
                f"ordinal {self.ordinal} counts from 0 and there are {self.gatekeepers} gatekeepers"
            )
        return self


class LimitsSection(Section):
    sockets: Annotated[int, Field(ge=64, le=10**6)] = 1024
    memory_mb: Count = 192
    cores: Annotated[float, Field(gt=0, le=1024)] = 1.0


class LogSection(Section):
    form: Literal["text", "json"] = "text"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class KnownEndpointSection(Section):
    """A worker known before discovery is heard."""

    id: Name
    address: Address
    zone: Name = "a"
    cell: Annotated[int, Field(ge=0)] = 0
    kind: Name = "std"


class GatewayFile(Section):
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
    def fits(self) -> GatewayFile:
        for names, where in ((self.product, "product"), (self.plan, "plan")):
            twice([each.name for each in names], where)
        twice([w.id for w in self.worker], "worker")
        return self


def read_gateway_file(path: str) -> GatewayFile:
    return read(path, GatewayFile, VERSION)


def known(workers: list[KnownEndpointSection]) -> dict[str, Any]:
    """The workers of a file, as discovery would list them."""
    rows = [
        {
            "instanceId": w.id,
            "hostPort": w.address,
            "zone": w.zone,
            "machineType": w.kind,
            "cell": w.cell,
            "lifecycle": "up",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for w in workers
    ]
    return {"generation": 0, "reset": True, "instances": rows}


def configuration(office: GatewayFile) -> dict[str, Any]:
    """What GW_CONFIG would hold."""
    g = office.gateway
    told = settings(
        office.product,
        office.plan,
        office.rules,
        office.allowed,
        g.zones,
        g.zone,
        g.gatekeepers,
        g.ordinal,
        g.counter is not None,
    )
    return {
        "name": g.name,
        "listen": g.listen,
        "discovery": g.discovery,
        "counter": g.counter,
        "seed": g.seed or secrets.token_hex(8),
        "limits": {
            "cores": office.limits.cores,
            "memory_mb": office.limits.memory_mb,
            "sockets": office.limits.sockets,
        },
        "known": known(office.worker),
        "settings": told,
    }
