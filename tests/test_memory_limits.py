"""Tests of the limits that follow from a process's memory, and of the queues and budgets that keep them."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from drumgw.gateway.memory_plan import (
    ACCOUNT_BYTES,
    BYTES_PER_MB,
    CONNECTION_BYTES,
    KEPT_ID_BYTES,
    MIN_ACCOUNTS,
    MIN_REQUESTS_BYTES,
    divide_memory,
)
from drumgw.gateway.process_config import MAX_BODY_BYTES, MAX_HEAD_BYTES
from drumgw.gateway.receive_budget import MAX_FIELDS, memory_of
from drumgw.gateway.response_memory import ResponseMemory
from drumgw.gateway.send_budget import SendBudget
from drumgw.gateway.shedding import ShedReason, log_shed, shed
from drumgw.gateway.turn_scheduler import PIECES_PER_TURN, TurnScheduler
from tests.hosting_harness import HostCase

CONNECTIONS = 1000
OWN_BYTES = 40 * BYTES_PER_MB


class MemoryPlanTest(unittest.TestCase):
    """How a limit is divided."""

    def test_all_parts_fit_beside_what_the_process_uses(self) -> None:
        for limit_mb in (64, 96, 192, 1024):
            plan = divide_memory(limit_mb * BYTES_PER_MB, OWN_BYTES, CONNECTIONS)
            counted_bytes = plan.max_accounts * ACCOUNT_BYTES + plan.max_kept_ids * KEPT_ID_BYTES
            parts = plan.unanswered_bytes + plan.attempts_bytes + plan.unsent_bytes + counted_bytes
            total = OWN_BYTES + CONNECTIONS * CONNECTION_BYTES + parts
            self.assertLess(total, limit_mb * BYTES_PER_MB)

    def test_a_process_over_its_limit_can_still_serve_one_request_at_a_time(self) -> None:
        plan = divide_memory(32 * BYTES_PER_MB, OWN_BYTES, CONNECTIONS)
        self.assertEqual((plan.unanswered_bytes, plan.max_accounts), (MIN_REQUESTS_BYTES, MIN_ACCOUNTS))
        self.assertTrue(ResponseMemory(plan.attempts_bytes, MAX_BODY_BYTES).has_room(0))
        self.assertLess(memory_of(MAX_HEAD_BYTES, MAX_FIELDS, 1), plan.unanswered_bytes)
        self.assertLess(memory_of(MAX_BODY_BYTES), plan.unanswered_bytes)


class ResponseMemoryTest(unittest.TestCase):
    """How many attempts may be in flight."""

    def test_large_responses_allow_fewer_attempts_and_small_ones_more_again(self) -> None:
        memory = ResponseMemory(3_000_000, 100_000)
        self.assertEqual((memory.has_room(9), memory.has_room(10)), (True, False))
        for _ in range(50):
            memory.record(10)
        self.assertTrue(memory.has_room(900))
        memory.record(100_000)
        self.assertFalse(memory.has_room(10))


class StubSender:
    """A connection with a fixed number of unsent bytes."""

    def __init__(self, budget: SendBudget, byte_count: int) -> None:
        self.byte_count = byte_count
        self.is_aborted = False
        budget.add(self)

    def unsent_bytes(self) -> int:
        return self.byte_count

    def abort(self) -> None:
        self.is_aborted = True


class SendBudgetTest(unittest.TestCase):
    """Responses that clients do not read."""

    def test_over_the_limit_those_unread_for_longest_are_closed(self) -> None:
        budget = SendBudget(1000)
        senders = [StubSender(budget, 400) for _ in range(4)]
        self.assertEqual([sender.is_aborted for sender in senders], [True, True, False, False])
        budget.remove(senders[2])
        self.assertEqual(budget.total_bytes, 400)

    def test_a_response_over_the_limit_by_itself_is_sent(self) -> None:
        budget = SendBudget(1000)
        sender = StubSender(budget, 2000)
        self.assertFalse(sender.is_aborted)


class TurnSchedulerTest(unittest.IsolatedAsyncioTestCase):
    """How many pieces run in a turn of the event loop."""

    async def test_a_turn_has_few_pieces_and_each_connection_its_place(self) -> None:
        turns = TurnScheduler(asyncio.get_running_loop())
        ran: list[int] = []
        for number in range(3 * PIECES_PER_TURN):
            turns.add(lambda number=number: ran.append(number))  # type: ignore[misc]
        self.assertFalse(turns.take_piece())  # others wait
        for turn in range(1, 4):
            await asyncio.sleep(0)
            self.assertEqual(ran, list(range(turn * PIECES_PER_TURN)))

    async def test_pieces_taken_at_once_count_for_the_turn(self) -> None:
        turns = TurnScheduler(asyncio.get_running_loop())
        taken = [turns.take_piece() for _ in range(PIECES_PER_TURN + 1)]
        self.assertEqual(taken, PIECES_PER_TURN * [True] + [False])
        await asyncio.sleep(0)
        self.assertTrue(turns.take_piece())

    async def test_pieces_rest_while_there_is_no_memory(self) -> None:
        has_memory = False
        turns = TurnScheduler(asyncio.get_running_loop(), lambda: has_memory)
        ran = asyncio.Event()
        turns.add(ran.set)
        await asyncio.sleep(0.03)
        self.assertFalse(ran.is_set())
        has_memory = True
        async with asyncio.timeout(1):
            await ran.wait()


class TenantMemoryTest(HostCase):
    """The tenants of a host share the limits of its process."""

    async def test_the_accounts_of_all_tenants_together_fit_the_limit_of_the_process(self) -> None:
        tenants = [await self.tenant(f"t{number}") for number in range(5)]
        host = await self.start_host(*tenants)
        most = host.http_server.config.memory.max_accounts
        services = host.services.services

        def account_limits() -> list[int]:
            return [service.gateway_service.max_accounts for service in services.values()]

        self.assertLessEqual(sum(account_limits()), most)
        await self.call("DELETE", "/v1/tenants/t0", If_Match='"1"')
        await self.wait_until_services_closed()
        self.assertEqual(account_limits(), 4 * [most // 4])


class ShedLogTest(unittest.TestCase):
    """One line with the counts since the last one."""

    def test_counts_are_logged_once_and_set_back(self) -> None:
        shed.clear()
        shed[ShedReason.PARTIAL_REQUEST] += 2
        shed[ShedReason.UNREAD_RESPONSE] += 1
        with mock.patch("drumgw.gateway.shedding.logger") as log:
            log_shed()
            log_shed()
        (call,) = log.warning.call_args_list
        self.assertEqual(
            call.args[1],
            "2 partial requests rejected for memory, 1 connections closed with unread responses, for memory",
        )
