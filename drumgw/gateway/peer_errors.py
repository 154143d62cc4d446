"""Errors of an exchange with a peer: an endpoint, the shared counter or discovery.

aiohttp and the operating system raise errors of their own if a connection cannot be opened or breaks;
`CONNECTION_ERRORS` covers those and the errors defined here. Whether the peer may have processed a request
does not follow from the class of the error but from `Exchange.written`: until its last byte is written, the
request cannot have been processed.
"""

from __future__ import annotations

import aiohttp
from aiohttp.http import HttpProcessingError


class PeerError(aiohttp.ClientError):
    """An exchange with a peer failed for a reason that the gateway detected itself."""


class MalformedResponseError(PeerError):
    """The peer sent a malformed or unsolicited response; the connection cannot be used any more."""


class WriteDeadlineError(PeerError):
    """A deadline passed before the request's last byte was sent; the rest is not sent."""


CONNECTION_ERRORS = (aiohttp.ClientError, HttpProcessingError, OSError, TimeoutError)
"""Everything that connecting, writing and reading can raise. `PeerError` is an `aiohttp.ClientError`."""
