"""The calls to the shared counter: which are in flight, how often to poll, and whether it answers at all.

Calls on one key are answered in the order in which they were sent.
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
from drumgw.policy.state_machine import MachineEnum, Transitions, advance
from drumgw.stable_hash import stable_hash

COUNTER_TTL_MS = 60000.0
"""Longer than an epoch, so that the last epoch's total can still be read in the next."""
INITIAL_POLLING_GATEWAYS = 100.0
"""The gateways of a larger fleet start with a probability at which so many of them poll."""
MIN_POLL_PROBABILITY = 0.1
POLL_PROBABILITY_INCREASE = 0.04
POLL_PROBABILITY_BACKOFF = 0.8
"""Factor after a call that was slow or failed."""
PROMPT_REPLY_TIMEOUT_FRACTION = 0.3
MAX_FAILED_CALLS = 3
"""In a row; with so many the counter counts as unavailable."""
PROBE_INTERVAL_MS = 100.0
"""Between calls to an unavailable counter, at a poll probability of 1."""


class CounterState(MachineEnum):
    """Whether the shared counter answers."""

    AVAILABLE = "available"
    UNAVAILABLE = "unavailable"


class CounterInput(MachineEnum):
    """What changes the counter's availability."""

    REPLIED = "replied"
    MISSED_REPLIES = "missed replies"


class CounterCall(NamedTuple):
    """A call in flight. Dropped with its reply."""

    exchange: CounterExchange
    counter_key: int
    amount: float
    """Whole units of all classes; its two decimals count steps of the highest class's units."""
    epoch: int
    repair_units: int
    """Part of the amount that only puts the total right."""
    expected_total_before: float
    """The total before this call if no other gateway adds to it."""

    @property
    def reported_units(self) -> int:
        """Whole units that this gateway uses or reserves."""
        return math.floor(self.amount) - self.repair_units


class CounterCalls:
    """Sends calls and keeps them until their replies, in the order of each key."""

    def __init__(
        self, context: DecisionContext, settings: GatewaySettings, describe_load: Callable[[], str]
    ) -> None:
        self.context = context
        self.describe_load = describe_load
        self.timeout_ms = settings.counter_timeout_ms
        self.state = CounterState.AVAILABLE
        self.poll_probability = min(1.0, INITIAL_POLLING_GATEWAYS / settings.gateways)
        self.failed_calls = 0
        """In a row."""
        self.last_call_at_ms = LONG_AGO_MS
        self.in_flight: dict[int, list[CounterCall]] = {}
        """By counter key, oldest first."""

    def draw_poll(self) -> bool:
        """Draws whether to call now, with `poll_probability`."""
        return self.context.random.random() < self.poll_probability

    def send(
        self, exchange: CounterExchange, amount: float, repair_units: int = 0, epochs_back: int = 0
    ) -> bool:
        """Adds to a customer's total and reads it.

        Args:
            exchange: whose account, and in which epoch.
            amount: whole units, with the highest class's steps as decimals; 0 only reads.
            repair_units: part of the amount that puts the total right.
            epochs_back: how many epochs before the exchange's own the key is from.

        Returns:
            Whether a call was sent: a counter that is unavailable is called seldom.
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
        """Removes the call that a reply belongs to; None where none is known."""
        calls = self.in_flight.get(counter_key)
        if calls is None:
            return None
        call = calls.pop(0)
        if not calls:
            del self.in_flight[counter_key]
        return call

    def record_reply(self, event: CounterReplied) -> None:
        """Updates the poll probability and the counter's availability.

        Guards a counter with more calls than it can take, which shows as slow replies: each gateway polls
        less by what it sees itself. A reply after a stall of this process says nothing.
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
        """Writes the state that was entered to the log."""
        text = f"counter {self.state.value}: {self.failed_calls} calls failed in a row, "
        self.context.actions.append(LogMessage(text + self.describe_load()))


COUNTER_TRANSITIONS: Transitions[CounterState, CounterInput, CounterCalls, CounterCalls] = {
    (CounterState.AVAILABLE, CounterInput.MISSED_REPLIES): (CounterState.UNAVAILABLE, CounterCalls.log_state),
    (CounterState.UNAVAILABLE, CounterInput.REPLIED): (CounterState.AVAILABLE, CounterCalls.log_state),
}
