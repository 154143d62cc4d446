"""Converts the sections of configuration files to start-up settings in the platform's format.

In the dictionaries below, the keys are those of the platform's settings (read by
drumgw/model/settings_reader.py), and the attributes are the keys of the files (drumgw/config/sections.py).
The two vocabularies are mapped to each other only here.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from drumgw.config.sections import (
    AllowedSection,
    KnownEndpointSection,
    PlanSection,
    RequestClassSection,
    RulesSection,
)

JsonObject = dict[str, Any]

IDEMPOTENCY_BY_REPEAT = {"inquiry-like": "repeatable", "referenced": "by_key", "once-only": "once"}


@dataclass(frozen=True)
class GatewayPlacement:
    """The position of a gateway among the gateways and zones of its service."""

    zone: str
    zones: Sequence[str]
    gateway_count: int
    ordinal: int  # counts from 0
    has_counter: bool


def platform_settings(
    request_classes: Sequence[RequestClassSection],
    plans: Sequence[PlanSection],
    rules: RulesSection,
    allowed: AllowedSection,
    placement: GatewayPlacement,
) -> JsonObject:
    """Returns the start-up settings of one gateway, in the platform's format."""
    return {
        "az": placement.zone,
        "zones": list(placement.zones),
        "balancers": placement.gateway_count,
        "ordinal": placement.ordinal,
        "classes": [_request_class_settings(request_class) for request_class in request_classes],
        "tiersOfService": [_plan_settings(plan) for plan in plans],
        "ceilings": _allowed_settings(allowed),
        "contract": _rules_settings(rules),
        "familyInfo": {
            "counter": placement.has_counter,
            "countWaitMs": allowed.counter_wait_ms,
            "settles": True,
            "unitsTop": allowed.most_units,
        },
        "fees": {"crossZone": 0.0},
        "loadReport": {"via": "piggyback", "columns": ["mean_ms"]},
    }


def known_endpoint_list(endpoints: Sequence[KnownEndpointSection]) -> JsonObject:
    """Returns the endpoints of a file as an endpoint list in discovery's format."""
    rows = [
        {
            "instanceId": endpoint.id,
            "hostPort": endpoint.address,
            "zone": endpoint.zone,
            "machineType": endpoint.kind,
            "cell": endpoint.cell,
            "lifecycle": "up",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for endpoint in endpoints
    ]
    return {"generation": 0, "reset": True, "instances": rows}


def _request_class_settings(request_class: RequestClassSection) -> JsonObject:
    return {
        "name": request_class.name,
        "idempotency": IDEMPOTENCY_BY_REPEAT[request_class.repeat],
        "group": request_class.group,
        "gain": request_class.value,
        "lateWorth": request_class.late_value,
        "onTimeMs": request_class.sla_ms,
        "deadlineMs": request_class.expiry_ms,
        "keyTtlMs": request_class.remember_ms,
    }


def _plan_settings(plan: PlanSection) -> JsonObject:
    return {
        "name": plan.name,
        "unitsPerS": plan.units_per_s,
        "peakUnits": plan.burst_units,
        "concurrency": plan.open_cap,
        "worthFactor": plan.price,
        "excessWorth": plan.over_value,
        "overrunCost": plan.over_cost,
        "neverOverRate": plan.ceiling_per_s,
        "hardBurst": plan.ceiling_burst,
        "capSlack": plan.ceiling_slack,
    }


def _allowed_settings(allowed: AllowedSection) -> JsonObject:
    return {
        "cancel": allowed.cancel,
        "probes": False,
        "secondCopies": allowed.second_copies,
        "maxAttempts": allowed.submissions,
        "retryAfter": allowed.retry_after_ms > 0,
        "maxRetryAfterMs": allowed.retry_after_ms,
        "connIdleMs": allowed.idle_ms,
        "connectTimeoutMs": allowed.connect_ms,
    }


def _rules_settings(rules: RulesSection) -> JsonObject:
    return {
        "coldFrom": rules.cold_from,
        "coldMs": rules.cold_ms,
        "fallMs": rules.fall_ms,
        "fallMultiple": rules.fall_multiple,
        "stopSendingWithinMs": rules.drain_grace_ms,
        "answerSlackMs": rules.answer_slack_ms,
    }
