"""The client of the shared counter, on sockets; time, timers and invariants."""

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
    """Calls to the shared counter: each is reported once, in the order of its key."""

    async def begin_counting(self, answer: Any) -> ScriptedServer:
        """A gateway whose counter is the test's; what it hears of totals goes to heard."""
        counter = await self.start_server(answer)
        family = {"counter": True, "countWaitMs": 60000.0}
        gateway = await self.open_gateway(settings=raw_settings(familyInfo=family), counter=counter.address)
        self.heard: list[tuple[int, Outcome, float]] = []

        def total(now: float, name: int, end: Outcome, total: float, took: float) -> list[Any]:
            self.heard.append((name, end, total))
            return []

        patch = mock.patch.object(gateway.dispatcher.lifecycle, "counter_replied", total)
        patch.start()
        self.addCleanup(patch.stop)
        assert gateway.counter
        self.call = gateway.counter.call
        return counter

    async def until_heard(self, count: int) -> list[tuple[int, Outcome, float]]:
        while len(self.heard) < count:
            await asyncio.sleep(0.001)
        return self.heard

    async def test_calls_of_a_name_are_written_behind_each_other(self) -> None:
        """Guards the quota: a spend told only after all reads before it were answered came too late."""
        first: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        answers = [first, http_response(b"2"), http_response(status=503), http_response(b"what"), b""]
        counter = await self.begin_counting(lambda head, body: answers.pop(0))
        counter.pipelined = True
        for n in range(5):
            self.call(AddToCounter(5, -2.5 + n, 4000.0))
        while len(counter.requests) < 5:
            await asyncio.sleep(0.001)
        self.assertEqual((self.heard, len(counter.connections)), ([], 1))
        first.set_result(http_response(b"-1.5"))
        self.assertEqual(
            await self.until_heard(5),
            [
                (5, Outcome.SUCCEEDED, -1.5),
                (5, Outcome.SUCCEEDED, 2.0),
                (5, Outcome.REJECTED, 0.0),
                (5, Outcome.TIMED_OUT, 0.0),
                (5, Outcome.TIMED_OUT, 0.0),
            ],
        )
        self.assertEqual(counter.requests[0][0].split()[1], b"/counters/5?by=-2.5&expire_ms=4000")
        gateway = self.gateway.counter
        assert gateway
        self.assertEqual((gateway.queues, gateway.connections, gateway.calls_in_flight), ({}, set(), 0))

    async def test_a_late_total_reaches_nobody_and_order_is_kept(self) -> None:
        """Guards the books: one call is never answered in time, and the next must not be given its total."""
        first: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        answers = [first, http_response(b"7.5"), http_response(b"8")]
        counter = await self.begin_counting(lambda head, body: answers.pop(0))
        counter.pipelined = True
        self.call(AddToCounter(5, 1.0, 4000.0))
        self.call(AddToCounter(5, 1.0, 4000.0))
        while len(counter.requests) < 2:
            await asyncio.sleep(0.001)
        gateway = self.gateway.counter
        assert gateway
        queue = gateway.queues[5]
        late, _ = queue.calls
        assert queue.connection
        gateway.time_out(late, queue.connection)
        self.call(AddToCounter(5, 1.0, 4000.0))  # on another lane; answered first, told in its turn
        while len(counter.requests) < 3 or len(counter.connections) < 2:
            await asyncio.sleep(0.001)
        self.assertEqual(self.heard, [(5, Outcome.TIMED_OUT, 0.0)])
        first.set_result(http_response(b"99"))
        self.assertEqual(
            await self.until_heard(3),
            [(5, Outcome.TIMED_OUT, 0.0), (5, Outcome.SUCCEEDED, 7.5), (5, Outcome.SUCCEEDED, 8.0)],
        )

    async def test_the_counter_moves_and_calls_out_end_where_they_were_asked(self) -> None:
        """SIGHUP: the old address still answers what it has; nothing new goes there."""
        first: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        old, new = (
            await self.begin_counting(lambda *came: first),
            await self.start_server(http_response(b"8")),
        )
        self.call(AddToCounter(5, 1.0, 4000.0))
        while not old.requests:
            await asyncio.sleep(0.001)
        self.reload(counter=new.address)
        self.call(AddToCounter(6, 1.0, 4000.0))
        self.assertEqual(await self.until_heard(1), [(6, Outcome.SUCCEEDED, 8.0)])
        first.set_result(http_response(b"7"))
        self.assertEqual((await self.until_heard(2))[1], (5, Outcome.SUCCEEDED, 7.0))
        await asyncio.wait_for(old.disconnected.wait(), 10)
        self.assertEqual((len(old.requests), len(new.requests)), (1, 1))

    async def test_a_total_that_is_no_number_ends_its_connection(self) -> None:
        """Guards the books: it was added; the calls behind it were written, and may have been."""
        for spoilt in (
            http_response(b"what"),
            http_response(b"nan"),
            b"\x00noise",
            http_response(status=500),
        ):
            answers = [spoilt, http_response(b"2"), http_response(b"3")]
            counter = await self.begin_counting(lambda head, body: answers.pop(0))  # noqa: B023
            for name in (5, 5, 5):
                self.call(AddToCounter(name, 1.0, 4000.0))
            self.assertEqual(await self.until_heard(3), [(5, Outcome.TIMED_OUT, 0.0)] * 3)
            await asyncio.wait_for(counter.disconnected.wait(), 10)
            await self.close_gateway()

    async def test_a_connection_that_the_counter_closes_takes_no_more_calls(self) -> None:
        """Guards the books: calls written on it would be unsure. The stand-in itself keeps it open."""
        counter = await self.begin_counting(http_response(b"1", Connection="close"))
        for heard in (1, 2):
            self.call(AddToCounter(5, 1.0, 4000.0))
            self.assertEqual((await self.until_heard(heard))[-1], (5, Outcome.SUCCEEDED, 1.0))
        self.assertEqual(len(counter.connections), 2)

    async def test_a_refused_connection_adds_nothing(self) -> None:
        counter = await self.begin_counting(http_response(b"1"))
        counter.server.close()
        await counter.server.wait_closed()
        self.call(AddToCounter(5, 1.0, 4000.0))
        self.assertEqual(await self.until_heard(1), [(5, Outcome.UNREACHABLE, 0.0)])


class SmallPartsTest(unittest.TestCase):
    """Time, timers and invariants without a gateway round them."""

    def test_time_is_unix_time_and_never_steps_back(self) -> None:
        with mock.patch("time.time", return_value=1000.0), mock.patch("time.monotonic", return_value=5.0):
            clock = MonotonicClock()
        with mock.patch("time.time", return_value=1.0), mock.patch("time.monotonic", return_value=7.0):
            self.assertEqual((clock.now(), clock.loop_time(1002000.0)), (1002000.0, 7.0))

    def test_a_late_beat_is_our_stall_and_a_late_timer_lets_answers_be_read(self) -> None:
        """Guards endpoints and counter: answers that lay unread in a stall would count as late."""
        at, loop, rang = [1000.0], mock.Mock(), list[float]()
        with mock.patch("time.time", lambda: 1.0), mock.patch("time.monotonic", lambda: at[0]):
            clock = StallAwareClock(MonotonicClock(), loop)
            timer = clock.call_at(clock.now() + 150.0, lambda: rang.append(at[0]))
            at[0] += 0.1
            clock.start_heartbeat()
            self.assertEqual((clock.stalled_ms, clock.recent_stall_ms), (0.0, 0.0))
            at[0] += 0.6  # 500 ms later than the beat was due
            timer.fire()
            self.assertEqual((round(clock.stalled_ms), round(clock.recent_stall_ms), rang), (500, 500, []))
            (_, past, stood), (_, call) = (c.args for c in loop.call_later.call_args_list[-2:])
            call()
            past(stood)
            self.assertEqual((rang, round(clock.stalled_ms), clock.recent_stall_ms), ([at[0]], 500, 0.0))
            clock.start_heartbeat()
            at[0] += 0.1
            clock.call_at(clock.now(), lambda: rang.append(at[0])).fire()
            self.assertEqual((len(rang), round(clock.stalled_ms)), (2, 500))

    def test_an_invariant_asserts_in_debug_and_is_counted_in_release(self) -> None:
        invariant(True, "holds")
        with self.assertRaisesRegex(AssertionError, "what"):
            invariant(False, "what")
        story = (
            "from drumgw.gateway import invariants as i; [i.invariant(False, 'odd') for _ in range(3)];"
            " print(dict(i.violations))"
        )
        out = subprocess.run([sys.executable, "-O", "-c", story], capture_output=True, text=True, check=True)
        self.assertEqual((out.stdout.strip(), out.stderr.count("invariant broken")), ("{'odd': 3}", 2))
