"""Calls to the shared counter: those in flight, the poll probability, and the counter's availability.

Relies on replies for one key arriving in the order in which the calls were sent.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from drumgw.model.actions import AddToCounter, LogMessage
from drumgw.model.events import CounterReplied, Outcome
from drumgw.model.settings import GatewaySettings
from drumgw.policy.context import LONG_AGO_MS, DecisionContext
from drumgw.policy.request_state import CounterExchange
from drumgw.policy.state_machine import StateMachineEnum, Transitions, advance
from drumgw.stable_hash import stable_hash

COUNTER_TTL_MS = 60000.0
"""Longer than an epoch, so that an epoch's total can still be read at the start of the next."""
INITIAL_POLLING_GATEWAYS = 100.0
"""In larger fleets the initial poll probability is such that this many gateways poll on average."""
MIN_POLL_PROBABILITY = 0.1
POLL_PROBABILITY_INCREASE = 0.04
"""Added after a prompt reply."""
POLL_PROBABILITY_BACKOFF = 0.8
"""Factor applied after a slow or failed call."""
PROMPT_REPLY_TIMEOUT_FRACTION = 0.3
"""Replies within this fraction of the counter timeout are prompt."""
MAX_FAILED_CALLS = 3
"""After this many consecutive failures the counter is considered unavailable."""
PROBE_INTERVAL_MS = 100.0
"""Time between calls to an unavailable counter; divided by the poll probability."""


class CounterState(StateMachineEnum):
    """Availability of the shared counter."""

    AVAILABLE = "available"
    UNAVAILABLE = "unavailable"


class CounterInput(StateMachineEnum):
    """Inputs that change the counter's availability."""

    REPLIED = "replied"
    MISSED_REPLIES = "missed replies"


class CounterCall(NamedTuple):
    """A call in flight; removed when its reply arrives."""

    exchange: CounterExchange
    counter_key: int
    amount: float
    """Whole units of all classes; the two decimals count steps of the highest class. May be negative."""
    epoch: int
    repair_units: int
    """Part of the amount that only corrects the total, and is not usage."""
    expected_total_before: float
    """Expected total before this call if no other gateway adds to the key in the meantime."""

    @property
    def reported_units(self) -> int:
        """Whole units of usage and reservations in the amount, without repairs."""
        return math.floor(self.amount) - self.repair_units


class CounterCalls:
    """Sends calls and matches replies to them, in order for each key."""

    def __init__(
        self, context: DecisionContext, settings: GatewaySettings, describe_load: Callable[[], str]
    ) -> None:
        self.context = context
        self.describe_load = describe_load
        self.timeout_ms = settings.counter_timeout_ms
        self.state = CounterState.AVAILABLE
        self.poll_probability = min(1.0, INITIAL_POLLING_GATEWAYS / settings.gateways)
        self.failed_calls = 0
        """Consecutive failures."""
        self.last_call_at_ms = LONG_AGO_MS
        self.in_flight: dict[int, list[CounterCall]] = {}
        """By counter key, oldest first."""

    def draw_poll(self) -> bool:
        """Returns True with `poll_probability`."""
        return self.context.random.random() < self.poll_probability

    def send(
        self, exchange: CounterExchange, amount: float, repair_units: int = 0, epochs_back: int = 0
    ) -> bool:
        """Adds an amount to a customer's total and requests the new total.

        Args:
            exchange: gives the account and the epoch.
            amount: whole units, with the highest class's steps as decimals; 0 only reads.
            repair_units: part of the amount that only corrects the total.
            epochs_back: how many epochs before the exchange's epoch to take the key from.

        Returns:
            Whether a call was sent. An unavailable counter is only called at the probe interval.
        """
        context = self.context
        if self.state is CounterState.UNAVAILABLE:
            since_last_ms = context.now_ms - self.last_call_at_ms
            if since_last_ms < PROBE_INTERVAL_MS / self.poll_probability:
                return False
        account = exchange.account
        epoch = exchange.epoch - epochs_back
        key = stable_hash(account.customer, epoch)
        self.last_call_at_ms = context.now_ms
        calls = self.in_flight.setdefault(key, [])
        last_total = account.counter_units if account.counter_epoch == exchange.epoch else 0.0
        expected_total_before = last_total + sum(math.floor(call.amount) for call in calls)
        calls.append(CounterCall(exchange, key, amount, epoch, repair_units, expected_total_before))
        context.actions.append(AddToCounter(key, amount, COUNTER_TTL_MS))
        return True

    def pending(self, counter_key: int) -> Sequence[CounterCall]:
        """The calls in flight on a key, oldest first."""
        return self.in_flight.get(counter_key, ())

    def take(self, counter_key: int) -> CounterCall | None:
        """Removes and returns the oldest call in flight on a key; None if there is none."""
        calls = self.in_flight.get(counter_key)
        if calls is None:
            return None
        call = calls.pop(0)
        if not calls:
            del self.in_flight[counter_key]
        return call

    def record_reply(self, event: CounterReplied) -> None:
        """Updates the poll probability and the counter's availability.

        Slow replies indicate an overloaded counter, so each gateway independently lowers its poll
        probability. Replies handled right after a stall of this process are left out, as their duration
        includes the stall.
        """
        succeeded = event.outcome is Outcome.SUCCEEDED
        if not self.context.is_after_stall:
            is_prompt = succeeded and event.duration_ms < PROMPT_REPLY_TIMEOUT_FRACTION * self.timeout_ms
            if is_prompt:
                probability = self.poll_probability + POLL_PROBABILITY_INCREASE
            else:
                probability = self.poll_probability * POLL_PROBABILITY_BACKOFF
            self.poll_probability = min(1.0, max(MIN_POLL_PROBABILITY, probability))
        self.failed_calls = 0 if succeeded else self.failed_calls + 1
        if succeeded:
            advance(COUNTER_TRANSITIONS, self, self, CounterInput.REPLIED)
        elif self.failed_calls >= MAX_FAILED_CALLS:
            advance(COUNTER_TRANSITIONS, self, self, CounterInput.MISSED_REPLIES)

    def log_state(self, _record: CounterCalls) -> None:
        """Logs the new availability with the figures of the load; called on each transition."""
        text = f"counter {self.state.value}: {self.failed_calls} calls failed in a row, "
        self.context.actions.append(LogMessage(text + self.describe_load()))


COUNTER_TRANSITIONS: Transitions[CounterState, CounterInput, CounterCalls, CounterCalls] = {
    (CounterState.AVAILABLE, CounterInput.MISSED_REPLIES): (CounterState.UNAVAILABLE, CounterCalls.log_state),
    (CounterState.UNAVAILABLE, CounterInput.REPLIED): (CounterState.AVAILABLE, CounterCalls.log_state),
}
