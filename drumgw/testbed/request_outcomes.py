"""The final result of each request of a run, and the value it earned.

Response times are measured from the intended send time, so that they include delays by the testbed itself and
by retries.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum

from drumgw.config.sections import RequestClassSection
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.logged_events import (
    AttemptSent,
    ClientEvent,
    ClientLeft,
    ConnectFailed,
    RequestCreated,
    ResponseReceived,
)
from drumgw.testbed.scenario import Scenario
from drumgw.testbed.statuses import REJECTION_STATUSES, STATUS_SUCCEEDED


class RequestResult(StrEnum):
    """Final result of a request; the values are the keys of the figures."""

    IN_TIME = "in time"
    LATE = "late"
    REJECTED = "declined"
    FAILED = "voided"
    UNREACHABLE = "unreached"
    UNANSWERED = "lost"
    CLIENT_LEFT = "left"


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """A request with its result, value and response time."""

    request: RequestCreated
    result: RequestResult
    value: float
    """Value earned if the request is served within its latency objective."""
    earned: float
    response_time_ms: float | None
    """None unless the request was served."""


@dataclass(frozen=True, slots=True)
class _Result:
    result: RequestResult
    earned_share: float = 0.0
    response_time_ms: float | None = None


class RequestOutcomes:
    """The requests of a run, with their results and the gateways that they were first sent to."""

    def __init__(self, event_log: EventLog, scenario: Scenario) -> None:
        self._request_classes = {section.name: section for section in scenario.product}
        self._plans = {section.name: section for section in scenario.plan}
        self._requests: dict[int, RequestCreated] = {}
        self._request_by_attempt: dict[str, int] = {}
        self._ends: dict[int, list[ResponseReceived | ClientEvent]] = defaultdict(list)
        self.first_gateways: dict[int, int] = {}
        """Gateway of each request's first attempt, by request number."""
        for event in event_log.events:
            match event:
                case RequestCreated():
                    self._requests[event.request] = event
                case AttemptSent():
                    self._request_by_attempt[event.attempt_id] = event.request
                    self.first_gateways.setdefault(event.request, event.gateway)
                case ResponseReceived() | ClientEvent():
                    request = self._request_by_attempt.get(event.attempt_id)
                    if request is not None:
                        self._ends[request].append(event)

    @property
    def request_count(self) -> int:
        """Number of requests, without counting retries."""
        return len(self._requests)

    def all(self) -> list[RequestOutcome]:
        """Returns the outcome of each request, in the order of their numbers."""
        return [self._outcome(request) for request in self._requests.values()]

    def _outcome(self, request: RequestCreated) -> RequestOutcome:
        request_class = self._request_classes[request.request_class]
        value = request_class.value * self._plans[request.plan].price * request.units
        result = self._result(request, request_class)
        return RequestOutcome(
            request, result.result, value, value * result.earned_share, result.response_time_ms
        )

    def _result(self, request: RequestCreated, request_class: RequestClassSection) -> _Result:
        ends = self._ends[request.request]
        for end in ends:
            if isinstance(end, ResponseReceived) and end.status == STATUS_SUCCEEDED:
                return _result_of_success(end.time_ms - request.intended_ms, request_class)
        last = ends[-1] if ends else None
        match last:
            case ResponseReceived():
                is_rejection = last.status in REJECTION_STATUSES
                return _Result(RequestResult.REJECTED if is_rejection else RequestResult.FAILED)
            case ClientLeft():
                return _Result(RequestResult.CLIENT_LEFT)
            case ConnectFailed():
                return _Result(RequestResult.UNREACHABLE)
        return _Result(RequestResult.UNANSWERED)


def _result_of_success(response_time_ms: float, request_class: RequestClassSection) -> _Result:
    if response_time_ms > request_class.expiry_ms:
        return _Result(RequestResult.LATE, 0.0, response_time_ms)
    if response_time_ms <= request_class.sla_ms:
        return _Result(RequestResult.IN_TIME, 1.0, response_time_ms)
    return _Result(RequestResult.LATE, request_class.late_value, response_time_ms)
