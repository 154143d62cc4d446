"""Reads the platform's start-up settings into `GatewaySettings`.

This is one of the project's two edges to the platform's own vocabulary (the other is the simulator's wire):
the tables below and the keys in the functions are the only places where its names are mapped.
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
    """Start-up settings that cannot be used; its text is one line."""


class NameIndex:
    """Index of each request class, plan and zone by its platform name.

    Zones may be added later: an endpoint may stand in one that the settings do not name.
    """

    def __init__(self, request_classes: list[JsonObject], plans: list[JsonObject], zones: list[str]) -> None:
        self.request_classes = {entry["name"]: index for index, entry in enumerate(request_classes)}
        self.plans = {entry["name"]: index for index, entry in enumerate(plans)}
        self.zones = {name: index for index, name in enumerate(zones)}

    def zone_index(self, name: str) -> int:
        """Index of a zone; a new one for a name not seen before."""
        return self.zones.setdefault(name, len(self.zones))


def read_settings(raw: JsonObject) -> tuple[GatewaySettings, NameIndex]:
    """Reads the platform's settings object.

    Raises:
        SettingsError: where something is missing, of the wrong type or out of range.
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
    allowed = raw["ceilings"]
    contract = raw["contract"]
    family = raw.get("familyInfo") or {}
    report = raw.get("loadReport") or {}
    settings = GatewaySettings(
        ordinal=int(raw["ordinal"]),
        gateways=int(_amount(raw, "balancers", 1)),
        zone=names.zone_index(raw["az"]),
        request_classes=tuple(_read_request_class(entry) for entry in request_classes),
        plans=tuple(_read_plan(entry) for entry in plans),
        max_request_units=_amount(family, "unitsTop") or 1.0,
        has_counter=bool(family.get("counter")),
        counter_timeout_ms=_amount(family, "countWaitMs"),
        cancellation_allowed=bool(allowed.get("cancel")),
        hedging_allowed=bool(allowed.get("secondCopies")),
        max_retry_after_ms=_amount(allowed, "maxRetryAfterMs") if allowed.get("retryAfter") else 0.0,
        max_attempts=int(_amount(allowed, "maxAttempts", 1)),
        warm_up_initial_fraction=_amount(contract, "coldFrom"),
        warm_up_ms=_amount(contract, "coldMs"),
        warm_up_overload_multiple=_amount(contract, "fallMultiple"),
        cross_zone_fee=_amount(raw.get("fees") or {}, "crossZone"),
        load_report_fields=tuple(LOAD_REPORT_FIELDS.get(name, name) for name in report.get("columns") or ()),
    )
    _amount(contract, "fallMs")  # checked, though no decision reads it
    return settings


def _read_request_class(raw: JsonObject) -> RequestClass:
    request_class = RequestClass(
        priority_weight=_amount(raw, "gain"),
        latency_objective_ms=_amount(raw, "onTimeMs"),
        deadline_ms=_amount(raw, "deadlineMs"),
        idempotency=IDEMPOTENCY_NAMES[raw["idempotency"]],
        deduplication_scope=DeduplicationScope(raw.get("group") or "all"),
        idempotency_window_ms=_amount(raw, "keyTtlMs"),
    )
    _amount(raw, "lateWorth")  # checked, though no decision reads it
    return request_class


def _read_plan(raw: JsonObject) -> Plan:
    plan = Plan(
        units_per_s=_amount(raw, "unitsPerS"),
        burst_units=_amount(raw, "peakUnits"),
        max_concurrent_attempts=int(_amount(raw, "concurrency")),
        over_quota_value_share=_amount(raw, "excessWorth"),
        over_quota_cost_share=_amount(raw, "overrunCost"),
        ceiling_units_per_s=_amount(raw, "neverOverRate"),
        ceiling_burst_units=_amount(raw, "hardBurst"),
    )
    _amount(raw, "worthFactor")  # checked, though no decision reads it
    return plan


def _amount(raw: JsonObject, key: str, least: float = 0.0) -> float:
    """A number at the key, 0 where there is none.

    Raises:
        SettingsError: where it is no number, below `least` or not finite.
    """
    value = raw.get(key, 0.0)
    if value is None:
        value = 0.0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise SettingsError(f"{key} is not a number: {value!r}")
    if not least <= value < inf:  # JSON as Python reads it has NaN and Infinity
        reason = "below" if value < least else "not in range from"
        raise SettingsError(f"{key} is {value}, {reason} {least:g}")
    return float(value)
