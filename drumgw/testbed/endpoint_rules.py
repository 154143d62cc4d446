"""The oracle's rules about endpoints that drain or warm up, about ceilings and about gateway processes."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from drumgw.config.sections import RulesSection
from drumgw.testbed.logged_events import (
    EndpointAnnounced,
    EndpointChanged,
    EndpointReceived,
    EndpointState,
    GatewayChanged,
    GatewayState,
    Lifecycle,
)
from drumgw.testbed.observations import Observations, RuleName, Violation

OVERLOAD_TOLERANCE_REQUESTS = 3
"""Tolerance of the overload check, in multiples of the last request's work: allows for random variation."""
START_TOLERANCE_MS = 1
"""How much earlier than the observed start of an endpoint its announced start may be."""
UNITS_TOLERANCE = 1e-6
"""Tolerance for floating-point rounding."""


def draining_rule(observations: Observations) -> Iterator[Violation]:
    """Nothing is sent to an endpoint later than the grace period after its announced draining or removal."""
    grace_ms = observations.scenario.rules.drain_grace_ms + observations.slack_ms
    announcements: dict[tuple[int, str], EndpointAnnounced] = {}
    for event in observations.events:
        match event:
            case EndpointAnnounced():
                announcements[event.gateway, event.endpoint] = event
            case GatewayChanged(state=GatewayState.STARTED):
                # Announcements to the previous process do not bind a new one.
                for key in [key for key in announcements if key[0] == event.gateway]:
                    del announcements[key]
            case EndpointReceived():
                announcement = announcements.get((event.gateway, event.endpoint))
                if announcement is None or announcement.lifecycle is Lifecycle.UP:
                    continue
                if event.first_byte_ms > announcement.time_ms + grace_ms:
                    yield _draining_violation(event, announcement)


def _draining_violation(received: EndpointReceived, announcement: EndpointAnnounced) -> Violation:
    after_ms = received.first_byte_ms - announcement.time_ms
    return Violation(
        RuleName.DRAINING,
        received.time_ms,
        received.attempt_id,
        (received.gateway,),
        f"sent to {received.endpoint}, announced as {announcement.lifecycle} {after_ms:.0f} ms before",
    )


@dataclass(slots=True)
class _WarmUp:
    """State of an endpoint since its last cold start."""

    started_at_ms: float
    warm_work_per_ms: float
    """Work that the warm endpoint completes per millisecond, in milliseconds on one core of speed 1."""
    recent: deque[EndpointReceived] = field(default_factory=deque)
    """Attempts received within the overload window (`rules.fall_ms`)."""
    informed_gateways: set[int] = field(default_factory=set)
    """Gateways whose discovery agents have received this start."""


def warm_up_rule(observations: Observations) -> Iterator[Violation]:
    """An endpoint that is warming up receives at most `fall_multiple` times its capacity in the window.

    An overload counts only if at least two thirds of the work came from gateways whose discovery agents had
    received the start.
    """
    warming: dict[str, _WarmUp] = {}
    for event in observations.events:
        match event:
            case EndpointChanged(state=EndpointState.STARTED, is_cold=True, cores=int(cores), speed=speed):
                warming[event.endpoint] = _WarmUp(event.time_ms, cores * (speed or 0.0))
            case EndpointAnnounced(lifecycle=Lifecycle.UP) if event.endpoint in warming:
                warm_up = warming[event.endpoint]
                if event.started_at_ms >= warm_up.started_at_ms - START_TOLERANCE_MS:
                    warm_up.informed_gateways.add(event.gateway)
            case EndpointReceived() if event.endpoint in warming:
                violation = _check_overload(event, warming[event.endpoint], observations.scenario.rules)
                if violation is not None:
                    yield violation
                    del warming[event.endpoint]  # it goes down; its next start is checked anew


def _check_overload(received: EndpointReceived, warm_up: _WarmUp, rules: RulesSection) -> Violation | None:
    age_ms = received.time_ms - warm_up.started_at_ms
    warm_up_fraction = min(1.0, rules.cold_from + (1 - rules.cold_from) * age_ms / max(1.0, rules.cold_ms))
    if warm_up_fraction >= 1.0:
        return None
    recent = warm_up.recent
    recent.append(received)
    while recent[0].time_ms <= received.time_ms - rules.fall_ms:
        recent.popleft()
    work_ms = sum(event.work_ms for event in recent)
    capacity_ms = rules.fall_multiple * warm_up.warm_work_per_ms * warm_up_fraction * rules.fall_ms
    if work_ms <= capacity_ms + OVERLOAD_TOLERANCE_REQUESTS * received.work_ms:
        return None
    informed_work_ms = sum(event.work_ms for event in recent if event.gateway in warm_up.informed_gateways)
    if informed_work_ms < 2 * work_ms / 3:
        return None  # too much of the work came from gateways that were not informed of the start
    gateways = tuple(sorted({event.gateway for event in recent}))
    description = f"{received.endpoint} was overloaded with {work_ms:.0f} ms of work while warming up"
    return Violation(RuleName.WARM_UP, received.time_ms, received.attempt_id, gateways, description)


@dataclass(slots=True)
class _CeilingAccount:
    """Token bucket of one customer's ceiling; `units` is negative beyond the ceiling."""

    units: float
    updated_at_ms: float


def ceiling_rule(observations: Observations) -> Iterator[Violation]:
    """All gateways together forward no more for a customer than its plan's ceiling and slack allow.

    Only the first forwarded attempt of each client attempt counts, not the gateways' own retries.
    """
    accounts: dict[int, _CeilingAccount] = {}
    counted: set[str] = set()
    for event in observations.events:
        if not isinstance(event, EndpointReceived) or event.attempt_id in counted:
            continue
        history = observations.attempts.get(event.attempt_id)
        if history is None:
            continue
        counted.add(event.attempt_id)
        sent = history.sent
        plan = observations.plans[sent.plan]
        if not plan.ceiling_per_s:
            continue
        units_per_ms = plan.ceiling_per_s / 1000.0
        account = accounts.setdefault(sent.customer, _CeilingAccount(plan.ceiling_burst, event.time_ms))
        refilled = account.units + units_per_ms * (event.time_ms - account.updated_at_ms)
        account.units = min(plan.ceiling_burst, refilled) - sent.units
        account.updated_at_ms = event.time_ms
        slack_units = plan.ceiling_slack + units_per_ms * observations.ceiling_slack_ms + UNITS_TOLERANCE
        if account.units < -slack_units:
            description = f"customer {sent.customer} is {-account.units:.1f} units beyond its ceiling"
            yield Violation(RuleName.CEILING, event.time_ms, event.attempt_id, (event.gateway,), description)


def gateway_rule(observations: Observations) -> Iterator[Violation]:
    """No gateway process crashes, and each becomes ready after its start."""
    for gateway, changes in observations.gateway_changes.items():
        for change in changes:
            if change.state in (GatewayState.CRASHED, GatewayState.NEVER_READY):
                description = f"gateway process: {change.state}"
                yield Violation(RuleName.GATEWAY, change.time_ms, "", (gateway,), description)
