"""Outlier detection: ejects endpoints that fail a request class, and reinstates them after a trial request.

Health is tracked for each endpoint and request class. An ejected endpoint receives no requests of that class.
When the ejection ends it becomes half-open, and the outcome of a single request reinstates or ejects it.
"""

from __future__ import annotations

from drumgw.model.actions import LogMessage
from drumgw.model.events import Outcome
from drumgw.policy.context import DecisionContext
from drumgw.policy.endpoint_set import EndpointSet
from drumgw.policy.endpoint_state import AttemptInFlight, ClassHealth, EndpointState, HealthState
from drumgw.policy.state_machine import StateMachineEnum, Transitions, advance, no_effect

FAILURE_STEP = 0.2
"""Weight of the latest attempt in an endpoint's failure share."""
MAX_FAILURE_SHARE = 0.15
"""An endpoint is an outlier if its failure share exceeds the share of broken responses by more than this.

Lower than `FAILURE_STEP`, so that a single unambiguous failure ejects an endpoint without earlier failures.
"""
BROKEN_SHARE_STEP = 0.03
"""Weight of the latest attempt in the share of broken responses."""
AMBIGUOUS_FAILURE_WEIGHT = 0.5
"""Weight of a broken response or an overdue attempt, which the network may have caused."""
FIRST_EJECTION_MS = 1000.0
"""Duration of the first ejection after a failure; each further one is twice as long, until a success."""
MAX_EJECTION_MS = 16000.0
FIRST_EJECTION_AFTER_REJECTION_MS = 150.0
"""Shorter than after a failure, as an endpoint without capacity soon has some again."""


class HealthInput(StateMachineEnum):
    """Inputs of the health state machine of one endpoint and class."""

    EJECTION_ENDED = "ejection ended"
    SUCCEEDED = "succeeded"
    REJECTED = "rejected"
    OUTLIER = "outlier"


class OutlierDetector:
    """Evaluates the outcomes of attempts for each endpoint and class, and ejects outliers."""

    def __init__(self, context: DecisionContext, endpoints: EndpointSet) -> None:
        self.context = context
        self.endpoints = endpoints
        self.broken_share = 0.0
        """Moving average of the share of attempts, at all endpoints, that ended with a broken response."""

    def accepts_attempt(self, endpoint: EndpointState, health: ClassHealth) -> bool:
        """Whether an endpoint may receive a request of a class; ends its ejection if it is over."""
        if health.state is HealthState.EJECTED and self.context.now_ms >= health.ejected_until_ms:
            advance(HEALTH_TRANSITIONS, self, health, HealthInput.EJECTION_ENDED)
        if health.state is HealthState.EJECTED:
            return False
        return not (health.state is HealthState.HALF_OPEN and endpoint.attempts)

    def is_suspected(self, endpoint: EndpointState, class_index: int) -> bool:
        """Whether an endpoint recently failed another class, and no trial request has succeeded since.

        Holds until the ejection has been over for as long as it lasted, so that requests of the other class
        can test the endpoint first.
        """
        now_ms = self.context.now_ms
        return any(
            health.state is not HealthState.HEALTHY and now_ms < health.ejected_until_ms + health.ejection_ms
            for index, health in enumerate(endpoint.class_health)
            if index != class_index
        )

    def record(self, endpoint: EndpointState, attempt: AttemptInFlight, outcome: Outcome) -> None:
        """Updates an endpoint's health with the outcome of an attempt."""
        is_broken = outcome is Outcome.BROKEN_RESPONSE
        self.broken_share += BROKEN_SHARE_STEP * (is_broken - self.broken_share)
        class_index = attempt.class_index
        health = endpoint.class_health[class_index]
        if outcome is Outcome.SUCCEEDED:
            self._record_success(health)
        elif outcome is Outcome.REJECTED:
            # Half the intended duration, as `eject` doubles it
            health.ejection_ms = health.ejection_ms or FIRST_EJECTION_AFTER_REJECTION_MS / 2
            advance(HEALTH_TRANSITIONS, self, health, HealthInput.REJECTED)
        elif outcome is Outcome.UNREACHABLE:
            for index in range(len(endpoint.class_health)):
                self._record_failure(endpoint, index)
        elif is_broken:
            self._record_failure(endpoint, class_index, AMBIGUOUS_FAILURE_WEIGHT)
        elif outcome is Outcome.FAILED or (outcome is Outcome.TIMED_OUT and not attempt.is_overdue):
            self._record_failure(endpoint, class_index)

    def record_overdue(self, endpoint: EndpointState, attempt: AttemptInFlight) -> None:
        """Counts an overdue attempt as a failure, unless the class has succeeded there since it was sent."""
        health = endpoint.class_health[attempt.class_index]
        if health.last_success_at_ms < attempt.sent_at_ms:
            self._record_failure(endpoint, attempt.class_index, AMBIGUOUS_FAILURE_WEIGHT)

    def _record_success(self, health: ClassHealth) -> None:
        is_trial = health.state is HealthState.HALF_OPEN
        health.failure_share = 0.0 if is_trial else health.failure_share * (1 - FAILURE_STEP)
        health.ejection_ms = 0.0
        health.last_success_at_ms = self.context.now_ms
        advance(HEALTH_TRANSITIONS, self, health, HealthInput.SUCCEEDED)

    def _record_failure(self, endpoint: EndpointState, class_index: int, weight: float = 1.0) -> None:
        """Updates the failure share, and ejects an endpoint whose failures exceed those of the network.

        When connections to all endpoints break, each endpoint looks like an outlier, and ejecting them one by
        one would remove the whole fleet. Therefore the threshold rises with the share of broken responses.
        """
        health = endpoint.class_health[class_index]
        health.failure_share += weight * FAILURE_STEP * (1 - health.failure_share)
        is_outlier = health.failure_share > MAX_FAILURE_SHARE + self.broken_share
        if not is_outlier and health.state is not HealthState.HALF_OPEN:
            return
        subject = f"endpoint {endpoint.endpoint_id} ejected for request class {class_index}"
        details = f"failure share {health.failure_share:.2f}, {len(endpoint.attempts)} in flight"
        self.context.actions.append(LogMessage(f"{subject}: {details}"))
        advance(HEALTH_TRANSITIONS, self, health, HealthInput.OUTLIER)

    def eject(self, health: ClassHealth) -> None:
        """Ejects for twice the last duration.

        At low request rates the ejection is longer, as each trial risks failing a request.
        """
        interval_ms = self.endpoints.completion_interval_ms()
        ejection_ms = max(interval_ms, 2 * health.ejection_ms or FIRST_EJECTION_MS)
        health.ejection_ms = min(MAX_EJECTION_MS, ejection_ms)
        health.ejected_until_ms = self.context.now_ms + health.ejection_ms


HEALTH_TRANSITIONS: Transitions[HealthState, HealthInput, OutlierDetector, ClassHealth] = {
    (HealthState.HEALTHY, HealthInput.OUTLIER): (HealthState.EJECTED, OutlierDetector.eject),
    (HealthState.HEALTHY, HealthInput.REJECTED): (HealthState.EJECTED, OutlierDetector.eject),
    (HealthState.EJECTED, HealthInput.EJECTION_ENDED): (HealthState.HALF_OPEN, no_effect),
    (HealthState.HALF_OPEN, HealthInput.SUCCEEDED): (HealthState.HEALTHY, no_effect),
    (HealthState.HALF_OPEN, HealthInput.OUTLIER): (HealthState.EJECTED, OutlierDetector.eject),
    (HealthState.HALF_OPEN, HealthInput.REJECTED): (HealthState.EJECTED, OutlierDetector.eject),
}
