"""Tests of the membership rule: which updates of the endpoint list are applied.

Each test compares a trace of lists and their effects with `tests/traces/membership-*.txt`.
"""

from __future__ import annotations

import difflib
import unittest
from typing import Any

from drumgw.gateway.endpoint_list_reader import EndpointListReader, MalformedEndpointListError
from drumgw.gateway.membership import RENUMBERED_AFTER_MS, Membership, MembershipChange
from drumgw.model.events import EndpointStatus
from tests.gateway_case import endpoint_row, load_config, raw_config
from tests.harness import TRACES

JsonObject = dict[str, Any]
VALID_ROW = endpoint_row("s-a", "127.0.0.1:1")


def row(name: str, lifecycle: str = "up", started_at_ms: float = 0.0) -> JsonObject:
    """A row of discovery's list."""
    return endpoint_row(name, "127.0.0.1:1", lifecycle, startedAtMs=started_at_ms)


class MembershipRuleTest(unittest.TestCase):
    """A sequence of lists is applied to the membership of one gateway."""

    def setUp(self) -> None:
        """Starts in the state before the agent's first answer."""
        self.reader = EndpointListReader(load_config(raw_config("127.0.0.1:1", [])).names)
        self.membership = Membership()
        self.now = 0.0
        self.trace: list[str] = []

    def receive(self, generation: Any, *rows: Any, complete: bool = False, after_ms: float = 100.0) -> None:
        """Applies a list that the agent sends some time after the last one, and records its effect."""
        self.now += after_ms
        since = self.membership.since
        polled = "polled for all" if since is None else f"polled since {since}"
        raw = {"generation": generation, "reset": complete, "instances": list(rows)}
        try:
            endpoint_list = self.reader.read(raw)
        except MalformedEndpointListError as error:
            self.trace.append(f"{self.now:6.0f}  {polled}, list {generation}: {type(error).__name__}")
            return
        change = self.membership.update(self.now, endpoint_list, since is None)
        self.record(f"{polled}, {'complete ' if complete else ''}list {generation}", change)

    def record(self, origin: str, change: MembershipChange) -> None:
        """Adds two lines to the trace: the changes, and the resulting state and list."""
        changes = "; ".join(
            f"{status.value}: {', '.join(names)}" for status, names in change.changes_by_status.items()
        )
        rows = ", ".join(f"{name} {row.info.status.value}" for name, row in self.membership.rows.items())
        malformed = f", {change.malformed_count} malformed" if change.malformed_count else ""
        self.trace.append(f"{self.now:6.0f}  {origin}{malformed} -> {changes or 'nothing'}")
        self.trace.append(f"        {self.membership.state.value}: {rows}")

    def assert_trace(self, name: str) -> None:
        """Asserts that the trace equals the expected one."""
        expected = (TRACES / f"{name}.txt").read_text().splitlines()
        difference = list(difflib.unified_diff(expected, self.trace, "expected", "now", lineterm="", n=2))
        self.assertFalse(difference, "\n" + "\n".join(difference))

    def test_older_list_reverts_nothing(self) -> None:
        """An agent that was restarted from an old copy sends a list from before a drain and a removal.

        Endpoints that are ready in the older list must not be used again. Its departures and later starts are
        applied. Once the agent has caught up, its complete list is requested and applied.
        """
        self.receive(41, row("s-a"), row("s-b"), row("s-c"), complete=True)
        self.receive(43, row("s-a", "draining"), row("s-b", "removed"))
        self.receive(42, row("s-a"), row("s-b"), row("s-c", "draining"), complete=True)
        self.receive(42, row("s-a", started_at_ms=9.0), row("s-d"))  # a later start; s-d may have left since
        self.receive(43)  # caught up: the complete list is requested next
        self.receive(43, row("s-a", started_at_ms=9.0), row("s-c"), complete=True)
        self.assert_trace("membership-older")

    def test_restarted_numbering_is_accepted_in_time(self) -> None:
        """Discovery is installed anew, and its generations start from 1 again.

        Its lists would always count as older. After 6 s they must be applied in full; departures are
        applied at once.
        """
        self.receive(41, row("s-a"), row("s-b"), complete=True)
        self.receive(3)  # changes since a generation that the agent never had are meaningless
        self.receive(3, row("s-b"), row("s-c"), complete=True)
        self.receive(4, row("s-b", "draining"), after_ms=RENUMBERED_AFTER_MS / 2)
        self.receive(5, after_ms=RENUMBERED_AFTER_MS / 2)
        self.receive(5, row("s-b", "draining"), row("s-c"), complete=True)
        self.receive(6, row("s-c", "draining"))
        self.assert_trace("membership-renumbered")

    def test_known_list_is_used_only_until_the_agent_answers(self) -> None:
        """The agent was silent at the start. Its first answer is applied although its generation is lower."""
        known = self.reader.read({"generation": 50, "instances": [row("s-a"), row("s-b")]})
        self.record("known", self.membership.use_known(known))
        self.receive(41, row("s-b", "draining"), row("s-c"))  # the answer to a request for the complete list
        self.assert_trace("membership-known")

    def test_malformed_fields_do_not_hide_a_drain(self) -> None:
        """A row of a draining or removed endpoint needs only its id and lifecycle.

        Other malformed rows must change nothing.
        """
        self.receive(1, *(row(f"s-{letter}") for letter in "abcdefg"), complete=True)
        self.receive(
            2,
            {"instanceId": "s-a", "lifecycle": "draining"},
            {"instanceId": "s-b", "lifecycle": "removed"},
            endpoint_row("s-c", "nowhere", "draining", startedAtMs="?", zone=[], weight=None, cell={}),
        )
        malformed: list[Any] = [
            {"instanceId": "s-d"},
            {**VALID_ROW, "instanceId": "s-e", "weight": float("nan")},
            {**VALID_ROW, "instanceId": "s-f", "lifecycle": ["up"]},
            {**VALID_ROW, "instanceId": "s-g", "cell": float("inf")},
            {**VALID_ROW, "instanceId": "s-h", "hostPort": "a b"},
            {**VALID_ROW, "instanceId": "s-i", "hostPort": "h:70000"},
            {**VALID_ROW, "instanceId": 5},
            {**VALID_ROW, "instanceId": ""},
            {**VALID_ROW, "instanceId": "s" * 257},
            {**VALID_ROW, "instanceId": "s-j", "startedAtMs": True},
            {**VALID_ROW, "instanceId": "s-k", "zone": {}},
        ]
        # Endpoints with malformed rows keep their state; s-c is omitted, and therefore removed.
        self.receive(3, *malformed, None, "s-d", VALID_ROW, complete=True)
        self.assert_trace("membership-rows")

    def test_two_rows_of_an_endpoint_in_one_list(self) -> None:
        """An endpoint has two rows in one list: the later start takes precedence, then the departure."""
        self.receive(1, *(row(f"s-{letter}") for letter in "abcde"), complete=True)
        self.receive(
            2,
            row("s-a", "removed"),
            row("s-a", started_at_ms=5.0),  # replaced in one step
            row("s-b", started_at_ms=5.0),
            row("s-b", "removed"),
            row("s-c"),
            row("s-c", "draining"),  # the departure takes precedence, in either order
            row("s-e", "draining"),
            row("s-e"),
            row("s-d", started_at_ms=5.0),
            {"instanceId": "s-d", "lifecycle": "draining"},
        )
        self.receive(3, row("s-c"))  # a newer list may cancel a drain
        self.assert_trace("membership-twice")

    def test_malformed_generation(self) -> None:
        """A list with a malformed generation is applied, and the complete list is requested next."""
        self.receive(1, row("s-a"), complete=True)
        for generation in (None, "2", True, -3, 2.5):
            self.receive(generation, row("s-a", "draining"))
        self.receive(2, "no row", {}, complete=True)  # rejected: all rows are malformed
        self.assert_trace("membership-generations")
        self.assertEqual(self.membership.rows["s-a"].info.status, EndpointStatus.DRAINING)
