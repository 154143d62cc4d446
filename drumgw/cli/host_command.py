"""drumgw host: many tenants in one process, from an operator's file."""

from __future__ import annotations

import sys

import uvloop
from loguru import logger

from drumgw.cli.serve_command import TEXT
from drumgw.config.host_file import HostFile, read_host_file, tenant_config
from drumgw.gateway.process_config import ConfigError
from drumgw.hosting.errors import ApiError
from drumgw.hosting.host_process import serve
from drumgw.hosting.tenant_registry import TenantRegistry


def run(path: str) -> None:
    house = checked(path)
    logger.remove()
    if house.log.form == "json":
        logger.add(sys.stderr, level=house.log.level, serialize=True)
    else:
        logger.add(sys.stderr, level=house.log.level, format=TEXT)
    uvloop.run(serve(house, lambda: read_host_file(path)))


def check(path: str) -> str:
    house = checked(path)
    kept = f"kept in {house.host.state}" if house.host.state else "of this file; the API reads only"
    return f"{path}: usable: {len(house.tenant)} tenant(s), {len(house.token)} token(s), tenants {kept}"


def checked(path: str) -> HostFile:
    """Routes that meet and settings that make no station are mistakes too."""
    house, registry = read_host_file(path), TenantRegistry()
    for named in house.tenant:
        try:
            tenant = registry.create(named.name, named.spec()).tenant
        except ApiError as no:
            raise ConfigError(f"{path}: tenant {named.name}: {no.detail}") from no
        tenant_config(house, named.name, tenant.serial, named, 2)
    return house
