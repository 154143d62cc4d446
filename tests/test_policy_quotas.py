"""Quota enforcement by one gateway: shares, soft plans, billed units, ceilings and concurrency caps."""

from __future__ import annotations

from dataclasses import replace

from drumgw.model.events import Outcome
from tests.harness import (
    CAPPED_PLAN,
    CEILING_PLAN,
    HIGH_PRIORITY,
    LOW_PRIORITY,
    SOFT_PLAN,
    PolicyHarness,
    TraceCase,
)


class QuotaTest(TraceCase):
    """Requests that fit a customer's quota, and requests that do not."""

    def test_shares_floors_and_borrowing(self) -> None:
        harness = PolicyHarness()
        harness.note(
            "the top class uses 8 of 20 units; the lower one uses its share and borrows beyond the floor"
        )
        for _ in range(4):
            harness.serve(harness.request(HIGH_PRIORITY, 2.0))
        for _ in range(6):
            harness.serve(harness.request(LOW_PRIORITY, 2.0))
        harness.note(
            "the quota is used up: the top class is rejected too; rejected requests are not reported"
        )
        for _ in range(3):
            harness.serve(harness.request(HIGH_PRIORITY, 2.0))
        self.assert_trace(harness, "class-shares")

    def test_soft_plan_exceeds_its_quota_until_an_endpoint_has_no_capacity(self) -> None:
        harness = PolicyHarness(plans=(SOFT_PLAN,))
        for _ in range(3):
            harness.end_attempt(harness.request(LOW_PRIORITY, 10.0))
        harness.note("beyond the quota; an endpoint rejects an attempt for lack of capacity")
        request = harness.request(LOW_PRIORITY, 10.0)
        harness.end_attempt(request, Outcome.REJECTED)
        harness.end_attempt(request)
        harness.request(LOW_PRIORITY, 10.0)
        self.assert_trace(harness, "soft-plan")

    def test_billed_units_replace_the_estimate(self) -> None:
        harness = PolicyHarness(has_counter=False, gateways=1)
        harness.note("12 units estimated, 2 billed: another 12 fit; then 12 billed: no more fit")
        harness.end_attempt(harness.request(LOW_PRIORITY, 12.0, gateway_count=1), billed_units=2.0)
        harness.end_attempt(harness.request(LOW_PRIORITY, 12.0, gateway_count=1), billed_units=12.0)
        harness.request(LOW_PRIORITY, 12.0, gateway_count=1)
        self.assert_trace(harness, "billed-units")


class CeilingTest(TraceCase):
    """The hard limit, which does not depend on the counter."""

    def test_ceiling_is_enforced_when_the_counter_loses_totals(self) -> None:
        """The counter loses its totals, so quotas can be exceeded for a time.

        A ceiling must not be exceeded: each gateway enforces an even part of it without calling the counter.
        """
        harness = PolicyHarness(plans=(CEILING_PLAN,))
        harness.note(
            "a new gateway starts with 0 units: the ceiling refills here at 20 / 2 per second, up to 20"
        )
        harness.request(HIGH_PRIORITY, 4.0)
        harness.advance(500)
        harness.request(HIGH_PRIORITY, 4.0)
        harness.request(HIGH_PRIORITY, 4.0)
        harness.note("the loss of a total changes nothing")
        harness.counter_totals.clear()
        harness.request(HIGH_PRIORITY, 4.0)
        self.assert_trace(harness, "ceiling")

    def test_new_account_starts_with_the_refilled_part_of_the_ceiling(self) -> None:
        """Customers that are served by many gateways reach each of them rarely.

        Their accounts are new, or were dropped as idle, at nearly every request. If new accounts started with
        an empty ceiling, most of these requests would be rejected. New accounts therefore start with the
        units refilled since the gateway's start, for at most the time after which idle accounts are dropped.
        """
        plan = replace(CEILING_PLAN, units_per_s=100.0, burst_units=200.0)
        harness = PolicyHarness(plans=(plan,), has_counter=False)
        harness.advance(1500)
        harness.note("1.6 s after the start: 16 of at most 20 units of the ceiling have refilled here")
        for _ in range(3):
            harness.serve(harness.request(LOW_PRIORITY, 6.0, customer=2))
        harness.advance(30000)
        harness.note(
            "the account was dropped as idle: the ceiling's part is full again, and not more than full"
        )
        self.assertNotIn(2, harness.engine.accounts)
        for _ in range(4):
            harness.serve(harness.request(LOW_PRIORITY, 6.0, customer=2))
        self.assert_trace(harness, "ceiling-unknown-customer")


class ConcurrencyCapTest(TraceCase):
    """A plan's limit on attempts in flight, summed over all gateways."""

    def test_cap_is_divided_among_the_gateways(self) -> None:
        harness = PolicyHarness(has_counter=False, plans=(CAPPED_PLAN,))
        first = harness.request(LOW_PRIORITY)
        harness.request(LOW_PRIORITY)
        harness.end_attempt(first)
        harness.request(LOW_PRIORITY)
        self.assert_trace(harness, "concurrency-cap")

    def test_cap_smaller_than_the_number_of_gateways(self) -> None:
        """A customer has a cap of 2 attempts and 40 gateways; one attempt per gateway would be 40.

        The customer's quota is therefore reduced to small bursts, and requests decided without a total are
        rejected.
        """
        harness = PolicyHarness(plans=(CAPPED_PLAN,))
        harness.note("2 concurrent attempts and 40 gateways: the quota is reduced from 20 to 12 units")
        for _ in range(3):
            harness.serve(harness.request(LOW_PRIORITY, 5.0, gateway_count=40))
        harness.note("a request decided without a poll is not forwarded")
        harness.engine.counter_calls.poll_probability = 0.0
        harness.request(LOW_PRIORITY, 5.0, customer=2, gateway_count=40)
        self.assert_trace(harness, "concurrency-cap-below-gateways")
