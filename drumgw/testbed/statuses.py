"""HTTP statuses of responses from gateways and from emulated endpoints."""

STATUS_SUCCEEDED = 200
STATUS_BAD_REQUEST = 400
"""A counter call was malformed, or an endpoint received a request whose id no client had sent."""
STATUS_UNKNOWN_REQUEST = 404
"""An endpoint received a request without an id."""
STATUS_FAILED = 500
"""The request failed and may have run."""
STATUS_REJECTED = 503
"""The request did not run, so that a retry is safe."""
REJECTION_STATUSES = (429, STATUS_REJECTED)
"""All statuses that the protocol allows for a rejection; this project's gateways send 503 only."""
