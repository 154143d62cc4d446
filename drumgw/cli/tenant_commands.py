"""drumgw tenants: the administration API from the command line."""

from __future__ import annotations

import http.client
import json
import os
import sys
import time
from typing import Any
from urllib.parse import quote, urlencode

import click

CALL_S, POLL_S = 10.0, 0.2
Told = tuple[int, dict[str, str], Any]


class Caller:
    def __init__(self, api: str, token: str) -> None:
        self.api, self.token = api, token

    def call(self, method: str, path: str, body: Any = None, **headers: str) -> Told:
        sent = {"Authorization": f"Bearer {self.token}"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        text = None
        if body is not None:
            text, sent["Content-Type"] = json.dumps(body).encode(), "application/json"
        line = http.client.HTTPConnection(self.api, timeout=CALL_S)
        try:
            line.request(method, path, text, sent)
            answer = line.getresponse()
            told = json.loads(answer.read() or b"null")
            return answer.status, dict(answer.getheaders()), told
        except (OSError, http.client.HTTPException, ValueError) as bad:
            raise click.ClickException(f"no answer from the API at {self.api}: {bad}") from bad
        finally:
            line.close()

    def ask(self, method: str, path: str, body: Any = None, **headers: str) -> tuple[dict[str, str], Any]:
        status, found, told = self.call(method, path, body, **headers)
        if status >= 400:
            lines = [f"{told.get('title', status)}: {told.get('detail', '')}"]
            lines += [f"  {e['pointer']}: {e['detail']}" for e in told.get("errors", ())]
            click.echo("\n".join(lines), err=True)
            sys.exit(1)
        return found, told

    def version(self, name: str) -> str:
        headers, _ = self.ask("GET", f"/v1/tenants/{quote(name, safe='')}")
        return headers["ETag"]


def show(told: Any) -> None:
    click.echo(json.dumps(told, indent=1))


def read_json(path: str) -> Any:
    try:
        with click.open_file(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, ValueError) as bad:
        raise click.ClickException(f"{path}: {bad}") from bad


@click.group()
@click.option("--api", default="127.0.0.1:9090", show_default=True, help="Where the host's API listens.")
@click.option("--token-file", type=click.Path(), help="Holds the token.  [default: $DRUMGW_TOKEN]")
@click.pass_context
def tenants(context: click.Context, api: str, token_file: str | None) -> None:
    """Manage the tenants of a host. What is printed is JSON; refusals go to standard error, exit code 1."""
    if token_file is not None:
        try:
            with open(token_file, encoding="utf-8") as file:
                token = file.read().strip()
        except OSError as bad:
            raise click.ClickException(f"{token_file}: {bad.strerror}") from bad
    else:
        token = os.environ.get("DRUMGW_TOKEN", "")
    context.obj = Caller(api, token)


@tenants.command("list")
@click.pass_obj
def list_all(caller: Caller) -> None:
    """A line each: name, state, version."""
    after: str | None = ""
    while after is not None:
        _, told = caller.ask("GET", f"/v1/tenants?{urlencode({'after': after, 'limit': 200})}")
        for row in told["tenants"]:
            click.echo(f"{row['name']}  {row['state']}  {row['version']}")
        after = told["after"]


@tenants.command("show")
@click.argument("name")
@click.option("--use", is_flag=True, help="What it uses now, in place of what it is made of.")
@click.pass_obj
def show_one(caller: Caller, name: str, use: bool) -> None:
    """What NAME is made of."""
    show(caller.ask("GET", f"/v1/tenants/{quote(name, safe='')}{'/use' if use else ''}")[1])


@tenants.command()
@click.argument("file")
@click.option("--key", help="Idempotency key: a repeat under it acts once.")
@click.pass_obj
def create(caller: Caller, file: str, key: str | None) -> None:
    """Create the tenant that FILE (JSON; - for standard input) describes."""
    headers = {"Idempotency_Key": key} if key else {}
    show(caller.ask("POST", "/v1/tenants", read_json(file), **headers)[1])


@tenants.command()
@click.argument("name")
@click.argument("file")
@click.option("--part", type=click.Choice(["plans", "routes", "limits"]), help="Only that.")
@click.option("--version", help="Made from this version.  [default: the one that stands]")
@click.pass_obj
def replace(caller: Caller, name: str, file: str, part: str | None, version: str | None) -> None:
    """Replace what NAME is made of by FILE."""
    match = f'"{version}"' if version else caller.version(name)
    path = f"/v1/tenants/{quote(name, safe='')}" + (f"/{part}" if part else "")
    show(caller.ask("PUT", path, read_json(file), If_Match=match)[1])


def mark(word: str, method: str, path: str, doc: str) -> None:
    @tenants.command(word, help=doc)
    @click.argument("name")
    @click.option("--wait", type=click.FloatRange(0, 3600), default=0.0, help="Seconds to wait for its end.")
    @click.pass_obj
    def command(caller: Caller, name: str, wait: float) -> None:
        where = f"/v1/tenants/{quote(name, safe='')}{path}"
        _, told = caller.ask(method, where, If_Match=caller.version(name))
        end = time.monotonic() + wait
        while "kind" in told and told["state"] == "running" and time.monotonic() < end:
            time.sleep(POLL_S)
            _, told = caller.ask("GET", f"/v1/operations/{told['id']}")
        show(told)


mark("suspend", "POST", "/suspend", "Turn the txns of NAME away.")
mark("resume", "POST", "/resume", "Serve NAME again.")
mark("drain", "POST", "/drain", "Take nothing new for NAME; its txns finish.")
mark("remove", "DELETE", "", "Remove NAME; its txns finish.")


@tenants.command()
@click.argument("name")
@click.pass_obj
def operation(caller: Caller, name: str) -> None:
    """How far an operation is."""
    show(caller.ask("GET", f"/v1/operations/{quote(name, safe='')}")[1])
