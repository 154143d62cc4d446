"""Translation between the bench's wire and the module's interface."""

from __future__ import annotations

from drumgw import interface as api
from drumgw.terms import LOADS, Names, Obj

ENDS = {
    "OK": api.End.SETTLED,
    "INTERNAL": api.End.ERROR,
    "RESOURCE_EXHAUSTED": api.End.FULL,
    "DEADLINE_EXCEEDED": api.End.TIMEOUT,
    "UNAVAILABLE": api.End.UNREACHED,
    "ABORTED": api.End.BROKEN,
    "CANCELLED": api.End.CANCELLED,
    "TOO_LATE": api.End.NOT_SENT,
}
HEALTH = {"Ready": api.Health.READY, "Terminating": api.Health.DRAINING, "Gone": api.Health.GONE}


def read_entry(names: Names, e: Obj) -> api.Entry:
    return api.Entry(
        e["worker"],
        names.zone(e["az"]),
        e["cohort"],
        e["type"],
        HEALTH[e["health"]],
        e["cameUpMs"] or None,
        float(e["powerHint"]),
    )


def _load(pairs: Obj | None) -> dict[str, float]:
    return {LOADS.get(n, n): float(v) for n, v in (pairs or {}).items()}


def read_event(names: Names, name: str, e: Obj) -> api.Event | None:
    """One event in our words; None for a kind that carries nothing the module uses."""
    match name:
        case "Query":
            return api.Txn(
                e["rid"],
                e["graceMs"],
                names.plans[e["tier"]],
                e["caller"],
                names.products[e["category"]],
                float(e["costUnits"]),
                bool(e["repeat"]),
                int(e["width"]),
                int(e["fromNo"]),
            )
        case "Reply":
            return api.Answer(
                e["rid"],
                e["attempt"],
                e["worker"],
                ENDS[e["verdict"]],
                e["timeTakenMs"],
                e["ended"],
                float(e.get("cost") or 0),
                _load(e.get("feedback")),
            )
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
