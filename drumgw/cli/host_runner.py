"""Runs a host of many tenants from a configuration file, or checks the file (`drumgw host`)."""

from __future__ import annotations

import uvloop

from drumgw.cli.logging_setup import configure_logging
from drumgw.config.host_file import MIN_ENDPOINT_CONNECTIONS, HostFile, read_host_file, tenant_config
from drumgw.gateway.process_config import ConfigError
from drumgw.hosting.errors import ApiError
from drumgw.hosting.host_process import serve
from drumgw.hosting.tenant_registry import TenantRegistry


def run_host(path: str) -> None:
    """Serves until SIGTERM; raises FileError or ConfigError if the file cannot be used."""
    file = read_checked_host_file(path)
    configure_logging(file.log)
    uvloop.run(serve(file, lambda: read_host_file(path)))


def describe_host_file(path: str) -> str:
    """Returns a one-line summary of a valid file; raises FileError or ConfigError for an invalid one."""
    file = read_checked_host_file(path)
    source = f"stored in {file.host.state}" if file.host.state else "from this file, read-only in the API"
    return f"{path}: valid: {len(file.tenant)} tenant(s), {len(file.token)} token(s), tenants {source}"


def read_checked_host_file(path: str) -> HostFile:
    """Reads a file and checks that all its tenants can be served together.

    Raises:
        FileError: the file cannot be read or is invalid.
        ConfigError: two tenants share a route, or a tenant's settings cannot be used.
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
