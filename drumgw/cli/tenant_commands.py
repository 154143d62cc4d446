"""`drumgw tenants`: calls the administration API of a host."""

from __future__ import annotations

import json
import os
from typing import Any
from urllib.parse import urlencode

import click

from drumgw.cli.admin_client import AdminClient, operation_path, tenant_path

PAGE_SIZE = 200
MAX_WAIT_S = 3600


@click.group()
@click.option("--api", default="127.0.0.1:9090", show_default=True, help="Address of the host's API.")
@click.option("--token-file", type=click.Path(), help="File that holds the token.  [default: $DRUMGW_TOKEN]")
@click.pass_context
def tenants(context: click.Context, api: str, token_file: str | None) -> None:
    """Manage the tenants of a host.

    All subcommands but list print JSON. API errors go to standard error, with exit code 1.
    """
    context.obj = AdminClient(api, _read_token(token_file))


@tenants.command("list")
@click.pass_obj
def list_tenants(client: AdminClient) -> None:
    """List all tenants, one a line: name, state, version."""
    after: str | None = ""
    while after is not None:
        query = urlencode({"after": after, "limit": PAGE_SIZE})
        page = client.call("GET", f"/v1/tenants?{query}").body
        for tenant in page["tenants"]:
            click.echo(f"{tenant['name']}  {tenant['state']}  {tenant['version']}")
        after = page["after"]


@tenants.command("show")
@click.argument("name")
@click.option("--use", "usage", is_flag=True, help="Show current usage instead of the specification.")
@click.pass_obj
def show_tenant(client: AdminClient, name: str, usage: bool) -> None:
    """Show the specification of tenant NAME."""
    path = tenant_path(name) + ("/use" if usage else "")
    _print_json(client.call("GET", path).body)


@tenants.command()
@click.argument("file")
@click.option("--key", help="Idempotency key: repeated calls with the same key take effect once.")
@click.pass_obj
def create(client: AdminClient, file: str, key: str | None) -> None:
    """Create a tenant from FILE, a specification in JSON (- for standard input)."""
    headers = {"Idempotency_Key": key} if key else {}
    _print_json(client.call("POST", "/v1/tenants", _read_json(file), **headers).body)


@tenants.command()
@click.argument("name")
@click.argument("file")
@click.option("--part", type=click.Choice(["plans", "routes", "limits"]), help="Replace this part only.")
@click.option("--version", help="Fail unless this is the current version.  [default: the current one]")
@click.pass_obj
def replace(client: AdminClient, name: str, file: str, part: str | None, version: str | None) -> None:
    """Replace the specification of tenant NAME, or a part of it, with FILE."""
    if_match = f'"{version}"' if version else client.current_etag(name)
    path = tenant_path(name) + (f"/{part}" if part else "")
    _print_json(client.call("PUT", path, _read_json(file), If_Match=if_match).body)


@tenants.command("operation")
@click.argument("operation_id", metavar="NAME")
@click.pass_obj
def show_operation(client: AdminClient, operation_id: str) -> None:
    """Show the state of operation NAME."""
    _print_json(client.call("GET", operation_path(operation_id)).body)


def _add_state_command(command: str, method: str, subpath: str, description: str) -> None:
    @tenants.command(command, help=description)
    @click.argument("name")
    @click.option(
        "--wait",
        "wait_s",
        type=click.FloatRange(0, MAX_WAIT_S),
        default=0.0,
        help="Seconds to wait for the operation to end.",
    )
    @click.pass_obj
    def run(client: AdminClient, name: str, wait_s: float) -> None:
        if_match = client.current_etag(name)
        result = client.call(method, tenant_path(name) + subpath, If_Match=if_match).body
        is_operation = "kind" in result
        _print_json(client.wait_for_operation(result, wait_s) if is_operation else result)


_add_state_command("suspend", "POST", "/suspend", "Reject all requests of tenant NAME.")
_add_state_command("resume", "POST", "/resume", "Serve the requests of tenant NAME again.")
_add_state_command(
    "drain", "POST", "/drain", "Accept no new requests of tenant NAME; complete those in flight."
)
_add_state_command("remove", "DELETE", "", "Remove tenant NAME; complete its requests in flight.")


def _read_token(path: str | None) -> str:
    if path is None:
        return os.environ.get("DRUMGW_TOKEN", "")
    try:
        with open(path, encoding="utf-8") as file:
            return file.read().strip()
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror}") from error


def _read_json(path: str) -> Any:
    try:
        with click.open_file(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{path}: {error}") from error


def _print_json(value: Any) -> None:
    click.echo(json.dumps(value, indent=1))
