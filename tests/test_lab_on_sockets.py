"""The testbed on sockets with real gateway processes: faults, interruption, gateways that do not start."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from typing import Any

from drumgw.testbed.event_log import read_event_log
from drumgw.testbed.logged_events import (
    AttemptSent,
    ClientGaveUp,
    ConnectFailed,
    ConnectionClosed,
    GatewayChanged,
    GatewayState,
    ResponseReceived,
)
from drumgw.testbed.oracle import find_violations
from drumgw.testbed.socket_runner import SocketRunner
from tests.command_line_harness import CommandLineCase
from tests.scenarios import DEFAULT_VALUES, SCENARIO_TEMPLATE, make_scenario


class SocketTestbedTest(CommandLineCase):
    """Testbed runs that start their own gateway processes."""

    def test_scenario_with_faults_and_real_gateways(self) -> None:
        """Guards against lost requests and leftover processes in a run with many faults at once.

        Gateways are restarted and killed while endpoints, counter, discovery and a zone have faults. Every
        attempt must end and every gateway process must have exited. Late responses (rule "lost") are allowed,
        as they depend on the machine's speed.
        """
        scenario = make_scenario(
            'kind = "restart"; at_s = 0.5; part = 0.5',
            'kind = "list moves"; at_s = 0.7',
            'kind = "kill"; at_s = 2.5; part = 1',
            'kind = "replace"; at_s = 1; worker = 0',
            'kind = "counter silent"; at_s = 1; for_s = 0.5',
            'kind = "zone cut"; at_s = 2; zone = "b"; for_s = 0.5',
            'kind = "resets"; at_s = 0.2; part = 1; size = 0.2; for_s = 2',
            gatekeepers=2,
            workers=4,
        )

        async def run() -> Any:
            runner = SocketRunner(scenario, 3, self.folder)
            return await runner.run(), [gateway.process for gateway in runner.gateways]

        event_log, processes = asyncio.run(run())
        self.assertTrue(all(p is not None and p.returncode is not None for p in processes))
        violations = find_violations(event_log, scenario)
        rules = {violation.rule for violation in violations}
        self.assertLessEqual(rules, {"lost"}, [str(violation) for violation in violations])
        responses = [event for event in event_log.events if isinstance(event, ResponseReceived)]
        self.assertTrue(any(response.status == 200 for response in responses))
        sent = {event.attempt_id for event in event_log.events if isinstance(event, AttemptSent)}
        end_types = ResponseReceived | ConnectionClosed | ConnectFailed | ClientGaveUp
        ended = {event.attempt_id for event in event_log.events if isinstance(event, end_types)}
        self.assertEqual(sent - ended, set())
        changes = [event for event in event_log.events if isinstance(event, GatewayChanged)]
        expected = {GatewayState.STARTED, GatewayState.STOPPING, GatewayState.ENDED, GatewayState.KILLED}
        self.assertEqual(expected - {change.state for change in changes}, set())
        self.assertEqual([change for change in changes if change.exit_code], [])

    def test_interrupted_run_leaves_no_process(self) -> None:
        """Guards against gateway processes that survive a run interrupted with Ctrl-C (SIGINT).

        The command must exit with 130, no gateway may still listen, and the event log must contain the events
        up to the interruption.
        """
        path = self.write_file(SCENARIO_TEMPLATE.format(**{**DEFAULT_VALUES, "seconds": 600}))
        out = self.folder / "out"
        event_log = out / "record.jsonl"
        process = subprocess.Popen(
            [sys.executable, "-m", "drumgw.cli", "lab", "run", path, "--out", str(out)],
            stderr=subprocess.PIPE,
            text=True,
            start_new_session=True,
        )
        self.addCleanup(process.kill)
        assert process.stderr
        while not event_log.exists() or '"begins"' not in event_log.read_text():
            self.assertIsNone(process.poll())
        process.send_signal(signal.SIGINT)
        self.assertIn("no gateway process is left running", process.stderr.read())
        process.stderr.close()
        self.assertEqual(process.wait(), 130)
        for n in range(DEFAULT_VALUES["gatekeepers"]):
            host, _, port = json.loads((out / f"n{n}.json").read_text())["listen"].partition(":")
            with socket.socket() as probe, self.assertRaises(ConnectionRefusedError):
                probe.connect((host, int(port)))
        self.assertTrue(read_event_log(str(event_log)).events)

    def test_gateway_that_never_becomes_ready_ends_the_run(self) -> None:
        """Guards against a failed gateway start being reported as a test result of the gateway.

        The gateway's program exits immediately. The command must exit with 3 (the run could not be done) and
        point to the gateway's log.
        """
        path = self.write_file(SCENARIO_TEMPLATE.format(**DEFAULT_VALUES))
        out = self.folder / "out"
        script = (
            "import sys; from drumgw.testbed import gateway_subprocess;"
            "gateway_subprocess.GATEWAY_COMMAND = (sys.executable, '-c', 'raise SystemExit(2)');"
            "from drumgw.cli.__main__ import main; main()"
        )
        result = subprocess.run(
            [sys.executable, "-c", script, "lab", "run", path, "--out", str(out)],
            capture_output=True,
            text=True,
            env={**os.environ},
        )
        self.assertEqual(result.returncode, 3, result.stderr)
        self.assertIn("was not ready in time", result.stderr)
        with contextlib.suppress(FileNotFoundError):
            self.assertIn('"crashed"', (out / "record.jsonl").read_text())
