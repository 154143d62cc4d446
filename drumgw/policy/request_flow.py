"""Handles requests from arrival to final answer: admission, forwarding, retries and completion."""

from __future__ import annotations

from drumgw.model.actions import CancelAttempt, ForwardRequest
from drumgw.model.events import AttemptEnded, Outcome, RequestReceived
from drumgw.model.settings import GatewaySettings
from drumgw.policy.admission import AdmissionControl
from drumgw.policy.attempt_tracking import AttemptTracker
from drumgw.policy.class_shares import priority_ranks
from drumgw.policy.context import DecisionContext
from drumgw.policy.counter_polling import CounterPoller
from drumgw.policy.counter_sync import CounterSync
from drumgw.policy.endpoint_selection import EndpointSelector
from drumgw.policy.quota_account import QuotaAccount
from drumgw.policy.request_state import (
    NO_EPOCH,
    CounterExchange,
    PendingRequest,
    RequestInput,
    RequestState,
)
from drumgw.policy.retry import RetryPolicy
from drumgw.policy.state_machine import Transitions, advance

MIN_TIME_LEFT_MS = 1.0
"""No attempt is started with less time left until the deadline."""


class RequestFlow:
    """The state machine of requests, and the effects of its transitions."""

    def __init__(
        self,
        context: DecisionContext,
        settings: GatewaySettings,
        pending: dict[int, PendingRequest],
        admission: AdmissionControl,
        counter_poller: CounterPoller,
        counter_sync: CounterSync,
        selector: EndpointSelector,
        attempts: AttemptTracker,
        retries: RetryPolicy,
    ) -> None:
        self.context = context
        self.pending = pending
        self.admission = admission
        self.counter_poller = counter_poller
        self.counter_sync = counter_sync
        self.selector = selector
        self.attempts = attempts
        self.retries = retries
        self.request_classes = settings.request_classes
        self.class_ranks = priority_ranks(settings.request_classes)
        self.max_attempts = settings.max_attempts
        self.cancellation_allowed = settings.cancellation_allowed
        self.transitions = REQUEST_TRANSITIONS

    def receive(self, event: RequestReceived, account: QuotaAccount) -> None:
        """Handles a new request, which may first wait for a total of the shared counter.

        Args:
            event: the request as received.
            account: its customer's account, refilled up to now.
        """
        class_rank = self.class_ranks[event.request_class]
        request = PendingRequest(
            request_id=event.request_id,
            account=account,
            class_index=event.request_class,
            request_class=self.request_classes[event.request_class],
            class_rank=class_rank,
            units=event.units,
            deadline_ms=self.context.now_ms + event.time_left_ms,
            is_client_retry=event.is_client_retry,
            exchange=CounterExchange(account, class_rank, event.units),
        )
        request.exchange.request = request
        self.pending[event.request_id] = request
        request.retry_after_ms = self.admission.quota_wait_ms(request)
        if not self.counter_poller.poll(request, event.time_left_ms):
            self.decide(request)

    def resume(self, request: PendingRequest) -> None:
        """Decides a request that waited for the counter's total, unless it has ended since."""
        if request.state is RequestState.NEW and request.request_id in self.pending:
            request.retry_after_ms = self.admission.quota_wait_ms(request)
            self.decide(request)

    def decide(self, request: PendingRequest) -> None:
        """Admits or rejects a request, by its quota and by the load."""
        self.admission.limit_by_load(request)
        self.advance(request, RequestInput.REJECTED if request.retry_after_ms else RequestInput.ADMITTED)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Completes or retries a request whose attempt has ended."""
        request = self.pending.get(event.request_id)
        if request is None:
            return
        account = request.account
        account.attempts_in_flight -= 1
        if event.outcome is Outcome.SUCCEEDED:
            if event.billed_units and not request.is_over_quota:
                account.refill(self.context.now_ms)
                account.correct_usage(request.class_rank, request.units, event.billed_units)
            self.advance(request, RequestInput.SUCCEEDED)
            return
        if event.outcome.may_have_run and request.may_have_run_on is None:
            request.may_have_run_on = request.tried_endpoints[-1]
            request.may_have_run_at_ms = request.last_sent_at_ms
        self.advance(request, RequestInput.NO_ANSWER_DUE if event.is_final else RequestInput.ATTEMPT_FAILED)

    def client_disconnected(self, request_id: int) -> None:
        """Ends a request whose client has disconnected, and cancels its attempt."""
        request = self.pending.get(request_id)
        if request is None:
            return
        if request.tried_endpoints:
            request.account.attempts_in_flight -= 1
            if self.cancellation_allowed:
                attempt = len(request.tried_endpoints) - 1
                self.context.actions.append(CancelAttempt(request.request_id, attempt))
        self.advance(request, RequestInput.NO_ANSWER_DUE)

    def advance(self, request: PendingRequest, request_input: RequestInput) -> None:
        """Applies an input to the state machine of a request."""
        advance(self.transitions, self, request, request_input)

    # Transition effects

    def forward(self, request: PendingRequest) -> RequestInput | None:
        """Starts the next attempt at a selected endpoint.

        Returns:
            `NO_ENDPOINT` if no attempt may be started, else None.
        """
        is_retry = len(request.tried_endpoints) > 0
        time_left_ms = request.deadline_ms - self.context.now_ms
        may_start = len(request.tried_endpoints) < self.max_attempts and time_left_ms > MIN_TIME_LEFT_MS
        endpoint = self.selector.select(request) if may_start else None
        if endpoint is None:
            return RequestInput.NO_ENDPOINT
        endpoint.warm_up_tokens -= 1.0
        if not is_retry:
            self._charge(request)
        self.retries.record_attempt(is_retry)
        self.attempts.start(request, endpoint)
        write_deadline_ms = self.retries.idempotent_until_ms(request)
        self.context.actions.append(
            ForwardRequest(request.request_id, endpoint.endpoint_id, request.deadline_ms, write_deadline_ms)
        )
        return None

    def _charge(self, request: PendingRequest) -> None:
        """Charges a request to its account at its first attempt.

        A request within its quota that was selected to poll the counter is also reported to the counter.
        """
        account = request.account
        reservation_units = self.counter_sync.reservation_units(account, request.class_rank)
        account.charge(request.units, request.class_rank, request.is_over_quota)
        if not request.is_over_quota and request.exchange.epoch != NO_EPOCH:
            self.counter_sync.report(request.exchange, reservation_units)

    def retry(self, request: PendingRequest) -> RequestInput | None:
        """Forwards a request again if a retry is allowed."""
        if not self.retries.may_retry(request):
            return RequestInput.NO_ENDPOINT
        return self.forward(request)

    def finish(self, request: PendingRequest) -> None:
        """Rejects or fails a request that was not served."""
        self.context.actions.append(self.retries.final_answer(request))
        self.remove(request)

    def remove(self, request: PendingRequest) -> None:
        """Removes a request that needs no further answer."""
        del self.pending[request.request_id]


REQUEST_TRANSITIONS: Transitions[RequestState, RequestInput, RequestFlow, PendingRequest] = {
    (RequestState.NEW, RequestInput.ADMITTED): (RequestState.IN_FLIGHT, RequestFlow.forward),
    (RequestState.NEW, RequestInput.REJECTED): (RequestState.DONE, RequestFlow.finish),
    (RequestState.NEW, RequestInput.NO_ANSWER_DUE): (RequestState.DONE, RequestFlow.remove),
    (RequestState.IN_FLIGHT, RequestInput.NO_ENDPOINT): (RequestState.DONE, RequestFlow.finish),
    (RequestState.IN_FLIGHT, RequestInput.ATTEMPT_FAILED): (RequestState.IN_FLIGHT, RequestFlow.retry),
    (RequestState.IN_FLIGHT, RequestInput.SUCCEEDED): (RequestState.DONE, RequestFlow.remove),
    (RequestState.IN_FLIGHT, RequestInput.NO_ANSWER_DUE): (RequestState.DONE, RequestFlow.remove),
}
