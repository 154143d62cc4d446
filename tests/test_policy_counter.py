"""The shared counter as one gateway uses it: polls, reports, reservations, repairs."""

from __future__ import annotations

from drumgw.model.events import GatewayStopping, Outcome
from tests.harness import CUSTOMER, LOWER, TOP, PolicyHarness, TraceCase


class CounterTotalTest(TraceCase):
    """What a total says, and what is reported."""

    def test_the_total_decides_and_tells_the_classes_apart(self) -> None:
        harness = PolicyHarness(hold_counter=True)
        harness.note("others took 16 units, none of the top class: its floor keeps the lower class out")
        harness.request(TOP, 2.0)
        harness.reply_from_counter(0.0)
        harness.reply_from_counter(0.0)  # what the last epoch's key held
        harness.reply_from_counter(2.0)
        harness.request(LOWER, 3.0)
        harness.reply_from_counter(16.0)
        harness.request(TOP, 3.0)
        harness.reply_from_counter(16.0)
        harness.reply_from_counter(19.01)
        other = PolicyHarness(hold_counter=True)
        other.note("another gateway, 16 units, all of them the top class's: its need is met, and it fits")
        other.request(LOWER, 3.0)
        other.reply_from_counter(16.02)
        harness.trace += other.trace
        self.assert_trace(harness, "counter-totals")

    def test_a_request_waits_for_the_total_only_with_time_to_spare(self) -> None:
        """A request that waits for the counter while this process stalls may miss its deadline.

        One without the time to outlive a stall is decided at once by what is known, and still reported.
        """
        harness = PolicyHarness(hold_counter=True)
        harness.request(LOWER, 6.0)
        harness.note("waits until the total comes")
        harness.reply_from_counter()
        harness.note("too little time left to outlive a stall: decided at once, and reported")
        harness.request(LOWER, 6.0, time_left_ms=2000.0)
        harness.note("no total ever came for this customer: quota / gateways, then no more")
        for _ in range(3):
            harness.request(LOWER, 6.0, customer=2, time_left_ms=2000.0)
        self.assert_trace(harness, "wait-for-total")

    def test_reservations_that_were_not_spent_are_returned_at_the_end(self) -> None:
        """A gateway is restarted while it holds reservations.

        They count as used in the customers' totals. If it did not return them, its customers would miss
        them until the quota has refilled.
        """
        harness = PolicyHarness(gateways=400)
        harness.advance(20000)
        while not self.reserved_units(harness):
            harness.end_attempt(harness.request(LOWER, 1.0, time_left_ms=2000.0))
        harness.note("of the reservation that was reported just now nothing is spent")
        harness.play(GatewayStopping())
        harness.note("that was all")
        harness.play(GatewayStopping())
        self.assert_trace(harness, "reservations-returned")

    def reserved_units(self, harness: PolicyHarness) -> int:
        """Whole units that are reserved here."""
        account = harness.engine.accounts.get(CUSTOMER)
        return int(max(0.0, *account.reserved_units)) if account else 0


class CounterRepairTest(TraceCase):
    """Totals that must be put right."""

    def test_a_total_that_lags_behind_the_refill_is_put_right(self) -> None:
        """A customer is idle until its quota is full, and refill beyond that is lost.

        The total does not know: its level would fall below empty, and the customer could use more than its
        quota at once. So the next report adds what was refilled in vain.
        """
        harness = PolicyHarness()
        harness.end_attempt(harness.request(LOWER, 3.0))
        harness.note("ten seconds refill 20 units, but only 3 lacked: the other 17 are added with the report")
        harness.advance(10000)
        harness.request(LOWER, 3.0)
        self.assert_trace(harness, "counter-lags-refill")

    def test_what_was_reported_beyond_the_quota_is_taken_back(self) -> None:
        """Two gateways use the last units of a quota at the same time.

        What goes beyond the quota takes nothing from it. Left in the total, it would have the other gateways
        reject requests that the quota still holds, so who reported it takes it back.
        """
        harness = PolicyHarness(hold_counter=True)
        harness.note("too late to wait; others took 18 of 20 units, 0.2 refilled: of its 6, 3 are beyond")
        harness.request(LOWER, 6.0, time_left_ms=2000.0)
        harness.reply_from_counter(24.0)
        harness.reply_from_counter(20.0)
        other = PolicyHarness(hold_counter=True)
        other.note("another gateway, 6 units reported beside 14 of the others': nothing is taken back")
        other.request(LOWER, 6.0, time_left_ms=2000.0)
        other.reply_from_counter(20.0)
        harness.trace += other.trace
        self.assert_trace(harness, "beyond-quota-taken-back")

    def test_a_new_epoch_takes_over_what_the_last_one_held(self) -> None:
        """A customer's counter key changes each 50 s, and the new key's total is 0.

        If nobody carried the usage over, each customer had a whole quota anew with each epoch. The gateway
        that finds the new key empty does it, whether or not it knows the customer.
        """
        harness = PolicyHarness()
        harness.advance(49000)
        harness.note("two gateways use 8 units each, a second before the epoch ends")
        harness.request(TOP, 6.0)
        harness.request(TOP, 2.0)
        harness.counter_totals[harness.counter_key()] += 8.0
        harness.advance(1400)
        harness.note(
            "the new key is empty: the last one is read, and what it held and has not refilled added"
        )
        harness.request(TOP, 2.0)
        harness.request(TOP, 6.0)
        self.assert_trace(harness, "epoch-change")

    def test_a_counter_that_comes_back_empty_is_filled_again(self) -> None:
        """The counter restarts empty, or with an older state, so its totals are too low.

        A total cannot fall faster than the quota refills. A gateway that sees one do so goes by what it
        knew, and adds what lacks with one call at a time; of two that do so, one takes its part back.
        """
        harness = PolicyHarness(hold_counter=True)
        harness.advance(20000)
        harness.request(TOP, 5.0)
        harness.reply_from_counter(53.0)  # 40.2 refilled
        harness.reply_from_counter(58.0)
        harness.note("it knows nothing of 17.8 units used: 2 just fit, and the others are put back")
        harness.request(TOP, 2.0)
        harness.reply_from_counter(0.0)
        harness.note("another gateway had put 57 back just before: ours are taken back")
        harness.reply_from_counter(115.0)
        harness.reply_from_counter(117.0)
        harness.reply_from_counter(60.0)
        harness.request(TOP, 1.0)
        harness.advance(2000)
        harness.note("an older state, by 10 units")
        harness.request(TOP, 2.0)
        harness.reply_from_counter(50.0)
        while harness.counter_calls:
            harness.reply_from_counter(50.0 + harness.counter_calls[0].amount)
        self.assert_trace(harness, "counter-emptied")


class CounterAvailabilityTest(TraceCase):
    """A counter with more calls than it can take, or without replies."""

    def test_a_slow_or_unavailable_counter_is_called_less(self) -> None:
        """The counter's replies come late, then not at all, then promptly again.

        Late replies show that it has more calls than it can take, so the gateway calls it less by each.
        After three calls without a reply it counts as unavailable, and is only called now and then, until it
        replies.
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
        """Plays a request of another customer each 100 ms, and counts the calls before the first reply."""
        calls = 0
        for number in range(40):
            harness.request(LOWER, 1.0, customer=10 * number + round(duration_ms))
            calls += len(harness.counter_calls)
            harness.trace = [line for line in harness.trace if "--" in line or "log" in line]
            while harness.counter_calls:
                total = 0.0 if outcome is Outcome.SUCCEEDED else None
                harness.reply_from_counter(total, outcome, duration_ms)
            for request in [r for r in harness.attempted_endpoints if r in harness.engine.pending]:
                harness.end_attempt(request)
            harness.advance()
        return calls
