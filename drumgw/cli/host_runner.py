"""Runs or checks a host of many tenants from an operator's file (`drumgw host`)."""

from __future__ import annotations

import uvloop

from drumgw.cli.logging_setup import configure_logging
from drumgw.config.host_file import MIN_ENDPOINT_CONNECTIONS, HostFile, read_host_file, tenant_config
from drumgw.gateway.process_config import ConfigError
from drumgw.hosting.errors import ApiError
from drumgw.hosting.host_process import serve
from drumgw.hosting.tenant_registry import TenantRegistry


def run_host(path: str) -> None:
    """Serves until SIGTERM; raises FileError or ConfigError where the file cannot be used."""
    file = read_checked_host_file(path)
    configure_logging(file.log)
    uvloop.run(serve(file, lambda: read_host_file(path)))


def describe_host_file(path: str) -> str:
    """Returns a line on a usable file; raises FileError or ConfigError for another."""
    file = read_checked_host_file(path)
    source = f"stored in {file.host.state}" if file.host.state else "of this file; the API reads only"
    return f"{path}: usable: {len(file.tenant)} tenant(s), {len(file.token)} token(s), tenants {source}"


def read_checked_host_file(path: str) -> HostFile:
    """Reads a file whose tenants can be served together.

    Raises:
        FileError: the file has mistakes.
        ConfigError: two tenants have one route, or no service can be made of a tenant's settings.
    """
    file = read_host_file(path)
    registry = TenantRegistry()
    for named in file.tenant:
        try:
            tenant = registry.create(named.name, named.spec()).tenant
        except ApiError as error:
            raise ConfigError(f"{path}: tenant {named.name}: {error.detail}") from error
        tenant_config(file, named.name, tenant.serial, named, MIN_ENDPOINT_CONNECTIONS)
    return file
