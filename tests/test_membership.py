"""Which updates of the endpoint list are applied: the rule itself, as a trace of lists and what each changes.

The expected traces are in `tests/traces/membership-*.txt`.
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


class MembershipRule(unittest.TestCase):
    """One gateway's membership, and one list after the other."""

    def setUp(self) -> None:
        """Begins before the agent's first answer."""
        self.reader = EndpointListReader(load_config(raw_config("127.0.0.1:1", [])).names)
        self.membership = Membership()
        self.now = 0.0
        self.trace: list[str] = []

    def receive(self, generation: Any, *rows: Any, complete: bool = False, after_ms: float = 100.0) -> None:
        """The agent sends a list, some time after the last; notes what it changes."""
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
        self.note(f"{polled}, {'complete ' if complete else ''}list {generation}", change)

    def note(self, origin: str, change: MembershipChange) -> None:
        """Two lines: what has changed, and the state and the list that result."""
        changes = "; ".join(
            f"{status.value}: {', '.join(names)}" for status, names in change.changes_by_status.items()
        )
        rows = ", ".join(f"{name} {row.info.status.value}" for name, row in self.membership.rows.items())
        unreadable = f", {change.unreadable_count} unreadable" if change.unreadable_count else ""
        self.trace.append(f"{self.now:6.0f}  {origin}{unreadable} -> {changes or 'nothing'}")
        self.trace.append(f"        {self.membership.state.value}: {rows}")

    def assert_trace(self, name: str) -> None:
        """The trace must be the expected one."""
        expected = (TRACES / f"{name}.txt").read_text().splitlines()
        difference = list(difflib.unified_diff(expected, self.trace, "expected", "now", lineterm="", n=2))
        self.assertFalse(difference, "\n" + "\n".join(difference))

    def test_an_older_list_undoes_nothing(self) -> None:
        """An agent that was restarted from an old copy sends a list from before a drain and a removal.

        Endpoints that it calls ready again must not be used again. What it says of departures and of later
        starts counts. Once it has caught up, its complete list is polled for and applied.
        """
        self.receive(41, row("s-a"), row("s-b"), row("s-c"), complete=True)
        self.receive(43, row("s-a", "draining"), row("s-b", "removed"))
        self.receive(42, row("s-a"), row("s-b"), row("s-c", "draining"), complete=True)
        self.receive(42, row("s-a", started_at_ms=9.0), row("s-d"))  # a later start; one that may have left
        self.receive(43)  # caught up: the complete list is polled for
        self.receive(43, row("s-a", started_at_ms=9.0), row("s-c"), complete=True)
        self.assert_trace("membership-older")

    def test_a_numbering_begun_anew_is_applied_in_time(self) -> None:
        """Discovery is set up anew, and its generations start from 1 again.

        Its lists look older for ever. After 6 s they are applied as they are; its departures count at once.
        """
        self.receive(41, row("s-a"), row("s-b"), complete=True)
        self.receive(3)  # changes since a generation that it never had say nothing
        self.receive(3, row("s-b"), row("s-c"), complete=True)
        self.receive(4, row("s-b", "draining"), after_ms=RENUMBERED_AFTER_MS / 2)
        self.receive(5, after_ms=RENUMBERED_AFTER_MS / 2)
        self.receive(5, row("s-b", "draining"), row("s-c"), complete=True)
        self.receive(6, row("s-c", "draining"))
        self.assert_trace("membership-renumbered")

    def test_the_known_list_is_used_only_until_the_agent_answers(self) -> None:
        """The agent was silent at the start. Its first answer counts, though its generation is lower."""
        known = self.reader.read({"generation": 50, "instances": [row("s-a"), row("s-b")]})
        self.note("known", self.membership.use_known(known))
        self.receive(41, row("s-b", "draining"), row("s-c"))  # the answer to a poll for the complete list
        self.assert_trace("membership-known")

    def test_a_row_with_missing_or_malformed_fields_hides_no_drain(self) -> None:
        """A row that says that an endpoint leaves needs its id only. Other malformed rows change nothing."""
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
        # Endpoints that are named stay what they were; s-c is not named, and is gone.
        self.receive(3, *malformed, None, "s-d", VALID_ROW, complete=True)
        self.assert_trace("membership-rows")

    def test_two_rows_of_an_endpoint_in_one_list(self) -> None:
        """An endpoint is replaced, or drains, within one list: the later start counts, then the departure."""
        self.receive(1, *(row(f"s-{letter}") for letter in "abcde"), complete=True)
        self.receive(
            2,
            row("s-a", "removed"),
            row("s-a", started_at_ms=5.0),  # replaced in one step
            row("s-b", started_at_ms=5.0),
            row("s-b", "removed"),
            row("s-c"),
            row("s-c", "draining"),  # leaving goes before staying, in either order
            row("s-e", "draining"),
            row("s-e"),
            row("s-d", started_at_ms=5.0),
            {"instanceId": "s-d", "lifecycle": "draining"},
        )
        self.receive(3, row("s-c"))  # a newer list may take a drain back
        self.assert_trace("membership-twice")

    def test_a_generation_that_cannot_be_used(self) -> None:
        """A list whose generation is malformed is applied, and the complete list is polled for next."""
        self.receive(1, row("s-a"), complete=True)
        for generation in (None, "2", True, -3, 2.5):
            self.receive(generation, row("s-a", "draining"))
        self.receive(2, "no row", {}, complete=True)  # no list
        self.assert_trace("membership-generations")
        self.assertEqual(self.membership.rows["s-a"].info.status, EndpointStatus.DRAINING)
