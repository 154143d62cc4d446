"""Who may do what by the administration API. No I/O. Tokens are known by their hashes only."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Iterable
from typing import NamedTuple

OPERATOR, TENANT = "operator", "tenant"
# What a tenant may do, and only with itself; an operator may do all
TENANTS_OWN = frozenset(
    {"list", "read", "read part", "use", "replace", "replace part", "drain", "resume", "operation"}
)
NOT_ITS_OWN = ("route", "weight")  # of its own spec, what only an operator changes


class Token(NamedTuple):
    id: str
    role: str
    tenant: str | None
    sha256: str


class Authenticator:
    def __init__(self, tokens: Iterable[Token]) -> None:
        self.tokens = tuple(tokens)

    def who(self, header: str | None) -> Token | None:
        """Compares with all tokens, in a time that tells nothing of which is near."""
        scheme, _, text = (header or "").partition(" ")
        told = hash_of(text.strip()) if scheme.lower() == "bearer" else ""
        found = None
        for token in self.tokens:
            if hmac.compare_digest(token.sha256, told):
                found = token
        return found


def is_allowed(who: Token, action: str, tenant: str | None) -> bool:
    if who.role == OPERATOR:
        return True
    return action in TENANTS_OWN and (tenant is None or tenant == who.tenant)


def hash_of(text: str) -> str:
    return hashlib.sha256(text.encode("utf-8", "surrogateescape")).hexdigest()


def new_token() -> tuple[str, str]:
    """A token and its hash; the first is shown once."""
    text = secrets.token_urlsafe(32)
    return text, hash_of(text)
