"""Records of pending requests, with their states from arrival to the final answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from drumgw.model.settings import RequestClass
from drumgw.policy.endpoint_state import EndpointState
from drumgw.policy.quota_account import QuotaAccount
from drumgw.policy.state_machine import StateMachineEnum

NO_EPOCH = -1
"""Epoch of an exchange that does not call the counter."""


class RequestState(StateMachineEnum):
    """State of a request."""

    NEW = "new"
    """Not yet decided; may be waiting for a total of the shared counter."""
    IN_FLIGHT = "in flight"
    DONE = "done"


class RequestInput(StateMachineEnum):
    """Inputs of the request state machine."""

    ADMITTED = "admitted"
    REJECTED = "rejected"
    NO_ENDPOINT = "no endpoint"
    """No further attempt is possible or allowed."""
    ATTEMPT_FAILED = "attempt failed"
    SUCCEEDED = "succeeded"
    NO_ANSWER_DUE = "no answer due"
    """The client has been answered or has disconnected; no answer is due."""


@dataclass(slots=True, eq=False)
class CounterExchange:
    """State shared by the counter calls of one request, or of a gateway that is stopping.

    `CounterPoller` writes the epoch; `CounterSync` and `CounterRepair` write the figures of the total. Kept
    alive by the request and by the counter calls that refer to it.
    """

    account: QuotaAccount
    class_rank: int
    units: float
    request: PendingRequest | None = None
    epoch: int = NO_EPOCH
    """Epoch of the key that is polled and reported to; `NO_EPOCH` if the counter is not called."""
    refill_lag_units: float = 0.0
    """Units by which the counter's total is below the units refilled since the epoch began."""
    top_class_fraction: float = 0.0
    """Fraction of the total that belongs to the highest class."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has not been answered.

    `RequestFlow` owns it, updates its state and removes it with the final answer. `AdmissionControl` and
    `CounterPoller` write whether it is admitted; `AttemptTracker` records its attempts.
    """

    request_id: int
    account: QuotaAccount
    class_index: int
    request_class: RequestClass
    class_rank: int
    units: float
    deadline_ms: float
    is_client_retry: bool
    exchange: CounterExchange
    state: RequestState = RequestState.NEW
    retry_after_ms: float = 0.0
    """Greater than 0 if the request is rejected; 0 if it may be admitted."""
    is_over_quota: bool = False
    """Admitted beyond a soft plan's quota, so not charged to the quota."""
    tried_endpoints: list[EndpointState] = field(default_factory=list)
    """The endpoint of each attempt, in order."""
    last_sent_at_ms: float = 0.0
    may_have_run_on: EndpointState | None = None
    """Endpoint of the first attempt that may have run; None if no attempt can have run."""
    may_have_run_at_ms: float = 0.0
    """Time at which the first attempt that may have run was sent."""
