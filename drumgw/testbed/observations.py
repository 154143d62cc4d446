"""A run's events as the oracle's rules look them up, and the form of a violation."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from drumgw.testbed.event_log import EventLog
from drumgw.testbed.logged_events import (
    AttemptAbandoned,
    AttemptSent,
    ClientEvent,
    ClockKind,
    EndpointChanged,
    EndpointFinished,
    EndpointReceived,
    EndpointState,
    GatewayChanged,
    GatewayState,
    LoggedEvent,
    ResponseReceived,
)
from drumgw.testbed.scenario import Scenario

SOCKET_SLACK_MS = 50.0
"""On sockets each time limit grows by this, as the protocol states it."""
SOCKET_CEILING_SLACK_MS = 150.0
"""On sockets a ceiling's slack widens by its rate in this time."""


AttemptEvent = ResponseReceived | ClientEvent | EndpointReceived | EndpointFinished | AttemptAbandoned
"""What is observed of an attempt after its sending."""


class RuleName(StrEnum):
    """The rules, by their names in figures and reports."""

    RESPONSE = "lost"
    DUPLICATE_EXECUTION = "doubled"
    DRAINING = "drains"
    WARM_UP = "pushed"
    CEILING = "ceilings"
    GATEWAY = "lives"


class Violation(NamedTuple):
    """One breach of a rule."""

    rule: RuleName
    time_ms: float
    attempt_id: str
    """The client's attempt; empty where none is concerned."""
    gateways: tuple[int, ...]
    description: str

    def __str__(self) -> str:
        """The violation as a line of a report."""
        gateways = ", ".join(f"n{gateway}" for gateway in self.gateways) or "none"
        return (
            f"{self.rule} at {self.time_ms:.0f} ms, attempt {self.attempt_id or '-'}, gateways {gateways}: "
            f"{self.description}"
        )

    def to_figures(self) -> dict[str, Any]:
        """The violation under the names that figures have."""
        return {
            "rule": self.rule,
            "t": self.time_ms,
            "txn": self.attempt_id,
            "gates": self.gateways,
            "what": self.description,
        }

    @classmethod
    def from_figures(cls, figures: dict[str, Any]) -> Violation:
        """Reads what `to_figures` made."""
        return cls(
            rule=RuleName(figures["rule"]),
            time_ms=figures["t"],
            attempt_id=figures["txn"],
            gateways=tuple(figures["gates"]),
            description=figures["what"],
        )


@dataclass(slots=True)
class AttemptHistory:
    """All that was observed of one client's attempt."""

    sent: AttemptSent
    responses: list[ResponseReceived] = field(default_factory=list)
    end: ClientEvent | None = None
    """How it ended, where it had no response."""
    received: list[EndpointReceived] = field(default_factory=list)
    """The forwarded attempts that endpoints received for it."""
    ends: dict[int, EndpointFinished | AttemptAbandoned] = field(default_factory=dict)
    """By receipt: how the forwarded attempts ended."""

    def may_have_run(self, received: EndpointReceived, at_ms: float) -> bool:
        """Whether it may have run: its endpoint had not said by this time that it did not."""
        end = self.ends.get(received.receipt)
        is_known_not_run = isinstance(end, EndpointFinished) and not end.has_run and end.time_ms <= at_ms
        return not is_known_not_run


class EndpointPlace(NamedTuple):
    """Where an endpoint stands."""

    zone: str
    cell: int


class Observations:
    """The events of a run, sorted by what they are about."""

    def __init__(self, event_log: EventLog, scenario: Scenario) -> None:
        is_on_sockets = event_log.header.clock is ClockKind.SOCKETS
        self.events = event_log.events
        self.scenario = scenario
        self.slack_ms = SOCKET_SLACK_MS if is_on_sockets else 0.0
        self.ceiling_slack_ms = SOCKET_CEILING_SLACK_MS if is_on_sockets else 0.0
        self.request_classes = {section.name: section for section in scenario.product}
        self.plans = {section.name: section for section in scenario.plan}
        self.attempts: dict[str, AttemptHistory] = {}
        self.unrequested: list[EndpointReceived] = []
        """What endpoints received that no client had sent."""
        self.places: dict[str, EndpointPlace] = {}
        self.gateway_changes: dict[int, list[GatewayChanged]] = defaultdict(list)
        for event in self.events:
            self._sort(event)

    def was_killed_by_testbed(self, gateway: int, since_ms: float, until_ms: float) -> bool:
        """Whether the testbed killed the gateway while it held a request, or shortly before.

        A connection outlives its process for some milliseconds, and what was sent on it was never held: a
        gateway that was dead at the end counts too. A gateway that ended by itself is not excused.
        """
        changes = [change for change in self.gateway_changes[gateway] if change.time_ms <= until_ms]
        if changes and changes[-1].state is GatewayState.KILLED:
            return True
        return any(change.state is GatewayState.KILLED and since_ms <= change.time_ms for change in changes)

    def _sort(self, event: LoggedEvent) -> None:
        match event:
            case AttemptSent():
                self.attempts[event.attempt_id] = AttemptHistory(event)
            case EndpointChanged(state=EndpointState.STARTED, zone=str(zone), cell=int(cell)):
                self.places[event.endpoint] = EndpointPlace(zone, cell)
            case GatewayChanged():
                self.gateway_changes[event.gateway].append(event)
            case EndpointReceived() if event.attempt_id not in self.attempts:
                self.unrequested.append(event)
            case ResponseReceived() | ClientEvent() | EndpointReceived():
                self._add_to_history(event)
            case EndpointFinished() | AttemptAbandoned():
                self._add_to_history(event)

    def _add_to_history(self, event: AttemptEvent) -> None:
        history = self.attempts.get(event.attempt_id)
        if history is None:
            return
        match event:
            case ResponseReceived():
                history.responses.append(event)
            case ClientEvent():
                history.end = event
            case EndpointReceived():
                history.received.append(event)
            case EndpointFinished() | AttemptAbandoned():
                history.ends[event.receipt] = event
