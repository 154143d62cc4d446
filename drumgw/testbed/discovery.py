"""Emulated discovery: one endpoint list, whose changes reach each gateway's agent late or not at all.

The oracle treats a row as received by a gateway once the gateway's agent has received it, even if the gateway
has not read it yet. For a new gateway process this applies from its start. Rows and updates use the discovery
protocol's names.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple, TypedDict

from drumgw.testbed.clocks import TestbedClock
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.logged_events import EndpointAnnounced, Lifecycle
from drumgw.testbed.scenario import DiscoverySection

MAX_CHANGES = 200
"""Number of changes kept; a watcher that is further behind receives the complete list."""
SILENT_RETRY_MS = 100.0
"""Interval at which the delivery of a change to an agent is retried while discovery is silent."""


class EndpointRow(TypedDict):
    """One endpoint of the list, with the discovery protocol's field names."""

    instanceId: str
    zone: str
    machineType: str
    cell: int
    lifecycle: Lifecycle
    weight: float
    startedAtMs: float


class ListUpdate(TypedDict):
    """The complete list (`reset` is true), or the rows that changed since an earlier generation."""

    generation: int
    reset: bool
    instances: list[EndpointRow]


class _Change(NamedTuple):
    """The row changed by one generation of the list."""

    generation: int
    name: str
    row: EndpointRow


class _AnnouncedState(NamedTuple):
    """The last state of an endpoint that an agent has received."""

    lifecycle: Lifecycle
    started_at_ms: float


class EmulatedDiscovery:
    """The endpoint list and each gateway's view of it."""

    def __init__(
        self,
        section: DiscoverySection,
        gateway_count: int,
        clock: TestbedClock,
        event_log: EventLog,
        random_stream: random.Random,
    ) -> None:
        self.rows: dict[str, EndpointRow] = {}
        """The list, by endpoint name."""
        self.watchers: list[Callable[[], None] | None] = [None] * gateway_count
        """By gateway: called once, when the next update reaches its agent."""
        self.extra_delay_ms = 0.0
        self.is_silent = False
        self._section = section
        self._clock = clock
        self._event_log = event_log
        self._random = random_stream
        self._generation = 1
        self._removed_rows: dict[str, EndpointRow] = {}
        self._changes: list[_Change] = []
        self._agent_generations = [1] * gateway_count
        self._announced_states: list[dict[str, _AnnouncedState]] = [{} for _ in range(gateway_count)]

    def put(
        self,
        name: str,
        zone: str,
        cell: int,
        started_at_ms: float | None,
        lifecycle: Lifecycle = Lifecycle.UP,
    ) -> None:
        """Adds an endpoint to the list, or replaces its row."""
        self.rows[name] = {
            "instanceId": name,
            "zone": zone,
            "machineType": "std",
            "cell": cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": round(started_at_ms or 0.0, 3),
        }
        self._publish(name)

    def set_lifecycle(self, name: str, lifecycle: Lifecycle) -> None:
        """Changes an endpoint's lifecycle; REMOVED takes it off the list. Ignores endpoints not on it."""
        if name not in self.rows:
            return
        if lifecycle == Lifecycle.REMOVED:
            self._removed_rows[name] = {**self.rows.pop(name), "lifecycle": lifecycle}
        else:
            self.rows[name] = {**self.rows[name], "lifecycle": lifecycle}
        self._publish(name)

    def publish_initial_list(self) -> ListUpdate:
        """Delivers the current list to all agents at once, for the start of a run, and returns it."""
        self._agent_generations = [self._generation] * len(self._agent_generations)
        return _complete_list(self._generation, self.rows.values())

    def updates_since(self, gateway: int, generation: int | None) -> ListUpdate | None:
        """Returns the answer to a watch from this generation, or None while the agent has nothing newer."""
        agent_generation = self._agent_generations[gateway]
        if generation is not None and agent_generation <= generation:
            return None
        oldest = self._changes[0].generation if self._changes else 0
        if generation is None or generation < oldest - 1:
            return _complete_list(agent_generation, self._agent_rows(gateway))
        rows = {
            change.name: change.row
            for change in self._changes
            if generation < change.generation <= agent_generation
        }
        return {"generation": agent_generation, "reset": False, "instances": list(rows.values())}

    def empty_update(self, gateway: int, generation: int | None) -> ListUpdate:
        """Returns the answer to a watch from this generation that times out without a change."""
        return {
            "generation": generation or self._agent_generations[gateway],
            "reset": False,
            "instances": [],
        }

    def gateway_started(self, gateway: int) -> None:
        """Logs every row that the agent has as announced to a new gateway process.

        The rows apply to the process from its start. Call this after the start has been logged: the
        oracle discards a gateway's earlier announcements at its start.
        """
        self._announced_states[gateway].clear()
        self._announce(gateway, self._agent_rows(gateway), is_complete=True)

    def _publish(self, name: str) -> None:
        """Creates a new generation of the list and delivers it to each agent after a random delay."""
        self._generation += 1
        generation = self._generation
        row = self.rows.get(name) or self._removed_rows[name]
        self._changes = [*self._changes[1 - MAX_CHANGES :], _Change(generation, name, row)]
        for gateway in range(len(self._agent_generations)):
            spread_ms = self._random.uniform(0, self._section.spread_ms)
            delay_ms = self._section.delay_ms + self.extra_delay_ms + spread_ms
            self._clock.call_at(
                self._clock.now() + delay_ms, partial(self._deliver_to_agent, gateway, generation)
            )

    def _deliver_to_agent(self, gateway: int, generation: int) -> None:
        if self.is_silent:
            self._clock.call_at(
                self._clock.now() + SILENT_RETRY_MS, partial(self._deliver_to_agent, gateway, generation)
            )
            return
        before = self._agent_generations[gateway]
        after = max(before, generation)
        self._agent_generations[gateway] = after
        rows = [change.row for change in self._changes if before < change.generation <= after]
        self._announce(gateway, rows, is_complete=False)
        watcher = self.watchers[gateway]
        self.watchers[gateway] = None
        if watcher is not None:
            watcher()

    def _agent_rows(self, gateway: int) -> list[EndpointRow]:
        """The complete list as the gateway's agent has it, with changes that have not reached it reverted."""
        rows = dict(self.rows)
        reverted: set[str] = set()
        for change in reversed(self._changes):
            if change.generation > self._agent_generations[gateway]:
                rows.pop(change.name, None)
                reverted.add(change.name)
            elif change.name in reverted:
                reverted.discard(change.name)
                if change.row["lifecycle"] != Lifecycle.REMOVED:
                    rows[change.name] = change.row
        return list(rows.values())

    def _announce(self, gateway: int, rows: Iterable[EndpointRow], is_complete: bool) -> None:
        """Logs rows that have reached the agent; the oracle checks the gateway against them from now on."""
        states = {row["instanceId"]: _AnnouncedState(row["lifecycle"], row["startedAtMs"]) for row in rows}
        known = self._announced_states[gateway]
        if is_complete:
            states |= {name: _AnnouncedState(Lifecycle.REMOVED, 0.0) for name in known if name not in states}
        for name, state in states.items():
            if known.get(name) != state:
                known[name] = state
                self._event_log.add(EndpointAnnounced(self._clock.now(), gateway, name, *state))
            if state.lifecycle == Lifecycle.REMOVED:
                known.pop(name, None)


def _complete_list(generation: int, rows: Iterable[EndpointRow]) -> ListUpdate:
    return {"generation": generation, "reset": True, "instances": list(rows)}
