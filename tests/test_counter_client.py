"""The client of the shared counter, over sockets; the gateway's clock, timers and invariants."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import unittest
from typing import Any
from unittest import mock

from drumgw.gateway.clock import MonotonicClock, StallAwareClock
from drumgw.gateway.invariants import invariant
from drumgw.model.actions import AddToCounter
from drumgw.model.events import Outcome
from tests.gateway_case import (
    GatewayCase,
    raw_settings,
)
from tests.scripted_server import ScriptedServer, http_response


class CounterClientTest(GatewayCase):
    """Calls to the shared counter: each outcome is reported once, in the order of the calls for its key."""

    async def open_counter_gateway(self, reply: Any) -> ScriptedServer:
        """Opens a gateway that uses a scripted counter; records the outcomes of calls in `self.results`."""
        counter = await self.start_server(reply)
        family_info = {"counter": True, "countWaitMs": 60000.0}
        gateway = await self.open_gateway(
            settings=raw_settings(familyInfo=family_info), counter=counter.address
        )
        self.results: list[tuple[int, Outcome, float]] = []

        def record_result(
            now: float, counter_key: int, outcome: Outcome, total: float, duration_ms: float
        ) -> list[Any]:
            self.results.append((counter_key, outcome, total))
            return []

        patch = mock.patch.object(gateway.dispatcher.lifecycle, "counter_replied", record_result)
        patch.start()
        self.addCleanup(patch.stop)
        assert gateway.counter
        self.call = gateway.counter.call
        return counter

    async def wait_for_results(self, count: int) -> list[tuple[int, Outcome, float]]:
        while len(self.results) < count:
            await asyncio.sleep(0.001)
        return self.results

    async def test_calls_for_a_key_are_pipelined(self) -> None:
        """A call must not wait for the replies to earlier calls: it would reach the counter too late."""
        first_reply: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        replies = [first_reply, http_response(b"2"), http_response(status=503), http_response(b"what"), b""]
        counter = await self.open_counter_gateway(lambda head, body: replies.pop(0))
        counter.pipelined = True
        for n in range(5):
            self.call(AddToCounter(5, -2.5 + n, 4000.0))
        while len(counter.requests) < 5:
            await asyncio.sleep(0.001)
        self.assertEqual((self.results, len(counter.connections)), ([], 1))
        first_reply.set_result(http_response(b"-1.5"))
        self.assertEqual(
            await self.wait_for_results(5),
            [
                (5, Outcome.SUCCEEDED, -1.5),
                (5, Outcome.SUCCEEDED, 2.0),
                (5, Outcome.REJECTED, 0.0),
                (5, Outcome.TIMED_OUT, 0.0),
                (5, Outcome.TIMED_OUT, 0.0),
            ],
        )
        self.assertEqual(counter.requests[0][0].split()[1], b"/counters/5?by=-2.5&expire_ms=4000")
        counter_client = self.gateway.counter
        assert counter_client
        self.assertEqual(
            (counter_client.queues, counter_client.connections, counter_client.calls_in_flight),
            ({}, set(), 0),
        )

    async def test_reply_after_the_timeout_is_dropped_and_order_is_kept(self) -> None:
        """The late total of a call that timed out must not be taken for that of the next call of the key."""
        first_reply: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        replies = [first_reply, http_response(b"7.5"), http_response(b"8")]
        counter = await self.open_counter_gateway(lambda head, body: replies.pop(0))
        counter.pipelined = True
        self.call(AddToCounter(5, 1.0, 4000.0))
        self.call(AddToCounter(5, 1.0, 4000.0))
        while len(counter.requests) < 2:
            await asyncio.sleep(0.001)
        counter_client = self.gateway.counter
        assert counter_client
        queue = counter_client.queues[5]
        timed_out, _ = queue.calls
        assert queue.connection
        counter_client.time_out(timed_out, queue.connection)
        self.call(AddToCounter(5, 1.0, 4000.0))  # on another connection; replied to first, reported last
        while len(counter.requests) < 3 or len(counter.connections) < 2:
            await asyncio.sleep(0.001)
        self.assertEqual(self.results, [(5, Outcome.TIMED_OUT, 0.0)])
        first_reply.set_result(http_response(b"99"))
        self.assertEqual(
            await self.wait_for_results(3),
            [(5, Outcome.TIMED_OUT, 0.0), (5, Outcome.SUCCEEDED, 7.5), (5, Outcome.SUCCEEDED, 8.0)],
        )

    async def test_calls_in_flight_end_at_the_old_address_after_a_reload(self) -> None:
        """After a SIGHUP the old address still replies to the calls it has; new calls go to the new one."""
        first_reply: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        old, new = (
            await self.open_counter_gateway(lambda *request: first_reply),
            await self.start_server(http_response(b"8")),
        )
        self.call(AddToCounter(5, 1.0, 4000.0))
        while not old.requests:
            await asyncio.sleep(0.001)
        self.reload(counter=new.address)
        self.call(AddToCounter(6, 1.0, 4000.0))
        self.assertEqual(await self.wait_for_results(1), [(6, Outcome.SUCCEEDED, 8.0)])
        first_reply.set_result(http_response(b"7"))
        self.assertEqual((await self.wait_for_results(2))[1], (5, Outcome.SUCCEEDED, 7.0))
        await asyncio.wait_for(old.disconnected.wait(), 10)
        self.assertEqual((len(old.requests), len(new.requests)), (1, 1))

    async def test_reply_without_a_valid_total_closes_its_connection(self) -> None:
        """The call was added, and the calls written after it may have been: all must end as timed out."""
        for invalid_reply in (
            http_response(b"what"),
            http_response(b"nan"),
            b"\x00noise",
            http_response(status=500),
        ):
            replies = [invalid_reply, http_response(b"2"), http_response(b"3")]
            counter = await self.open_counter_gateway(lambda head, body: replies.pop(0))  # noqa: B023
            for counter_key in (5, 5, 5):
                self.call(AddToCounter(counter_key, 1.0, 4000.0))
            self.assertEqual(await self.wait_for_results(3), [(5, Outcome.TIMED_OUT, 0.0)] * 3)
            await asyncio.wait_for(counter.disconnected.wait(), 10)
            await self.close_gateway()

    async def test_connection_that_the_counter_closes_is_not_reused(self) -> None:
        """Calls written on it might or might not be added. The scripted server itself keeps it open."""
        counter = await self.open_counter_gateway(http_response(b"1", Connection="close"))
        for count in (1, 2):
            self.call(AddToCounter(5, 1.0, 4000.0))
            self.assertEqual((await self.wait_for_results(count))[-1], (5, Outcome.SUCCEEDED, 1.0))
        self.assertEqual(len(counter.connections), 2)

    async def test_refused_connection_ends_calls_as_unreachable(self) -> None:
        counter = await self.open_counter_gateway(http_response(b"1"))
        counter.server.close()
        await counter.server.wait_closed()
        self.call(AddToCounter(5, 1.0, 4000.0))
        self.assertEqual(await self.wait_for_results(1), [(5, Outcome.UNREACHABLE, 0.0)])


class ClockAndInvariantTest(unittest.TestCase):
    """Clock, timers and invariants without a running gateway."""

    def test_clock_is_unix_time_and_never_goes_back(self) -> None:
        with mock.patch("time.time", return_value=1000.0), mock.patch("time.monotonic", return_value=5.0):
            clock = MonotonicClock()
        with mock.patch("time.time", return_value=1.0), mock.patch("time.monotonic", return_value=7.0):
            self.assertEqual((clock.now(), clock.loop_time(1002000.0)), (1002000.0, 7.0))

    def test_late_heartbeat_is_a_stall_and_defers_overdue_timers(self) -> None:
        """Responses that stayed unread during a stall must not count as late for endpoints or the counter."""
        monotonic_s, loop, fired_at_s = [1000.0], mock.Mock(), list[float]()
        with mock.patch("time.time", lambda: 1.0), mock.patch("time.monotonic", lambda: monotonic_s[0]):
            clock = StallAwareClock(MonotonicClock(), loop)
            timer = clock.call_at(clock.now() + 150.0, lambda: fired_at_s.append(monotonic_s[0]))
            monotonic_s[0] += 0.1
            clock.start_heartbeat()
            self.assertEqual((clock.stalled_ms, clock.may_have_unread_bytes()), (0.0, False))
            monotonic_s[0] += 0.6  # 500 ms after the heartbeat was due
            timer.fire()
            self.assertEqual(
                (round(clock.stalled_ms), clock.may_have_unread_bytes(), fired_at_s), (500, True, [])
            )
            loop.call_later.call_args.args[1]()
            self.assertEqual(
                (fired_at_s, round(clock.stalled_ms), clock.may_have_unread_bytes()),
                ([monotonic_s[0]], 500, True),
            )
            clock.start_heartbeat()
            monotonic_s[0] += 0.1
            clock.call_at(clock.now(), lambda: fired_at_s.append(monotonic_s[0])).fire()
            self.assertEqual((len(fired_at_s), round(clock.stalled_ms)), (2, 500))

    def test_invariant_raises_in_debug_mode_and_is_counted_otherwise(self) -> None:
        invariant(True, "holds")
        with self.assertRaisesRegex(AssertionError, "what"):
            invariant(False, "what")
        program = (
            "from drumgw.gateway import invariants as i; [i.invariant(False, 'odd') for _ in range(3)];"
            " print(dict(i.violations))"
        )
        completed = subprocess.run(
            [sys.executable, "-O", "-c", program], capture_output=True, text=True, check=True
        )
        self.assertEqual(
            (completed.stdout.strip(), completed.stderr.count("invariant violated")), ("{'odd': 3}", 2)
        )
