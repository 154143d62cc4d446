"""The reserved parts of a quota by request class, ranked by priority weight (rank 0 is the highest)."""

from __future__ import annotations

from drumgw.model.settings import RequestClass

CLASS_SHARES = (0.70, 0.20, 0.10)
"""Fractions of the quota that are a class's own, from the highest rank."""
CLASS_FLOORS = (0.70, 0.10, 0.05)
"""Fractions of the quota that lower classes leave to a class that uses them."""


def priority_ranks(request_classes: tuple[RequestClass, ...]) -> list[int]:
    """The rank of each class by its index; equal weights keep the order of the settings."""
    by_weight = sorted(range(len(request_classes)), key=lambda index: -request_classes[index].priority_weight)
    ranks = [0] * len(by_weight)
    for rank, index in enumerate(by_weight):
        ranks[index] = rank
    return ranks


def fractions_by_rank(fractions: tuple[float, ...], class_count: int) -> list[float]:
    """The given fractions for this many classes; more than there are fractions share the last one evenly."""
    sharing_last = max(0, class_count - len(fractions)) + 1
    last = fractions[-1] / sharing_last
    return [*fractions[:-1], *[last] * sharing_last][:class_count]
