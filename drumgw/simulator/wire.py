"""Translation between the bench's wire and the module's interface."""

from __future__ import annotations

from drumgw.model.actions import Action, Add, Cancel, Decline, Probe, Say, Submit, Void, Wake
from drumgw.model.events import Answer, Begun, Due, End, Entry, Event, Health, Left, Probed, Total, Txn
from drumgw.model.settings_reader import LOADS, Names, Obj

ENDS = {
    "OK": End.SETTLED,
    "INTERNAL": End.ERROR,
    "RESOURCE_EXHAUSTED": End.FULL,
    "DEADLINE_EXCEEDED": End.TIMEOUT,
    "UNAVAILABLE": End.UNREACHED,
    "ABORTED": End.BROKEN,
    "CANCELLED": End.CANCELLED,
    "TOO_LATE": End.NOT_SENT,
}
HEALTH = {"Ready": Health.READY, "Terminating": Health.DRAINING, "Gone": Health.GONE}


def read_entry(names: Names, e: Obj) -> Entry:
    return Entry(
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


def read_event(names: Names, name: str, e: Obj) -> Event | None:
    """One event in our words; None for a kind that carries nothing the module uses."""
    match name:
        case "Query":
            return Txn(
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
            return Answer(
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
            return Left(e["rid"])
        case "DeadlineHit":
            return Due(e["label"])
        case "Tallied":
            return Total(e["book"], ENDS[e["verdict"]], float(e["value"] or 0), e["timeTakenMs"])
        case "ProbeDone":
            return Probed(e["worker"], ENDS[e["verdict"]], e["timeTakenMs"], _load(e.get("feedback")))
        case "Begun":
            return Begun(e["rid"])
        case "Heard":
            return None
    raise KeyError(name)


def write_action(who: int, a: Action) -> Obj:
    match a:
        case Submit():
            return {"Deliver": {"who": who, "rid": a.txn, "worker": a.worker, "stopAtMs": a.stop_at_ms}}
        case Decline():
            return {"Decline": {"who": who, "rid": a.txn, "pauseMs": a.retry_after_ms}}
        case Void():
            return {"GiveUp": {"who": who, "rid": a.txn}}
        case Cancel():
            return {"Cancel": {"who": who, "rid": a.txn, "attempt": a.submission}}
        case Wake():
            return {"After": {"who": who, "spanMs": a.after_ms, "label": a.label}}
        case Add():
            return {"Count": {"who": who, "amount": a.amount, "book": a.name, "livesMs": a.lives_ms}}
        case Probe():
            return {"HealthCheck": {"who": who, "worker": a.worker}}
        case Say():
            return {"Emit": {"who": who, "reasonText": a.text}}
