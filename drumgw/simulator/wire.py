"""Translates the simulator's messages to the policy engine's events, and its actions to messages.

The simulator's names for events and actions are used in this module only. `adapter` has those of the messages
that control rounds, instances and endpoint lists.
"""

from __future__ import annotations

from collections.abc import Callable

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
    EndpointsUpdated,
    Event,
    Outcome,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from drumgw.model.settings_reader import LOAD_REPORT_FIELDS, JsonObject, NameIndex

OUTCOMES = {
    "OK": Outcome.SUCCEEDED,
    "INTERNAL": Outcome.FAILED,
    "RESOURCE_EXHAUSTED": Outcome.REJECTED,
    "DEADLINE_EXCEEDED": Outcome.TIMED_OUT,
    "UNAVAILABLE": Outcome.UNREACHABLE,
    "ABORTED": Outcome.BROKEN_RESPONSE,
    "CANCELLED": Outcome.CANCELLED,
    "TOO_LATE": Outcome.NOT_SENT,
}
ENDPOINT_STATUSES = {
    "Ready": EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.REMOVED,
}
DISCOVERY_FAILED = "error"
"""Form of an endpoint update that carries no list: discovery could not be reached."""
CHANGES_ONLY = "diff"
"""Form of an endpoint update with changed endpoints only; all other forms have the complete list."""


def read_endpoints(names: NameIndex, form: str, rows: list[JsonObject]) -> EndpointsUpdated:
    """Returns an update of the endpoint list, made from the rows that the message refers to.

    Raises:
        KeyError: a field is missing, or a value is unknown.
    """
    endpoints = tuple(_read_endpoint(names, row) for row in rows)
    return EndpointsUpdated(is_complete=form != CHANGES_ONLY, endpoints=endpoints)


def read_event(names: NameIndex, message_name: str, fields: JsonObject) -> Event | None:
    """Returns the engine's event for a message; None for a message that the engine does not use.

    Raises:
        KeyError: the message's name is unknown, a field is missing, or a value is unknown.
    """
    reader = _EVENT_READERS[message_name]
    return reader(names, fields)


def write_action(instance: int, action: Action) -> JsonObject:
    """Returns the message for an action of a gateway instance."""
    match action:
        case ForwardRequest():
            return _message(
                "Deliver",
                instance,
                rid=action.request_id,
                worker=action.endpoint_id,
                stopAtMs=action.deadline_ms,
            )
        case RejectRequest():
            return _message("Decline", instance, rid=action.request_id, pauseMs=action.retry_after_ms)
        case FailRequest():
            return _message("GiveUp", instance, rid=action.request_id)
        case CancelAttempt():
            return _message("Cancel", instance, rid=action.request_id, attempt=action.attempt)
        case SetTimer():
            return _message("After", instance, spanMs=action.delay_ms, label=action.timer_id)
        case AddToCounter():
            return _message(
                "Count",
                instance,
                amount=action.amount,
                book=action.counter_key,
                livesMs=action.ttl_ms,
            )
        case LogMessage():
            return _message("Emit", instance, reasonText=action.text)


def write_engine_failure(instance: int, text: str) -> JsonObject:
    """Returns the message that reports an exception raised by a gateway instance's policy engine."""
    return _message("InternalError", instance, reasonText=text)


def write_end_of_reply() -> JsonObject:
    """Returns the message that ends the reply to a round."""
    return {"Next": {}}


def _message(message_name: str, instance: int, **fields: float | str) -> JsonObject:
    return {message_name: {"who": instance, **fields}}


def _read_endpoint(names: NameIndex, row: JsonObject) -> EndpointInfo:
    return EndpointInfo(
        endpoint_id=row["worker"],
        zone=names.zone_index(row["az"]),
        cell=row["cohort"],
        machine_type=row["type"],
        status=ENDPOINT_STATUSES[row["health"]],
        started_at_ms=row["cameUpMs"] or None,
        weight=float(row["powerHint"]),
    )


def _read_load_report(figures: JsonObject | None) -> dict[str, float]:
    return {LOAD_REPORT_FIELDS.get(name, name): float(value) for name, value in (figures or {}).items()}


def _read_request(names: NameIndex, fields: JsonObject) -> Event:
    return RequestReceived(
        request_id=fields["rid"],
        time_left_ms=fields["graceMs"],
        plan=names.plans[fields["tier"]],
        customer=fields["caller"],
        request_class=names.request_classes[fields["category"]],
        units=float(fields["costUnits"]),
        is_client_retry=bool(fields["repeat"]),
        gateway_count=int(fields["width"]),
        first_gateway=int(fields["fromNo"]),
    )


def _read_attempt_ended(_names: NameIndex, fields: JsonObject) -> Event:
    return AttemptEnded(
        request_id=fields["rid"],
        attempt=fields["attempt"],
        endpoint_id=fields["worker"],
        outcome=OUTCOMES[fields["verdict"]],
        duration_ms=fields["timeTakenMs"],
        is_final=fields["ended"],
        billed_units=float(fields.get("cost") or 0),
        load_report=_read_load_report(fields.get("feedback")),
    )


def _read_client_disconnected(_names: NameIndex, fields: JsonObject) -> Event:
    return ClientDisconnected(request_id=fields["rid"])


def _read_timer_fired(_names: NameIndex, fields: JsonObject) -> Event:
    return TimerFired(timer_id=fields["label"])


def _read_counter_replied(_names: NameIndex, fields: JsonObject) -> Event:
    return CounterReplied(
        counter_key=fields["book"],
        outcome=OUTCOMES[fields["verdict"]],
        total=float(fields["value"] or 0),
        duration_ms=fields["timeTakenMs"],
    )


def _read_response_started(_names: NameIndex, fields: JsonObject) -> Event:
    return ResponseStarted(request_id=fields["rid"])


def _ignore_message(_names: NameIndex, _fields: JsonObject) -> None:
    """Ignores responses to calls that the policy engine never makes."""


_EVENT_READERS: dict[str, Callable[[NameIndex, JsonObject], Event | None]] = {
    "Query": _read_request,
    "Reply": _read_attempt_ended,
    "Left": _read_client_disconnected,
    "DeadlineHit": _read_timer_fired,
    "Tallied": _read_counter_replied,
    "Begun": _read_response_started,
    "Heard": _ignore_message,
    "ProbeDone": _ignore_message,
}
