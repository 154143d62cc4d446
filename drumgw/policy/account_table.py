"""The quota accounts of a gateway: bounded in number, and dropped without giving anyone a new quota."""

from __future__ import annotations

from drumgw.policy.dropped_usage import DroppedUsage
from drumgw.policy.quota_account import IDLE_ACCOUNT_MS, QuotaAccount

DEFAULT_MAX_ACCOUNTS = 1 << 17


class AccountTable(dict[int, QuotaAccount]):
    """Accounts by customer, the least recently used first.

    Args:
        max_accounts: How many accounts are kept, beside those with attempts in flight.
    """

    def __init__(self, max_accounts: int = DEFAULT_MAX_ACCOUNTS) -> None:
        super().__init__()
        self.max_accounts = max_accounts
        self._dropped_usage = DroppedUsage()

    def use(self, customer: int) -> QuotaAccount | None:
        """Returns a customer's account, which becomes the most recently used one; None if there is none."""
        account = self.pop(customer, None)
        if account is not None:
            self[customer] = account
        return account

    def open(self, account: QuotaAccount, now_ms: float) -> None:
        """Adds a new account, with the usage of its customer's dropped one, and drops others at the limit."""
        self._dropped_usage.restore(account, now_ms)
        while len(self) >= self.max_accounts and self._drop_oldest(now_ms):
            pass
        self[account.customer] = account

    def drop_idle(self, now_ms: float) -> None:
        """Drops the accounts that have not been used for `IDLE_ACCOUNT_MS`."""
        idle = [
            account
            for account in self.values()
            if not account.attempts_in_flight and now_ms - account.updated_at_ms >= IDLE_ACCOUNT_MS
        ]
        for account in idle:
            self._drop(account, now_ms)

    def _drop_oldest(self, now_ms: float) -> bool:
        """Drops the least recently used account without attempts; returns whether there was one.

        Accounts in use move to the end, so that the next call does not look at them again.
        """
        for _ in range(len(self)):
            account = next(iter(self.values()))
            if not account.attempts_in_flight:
                self._drop(account, now_ms)
                return True
            self.use(account.customer)
        return False

    def _drop(self, account: QuotaAccount, now_ms: float) -> None:
        self._dropped_usage.record(account, now_ms)
        del self[account.customer]
