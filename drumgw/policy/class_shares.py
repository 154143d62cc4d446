"""Fractions of a quota per request class, by rank of priority weight (rank 0 is the highest)."""

from __future__ import annotations

from drumgw.model.settings import RequestClass

CLASS_SHARES = (0.70, 0.20, 0.10)
"""Fraction of the quota that each class may use without borrowing, from the highest rank down."""
CLASS_FLOORS = (0.70, 0.10, 0.05)
"""Fraction of the quota that lower classes may not borrow while the class uses it, from the highest rank."""


def priority_ranks(request_classes: tuple[RequestClass, ...]) -> list[int]:
    """Returns the rank of each class, indexed by class; equal weights rank in the order of the settings."""
    by_weight = sorted(range(len(request_classes)), key=lambda index: -request_classes[index].priority_weight)
    ranks = [0] * len(by_weight)
    for rank, index in enumerate(by_weight):
        ranks[index] = rank
    return ranks


def fractions_by_rank(fractions: tuple[float, ...], class_count: int) -> list[float]:
    """Returns one fraction per class; classes in excess of the fractions divide the last fraction evenly."""
    classes_sharing_last = max(0, class_count - len(fractions)) + 1
    last = fractions[-1] / classes_sharing_last
    return [*fractions[:-1], *[last] * classes_sharing_last][:class_count]
