"""A gateway's shutdown, reload and unusable configurations; its endpoint list on sockets."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import signal
import socket
import sys
import tempfile
from typing import Any
from unittest import mock

from drumgw import __main__ as program
from drumgw.gateway.process_config import ConfigError
from drumgw.model.events import EndpointStatus, Outcome
from tests.gateway_case import (
    EMPTY_LIST,
    ENDLESS_WARM_UP,
    GatewayCase,
    endpoint_row,
    http_request,
    load_config,
    raw_config,
    raw_settings,
)
from tests.scripted_server import http_response, read_message


class ShutdownTest(GatewayCase):
    """SIGTERM, SIGHUP and configurations that cannot be used."""

    async def test_sigterm_serves_on_then_finishes_what_is_in_hand(self) -> None:
        held: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        endpoint = await self.start_server(lambda head, body: held)
        await self.open_gateway(endpoint.address)
        (ready, idle), (reader, busy) = await self.connect(), await self.connect()
        idle.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b" 200 ", (await read_message(ready))[0])
        busy.write(http_request(Request_Timeout="60000m"))
        while not endpoint.requests:
            await asyncio.sleep(0.001)
        closing = asyncio.create_task(self.gateway.close())
        await asyncio.sleep(0)
        self.assertEqual((await self.send_request("/health/ready"))[0], 503)
        late, later = await self.connect()
        later.write(
            http_request(Request_Timeout="60000m", Request_Id="9b20")
        )  # comes after SIGTERM, and is taken
        self.assertEqual(await ready.read(), b"")  # the idle connection is closed by and by
        held.set_result(http_response(b"ok"))
        for line in (reader, late):
            head, answer = await read_message(line)
            self.assertEqual((answer, b"Connection: close" in head), (b"ok", True))
        await closing
        self.gateway.close = mock.AsyncMock()  # type: ignore[method-assign]

    async def test_a_sighup_before_it_serves_is_heeded_and_one_at_the_end_ends_nothing(self) -> None:
        """Guards restarts beside new configurations: its default would end the process as by a crash."""
        discovery = await self.start_server(EMPTY_LIST)
        text, loop = json.dumps(raw_config(discovery.address, [])).encode(), asyncio.get_running_loop()
        story = (
            "import os, runpy, signal\n"
            "try: runpy.run_module('drumgw', run_name='__main__')\n"
            "finally:\n"
            "    for number in (signal.SIGHUP, signal.SIGTERM): os.kill(os.getpid(), number)\n"
            "    print('it lives')"
        )
        with tempfile.TemporaryDirectory() as folder:
            pipe = os.path.join(folder, "config")
            os.mkfifo(pipe)  # holds the start until we have written

            def write(number: int | None) -> None:
                with open(pipe, "wb") as file:
                    if number is not None:
                        os.kill(number, signal.SIGHUP)
                    file.write(text)

            run = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-c",
                story,
                env={**os.environ, "GW_CONFIG": pipe},
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            assert run.stderr and run.stdout
            await loop.run_in_executor(None, write, run.pid)
            while b" serves at " not in (line := await run.stderr.readline()):  # the first reading is over
                self.assertTrue(line, "it ended early")
            await loop.run_in_executor(None, write, None)
            while b"SIGHUP: discovery" not in (line := await run.stderr.readline()):
                self.assertTrue(line, "it ended early")
            run.terminate()
            self.assertEqual((await run.stdout.read(), await run.wait()), (b"it lives\n", 0))

    async def test_run_ends_with_0_on_sigterm_and_2_on_a_bad_configuration(self) -> None:
        discovery = await self.start_server(EMPTY_LIST)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(raw_config(discovery.address, []), file)
            file.flush()
            run = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "drumgw",
                env={**os.environ, "GW_CONFIG": file.name},
                stderr=asyncio.subprocess.PIPE,
            )
            assert run.stderr
            while b" serves at " not in (line := await run.stderr.readline()):
                self.assertTrue(line, "it ended early")
            run.send_signal(signal.SIGHUP)  # its default is to end the process
            while b"SIGHUP: discovery" not in (line := await run.stderr.readline()):
                self.assertTrue(line, "it ended early")
            run.terminate()
            self.assertIn(b"0 unfinished", await run.stderr.read())
            self.assertEqual(await run.wait(), 0)
        for env in ({}, {"GW_CONFIG": "/nowhere"}, {"GW_CONFIG": __file__}):
            with mock.patch.dict(os.environ, env), contextlib.redirect_stderr(io.StringIO()) as said:
                self.assertEqual(program.main(), 2)
            self.assertEqual(said.getvalue().count("\n"), 1)
        bad: dict[str, Any]
        for bad in ({"known": {"instances": 5}}, {"listen": self.place_taken()}):
            with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
                json.dump({**raw_config("127.0.0.1:1", []), **bad}, file)
                file.flush()
                run = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "drumgw",
                    env={**os.environ, "GW_CONFIG": file.name},
                    stderr=asyncio.subprocess.PIPE,
                )
                _, line = await run.communicate()
            self.assertEqual((run.returncode, line.count(b"\n"), line[:8]), (2, 1, b"drumgw: "), line)
        for bad in (
            {"listen": "x"},
            {"settings": {}},
            {"settings": raw_settings(contract=ENDLESS_WARM_UP)},
            {"limits": {"sockets": 20}},
            {"seed": "?"},
        ):
            with self.assertRaises(ConfigError):
                load_config({**raw_config("127.0.0.1:1", []), **bad})

    def place_taken(self) -> str:
        taken = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        return "{}:{}".format(*taken.getsockname())


class EndpointListTest(GatewayCase):
    """What a changed endpoint list does to connections and attempts."""

    async def test_the_list_is_watched_without_a_gap_and_drains_are_passed_on(self) -> None:
        news: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        asked: list[bytes] = []

        async def watch(head: bytes, body: bytes) -> bytes:
            asked.append(head.split()[1])
            return http_response(json.dumps(await news.get()).encode())

        gateway = await self.open_gateway("127.0.0.1:1", "127.0.0.1:2", watch=watch)
        listed = gateway.discovery.membership.rows

        def states() -> dict[str, EndpointStatus]:
            return {name: row.info.status for name, row in listed.items()}

        rows = [
            endpoint_row("s-0", "127.0.0.1:1", "draining"),
            endpoint_row("s-1", "127.0.0.1:2", "removed"),
            {"instanceId": "s-odd"},
            endpoint_row("s-odd", "127.0.0.1:1", "upside down"),
            endpoint_row("s-odd", "127.0.0.1:1", startedAtMs=float("nan")),
            endpoint_row("s-2", "127.0.0.1:3"),
        ]
        news.put_nowait({"generation": 2, "reset": False, "instances": rows})
        while len(asked) < 2:
            await asyncio.sleep(0.001)
        self.assertEqual(states(), {"s-0": EndpointStatus.DRAINING, "s-2": EndpointStatus.READY})
        self.assertEqual(
            [w.accepts_attempts for w in gateway.endpoint_clients.clients.values()], [False, True]
        )
        self.assertLessEqual(int(asked[0].split(b"timeout_ms=")[1]), 1000)  # a lost watch is asked again soon
        news.put_nowait({"generation": 3, "reset": True, "instances": rows[5:]})
        while len(asked) < 3:
            await asyncio.sleep(0.001)
        self.assertEqual(states(), {"s-2": EndpointStatus.READY})
        self.assertEqual(
            [target.split(b"&")[0].split(b"?")[1] for target in asked], [b"since=1", b"since=2", b"since=3"]
        )

    async def test_the_watch_goes_on_at_the_new_address_at_once(self) -> None:
        """SIGHUP: the old discovery keeps its call; an unusable configuration moves nothing."""
        asked = asyncio.Event()
        news = {"generation": 2, "reset": False, "instances": [endpoint_row("s-1", "127.0.0.1:2")]}
        answers = [http_response(json.dumps(news).encode())]
        new = await self.start_server(lambda *came: answers.pop() if answers else None)
        gateway = await self.open_gateway("127.0.0.1:1", watch=lambda *came: asked.set())
        await asked.wait()
        with mock.patch("drumgw.gateway.process.logger") as log:
            self.reload(discovery="nowhere")
            self.assertIn("old configuration stands", log.warning.call_args[0][0])
        self.assertEqual((len(new.requests), list(gateway.discovery.membership.rows)), (0, ["s-0"]))
        self.reload(discovery=new.address)
        while len(new.requests) < 2:
            await asyncio.sleep(0.001)
        self.assertIn(b"?since=1&", new.requests[0][0])
        self.assertEqual(list(gateway.discovery.membership.rows), ["s-0", "s-1"])

    async def test_a_list_that_cannot_be_read_leaves_the_last(self) -> None:
        answers = [
            http_response(b"{]"),
            http_response(status=503),
            http_response(
                json.dumps(
                    {"generation": 9, "reset": True, "instances": [endpoint_row("s-9", "127.0.0.1:9")]}
                ).encode()
            ),
        ]
        gateway = await self.open_gateway(
            "127.0.0.1:1", watch=lambda *came: answers.pop(0) if answers else None
        )
        self.assertEqual(list(gateway.discovery.membership.rows), ["s-0"])
        while "s-9" not in gateway.discovery.membership.rows:
            await asyncio.sleep(0.001)

    async def test_a_drain_stops_what_was_not_written_yet(self) -> None:
        """Guards the drain: a attempt that waits for its connection would be sent after the grace."""
        gateway = await self.open_gateway("127.0.0.1:1")
        number = next(iter(gateway.endpoint_clients.clients))
        up: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        with mock.patch.object(gateway.endpoint_clients.pool.connector, "connect", lambda *args: up):
            _, writer = await self.connect()
            writer.write(http_request())
            while not gateway.endpoint_clients.in_flight:
                await asyncio.sleep(0.001)
            gateway.endpoint_clients.drain(number, gone=False)
        self.assertEqual(
            (gateway.endpoint_clients.in_flight, gateway.dispatcher.lifecycle.in_flight), ({}, {})
        )

    async def test_a_connect_time_that_ran_out_in_our_own_stall_is_no_fault_of_the_endpoint(self) -> None:
        gateway = await self.open_gateway("127.0.0.1:1")
        outcomes, stalls = list[Outcome](), [0.0, 300.0]

        async def connect(*args: Any) -> Any:
            gateway.clock.stalled_ms += stalls.pop(0)
            raise TimeoutError

        def ended(now: float, request_id: int, attempt: int, outcome: Outcome, *rest: Any) -> list[Any]:
            outcomes.append(outcome)
            return []

        with (
            mock.patch.object(gateway.endpoint_clients.pool.connector, "connect", connect),
            mock.patch.object(gateway.clock, "now", gateway.clock.monotonic.now),
            mock.patch.object(gateway.dispatcher.lifecycle, "attempt_ended", ended),
        ):
            for _ in range(2):
                await self.send_request(Request_Timeout="50m")
        self.assertEqual(outcomes, [Outcome.UNREACHABLE, Outcome.NOT_SENT])
