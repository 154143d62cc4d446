"""Tests of the budget for received bytes, without sockets."""

from __future__ import annotations

import unittest

from drumgw.gateway.receive_budget import MAX_CONNECTION_BYTES, ReceiveBudget


class StubConnection:
    """A connection that notes whether its request was rejected."""

    def __init__(self, is_partial: bool) -> None:
        self.unanswered_bytes = 0
        self.is_partial = is_partial
        self.is_rejected = False

    def is_receiving_request(self) -> bool:
        return self.is_partial

    def reject_partial_request(self) -> None:
        self.is_rejected = True
        self.is_partial = False


class ReceiveBudgetTest(unittest.TestCase):
    """Counting of received bytes, and what happens at the limits."""

    def setUp(self) -> None:
        self.connections: list[StubConnection] = []
        self.budget = ReceiveBudget(1000, lambda: self.connections)

    def open(self, byte_count: int, is_partial: bool) -> StubConnection:
        connection = StubConnection(is_partial)
        self.connections.append(connection)
        self.budget.receive(connection, byte_count)
        return connection

    def test_the_largest_partial_request_is_rejected_first(self) -> None:
        complete, small, large = self.open(500, False), self.open(100, True), self.open(300, True)
        self.assertTrue(self.budget.receive(small, 150))
        self.assertEqual(
            [(c.is_rejected, c.unanswered_bytes) for c in (complete, small, large)],
            [(False, 500), (False, 250), (True, 0)],
        )
        self.assertEqual(self.budget.total_bytes, 750)

    def test_partial_requests_that_use_up_the_budget_exactly_do_not_stop_all_reading(self) -> None:
        partial = [self.open(500, True) for _ in range(2)]
        self.assertEqual([connection.is_rejected for connection in partial], [True, False])
        self.assertFalse(self.budget.is_exhausted)

    def test_complete_requests_keep_their_bytes_but_are_read_no_further(self) -> None:
        complete, others = self.open(600, False), self.open(300, False)
        self.assertFalse(self.budget.receive(complete, 200))
        self.assertFalse(complete.is_rejected or others.is_rejected)
        self.budget.release(others)
        self.assertTrue(self.budget.receive(complete, 1))

    def test_a_partial_request_over_the_limit_by_itself_is_rejected(self) -> None:
        partial = self.open(1001, True)
        self.assertTrue(partial.is_rejected)
        self.assertEqual(self.budget.total_bytes, 0)

    def test_a_connection_over_its_limit_is_read_on_only_for_a_partial_request(self) -> None:
        self.budget = ReceiveBudget(10 * MAX_CONNECTION_BYTES, lambda: self.connections)
        for is_partial in (False, True):
            connection = StubConnection(is_partial)
            self.assertTrue(self.budget.receive(connection, MAX_CONNECTION_BYTES - 1))
            self.assertEqual(self.budget.receive(connection, 1), is_partial)
