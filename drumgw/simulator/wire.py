"""Translation between the bench's wire and the module's interface."""

from __future__ import annotations

from drumgw.model.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    FailRequest,
    ForwardRequest,
    LogMessage,
    RejectRequest,
    SetTimer,
)
from drumgw.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointInfo,
    EndpointStatus,
    Event,
    Outcome,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from drumgw.model.settings_reader import LOAD_REPORT_FIELDS, JsonObject, NameIndex

ENDS = {
    "OK": Outcome.SUCCEEDED,
    "INTERNAL": Outcome.FAILED,
    "RESOURCE_EXHAUSTED": Outcome.REJECTED,
    "DEADLINE_EXCEEDED": Outcome.TIMED_OUT,
    "UNAVAILABLE": Outcome.UNREACHABLE,
    "ABORTED": Outcome.BROKEN_RESPONSE,
    "CANCELLED": Outcome.CANCELLED,
    "TOO_LATE": Outcome.NOT_SENT,
}
HEALTH = {
    "Ready": EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.REMOVED,
}


def read_entry(names: NameIndex, e: JsonObject) -> EndpointInfo:
    return EndpointInfo(
        e["worker"],
        names.zone_index(e["az"]),
        e["cohort"],
        e["type"],
        HEALTH[e["health"]],
        e["cameUpMs"] or None,
        float(e["powerHint"]),
    )


def _load(pairs: JsonObject | None) -> dict[str, float]:
    return {LOAD_REPORT_FIELDS.get(n, n): float(v) for n, v in (pairs or {}).items()}


def read_event(names: NameIndex, name: str, e: JsonObject) -> Event | None:
    """One event in our words; None for a kind that carries nothing the module uses."""
    match name:
        case "Query":
            return RequestReceived(
                e["rid"],
                e["graceMs"],
                names.plans[e["tier"]],
                e["caller"],
                names.request_classes[e["category"]],
                float(e["costUnits"]),
                bool(e["repeat"]),
                int(e["width"]),
                int(e["fromNo"]),
            )
        case "Reply":
            return AttemptEnded(
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
            return ClientDisconnected(e["rid"])
        case "DeadlineHit":
            return TimerFired(e["label"])
        case "Tallied":
            return CounterReplied(e["book"], ENDS[e["verdict"]], float(e["value"] or 0), e["timeTakenMs"])
        case "Begun":
            return ResponseStarted(e["rid"])
        case "Heard" | "ProbeDone":  # the policy asks for neither
            return None
    raise KeyError(name)


def write_action(who: int, a: Action) -> JsonObject:
    match a:
        case ForwardRequest():
            return {
                "Deliver": {
                    "who": who,
                    "rid": a.request_id,
                    "worker": a.endpoint_id,
                    "stopAtMs": a.deadline_ms,
                }
            }
        case RejectRequest():
            return {"Decline": {"who": who, "rid": a.request_id, "pauseMs": a.retry_after_ms}}
        case FailRequest():
            return {"GiveUp": {"who": who, "rid": a.request_id}}
        case CancelAttempt():
            return {"Cancel": {"who": who, "rid": a.request_id, "attempt": a.attempt}}
        case SetTimer():
            return {"After": {"who": who, "spanMs": a.delay_ms, "label": a.timer_id}}
        case AddToCounter():
            return {"Count": {"who": who, "amount": a.amount, "book": a.counter_key, "livesMs": a.ttl_ms}}
        case LogMessage():
            return {"Emit": {"who": who, "reasonText": a.text}}
