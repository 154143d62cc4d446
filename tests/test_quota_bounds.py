"""How far a customer's quota can be passed while the shared counter is lost, split or replaced.

The bound that `drumgw.config.quota_bounds` declares is checked against random interleavings of one customer's
gateways, and against short runs of the testbed. Engines that break a rule on purpose show that the checks
find it.
"""

from __future__ import annotations

import random
import unittest
from typing import Any

from drumgw.config.quota_bounds import describe_bound, sending_bound
from drumgw.config.sections import PlanSection
from drumgw.model.events import Outcome
from drumgw.policy.counter_calls import CounterCall
from drumgw.policy.counter_sync import CounterSync
from drumgw.policy.engine import PolicyEngine
from drumgw.policy.quota_account import IDLE_ACCOUNT_MS
from drumgw.stable_hash import stable_hash
from drumgw.testbed.quota_usage import usage_in_outages
from tests.customer_gateways import CUSTOMER, MAX_REQUEST_UNITS, CustomerGateways
from tests.scenarios import NoQuotasEngine, make_scenario, play


class TrustingCounterSync(CounterSync):
    """Takes every total for what was sent, whatever is known here."""

    def apply_total(self, call: CounterCall, total: float) -> float:
        """Forgets what this gateway knows before it takes a total over."""
        account = call.exchange.account
        account.known_level_units = 0.0
        account.local_usage_units = 0.0
        return super().apply_total(call, total)


class TrustingEngine(PolicyEngine):
    """An engine that believes every total."""

    counter_sync_class = TrustingCounterSync


def plan(**figures: Any) -> PlanSection:
    """A plan of an operator's file."""
    return PlanSection(**{"name": "p", "units_per_s": 2.0, "burst_units": 12.0, **figures})


CEILING_PLAN = plan(units_per_s=10.0, burst_units=20.0, ceiling_per_s=12.0, ceiling_burst=30.0)
SLOW_PLAN = plan(units_per_s=0.5, burst_units=60.0)
PLANS = (plan(), plan(units_per_s=20.0, burst_units=40.0), SLOW_PLAN, CEILING_PLAN)
SEEDS = 48


class LostCounterTest(unittest.TestCase):
    """The counter is lost after a time, and gateways restart meanwhile.

    Each gateway decides by what it knows itself then. All together must not send more than the declared
    bound.
    """

    def largest_share(self, engine_class: type[PolicyEngine] = PolicyEngine) -> float:
        """The largest share of the bound, over all seeds and moments."""
        largest = 0.0
        for seed in range(SEEDS):
            gateways = CustomerGateways(PLANS[seed % len(PLANS)], 1 + seed % 6, seed, engine_class)
            for _ in range(random.Random(seed).choice((0, 200, 800))):
                gateways.step()
            gateways.lose_counter()
            for _ in range(1500):
                gateways.step()
                largest = max(largest, gateways.share_of_bound())
        return largest

    def test_no_interleaving_passes_the_declared_bound(self) -> None:
        largest = self.largest_share()
        self.assertLessEqual(largest, 1.0)
        self.assertGreater(largest, 0.3)  # it is no bound that nothing comes near

    def test_an_engine_without_quota_accounts_passes_it(self) -> None:
        self.assertGreater(self.largest_share(NoQuotasEngine), 1.0)


class ReplacedCounterTest(unittest.TestCase):
    """The counter answers throughout, and is split, emptied and replaced, again and again.

    Totals are too low then, or too high. What a gateway sent itself no total may make it forget.
    """

    def largest_share(self, engine_class: type[PolicyEngine] = PolicyEngine) -> float:
        """The largest share of the bound, over all seeds and moments."""
        largest = 0.0
        for seed in range(SEEDS):
            gateways = CustomerGateways(PLANS[seed % len(PLANS)], 1 + seed % 6, seed, engine_class)
            steps_between_faults = gateways.random.choice((20, 60, 200))
            if seed % 3:
                self.make_unreliable(gateways)
            for _ in range(2500):
                gateways.step()
                if gateways.random.random() < 1 / steps_between_faults:
                    gateways.fault_counter()
                largest = max(largest, gateways.share_of_bound())
        return largest

    def make_unreliable(self, gateways: CustomerGateways) -> None:
        """Replies get lost or are noise, gateways restart, and their clocks differ."""
        gateways.lost_reply_share = 0.1
        gateways.noise_share = 0.05
        gateways.restart_probability = 0.2
        gateways.clock_skews_ms = [gateways.random.uniform(0.0, 3000.0) for _ in gateways.clock_skews_ms]
        gateways.engines = [gateways.new_engine(number) for number in range(gateways.gateway_count)]

    def test_no_interleaving_passes_the_bound_of_a_lost_counter(self) -> None:
        """The bound has no term for replacements."""
        largest = self.largest_share()
        self.assertLessEqual(largest, 1.0)
        self.assertGreater(largest, 0.3)

    def test_an_engine_that_believes_every_total_passes_it(self) -> None:
        self.assertGreater(self.largest_share(TrustingEngine), 1.0)

    def test_who_stays_inside_its_quota_is_served_throughout(self) -> None:
        """A customer uses a quarter of its rate, through random gateways.

        Whatever the counter forgets, splits or adds up, none of its requests may be rejected.
        """
        for seed in range(24):
            within = plan(units_per_s=20.0, burst_units=60.0)
            gateways = CustomerGateways(within, 1 + seed % 6, seed, PolicyEngine)
            for _ in range(400):
                gateways.now_ms += 100.0 * gateways.random.expovariate(1.0) * MAX_REQUEST_UNITS
                gateways.request(gateways.random.randrange(gateways.gateway_count))
                gateways.reply_to_all()
                while gateways.attempts:
                    attempt = gateways.attempts.pop()
                    gateways.end_attempt(attempt._replace(endpoint_id=0), Outcome.SUCCEEDED)
                if gateways.random.random() < 0.1:
                    gateways.fault_counter()
            with self.subTest(seed):
                self.assertLessEqual(gateways.true_level_units(), 60.0)
                self.assertEqual((gateways.rejected, gateways.counter_faults > 10), (0, True))

    def levels_after_loss(
        self, engine_class: type[PolicyEngine], gateway_count: int, seed: int
    ) -> tuple[float, float]:
        """The counter's level and the true one, once it came back empty and each gateway polled it twice."""
        large = plan(units_per_s=2.0, burst_units=600.0)
        gateways = CustomerGateways(large, gateway_count, seed, engine_class)
        for _ in range(200):
            gateways.step()
        gateways.counter_parts = [{}]
        for gateway in (*range(gateway_count), *range(gateway_count)):
            gateways.request(gateway)
        gateways.reply_to_all()
        account = gateways.engines[0].accounts[CUSTOMER]
        epoch = account.epoch_at(gateways.now_ms)
        total = gateways.counter_parts[0].get(stable_hash(CUSTOMER, epoch), 0.0)
        refilled = account.refilled_units(epoch, gateways.now_ms)
        return total - refilled, gateways.true_level_units()

    def test_what_gateways_know_is_put_back_once(self) -> None:
        """The counter comes back empty, and all gateways know what it held.

        If each put it back, the customer would be rejected; if none did, it would have its quota anew.
        """
        for gateway_count in (1, 2, 4, 8):
            for seed in range(6):
                level, true_level = self.levels_after_loss(PolicyEngine, gateway_count, seed)
                trusting_level, _ = self.levels_after_loss(TrustingEngine, gateway_count, seed)
                with self.subTest(gateways=gateway_count, seed=seed):
                    self.assertGreater(true_level, 100.0)
                    self.assertTrue(0.4 * true_level < level < 1.1 * true_level, (level, true_level))
                    self.assertLess(trusting_level, 0.3 * true_level)


class DeclaredBoundTest(unittest.TestCase):
    """The figures that operators are told."""

    def test_figures(self) -> None:
        for gateway_count, seconds, more, max_units, ratio in (
            (1, 10, {}, 32, 1.0),
            (4, 10, {}, 128, 4.0),
            (4, 10, {"restarts": 1}, 176, 5.5),
        ):
            bound = sending_bound(plan(), gateway_count, seconds, **more)
            assert bound
            self.assertEqual((bound.max_units, bound.ratio_to_quota), (max_units, ratio))
        by_ceiling = sending_bound(CEILING_PLAN, 6, 10.0)
        assert by_ceiling
        figures = (by_ceiling.max_units, by_ceiling.held_by, by_ceiling.is_useful)
        self.assertEqual(figures, (150.0, "its ceiling", True))
        self.assertIsNone(sending_bound(plan(units_per_s=0.0, burst_units=0.0), 3, 10.0))

    def test_accounts_that_are_dropped_before_their_quota_is_full_count(self) -> None:
        bound = sending_bound(SLOW_PLAN, 2, 20.0)
        assert bound
        self.assertEqual(bound.max_units, 2 * (60.0 + 60.0 * 20.0 / (IDLE_ACCOUNT_MS / 1000.0)))

    def test_where_no_useful_bound_can_be_had_it_says_so(self) -> None:
        large, small = sending_bound(plan(), 10, 10.0), sending_bound(CEILING_PLAN, 10, 10.0)
        assert large and small
        self.assertIn("no useful bound", describe_bound(large, 10, 10.0))
        self.assertNotIn("no useful bound", describe_bound(small, 10, 10.0))


class TestbedBoundTest(unittest.TestCase):
    """Runs of the testbed beside the bound."""

    def test_a_scenario_with_the_counter_lost_stays_within_it(self) -> None:
        """The counter is silent, or refuses connections, for 3 s, while customers ask twice their quota.

        What each customer's gateways sent must be within its bound at any moment.
        """
        for kind in ("silent", "refuses"):
            fault = f'kind = "counter {kind}"; at_s = 1; for_s = 3'
            scenario = make_scenario(fault, seconds=5, use=2.0, units_spread=0)
            for seed in (1, 2):
                log, violations = play(scenario, seed)
                usages = usage_in_outages(log, scenario)
                self.assertEqual(violations, [])
                self.assertTrue(usages)
                self.assertTrue(all(usage.sent_units <= usage.bound_units for usage in usages))
                self.assertGreater(max(usage.sent_units for usage in usages), 0)
