"""The decisions of one gateway about requests and endpoints: retries, selection, health and load.

Most tests run a sequence of events and compare the decisions with a readable trace in `tests/traces/`.
"""

from __future__ import annotations

from drumgw.model.events import ClientDisconnected, EndpointStatus, EndpointsUpdated, Outcome
from tests.harness import (
    HIGH_PRIORITY,
    IDEMPOTENT_CLASS,
    KEYED_IN_ZONE_CLASS,
    LOW_PRIORITY,
    PolicyHarness,
    TraceCase,
)


class RetryTest(TraceCase):
    """Which requests are retried, and their final answer."""

    def test_not_idempotent(self) -> None:
        """Guards against running a non-idempotent request twice.

        After a failure or a time-out it may have run, so it must fail. If nothing ran, it is retried at other
        endpoints and finally rejected.
        """
        harness = PolicyHarness(has_counter=False)
        harness.note("may have run: fails without a retry")
        harness.end_attempt(harness.request(HIGH_PRIORITY), Outcome.FAILED)
        harness.note("timed out at its deadline: fails")
        harness.end_attempt(harness.request(HIGH_PRIORITY, time_left_ms=2000.0), Outcome.TIMED_OUT, 2000.0)
        harness.note("never ran: retried at other endpoints, finally rejected")
        request = harness.request(HIGH_PRIORITY)
        for _ in range(3):
            harness.end_attempt(request, Outcome.UNREACHABLE)
        self.assert_trace(harness, "not-idempotent")

    def test_keyed_request_stays_in_its_zone_and_window(self) -> None:
        """Guards against running a request with an idempotency key twice.

        Only the endpoints of one zone share its key, and only for 3 s. Elsewhere or later a retry would run
        again; so retries stay in the zone, and the request fails after the window.
        """
        harness = PolicyHarness(
            request_classes=(KEYED_IN_ZONE_CLASS, IDEMPOTENT_CLASS),
            endpoints=8,
            max_attempts=9,
            has_counter=False,
        )
        for wait_ms in (100.0, 4000.0):
            request = harness.request(HIGH_PRIORITY, time_left_ms=9000.0)
            harness.end_attempt(request, Outcome.BROKEN_RESPONSE)
            zones = [endpoint % 2 for endpoint in harness.attempted_endpoints[request]]
            harness.note(f"zones so far: {zones}")
            harness.now_ms += wait_ms
            harness.end_attempt(request, Outcome.BROKEN_RESPONSE)
            if wait_ms < 1000:
                harness.end_attempt(request)
        self.assert_trace(harness, "keyed-in-zone")

    def test_request_of_disconnected_client_is_cancelled_and_not_retried(self) -> None:
        """Guards against work for a client that has disconnected.

        No response is needed, so the attempt is cancelled, and the request is not retried when it ends.
        """
        harness = PolicyHarness(has_counter=False)
        request = harness.request(LOW_PRIORITY)
        harness.feed(ClientDisconnected(request))
        harness.end_attempt(request, Outcome.CANCELLED, is_final=True)
        self.assert_trace(harness, "client-disconnected")


class EndpointListTest(TraceCase):
    """Which endpoints receive requests, as the endpoint list changes."""

    def test_no_endpoint_known(self) -> None:
        harness = PolicyHarness(endpoints=0, has_counter=False)
        harness.request(HIGH_PRIORITY)
        harness.request(LOW_PRIORITY)
        self.assert_trace(harness, "no-endpoint")

    def used_endpoints(self, harness: PolicyHarness) -> list[int]:
        """Returns the endpoints that receive the requests of five customers."""
        requests = [harness.request(LOW_PRIORITY, 0.1, customer) for customer in range(5)]
        for request in requests:
            harness.end_attempt(request)
        return sorted({endpoint for r in requests for endpoint in harness.attempted_endpoints[r]})

    def test_draining_and_removed_endpoints_receive_no_requests(self) -> None:
        harness = PolicyHarness(has_counter=False)
        draining = harness.endpoint_info(0, EndpointStatus.DRAINING)
        removed = harness.endpoint_info(1, EndpointStatus.REMOVED)
        harness.feed(EndpointsUpdated(False, (draining, removed)))
        harness.note(f"endpoints used: {self.used_endpoints(harness)}")
        harness.feed(EndpointsUpdated(True, (harness.endpoint_info(3, EndpointStatus.READY),)))
        harness.note(f"endpoints used: {self.used_endpoints(harness)}")
        self.assert_trace(harness, "draining")

    def test_an_endpoint_that_warms_up_receives_fewer_requests(self) -> None:
        """Guards against sending a cold endpoint the load of a warm one, under which it would fail.

        It receives fewer requests than the others, and more as it warms up.
        """
        harness = PolicyHarness(endpoints=3, has_counter=False)
        started = harness.endpoint_info(3, EndpointStatus.READY, harness.now_ms)
        harness.feed(EndpointsUpdated(False, (started,)))
        attempts = [0, 0, 0, 0]
        for number in range(200):
            request = harness.request(LOW_PRIORITY, 0.1, number)
            attempts[harness.attempted_endpoints[request][0]] += 1
            harness.end_attempt(request)
            harness.advance()
            if number in (9, 49, 199):
                harness.note(f"attempts so far, endpoint 3 started cold: {attempts}")
        harness.trace = [line for line in harness.trace if "--" in line]
        self.assert_trace(harness, "warm-up")

    def test_gateways_spread_requests_over_the_fleet(self) -> None:
        """Guards against all gateways sending to the same endpoint.

        Fifty gateways receive three requests each from one customer, whose hash gives the same order of
        endpoints at every gateway. Without nearby subsets, all requests would go to the first of that order.
        """
        harness = PolicyHarness(endpoints=0)
        attempts: dict[int, int] = {}
        for ordinal in range(50):
            gateway = PolicyHarness(endpoints=50, has_counter=False, gateways=250, ordinal=ordinal)
            for _ in range(3):
                request = gateway.request(LOW_PRIORITY, 0.1)
                endpoint = gateway.attempted_endpoints[request][0]
                attempts[endpoint] = attempts.get(endpoint, 0) + 1
                gateway.end_attempt(request)
        most = max(attempts.values())
        harness.note(
            f"150 requests through 50 gateways: {len(attempts)} of 50 endpoints used, at most {most} each"
        )
        self.assert_trace(harness, "nearby-endpoints")


class OutlierTest(TraceCase):
    """Ejection of endpoints that fail, and trial requests."""

    def test_silent_endpoint_is_ejected_and_its_requests_go_elsewhere(self) -> None:
        """Guards against an endpoint that accepts requests but never answers, so it looks idle and healthy.

        An overdue attempt is cancelled and its request is sent elsewhere; the second one ejects the endpoint.
        """
        harness = PolicyHarness(has_counter=False)
        request = harness.request(LOW_PRIORITY, 0.1, time_left_ms=30000.0)
        harness.advance(2200)
        harness.note("cancelled; retried at another endpoint, where it succeeds")
        harness.end_attempt(request, Outcome.CANCELLED)
        harness.end_attempt(request)
        harness.note("second overdue attempt there: the endpoint is ejected for this class")
        harness.request(LOW_PRIORITY, 0.1, time_left_ms=30000.0)
        harness.advance(2200)
        self.assert_trace(harness, "silent-endpoint")

    def test_responses_that_break_at_all_endpoints_alike_eject_none(self) -> None:
        """Guards against ejecting the whole fleet when the network breaks connections to all endpoints.

        Each broken response looks like a failure of its endpoint. Only an endpoint with clearly more broken
        responses than the others is ejected.
        """
        harness = PolicyHarness(has_counter=False)
        harness.note("one broken response: no endpoint is ejected")
        harness.end_attempt(harness.request(HIGH_PRIORITY, 0.1), Outcome.BROKEN_RESPONSE)
        harness.note("two of every eight responses broken, at any endpoint: none is ejected")
        for number in range(40):
            is_broken = number % 8 < 2
            outcome = Outcome.BROKEN_RESPONSE if is_broken else Outcome.SUCCEEDED
            harness.end_attempt(harness.request(HIGH_PRIORITY, 0.1, customer=number), outcome)
        harness.note("all responses of one endpoint broken: it is ejected")
        for number in range(40):
            request = harness.request(HIGH_PRIORITY, 0.1, customer=number)
            is_broken = harness.attempted_endpoints[request][-1] == 2
            harness.end_attempt(request, Outcome.BROKEN_RESPONSE if is_broken else Outcome.SUCCEEDED)
        harness.trace = [line for line in harness.trace if "forward" not in line and "fail " not in line]
        self.assert_trace(harness, "broken-responses")

    def test_an_endpoint_that_fails_one_class_serves_the_other(self) -> None:
        """Guards against ejecting an endpoint for all classes when it fails only one of them.

        It is ejected for that class only; when the ejection ends, a single trial request is sent.
        """
        harness = PolicyHarness(endpoints=2, has_counter=False, warm_up_ms=0.0)
        for customer in range(12):
            request = harness.request(HIGH_PRIORITY, 0.1, customer)
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
        harness.note(f"endpoint 0 failed the top class; sent to endpoints 0, 1: {top}, lower class {lower}")
        harness.advance(16000)
        requests = [harness.request(HIGH_PRIORITY, 0.1, customer) for customer in range(6)]
        trials = [harness.attempted_endpoints[request] for request in requests].count([0])
        harness.trace = [line for line in harness.trace if "forward" not in line]
        harness.note(f"its ejection is over: of 6 concurrent requests it receives {trials}")
        self.assert_trace(harness, "class-health")

    def attempts_at(self, harness: PolicyHarness, endpoint: int, request_class: int, first: int) -> int:
        """Sends one successful request for each of 20 customers; returns how many go to an endpoint."""
        attempts = 0
        for customer in range(first, first + 20):
            request = harness.request(request_class, 0.1, customer)
            attempts += harness.attempted_endpoints[request][0] == endpoint
            harness.end_attempt(request)
        return attempts

    def test_requests_that_are_not_idempotent_avoid_an_endpoint_that_failed_another_class(self) -> None:
        """Guards against failing non-idempotent requests at an endpoint that already failed another class.

        The idempotent request that failed there is retried at no loss, but a non-idempotent one cannot be.
        These avoid the endpoint until a trial request of the other class has succeeded.
        """
        harness = PolicyHarness(has_counter=False)
        failed = harness.request(LOW_PRIORITY, 0.1)
        failing = harness.attempted_endpoints[failed][0]
        harness.end_attempt(failed, Outcome.FAILED)
        harness.end_attempt(failed)
        received = self.attempts_at(harness, failing, HIGH_PRIORITY, first=2)
        harness.note(
            f"endpoint {failing} failed the lower class; it receives {received} of 20 non-idempotent requests"
        )
        harness.advance(17000)
        received = self.attempts_at(harness, failing, HIGH_PRIORITY, first=2)
        harness.note(f"its ejection is over, without a trial yet: {received}")
        trial_attempts = self.attempts_at(harness, failing, LOW_PRIORITY, first=22) + self.attempts_at(
            harness, failing, LOW_PRIORITY, first=42
        )
        self.assertGreater(trial_attempts, 0)
        received = self.attempts_at(harness, failing, HIGH_PRIORITY, first=2)
        harness.note(f"a trial succeeded: {received}")
        harness.trace = [line for line in harness.trace if "--" in line or "ejected" in line]
        self.assert_trace(harness, "not-idempotent-avoids-suspected")

    def test_own_stall_does_not_count_against_endpoints(self) -> None:
        """Guards against counting a stall of this process as latency of endpoints.

        The process does not run for 8 s, so responses that arrived in time are read late. They must not count
        as late, nor their attempts as overdue. From then on, only requests with enough time left for
        such a stall wait for the counter.
        """
        harness = PolicyHarness(has_counter=False)
        requests = [
            harness.request(LOW_PRIORITY, 0.1, customer, time_left_ms=30000.0) for customer in range(6)
        ]
        harness.note("this process stalls for 8 s; the responses are read late")
        harness.now_ms += 8000
        for request in requests:
            harness.end_attempt(request, duration_ms=8000.0)
        harness.advance(200)
        late_share = harness.engine.back_end.overload.late_share
        needed_ms = harness.engine.counter_poller.min_time_left_to_wait_ms
        harness.note(
            f"late share {late_share:.2f}; a request waits for a total with over {needed_ms:.0f} ms left"
        )
        self.assert_trace(harness, "stall")

    def test_stall_is_excluded_from_the_age_of_attempts_in_flight(self) -> None:
        """Guards against cancelling attempts whose responses have arrived but are not read yet.

        The process does not run for 8 s, and its timer fires before the responses are read. By the clock all
        attempts are overdue then, but no attempt may be cancelled and no endpoint may be suspected.
        """
        harness = PolicyHarness(has_counter=False)
        for customer in range(6):
            harness.request(LOW_PRIORITY, 0.1, customer, time_left_ms=30000.0)
        forwarded = list(harness.trace)
        harness.now_ms += 8000
        harness.advance()
        self.assertEqual(harness.trace, forwarded)
        self.assertEqual(harness.engine.back_end.limit.overdue, 0)


class LoadTest(TraceCase):
    """The concurrency limit and load shedding."""

    def test_limit_is_high_while_no_answer_is_late(self) -> None:
        """Guards against rejecting a burst of the lower class while endpoints have capacity.

        A limit derived from the completion rate alone would reject it.
        """
        harness = PolicyHarness(has_counter=False)
        for customer in range(16):
            harness.request(LOW_PRIORITY, 0.1, customer=customer)
        self.assert_trace(harness, "limit-without-late-answers")

    def test_late_answers_shed_the_lower_class_first(self) -> None:
        """Guards against rejecting the top class while the lower class is admitted.

        The back end slows down, then recovers. While answers are late, more requests of the lower class are
        rejected than of the top class.
        """
        harness = PolicyHarness(has_counter=False, gateways=10)
        for lower_ms in (100.0, 1900.0, 100.0):
            top_ms = min(lower_ms, 700.0)
            for number in range(60):
                request = harness.request(LOW_PRIORITY, 0.1, 1000 + number)
                if request in harness.attempted_endpoints:
                    harness.end_attempt(request, duration_ms=lower_ms)
                harness.end_attempt(harness.request(HIGH_PRIORITY, 0.1, 2000 + number), duration_ms=top_ms)
                harness.advance()
            lower = self.admitted_of_ten(harness, LOW_PRIORITY, top_ms)
            top = self.admitted_of_ten(harness, HIGH_PRIORITY, top_ms)
            harness.trace = [line for line in harness.trace if "--" in line or "log: back" in line]
            admitted = f"admitted of 10: top class {top}, lower class {lower}"
            harness.note(f"answers in {lower_ms:.0f} ms: {admitted}")
        self.assert_trace(harness, "load-shedding")

    def admitted_of_ten(self, harness: PolicyHarness, request_class: int, duration_ms: float) -> int:
        """Sends ten requests at once; returns how many are admitted."""
        requests = [harness.request(request_class, 0.1, 100 + customer) for customer in range(10)]
        admitted = sum(request in harness.attempted_endpoints for request in requests)
        for request in [r for r in harness.attempted_endpoints if r in harness.engine.pending]:
            harness.end_attempt(request, duration_ms=duration_ms)
        return admitted
