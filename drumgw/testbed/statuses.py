"""HTTP statuses of the responses that gateways and emulated parties send."""

STATUS_SUCCEEDED = 200
STATUS_BAD_REQUEST = 400
STATUS_UNKNOWN_REQUEST = 404
"""An endpoint was sent what no client had sent."""
STATUS_FAILED = 500
"""The request failed and may have run."""
STATUS_REJECTED = 503
"""Nothing ran: sending again is harmless."""
REJECTION_STATUSES = (429, STATUS_REJECTED)
"""All statuses that the protocol allows for it; this project's gateways send the second only."""
