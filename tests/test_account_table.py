"""Tests of the bound on quota accounts: a dropped account gives its customer no new quota."""

from __future__ import annotations

import dataclasses
import random
import unittest
from random import Random

from drumgw.model.events import RequestReceived
from drumgw.model.settings import Plan
from drumgw.policy.account_table import AccountTable
from drumgw.policy.context import DecisionContext
from drumgw.policy.quota_account import PlanLimits, QuotaAccount
from tests.harness import HARD_PLAN

CLASS_COUNT = 2
MAX_REQUEST_UNITS = 6.0
START_MS = 1e6
CUSTOMER = 7
CEILING_PLAN = dataclasses.replace(HARD_PLAN, ceiling_units_per_s=2.0, ceiling_burst_units=20.0)


class AccountTableTest(unittest.TestCase):
    """A table of ten accounts, with a customer whose account is dropped whenever others come."""

    def setUp(self) -> None:
        self.table = AccountTable(max_accounts=10)
        self.context = DecisionContext(Random(1), now_ms=START_MS)

    def account(self, customer: int, plan: Plan = HARD_PLAN) -> QuotaAccount:
        account = self.table.use(customer)
        if account is None:
            event = RequestReceived(1, 1000.0, 0, customer, 0, 1.0, False, 1, 0)
            limits = PlanLimits.from_plan(plan)
            account = QuotaAccount.open(limits, event, self.context, CLASS_COUNT, MAX_REQUEST_UNITS)
            self.table.open(account, self.context.now_ms)
        account.refill(self.context.now_ms)
        return account

    def crowd_out(self) -> None:
        for customer in range(100, 120):
            self.account(customer)
        self.assertNotIn(CUSTOMER, self.table)

    def test_the_number_of_accounts_is_bounded_and_those_in_flight_stay(self) -> None:
        busy = self.account(CUSTOMER)
        busy.attempts_in_flight = 1
        for customer in range(1000, 3000):
            self.account(customer)
            self.assertLessEqual(len(self.table), 10)
        self.assertIs(self.table[CUSTOMER], busy)

    def test_usage_of_a_dropped_account_is_refilled_no_faster(self) -> None:
        self.account(CUSTOMER).charge(10.0, 0, is_over_quota=False)
        kept = self.account(CUSTOMER)
        for _ in range(5):
            self.crowd_out()
            self.context.now_ms += 500.0
            kept.refill(self.context.now_ms)
            self.assertAlmostEqual(sum(self.account(CUSTOMER).usage_units), sum(kept.usage_units))
        self.assertGreater(sum(kept.usage_units), 0.0)

    def test_a_customer_cannot_spend_more_by_being_dropped(self) -> None:
        """Random spending and random drops, against the quota's burst and rate."""
        for seed in range(50):
            self.setUp()
            choices = random.Random(seed)
            spent = 0.0
            for _ in range(300):
                self.context.now_ms += choices.expovariate(1 / 200.0)
                if choices.random() < 0.5:
                    self.crowd_out()
                account = self.account(CUSTOMER)
                if sum(account.usage_units) + 1.0 <= account.plan.quota_units:
                    account.charge(1.0, choices.randrange(CLASS_COUNT), is_over_quota=False)
                    spent += 1.0
            seconds = (self.context.now_ms - START_MS) / 1000.0
            allowed = HARD_PLAN.burst_units + HARD_PLAN.units_per_s * seconds
            self.assertLessEqual(spent, allowed + 1e-6, seed)

    def test_the_ceiling_of_a_dropped_account_is_not_new(self) -> None:
        account = self.account(CUSTOMER, CEILING_PLAN)
        account.charge(8.0, 0, is_over_quota=True)
        left = account.ceiling_units
        self.crowd_out()
        self.assertLessEqual(self.account(CUSTOMER, CEILING_PLAN).ceiling_units, left)
