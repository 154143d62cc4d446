"""Use of the shared counter by one gateway: polls, reports, reservations and repairs."""

from __future__ import annotations

from drumgw.model.events import GatewayStopping, Outcome
from tests.harness import CUSTOMER, HIGH_PRIORITY, LOW_PRIORITY, PolicyHarness, TraceCase


class CounterTotalTest(TraceCase):
    """Decisions by totals, and the units that are reported."""

    def test_requests_are_decided_by_the_usage_of_each_class_in_the_total(self) -> None:
        harness = PolicyHarness(hold_counter=True)
        harness.note("16 units used elsewhere, none by the top class: its floor excludes the lower class")
        harness.request(HIGH_PRIORITY, 2.0)
        harness.reply_from_counter(0.0)
        harness.reply_from_counter(0.0)  # total of the previous epoch's key
        harness.reply_from_counter(2.0)
        harness.request(LOW_PRIORITY, 3.0)
        harness.reply_from_counter(16.0)
        harness.request(HIGH_PRIORITY, 3.0)
        harness.reply_from_counter(16.0)
        harness.reply_from_counter(19.01)
        other = PolicyHarness(hold_counter=True)
        other.note(
            "another gateway; all 16 units used by the top class: its floor is used up, the request fits"
        )
        other.request(LOW_PRIORITY, 3.0)
        other.reply_from_counter(16.02)
        harness.trace += other.trace
        self.assert_trace(harness, "counter-totals")

    def test_request_waits_for_total_only_with_enough_time_left_for_a_stall(self) -> None:
        """A request that waits for the counter while this process stalls may miss its deadline.

        A request without enough time left for a stall is decided at once by the local account, and still
        reported.
        """
        harness = PolicyHarness(hold_counter=True)
        harness.request(LOW_PRIORITY, 6.0)
        harness.note("waits for the total")
        harness.reply_from_counter()
        harness.note("too little time left for a stall: decided at once, and reported")
        harness.request(LOW_PRIORITY, 6.0, time_left_ms=2000.0)
        harness.note("no total received for this customer: limited to quota / gateways")
        for _ in range(3):
            harness.request(LOW_PRIORITY, 6.0, customer=2, time_left_ms=2000.0)
        self.assert_trace(harness, "wait-for-total")

    def test_unused_reservations_are_returned_when_the_gateway_stops(self) -> None:
        """A gateway is restarted while it holds reservations.

        Reservations count as used in the customers' totals. If they were not returned, the customers could
        not use these units until the quota has refilled them.
        """
        harness = PolicyHarness(gateways=400)
        harness.advance(20000)
        while not self.reserved_units(harness):
            harness.end_attempt(harness.request(LOW_PRIORITY, 1.0, time_left_ms=2000.0))
        harness.note("nothing of the reservation reported last has been used")
        harness.feed(GatewayStopping())
        harness.note("nothing is left to return")
        harness.feed(GatewayStopping())
        self.assert_trace(harness, "reservations-returned")

    def reserved_units(self, harness: PolicyHarness) -> int:
        """Whole units that the gateway has reserved; 0 without an account."""
        account = harness.engine.accounts.get(CUSTOMER)
        return int(max(0.0, *account.reserved_units)) if account else 0


class CounterRepairTest(TraceCase):
    """Totals that must be corrected."""

    def test_total_that_lags_behind_the_refill_is_corrected(self) -> None:
        """A customer is idle until its quota is full; further refill is lost.

        The total does not change then, so its usage level would fall below 0 and the customer could use
        more than its quota at once. The next report therefore adds the lost refill.
        """
        harness = PolicyHarness()
        harness.end_attempt(harness.request(LOW_PRIORITY, 3.0))
        harness.note("ten seconds refill 20 units, but only 3 were used: the report adds the other 17")
        harness.advance(10000)
        harness.request(LOW_PRIORITY, 3.0)
        self.assert_trace(harness, "counter-lags-refill")

    def test_units_reported_beyond_the_quota_are_subtracted(self) -> None:
        """Two gateways use the last units of a quota at the same time.

        Usage beyond the quota does not consume quota. Left in the total, it would make other gateways reject
        requests that still fit, so the gateway that reported the excess subtracts it.
        """
        harness = PolicyHarness(hold_counter=True)
        harness.note(
            "no time to wait; 18 of 20 units used elsewhere, 0.2 refilled: 3 of the 6 units are in excess"
        )
        harness.request(LOW_PRIORITY, 6.0, time_left_ms=2000.0)
        harness.reply_from_counter(24.0)
        harness.reply_from_counter(20.0)
        other = PolicyHarness(hold_counter=True)
        other.note("another gateway; 6 units reported, 14 used elsewhere: nothing is subtracted")
        other.request(LOW_PRIORITY, 6.0, time_left_ms=2000.0)
        other.reply_from_counter(20.0)
        harness.trace += other.trace
        self.assert_trace(harness, "excess-usage-subtracted")

    def test_new_epoch_carries_over_the_usage_of_the_last(self) -> None:
        """A customer's counter key changes every 50 s, and the new key's total is 0.

        If usage were not carried over, each customer would get a full quota with each epoch. The gateway
        that finds the new key empty carries it over, whether or not it has an account of the customer.
        """
        harness = PolicyHarness()
        harness.advance(49000)
        harness.note("two gateways use 8 units each, a second before the epoch ends")
        harness.request(HIGH_PRIORITY, 6.0)
        harness.request(HIGH_PRIORITY, 2.0)
        harness.counter_totals[harness.counter_key()] += 8.0
        harness.advance(1400)
        harness.note("the new key is empty: the previous key is read, and its usage less the refill is added")
        harness.request(HIGH_PRIORITY, 2.0)
        harness.request(HIGH_PRIORITY, 6.0)
        self.assert_trace(harness, "epoch-change")

    def test_totals_of_an_emptied_counter_are_restored(self) -> None:
        """The counter restarts empty, or with an older state, so its totals are too low.

        A usage level cannot fall faster than the quota refills. A gateway that sees this keeps the higher
        level and adds the difference, one call at a time; if two gateways do so, one undoes its repair.
        """
        harness = PolicyHarness(hold_counter=True)
        harness.advance(20000)
        harness.request(HIGH_PRIORITY, 5.0)
        harness.reply_from_counter(53.0)  # 40.2 refilled
        harness.reply_from_counter(58.0)
        harness.note(
            "the 17.8 units used are missing from the total: 2 more just fit, and the usage is restored"
        )
        harness.request(HIGH_PRIORITY, 2.0)
        harness.reply_from_counter(0.0)
        harness.note("another gateway had just added 57 units: this gateway undoes its repair")
        harness.reply_from_counter(115.0)
        harness.reply_from_counter(117.0)
        harness.reply_from_counter(60.0)
        harness.request(HIGH_PRIORITY, 1.0)
        harness.advance(2000)
        harness.note("restored from an older state that lacks 10 units")
        harness.request(HIGH_PRIORITY, 2.0)
        harness.reply_from_counter(50.0)
        while harness.counter_calls:
            harness.reply_from_counter(50.0 + harness.counter_calls[0].amount)
        self.assert_trace(harness, "counter-totals-restored")


class CounterAvailabilityTest(TraceCase):
    """An overloaded counter, or one that does not reply."""

    def test_slow_or_unavailable_counter_is_called_less(self) -> None:
        """The counter's replies are slow, then time out, then are prompt again.

        Slow replies indicate an overloaded counter, so each one lowers the poll probability. After three
        consecutive failures the counter is unavailable and is only probed until it replies.
        """
        harness = PolicyHarness(hold_counter=True)
        for duration_ms, outcome in (
            (2.0, Outcome.SUCCEEDED),
            (45.0, Outcome.SUCCEEDED),
            (50.0, Outcome.TIMED_OUT),
            (2.0, Outcome.SUCCEEDED),
        ):
            calls = self.calls_for_40_requests(harness, duration_ms, outcome)
            harness.note(f"{outcome.value} in {duration_ms:.0f} ms: {calls} calls for 40 requests")
        harness.trace = [line for line in harness.trace if "forward" not in line and "add" not in line]
        self.assert_trace(harness, "counter-unavailable")

    def calls_for_40_requests(self, harness: PolicyHarness, duration_ms: float, outcome: Outcome) -> int:
        """Sends a new customer's request every 100 ms, and counts the calls sent before any reply."""
        calls = 0
        for number in range(40):
            harness.request(LOW_PRIORITY, 1.0, customer=10 * number + round(duration_ms))
            calls += len(harness.counter_calls)
            harness.trace = [line for line in harness.trace if "--" in line or "log" in line]
            while harness.counter_calls:
                total = 0.0 if outcome is Outcome.SUCCEEDED else None
                harness.reply_from_counter(total, outcome, duration_ms)
            for request in [r for r in harness.attempted_endpoints if r in harness.engine.pending]:
                harness.end_attempt(request)
            harness.advance()
        return calls
