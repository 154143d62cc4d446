"""Short soak runs with fixed seeds; `python -m tests.soak_run` plays longer ones."""

from __future__ import annotations

import unittest

from tests.soak_run import run_seed

SEEDS = (2, 3, 9, 12, 21)
"""Deadlines of 0.4 to 6 s; four of them have a crowd."""


class SoakTest(unittest.TestCase):
    """A gateway under signals in series, changing endpoints and crowds, up to the earliest kill."""

    def test_no_rule_is_broken_in_seeded_runs(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = run_seed(seed)
                print(result.summary)
                self.assertEqual(result.problems, [])
