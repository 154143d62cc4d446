"""Usage of customers whose accounts were dropped, in a table of constant size.

A quota refills at a constant rate, so all that a later account needs is when the dropped one would have been
unused again. The table is indexed by a hash of the customer. Customers that share an entry share the latest
of their times: a collision may cost quota for a moment, but nobody gets a quota twice.
"""

from __future__ import annotations

from array import array

from drumgw.policy.quota_account import QuotaAccount

ENTRY_COUNT = 1 << 15


class DroppedUsage:
    """Remembers until when dropped accounts would have had usage, for the quota and for the ceiling."""

    def __init__(self) -> None:
        self._quota_full_at_ms = array("d", [0.0]) * ENTRY_COUNT
        self._ceiling_full_at_ms = array("d", [0.0]) * ENTRY_COUNT

    def record(self, account: QuotaAccount, now_ms: float) -> None:
        """Remembers the usage of an account that is about to be dropped."""
        entry = account.hash_key % ENTRY_COUNT
        account.refill(now_ms)
        quota_full_at_ms = now_ms + account.time_to_refill_ms()
        ceiling_full_at_ms = now_ms + account.time_to_full_ceiling_ms()
        self._quota_full_at_ms[entry] = max(self._quota_full_at_ms[entry], quota_full_at_ms)
        self._ceiling_full_at_ms[entry] = max(self._ceiling_full_at_ms[entry], ceiling_full_at_ms)

    def restore(self, account: QuotaAccount, now_ms: float) -> None:
        """Charges a new account with what its customer had used when an earlier account was dropped."""
        entry = account.hash_key % ENTRY_COUNT
        account.restore_usage(
            self._quota_full_at_ms[entry] - now_ms, self._ceiling_full_at_ms[entry] - now_ms
        )
