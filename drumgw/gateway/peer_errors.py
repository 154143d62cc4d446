"""What can go wrong with a peer: an endpoint, the shared counter or discovery.

aiohttp and the operating system raise errors of their own for a connection that cannot be opened or breaks;
`CONNECTION_ERRORS` holds those and ours. Whether a request may have run is not told by the class of the error
but by `Exchange.written`: before the last byte was written, nothing ran.
"""

from __future__ import annotations

import aiohttp
from aiohttp.http import HttpProcessingError


class PeerError(aiohttp.ClientError):
    """An exchange with a peer failed, for a reason that was found here."""


class MalformedResponseError(PeerError):
    """What came is no response, or none that was asked for: the connection cannot be used any more."""


class WriteDeadlineError(PeerError):
    """The request's last byte would leave after its deadline: it was not sent as a whole."""


CONNECTION_ERRORS = (aiohttp.ClientError, HttpProcessingError, OSError, TimeoutError)
"""All that opening a connection, writing to it and reading from it raise; `PeerError` is an aiohttp error."""
