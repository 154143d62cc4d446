"""A host on sockets: tenants beside each other, none of them in another's way; their administration."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import re
import tempfile
import threading
import unittest
from typing import Any
from unittest import mock

from click.testing import CliRunner
from loguru import logger

from drumgw.cli.__main__ import main
from drumgw.config.host_file import HostFile
from drumgw.gateway.process_config import ConfigError
from drumgw.hosting.admin_api import LIST, MAX_BODY_BYTES, MOST_CALLS
from drumgw.hosting.authentication import hash_of
from drumgw.hosting.host_process import HostProcess
from drumgw.hosting.http_server import ListenerConfig
from drumgw.hosting.openapi import document, statuses
from drumgw.hosting.state_file import StateFile
from tests.scripted_server import StandIn, http, read_message
from tests.test_gateway import GateCase, instance

OPERATOR, OWN = "operator-token", "tenant-token"
PRODUCTS = [
    {"name": "preview", "sla_ms": 2000.0, "expiry_ms": 8000.0, "repeat": "inquiry-like"},
    {"name": "sale", "value": 3.0, "sla_ms": 800.0, "expiry_ms": 2500.0, "repeat": "once-only"},
]
PLANS = [{"name": "p", "units_per_s": 1000.0, "burst_units": 1000.0}]
TARGET = "/preview?account=00000000b4d65521"


class HostCase(GateCase):
    """A host with its API, and for each tenant a worker and a discovery of the test's."""

    def setUp(self) -> None:
        self.workers: dict[str, StandIn] = {}

    async def tenant(self, name: str, answer: Any = None, **more: Any) -> dict[str, Any]:
        worker = await self.stand_in(http(name.encode()) if answer is None else answer)
        rows = [instance("s-0", worker.address)]  # the same id at all tenants
        listed = http(json.dumps({"generation": 1, "reset": True, "instances": rows}).encode())
        discovery = await self.stand_in(lambda head, body: listed if b"since=" not in head else None)
        self.workers[name] = worker
        return {
            "name": name,
            "route": [{"host": f"{name}.example"}],
            "discovery": discovery.address,
            "zone": "x",
            "zones": ["x"],
            "product": PRODUCTS,
            "plan": PLANS,
            **more,
        }

    def folder(self) -> str:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    async def host(self, *tenants: dict[str, Any], state: str | None = "", **more: Any) -> HostProcess:
        told = {
            "version": 1,
            "host": {
                "name": "h0",
                "listen": "127.0.0.1:0",
                "api": "127.0.0.1:0",
                "state": self.folder() if state == "" else state,
                **more,
            },
            "token": [
                {"id": "ops", "role": "operator", "sha256": hash_of(OPERATOR)},
                {"id": "own", "role": "tenant", "tenant": "t1", "sha256": hash_of(OWN)},
            ],
            "tenant": list(tenants),
        }
        host_process = HostProcess(HostFile.model_validate_json(json.dumps(told)))
        self.host_process = host_process
        self.place, self.api = await host_process.open()
        self.addAsyncCleanup(self.end_host, host_process)
        await self.ready()
        return host_process

    async def end_host(self, host_process: HostProcess) -> None:
        with mock.patch("drumgw.hosting.host_process.SHUTDOWN_LINGER_MS", 0.0):
            await host_process.close()

    async def ready(self) -> None:
        hosting = self.host_process.hosting
        while hosting.coming or not all(seat.ready for seat in hosting.seats.values()):
            await asyncio.sleep(0.001)

    async def at(self, name: str, target: str = TARGET, **headers: str | None) -> tuple[int, bytes]:
        told = {"Host": f"{name}.example", "Request_Timeout": "2500m", "Plan": "p", **headers}
        status, body, _ = await self.ask(target, "GET", b"", None, **told)
        return status, body

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        token: str | None = OPERATOR,
        raw: bytes | None = None,
        **headers: str,
    ) -> tuple[int, Any, dict[str, str]]:
        reader, writer = await asyncio.open_connection(*self.api)
        text = raw if raw is not None else b"" if body is None else json.dumps(body).encode()
        told = {
            "Host": "api",
            "Connection": "close",
            "Content-Type": "application/json",
            "Content-Length": str(len(text)),
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        if token is not None:
            told["Authorization"] = f"Bearer {token}"
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in told.items()), "", ""]
        writer.write("\r\n".join(lines).encode() + text)
        head, answer = await read_message(reader)
        writer.close()
        found = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:] if ": " in line)
        return int(head.split()[1]), json.loads(answer or b"null"), found

    async def until(self, operation: str) -> None:
        while (await self.call("GET", f"/v1/operations/{operation}"))[1]["state"] == "running":
            await asyncio.sleep(0.001)


class Beside(HostCase):
    async def test_twenty_tenants_with_one_customer_one_id_and_one_worker_name(self) -> None:
        """Judged from outside: each answer, worker, count and log line belongs to one tenant."""
        totals: dict[str, float] = {}

        def count(head: bytes, body: bytes) -> bytes:
            found = re.match(rb"POST /counters/([^?]+)\?by=([^&]+)", head)
            assert found
            name = found[1].decode()
            totals[name] = totals.get(name, 0.0) + float(found[2])
            return http(f"{totals[name]:.7g}".encode())

        counter = await self.stand_in(count)
        names = [f"t{n}" for n in range(20)]
        small = [{"name": "p", "units_per_s": 1.0, "burst_units": 6.0}]
        # Twenty begin at once: a call that misses its 80 ms tells nothing
        patient = {"counter_wait_ms": 60000.0}
        specs = [
            await self.tenant(name, counter=counter.address, plan=small, allowed=patient) for name in names
        ]
        said: list[str] = []
        sink = logger.add(lambda line: said.append(str(line)), format="{message}")
        self.addCleanup(logger.remove, sink)
        await self.host(*specs)
        answers = await asyncio.gather(*(self.at(name) for name in names))
        self.assertEqual(answers, [(200, name.encode()) for name in names])
        for _ in range(5):  # one tenant's customer uses its quota up; its namesakes are served
            await self.at("t3", Request_Id="again", Quota_Info="units=2,spread=1,first=0")
        self.assertEqual((await self.at("t3", Quota_Info="units=2,spread=1,first=0"))[0], 503)
        self.assertEqual((await self.at("t4", Quota_Info="units=2,spread=1,first=0"))[0], 200)
        for name in names:
            came = [head for head, _ in self.workers[name].came]
            self.assertTrue(came and all(f"Host: {name}.example".encode() in head for head in came), name)
        async with asyncio.timeout(20):  # the last of them may still be on their way
            while {name.split("-")[0] for name in totals} != set(names):
                await asyncio.sleep(0.001)
        lines = [line for line in said if not line.startswith(("host ", "process stalled"))]
        self.assertTrue(all(re.match(r"tenant t\d+: ", line) for line in lines), lines)
        self.assertEqual({line.split()[1].rstrip(":") for line in lines}, set(names))

    async def test_troubles_of_some_reach_no_other(self) -> None:
        """Workers that reset, fail, send noise or say nothing, a silent discovery, beside sound ones."""

        def noise(head: bytes, body: bytes) -> bytes:
            return b"\x00\x01 no answer\r\n\r\n"

        troubles: dict[str, Any] = {"t0": b"", "t1": http(status=500), "t2": noise, "t3": lambda *came: None}
        specs = [await self.tenant(f"t{n}", troubles.get(f"t{n}")) for n in range(12)]
        dumb = await self.stand_in(None)
        specs[4] = {**specs[4], "discovery": dumb.address}
        with mock.patch.object(HostCase, "ready", mock.AsyncMock()):
            host_process = await self.host(*specs)
        while sum(seat.ready for seat in host_process.hosting.seats.values()) < 11:
            await asyncio.sleep(0.001)
        for n in range(6):  # one id at all of them at the same time
            names = [f"t{m}" for m in range(12) for _ in range(1 + (m < 5))]
            found = await asyncio.gather(
                *(
                    self.at(name, Request_Id=f"{n}-{k % 2}", Request_Timeout="300m")
                    for k, name in enumerate(names)
                )
            )
            for name, (status, body) in zip(names, found, strict=True):
                if int(name[1:]) > 4:
                    self.assertEqual((status, body), (200, name.encode()))
                else:
                    self.assertNotEqual(status, 200, name)
        self.assertEqual(
            {name: len(self.workers[name].came) for name in self.workers if int(name[1:]) > 4},
            {f"t{n}": 6 for n in range(5, 12)},
        )
        self.assertEqual(self.workers["t4"].came, [])  # nobody is let in before its discovery spoke

    async def test_idle_connections_of_one_do_not_push_out_another_s(self) -> None:
        host_process = await self.host(await self.tenant("t1"), await self.tenant("t2"))
        front = host_process.http_server
        front.config = ListenerConfig(("127.0.0.1", 0), 10, 8)  # type: ignore[assignment]
        quiet = await self.connect()
        ask = (
            b"GET " + TARGET.encode() + b" HTTP/1.1\r\nHost: %s.example\r\nRequest-Id: %d\r\nPlan: p\r\n"
            b"Request-Timeout: 900m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"
        )
        quiet[1].write(ask % (b"t2", 1))
        self.assertIn(b" 200 ", (await read_message(quiet[0]))[0])
        with (
            mock.patch("drumgw.hosting.http_server.STALL_THRESHOLD_MS", -1.0),
            mock.patch("drumgw.gateway.http_server.STALL_THRESHOLD_MS", -1.0),
        ):
            for n in range(40):
                reader, writer = await self.connect()
                writer.write(ask % (b"t1", n + 2))
                self.assertIn(b" 200 ", (await read_message(reader))[0])
        self.assertEqual(front.held["t2#2"], 1)
        self.assertLessEqual(front.held["t1#1"], 9)
        quiet[1].write(ask % (b"t2", 99))
        self.assertIn(b" 200 ", (await read_message(quiet[0]))[0])

    async def test_one_that_rushes_onto_stalled_workers_takes_nothing_of_the_others(self) -> None:
        stalled = await self.tenant("t1", answer=lambda head, body: None)
        held = [await self.tenant("t2"), await self.tenant("t3")]
        host_process = await self.host(stalled, *held, txns=30)
        share = host_process.hosting.shares.parts["t2#2"].own
        rush = [
            asyncio.create_task(self.at("t1", Request_Id=f"r{n}", Request_Timeout="60000m"))
            for n in range(40)
        ]
        for n in range(40):  # and bodies that never come whole: the module never hears of those
            _, writer = await self.connect()
            writer.write(
                f"POST /sale?account={n:016x} HTTP/1.1\r\nHost: t1.example\r\n"
                f"Request-Id: h{n}\r\nPlan: p\r\n"
                "Request-Timeout: 900m\r\nQuota-Info: units=1,spread=1,first=0\r\n"
                "Content-Length: 9\r\n\r\nhalf".encode()
            )
        seat, shares = host_process.hosting.seats["t1"], host_process.hosting.shares
        while seat.taken + seat.turned_away < 80:
            await asyncio.sleep(0.001)
        self.assertEqual(shares.parts["t1#1"].open, shares.holds_most("t1#1"))
        self.assertEqual(share, 5)
        for name in ("t2", "t3"):
            for n in range(10):  # two at once: the module has room for so many at its start
                found = await asyncio.gather(*(self.at(name, Request_Id=f"{m}-{n}") for m in range(2)))
                self.assertEqual(found, [(200, name.encode())] * 2)
        use = (await self.call("GET", "/v1/tenants/t1/use"))[1]
        self.assertGreater(use["open"], 0)
        for task in rush:
            task.cancel()
        await asyncio.gather(*rush, return_exceptions=True)

    async def test_routes_by_path_pass_the_target_on_as_it_came(self) -> None:
        one = await self.tenant("t1", route=[{"path": "/one"}])
        two = await self.tenant("t2", route=[{"path": "/two"}, {"host": "t2.example", "path": "/one"}])
        await self.host(one, two)
        self.assertEqual(await self.at("x", f"/one{TARGET}"), (200, b"t1"))
        self.assertEqual(await self.at("t2", f"/one{TARGET}"), (200, b"t2"))
        self.assertEqual(await self.at("x", f"/two{TARGET}"), (200, b"t2"))
        self.assertEqual((await self.at("x"))[0], 404)
        self.assertTrue(self.workers["t1"].came[0][0].startswith(f"GET /one{TARGET} HTTP/1.1".encode()))


class Changing(HostCase):
    async def test_removed_in_flight_and_made_anew_under_its_name(self) -> None:
        """Each txn gets its one answer from whom it was sent to; then nothing of the old one is left."""
        held: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        old = await self.tenant("t1", answer=lambda head, body: held)
        host_process = await self.host(old)
        worker, hosting = self.workers["t1"], host_process.hosting
        txn = asyncio.create_task(self.at("t1", Request_Timeout="60000m"))
        while not worker.came:
            await asyncio.sleep(0.001)
        status, told, headers = await self.call("DELETE", "/v1/tenants/t1", If_Match='"1"')
        self.assertEqual((status, told["state"]), (202, "running"))
        self.assertEqual(headers["Location"], f"/v1/operations/{told['id']}")
        self.assertEqual((await self.at("t1"))[0], 404)
        status, made, _ = await self.call("POST", "/v1/tenants", await self.tenant("t1", answer=http(b"new")))
        self.assertEqual(status, 201)
        await self.ready()
        self.assertEqual(await self.at("t1", Request_Id="2"), (200, b"new"))
        self.assertEqual((await self.call("GET", headers["Location"]))[1]["state"], "running")
        held.set_result(http(b"old"))
        self.assertEqual(await txn, (200, b"old"))
        await self.until(told["id"])
        while hosting.leaving:
            await asyncio.sleep(0.001)
        key = f"t1#{made['version']}"
        self.assertEqual([list(hosting.shares.parts), list(hosting.weights)], [[key], [key]])
        self.assertEqual(hosting.drains, {})
        self.assertEqual((hosting.registry.leaving, list(hosting.seats)), ({}, ["t1"]))

    async def test_plans_lowered_below_what_was_sent(self) -> None:
        """The new station has the same counts: what was sent under the old plan is not forgotten."""
        totals: dict[bytes, float] = {}

        def count(head: bytes, body: bytes) -> bytes:
            found = re.match(rb"POST /counters/([^?]+)\?by=([^&]+)", head)
            assert found
            totals[found[1]] = totals.get(found[1], 0.0) + float(found[2])
            return http(f"{totals[found[1]]:.7g}".encode())

        counter = await self.stand_in(count)
        plan = {"name": "p", "units_per_s": 0.01, "burst_units": 60.0}
        # A call that misses its 80 ms on a slow machine tells nothing; up to 1,050 the module holds as long
        patient = {"counter_wait_ms": 1000.0}
        await self.host(await self.tenant("t1", counter=counter.address, plan=[plan], allowed=patient))
        for n in range(5):
            found = await self.at("t1", Request_Id=str(n), Quota_Info="units=6,spread=1,first=0")
            self.assertEqual(found[0], 200)
        headers = (await self.call("GET", "/v1/tenants/t1"))[2]
        lower = [{**plan, "burst_units": 20.0}]
        status, _, _ = await self.call("PUT", "/v1/tenants/t1/plans", lower, If_Match=headers["ETag"])
        self.assertEqual(status, 200)
        await self.ready()
        self.assertEqual((await self.at("t1", Request_Id="6"))[0], 503)
        self.assertEqual(len({name.split(b"-")[1] for name in totals}), 1)

    async def test_what_only_the_outside_sees_changes_no_station(self) -> None:
        host_process = await self.host(await self.tenant("t1"))
        service = host_process.hosting.seats["t1"].service
        spec = (await self.call("GET", "/v1/tenants/t1"))[1]["spec"]
        elsewhere = await self.stand_in(http(status=500))
        for version, change in (
            (1, {"route": [{"host": "else.example"}]}),
            (2, {"weight": 5.0}),
            (3, {"discovery": elsewhere.address}),
        ):
            spec |= change
            status, told, _ = await self.call("PUT", "/v1/tenants/t1", spec, If_Match=f'"{version}"')
            self.assertEqual((status, told["version"]), (200, version + 1))
        self.assertIs(host_process.hosting.seats["t1"].service, service)
        self.assertEqual((await self.at("else"))[1], b"t1")
        while not elsewhere.came:
            await asyncio.sleep(0.001)

    async def test_suspended_drained_and_back(self) -> None:
        held: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        host_process = await self.host(await self.tenant("t1", answer=lambda head, body: held))
        worker = self.workers["t1"]
        txn = asyncio.create_task(self.at("t1", Request_Timeout="60000m"))
        while not worker.came:
            await asyncio.sleep(0.001)
        _, told, _ = await self.call("POST", "/v1/tenants/t1/suspend", If_Match='"1"')
        self.assertEqual(told["state"], "suspended")
        self.assertEqual((await self.at("t1", Request_Id="2"))[0], 503)
        _, told, _ = await self.call("POST", "/v1/tenants/t1/drain", If_Match='"2"')
        self.assertEqual(host_process.hosting.registry.tenants["t1"].state, "draining")
        held.set_result(http(b"ok"))
        self.assertEqual(await txn, (200, b"ok"))
        await self.until(told["id"])
        tenant = host_process.hosting.registry.tenants["t1"]
        self.assertEqual(tenant.state, "drained")
        await self.call("POST", "/v1/tenants/t1/resume", If_Match=f'"{tenant.version}"')
        self.assertEqual(await self.at("t1", Request_Id="3"), (200, b"ok"))

    async def test_hundreds_come_and_go_and_nothing_is_left(self) -> None:
        host_process = await self.host()
        named = await self.tenant("t1")
        folder = "/proc/self/fd"
        level = 0
        for n in range(120):
            status, made, _ = await self.call("POST", "/v1/tenants", named)
            self.assertEqual(status, 201)
            if n % 10 == 0:
                await self.ready()
                self.assertEqual(await self.at("t1", Request_Id=str(n)), (200, b"t1"))
            _, told, _ = await self.call("DELETE", "/v1/tenants/t1", If_Match=f'"{made["version"]}"')
            await self.until(told["id"])
            while host_process.hosting.leaving:
                await asyncio.sleep(0.001)
            if n == 20:
                level = len(os.listdir(folder))
        self.assertLess(len(os.listdir(folder)), level + 20)
        hosting = host_process.hosting
        tables = [hosting.seats, hosting.coming, hosting.shares.parts, hosting.weights, hosting.drains]
        self.assertEqual(tables, [{}] * 5)


class Administering(HostCase):
    async def test_every_mistake_is_told_and_nothing_is_half_applied(self) -> None:
        host_process = await self.host(await self.tenant("t1"))
        good = await self.tenant("t2")
        before = json.dumps(host_process.hosting.registry.kept())
        for body, status, pointer in (
            ({**good, "plan": [{**PLANS[0], "units_per_s": -1.0}]}, 422, "/plan/0/units_per_s"),
            ({**good, "plan": "p"}, 422, "/plan"),
            ({**good, "colour": 1}, 422, "/colour"),
            ({**good, "route": [{"host": "t1.example"}]}, 409, "/route/0"),
            ({**good, "route": [{"host": "a/b"}]}, 422, "/route/0/host"),
            ({**good, "name": "t1"}, 409, "/name"),
            ({**good, "name": "T 1"}, 422, "/name"),
            ({**good, "discovery": "nowhere"}, 422, "/discovery"),
            ({k: v for k, v in good.items() if k != "product"}, 422, "/product"),
            ({**good, "weight": float("nan")}, 422, "/weight"),
            ([], 422, ""),
            (7, 422, ""),
        ):
            with self.subTest(body=str(body)[:60], status=status):
                found, told, headers = await self.call("POST", "/v1/tenants", body)
                self.assertEqual((found, told["status"]), (status, status), told)
                self.assertTrue(headers["Content-Type"].startswith("application/problem+json"))
                self.assertIn(pointer, [e["pointer"] for e in told.get("errors", [{"pointer": ""}])])
        for raw, status in (
            (b"{", 400),
            (b"[" * 100000, 400),
            (b"\xff", 400),
            (b"x" * (MAX_BODY_BYTES + 1), 413),
        ):
            self.assertEqual((await self.call("POST", "/v1/tenants", raw=raw))[0], status)
        self.assertEqual((await self.call("POST", "/v1/tenants", good, Content_Type="text/plain"))[0], 415)
        for path, status in (
            ("/v1/tenants?limit=0", 400),
            ("/v1/tenants?limit=x", 400),
            ("/v1/nothing", 404),
            ("/v1/tenants/t9", 404),
            ("/v1/operations/op-9", 404),
        ):
            self.assertEqual((await self.call("GET", path))[0], status, path)
        self.assertEqual((await self.call("PATCH", "/v1/tenants"))[0], 405)
        self.assertEqual(json.dumps(host_process.hosting.registry.kept()), before)
        self.assertEqual(await self.at("t1"), (200, b"t1"))

    async def test_half_sent_bodies_and_a_flood_leave_serving_unharmed(self) -> None:
        host_process = await self.host(await self.tenant("t1"))
        lines = []
        for _ in range(MOST_CALLS):
            _, writer = await asyncio.open_connection(*self.api)
            writer.write(
                f"POST /v1/tenants HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {OPERATOR}\r\n"
                "Content-Type: application/json\r\nContent-Length: 99\r\n\r\n{".encode()
            )
            lines.append(writer)
        while host_process.api.calls < MOST_CALLS:
            await asyncio.sleep(0.001)
        self.assertEqual((await self.call("GET", "/v1/tenants"))[0], 429)
        self.assertEqual(await self.at("t1"), (200, b"t1"))
        for writer in lines:
            writer.close()
        while host_process.api.calls:
            await asyncio.sleep(0.001)
        self.assertEqual((await self.call("GET", "/v1/tenants"))[0], 200)

    async def test_roles_by_http(self) -> None:
        await self.host(await self.tenant("t1"), await self.tenant("t2"))
        for token in (None, "", "guess", hash_of(OPERATOR)):
            self.assertEqual((await self.call("GET", "/v1/tenants", token=token))[0], 401)
        _, told, _ = await self.call("GET", "/v1/tenants", token=OWN)
        self.assertEqual([t["name"] for t in told["tenants"]], ["t1"])
        _, told, headers = await self.call("GET", "/v1/tenants/t1", token=OWN)
        for path in ("", "/plans", "/use"):
            self.assertEqual((await self.call("GET", f"/v1/tenants/t2{path}", token=OWN))[0], 403)
        for method, path in (("DELETE", "/t1"), ("POST", "/t1/suspend"), ("POST", "")):
            found = await self.call(method, f"/v1/tenants{path}", {}, token=OWN, If_Match=headers["ETag"])
            self.assertEqual(found[0], 403)
        for change, status in (
            ({"weight": 9.0}, 403),
            ({"route": [{"host": "mine.example"}]}, 403),
            ({"allowed": {"submissions": 1}}, 200),
        ):
            whole = {**told["spec"], **change}
            found = await self.call("PUT", "/v1/tenants/t1", whole, token=OWN, If_Match=headers["ETag"])
            self.assertEqual(found[0], status, change)
        _, told, _ = await self.call("POST", "/v1/tenants/t2/drain", If_Match='"2"')
        self.assertEqual((await self.call("GET", f"/v1/operations/{told['id']}", token=OWN))[0], 404)

    async def test_administrators_at_once(self) -> None:
        """Of many that change one version one does; of many creates under one key there is one."""
        host_process = await self.host(await self.tenant("t1"))
        limits = [
            self.call("PUT", "/v1/tenants/t1/limits", {"submissions": 1 + n % 3}, If_Match='"1"')
            for n in range(12)
        ]
        statuses_found = sorted([status for status, _, _ in await asyncio.gather(*limits)])
        self.assertEqual(statuses_found, [200] + [412] * 11)
        named = await self.tenant("t2")
        creates = (self.call("POST", "/v1/tenants", named, Idempotency_Key="k") for _ in range(8))
        made = await asyncio.gather(*creates)
        self.assertEqual({status for status, _, _ in made}, {201})
        self.assertEqual(len({told["version"] for _, told, _ in made}), 1)
        self.assertEqual(list(host_process.hosting.seats), ["t1", "t2"])

    async def test_the_description_tells_what_is_there(self) -> None:
        host_process = await self.host(await self.tenant("t1"))
        status, told, _ = await self.call("GET", "/openapi.json", token=None)
        self.assertEqual((status, told), (200, json.loads(json.dumps(document()))))
        served = {
            (route.method, route.resource.canonical)
            for route in host_process.api.app.router.routes()
            if route.resource and route.method != "HEAD"
        }
        described = {(method.upper(), path) for path, methods in told["paths"].items() for method in methods}
        self.assertEqual(described, served)
        self.assertEqual(described, {(action.method, action.path) for action, _ in LIST})
        refs = re.findall(r'"#/components/schemas/([^"]+)"', json.dumps(told))
        self.assertEqual(set(refs) - set(told["components"]["schemas"]), set())
        for action, _ in LIST:
            path = action.path.replace("{tenant}", "t1").replace("{operation}", "op-1")
            for token, body in ((OPERATOR, None), (OWN, 7), (None, None)):
                found, _, _ = await self.call(action.method, path, body, token=token)
                self.assertIn(found, statuses(action), (action.method, path))

    async def test_what_the_api_made_outlives_a_restart(self) -> None:
        folder = self.folder()
        first = await self.host(await self.tenant("t1"), state=folder)
        self.assertEqual((await self.call("POST", "/v1/tenants", await self.tenant("t2")))[0], 201)
        await self.call("DELETE", "/v1/tenants/t1", If_Match='"1"')
        while first.hosting.leaving or first.hosting.drains:
            await asyncio.sleep(0.001)
        second = await self.host(await self.tenant("t3"), state=folder)  # the file's are for a first start
        self.assertEqual(list(second.hosting.seats), ["t2"])
        self.assertEqual(await self.at("t2"), (200, b"t2"))
        path = pathlib.Path(folder) / "tenants.state"
        path.write_bytes(path.read_bytes().replace(b'"drumgw state": 1', b'"drumgw state": 9'))
        with self.assertRaisesRegex(ConfigError, "newer version"):
            await self.host(state=folder)

    async def test_a_folder_that_cannot_be_written_changes_nothing(self) -> None:
        host_process = await self.host(await self.tenant("t1"))
        assert host_process.store is not None
        with mock.patch.object(host_process.store, "save", side_effect=OSError("full")):
            self.assertEqual((await self.call("DELETE", "/v1/tenants/t1", If_Match='"1"'))[0], 500)
        self.assertEqual(await self.at("t1"), (200, b"t1"))
        self.assertEqual((await self.call("GET", "/v1/tenants/t1"))[1]["state"], "active")

    async def test_told_to_end_in_the_midst_of_a_change(self) -> None:
        """The change that is being kept is made, or not at all; what is read then is one of the two."""
        folder = self.folder()
        host_process = await self.host(await self.tenant("t1"), state=folder)
        assert host_process.store is not None
        begun, go_on, save = threading.Event(), threading.Event(), host_process.store.save

        def slow(content: Any) -> None:
            begun.set()
            go_on.wait(20)
            save(content)

        with (
            mock.patch.object(host_process.store, "save", slow),
            mock.patch("drumgw.hosting.host_process.SHUTDOWN_LINGER_MS", 0.0),
        ):
            changing = asyncio.create_task(self.call("POST", "/v1/tenants/t1/suspend", If_Match='"1"'))
            await asyncio.to_thread(begun.wait)
            closing = asyncio.create_task(host_process.close())
            await asyncio.sleep(0)
            go_on.set()
            await closing
            changed = (await asyncio.gather(changing, return_exceptions=True))[0]
        kept, _ = StateFile(folder).load()
        states = [row[3] for row in kept["tenants"]] if kept else ["active"]
        self.assertEqual(states, ["suspended"])
        self.assertEqual(changed[0] if isinstance(changed, tuple) else 200, 200)

    async def test_without_a_folder_the_api_reads_only_and_says_so(self) -> None:
        await self.host(await self.tenant("t1"), state=None)
        status, told, _ = await self.call("DELETE", "/v1/tenants/t1", If_Match='"1"')
        self.assertEqual((status, "operator's file" in told["detail"]), (405, True))
        self.assertEqual((await self.call("GET", "/v1/tenants/t1"))[0], 200)

    async def test_a_line_for_each_change_without_secrets(self) -> None:
        said: list[str] = []
        sink = logger.add(lambda line: said.append(str(line)), format="{message}")
        self.addCleanup(logger.remove, sink)
        await self.host(await self.tenant("t1"))
        await self.call("POST", "/v1/tenants/t1/suspend", If_Match='"1"')
        await self.call("DELETE", "/v1/tenants/t1", If_Match='"1"')
        lines = [line.strip() for line in said if line.startswith("audit")]
        asked = ["audit: ops asked to suspend t1: 200", "audit: ops asked to remove t1: 412"]
        self.assertEqual(lines, asked)
        self.assertFalse([line for line in said if OPERATOR in line or hash_of(OPERATOR) in line])

    async def test_from_the_command_line(self) -> None:
        host_process = await self.host(await self.tenant("t1"))
        named, runner = await self.tenant("t2"), CliRunner()
        api = "{}:{}".format(*self.api)

        async def run(*words: str, told: Any = None) -> tuple[int, str]:
            text = None if told is None else json.dumps(told)
            found = await asyncio.to_thread(
                runner.invoke, main, ["tenants", "--api", api, *words], text, {"DRUMGW_TOKEN": OPERATOR}
            )
            return found.exit_code, found.output

        self.assertEqual(await run("list"), (0, "t1  active  1\n"))
        self.assertEqual((await run("create", "-", told=named))[0], 0)
        await self.ready()
        code, text = await run("create", "-", told=named)
        self.assertEqual((code, "Name taken" in text), (1, True))
        self.assertEqual((await run("replace", "t2", "-", "--part", "limits", told={"submissions": 2}))[0], 0)
        await self.ready()
        self.assertEqual(host_process.hosting.seats["t2"].service.config.settings.max_attempts, 2)
        for words in (("suspend", "t2"), ("resume", "t2"), ("show", "t2", "--use"), ("show", "t2")):
            self.assertEqual((await run(*words))[0], 0, words)
        code, text = await run("remove", "t2", "--wait", "10")
        self.assertEqual((code, json.loads(text)["state"]), (0, "done"))
        self.assertEqual(await run("list"), (0, "t1  active  1\n"))
        self.assertEqual((await run("show", "t2"))[0], 1)


class Files(unittest.TestCase):
    def test_a_host_file_is_checked_whole(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "host.toml"
            text = pathlib.Path("examples/host.toml").read_text()
            runner = CliRunner()
            for change, said in (
                (("", ""), "usable: 2 tenant(s)"),
                (('host = "b.example"', 'host = "a.example"'), "is routed to"),
                (('api = "127.0.0.1:9090"', 'api = "0.0.0.0:9090"'), "tokens pass in the clear"),
                (("sla_ms = 3000", "sla_ms = 30000"), "beyond expiry_ms"),
                (("weight = 1.0", "wait = 1.0"), "no such key"),
            ):
                with self.subTest(said):
                    self.assertIn(change[0], text)
                    path.write_text(text.replace(change[0], change[1], 1))
                    found = runner.invoke(main, ["host", "--check", str(path)])
                    self.assertEqual(found.exit_code, 0 if "usable:" in said else 2, found.output)
                    self.assertIn(said, found.output)
