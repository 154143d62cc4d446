"""Who calls the administration API, and what each role may do. No I/O.

Tokens are known by their SHA-256 only: the operator's file, the memory and the log hold none.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

TOKEN_BYTES = 32


class Role(Enum):
    """What a token's holder administers; the value is what the operator's file says."""

    OPERATOR = "operator"  # the host with all its tenants
    TENANT = "tenant"  # one tenant


class Permission(Enum):
    """What a caller may be allowed to do; the value is the word of audit lines and refusals."""

    DESCRIBE = "describe"
    LIST = "list"
    CREATE = "create"
    READ = "read"
    REPLACE = "replace"
    REMOVE = "remove"
    SUSPEND = "suspend"
    RESUME = "resume"
    DRAIN = "drain"
    READ_USAGE = "use"
    READ_OPERATION = "operation"
    READ_PART = "read part"
    REPLACE_PART = "replace part"


PERMISSIONS = {
    Role.OPERATOR: frozenset(Permission),
    # Only with itself: is_allowed compares the tenant's name too.
    Role.TENANT: frozenset(
        {
            Permission.LIST,
            Permission.READ,
            Permission.READ_PART,
            Permission.READ_USAGE,
            Permission.REPLACE,
            Permission.REPLACE_PART,
            Permission.DRAIN,
            Permission.RESUME,
            Permission.READ_OPERATION,
        }
    ),
}

# Keys of a tenant's spec that only an operator changes: they decide what other tenants get.
OPERATOR_ONLY_KEYS = ("route", "weight")


@dataclass(frozen=True)
class ApiToken:
    """An administrator's token.

    Attributes:
        id: the name in audit lines.
        role: what its holder administers.
        tenant: the tenant of a holder with Role.TENANT.
        sha256: the token's hash, in hexadecimal digits.
    """

    id: str
    role: Role
    tenant: str | None
    sha256: str


class Authenticator:
    """Finds the token that a call came with."""

    def __init__(self, tokens: Iterable[ApiToken]) -> None:
        self._tokens = tuple(tokens)

    def authenticate(self, authorization: str | None) -> ApiToken | None:
        """Returns the token of an Authorization header, or None where it has none of ours.

        Compares with all tokens in constant time each: the time of an answer says nothing of which token
        is near.
        """
        scheme, _, token = (authorization or "").partition(" ")
        digest = hash_token(token.strip()) if scheme.lower() == "bearer" else ""
        found = None
        for candidate in self._tokens:
            if hmac.compare_digest(candidate.sha256, digest):
                found = candidate
        return found


def is_allowed(caller: ApiToken, permission: Permission, tenant: str | None) -> bool:
    """Returns whether the caller may do this; tenant is the one that the call names, if it names one."""
    if permission not in PERMISSIONS[caller.role]:
        return False
    return caller.role is Role.OPERATOR or tenant is None or tenant == caller.tenant


def hash_token(token: str) -> str:
    """Returns a token's SHA-256 in hexadecimal digits."""
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def create_token() -> tuple[str, str]:
    """Returns a new token and its hash. Only the hash is stored: the token is shown once."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    return token, hash_token(token)
