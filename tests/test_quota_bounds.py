"""Bounds on usage beyond a customer's quota while the shared counter is lost, split or replaced.

The bound computed by `drumgw.config.quota_bounds` is checked against random interleavings of one customer's
gateways, and against short runs of the testbed. Engines with a deliberate fault verify that the checks detect
violations.
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
from tests.scenarios import NoQuotasEngine, make_scenario, run_scenario_virtually


class TrustingCounterSync(CounterSync):
    """Applies every total without regard to the usage recorded by this gateway."""

    def apply_total(self, call: CounterCall, total: float) -> float:
        """Clears the recorded usage, so that the total is applied unchecked."""
        account = call.exchange.account
        account.known_level_units = 0.0
        account.local_usage_units = 0.0
        return super().apply_total(call, total)


class TrustingEngine(PolicyEngine):
    """An engine that applies every total unchecked."""

    counter_sync_class = TrustingCounterSync


def plan(**fields: Any) -> PlanSection:
    """Returns a plan section of a configuration file, with the given fields replaced."""
    return PlanSection(**{"name": "p", "units_per_s": 2.0, "burst_units": 12.0, **fields})


CEILING_PLAN = plan(units_per_s=10.0, burst_units=20.0, ceiling_per_s=12.0, ceiling_burst=30.0)
SLOW_PLAN = plan(units_per_s=0.5, burst_units=60.0)
PLANS = (plan(), plan(units_per_s=20.0, burst_units=40.0), SLOW_PLAN, CEILING_PLAN)
SEEDS = 48


class LostCounterTest(unittest.TestCase):
    """The counter becomes unavailable after some time, and gateways restart during the outage.

    Each gateway then decides by its own account. Together they must not send more than the declared bound.
    """

    def largest_share(self, engine_class: type[PolicyEngine] = PolicyEngine) -> float:
        """Returns the largest fraction of the bound that was used, over all seeds and steps."""
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

    def test_no_interleaving_exceeds_the_declared_bound(self) -> None:
        largest = self.largest_share()
        self.assertLessEqual(largest, 1.0)
        self.assertGreater(largest, 0.3)  # the bound is not so loose that usage always stays far below it

    def test_engine_that_ignores_quotas_exceeds_the_bound(self) -> None:
        self.assertGreater(self.largest_share(NoQuotasEngine), 1.0)


class ReplacedCounterTest(unittest.TestCase):
    """The counter continues to answer, but is repeatedly split, emptied and replaced.

    Totals are then too low or too high. A gateway must not reduce its own usage because of a total.
    """

    def largest_share(self, engine_class: type[PolicyEngine] = PolicyEngine) -> float:
        """Returns the largest fraction of the bound that was used, over all seeds and steps."""
        largest = 0.0
        for seed in range(SEEDS):
            gateways = CustomerGateways(PLANS[seed % len(PLANS)], 1 + seed % 6, seed, engine_class)
            steps_between_faults = gateways.random.choice((20, 60, 200))
            if seed % 3:
                self.make_unreliable(gateways)
            for _ in range(2500):
                gateways.step()
                if gateways.random.random() < 1 / steps_between_faults:
                    gateways.inject_counter_fault()
                largest = max(largest, gateways.share_of_bound())
        return largest

    def make_unreliable(self, gateways: CustomerGateways) -> None:
        """Enables lost replies, random totals, gateway restarts and clock skew."""
        gateways.lost_reply_share = 0.1
        gateways.wrong_total_share = 0.05
        gateways.restart_probability = 0.2
        gateways.clock_skews_ms = [gateways.random.uniform(0.0, 3000.0) for _ in gateways.clock_skews_ms]
        gateways.engines = [gateways.new_engine(number) for number in range(gateways.gateway_count)]

    def test_no_interleaving_exceeds_the_bound_of_a_lost_counter(self) -> None:
        """The bound for a lost counter holds for replacements too; it has no separate term for them."""
        largest = self.largest_share()
        self.assertLessEqual(largest, 1.0)
        self.assertGreater(largest, 0.3)

    def test_engine_that_trusts_every_total_exceeds_the_bound(self) -> None:
        self.assertGreater(self.largest_share(TrustingEngine), 1.0)

    def test_customer_within_its_quota_is_never_rejected(self) -> None:
        """A customer uses a quarter of its rate, through random gateways.

        None of its requests may be rejected, whether the counter loses units, is split or merged.
        """
        for seed in range(24):
            customer_plan = plan(units_per_s=20.0, burst_units=60.0)
            gateways = CustomerGateways(customer_plan, 1 + seed % 6, seed, PolicyEngine)
            for _ in range(400):
                gateways.now_ms += 100.0 * gateways.random.expovariate(1.0) * MAX_REQUEST_UNITS
                gateways.request(gateways.random.randrange(gateways.gateway_count))
                gateways.reply_to_all()
                while gateways.attempts:
                    attempt = gateways.attempts.pop()
                    gateways.end_attempt(attempt._replace(endpoint_id=0), Outcome.SUCCEEDED)
                if gateways.random.random() < 0.1:
                    gateways.inject_counter_fault()
            with self.subTest(seed):
                self.assertLessEqual(gateways.true_level_units(), 60.0)
                self.assertEqual((gateways.rejected, gateways.counter_faults > 10), (0, True))

    def levels_after_loss(
        self, engine_class: type[PolicyEngine], gateway_count: int, seed: int
    ) -> tuple[float, float]:
        """Returns the counter's and the true usage level.

        The counter was emptied, and each gateway then sent two requests.
        """
        large = plan(units_per_s=2.0, burst_units=600.0)
        gateways = CustomerGateways(large, gateway_count, seed, engine_class)
        for _ in range(200):
            gateways.step()
        gateways.counter_replicas = [{}]
        for gateway in (*range(gateway_count), *range(gateway_count)):
            gateways.request(gateway)
        gateways.reply_to_all()
        account = gateways.engines[0].accounts[CUSTOMER]
        epoch = account.epoch_at(gateways.now_ms)
        total = gateways.counter_replicas[0].get(stable_hash(CUSTOMER, epoch), 0.0)
        refilled = account.refilled_units(epoch, gateways.now_ms)
        return total - refilled, gateways.true_level_units()

    def test_lost_usage_is_restored_once(self) -> None:
        """The counter restarts empty, and all gateways have recorded the lost usage.

        If each of them restored it, the customer would be rejected; if none did, it would get a full quota.
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
    """The bounds that are shown to operators."""

    def test_bounds_of_sample_plans(self) -> None:
        for gateway_count, seconds, options, max_units, ratio in (
            (1, 10, {}, 32, 1.0),
            (4, 10, {}, 128, 4.0),
            (4, 10, {"restarts": 1}, 176, 5.5),
        ):
            bound = sending_bound(plan(), gateway_count, seconds, **options)
            assert bound
            self.assertEqual((bound.max_units, bound.ratio_to_quota), (max_units, ratio))
        by_ceiling = sending_bound(CEILING_PLAN, 6, 10.0)
        assert by_ceiling
        figures = (by_ceiling.max_units, by_ceiling.limited_by, by_ceiling.is_useful)
        self.assertEqual(figures, (150.0, "its ceiling", True))
        self.assertIsNone(sending_bound(plan(units_per_s=0.0, burst_units=0.0), 3, 10.0))

    def test_bound_includes_accounts_dropped_before_their_quota_is_full(self) -> None:
        bound = sending_bound(SLOW_PLAN, 2, 20.0)
        assert bound
        self.assertEqual(bound.max_units, 2 * (60.0 + 60.0 * 20.0 / (IDLE_ACCOUNT_MS / 1000.0)))

    def test_description_states_that_a_bound_is_not_useful(self) -> None:
        without_ceiling, with_ceiling = sending_bound(plan(), 10, 10.0), sending_bound(CEILING_PLAN, 10, 10.0)
        assert without_ceiling and with_ceiling
        self.assertIn("no useful bound", describe_bound(without_ceiling, 10, 10.0))
        self.assertNotIn("no useful bound", describe_bound(with_ceiling, 10, 10.0))


class TestbedBoundTest(unittest.TestCase):
    """Usage in testbed runs, compared with the bound."""

    def test_scenario_with_a_lost_counter_stays_within_the_bound(self) -> None:
        """The counter is silent, or refuses connections, for 3 s while customers request twice their quota.

        The units sent by each customer's gateways must stay within its bound.
        """
        for kind in ("silent", "refuses"):
            fault = f'kind = "counter {kind}"; at_s = 1; for_s = 3'
            scenario = make_scenario(fault, seconds=5, use=2.0, units_spread=0)
            for seed in (1, 2):
                log, violations = run_scenario_virtually(scenario, seed)
                usages = usage_in_outages(log, scenario)
                self.assertEqual(violations, [])
                self.assertTrue(usages)
                self.assertTrue(all(usage.sent_units <= usage.bound_units for usage in usages))
                self.assertGreater(max(usage.sent_units for usage in usages), 0)
