"""What files share, in the operators' words: products, plans, rules, limits; and the settings they make."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

Amount = Annotated[float, Field(ge=0, le=1e12, allow_inf_nan=False)]
Share = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]
Some = Annotated[float, Field(gt=0, le=1e12, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1, le=10**6)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,40}$")]


class Section(BaseModel):
    """A table of a file. A key that it does not have is a mistake."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class RequestClassSection(Section):
    name: Name
    value: Some = 1.0
    sla_ms: Some
    expiry_ms: Some
    repeat: Literal["inquiry-like", "referenced", "once-only"]
    group: Literal["all", "zone", "cell"] = "all"
    remember_ms: Amount = 5000.0
    late_value: Share = 0.2

    @model_validator(mode="after")
    def fits(self) -> RequestClassSection:
        if self.sla_ms > self.expiry_ms:
            raise ValueError(f"sla_ms {self.sla_ms:g} is beyond expiry_ms {self.expiry_ms:g}")
        return self


class PlanSection(Section):
    name: Name
    units_per_s: Amount = 0.0
    burst_units: Amount = 0.0
    open_cap: Annotated[int, Field(ge=0)] = 0
    price: Some = 1.0
    over_value: Share = 0.0
    over_cost: Share = 0.0
    ceiling_per_s: Amount = 0.0
    ceiling_burst: Amount = 0.0
    ceiling_slack: Amount = 0.0

    @model_validator(mode="after")
    def fits(self) -> PlanSection:
        if self.units_per_s and self.burst_units < 1:
            raise ValueError("a plan with units_per_s needs burst_units of 1 or more")
        if self.ceiling_per_s and not (self.ceiling_burst >= 1 and self.ceiling_per_s >= self.units_per_s):
            raise ValueError("a ceiling needs ceiling_burst of 1 or more and at least the plan's units_per_s")
        return self


class RulesSection(Section):
    """What must hold of cold workers and drains."""

    drain_grace_ms: Amount = 250.0
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.2
    cold_ms: Amount = 10000.0
    fall_multiple: Annotated[float, Field(gt=1, le=1000)] = 4.0
    fall_ms: Some = 3000.0
    answer_slack_ms: Amount = 8.0


class AllowedSection(Section):
    """What a gatekeeper may do."""

    submissions: Annotated[int, Field(ge=1, le=10)] = 3
    second_copies: bool = False
    cancel: bool = True
    connect_ms: Some = 250.0
    idle_ms: Amount = 30000.0
    retry_after_ms: Amount = 500.0
    counter_wait_ms: Amount = 80.0
    most_units: Some = 6.0


REPEATS = {"inquiry-like": "repeatable", "referenced": "by_key", "once-only": "once"}


def product_settings(p: RequestClassSection) -> dict[str, Any]:
    return {
        "name": p.name,
        "idempotency": REPEATS[p.repeat],
        "group": p.group,
        "gain": p.value,
        "lateWorth": p.late_value,
        "onTimeMs": p.sla_ms,
        "deadlineMs": p.expiry_ms,
        "keyTtlMs": p.remember_ms,
    }


def plan_settings(p: PlanSection) -> dict[str, Any]:
    return {
        "name": p.name,
        "unitsPerS": p.units_per_s,
        "peakUnits": p.burst_units,
        "concurrency": p.open_cap,
        "worthFactor": p.price,
        "excessWorth": p.over_value,
        "overrunCost": p.over_cost,
        "neverOverRate": p.ceiling_per_s,
        "hardBurst": p.ceiling_burst,
        "capSlack": p.ceiling_slack,
    }


def settings(
    products: list[RequestClassSection],
    plans: list[PlanSection],
    rules: RulesSection,
    allowed: AllowedSection,
    zones: list[str],
    zone: str,
    gatekeepers: int,
    ordinal: int,
    counter: bool,
) -> dict[str, Any]:
    """The start-up settings of one gatekeeper, as the platform would give them."""
    return {
        "az": zone,
        "zones": zones,
        "balancers": gatekeepers,
        "ordinal": ordinal,
        "classes": [product_settings(p) for p in products],
        "tiersOfService": [plan_settings(p) for p in plans],
        "ceilings": {
            "cancel": allowed.cancel,
            "probes": False,
            "secondCopies": allowed.second_copies,
            "maxAttempts": allowed.submissions,
            "retryAfter": allowed.retry_after_ms > 0,
            "maxRetryAfterMs": allowed.retry_after_ms,
            "connIdleMs": allowed.idle_ms,
            "connectTimeoutMs": allowed.connect_ms,
        },
        "contract": {
            "coldFrom": rules.cold_from,
            "coldMs": rules.cold_ms,
            "fallMs": rules.fall_ms,
            "fallMultiple": rules.fall_multiple,
            "stopSendingWithinMs": rules.drain_grace_ms,
            "answerSlackMs": rules.answer_slack_ms,
        },
        "familyInfo": {
            "counter": counter,
            "countWaitMs": allowed.counter_wait_ms,
            "settles": True,
            "unitsTop": allowed.most_units,
        },
        "fees": {"crossZone": 0.0},
        "loadReport": {"via": "piggyback", "columns": ["mean_ms"]},
    }


def twice(names: list[str], where: str) -> None:
    """Names stand for what they name: two of one name in a file contradict each other."""
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"{where}: the name {name!r} is given twice")
