"""Counts the objects of a class that exist, also those that only the garbage collector would free.

It counts them while the collector is off; otherwise a test would pass by chance.
"""

from __future__ import annotations

import gc
import unittest
from collections.abc import Callable
from typing import Any


def _objects(kind: type) -> list[object]:
    return [candidate for candidate in gc.get_objects() if type(candidate) is kind]


def stop_garbage_collector(test: unittest.TestCase) -> None:
    """Collects the garbage that exists, and turns the collector off until the end of the test."""
    gc.collect()
    gc.disable()
    test.addCleanup(gc.enable)


class LiveObjects:
    """The objects of a class that were created after this object.

    Those of earlier tests do not count: an exception that is still referred to may keep them.

    Args:
        kind: the class; subclasses do not count.
        matches: whether an object counts.
    """

    def __init__(self, kind: type, matches: Callable[[Any], bool] = lambda candidate: True) -> None:
        self._kind = kind
        self._matches = matches
        self._earlier = _objects(kind)  # keeps them, so that their ids stay theirs

    def count(self) -> int:
        """Returns how many objects exist that did not exist at first."""
        earlier_ids = {id(earlier) for earlier in self._earlier}
        later = [candidate for candidate in _objects(self._kind) if id(candidate) not in earlier_ids]
        return sum(self._matches(candidate) for candidate in later)
