"""Requests and endpoints as one gateway decides on them: retries, selection, health, load.

Each test plays a story and compares the decisions with a trace in `tests/traces/`, kept for reading.
"""

from __future__ import annotations

from drumgw.model.events import ClientDisconnected, EndpointStatus, EndpointsUpdated, Outcome
from tests.harness import (
    IDEMPOTENT_CLASS,
    KEYED_IN_ZONE_CLASS,
    LOWER,
    TOP,
    PolicyHarness,
    TraceCase,
)


class RetryTest(TraceCase):
    """What may be sent again, and the final answer."""

    def test_not_idempotent(self) -> None:
        """A request that is not idempotent fails at an endpoint, or is given up: it may have run.

        Sent again, it might run twice. Only where nothing ran it goes elsewhere, and is rejected in the end.
        """
        harness = PolicyHarness(has_counter=False)
        harness.note("may have run: fails, nothing more")
        harness.end_attempt(harness.request(TOP), Outcome.FAILED)
        harness.note("given up at its deadline: fails")
        harness.end_attempt(harness.request(TOP, time_left_ms=2000.0), Outcome.TIMED_OUT, 2000.0)
        harness.note("never ran: elsewhere, at last rejected")
        request = harness.request(TOP)
        for _ in range(3):
            harness.end_attempt(request, Outcome.UNREACHABLE)
        self.assert_trace(harness, "not-idempotent")

    def test_keyed_request_stays_in_its_zone_and_window(self) -> None:
        """A request with an idempotency key may have run, and endpoints of one zone remember its key for 3 s.

        In another zone, or later, a retry would run again; so it stays in the zone, and fails after the
        window.
        """
        harness = PolicyHarness(
            request_classes=(KEYED_IN_ZONE_CLASS, IDEMPOTENT_CLASS),
            endpoints=8,
            max_attempts=9,
            has_counter=False,
        )
        for wait_ms in (100.0, 4000.0):
            request = harness.request(TOP, time_left_ms=9000.0)
            harness.end_attempt(request, Outcome.BROKEN_RESPONSE)
            zones = [endpoint % 2 for endpoint in harness.attempted_endpoints[request]]
            harness.note(f"zones so far: {zones}")
            harness.now_ms += wait_ms
            harness.end_attempt(request, Outcome.BROKEN_RESPONSE)
            if wait_ms < 1000:
                harness.end_attempt(request)
        self.assert_trace(harness, "keyed-in-zone")

    def test_client_gone_is_cancelled_and_never_sent_again(self) -> None:
        """A client disconnects while its request is in flight.

        Nobody waits for the response any more, so the attempt is cancelled, and not retried when it ends.
        """
        harness = PolicyHarness(has_counter=False)
        request = harness.request(LOWER)
        harness.play(ClientDisconnected(request))
        harness.end_attempt(request, Outcome.CANCELLED, is_final=True)
        self.assert_trace(harness, "client-disconnected")


class EndpointListTest(TraceCase):
    """Which endpoints are used."""

    def test_no_endpoint_known(self) -> None:
        harness = PolicyHarness(endpoints=0, has_counter=False)
        harness.request(TOP)
        harness.request(LOWER)
        self.assert_trace(harness, "no-endpoint")

    def used_endpoints(self, harness: PolicyHarness) -> list[int]:
        """The endpoints that get the requests of five customers."""
        requests = [harness.request(LOWER, 0.1, customer) for customer in range(5)]
        for request in requests:
            harness.end_attempt(request)
        return sorted({endpoint for r in requests for endpoint in harness.attempted_endpoints[r]})

    def test_draining_and_removed_get_nothing_new(self) -> None:
        harness = PolicyHarness(has_counter=False)
        draining = harness.endpoint_info(0, EndpointStatus.DRAINING)
        removed = harness.endpoint_info(1, EndpointStatus.REMOVED)
        harness.play(EndpointsUpdated(False, (draining, removed)))
        harness.note(f"endpoints used: {self.used_endpoints(harness)}")
        harness.play(EndpointsUpdated(True, (harness.endpoint_info(3, EndpointStatus.READY),)))
        harness.note(f"endpoints used: {self.used_endpoints(harness)}")
        self.assert_trace(harness, "draining")

    def test_an_endpoint_that_warms_up_gets_a_part(self) -> None:
        """An endpoint starts cold, and would fail under the load of a warm one.

        It gets a part of what the others complete, which grows as it warms up.
        """
        harness = PolicyHarness(endpoints=3, has_counter=False)
        started = harness.endpoint_info(3, EndpointStatus.READY, harness.now_ms)
        harness.play(EndpointsUpdated(False, (started,)))
        attempts = [0, 0, 0, 0]
        for number in range(200):
            request = harness.request(LOWER, 0.1, number)
            attempts[harness.attempted_endpoints[request][0]] += 1
            harness.end_attempt(request)
            harness.advance()
            if number in (9, 49, 199):
                harness.note(f"attempts so far, endpoint 3 started cold: {attempts}")
        harness.trace = [line for line in harness.trace if "--" in line]
        self.assert_trace(harness, "warm-up")

    def test_gateways_share_the_fleet_out(self) -> None:
        """Fifty gateways get three requests each of one customer, which ranks the fleet alike for all.

        Without nearby endpoints all would go to the first of that ranking.
        """
        harness = PolicyHarness(endpoints=0)
        attempts: dict[int, int] = {}
        for ordinal in range(50):
            gateway = PolicyHarness(endpoints=50, has_counter=False, gateways=250, ordinal=ordinal)
            for _ in range(3):
                request = gateway.request(LOWER, 0.1)
                endpoint = gateway.attempted_endpoints[request][0]
                attempts[endpoint] = attempts.get(endpoint, 0) + 1
                gateway.end_attempt(request)
        most = max(attempts.values())
        harness.note(f"150 requests through 50 gateways: {len(attempts)} of 50 endpoints, {most} at most")
        self.assert_trace(harness, "nearby-endpoints")


class OutlierTest(TraceCase):
    """Endpoints that fail."""

    def test_silent_endpoint_is_ejected_and_its_requests_go_elsewhere(self) -> None:
        """An endpoint accepts requests and never answers, so it fails none and looks idle.

        An attempt that is overdue is cancelled and sent elsewhere; after the second one the endpoint is
        ejected.
        """
        harness = PolicyHarness(has_counter=False)
        request = harness.request(LOWER, 0.1, time_left_ms=30000.0)
        harness.advance(2200)
        harness.note("cancelled; it goes elsewhere, and succeeds")
        harness.end_attempt(request, Outcome.CANCELLED)
        harness.end_attempt(request)
        harness.note("a second one overdue there: the endpoint is ejected for this class")
        harness.request(LOWER, 0.1, time_left_ms=30000.0)
        harness.advance(2200)
        self.assert_trace(harness, "silent-endpoint")

    def test_responses_that_break_at_all_endpoints_alike_eject_none(self) -> None:
        """The network breaks connections, to whichever endpoint they go.

        Each broken response looks like its endpoint's failure; ejecting them one by one would take the whole
        fleet out. Only an endpoint that breaks more than its fellows is ejected.
        """
        harness = PolicyHarness(has_counter=False)
        harness.note("one broken response ejects none")
        harness.end_attempt(harness.request(TOP, 0.1), Outcome.BROKEN_RESPONSE)
        harness.note("nor do some in each eight, from whichever endpoint")
        for number in range(40):
            is_broken = number % 8 < 2
            outcome = Outcome.BROKEN_RESPONSE if is_broken else Outcome.SUCCEEDED
            harness.end_attempt(harness.request(TOP, 0.1, customer=number), outcome)
        harness.note("one endpoint breaks all it gets: it is ejected")
        for number in range(40):
            request = harness.request(TOP, 0.1, customer=number)
            is_broken = harness.attempted_endpoints[request][-1] == 2
            harness.end_attempt(request, Outcome.BROKEN_RESPONSE if is_broken else Outcome.SUCCEEDED)
        harness.trace = [line for line in harness.trace if "forward" not in line and "fail " not in line]
        self.assert_trace(harness, "broken-responses")

    def test_an_endpoint_that_fails_one_class_serves_the_other(self) -> None:
        """An endpoint lacks what one request class needs, and serves the other well.

        It is ejected for that class only; after a time one request of the class tries it again.
        """
        harness = PolicyHarness(endpoints=2, has_counter=False, warm_up_ms=0.0)
        for customer in range(12):
            request = harness.request(TOP, 0.1, customer)
            is_failing = harness.attempted_endpoints[request][-1] == 0
            harness.end_attempt(request, Outcome.FAILED if is_failing else Outcome.SUCCEEDED)
        attempts = [[0, 0], [0, 0]]
        for customer in range(40):
            request_class = customer % 2
            request = harness.request(request_class, 0.1, customer)
            attempts[request_class][harness.attempted_endpoints[request][-1]] += 1
            harness.end_attempt(request)
        harness.trace = [line for line in harness.trace if "log" in line]
        top, lower = attempts
        harness.note(f"endpoint 0 fails one class; then to endpoints 0, 1: {top}, the other class {lower}")
        harness.advance(16000)
        requests = [harness.request(TOP, 0.1, customer) for customer in range(6)]
        trials = [harness.attempted_endpoints[request] for request in requests].count([0])
        harness.trace = [line for line in harness.trace if "forward" not in line]
        harness.note(f"after its ejection it is tried: of 6 requests in flight at once it has {trials}")
        self.assert_trace(harness, "class-health")

    def attempts_at(self, harness: PolicyHarness, endpoint: int, request_class: int, first: int) -> int:
        """How many requests of 20 customers, from the first one on, go to an endpoint and succeed."""
        attempts = 0
        for customer in range(first, first + 20):
            request = harness.request(request_class, 0.1, customer)
            attempts += harness.attempted_endpoints[request][0] == endpoint
            harness.end_attempt(request)
        return attempts

    def test_requests_that_are_not_idempotent_avoid_an_endpoint_that_failed_another_class(self) -> None:
        """An endpoint fails a request of the idempotent class, which is retried and lost nothing.

        A request that is not idempotent cannot be sent again: it keeps away until the other class has
        tried the endpoint and succeeded.
        """
        harness = PolicyHarness(has_counter=False)
        failed = harness.request(LOWER, 0.1)
        bad = harness.attempted_endpoints[failed][0]
        harness.end_attempt(failed, Outcome.FAILED)
        harness.end_attempt(failed)
        got = self.attempts_at(harness, bad, TOP, first=2)
        harness.note(f"endpoint {bad} failed an idempotent request; of 20 that are not it got {got}")
        harness.advance(17000)
        got = self.attempts_at(harness, bad, TOP, first=2)
        harness.note(f"its ejection is over, and nothing tried it yet: {got}")
        tried = self.attempts_at(harness, bad, LOWER, first=22) + self.attempts_at(
            harness, bad, LOWER, first=42
        )
        self.assertGreater(tried, 0)
        got = self.attempts_at(harness, bad, TOP, first=2)
        harness.note(f"a trial succeeded: {got}")
        harness.trace = [line for line in harness.trace if "--" in line or "ejected" in line]
        self.assert_trace(harness, "not-idempotent-avoids-suspected")

    def test_own_stall_is_not_charged_to_endpoints(self) -> None:
        """This process does not run for 8 s; the responses came in time, and are read late.

        They must not count as late, nor their attempts as overdue. From then on only requests that would
        outlive such a stall wait for the counter.
        """
        harness = PolicyHarness(has_counter=False)
        requests = [harness.request(LOWER, 0.1, customer, time_left_ms=30000.0) for customer in range(6)]
        harness.note("this process stalls for 8 s; the responses are there, late")
        harness.now_ms += 8000
        for request in requests:
            harness.end_attempt(request, duration_ms=8000.0)
        harness.advance(200)
        late_share = harness.engine.back_end.overload.late_share
        needed_ms = harness.engine.counter_poller.min_time_left_to_wait_ms
        harness.note(f"late share {late_share:.2f}; a request waits for a total with {needed_ms:.0f} ms left")
        self.assert_trace(harness, "stall")

    def test_attempts_in_flight_do_not_age_by_a_stall(self) -> None:
        """This process does not run for 8 s, and its timer fires before the responses are read.

        By the clock all attempts are overdue then, and their endpoints silent. But the responses are there,
        unread: nothing may be cancelled, and no endpoint suspected.
        """
        harness = PolicyHarness(has_counter=False)
        for customer in range(6):
            harness.request(LOWER, 0.1, customer, time_left_ms=30000.0)
        forwarded = list(harness.trace)
        harness.now_ms += 8000
        harness.advance()
        self.assertEqual(harness.trace, forwarded)
        self.assertEqual(harness.engine.back_end.limit.overdue, 0)


class LoadTest(TraceCase):
    """The concurrency limit and load shedding."""

    def test_limit_is_wide_while_no_answer_is_late(self) -> None:
        """Requests of the lower class come at once while endpoints have capacity and answers are early.

        A limit that goes by the pace of completions alone would reject them.
        """
        harness = PolicyHarness(has_counter=False)
        for customer in range(16):
            harness.request(LOWER, 0.1, customer=customer)
        self.assert_trace(harness, "limit-without-late-answers")

    def test_late_answers_shed_the_lower_class_first(self) -> None:
        """The back end becomes slow, then recovers.

        While answers are late the lower class is shed, and the top class goes on.
        """
        harness = PolicyHarness(has_counter=False, gateways=10)
        for lower_ms in (100.0, 1900.0, 100.0):
            top_ms = min(lower_ms, 700.0)
            for number in range(60):
                request = harness.request(LOWER, 0.1, 1000 + number)
                if request in harness.attempted_endpoints:
                    harness.end_attempt(request, duration_ms=lower_ms)
                harness.end_attempt(harness.request(TOP, 0.1, 2000 + number), duration_ms=top_ms)
                harness.advance()
            lower = self.admitted_of_ten(harness, LOWER, top_ms)
            top = self.admitted_of_ten(harness, TOP, top_ms)
            harness.trace = [line for line in harness.trace if "--" in line or "log: back" in line]
            text = f"{top} of 10 of the top class are admitted, {lower} of the other"
            harness.note(f"answers in {lower_ms:.0f} ms: {text}")
        self.assert_trace(harness, "load-shedding")

    def admitted_of_ten(self, harness: PolicyHarness, request_class: int, duration_ms: float) -> int:
        """How many of ten requests at once are admitted."""
        requests = [harness.request(request_class, 0.1, 100 + customer) for customer in range(10)]
        admitted = sum(request in harness.attempted_endpoints for request in requests)
        for request in [r for r in harness.attempted_endpoints if r in harness.engine.pending]:
            harness.end_attempt(request, duration_ms=duration_ms)
        return admitted
