"""Which endpoint's process is at an address. Does no I/O.

A process that ends may be followed by another one at its address, while the endpoint list still has the old
endpoint. A connection to the address then leads to the new process.
"""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar


class AddressedEndpoint(Protocol):
    """An endpoint with an address."""

    address: str
    started_at_ms: float


Endpoint = TypeVar("Endpoint", bound=AddressedEndpoint)


class AddressOwners(Generic[Endpoint]):
    """For each address, the listed endpoint whose process started last."""

    def __init__(self) -> None:
        self._owners: dict[str, Endpoint] = {}

    def take(self, endpoint: Endpoint) -> Endpoint | None:
        """Adds an endpoint; returns the one that it supersedes, if there is one."""
        owner = self._owners.setdefault(endpoint.address, endpoint)
        if owner is endpoint or endpoint.started_at_ms <= owner.started_at_ms:
            return None
        self._owners[endpoint.address] = endpoint
        return owner

    def release(self, endpoint: Endpoint) -> None:
        """Removes an endpoint that is no longer listed at its address."""
        if self._owners.get(endpoint.address) is endpoint:
            del self._owners[endpoint.address]

    def is_superseded(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint that started later is listed at the same address."""
        owner = self._owners.get(endpoint.address)
        return owner is not None and owner.started_at_ms > endpoint.started_at_ms
