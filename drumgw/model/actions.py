"""What the policy engine asks for. Times are in milliseconds, with fractions."""

from __future__ import annotations

from math import inf
from typing import NamedTuple


class Submit(NamedTuple):
    txn: int
    worker: int
    stop_at_ms: float
    write_by_ms: float = inf  # its last byte leaves by then, or never


class Decline(NamedTuple):
    txn: int
    retry_after_ms: float


class Void(NamedTuple):
    txn: int


class Cancel(NamedTuple):
    txn: int
    submission: int


class Wake(NamedTuple):
    after_ms: float
    label: int


class Add(NamedTuple):
    """Add to a named count of the quota counter and learn its total."""

    name: int
    amount: float
    lives_ms: float


class Probe(NamedTuple):
    worker: int


class Say(NamedTuple):
    """A line for the log."""

    text: str


Action = Submit | Decline | Void | Cancel | Wake | Add | Probe | Say
