"""A request from its arrival to its final answer, and the states it goes through."""

from __future__ import annotations

from dataclasses import dataclass, field

from drumgw.model.settings import RequestClass
from drumgw.policy.endpoint_state import EndpointState
from drumgw.policy.quota_account import QuotaAccount
from drumgw.policy.state_machine import MachineEnum

NO_EPOCH = -1


class RequestState(MachineEnum):
    """Where a request stands."""

    NEW = "new"
    """Not decided yet; it may be waiting for a total of the shared counter."""
    IN_FLIGHT = "in flight"
    DONE = "done"


class RequestInput(MachineEnum):
    """What moves a request from one state to the next."""

    ADMITTED = "admitted"
    REJECTED = "rejected"
    NO_ENDPOINT = "no endpoint"
    """No endpoint may be sent a further attempt."""
    ATTEMPT_FAILED = "attempt failed"
    SUCCEEDED = "succeeded"
    CLIENT_GONE = "client gone"
    """Nothing is owed to the client any more."""


@dataclass(slots=True, eq=False)
class CounterExchange:
    """What one request, or the end of the gateway, has to do with the shared counter.

    Written by `CounterPoller` (the epoch), `CounterSync` and `CounterRepair` (the total's figures); dropped
    with the last counter call that names it.
    """

    account: QuotaAccount
    class_rank: int
    units: float
    request: PendingRequest | None = None
    epoch: int = NO_EPOCH
    """The epoch whose key is polled and reported to; `NO_EPOCH` where the counter is not called."""
    refill_lag_units: float = 0.0
    """How far the counter's total lags behind what has been refilled."""
    top_class_fraction: float = 0.0
    """The highest class's part of the total."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is owed an answer.

    `RequestFlow` owns it, moves its state and drops it at its final answer. `AdmissionControl` and
    `CounterPoller` write whether it fits, `AttemptTracker` writes its attempts.
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
    """0 while nothing speaks against admitting it."""
    is_over_quota: bool = False
    """Admitted beyond a soft plan's quota: takes no units."""
    tried_endpoints: list[EndpointState] = field(default_factory=list)
    """One for each attempt."""
    last_sent_at_ms: float = 0.0
    may_have_run_on: EndpointState | None = None
    """The first endpoint that may have run it."""
    may_have_run_at_ms: float = 0.0
    """When the attempt was sent that may have run first."""
