"""What a gatekeeper is told at its start: names, addresses, limits and the settings, as few figures."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from drumgw.model.settings import GatewaySettings
from drumgw.model.settings_reader import NameIndex, read_settings

RESERVED_DESCRIPTORS = 24  # descriptors for standard streams, the loop, the listener, the list and log files
MAX_COUNTER_CONNECTIONS = 32  # what the counter holds of one gatekeeper (the protocol's figure)
MAX_BODY_BYTES = 64 * 1024  # the protocol's figure; a head is held to a quarter of it
MAX_HEAD_BYTES = MAX_BODY_BYTES // 4
DRAIN_MS = 250.0  # taken for the grace of a drain where the settings name none
CLIENT_IDLE_TIMEOUT_MS = (
    2000.0  # a connection with no request open may be closed after this (the protocol's figure)
)


class ConfigError(ValueError):
    """A configuration that cannot be used; its text is one line."""


@dataclass(frozen=True)
class GatewayConfig:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    known_endpoints: dict[str, Any]
    settings: GatewaySettings
    names: NameIndex
    max_client_connections: int  # connections at most, of clients
    max_requesting_clients: int  # of them that have asked: three quarters of what the protocol lets them hold
    max_endpoint_connections: int  # and to workers
    endpoint_idle_ms: float  # a connection to a worker is kept this long at most
    connect_timeout_ms: float
    drain_grace_ms: float = DRAIN_MS  # from the moment that a drain counts as told to the last send
    shared_discovery: bool = False  # lists are asked of a service with bounds, not of an agent of our own
    watch_timeout_ms: float = 0.0  # the agent may let a call wait so long; 0: as the grace has it
    counter_key_prefix: str = ""  # of the names of its counts, where several share a counter
    log_prefix: str = ""  # before its lines in the log, where several write one

    @property
    def longest_deadline_ms(self) -> float:
        return max(p.deadline_ms for p in self.settings.request_classes)


def address(text: object, what: str) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{what} is no host:port: {text!r}")
    return host, int(port)


def read_config(env: Mapping[str, str], again: bool = False) -> GatewayConfig:
    """Read again after SIGHUP, the file names discovery; GW_DISCOVERY says where it was at the start."""
    if again:
        env = {name: value for name, value in env.items() if name != "GW_DISCOVERY"}
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG names no file")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError) as bad:
        raise ConfigError(f"{path}: {str(bad).splitlines()[0]}") from bad
    if not isinstance(told, dict):
        raise ConfigError(f"{path}: not an object")
    return parse_config(told, env, path)


def parse_config(told: dict[str, Any], env: Mapping[str, str], path: str = "configuration") -> GatewayConfig:
    """The charter of what a configuration says; GW_ variables stand over it."""
    try:
        return _charter(told, env)
    except KeyError as lack:
        raise ConfigError(f"{path}: missing {lack.args[0]}") from lack
    except (TypeError, ValueError, AttributeError) as bad:
        raise ConfigError(f"{path}: {str(bad).splitlines()[0]}") from bad


def _charter(told: dict[str, Any], env: Mapping[str, str]) -> GatewayConfig:
    raw_settings = told["settings"]
    settings, names = read_settings(raw_settings)
    allowed = raw_settings["ceilings"]
    sockets = int((told.get("limits") or {}).get("sockets") or 1024)
    counter = address(told["counter"], "counter") if settings.has_counter else None
    free = sockets - RESERVED_DESCRIPTORS - (MAX_COUNTER_CONNECTIONS if counter else 0)
    lines = free * 2 // 5  # clients may hold a third of all, and as many again come and say nothing
    if lines < 1:
        raise ConfigError(f"limits.sockets is {sockets}, too few")
    grace = raw_settings["contract"].get("stopSendingWithinMs")
    known = told.get("known") or {"generation": 0, "reset": True, "instances": []}
    return GatewayConfig(
        name=str(env.get("GW_NAME") or told["name"]),
        listen=address(env.get("GW_LISTEN") or told["listen"], "listen"),
        discovery=address(env.get("GW_DISCOVERY") or told["discovery"], "discovery"),
        counter=counter,
        seed=int(str(told["seed"]), 16),
        known_endpoints=known,
        settings=settings,
        names=names,
        max_client_connections=free - lines,
        max_requesting_clients=min(free - lines, sockets // 3) * 3 // 4,
        max_endpoint_connections=lines,
        endpoint_idle_ms=float(allowed.get("connIdleMs") or 0) / 2,  # never near the worker's own limit
        connect_timeout_ms=float(allowed.get("connectTimeoutMs") or 1000.0),
        drain_grace_ms=DRAIN_MS if grace is None else float(grace),
        shared_discovery=raw_settings.get("discovery") == "ask",
    )
