"""The HTTP headers and fields that the gateway reads or writes, named as the platform defines them."""

from __future__ import annotations

HEAD_END = b"\r\n\r\n"
"""Follows the last header of a request or response."""

HOST = "Host"

# Request headers sent by clients
REQUEST_ID = "Request-Id"
PLAN = "Plan"
REQUEST_TIMEOUT = "Request-Timeout"
QUOTA_INFO = "Quota-Info"
CLIENT_RETRY = "Client-Retry"

SINGLE_REQUEST_HEADERS = (HOST, REQUEST_ID, PLAN, REQUEST_TIMEOUT, QUOTA_INFO, CLIENT_RETRY)
"""Headers that a request has once at most: of two values an endpoint may use another than the gateway."""

# Fields of Quota-Info, and the query parameter that holds the customer id
QUOTA_UNITS = "units"
QUOTA_GATEWAY_COUNT = "spread"
QUOTA_FIRST_GATEWAY = "first"
CUSTOMER_PARAMETER = "account="

# Response headers sent by endpoints
SERVER_LOAD = "Server-Load"
BILLED_UNITS = "Billed-Units"
NOT_STARTED = "Not-Started"
CONTENT_TYPE = "Content-Type"

NOT_FORWARDED = frozenset(
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
"""Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the gateway sets itself when forwarding."""
