"""The configuration of one gateway: names, addresses, limits and the settings of its policy engine.

External names are mapped here: the `GW_` variables, the fields of the configuration file, and those settings
that the policy engine does not read (`drumgw/model/settings_reader.py` maps all others).
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from drumgw.gateway.memory_plan import BYTES_PER_MB, MemoryPlan, divide_memory
from drumgw.gateway.own_memory import resident_bytes
from drumgw.model.settings import GatewaySettings
from drumgw.model.settings_reader import NameIndex, read_settings

JsonObject = dict[str, Any]

RESERVED_DESCRIPTORS = 24
"""File descriptors kept for standard streams, event loop, listener, discovery and log files."""
MAX_COUNTER_CONNECTIONS = 32
"""Connections that the shared counter accepts from one gateway (protocol)."""
MAX_BODY_BYTES = 64 * 1024
"""Largest body of a request or response (protocol)."""
MAX_HEAD_BYTES = MAX_BODY_BYTES // 4
"""Largest head of a request or response: start line and header fields."""
MAX_FRAMING_BYTES = 2 * MAX_HEAD_BYTES
"""Limit on the chunk sizes, chunk extensions and trailers of a body."""
CLIENT_IDLE_TIMEOUT_MS = 2000.0
"""A client's connection without a request in flight may be closed after this time (protocol)."""
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192.0
MAX_MEMORY_MB = 1024.0 * 1024.0
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0
DEFAULT_DRAIN_GRACE_MS = 250.0
MAX_PORT = 65535

CONFIG_FILE_VARIABLE = "GW_CONFIG"
NAME_VARIABLE = "GW_NAME"
LISTEN_VARIABLE = "GW_LISTEN"
DISCOVERY_VARIABLE = "GW_DISCOVERY"


class ConfigError(ValueError):
    """The configuration is invalid, or the gateway cannot start with it; the message is one line."""


class ConnectionBudget(NamedTuple):
    """Maximum number of open connections of each kind."""

    clients: int
    requesting_clients: int
    endpoints: int


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """The configuration that a gateway reads at its start and at each reload."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    """None if the settings have no shared counter."""
    seed: int
    known_endpoints: JsonObject
    """An endpoint list as discovery sends it; may be out of date."""
    settings: GatewaySettings
    names: NameIndex
    max_client_connections: int
    max_requesting_clients: int
    """Maximum number of client connections that have sent a request."""
    memory: MemoryPlan
    """Limits on what clients can make the process keep."""
    max_endpoint_connections: int
    endpoint_idle_ms: float
    """How long an idle connection to an endpoint is kept open."""
    connect_timeout_ms: float
    drain_grace_ms: float = DEFAULT_DRAIN_GRACE_MS
    """How long attempts may still be sent to a draining endpoint once its drain counts as known."""
    shared_discovery: bool = False
    """Whether discovery is a service shared by many gateways, rather than an agent of this gateway alone."""
    watch_timeout_ms: float = 0.0
    """How long a watch may wait for an update; 0 derives the time from the drain grace."""
    counter_key_prefix: str = ""
    """Not empty if several services share a counter."""
    log_prefix: str = ""
    """Not empty if several services write to the same log."""

    @property
    def longest_deadline_ms(self) -> float:
        """The longest deadline of any request class; bounds the drain at shutdown."""
        return max(request_class.deadline_ms for request_class in self.settings.request_classes)


def parse_address(text: object, field: str) -> tuple[str, int]:
    """Parses an address of the form host:port.

    Args:
        text: the address.
        field: name of the field that holds it, for the error message.

    Raises:
        ConfigError: the text has another form, or the port is out of range.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError(f"{field}: expected host:port, found {text!r}")
    return host, int(port)


def read_config(environment: Mapping[str, str], is_reload: bool = False) -> GatewayConfig:
    """Reads the configuration file that GW_CONFIG names.

    Args:
        environment: the environment variables.
        is_reload: whether a running gateway rereads its configuration. GW_DISCOVERY is ignored then, as it
            holds the address at the start; the file holds the present one.

    Raises:
        ConfigError: the file cannot be read, or the configuration is invalid.
    """
    if is_reload:
        environment = {name: value for name, value in environment.items() if name != DISCOVERY_VARIABLE}
    path = environment.get(CONFIG_FILE_VARIABLE)
    if not path:
        raise ConfigError(f"{CONFIG_FILE_VARIABLE} is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {_first_line(error)}") from error
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: expected a JSON object")
    return parse_config(raw, environment, path)


def parse_config(
    raw: JsonObject, environment: Mapping[str, str], path: str = "configuration"
) -> GatewayConfig:
    """Parses a configuration from the fields of its file.

    Args:
        raw: the fields of the file.
        environment: the `GW_` variables, which override fields of the file.
        path: path of the file, for error messages.

    Raises:
        ConfigError: a field is missing or invalid.
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
    ceilings = raw_settings["ceilings"]
    raw_limits = raw.get("limits") or {}
    sockets = int(raw_limits.get("sockets") or DEFAULT_SOCKETS)
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
        memory=plan_memory(
            float(raw_limits.get("memory_mb") or DEFAULT_MEMORY_MB), limits.clients + limits.endpoints
        ),
        max_endpoint_connections=limits.endpoints,
        endpoint_idle_ms=float(ceilings.get("connIdleMs") or 0) / 2,  # well before the endpoint closes it
        connect_timeout_ms=float(ceilings.get("connectTimeoutMs") or DEFAULT_CONNECT_TIMEOUT_MS),
        drain_grace_ms=DEFAULT_DRAIN_GRACE_MS if drain_grace_ms is None else float(drain_grace_ms),
        shared_discovery=raw_settings.get("discovery") == "ask",
    )


def plan_memory(memory_mb: float, connections: int) -> MemoryPlan:
    """Divides the memory that this process does not use yet.

    Args:
        memory_mb: The limit on the process's memory.
        connections: How many connections the process may have open.

    Raises:
        ConfigError: the memory limit is not a positive number.
    """
    if not 0 < memory_mb <= MAX_MEMORY_MB:
        raise ConfigError(f"limits.memory_mb is {memory_mb}, expected a positive number")
    return divide_memory(int(memory_mb * BYTES_PER_MB), resident_bytes(), connections)


def _divide_descriptors(sockets: int, has_counter: bool) -> ConnectionBudget:
    """Divides the file descriptors of the process between client and endpoint connections.

    The protocol lets clients use a third of all descriptors for requests, and as many clients may connect
    without sending anything. Clients therefore get three fifths of the available descriptors, and connections
    that have sent a request are kept below a third of all.
    """
    available = sockets - RESERVED_DESCRIPTORS - (MAX_COUNTER_CONNECTIONS if has_counter else 0)
    endpoints = available * 2 // 5
    if endpoints < 1:
        raise ConfigError(f"limits.sockets is {sockets}, too few to connect to any endpoint")
    clients = available - endpoints
    requesting_clients = min(clients, sockets // 3) * 3 // 4
    return ConnectionBudget(clients, requesting_clients, endpoints)


def _first_line(error: Exception) -> str:
    return str(error).splitlines()[0]
