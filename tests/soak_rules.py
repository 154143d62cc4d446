"""The rules that a soak run checks, from what clients and endpoints have recorded. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from tests.soak_clients import Ending, SentRequest
from tests.soak_peers import Attempt

SOCKET_SLACK_MS = 50.0
"""Each time limit grows by this on sockets (protocol)."""
AFTER_LEAVING_MS = 100.0
DEADLINE_SLACK_MS = 150.0
DRAIN_GRACE_MS = 250.0
REJECTED_STATUSES = (429, 503)
FAILED_STATUSES = (500, 502, 504)


def broken_rules(
    requests: Iterable[SentRequest],
    attempts: Mapping[str, Sequence[Attempt]],
    drains_told_ms: Mapping[str, float],
) -> list[str]:
    """Returns a line for each rule that was broken."""
    lines: list[str] = []
    for request in requests:
        own = attempts.get(request.request_id, ())
        for problem in (*_answer_problems(request, own), *_attempt_problems(request, own)):
            lines.append(f"{request.request_id}: {problem} ({request})")
    for request_id, sent in attempts.items():
        lines += [
            f"{request_id}: sent to {attempt.endpoint} {late_ms:.0f} ms after its drain was told"
            for attempt in sent
            if (late_ms := attempt.at_ms - drains_told_ms.get(attempt.endpoint, attempt.at_ms))
            > DRAIN_GRACE_MS + SOCKET_SLACK_MS
        ]
    return lines


def _answer_problems(request: SentRequest, attempts: Sequence[Attempt]) -> list[str]:
    has_run = any(attempt.has_run for attempt in attempts)
    if request.ending in (Ending.CLOSED, Ending.LATE):
        return [f"lost: {request.ending.value}, {len(attempts)} attempts"]
    if request.ending in (Ending.LEFT, Ending.UNSENT):
        return []
    if request.status == 200:
        return [] if has_run and request.body == request.request_id.encode() else ["answered by nobody"]
    if request.status in REJECTED_STATUSES:
        is_wrong = has_run and not request.is_repeatable
        return ["refused, but it may have run"] if is_wrong else []
    return [] if request.status in FAILED_STATUSES else [f"status {request.status}"]


def _attempt_problems(request: SentRequest, attempts: Sequence[Attempt]) -> list[str]:
    problems: list[str] = []
    if not request.is_repeatable and sum(attempt.has_run for attempt in attempts) > 1:
        problems.append("ran twice")
    for attempt in attempts:
        after_leaving_ms = attempt.at_ms - request.left_ms
        if request.left_ms and after_leaving_ms > AFTER_LEAVING_MS + SOCKET_SLACK_MS:
            problems.append(f"sent {after_leaving_ms:.0f} ms after its client had left")
        left_ms = request.timeout_ms - (attempt.at_ms - request.sent_ms)
        if attempt.told_ms > left_ms + DEADLINE_SLACK_MS:
            problems.append(f"told {attempt.told_ms:.0f} ms, {left_ms:.0f} ms were left")
    return problems
