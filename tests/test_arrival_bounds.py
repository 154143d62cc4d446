"""Bounds of the arrival of bytes: heartbeats, the accept queue, pauses of reading, the kernel's record."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
import time
import unittest
from unittest import mock

import uvloop

from drumgw.gateway.accept_queue import AcceptQueue
from drumgw.gateway.clock import MonotonicClock, StallAwareClock
from drumgw.gateway.socket_watch import SocketWatch
from drumgw.gateway.tcp_info import ReceiveAges

LISTENER = 7


class ManualClock:
    """A `StallAwareClock` whose time, stalls and heartbeats the test sets."""

    def __init__(self) -> None:
        self.monotonic_s = 1000.0
        with mock.patch("time.time", lambda: 1000.0), mock.patch("time.monotonic", lambda: 1000.0):
            self.loop = mock.Mock()
            self.clock = StallAwareClock(MonotonicClock(), self.loop)

    def run(self, seconds: float, heartbeat: bool = True) -> None:
        """Advances the time, followed by a heartbeat and what the loop calls before its next poll."""
        self.monotonic_s += seconds
        if heartbeat:
            self.clock.start_heartbeat()
            self.loop.call_soon.call_args.args[0]()


class ArrivalBoundCase(unittest.TestCase):
    """A test with a manual clock; times are in milliseconds after its start."""

    def setUp(self) -> None:
        """Starts the clock with a few heartbeats on time."""
        self.manual = ManualClock()
        self.clock = self.manual.clock
        self.enterContext(mock.patch("time.monotonic", lambda: self.manual.monotonic_s))
        self.run_ms(100.0, 100.0, 100.0)

    def run_ms(self, *intervals_ms: float) -> None:
        for interval_ms in intervals_ms:
            self.manual.run(interval_ms / 1000.0)

    def stall(self, duration_ms: float) -> None:
        """Lets time pass without a heartbeat."""
        self.manual.run(duration_ms / 1000.0, heartbeat=False)

    def after_start_ms(self, at_ms: float) -> int:
        return round(at_ms - 1000.0 * 1000.0)

    def earliest_ms(self, source: StallAwareClock | SocketWatch) -> int:
        return self.after_start_ms(source.earliest_arrival_ms(self.clock.now()))


class HeartbeatTest(ArrivalBoundCase):
    """The bound for sockets that the event loop watches all the time."""

    def test_without_a_stall_bytes_are_new(self) -> None:
        self.stall(115.0)
        self.assertEqual(self.earliest_ms(self.clock), 415)

    def test_after_a_stall_bytes_may_be_as_old_as_the_heartbeat_before_the_last(self) -> None:
        self.stall(700.0)
        self.assertEqual(self.earliest_ms(self.clock), 200)

    def test_bytes_are_new_again_after_two_heartbeats(self) -> None:
        self.stall(700.0)
        self.run_ms(0.0)
        self.assertEqual((self.earliest_ms(self.clock), self.clock.may_have_unread_bytes()), (300, True))
        delay_s, heartbeat = self.manual.loop.call_later.call_args.args
        self.assertLess(delay_s, 0.01)
        self.assertEqual(heartbeat, self.clock.start_heartbeat)
        self.run_ms(delay_s * 1000.0)
        self.assertEqual((self.earliest_ms(self.clock), self.clock.may_have_unread_bytes()), (1001, False))
        self.assertAlmostEqual(self.manual.loop.call_later.call_args.args[0], 0.1)

    def test_stall_between_the_two_heartbeats(self) -> None:
        self.stall(700.0)
        self.run_ms(0.0)
        self.stall(500.0)
        self.run_ms(0.0)
        self.assertEqual(self.earliest_ms(self.clock), 1000)


class LoopTest(unittest.TestCase):
    """The bound on the event loops that gateways and tests run on."""

    def test_bytes_are_never_newer_than_their_arrival(self) -> None:
        """Each iteration after a stall takes so long that all timers are due when the loop runs them.

        Bytes that arrive in that time are read in the next iteration. Two heartbeats that run one after the
        other, without a poll between them, must not make these bytes new.
        """
        for factory in (uvloop.new_event_loop, asyncio.new_event_loop):
            loop = factory()
            try:
                self.check_bound(loop)
            finally:
                loop.close()

    def check_bound(self, loop: asyncio.AbstractEventLoop) -> None:
        clock = StallAwareClock(MonotonicClock(), loop)
        pairs = [socket.socketpair() for _ in range(6)]
        written_at_ms = [clock.now() for _ in pairs]
        ages_ms = list[float]()

        def read(n: int) -> None:
            """Checks the bound, and writes to the next socket in the middle of a stall."""
            now_ms = clock.now()
            ages_ms.append(clock.earliest_arrival_ms(now_ms) - written_at_ms[n])
            pairs[n][0].recv(1)
            time.sleep(0.15)
            if n + 1 < len(pairs):
                written_at_ms[n + 1] = clock.monotonic.now()
                pairs[n + 1][1].send(b"x")
            time.sleep(0.15)

        for n, (reader, _) in enumerate(pairs):
            loop.add_reader(reader, read, n)
        clock.start_heartbeat()
        loop.call_later(0.15, pairs[0][1].send, b"x")
        loop.run_until_complete(asyncio.sleep(2.0))
        for reader, writer in pairs:
            reader.close()
            writer.close()
        self.assertEqual(len(ages_ms), len(pairs))
        self.assertLessEqual(max(ages_ms[1:]), 0.0)


class AcceptQueueTest(ArrivalBoundCase):
    """The bound for connections that wait to be accepted."""

    def accept(self, waiting: int) -> int:
        """Accepts a connection while so many more are waiting; returns its bound."""
        poll = mock.Mock()
        poll.poll.return_value = [(LISTENER, select.POLLIN)] if waiting else []
        with mock.patch.object(self.queue, "_poll", poll):
            return self.after_start_ms(self.queue.connection_accepted(self.clock.now()))

    def setUp(self) -> None:
        """Creates a queue that is empty."""
        super().setUp()
        self.queue = AcceptQueue(self.clock)

    def test_connection_that_is_accepted_at_once_is_new(self) -> None:
        self.run_ms(50.0)
        self.assertEqual(self.accept(waiting=0), 350)

    def test_connections_that_wait_are_as_old_as_the_first_of_them(self) -> None:
        self.stall(700.0)
        bounds = list[int]()
        for waiting in (3, 2, 1, 0):
            bounds.append(self.accept(waiting))
            self.run_ms(50.0, 50.0)
        bounds.append(self.accept(waiting=0))
        self.assertEqual(bounds, [300, 300, 300, 300, 1400])

    def test_connection_is_not_older_than_the_last_time_the_queue_was_empty(self) -> None:
        self.stall(80.0)
        self.accept(waiting=0)
        self.stall(700.0)
        self.assertEqual(self.accept(waiting=0), 380)


class SocketWatchTest(ArrivalBoundCase):
    """The bound for bytes that arrived while a socket was not watched."""

    def test_connection_that_was_accepted_at_once(self) -> None:
        watch = SocketWatch(self.clock, self.clock.now(), self.clock.now())
        self.stall(10.0)
        self.assertEqual(self.earliest_ms(watch), 310)
        self.stall(700.0)
        self.assertEqual(self.earliest_ms(watch), 300)

    def test_connection_that_had_to_wait_until_two_heartbeats_have_passed(self) -> None:
        watch = SocketWatch(self.clock, self.clock.now() - 250.0, self.clock.now())
        self.run_ms(100.0, 100.0)
        self.assertEqual(self.earliest_ms(watch), 50)
        watch.resume()
        self.run_ms(50.0)
        self.assertEqual(self.earliest_ms(watch), 50)
        self.run_ms(100.0)
        self.assertEqual(self.earliest_ms(watch), 650)

    def test_pause_of_reading(self) -> None:
        watch = SocketWatch(self.clock, self.clock.now(), self.clock.now())
        self.run_ms(100.0, 100.0)
        watch.resume()  # without a pause it has no effect
        self.assertEqual(self.earliest_ms(watch), 500)
        for _ in range(2):
            watch.pause()
            self.run_ms(100.0, 100.0, 100.0)
        watch.resume()
        self.assertEqual(self.earliest_ms(watch), 500)
        self.run_ms(100.0, 100.0)
        self.assertEqual(self.earliest_ms(watch), 1300)


class ReceiveAgesTest(unittest.TestCase):
    """The kernel's record of when a socket last received data."""

    def test_age_of_the_last_data(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = socket.create_connection(listener.getsockname())
            client.sendall(b"x")
            time.sleep(0.2)
            server, _ = listener.accept()
        with client, server:
            age_ms = ReceiveAges().read_ms(server)
        assert age_ms is not None
        self.assertAlmostEqual(age_ms, 200.0, delta=100.0)

    def test_unknown_age(self) -> None:
        """On another system, on sockets other than TCP, with an old structure or with empty fields."""
        sock = mock.Mock()
        with mock.patch("sys.platform", "darwin"):
            self.assertIsNone(ReceiveAges().read_ms(sock))
        for record in (OSError, [bytes(60)], [bytes(20)]):
            sock.getsockopt.side_effect = record
            self.assertIsNone(ReceiveAges().read_ms(sock), record)

    def test_empty_fields_are_trusted_once_one_was_filled(self) -> None:
        sock, ages = mock.Mock(), ReceiveAges()
        sock.getsockopt.side_effect = [bytes(60), struct.pack("@44xIIII", 5, 0, 9, 5), bytes(60)]
        self.assertEqual([ages.read_ms(sock) for _ in range(3)], [None, 9.0, 0.0])
