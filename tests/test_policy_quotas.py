"""Quotas as one gateway keeps them: shares, soft plans, billed units, ceilings, concurrency caps."""

from __future__ import annotations

from dataclasses import replace

from drumgw.model.events import Outcome
from tests.harness import CAPPED_PLAN, CEILING_PLAN, LOWER, SOFT_PLAN, TOP, PolicyHarness, TraceCase


class QuotaTest(TraceCase):
    """What fits a customer's quota."""

    def test_shares_floors_and_borrowing(self) -> None:
        harness = PolicyHarness()
        harness.note(
            "the top class takes 8 of 20 units; the lower one its share, and borrows above the floor"
        )
        for _ in range(4):
            harness.serve(harness.request(TOP, 2.0))
        for _ in range(6):
            harness.serve(harness.request(LOWER, 2.0))
        harness.note("the quota is used: the top class is rejected too, and a rejected request not reported")
        for _ in range(3):
            harness.serve(harness.request(TOP, 2.0))
        self.assert_trace(harness, "class-shares")

    def test_soft_plan_passes_its_quota_until_an_endpoint_has_no_capacity(self) -> None:
        harness = PolicyHarness(plans=(SOFT_PLAN,))
        for _ in range(3):
            harness.end_attempt(harness.request(LOWER, 10.0))
        harness.note("past the quota; now an endpoint rejects an attempt for lack of capacity")
        request = harness.request(LOWER, 10.0)
        harness.end_attempt(request, Outcome.REJECTED)
        harness.end_attempt(request)
        harness.request(LOWER, 10.0)
        self.assert_trace(harness, "soft-plan")

    def test_billed_units_replace_the_estimate(self) -> None:
        harness = PolicyHarness(has_counter=False, gateways=1)
        harness.note("12 units estimated, 2 billed: another 12 fit; 12 billed: no more do")
        harness.end_attempt(harness.request(LOWER, 12.0, gateway_count=1), billed_units=2.0)
        harness.end_attempt(harness.request(LOWER, 12.0, gateway_count=1), billed_units=12.0)
        harness.request(LOWER, 12.0, gateway_count=1)
        self.assert_trace(harness, "billed-units")


class CeilingTest(TraceCase):
    """The hard limit that holds without the counter."""

    def test_ceiling_is_held_by_each_gateway_alone(self) -> None:
        """The counter loses its totals, so quotas are passed for a while.

        A ceiling must hold all the same: each gateway keeps its even part of it without a call.
        """
        harness = PolicyHarness(plans=(CEILING_PLAN,))
        harness.note("a new gateway starts from nothing: the ceiling refills here at 20 / 2 a second, to 20")
        harness.request(TOP, 4.0)
        harness.advance(500)
        harness.request(TOP, 4.0)
        harness.request(TOP, 4.0)
        harness.note("a total that was lost changes nothing")
        harness.counter_totals.clear()
        harness.request(TOP, 4.0)
        self.assert_trace(harness, "ceiling")

    def test_a_customer_seen_late_has_its_whole_part_of_the_ceiling(self) -> None:
        """Customers of many gateways come to each of them seldom.

        Their accounts are new, or were dropped as idle, at nearly each request. If a new account began from
        an empty ceiling, most of their requests were rejected; so it begins with what has refilled since the
        gateway started, up to the time after which accounts are dropped.
        """
        plan = replace(CEILING_PLAN, units_per_s=100.0, burst_units=200.0)
        harness = PolicyHarness(plans=(plan,), has_counter=False)
        harness.advance(1500)
        harness.note("1.6 s after the start: 16 of the 20 units that the ceiling may hold here have refilled")
        for _ in range(3):
            harness.serve(harness.request(LOWER, 6.0, customer=2))
        harness.advance(30000)
        harness.note("the account was dropped as idle: the part is full again, and holds no more than that")
        self.assertNotIn(2, harness.engine.accounts)
        for _ in range(4):
            harness.serve(harness.request(LOWER, 6.0, customer=2))
        self.assert_trace(harness, "ceiling-unknown-customer")


class ConcurrencyCapTest(TraceCase):
    """A plan's limit on attempts in flight over all gateways."""

    def test_cap_is_split_over_the_gateways(self) -> None:
        harness = PolicyHarness(has_counter=False, plans=(CAPPED_PLAN,))
        first = harness.request(LOWER)
        harness.request(LOWER)
        harness.end_attempt(first)
        harness.request(LOWER)
        self.assert_trace(harness, "concurrency-cap")

    def test_cap_smaller_than_the_number_of_gateways(self) -> None:
        """A cap of 2 attempts, for a customer of 40 gateways: one attempt at each would be 40.

        So the customer's quota allows small bursts only, and a request that no total covers is rejected.
        """
        harness = PolicyHarness(plans=(CAPPED_PLAN,))
        harness.note("2 attempts at once through 40 gateways: the quota holds 12 units, not 20")
        for _ in range(3):
            harness.serve(harness.request(LOWER, 5.0, gateway_count=40))
        harness.note("a request that is not polled for is not forwarded")
        harness.engine.counter_calls.poll_probability = 0.0
        harness.request(LOWER, 5.0, customer=2, gateway_count=40)
        self.assert_trace(harness, "concurrency-cap-below-gateways")
