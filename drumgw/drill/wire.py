"""Translation between the bench's wire and the module's interface."""
from __future__ import annotations

from typing import Any

from drumgw import interface as api

Obj = dict[str, Any]

REPEATS = {"repeatable": api.Repeat.INQUIRY, "by_key": api.Repeat.REFERENCED, "once": api.Repeat.ONCE}
ENDS = {
    "OK": api.End.SETTLED, "INTERNAL": api.End.ERROR, "RESOURCE_EXHAUSTED": api.End.FULL,
    "DEADLINE_EXCEEDED": api.End.TIMEOUT, "UNAVAILABLE": api.End.UNREACHED, "ABORTED": api.End.BROKEN,
    "CANCELLED": api.End.CANCELLED, "TOO_LATE": api.End.NOT_SENT,
}
HEALTH = {"Ready": api.Health.READY, "Terminating": api.Health.DRAINING, "Gone": api.Health.GONE}
LOADS = {"mean_ms": "service_ms", "load_share": "busy", "tps": "rate", "concurrent": "held",
         "depth": "waiting", "err_ps": "errors", "x0": "x0", "x1": "x1"}


class BadTerms(ValueError):
    """Start-up terms that cannot be used."""


def _amount(obj: Obj, key: str, least: float = 0.0) -> float:
    value = obj.get(key, 0.0)
    if value is None:
        value = 0.0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadTerms(f"{key} is not a number: {value!r}")
    if not value >= least:
        raise BadTerms(f"{key} is {value}, below {least:g}")
    return float(value)


def read_terms(options: Obj) -> tuple[api.Terms, Names]:
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


def _terms(options: Obj, products: list[Obj], plans: list[Obj]) -> tuple[api.Terms, Names]:
    allowed, rules = options["ceilings"], options["contract"]
    family = options.get("familyInfo") or {}
    report = options.get("loadReport") or {}
    names = Names(products, plans, options.get("zones") or [""])
    terms = api.Terms(
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


def _product(p: Obj) -> api.Product:
    return api.Product(
        value=_amount(p, "gain"), sla_ms=_amount(p, "onTimeMs"), expiry_ms=_amount(p, "deadlineMs"),
        repeat=REPEATS[p["idempotency"]], group=api.Group(p.get("group") or "all"),
        remember_ms=_amount(p, "keyTtlMs"), late_value=_amount(p, "lateWorth"))


def _plan(p: Obj) -> api.Plan:
    return api.Plan(
        rate=_amount(p, "unitsPerS"), burst=_amount(p, "peakUnits"), open_cap=int(_amount(p, "concurrency")),
        price=_amount(p, "worthFactor"), over_value=_amount(p, "excessWorth"),
        over_cost=_amount(p, "overrunCost"), ceiling_rate=_amount(p, "neverOverRate"),
        ceiling_burst=_amount(p, "hardBurst"))


class Names:
    """The wire's names of products, plans and zones, as indices. Zones may be added to."""

    def __init__(self, products: list[Obj], plans: list[Obj], zones: list[str]) -> None:
        self.products = {p["name"]: i for i, p in enumerate(products)}
        self.plans = {p["name"]: i for i, p in enumerate(plans)}
        self.zones = {z: i for i, z in enumerate(zones)}

    def zone(self, name: str) -> int:
        return self.zones.setdefault(name, len(self.zones))


def read_entry(names: Names, e: Obj) -> api.Entry:
    return api.Entry(e["worker"], names.zone(e["az"]), e["cohort"], e["type"], HEALTH[e["health"]],
                     e["cameUpMs"] or None, float(e["powerHint"]))


def _load(pairs: Obj | None) -> dict[str, float]:
    return {LOADS.get(n, n): float(v) for n, v in (pairs or {}).items()}


def read_event(names: Names, name: str, e: Obj) -> api.Event | None:
    """One event in our words; None for a kind that carries nothing the module uses."""
    match name:
        case "Query":
            return api.Txn(e["rid"], e["graceMs"], names.plans[e["tier"]], e["caller"],
                           names.products[e["category"]], float(e["costUnits"]), bool(e["repeat"]),
                           int(e["width"]), int(e["fromNo"]))
        case "Reply":
            return api.Answer(e["rid"], e["attempt"], e["worker"], ENDS[e["verdict"]], e["timeTakenMs"],
                              e["ended"], float(e.get("cost") or 0), _load(e.get("feedback")))
        case "Left":
            return api.Left(e["rid"])
        case "DeadlineHit":
            return api.Due(e["label"])
        case "Tallied":
            return api.Total(e["book"], ENDS[e["verdict"]], float(e["value"] or 0), e["timeTakenMs"])
        case "ProbeDone":
            return api.Probed(e["worker"], ENDS[e["verdict"]], e["timeTakenMs"], _load(e.get("feedback")))
        case "Begun":
            return api.Begun(e["rid"])
        case "Heard":
            return None
    raise KeyError(name)


def write_action(who: int, a: api.Action) -> Obj:
    match a:
        case api.Submit():
            return {"Deliver": {"who": who, "rid": a.txn, "worker": a.worker, "stopAtMs": a.stop_at_ms}}
        case api.Decline():
            return {"Decline": {"who": who, "rid": a.txn, "pauseMs": a.retry_after_ms}}
        case api.Void():
            return {"GiveUp": {"who": who, "rid": a.txn}}
        case api.Cancel():
            return {"Cancel": {"who": who, "rid": a.txn, "attempt": a.submission}}
        case api.Wake():
            return {"After": {"who": who, "spanMs": a.after_ms, "label": a.label}}
        case api.Add():
            return {"Count": {"who": who, "amount": a.amount, "book": a.name, "livesMs": a.lives_ms}}
        case api.Probe():
            return {"HealthCheck": {"who": who, "worker": a.worker}}
        case api.Say():
            return {"Emit": {"who": who, "reasonText": a.text}}
