"""The start-up settings, read into the module's terms; the simulator's adapter and the gate share it."""

from __future__ import annotations

from math import inf
from typing import Any

from drumgw.model.settings import DeduplicationScope, GatewaySettings, Idempotency, Plan, RequestClass

JsonObject = dict[str, Any]

REPEATS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENT_WITH_KEY,
    "once": Idempotency.NOT_IDEMPOTENT,
}
LOAD_REPORT_FIELDS = {
    "mean_ms": "service_ms",
    "load_share": "busy",
    "tps": "rate",
    "concurrent": "held",
    "depth": "waiting",
    "err_ps": "errors",
    "x0": "x0",
    "x1": "x1",
}


class SettingsError(ValueError):
    """Start-up terms that cannot be used."""


def _amount(obj: JsonObject, key: str, least: float = 0.0) -> float:
    value = obj.get(key, 0.0)
    if value is None:
        value = 0.0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise SettingsError(f"{key} is not a number: {value!r}")
    if not least <= value < inf:  # JSON as Python reads it has NaN and Infinity
        raise SettingsError(
            f"{key} is {value}, {'below' if value < least else 'not in range from'} {least:g}"
        )
    return float(value)


def read_settings(options: JsonObject) -> tuple[GatewaySettings, NameIndex]:
    """The start-up terms in our words, and the names the wire uses for them."""
    products, plans = options.get("classes"), options.get("tiersOfService")
    if not products:
        raise SettingsError("no products (classes)")
    if not plans:
        raise SettingsError("no plans (tiersOfService)")
    try:
        return _terms(options, products, plans)
    except KeyError as lack:
        raise SettingsError(f"missing {lack.args[0]}") from lack


def _terms(
    options: JsonObject, products: list[JsonObject], plans: list[JsonObject]
) -> tuple[GatewaySettings, NameIndex]:
    allowed, rules = options["ceilings"], options["contract"]
    family = options.get("familyInfo") or {}
    report = options.get("loadReport") or {}
    names = NameIndex(products, plans, options.get("zones") or [""])
    settings = GatewaySettings(
        ordinal=int(options["ordinal"]),
        gateways=int(_amount(options, "balancers", 1)),
        zone=names.zone_index(options["az"]),
        request_classes=tuple(_product(p) for p in products),
        plans=tuple(_plan(p) for p in plans),
        max_request_units=_amount(family, "unitsTop") or 1.0,
        has_counter=bool(family.get("counter")),
        counter_timeout_ms=_amount(family, "countWaitMs"),
        health_checks_allowed=bool(allowed.get("probes")),
        cancellation_allowed=bool(allowed.get("cancel")),
        hedging_allowed=bool(allowed.get("secondCopies")),
        max_retry_after_ms=_amount(allowed, "maxRetryAfterMs") if allowed.get("retryAfter") else 0.0,
        max_attempts=int(_amount(allowed, "maxAttempts", 1)),
        warm_up_initial_fraction=_amount(rules, "coldFrom"),
        warm_up_ms=_amount(rules, "coldMs"),
        warm_up_overload_multiple=_amount(rules, "fallMultiple"),
        warm_up_overload_window_ms=_amount(rules, "fallMs"),
        cross_zone_fee=_amount(options.get("fees") or {}, "crossZone"),
        load_report_fields=tuple(LOAD_REPORT_FIELDS.get(n, n) for n in report.get("columns") or ()),
    )
    return settings, names


def _product(p: JsonObject) -> RequestClass:
    return RequestClass(
        priority_weight=_amount(p, "gain"),
        latency_objective_ms=_amount(p, "onTimeMs"),
        deadline_ms=_amount(p, "deadlineMs"),
        idempotency=REPEATS[p["idempotency"]],
        deduplication_scope=DeduplicationScope(p.get("group") or "all"),
        idempotency_window_ms=_amount(p, "keyTtlMs"),
        late_value_share=_amount(p, "lateWorth"),
    )


def _plan(p: JsonObject) -> Plan:
    return Plan(
        units_per_s=_amount(p, "unitsPerS"),
        burst_units=_amount(p, "peakUnits"),
        max_concurrent_attempts=int(_amount(p, "concurrency")),
        price_factor=_amount(p, "worthFactor"),
        over_quota_value_share=_amount(p, "excessWorth"),
        over_quota_cost_share=_amount(p, "overrunCost"),
        ceiling_units_per_s=_amount(p, "neverOverRate"),
        ceiling_burst_units=_amount(p, "hardBurst"),
    )


class NameIndex:
    """The wire's names of products, plans and zones, as indices. Zones may be added to."""

    def __init__(self, products: list[JsonObject], plans: list[JsonObject], zones: list[str]) -> None:
        self.request_classes = {p["name"]: i for i, p in enumerate(products)}
        self.plans = {p["name"]: i for i, p in enumerate(plans)}
        self.zones = {z: i for i, z in enumerate(zones)}

    def zone_index(self, name: str) -> int:
        return self.zones.setdefault(name, len(self.zones))
