"""The headers that this gateway reads or writes: the HTTP edge, where the platform's names are mapped."""

from __future__ import annotations

# Of a client's request
REQUEST_ID = "Request-Id"
PLAN = "Plan"
REQUEST_TIMEOUT = "Request-Timeout"
QUOTA_INFO = "Quota-Info"
CLIENT_RETRY = "Client-Retry"

# Fields of Quota-Info, and the query parameter that names the customer
QUOTA_UNITS = "units"
QUOTA_GATEWAY_COUNT = "spread"
QUOTA_FIRST_GATEWAY = "first"
CUSTOMER_PARAMETER = "account="

# Of an endpoint's response
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
"""Headers that concern one connection only (RFC 9110, 7.6.1), and those that each attempt states anew."""
