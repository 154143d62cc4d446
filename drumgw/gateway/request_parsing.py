"""Reads a client's request: only the fields that decisions need. The rest stays the bytes that came."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import isfinite
from typing import NamedTuple

from drumgw.gateway import http_headers
from drumgw.model.events import RequestReceived
from drumgw.model.settings import GatewaySettings, Idempotency
from drumgw.model.settings_reader import NameIndex

METHODS = ("GET", "POST")
MS_PER_UNIT = {"m": 1.0, "u": 0.001}
"""Units of Request-Timeout: milliseconds and microseconds."""

# Patterns, as float() also takes nan, inf, 1_0 and numbers of any size
DURATION_PATTERN = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,9})?)([mu])")
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
CUSTOMER_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,64}")
CUSTOMER_LIMIT = 2**33
"""Customers' numbers are below this."""


class BadRequestError(Exception):
    """A request that the policy engine never sees.

    Attributes:
        status: The 4xx status of its response; the error's text is the response's one line.
    """

    def __init__(self, status: int, line: str) -> None:
        super().__init__(line)
        self.status = status


def _has_not_left() -> bool:
    return False


@dataclass(slots=True)
class ClientRequest:
    """A client's request: what is forwarded as it came, and what was read from it.

    Attributes:
        head: Request line and headers, without Request-Timeout, which each attempt adds.
        body: As it came.
        received: What the policy engine is told; the request lifecycle sets its number.
        request_id: That number.
        client_left: Whether the client has gone; asked before each attempt's first byte.
    """

    head: bytes
    body: bytes
    received: RequestReceived
    request_id: int = 0
    client_left: Callable[[], bool] = _has_not_left


def write_head(method: str, target: str, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> bytes:
    """The request line and the headers to forward, as the bytes that came.

    Guards requests with an idempotency key: without the client's Idempotency-Key an endpoint cannot tell its
    retries, and any other header may mean as much to it. So all are forwarded but those of the connection.
    """
    all_headers = list(headers)
    not_forwarded = http_headers.NOT_FORWARDED
    for name, value in all_headers:
        if name.lower() == b"connection":
            not_forwarded |= {option.strip().lower() for option in value.split(b",")}
    lines = [f"{method} {target} HTTP/1.1".encode("utf-8", "surrogateescape")]
    lines += [b"%b: %b" % (name, value) for name, value in all_headers if name.lower() not in not_forwarded]
    if body or method == "POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n"


def parse_request(
    names: NameIndex, settings: GatewaySettings, method: str, target: str, headers: Mapping[str, str]
) -> RequestReceived:
    """Reads and checks the fields of a request.

    Guards quota accounts and endpoints: a cost beyond the settings' ranges, or that is not a number, would be
    counted for a customer, and an endpoint that cannot use the request would be taken for an outlier.

    Raises:
        BadRequestError: A field is missing, or means nothing here.
    """
    if method not in METHODS:
        raise BadRequestError(405, "no such method")
    path, _, query = target.partition("?")
    request_class = _read_request_class(names, path)
    is_idempotent = settings.request_classes[request_class].idempotency is Idempotency.IDEMPOTENT
    if (method == "GET") != is_idempotent:
        raise BadRequestError(405, "not this request class's method")
    if not REQUEST_ID_PATTERN.fullmatch(headers.get(http_headers.REQUEST_ID, "")):
        raise BadRequestError(400, "Request-Id is missing or unusable")
    plan = _read_plan(names, headers)
    try:
        time_left_ms = _read_duration_ms(headers[http_headers.REQUEST_TIMEOUT])
        quota_info = _read_quota_info(headers[http_headers.QUOTA_INFO])
        customer = _read_customer(query)
    except (KeyError, ValueError) as error:
        raise BadRequestError(400, f"missing or unusable: {error}") from error
    if time_left_ms <= 0 or not quota_info.is_in_range(settings):
        raise BadRequestError(400, "Request-Timeout or Quota-Info is out of its range")
    return RequestReceived(
        request_id=0,
        time_left_ms=time_left_ms,
        plan=plan,
        customer=customer,
        request_class=request_class,
        units=quota_info.units,
        is_client_retry=headers.get(http_headers.CLIENT_RETRY) == "1",
        gateway_count=int(quota_info.gateway_count),
        first_gateway=int(quota_info.first_gateway),
    )


def _read_plan(names: NameIndex, headers: Mapping[str, str]) -> int:
    plan = names.plans.get(headers.get(http_headers.PLAN, ""))
    if plan is None:
        raise BadRequestError(400, "Plan is missing or unknown")
    return plan


class _QuotaInfo(NamedTuple):
    """What the Quota-Info header says; not checked against the settings yet."""

    units: float
    gateway_count: float
    first_gateway: float

    def is_in_range(self, settings: GatewaySettings) -> bool:
        return (
            0 < self.units <= settings.max_request_units
            and 1 <= self.gateway_count <= settings.gateways
            and self.first_gateway < settings.gateways
            and self.gateway_count % 1 == self.first_gateway % 1 == 0
        )


def _read_quota_info(text: str) -> _QuotaInfo:
    pairs = _read_pairs(text)
    return _QuotaInfo(
        units=_read_quota_number(pairs[http_headers.QUOTA_UNITS]),
        gateway_count=_read_quota_number(pairs[http_headers.QUOTA_GATEWAY_COUNT]),
        first_gateway=_read_quota_number(pairs[http_headers.QUOTA_FIRST_GATEWAY]),
    )


def read_number(text: str | bytes | None) -> float | None:
    """A number that a peer sent; None where it is no finite number."""
    try:
        number = float(text or "")
    except ValueError:
        return None
    return number if isfinite(number) else None


def _read_request_class(names: NameIndex, path: str) -> int:
    """The first segment of the path names the class."""
    name = path.split("/", 2)[1] if path.startswith("/") else ""
    request_class = names.request_classes.get(name)
    if request_class is None:
        raise BadRequestError(404, "no such request class")
    return request_class


def _read_duration_ms(text: str) -> float:
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(http_headers.REQUEST_TIMEOUT)
    return float(match[1]) * MS_PER_UNIT[match[2]]


def _read_quota_number(text: str) -> float:
    if NUMBER_PATTERN.fullmatch(text) is None:
        raise ValueError(http_headers.QUOTA_INFO)
    return float(text)


def _read_pairs(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split(","))
    return {name.strip(): value for name, _, value in pairs}


def _read_customer(query: str) -> int:
    for parameter in query.split("&"):
        if not parameter.startswith(http_headers.CUSTOMER_PARAMETER):
            continue
        text = parameter.removeprefix(http_headers.CUSTOMER_PARAMETER)
        if not CUSTOMER_PATTERN.fullmatch(text) or int(text, 16) >= CUSTOMER_LIMIT:
            raise ValueError("account")
        return int(text, 16)
    raise KeyError("account")
