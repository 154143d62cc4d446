"""Sections that several kinds of configuration file share.

The field names are the keys of the files, so renaming one breaks operators' files; some differ from the names
that the program uses. platform_settings.py maps them to the platform's settings.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

Amount = Annotated[float, Field(ge=0, le=1e12, allow_inf_nan=False)]
PositiveAmount = Annotated[float, Field(gt=0, le=1e12, allow_inf_nan=False)]
Fraction = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1, le=10**6)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,40}$")]

MAX_PORT = 65535


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > MAX_PORT:
        raise ValueError(f"expected host:port, found {text!r}")
    return text


Address = Annotated[str, AfterValidator(_check_address)]


def require_unique(names: Iterable[str], key: str) -> None:
    """Raises ValueError if a name is given twice: two tables with the same name would be ambiguous."""
    for name, count in Counter(names).items():
        if count > 1:
            raise ValueError(f"{key}: the name {name!r} is given twice")


class Section(BaseModel):
    """A table of a file. Unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class RequestClassSection(Section):
    """`[[product]]`: a request class: its priority weight, latency objective, deadline and idempotency."""

    name: Name
    value: PositiveAmount = 1.0
    sla_ms: PositiveAmount
    expiry_ms: PositiveAmount
    repeat: Literal["inquiry-like", "referenced", "once-only"]
    group: Literal["all", "zone", "cell"] = "all"
    remember_ms: Amount = 5000.0
    late_value: Fraction = 0.2

    @model_validator(mode="after")
    def check_consistency(self) -> RequestClassSection:
        """Raises ValueError if the latency objective exceeds the deadline."""
        if self.sla_ms > self.expiry_ms:
            raise ValueError(f"sla_ms {self.sla_ms:g} exceeds expiry_ms {self.expiry_ms:g}")
        return self


class PlanSection(Section):
    """`[[plan]]`: a quota, how requests beyond it are valued, a concurrency cap and a ceiling."""

    name: Name
    units_per_s: Amount = 0.0
    burst_units: Amount = 0.0
    open_cap: Annotated[int, Field(ge=0)] = 0
    price: PositiveAmount = 1.0
    over_value: Fraction = 0.0
    over_cost: Fraction = 0.0
    ceiling_per_s: Amount = 0.0
    ceiling_burst: Amount = 0.0
    ceiling_slack: Amount = 0.0

    @model_validator(mode="after")
    def check_consistency(self) -> PlanSection:
        """Raises ValueError if a burst is below 1 unit, or the ceiling's rate is below the quota's."""
        if self.units_per_s and self.burst_units < 1:
            raise ValueError("a plan with units_per_s needs burst_units of 1 or more")
        if self.ceiling_per_s and not (self.ceiling_burst >= 1 and self.ceiling_per_s >= self.units_per_s):
            raise ValueError("a ceiling needs ceiling_burst of 1 or more and at least the plan's units_per_s")
        return self


class RulesSection(Section):
    """`[rules]`: the drain grace, the warm-up model of endpoints, and the slack for late responses."""

    drain_grace_ms: Amount = 250.0
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.2
    cold_ms: Amount = 10000.0
    fall_multiple: Annotated[float, Field(gt=1, le=1000)] = 4.0
    fall_ms: PositiveAmount = 3000.0
    answer_slack_ms: Amount = 8.0


class AllowedSection(Section):
    """`[allowed]`: limits on attempts, connections, Retry-After, counter calls and units per request."""

    submissions: Annotated[int, Field(ge=1, le=10)] = 3
    second_copies: bool = False
    cancel: bool = True
    connect_ms: PositiveAmount = 250.0
    idle_ms: Amount = 30000.0
    retry_after_ms: Amount = 500.0
    counter_wait_ms: Amount = 80.0
    most_units: PositiveAmount = 6.0


class LimitsSection(Section):
    """`[limits]`: the resources that the process may use."""

    sockets: Annotated[int, Field(ge=64, le=10**6)] = 1024
    memory_mb: Count = 192
    cores: Annotated[float, Field(gt=0, le=1024)] = 1.0


class LogSection(Section):
    """`[log]`: the format and the minimum level of log lines."""

    form: Literal["text", "json"] = "text"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class KnownEndpointSection(Section):
    """`[[worker]]`: an endpoint that can be used before discovery has responded."""

    id: Name
    address: Address
    zone: Name = "a"
    cell: Annotated[int, Field(ge=0)] = 0
    kind: Name = "std"
