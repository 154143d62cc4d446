"""The test oracle: checks a run against the rules of the service, using only its event log and its scenario.

It shares no code with the gateway. Each rule is a function of the observations; each violation names the
rule, the time, the attempt and the gateways involved. Effects of the testbed's own actions (killing a
gateway, disconnecting a client early) are not violations.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from drumgw.testbed.endpoint_rules import ceiling_rule, draining_rule, gateway_rule, warm_up_rule
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.observations import Observations, Violation
from drumgw.testbed.request_rules import duplicate_execution_rule, response_rule
from drumgw.testbed.scenario import Scenario

Rule = Callable[[Observations], Iterator[Violation]]

RULES: tuple[Rule, ...] = (
    response_rule,
    duplicate_execution_rule,
    draining_rule,
    warm_up_rule,
    ceiling_rule,
    gateway_rule,
)


def find_violations(event_log: EventLog, scenario: Scenario) -> list[Violation]:
    """Returns all violations of a run in chronological order."""
    observations = Observations(event_log, scenario)
    found = [violation for rule in RULES for violation in rule(observations)]
    return sorted(found, key=lambda violation: (violation.time_ms, violation.rule, violation.attempt_id))
