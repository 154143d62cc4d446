"""Tests of shutdown, reload and invalid configurations, and of endpoint list updates on sockets."""

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
import time
from typing import Any
from unittest import mock

from drumgw import __main__ as program
from drumgw.gateway.discovery import DiscoveryClient
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
    """SIGTERM, SIGHUP and invalid configurations."""

    async def test_shutdown_accepts_clients_for_a_while_and_finishes_requests(self) -> None:
        held_response: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        endpoint = await self.start_server(lambda head, body: held_response)
        await self.open_gateway(endpoint.address)
        (idle_reader, idle_writer), (busy_reader, busy_writer) = await self.connect(), await self.connect()
        idle_writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b" 200 ", (await read_message(idle_reader))[0])
        busy_writer.write(http_request(Request_Timeout="60000m"))
        while not endpoint.requests:
            await asyncio.sleep(0.001)
        closing = asyncio.create_task(self.gateway.close())
        await asyncio.sleep(0)
        self.assertEqual((await self.send_request("/health/ready"))[0], 503)
        late_reader, late_writer = await self.connect()
        late_writer.write(
            http_request(Request_Timeout="60000m", Request_Id="9b20")
        )  # sent after the shutdown has begun, and accepted
        self.assertEqual(await idle_reader.read(), b"")  # the idle connection is closed
        held_response.set_result(http_response(b"ok"))
        for reader in (busy_reader, late_reader):
            head, answer = await read_message(reader)
            self.assertEqual((answer, b"Connection: close" in head), (b"ok", True))
        await closing
        self.gateway.close = mock.AsyncMock()  # type: ignore[method-assign]

    async def test_sighup_during_start_reloads_and_sighup_at_exit_is_ignored(self) -> None:
        """A SIGHUP may arrive while the gateway starts or exits.

        The default action of SIGHUP would kill the process.
        """
        discovery = await self.start_server(EMPTY_LIST)
        text, loop = json.dumps(raw_config(discovery.address, [])).encode(), asyncio.get_running_loop()
        script = (
            "import os, runpy, signal\n"
            "try: runpy.run_module('drumgw', run_name='__main__')\n"
            "finally:\n"
            "    for number in (signal.SIGHUP, signal.SIGTERM): os.kill(os.getpid(), number)\n"
            "    print('still running')"
        )
        with tempfile.TemporaryDirectory() as folder:
            pipe = os.path.join(folder, "config")
            os.mkfifo(pipe)  # reading the configuration blocks until the test writes it

            def write(number: int | None) -> None:
                with open(pipe, "wb") as file:
                    if number is not None:
                        os.kill(number, signal.SIGHUP)
                    file.write(text)

            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-c",
                script,
                env={**os.environ, "GW_CONFIG": pipe},
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            assert process.stderr and process.stdout
            await loop.run_in_executor(None, write, process.pid)
            # Once it serves, the configuration has been read for the first time.
            while b" serves at " not in (line := await process.stderr.readline()):
                self.assertTrue(line, "process exited early")
            await loop.run_in_executor(None, write, None)
            while b"SIGHUP: discovery" not in (line := await process.stderr.readline()):
                self.assertTrue(line, "process exited early")
            process.terminate()
            self.assertEqual((await process.stdout.read(), await process.wait()), (b"still running\n", 0))

    async def test_exit_code_is_0_after_sigterm_and_2_for_an_invalid_configuration(self) -> None:
        discovery = await self.start_server(EMPTY_LIST)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(raw_config(discovery.address, []), file)
            file.flush()
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "drumgw",
                env={**os.environ, "GW_CONFIG": file.name},
                stderr=asyncio.subprocess.PIPE,
            )
            assert process.stderr
            while b" serves at " not in (line := await process.stderr.readline()):
                self.assertTrue(line, "process exited early")
            process.send_signal(signal.SIGHUP)  # the default action would kill the process
            while b"SIGHUP: discovery" not in (line := await process.stderr.readline()):
                self.assertTrue(line, "process exited early")
            process.terminate()
            self.assertIn(b"0 unfinished", await process.stderr.read())
            self.assertEqual(await process.wait(), 0)
        for env in ({}, {"GW_CONFIG": "/nowhere"}, {"GW_CONFIG": __file__}):
            with mock.patch.dict(os.environ, env), contextlib.redirect_stderr(io.StringIO()) as output:
                self.assertEqual(program.main(), 2)
            self.assertEqual(output.getvalue().count("\n"), 1)
        invalid: dict[str, Any]
        for invalid in ({"known": {"instances": 5}}, {"listen": self.occupied_address()}):
            with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
                json.dump({**raw_config("127.0.0.1:1", []), **invalid}, file)
                file.flush()
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "drumgw",
                    env={**os.environ, "GW_CONFIG": file.name},
                    stderr=asyncio.subprocess.PIPE,
                )
                _, line = await process.communicate()
            self.assertEqual((process.returncode, line.count(b"\n"), line[:8]), (2, 1, b"drumgw: "), line)
        for invalid in (
            {"listen": "x"},
            {"settings": {}},
            {"settings": raw_settings(contract=ENDLESS_WARM_UP)},
            {"limits": {"sockets": 20}},
            {"seed": "?"},
        ):
            with self.assertRaises(ConfigError):
                load_config({**raw_config("127.0.0.1:1", []), **invalid})

    def occupied_address(self) -> str:
        """Returns an address that another socket listens on."""
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        return "{}:{}".format(*server.getsockname())


class EndpointListTest(GatewayCase):
    """Effects of changes of the endpoint list on connections and attempts."""

    async def test_watch_continues_after_each_update_and_drains_reach_the_clients(self) -> None:
        """Backup polls, which a slow machine would make in this test, are left out: they repeat the watch."""

        async def make_no_backup_polls(client: DiscoveryClient) -> None:
            await asyncio.Event().wait()

        self.enterContext(mock.patch.object(DiscoveryClient, "_poll_while_silent", make_no_backup_polls))
        updates: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        targets: list[bytes] = []

        async def watch(head: bytes, body: bytes) -> bytes:
            targets.append(head.split()[1])
            return http_response(json.dumps(await updates.get()).encode())

        gateway = await self.open_gateway("127.0.0.1:1", "127.0.0.1:2", watch=watch)
        membership_rows = gateway.discovery.membership.rows

        def statuses() -> dict[str, EndpointStatus]:
            return {name: row.info.status for name, row in membership_rows.items()}

        rows = [
            endpoint_row("s-0", "127.0.0.1:1", "draining"),
            endpoint_row("s-1", "127.0.0.1:2", "removed"),
            {"instanceId": "s-odd"},
            endpoint_row("s-odd", "127.0.0.1:1", "upside down"),
            endpoint_row("s-odd", "127.0.0.1:1", startedAtMs=float("nan")),
            endpoint_row("s-2", "127.0.0.1:3"),
        ]
        updates.put_nowait({"generation": 2, "reset": False, "instances": rows})
        while len(targets) < 2:
            await asyncio.sleep(0.001)
        self.assertEqual(statuses(), {"s-0": EndpointStatus.DRAINING, "s-2": EndpointStatus.READY})
        self.assertEqual(
            [client.accepts_attempts for client in gateway.endpoint_clients.clients.values()], [False, True]
        )
        self.assertLessEqual(int(targets[0].split(b"timeout_ms=")[1]), 1000)  # a lost watch is renewed soon
        updates.put_nowait({"generation": 3, "reset": True, "instances": rows[5:]})
        while len(targets) < 3:
            await asyncio.sleep(0.001)
        self.assertEqual(statuses(), {"s-2": EndpointStatus.READY})
        self.assertEqual(
            [target.split(b"&")[0].split(b"?")[1] for target in targets],
            [b"since=1", b"since=2", b"since=3"],
        )

    async def test_reload_continues_the_watch_at_the_new_address(self) -> None:
        """SIGHUP while the old discovery never answers the pending call.

        The gateway must poll the new address at once. An invalid configuration must change nothing.
        """
        is_watched = asyncio.Event()
        update = {"generation": 2, "reset": False, "instances": [endpoint_row("s-1", "127.0.0.1:2")]}
        answers = [http_response(json.dumps(update).encode())]
        new_discovery = await self.start_server(lambda *request: answers.pop() if answers else None)
        gateway = await self.open_gateway("127.0.0.1:1", watch=lambda *request: is_watched.set())
        await is_watched.wait()
        with mock.patch("drumgw.gateway.process.logger") as log:
            self.reload(discovery="nowhere")
            self.assertIn("keeping the previous configuration", log.warning.call_args[0][0])
        self.assertEqual((len(new_discovery.requests), list(gateway.discovery.membership.rows)), (0, ["s-0"]))
        self.reload(discovery=new_discovery.address)
        while len(new_discovery.requests) < 2:
            await asyncio.sleep(0.001)
        self.assertIn(b"?since=1&", new_discovery.requests[0][0])
        self.assertEqual(list(gateway.discovery.membership.rows), ["s-0", "s-1"])

    async def test_invalid_responses_keep_the_last_list(self) -> None:
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
            "127.0.0.1:1", watch=lambda *request: answers.pop(0) if answers else None
        )
        self.assertEqual(list(gateway.discovery.membership.rows), ["s-0"])
        while "s-9" not in gateway.discovery.membership.rows:
            await asyncio.sleep(0.001)

    async def test_drain_cancels_attempts_that_were_not_written_yet(self) -> None:
        """An attempt that waits for its connection could otherwise be sent after the drain grace."""
        gateway = await self.open_gateway("127.0.0.1:1")
        endpoint_id = next(iter(gateway.endpoint_clients.clients))
        connection: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        with mock.patch.object(gateway.endpoint_clients.pool.connector, "connect", lambda *args: connection):
            _, writer = await self.connect()
            writer.write(http_request())
            while not gateway.endpoint_clients.in_flight:
                await asyncio.sleep(0.001)
            gateway.endpoint_clients.drain(endpoint_id, is_removed=False)
        self.assertEqual(
            (gateway.endpoint_clients.in_flight, gateway.dispatcher.lifecycle.in_flight), ({}, {})
        )

    async def test_connect_timeout_during_a_stall_does_not_count_against_the_endpoint(self) -> None:
        gateway = await self.open_gateway("127.0.0.1:1")
        outcomes, stalls = list[Outcome](), [0.0, 300.0]

        async def connect(*args: Any) -> Any:
            gateway.clock.stalled_ms += stalls.pop(0)
            raise TimeoutError

        def attempt_ended(
            now: float, request_id: int, attempt: int, outcome: Outcome, *rest: Any
        ) -> list[Any]:
            outcomes.append(outcome)
            return []

        with (
            mock.patch.object(gateway.endpoint_clients.pool.connector, "connect", connect),
            mock.patch.object(gateway.clock, "now", gateway.clock.monotonic.now),
            mock.patch.object(gateway.dispatcher.lifecycle, "attempt_ended", attempt_ended),
        ):
            for _ in range(2):
                await self.send_request(Request_Timeout="50m")
        self.assertEqual(outcomes, [Outcome.UNREACHABLE, Outcome.NOT_SENT])

    async def test_connect_timeout_after_a_stall_counts_against_the_endpoint(self) -> None:
        """Guards against taking a stall that ended before the attempt connects for one during the attempt."""
        gateway = await self.open_gateway("127.0.0.1:1")
        outcomes = list[Outcome]()
        clients, lifecycle = gateway.endpoint_clients, gateway.dispatcher.lifecycle
        start_attempt, attempt_ended = clients.start_attempt, lifecycle.attempt_ended

        def start_and_stall(*arguments: Any) -> None:
            start_attempt(*arguments)
            time.sleep(0.3)

        def record_outcome(now: float, request_id: int, attempt: int, outcome: Outcome, *rest: Any) -> Any:
            outcomes.append(outcome)
            return attempt_ended(now, request_id, attempt, outcome, *rest)

        with (
            mock.patch.object(clients.pool.connector, "connect", side_effect=TimeoutError),
            mock.patch.object(clients, "start_attempt", start_and_stall),
            mock.patch.object(lifecycle, "attempt_ended", record_outcome),
        ):
            await self.send_request(Request_Timeout="2000m")
        self.assertEqual(outcomes[0], Outcome.UNREACHABLE)
