"""Parses the request fields that policy decisions need; all else is forwarded as the original bytes."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import isfinite
from typing import NamedTuple

from multidict import MultiMapping

from drumgw.gateway import http_headers
from drumgw.model.events import RequestReceived
from drumgw.model.settings import GatewaySettings, Idempotency
from drumgw.model.settings_reader import NameIndex

METHODS = ("GET", "POST")
MS_PER_TIMEOUT_UNIT = {"m": 1.0, "u": 0.001}
"""Milliseconds per unit suffix of Request-Timeout: milliseconds (m) and microseconds (u)."""

# Checked before float(), which also accepts nan, inf, 1_0 and numbers of any size.
DURATION_PATTERN = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,9})?)([mu])")
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
CUSTOMER_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,64}")
CUSTOMER_ID_LIMIT = 2**33
"""Exclusive upper bound of customer ids."""


class BadRequestError(Exception):
    """A request that is rejected before it reaches the policy engine.

    Attributes:
        status: The 4xx status of the response; the error's text is the response body, one line.
    """

    def __init__(self, status: int, line: str) -> None:
        super().__init__(line)
        self.status = status


def _not_disconnected() -> bool:
    return False


@dataclass(slots=True)
class ClientRequest:
    """A client's request: the bytes to forward, and the fields parsed from it.

    Attributes:
        head: Request line and headers, without Request-Timeout, which each attempt adds.
        body: The original bytes.
        received: The event for the policy engine; the request lifecycle sets its `request_id`.
        arrived_at_ms: When its last byte arrived; the client's timeout counts from then.
        request_id: The same id; 0 until the request is submitted.
        has_client_disconnected: Returns whether the client has disconnected; called before each attempt's
            first byte.
        may_client_have_left: Returns whether the client may have disconnected without a sign of it.
        may_have_run: Whether an endpoint may have run the request or may yet; False only if it is known when
            the response is decided or the client leaves that none has and none will.
    """

    head: bytes
    body: bytes
    received: RequestReceived
    arrived_at_ms: float
    request_id: int = 0
    has_client_disconnected: Callable[[], bool] = _not_disconnected
    may_client_have_left: Callable[[], bool] = _not_disconnected
    may_have_run: bool = True


def write_head(method: str, target: str, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Builds the forwarded request line and headers from the original bytes.

    All headers are forwarded except the hop-by-hop ones: without the client's Idempotency-Key, an endpoint
    cannot recognise retries, and any other header may be just as important to it.
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
    names: NameIndex, settings: GatewaySettings, method: str, target: str, headers: MultiMapping[str]
) -> RequestReceived:
    """Parses and validates the fields of a request.

    Without validation, a cost that is out of range or not a number would be charged to the customer's quota,
    and endpoints that reject the malformed request would be classified as outliers.

    Raises:
        BadRequestError: A field is missing, repeated, malformed or unknown.
    """
    if method not in METHODS:
        raise BadRequestError(405, "no such method")
    path, _, query = target.partition("?")
    request_class = _read_request_class(names, path)
    is_idempotent = settings.request_classes[request_class].idempotency is Idempotency.IDEMPOTENT
    if (method == "GET") != is_idempotent:
        raise BadRequestError(405, "not this request class's method")
    for name in http_headers.SINGLE_REQUEST_HEADERS:
        if len(headers.getall(name, ())) > 1:
            raise BadRequestError(400, f"{name} is repeated")
    if not REQUEST_ID_PATTERN.fullmatch(headers.get(http_headers.REQUEST_ID, "")):
        raise BadRequestError(400, "Request-Id is missing or invalid")
    plan = _read_plan(names, headers)
    try:
        time_left_ms = _read_duration_ms(headers[http_headers.REQUEST_TIMEOUT])
        quota_info = _read_quota_info(headers[http_headers.QUOTA_INFO])
        customer = _read_customer(query)
    except (KeyError, ValueError) as error:
        raise BadRequestError(400, f"missing or invalid: {error}") from error
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
    """The Quota-Info header, not yet validated against the settings."""

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


def parse_finite_number(text: str | bytes | None) -> float | None:
    """Parses a number that a peer sent; returns None if it is not a finite number."""
    try:
        number = float(text or "")
    except ValueError:
        return None
    return number if isfinite(number) else None


def _read_request_class(names: NameIndex, path: str) -> int:
    """Looks up the request class, which the first segment of the path names."""
    name = path.split("/", 2)[1] if path.startswith("/") else ""
    request_class = names.request_classes.get(name)
    if request_class is None:
        raise BadRequestError(404, "no such request class")
    return request_class


def _read_duration_ms(text: str) -> float:
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(http_headers.REQUEST_TIMEOUT)
    return float(match[1]) * MS_PER_TIMEOUT_UNIT[match[2]]


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
        if not CUSTOMER_ID_PATTERN.fullmatch(text) or int(text, 16) >= CUSTOMER_ID_LIMIT:
            raise ValueError("account")
        return int(text, 16)
    raise KeyError("account")
