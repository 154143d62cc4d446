"""Authentication and authorization of the administration API. No I/O.

Only the SHA-256 of each token is kept: the host file and the log never contain a token itself, and the host
does not keep it after the call.
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
    """The role of a token's holder; the value is its name in the host file."""

    OPERATOR = "operator"  # administers the host and all its tenants
    TENANT = "tenant"  # administers one tenant


class Permission(Enum):
    """A right to an operation; the value appears in audit log lines and error messages."""

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


PERMISSIONS_BY_ROLE = {
    Role.OPERATOR: frozenset(Permission),
    # Limited to the caller's own tenant by is_allowed, which also compares the tenant's name.
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

# Keys of a tenant's spec that only an operator may change: routes and weights affect other tenants.
OPERATOR_ONLY_KEYS = ("route", "weight")


@dataclass(frozen=True)
class ApiToken:
    """A configured access token.

    Attributes:
        id: identifies the caller in audit log lines.
        role: decides which permissions the caller has.
        tenant: the only tenant that Role.TENANT gives access to; None for an operator.
        sha256: the token's SHA-256 in lower-case hexadecimal digits.
    """

    id: str
    role: Role
    tenant: str | None
    sha256: str


class Authenticator:
    """Checks the bearer tokens of calls against the configured ones."""

    def __init__(self, tokens: Iterable[ApiToken]) -> None:
        self._tokens = tuple(tokens)

    def authenticate(self, authorization: str | None) -> ApiToken | None:
        """Returns the configured token that matches an Authorization header; None if none does.

        Compares the hash with that of every token, each in constant time, so that response times reveal
        neither which token matches nor how close a guess is.
        """
        scheme, _, token = (authorization or "").partition(" ")
        digest = hash_token(token.strip()) if scheme.lower() == "bearer" else ""
        found = None
        for candidate in self._tokens:
            if hmac.compare_digest(candidate.sha256, digest):
                found = candidate
        return found


def is_allowed(caller: ApiToken, permission: Permission, tenant: str | None) -> bool:
    """Returns whether the caller has a permission on a tenant; None means that the path names no tenant."""
    if permission not in PERMISSIONS_BY_ROLE[caller.role]:
        return False
    return caller.role is Role.OPERATOR or tenant is None or tenant == caller.tenant


def hash_token(token: str) -> str:
    """Returns a token's SHA-256 in lower-case hexadecimal digits, the form of ApiToken.sha256."""
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def generate_token() -> tuple[str, str]:
    """Generates a random token; returns it and its hash.

    Only the hash is stored, so the token cannot be shown again.
    """
    token = secrets.token_urlsafe(TOKEN_BYTES)
    return token, hash_token(token)
