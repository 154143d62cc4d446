"""Reads a client's request: only the fields that decisions need; the rest stays the bytes that came."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import isfinite

from drumgw.model.events import RequestReceived
from drumgw.model.settings import GatewaySettings, Idempotency
from drumgw.model.settings_reader import NameIndex

UNITS_MS = {"m": 1.0, "u": 0.001}
TIME = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,9})?)([mu])")  # float() takes nan, inf, 1_0, far too much
COUNT = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
ACCOUNT, MOST_CUSTOMERS = re.compile(r"[0-9a-fA-F]{16}"), 2**33
REQUEST_ID = re.compile(r"[!-~]{1,64}")
METHODS = ("GET", "POST")


class BadRequestError(Exception):
    """A request that the module never hears of: a status of 4xx and a line for the client."""

    def __init__(self, status: int, line: str) -> None:
        super().__init__(line)
        self.status = status


def still_there() -> bool:
    return False


@dataclass(slots=True)
class ClientRequest:
    """What goes on to a worker as it came, and what was taken out of it."""

    head: bytes  # request line and headers, without Request-Timeout, which each submission adds
    body: bytes
    received: RequestReceived  # its number is given by the core
    request_id: int = 0
    client_left: Callable[[], bool] = still_there  # asked before each attempt's first byte


# What concerns this connection only (RFC 9110, 7.6.1), and what each attempt says anew
OWN = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"request-timeout",
    )
)


def write_head(method: str, target: str, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> bytes:
    """The target and the headers as the bytes that came. Guards keyed requests: without the client's
    Idempotency-Key a worker can't tell its repeats, and any other header may mean as much to it."""
    lines = [f"{method} {target} HTTP/1.1".encode("utf-8", "surrogateescape")]
    own, said = OWN, list(headers)
    for name, value in said:
        if name.lower() == b"connection":
            own |= {word.strip().lower() for word in value.split(b",")}
    lines += [b"%b: %b" % (name, value) for name, value in said if name.lower() not in own]
    if body or method == "POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n"


def parse_request(
    names: NameIndex, settings: GatewaySettings, method: str, target: str, headers: Mapping[str, str]
) -> RequestReceived:
    """The fields of a request; raises Unfit where one is missing or means nothing here.

    Guards the books and the workers: what is beyond the settings' ranges, or not a number, in whoever's name,
    would be counted, and a worker that can't use it would be taken for a sick one.
    """
    if method not in METHODS:
        raise BadRequestError(405, "no such method")
    path, _, query = target.partition("?")
    product = names.request_classes.get(path.split("/", 2)[1] if path.startswith("/") else "")
    if product is None:
        raise BadRequestError(404, "no such product")
    if (method == "GET") != (settings.request_classes[product].idempotency is Idempotency.IDEMPOTENT):
        raise BadRequestError(405, "not this product's method")
    if not REQUEST_ID.fullmatch(headers.get("Request-Id", "")):
        raise BadRequestError(400, "Request-Id is missing or unusable")
    plan = names.plans.get(headers.get("Plan", ""))
    if plan is None:
        raise BadRequestError(400, "Plan is missing or unknown")
    try:
        left, info = _left(headers["Request-Timeout"]), _pairs(headers["Quota-Info"])
        units, gates, first = (_count(info[name]) for name in ("units", "spread", "first"))
        customer = _account(query)
    except (KeyError, ValueError) as bad:
        raise BadRequestError(400, f"missing or unusable: {bad}") from bad
    if not (
        left > 0
        and 0 < units <= settings.max_request_units
        and 1 <= gates <= settings.gateways
        and first < settings.gateways
        and gates % 1 == first % 1 == 0
    ):
        raise BadRequestError(400, "Request-Timeout or Quota-Info is out of its range")
    again = headers.get("Client-Retry") == "1"
    return RequestReceived(0, left, plan, customer, product, units, again, int(gates), int(first))


def read_number(text: str | bytes | None) -> float | None:
    """A number that a peer sent; none where it is not one that can be counted with."""
    try:
        number = float(text or "")
    except ValueError:
        return None
    return number if isfinite(number) else None


def _left(text: str) -> float:
    if (found := TIME.fullmatch(text)) is None:
        raise ValueError("Request-Timeout")
    return float(found[1]) * UNITS_MS[found[2]]


def _count(text: str) -> float:
    if COUNT.fullmatch(text) is None:
        raise ValueError("Quota-Info")
    return float(text)


def _pairs(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split(","))
    return {name.strip(): value for name, _, value in pairs}


def _account(query: str) -> int:
    for part in query.split("&"):
        if part.startswith("account="):
            text = part[8:]
            if not ACCOUNT.fullmatch(text) or int(text, 16) >= MOST_CUSTOMERS:
                raise ValueError("account")
            return int(text, 16)
    raise KeyError("account")
