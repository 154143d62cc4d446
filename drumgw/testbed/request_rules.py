"""The oracle's rules about requests: one response each, in time, and no execution beyond what is allowed."""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from drumgw.config.sections import RequestClassSection
from drumgw.testbed.logged_events import (
    ClientGaveUp,
    ClientLeft,
    ConnectFailed,
    EndpointFinished,
    EndpointOutcome,
    EndpointReceived,
    ResponseReceived,
)
from drumgw.testbed.observations import AttemptHistory, Observations, RuleName, Violation
from drumgw.testbed.scenario import IDEMPOTENT, IDEMPOTENT_WITH_KEY, NOT_IDEMPOTENT
from drumgw.testbed.statuses import REJECTION_STATUSES, STATUS_SUCCEEDED


def response_rule(observations: Observations) -> Iterator[Violation]:
    """Each attempt that a gateway received gets one response, in time; a success comes from an endpoint."""
    for history in observations.attempts.values():
        yield from _check_responses(observations, history)
        yield from _check_end(observations, history)


def _check_responses(observations: Observations, history: AttemptHistory) -> Iterator[Violation]:
    if len(history.responses) > 1:
        yield _response_violation(history, history.responses[1].time_ms, "answered twice")
    for response in history.responses[:1]:
        late_by_ms = response.time_ms - _response_deadline_ms(observations, history)
        if late_by_ms > 0:
            yield _response_violation(history, response.time_ms, f"answered {late_by_ms:.0f} ms too late")
        if response.status == STATUS_SUCCEEDED and not _is_genuine_response(history, response):
            description = (
                "successful response that no endpoint sent for this attempt "
                f"(body names {response.body_attempt_id or 'none'})"
            )
            yield _response_violation(history, response.time_ms, description)


def _check_end(observations: Observations, history: AttemptHistory) -> Iterator[Violation]:
    """Reports a missing response.

    None is expected if the client left or could not connect, or if the testbed killed the gateway.
    """
    end = history.end
    if history.responses or isinstance(end, ClientLeft | ConnectFailed):
        return
    sent = history.sent
    end_ms = end.time_ms if end is not None else inf
    if observations.was_killed_by_testbed(sent.gateway, sent.time_ms, end_ms):
        return
    if end is None:
        deadline_ms = _response_deadline_ms(observations, history)
        yield _response_violation(history, deadline_ms, "still open when the run ended")
    elif isinstance(end, ClientGaveUp):
        yield _response_violation(history, end.time_ms, "never answered")
    else:
        yield _response_violation(history, end.time_ms, "connection closed without a response")


def _response_deadline_ms(observations: Observations, history: AttemptHistory) -> float:
    sent = history.sent
    return (
        sent.time_ms + sent.time_left_ms + observations.scenario.rules.answer_slack_ms + observations.slack_ms
    )


def _is_genuine_response(history: AttemptHistory, response: ResponseReceived) -> bool:
    """Whether the response body names this attempt, and an endpoint completed the attempt successfully."""
    has_succeeded = any(
        isinstance(end, EndpointFinished) and end.outcome is EndpointOutcome.SUCCEEDED
        for end in history.ends.values()
    )
    return response.body_attempt_id == history.sent.attempt_id and has_succeeded


def _response_violation(history: AttemptHistory, time_ms: float, description: str) -> Violation:
    sent = history.sent
    return Violation(RuleName.RESPONSE, time_ms, sent.attempt_id, (sent.gateway,), description)


def duplicate_execution_rule(observations: Observations) -> Iterator[Violation]:
    """A request that may have run is sent again only where its request class allows that."""
    for received in observations.unsolicited:
        yield Violation(
            RuleName.DUPLICATE_EXECUTION,
            received.time_ms,
            received.attempt_id,
            (received.gateway,),
            "forwarded although no client had sent it",
        )
    for history in observations.attempts.values():
        yield from _check_repeats(observations, history)
        yield from _check_rejection(observations, history)


def _check_repeats(observations: Observations, history: AttemptHistory) -> Iterator[Violation]:
    request_class = observations.request_classes[history.sent.request_class]
    for position, received in enumerate(history.received):
        for earlier in history.received[:position]:
            known_until_ms = received.time_ms + observations.slack_ms
            end = history.ends.get(earlier.delivery_number)
            is_in_flight = end is None or end.time_ms > known_until_ms
            if is_in_flight and not observations.scenario.allowed.second_copies:
                yield _duplicate_violation(
                    history, received.time_ms, "hedged request, although hedging is not allowed"
                )
            if history.may_have_run(earlier, known_until_ms):
                reason = _forbidden_repeat(observations, request_class, earlier, received)
                if reason is not None:
                    yield _duplicate_violation(history, received.time_ms, reason)


def _forbidden_repeat(
    observations: Observations,
    request_class: RequestClassSection,
    earlier: EndpointReceived,
    repeat: EndpointReceived,
) -> str | None:
    """Returns why a request that may have run must not be repeated like this; None if it may."""
    if request_class.repeat == NOT_IDEMPOTENT:
        return "non-idempotent request sent again although it may have run"
    if request_class.repeat != IDEMPOTENT_WITH_KEY:
        return None
    if _is_outside_scope(observations, request_class, earlier, repeat):
        return f"request with an idempotency key sent again outside its {request_class.group}"
    if repeat.first_byte_ms > earlier.time_ms + request_class.remember_ms + observations.slack_ms:
        return "request with an idempotency key sent again after its idempotency window"
    return None


def _is_outside_scope(
    observations: Observations,
    request_class: RequestClassSection,
    earlier: EndpointReceived,
    repeat: EndpointReceived,
) -> bool:
    """Whether the two endpoints share no deduplication store for this request class."""
    first_location = observations.locations[earlier.endpoint]
    second_location = observations.locations[repeat.endpoint]
    if request_class.group == "zone":
        return first_location.zone != second_location.zone
    return request_class.group == "cell" and first_location != second_location


def _check_rejection(observations: Observations, history: AttemptHistory) -> Iterator[Violation]:
    """Clients retry a rejected request, so only one that did not run, or may run again, may be rejected."""
    request_class = observations.request_classes[history.sent.request_class]
    is_repeatable_anywhere = request_class.repeat == IDEMPOTENT or (
        request_class.repeat == IDEMPOTENT_WITH_KEY and request_class.group == "all"
    )
    for response in history.responses[:1]:
        may_have_run = any(history.may_have_run(received, response.time_ms) for received in history.received)
        if response.status in REJECTION_STATUSES and may_have_run and not is_repeatable_anywhere:
            yield _duplicate_violation(history, response.time_ms, "rejected although it may have run")


def _duplicate_violation(history: AttemptHistory, time_ms: float, description: str) -> Violation:
    sent = history.sent
    return Violation(RuleName.DUPLICATE_EXECUTION, time_ms, sent.attempt_id, (sent.gateway,), description)
