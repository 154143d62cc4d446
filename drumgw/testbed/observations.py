"""The events of a run, indexed for the rules of the oracle, and the violations that the rules report."""

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
"""Tolerance added to each time limit on sockets, as the protocol specifies."""
SOCKET_CEILING_SLACK_MS = 150.0
"""Tolerance of ceilings on sockets: as many units as the ceiling's rate gives in this time."""


AttemptEvent = ResponseReceived | ClientEvent | EndpointReceived | EndpointFinished | AttemptAbandoned
"""Events that concern a client's attempt after it was sent."""


class RuleName(StrEnum):
    """The rules of the oracle; the values are their names in figures and reports."""

    RESPONSE = "lost"
    DUPLICATE_EXECUTION = "doubled"
    DRAINING = "drains"
    WARM_UP = "pushed"
    CEILING = "ceilings"
    GATEWAY = "lives"


class Violation(NamedTuple):
    """A broken rule, with the time, the attempt and the gateways involved."""

    rule: RuleName
    time_ms: float
    attempt_id: str
    """Id of the client's attempt; empty if the violation concerns none."""
    gateways: tuple[int, ...]
    description: str

    def __str__(self) -> str:
        """Formats the violation as a line of a report."""
        gateways = ", ".join(f"n{gateway}" for gateway in self.gateways) or "none"
        return (
            f"{self.rule} at {self.time_ms:.0f} ms, attempt {self.attempt_id or '-'}, gateways {gateways}: "
            f"{self.description}"
        )

    def to_figures(self) -> dict[str, Any]:
        """Returns the violation as a dictionary, under the keys of the figures."""
        return {
            "rule": self.rule,
            "t": self.time_ms,
            "txn": self.attempt_id,
            "gates": self.gateways,
            "what": self.description,
        }

    @classmethod
    def from_figures(cls, figures: dict[str, Any]) -> Violation:
        """Restores a violation from the result of `to_figures`."""
        return cls(
            rule=RuleName(figures["rule"]),
            time_ms=figures["t"],
            attempt_id=figures["txn"],
            gateways=tuple(figures["gates"]),
            description=figures["what"],
        )


@dataclass(slots=True)
class AttemptHistory:
    """All events of one client's attempt, from gateways and endpoints too."""

    sent: AttemptSent
    responses: list[ResponseReceived] = field(default_factory=list)
    end: ClientEvent | None = None
    """How the attempt ended without a response; None if it was answered or is still open."""
    received: list[EndpointReceived] = field(default_factory=list)
    """The forwarded attempts that endpoints received for it, in chronological order."""
    ends: dict[int, EndpointFinished | AttemptAbandoned] = field(default_factory=dict)
    """How the forwarded attempts ended, by delivery number."""

    def may_have_run(self, received: EndpointReceived, at_ms: float) -> bool:
        """Whether a forwarded attempt may have run: by `at_ms`, its endpoint had not reported otherwise."""
        end = self.ends.get(received.delivery_number)
        is_known_not_run = isinstance(end, EndpointFinished) and not end.has_run and end.time_ms <= at_ms
        return not is_known_not_run


class EndpointLocation(NamedTuple):
    """The zone and the cell of an endpoint."""

    zone: str
    cell: int


class Observations:
    """The events of a run, indexed by attempt, endpoint and gateway."""

    def __init__(self, event_log: EventLog, scenario: Scenario) -> None:
        uses_sockets = event_log.header.clock is ClockKind.SOCKETS
        self.events = event_log.events
        self.scenario = scenario
        self.slack_ms = SOCKET_SLACK_MS if uses_sockets else 0.0
        self.ceiling_slack_ms = SOCKET_CEILING_SLACK_MS if uses_sockets else 0.0
        self.request_classes = {section.name: section for section in scenario.product}
        self.plans = {section.name: section for section in scenario.plan}
        self.attempts: dict[str, AttemptHistory] = {}
        self.unsolicited: list[EndpointReceived] = []
        """Attempts that endpoints received although no client had sent them."""
        self.locations: dict[str, EndpointLocation] = {}
        self.gateway_changes: dict[int, list[GatewayChanged]] = defaultdict(list)
        for event in self.events:
            self._index_event(event)

    def was_killed_by_testbed(self, gateway: int, since_ms: float, until_ms: float) -> bool:
        """Whether the testbed killed the gateway during an attempt or shortly before it.

        A connection can stay open for some milliseconds after its process was killed, and an attempt sent on
        it never reaches the gateway. So a gateway that is still down at the end of the attempt counts too. A
        gateway that ended for another reason does not count.

        Args:
            gateway: the gateway's number.
            since_ms: when the attempt was sent.
            until_ms: when the attempt ended.
        """
        changes = [change for change in self.gateway_changes[gateway] if change.time_ms <= until_ms]
        if changes and changes[-1].state is GatewayState.KILLED:
            return True
        return any(change.state is GatewayState.KILLED and since_ms <= change.time_ms for change in changes)

    def _index_event(self, event: LoggedEvent) -> None:
        match event:
            case AttemptSent():
                self.attempts[event.attempt_id] = AttemptHistory(event)
            case EndpointChanged(state=EndpointState.STARTED, zone=str(zone), cell=int(cell)):
                self.locations[event.endpoint] = EndpointLocation(zone, cell)
            case GatewayChanged():
                self.gateway_changes[event.gateway].append(event)
            case EndpointReceived() if event.attempt_id not in self.attempts:
                self.unsolicited.append(event)
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
                history.ends[event.delivery_number] = event
