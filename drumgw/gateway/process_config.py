"""The configuration of one gateway: names, addresses, limits and the settings of its policy engine.

This is an edge: the names of the `GW_` variables, of the configuration file's fields and of those settings
that the engine itself does not read are mapped here (`drumgw/model/settings_reader.py` maps all others).
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from drumgw.model.settings import GatewaySettings
from drumgw.model.settings_reader import NameIndex, read_settings

JsonObject = dict[str, Any]

RESERVED_DESCRIPTORS = 24
"""File descriptors for standard streams, event loop, listener, discovery and log files."""
MAX_COUNTER_CONNECTIONS = 32
"""What the shared counter accepts of one gateway (protocol)."""
MAX_BODY_BYTES = 64 * 1024
"""Longest body of a request or response (protocol)."""
MAX_HEAD_BYTES = MAX_BODY_BYTES // 4
"""Longest head of a request or response."""
CLIENT_IDLE_TIMEOUT_MS = 2000.0
"""A client's connection without a request in flight may be closed after this time (protocol)."""
DEFAULT_SOCKETS = 1024
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0
DEFAULT_DRAIN_GRACE_MS = 250.0
MAX_PORT = 65535

CONFIG_FILE_VARIABLE = "GW_CONFIG"
NAME_VARIABLE = "GW_NAME"
LISTEN_VARIABLE = "GW_LISTEN"
DISCOVERY_VARIABLE = "GW_DISCOVERY"


class ConfigError(ValueError):
    """A configuration that cannot be used; its text is one line."""


class ConnectionBudget(NamedTuple):
    """How many connections of each kind may be open at once."""

    clients: int
    requesting_clients: int
    endpoints: int


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """What a gateway needs to know when it starts, or reloads."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    """None where the settings have no shared counter."""
    seed: int
    known_endpoints: JsonObject
    """An endpoint list in discovery's form; may be old."""
    settings: GatewaySettings
    names: NameIndex
    max_client_connections: int
    max_requesting_clients: int
    """Client connections, at most, over which requests have come."""
    max_endpoint_connections: int
    endpoint_idle_ms: float
    """For how long a connection to an endpoint is kept idle, at most."""
    connect_timeout_ms: float
    drain_grace_ms: float = DEFAULT_DRAIN_GRACE_MS
    """From the moment that a drain counts as known to the last attempt that may be sent there."""
    shared_discovery: bool = False
    """Whether discovery is a service that many gateways share, rather than an agent of this one's."""
    watch_timeout_ms: float = 0.0
    """How long a watch may wait for an event; 0 for a time that fits the drain grace."""
    counter_key_prefix: str = ""
    """Set where several services share a counter."""
    log_prefix: str = ""
    """Set where several services write one log."""

    @property
    def longest_deadline_ms(self) -> float:
        """The longest time that a client of any class waits."""
        return max(request_class.deadline_ms for request_class in self.settings.request_classes)


def parse_address(text: object, what: str) -> tuple[str, int]:
    """Reads an address of the form host:port.

    Args:
        text: the address.
        what: the field that holds it, for the error.

    Raises:
        ConfigError: where it is none.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError(f"{what} is no host:port: {text!r}")
    return host, int(port)


def read_config(environment: Mapping[str, str], is_reload: bool = False) -> GatewayConfig:
    """Reads the configuration that the environment names.

    Args:
        environment: has the `GW_` variables.
        is_reload: whether a running gateway reads it anew. The file then says where discovery is, as the
            variable only says where it was at the start.

    Raises:
        ConfigError: where it cannot be used.
    """
    if is_reload:
        environment = {name: value for name, value in environment.items() if name != DISCOVERY_VARIABLE}
    path = environment.get(CONFIG_FILE_VARIABLE)
    if not path:
        raise ConfigError(f"{CONFIG_FILE_VARIABLE} names no file")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {_first_line(error)}") from error
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    return parse_config(raw, environment, path)


def parse_config(
    raw: JsonObject, environment: Mapping[str, str], path: str = "configuration"
) -> GatewayConfig:
    """Reads a configuration from the fields of its file.

    Args:
        raw: the file's fields.
        environment: its `GW_` variables override fields of the file.
        path: names the file in errors.

    Raises:
        ConfigError: where it cannot be used.
    """
    try:
        return _parse_fields(raw, environment)
    except KeyError as missing:
        raise ConfigError(f"{path}: missing {missing.args[0]}") from missing
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: {_first_line(error)}") from error


def _parse_fields(raw: JsonObject, environment: Mapping[str, str]) -> GatewayConfig:
    raw_settings = raw["settings"]
    settings, names = read_settings(raw_settings)
    allowed = raw_settings["ceilings"]
    sockets = int((raw.get("limits") or {}).get("sockets") or DEFAULT_SOCKETS)
    counter = parse_address(raw["counter"], "counter") if settings.has_counter else None
    limits = _divide_descriptors(sockets, has_counter=counter is not None)
    drain_grace_ms = raw_settings["contract"].get("stopSendingWithinMs")
    return GatewayConfig(
        name=str(environment.get(NAME_VARIABLE) or raw["name"]),
        listen=parse_address(environment.get(LISTEN_VARIABLE) or raw["listen"], "listen"),
        discovery=parse_address(environment.get(DISCOVERY_VARIABLE) or raw["discovery"], "discovery"),
        counter=counter,
        seed=int(str(raw["seed"]), 16),
        known_endpoints=raw.get("known") or {"generation": 0, "reset": True, "instances": []},
        settings=settings,
        names=names,
        max_client_connections=limits.clients,
        max_requesting_clients=limits.requesting_clients,
        max_endpoint_connections=limits.endpoints,
        endpoint_idle_ms=float(allowed.get("connIdleMs") or 0) / 2,  # well before the endpoint closes it
        connect_timeout_ms=float(allowed.get("connectTimeoutMs") or DEFAULT_CONNECT_TIMEOUT_MS),
        drain_grace_ms=DEFAULT_DRAIN_GRACE_MS if drain_grace_ms is None else float(drain_grace_ms),
        shared_discovery=raw_settings.get("discovery") == "ask",
    )


def _divide_descriptors(sockets: int, has_counter: bool) -> ConnectionBudget:
    """Divides a process's file descriptors between clients and endpoints.

    The protocol lets clients hold a third of all for requests, and as many may connect and say nothing. So
    clients get three fifths of what is free, and those that have sent requests are kept below their third.
    """
    free = sockets - RESERVED_DESCRIPTORS - (MAX_COUNTER_CONNECTIONS if has_counter else 0)
    endpoints = free * 2 // 5
    if endpoints < 1:
        raise ConfigError(f"limits.sockets is {sockets}, too few")
    clients = free - endpoints
    requesting_clients = min(clients, sockets // 3) * 3 // 4
    return ConnectionBudget(clients, requesting_clients, endpoints)


def _first_line(error: Exception) -> str:
    return str(error).splitlines()[0]
