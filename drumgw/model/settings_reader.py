"""Reads the platform's start-up settings into `GatewaySettings`.

Only this module and `drumgw.simulator.wire` map the platform's names to those of this project: here, in the
tables below and in the keys that the functions read.
"""

from __future__ import annotations

from math import inf
from typing import Any

from drumgw.model.settings import DeduplicationScope, GatewaySettings, Idempotency, Plan, RequestClass

JsonObject = dict[str, Any]

IDEMPOTENCY_NAMES = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENT_WITH_KEY,
    "once": Idempotency.NOT_IDEMPOTENT,
}
LOAD_REPORT_FIELDS = {
    "mean_ms": "service_ms",
    "load_share": "busy",
    "tps": "rate",
    "concurrent": "in_flight",
    "depth": "waiting",
    "err_ps": "errors",
    "x0": "x0",
    "x1": "x1",
}


class SettingsError(ValueError):
    """Start-up settings that are invalid. The message is a single line."""


class NameIndex:
    """Maps the platform's names of request classes, plans and zones to indexes.

    Zones may be added later, as an endpoint may be in one that the settings do not list.
    """

    def __init__(self, request_classes: list[JsonObject], plans: list[JsonObject], zones: list[str]) -> None:
        self.request_classes = {entry["name"]: index for index, entry in enumerate(request_classes)}
        self.plans = {entry["name"]: index for index, entry in enumerate(plans)}
        self.zones = {name: index for index, name in enumerate(zones)}

    def zone_index(self, name: str) -> int:
        """Returns the index of a zone, and adds a zone that is not known yet."""
        return self.zones.setdefault(name, len(self.zones))


def read_settings(raw: JsonObject) -> tuple[GatewaySettings, NameIndex]:
    """Reads the platform's settings object.

    Returns:
        The settings, and the indexes of the names in them.

    Raises:
        SettingsError: if a value is missing, of the wrong type or out of range.
    """
    request_classes, plans = raw.get("classes"), raw.get("tiersOfService")
    if not request_classes:
        raise SettingsError("no request classes (classes)")
    if not plans:
        raise SettingsError("no plans (tiersOfService)")
    try:
        names = NameIndex(request_classes, plans, raw.get("zones") or [""])
        return _read_gateway_settings(raw, request_classes, plans, names), names
    except KeyError as missing:
        raise SettingsError(f"missing {missing.args[0]}") from missing


def _read_gateway_settings(
    raw: JsonObject, request_classes: list[JsonObject], plans: list[JsonObject], names: NameIndex
) -> GatewaySettings:
    ceilings = raw["ceilings"]
    contract = raw["contract"]
    family_info = raw.get("familyInfo") or {}
    load_report = raw.get("loadReport") or {}
    settings = GatewaySettings(
        ordinal=int(raw["ordinal"]),
        gateways=int(_number(raw, "balancers", 1)),
        zone=names.zone_index(raw["az"]),
        request_classes=tuple(_read_request_class(entry) for entry in request_classes),
        plans=tuple(_read_plan(entry) for entry in plans),
        max_request_units=_number(family_info, "unitsTop") or 1.0,
        has_counter=bool(family_info.get("counter")),
        counter_timeout_ms=_number(family_info, "countWaitMs"),
        cancellation_allowed=bool(ceilings.get("cancel")),
        hedging_allowed=bool(ceilings.get("secondCopies")),
        max_retry_after_ms=_number(ceilings, "maxRetryAfterMs") if ceilings.get("retryAfter") else 0.0,
        max_attempts=int(_number(ceilings, "maxAttempts", 1)),
        warm_up_initial_fraction=_number(contract, "coldFrom"),
        warm_up_ms=_number(contract, "coldMs"),
        warm_up_overload_multiple=_number(contract, "fallMultiple"),
        cross_zone_fee=_number(raw.get("fees") or {}, "crossZone"),
        load_report_fields=tuple(
            LOAD_REPORT_FIELDS.get(name, name) for name in load_report.get("columns") or ()
        ),
    )
    _number(contract, "fallMs")  # only validated: no decision uses it
    return settings


def _read_request_class(raw: JsonObject) -> RequestClass:
    request_class = RequestClass(
        priority_weight=_number(raw, "gain"),
        latency_objective_ms=_number(raw, "onTimeMs"),
        deadline_ms=_number(raw, "deadlineMs"),
        idempotency=IDEMPOTENCY_NAMES[raw["idempotency"]],
        deduplication_scope=DeduplicationScope(raw.get("group") or "all"),
        idempotency_window_ms=_number(raw, "keyTtlMs"),
    )
    _number(raw, "lateWorth")  # only validated: no decision uses it
    return request_class


def _read_plan(raw: JsonObject) -> Plan:
    plan = Plan(
        units_per_s=_number(raw, "unitsPerS"),
        burst_units=_number(raw, "peakUnits"),
        max_concurrent_attempts=int(_number(raw, "concurrency")),
        over_quota_value_share=_number(raw, "excessWorth"),
        over_quota_cost_share=_number(raw, "overrunCost"),
        ceiling_units_per_s=_number(raw, "neverOverRate"),
        ceiling_burst_units=_number(raw, "hardBurst"),
    )
    _number(raw, "worthFactor")  # only validated: no decision uses it
    return plan


def _number(raw: JsonObject, key: str, minimum: float = 0.0) -> float:
    """Reads the number at a key; 0 if it is missing or null.

    Raises:
        SettingsError: if the value is not a number, below `minimum` or not finite.
    """
    value = raw.get(key, 0.0)
    if value is None:
        value = 0.0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise SettingsError(f"{key} is not a number: {value!r}")
    if not minimum <= value < inf:  # Python's JSON parser accepts NaN and Infinity
        reason = "below" if value < minimum else "not a finite number of at least"
        raise SettingsError(f"{key} is {value}, {reason} {minimum:g}")
    return float(value)
