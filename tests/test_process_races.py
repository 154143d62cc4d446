"""Tests of signals at critical moments of start and shutdown, and of boundary values of the settings."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from tests.gateway_case import (
    endpoint_row,
    http_request,
    list_response,
    raw_config,
    raw_settings,
)
from tests.race_case import (
    ONE_ATTEMPT,
    TIMEOUT_S,
    GatewaySubprocess,
    RaceCase,
    wait_until,
)
from tests.scripted_server import http_response
from tests.test_simulator import REQUEST_CLASS


class SignalTest(RaceCase):
    """Signals at moments when their default action would kill the process."""

    async def test_sigterm_during_imports_exits_with_0(self) -> None:
        """The default action would kill the process; the signal is sent when the script imports uvloop."""
        script = (
            "import builtins, os, runpy, signal\n"
            "original_import = builtins.__import__\n"
            "def import_with_signal(name, *rest, **more):\n"
            "    if name == 'uvloop': os.kill(os.getpid(), signal.SIGTERM)\n"
            "    return original_import(name, *rest, **more)\n"
            "builtins.__import__ = import_with_signal\n"
            "runpy.run_module('drumgw', run_name='__main__')"
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-O", "-c", script, stderr=asyncio.subprocess.PIPE
        )
        _, output = await process.communicate()
        self.assertEqual((process.returncode, output), (0, b""))

    async def test_repeated_sigterm_with_silent_counter_and_pending_request(self) -> None:
        """The gateway must finish the request and exit with 0; a second SIGTERM must change nothing.

        It waits for the counter at most the timeout of one call.
        """
        held_response: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        endpoint, counter = await self.start_server(lambda head, body: held_response), self.peer()
        row = endpoint_row("s-0", endpoint.address)
        discovery = await self.start_server(
            lambda head, body: None if b"since=" in head else list_response(row)
        )
        family = {"counter": True, "countWaitMs": 30.0, "unitsTop": 9}
        gateway = await GatewaySubprocess.start(
            raw_config(
                discovery.address, [row], counter=counter.address, settings=raw_settings(familyInfo=family)
            )
        )
        self.listen_address = await gateway.wait_until_serving()
        client = self.open_client()
        client.write(http_request(Request_Timeout="60000m"))
        await wait_until(lambda: endpoint.requests)
        gateway.process.terminate()
        await gateway.wait_for_log_line(b"received SIGTERM: ")
        gateway.process.terminate()
        held_response.set_result(http_response(b"ok"))
        self.assertIn(b"Connection: close", await client.read(b"ok"))
        log = await gateway.log.read()
        self.assertIn(b"0 unfinished, invariant violations: none", log)
        self.assertEqual(await gateway.process.wait(), 0)


class BoundarySettingsTest(RaceCase):
    """Settings with boundary values or without optional parts.

    The gateway must start, answer each request once, retry only as the settings allow, and keep no state of
    the requests afterwards.
    """

    CASES: dict[str, dict[str, Any]] = {
        "no counter": {"familyInfo": {"counter": False, "unitsTop": 9}},
        "unreachable counter": {"familyInfo": {"counter": True, "countWaitMs": 30.0, "unitsTop": 9}},
        "attempts cannot be cancelled": {"ceilings": {**raw_settings()["ceilings"], "cancel": False}},
        "one attempt": {"ceilings": ONE_ATTEMPT},
        "five attempts, two of them concurrent": {
            "ceilings": {**raw_settings()["ceilings"], "maxAttempts": 5, "secondCopies": True}
        },
        "no Retry-After": {"ceilings": {**raw_settings()["ceilings"], "retryAfter": False}},
        "no connection limits": {"ceilings": {"maxAttempts": 2, "cancel": True}},
        "no zones": {"zones": [], "az": ""},
        "zone that is not listed": {"zones": ["elsewhere"], "az": "here"},
        "short deadlines and idempotency windows": {
            "deadlineMs": 300.0,
            "onTimeMs": 100.0,
            "keyTtlMs": 100.0,
        },
        "no idempotency window": {"keyTtlMs": 0.0},
        "plan with a hard rate limit only": {
            "plan": {"unitsPerS": 0.0, "neverOverRate": 50.0, "hardBurst": 50.0}
        },
        "plan with a concurrency limit only": {"plan": {"unitsPerS": 0.0, "concurrency": 2}},
        "plan without limits": {"plan": {"unitsPerS": 0.0}},
        "no drain grace": {"contract": {**raw_settings()["contract"], "stopSendingWithinMs": 0.0}},
        "one of 1,024 gateways": {"balancers": 1024, "ordinal": 1023},
    }
    IDEMPOTENCY_BY_CLASS = {"s": "repeatable", "k": "by_key", "z": "by_key", "u": "once"}

    def settings_of(self, **overrides: Any) -> dict[str, Any]:
        times = {
            key: overrides.pop(key) for key in ("deadlineMs", "onTimeMs", "keyTtlMs") if key in overrides
        }
        plan = {**raw_settings()["tiersOfService"][0], **overrides.pop("plan", {})}
        classes = [
            {
                **REQUEST_CLASS,
                "name": name,
                "idempotency": idempotency,
                "group": "zone" if name == "z" else "all",
                **times,
            }
            for name, idempotency in self.IDEMPOTENCY_BY_CLASS.items()
        ]
        return raw_settings(classes=classes, tiersOfService=[plan], **overrides)

    async def test_rules_hold_for_each_case(self) -> None:
        for name, overrides in self.CASES.items():
            with self.subTest(name):
                await self.check_rules(self.settings_of(**overrides))

    async def check_rules(self, settings: dict[str, Any]) -> None:
        may_have_run: dict[bytes, list[bool]] = {}  # by request id; an item for each attempt received in full

        def endpoint(answer: bytes) -> Any:
            def respond(head: bytes, body: bytes) -> bytes:
                request_id = head.partition(b"Request-Id: ")[2].split()[0]
                may_have_run.setdefault(request_id, []).append(b"Not-Started" not in answer)
                return answer

            return respond

        endpoints = [
            await self.start_server(endpoint(answer))
            for answer in (
                http_response(b"ok"),
                http_response(status=500),
                b"",
                http_response(status=503, Not_Started="1"),
            )
        ]
        gateway = await self.open_gateway(
            *(server.address for server in endpoints), counter="127.0.0.1:9", settings=settings
        )
        requests = [
            (f"{class_name}{n}", class_name) for n in range(8) for class_name in self.IDEMPOTENCY_BY_CLASS
        ]

        async def send(request_id: str, class_name: str) -> int:
            method = "GET" if class_name == "s" else "POST"
            target = f"/{class_name}?account={len(request_id) + int(request_id[1:]):016x}"
            return (await self.send_request(target, method, Request_Id=request_id, Request_Timeout="300m"))[0]

        async with asyncio.timeout(TIMEOUT_S):
            statuses = await asyncio.gather(*(send(*request) for request in requests))
        max_attempts = settings["ceilings"]["maxAttempts"]
        for (request_id, class_name), status in zip(requests, statuses, strict=True):
            attempts = may_have_run.get(request_id.encode(), [])
            self.assertIn(status, (200, 500, 503), request_id)
            self.assertLessEqual(len(attempts), max_attempts, request_id)
            if class_name == "u":  # an attempt that may have run is neither retried nor answered as rejected
                self.assertNotIn(True, attempts[:-1], request_id)
                self.assertFalse(status == 503 and True in attempts, request_id)
            if class_name == "z" or class_name == "k" and settings["classes"][1]["keyTtlMs"] == 0.0:
                self.assertFalse(status == 503 and True in attempts, request_id)
        self.assertIn(200, statuses)
        await wait_until(
            lambda: not (
                gateway.dispatcher.lifecycle.in_flight
                or gateway.endpoint_clients.in_flight
                or gateway.http_server.request_ids.in_flight
            )
        )
        await self.close_gateway()
