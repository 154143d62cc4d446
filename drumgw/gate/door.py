"""Reads a client's request: only the fields that decisions need; the rest stays the bytes that came."""
from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite

from drumgw.interface import Txn
from drumgw.terms import Names

UNITS_MS = {"m": 1.0, "u": 0.001}
METHODS = ("GET", "POST")


class Unfit(Exception):
    """A request that the module never hears of: a status of 4xx and a line for the client."""

    def __init__(self, status: int, line: str) -> None:
        super().__init__(line)
        self.status = status


@dataclass(slots=True)
class Passage:
    """What goes on to a worker as it came, and what was taken out of it."""

    head: bytes     # request line and headers, without Request-Timeout, which each submission adds
    body: bytes
    asked: Txn      # its number is given by the core
    txn: int = 0


KEPT = ("Host", "Request-Id", "Content-Type", "Client-Retry")


def write_head(method: str, target: str, headers: Mapping[str, str], body: bytes) -> bytes:
    """The target and what is kept of the headers, as the bytes that came."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k in KEPT if (v := headers.get(k)) is not None)]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n").encode("utf-8", "surrogateescape")


def read_asked(names: Names, method: str, target: str, headers: Mapping[str, str]) -> Txn:
    """The fields of a request; raises Unfit where one is missing or means nothing here."""
    if method not in METHODS:
        raise Unfit(405, f"method {method} is not known")
    path, _, query = target.partition("?")
    product = names.products.get(path.split("/", 2)[1] if path.startswith("/") else "")
    if product is None:
        raise Unfit(404, f"no such product: {path}")
    if not headers.get("Request-Id"):
        raise Unfit(400, "Request-Id is missing")
    plan = names.plans.get(headers.get("Plan", ""))
    if plan is None:
        raise Unfit(400, "Plan is missing or unknown")
    try:
        left, info = _left(headers["Request-Timeout"]), _pairs(headers["Quota-Info"])
        units, gates, first = float(info["units"]), int(info["spread"]), int(info["first"])
        customer = _account(query)
    except (KeyError, ValueError) as bad:
        raise Unfit(400, f"missing or unusable: {bad}") from bad
    if not (isfinite(left) and left > 0 and isfinite(units) and units >= 0 and gates >= 1 and first >= 0):
        raise Unfit(400, "Request-Timeout or Quota-Info is out of its range")
    return Txn(0, left, plan, customer, product, units, headers.get("Client-Retry") == "1", gates, first)


def _left(text: str) -> float:
    return float(text[:-1]) * UNITS_MS[text[-1:]]


def _pairs(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split(","))
    return {name.strip(): value for name, _, value in pairs}


def _account(query: str) -> int:
    for part in query.split("&"):
        if part.startswith("account="):
            text = part[8:]
            if len(text) != 16 or not text.isalnum():
                raise ValueError(f"account {text!r}")
            return int(text, 16)
    raise KeyError("account")
