"""Tests of the settings of the garbage collector."""

from __future__ import annotations

import gc
import unittest
import weakref

from drumgw.gateway.garbage_collection import GC_THRESHOLD, tune_garbage_collector


class Cycle:
    """An object that refers to itself."""

    def __init__(self) -> None:
        self.itself = self


class GarbageCollectorTest(unittest.TestCase):
    """The settings that gateways and hosts make once they have started."""

    def setUp(self) -> None:
        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        self.addCleanup(gc.unfreeze)

    def test_garbage_of_the_start_is_freed_before_the_other_objects_are_exempted(self) -> None:
        """Regression: a host exempted its garbage too, which was then never freed."""
        garbage = weakref.ref(Cycle())
        tune_garbage_collector()
        self.assertIsNone(garbage())
        self.assertGreater(gc.get_freeze_count(), 0)
        self.assertEqual(gc.get_threshold()[0], GC_THRESHOLD)
