"""Signals between two lines of a start or an end, and settings at their edges."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

from tests.crossing_case import (
    BOUND_S,
    ONE_ATTEMPT,
    CrossingCase,
    GatewaySubprocess,
    wait_until,
)
from tests.gateway_case import (
    endpoint_row,
    http_request,
    raw_config,
    raw_settings,
)
from tests.scripted_server import http_response
from tests.test_simulator import REQUEST_CLASS


class SignalTest(CrossingCase):
    """Signals in the moments in which a default handler would end the process."""

    async def test_sigterm_during_the_imports_ends_with_0(self) -> None:
        """Its default ends the process as by a crash; here it comes between the program's own lines."""
        story = (
            "import builtins, os, runpy, signal\n"
            "real = builtins.__import__\n"
            "def called(name, *rest, **more):\n"
            "    if name == 'uvloop': os.kill(os.getpid(), signal.SIGTERM)\n"
            "    return real(name, *rest, **more)\n"
            "builtins.__import__ = called\n"
            "runpy.run_module('drumgw', run_name='__main__')"
        )
        run = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-c", story, stderr=asyncio.subprocess.PIPE
        )
        _, said = await run.communicate()
        self.assertEqual((run.returncode, said), (0, b""))

    async def test_sigterm_twice_beside_a_silent_counter_and_a_request_that_ends_last(self) -> None:
        """It serves what it has, waits for the counter as long as for a call, and exits with 0."""
        held: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        endpoint, counter = await self.start_server(lambda head, body: held), self.peer()
        row = endpoint_row("s-0", endpoint.address)
        listed = http_response(json.dumps({"generation": 1, "reset": True, "instances": [row]}).encode())
        discovery = await self.start_server(lambda head, body: None if b"since=" in head else listed)
        family = {"counter": True, "countWaitMs": 30.0, "unitsTop": 9}
        process = await GatewaySubprocess.start(
            raw_config(
                discovery.address, [row], counter=counter.address, settings=raw_settings(familyInfo=family)
            )
        )
        self.listen_address = await process.wait_until_serving()
        line = self.open_client()
        line.write(http_request(Request_Timeout="60000m"))
        await wait_until(lambda: endpoint.requests)
        process.run.terminate()
        await process.wait_for_log_line(b"received SIGTERM: ")
        process.run.terminate()
        held.set_result(http_response(b"ok"))
        self.assertIn(b"Connection: close", await line.read(b"ok"))
        said = await process.log.read()
        self.assertIn(b"0 unfinished, invariant violations: none", said)
        self.assertEqual(await process.run.wait(), 0)


class SettingsEdgeTest(CrossingCase):
    """Another customer's settings, each at an edge.

    The gateway starts, answers each request once, retries only what it may, as often as it may, and holds
    nothing afterwards.
    """

    EDGES: dict[str, dict[str, Any]] = {
        "no counter": {"familyInfo": {"counter": False, "unitsTop": 9}},
        "a counter that nobody reaches": {
            "familyInfo": {"counter": True, "countWaitMs": 30.0, "unitsTop": 9}
        },
        "nothing may be called off": {"ceilings": {**raw_settings()["ceilings"], "cancel": False}},
        "one attempt": {"ceilings": ONE_ATTEMPT},
        "five attempts, two at once": {
            "ceilings": {**raw_settings()["ceilings"], "maxAttempts": 5, "secondCopies": True}
        },
        "no advice to clients": {"ceilings": {**raw_settings()["ceilings"], "retryAfter": False}},
        "no limits of connections told": {"ceilings": {"maxAttempts": 2, "cancel": True}},
        "no zones": {"zones": [], "az": ""},
        "more zones than said": {"zones": ["elsewhere"], "az": "here"},
        "short deadlines and windows": {"deadlineMs": 300.0, "onTimeMs": 100.0, "keyTtlMs": 100.0},
        "no window": {"keyTtlMs": 0.0},
        "a ceiling alone": {"plan": {"unitsPerS": 0.0, "neverOverRate": 50.0, "hardBurst": 50.0}},
        "a cap alone": {"plan": {"unitsPerS": 0.0, "concurrency": 2}},
        "an empty plan": {"plan": {"unitsPerS": 0.0}},
        "a grace of nothing": {"contract": {**raw_settings()["contract"], "stopSendingWithinMs": 0.0}},
        "one of 1,024": {"balancers": 1024, "ordinal": 1023},
    }
    KINDS = {"s": "repeatable", "k": "by_key", "z": "by_key", "u": "once"}

    def settings_of(self, **edge: Any) -> dict[str, Any]:
        times = {key: edge.pop(key) for key in ("deadlineMs", "onTimeMs", "keyTtlMs") if key in edge}
        plan = {**raw_settings()["tiersOfService"][0], **edge.pop("plan", {})}
        classes = [
            {
                **REQUEST_CLASS,
                "name": name,
                "idempotency": kind,
                "group": "zone" if name == "z" else "all",
                **times,
            }
            for name, kind in self.KINDS.items()
        ]
        return raw_settings(classes=classes, tiersOfService=[plan], **edge)

    async def test_each_starts_and_keeps_the_rules(self) -> None:
        for name, edge in self.EDGES.items():
            with self.subTest(name):
                await self.play(self.settings_of(**edge))

    async def play(self, told_settings: dict[str, Any]) -> None:
        ran: dict[bytes, list[bool]] = {}  # by id, of each attempt that came whole: whether it may have run

        def endpoint(answer: bytes) -> Any:
            def say(head: bytes, body: bytes) -> bytes:
                name = head.partition(b"Request-Id: ")[2].split()[0]
                ran.setdefault(name, []).append(b"Not-Started" not in answer)
                return answer

            return say

        stand_ins = [
            await self.start_server(endpoint(answer))
            for answer in (
                http_response(b"ok"),
                http_response(status=500),
                b"",
                http_response(status=503, Not_Started="1"),
            )
        ]
        gateway = await self.open_gateway(
            *(one.address for one in stand_ins), counter="127.0.0.1:9", settings=told_settings
        )
        asked = [(f"{kind}{n}", kind) for n in range(8) for kind in self.KINDS]

        async def one(name: str, kind: str) -> int:
            method = "GET" if kind == "s" else "POST"
            target = f"/{kind}?account={len(name) + int(name[1:]):016x}"
            return (await self.send_request(target, method, Request_Id=name, Request_Timeout="300m"))[0]

        async with asyncio.timeout(BOUND_S):
            statuses = await asyncio.gather(*(one(*each) for each in asked))
        most = told_settings["ceilings"]["maxAttempts"]
        for (name, kind), status in zip(asked, statuses, strict=True):
            attempts = ran.get(name.encode(), [])
            self.assertIn(status, (200, 500, 503), name)
            self.assertLessEqual(len(attempts), most, name)
            if kind == "u":  # after one that may have run there is no other, and no decline
                self.assertNotIn(True, attempts[:-1], name)
                self.assertFalse(status == 503 and True in attempts, name)
            if kind == "z" or kind == "k" and told_settings["classes"][1]["keyTtlMs"] == 0.0:
                self.assertFalse(status == 503 and True in attempts, name)
        self.assertIn(200, statuses)
        await wait_until(
            lambda: not (
                gateway.dispatcher.lifecycle.in_flight
                or gateway.endpoint_clients.in_flight
                or gateway.http_server.open_request_ids
            )
        )
        await self.close_gateway()
