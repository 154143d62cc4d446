"""The start-up settings, read into the module's terms; the simulator's adapter and the gate share it."""

from __future__ import annotations

from math import inf
from typing import Any

from drumgw.model.settings import Group, Plan, Product, Repeat, Terms

Obj = dict[str, Any]

REPEATS = {"repeatable": Repeat.INQUIRY, "by_key": Repeat.REFERENCED, "once": Repeat.ONCE}
LOADS = {
    "mean_ms": "service_ms",
    "load_share": "busy",
    "tps": "rate",
    "concurrent": "held",
    "depth": "waiting",
    "err_ps": "errors",
    "x0": "x0",
    "x1": "x1",
}


class BadTerms(ValueError):
    """Start-up terms that cannot be used."""


def _amount(obj: Obj, key: str, least: float = 0.0) -> float:
    value = obj.get(key, 0.0)
    if value is None:
        value = 0.0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadTerms(f"{key} is not a number: {value!r}")
    if not least <= value < inf:  # JSON as Python reads it has NaN and Infinity
        raise BadTerms(f"{key} is {value}, {'below' if value < least else 'not in range from'} {least:g}")
    return float(value)


def read_terms(options: Obj) -> tuple[Terms, Names]:
    """The start-up terms in our words, and the names the wire uses for them."""
    products, plans = options.get("classes"), options.get("tiersOfService")
    if not products:
        raise BadTerms("no products (classes)")
    if not plans:
        raise BadTerms("no plans (tiersOfService)")
    try:
        return _terms(options, products, plans)
    except KeyError as lack:
        raise BadTerms(f"missing {lack.args[0]}") from lack


def _terms(options: Obj, products: list[Obj], plans: list[Obj]) -> tuple[Terms, Names]:
    allowed, rules = options["ceilings"], options["contract"]
    family = options.get("familyInfo") or {}
    report = options.get("loadReport") or {}
    names = Names(products, plans, options.get("zones") or [""])
    terms = Terms(
        ordinal=int(options["ordinal"]),
        gatekeepers=int(_amount(options, "balancers", 1)),
        zone=names.zone(options["az"]),
        products=tuple(_product(p) for p in products),
        plans=tuple(_plan(p) for p in plans),
        top_units=_amount(family, "unitsTop") or 1.0,
        counter=bool(family.get("counter")),
        counter_wait_ms=_amount(family, "countWaitMs"),
        probes=bool(allowed.get("probes")),
        cancel=bool(allowed.get("cancel")),
        second_copies=bool(allowed.get("secondCopies")),
        retry_after_ms=_amount(allowed, "maxRetryAfterMs") if allowed.get("retryAfter") else 0.0,
        submissions=int(_amount(allowed, "maxAttempts", 1)),
        cold_from=_amount(rules, "coldFrom"),
        cold_ms=_amount(rules, "coldMs"),
        fall_multiple=_amount(rules, "fallMultiple"),
        fall_ms=_amount(rules, "fallMs"),
        zone_fee=_amount(options.get("fees") or {}, "crossZone"),
        load_names=tuple(LOADS.get(n, n) for n in report.get("columns") or ()),
    )
    return terms, names


def _product(p: Obj) -> Product:
    return Product(
        value=_amount(p, "gain"),
        sla_ms=_amount(p, "onTimeMs"),
        expiry_ms=_amount(p, "deadlineMs"),
        repeat=REPEATS[p["idempotency"]],
        group=Group(p.get("group") or "all"),
        remember_ms=_amount(p, "keyTtlMs"),
        late_value=_amount(p, "lateWorth"),
    )


def _plan(p: Obj) -> Plan:
    return Plan(
        rate=_amount(p, "unitsPerS"),
        burst=_amount(p, "peakUnits"),
        open_cap=int(_amount(p, "concurrency")),
        price=_amount(p, "worthFactor"),
        over_value=_amount(p, "excessWorth"),
        over_cost=_amount(p, "overrunCost"),
        ceiling_rate=_amount(p, "neverOverRate"),
        ceiling_burst=_amount(p, "hardBurst"),
    )


class Names:
    """The wire's names of products, plans and zones, as indices. Zones may be added to."""

    def __init__(self, products: list[Obj], plans: list[Obj], zones: list[str]) -> None:
        self.products = {p["name"]: i for i, p in enumerate(products)}
        self.plans = {p["name"]: i for i, p in enumerate(plans)}
        self.zones = {z: i for i, z in enumerate(zones)}

    def zone(self, name: str) -> int:
        return self.zones.setdefault(name, len(self.zones))
