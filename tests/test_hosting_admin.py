"""The administration API of a host on sockets: checks, roles, versions, stored state, the command line."""

from __future__ import annotations

import asyncio
import json
import pathlib
import re
import tempfile
import threading
import unittest
from typing import Any
from unittest import mock

from click.testing import CliRunner

from drumgw.cli.__main__ import main
from drumgw.gateway.process_config import ConfigError
from drumgw.hosting.admin_api import MAX_BODY_BYTES, MAX_OPEN_CALLS
from drumgw.hosting.api_operations import OPERATIONS, possible_responses
from drumgw.hosting.authentication import hash_token
from drumgw.hosting.openapi import openapi_document
from drumgw.hosting.registry_persistence import registry_to_json
from drumgw.hosting.state_file import StateFile
from tests.hosting_harness import OPERATOR_TOKEN, PLANS, POLL_S, TENANT_TOKEN, HostCase


class Checks(HostCase):
    """What is sent to the API is checked, bounded and described."""

    async def test_every_mistake_is_reported_and_nothing_is_half_applied(self) -> None:
        host_process = await self.start_host(await self.tenant("t1"))
        good = await self.tenant("t2")
        before = json.dumps(registry_to_json(host_process.services.registry))
        for body, status, pointer in (
            ({**good, "plan": [{**PLANS[0], "units_per_s": -1.0}]}, 422, "/plan/0/units_per_s"),
            ({**good, "plan": "p"}, 422, "/plan"),
            ({**good, "colour": 1}, 422, "/colour"),
            ({**good, "route": [{"host": "t1.example"}]}, 409, "/route/0"),
            ({**good, "route": [{"host": "a/b"}]}, 422, "/route/0/host"),
            ({**good, "name": "t1"}, 409, "/name"),
            ({**good, "name": "T 1"}, 422, "/name"),
            ({**good, "discovery": "nowhere"}, 422, "/discovery"),
            ({key: value for key, value in good.items() if key != "product"}, 422, "/product"),
            ({**good, "weight": float("nan")}, 422, "/weight"),
            ([], 422, ""),
            (7, 422, ""),
        ):
            with self.subTest(body=str(body)[:60], status=status):
                response = await self.call("POST", "/v1/tenants", body)
                self.assertEqual((response.status, response.body["status"]), (status, status), response.body)
                self.assertTrue(response.headers["Content-Type"].startswith("application/problem+json"))
                errors = response.body.get("errors", [{"pointer": ""}])
                self.assertIn(pointer, [error["pointer"] for error in errors])
        for raw, status in (
            (b"{", 400),
            (b"[" * 100000, 400),
            (b"\xff", 400),
            (b"x" * (MAX_BODY_BYTES + 1), 413),
        ):
            self.assertEqual((await self.call("POST", "/v1/tenants", raw=raw)).status, status)
        response = await self.call("POST", "/v1/tenants", good, Content_Type="text/plain")
        self.assertEqual(response.status, 415)
        for path, status in (
            ("/v1/tenants?limit=0", 400),
            ("/v1/tenants?limit=x", 400),
            ("/v1/nothing", 404),
            ("/v1/tenants/t9", 404),
            ("/v1/operations/op-9", 404),
        ):
            self.assertEqual((await self.call("GET", path)).status, status, path)
        self.assertEqual((await self.call("PATCH", "/v1/tenants")).status, 405)
        self.assertEqual(json.dumps(registry_to_json(host_process.services.registry)), before)
        self.assertEqual(await self.send("t1"), (200, b"t1"))

    async def test_half_sent_bodies_and_a_flood_leave_serving_unharmed(self) -> None:
        """Callers open as many calls as the API takes and send only the beginning of each body.

        Further calls get 429 and the tenants are served; once the callers are gone the API answers again.
        """
        host_process = await self.start_host(await self.tenant("t1"))
        writers = []
        for _ in range(MAX_OPEN_CALLS):
            _, writer = await asyncio.open_connection(*self.api)
            writer.write(
                f"POST /v1/tenants HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {OPERATOR_TOKEN}\r\n"
                "Content-Type: application/json\r\nContent-Length: 99\r\n\r\n{".encode()
            )
            writers.append(writer)
        while host_process.api.open_call_count < MAX_OPEN_CALLS:
            await asyncio.sleep(POLL_S)
        self.assertEqual((await self.call("GET", "/v1/tenants")).status, 429)
        self.assertEqual(await self.send("t1"), (200, b"t1"))
        for writer in writers:
            writer.close()
        while host_process.api.open_call_count:
            await asyncio.sleep(POLL_S)
        self.assertEqual((await self.call("GET", "/v1/tenants")).status, 200)

    async def test_the_description_says_what_is_served(self) -> None:
        host_process = await self.start_host(await self.tenant("t1"))
        status, described, _ = await self.call("GET", "/openapi.json", token=None)
        self.assertEqual((status, described), (200, json.loads(json.dumps(openapi_document()))))
        served_calls = {
            (route.method, route.resource.canonical)
            for route in host_process.api.app.router.routes()
            if route.resource and route.method != "HEAD"
        }
        described_calls = {
            (method.upper(), path) for path, methods in described["paths"].items() for method in methods
        }
        self.assertEqual(described_calls, served_calls)
        self.assertEqual(described_calls, {(operation.method, operation.path) for operation in OPERATIONS})
        references = re.findall(r'"#/components/schemas/([^"]+)"', json.dumps(described))
        self.assertEqual(set(references) - set(described["components"]["schemas"]), set())
        for operation in OPERATIONS:
            path = operation.path.replace("{tenant}", "t1").replace("{operation}", "op-1")
            for token, body in ((OPERATOR_TOKEN, None), (TENANT_TOKEN, 7), (None, None)):
                response = await self.call(operation.method, path, body, token=token)
                self.assertIn(response.status, possible_responses(operation), (operation.method, path))


class Callers(HostCase):
    """Roles, several administrators at once, and the audit log."""

    async def test_each_role_sees_and_changes_what_is_its_own(self) -> None:
        await self.start_host(await self.tenant("t1"), await self.tenant("t2"))
        for token in (None, "", "guess", hash_token(OPERATOR_TOKEN)):
            self.assertEqual((await self.call("GET", "/v1/tenants", token=token)).status, 401)
        page = (await self.call("GET", "/v1/tenants", token=TENANT_TOKEN)).body
        self.assertEqual([tenant["name"] for tenant in page["tenants"]], ["t1"])
        _, own, headers = await self.call("GET", "/v1/tenants/t1", token=TENANT_TOKEN)
        etag = headers["ETag"]
        for path in ("", "/plans", "/use"):
            response = await self.call("GET", f"/v1/tenants/t2{path}", token=TENANT_TOKEN)
            self.assertEqual(response.status, 403)
        for method, path in (("DELETE", "/t1"), ("POST", "/t1/suspend"), ("POST", "")):
            response = await self.call(method, f"/v1/tenants{path}", {}, token=TENANT_TOKEN, If_Match=etag)
            self.assertEqual(response.status, 403)
        for change, status in (
            ({"weight": 9.0}, 403),
            ({"route": [{"host": "mine.example"}]}, 403),
            ({"allowed": {"submissions": 1}}, 200),
        ):
            spec = {**own["spec"], **change}
            response = await self.call("PUT", "/v1/tenants/t1", spec, token=TENANT_TOKEN, If_Match=etag)
            self.assertEqual(response.status, status, change)
        drain = await self.call("POST", "/v1/tenants/t2/drain", If_Match='"2"')
        response = await self.call("GET", f"/v1/operations/{drain.body['id']}", token=TENANT_TOKEN)
        self.assertEqual(response.status, 404)

    async def test_administrators_at_once(self) -> None:
        """Of many that change one version one succeeds; of many creates under one key there is one."""
        host_process = await self.start_host(await self.tenant("t1"))
        changes = [
            self.call("PUT", "/v1/tenants/t1/limits", {"submissions": 1 + n % 3}, If_Match='"1"')
            for n in range(12)
        ]
        statuses = sorted([response.status for response in await asyncio.gather(*changes)])
        self.assertEqual(statuses, [200] + [412] * 11)
        tenant = await self.tenant("t2")
        creates = (self.call("POST", "/v1/tenants", tenant, Idempotency_Key="k") for _ in range(8))
        created = await asyncio.gather(*creates)
        self.assertEqual({response.status for response in created}, {201})
        self.assertEqual(len({response.body["version"] for response in created}), 1)
        self.assertEqual(list(host_process.services.services), ["t1", "t2"])

    async def test_a_line_for_each_change_without_secrets(self) -> None:
        log = self.log_lines()
        await self.start_host(await self.tenant("t1"))
        await self.call("POST", "/v1/tenants/t1/suspend", If_Match='"1"')
        await self.call("DELETE", "/v1/tenants/t1", If_Match='"1"')
        self.assertEqual(
            [line.strip() for line in log if line.startswith("audit")],
            ["audit: ops asked to suspend t1: 200", "audit: ops asked to remove t1: 412"],
        )
        secrets = (OPERATOR_TOKEN, hash_token(OPERATOR_TOKEN))
        self.assertFalse([line for line in log if any(secret in line for secret in secrets)])


class StoredState(HostCase):
    """What a change leaves on the disk, whatever happens meanwhile."""

    async def test_what_the_api_changed_outlives_a_restart(self) -> None:
        folder = self.folder()
        first = await self.start_host(await self.tenant("t1"), state=folder)
        created = await self.call("POST", "/v1/tenants", await self.tenant("t2"))
        self.assertEqual(created.status, 201)
        await self.call("DELETE", "/v1/tenants/t1", If_Match='"1"')
        while first.services.closing or first.services.awaiting_drain:
            await asyncio.sleep(POLL_S)
        # The operator's file is for a first start: its tenant is not there
        second = await self.start_host(await self.tenant("t3"), state=folder)
        self.assertEqual(list(second.services.services), ["t2"])
        self.assertEqual(await self.send("t2"), (200, b"t2"))
        path = pathlib.Path(folder) / "tenants.state"
        path.write_bytes(path.read_bytes().replace(b'"drumgw state": 1', b'"drumgw state": 9'))
        with self.assertRaisesRegex(ConfigError, "newer version"):
            await self.start_host(state=folder)

    async def test_a_folder_that_cannot_be_written_changes_nothing(self) -> None:
        """The disk is full when a tenant is removed: the call fails and the tenant is served as before."""
        host_process = await self.start_host(await self.tenant("t1"))
        assert host_process.state_file is not None
        with mock.patch.object(host_process.state_file, "save", side_effect=OSError("full")):
            response = await self.call("DELETE", "/v1/tenants/t1", If_Match='"1"')
            self.assertEqual(response.status, 500)
        self.assertEqual(await self.send("t1"), (200, b"t1"))
        self.assertEqual((await self.call("GET", "/v1/tenants/t1")).body["state"], "active")

    async def test_a_stop_in_the_midst_of_a_change(self) -> None:
        """The host is stopped while a change is being written to the disk.

        The change is complete in the state file, and the caller is not answered that it failed.
        """
        folder = self.folder()
        host_process = await self.start_host(await self.tenant("t1"), state=folder)
        assert host_process.state_file is not None
        begun = threading.Event()
        proceed = threading.Event()
        save = host_process.state_file.save

        def slow_save(content: Any) -> None:
            begun.set()
            proceed.wait(20)
            save(content)

        with (
            mock.patch.object(host_process.state_file, "save", slow_save),
            mock.patch("drumgw.hosting.host_process.SHUTDOWN_LINGER_MS", 0.0),
        ):
            change = asyncio.create_task(self.call("POST", "/v1/tenants/t1/suspend", If_Match='"1"'))
            await asyncio.to_thread(begun.wait)
            closing = asyncio.create_task(host_process.close())
            await asyncio.sleep(0)
            proceed.set()
            await closing
            response = (await asyncio.gather(change, return_exceptions=True))[0]
        loaded = StateFile(folder).load()
        states = [row[3] for row in loaded.content["tenants"]] if loaded else ["active"]
        self.assertEqual(states, ["suspended"])
        self.assertEqual(response[0] if isinstance(response, tuple) else 200, 200)

    async def test_without_a_folder_the_api_reads_only_and_says_so(self) -> None:
        await self.start_host(await self.tenant("t1"), state=None)
        response = await self.call("DELETE", "/v1/tenants/t1", If_Match='"1"')
        self.assertEqual((response.status, "operator's file" in response.body["detail"]), (405, True))
        self.assertEqual((await self.call("GET", "/v1/tenants/t1")).status, 200)


class CommandLine(HostCase):
    """`drumgw tenants` against a host."""

    async def run_tenants(self, *arguments: str, body: Any = None) -> tuple[int, str]:
        """Runs `drumgw tenants`; returns its exit code and what it printed."""
        result = await asyncio.to_thread(
            CliRunner().invoke,
            main,
            ["tenants", "--api", "{}:{}".format(*self.api), *arguments],
            None if body is None else json.dumps(body),
            {"DRUMGW_TOKEN": OPERATOR_TOKEN},
        )
        return result.exit_code, result.output

    async def test_tenants_are_administered_from_the_command_line(self) -> None:
        host_process = await self.start_host(await self.tenant("t1"))
        tenant = await self.tenant("t2")
        run = self.run_tenants
        self.assertEqual(await run("list"), (0, "t1  active  1\n"))
        self.assertEqual((await run("create", "-", body=tenant))[0], 0)
        await self.wait_until_ready()
        code, output = await run("create", "-", body=tenant)
        self.assertEqual((code, "Name taken" in output), (1, True))
        self.assertEqual((await run("replace", "t2", "-", "--part", "limits", body={"submissions": 2}))[0], 0)
        await self.wait_until_ready()
        config = host_process.services.services["t2"].gateway_service.config
        self.assertEqual(config.settings.max_attempts, 2)
        for arguments in (("suspend", "t2"), ("resume", "t2"), ("show", "t2", "--use"), ("show", "t2")):
            self.assertEqual((await run(*arguments))[0], 0, arguments)
        code, output = await run("remove", "t2", "--wait", "10")
        self.assertEqual((code, json.loads(output)["state"]), (0, "done"))
        self.assertEqual(await run("list"), (0, "t1  active  1\n"))
        self.assertEqual((await run("show", "t2"))[0], 1)


class HostFiles(unittest.TestCase):
    """`drumgw host --check`."""

    def test_a_host_file_is_checked_as_a_whole(self) -> None:
        path = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory())) / "host.toml"
        text = pathlib.Path("examples/host.toml").read_text()
        for old, new, message in (
            ("", "", "usable: 2 tenant(s)"),
            ('host = "b.example"', 'host = "a.example"', "is routed to"),
            ('api = "127.0.0.1:9090"', 'api = "0.0.0.0:9090"', "tokens pass in the clear"),
            ("sla_ms = 3000", "sla_ms = 30000", "beyond expiry_ms"),
            ("weight = 1.0", "wait = 1.0", "no such key"),
        ):
            with self.subTest(message):
                self.assertIn(old, text)
                path.write_text(text.replace(old, new, 1))
                result = CliRunner().invoke(main, ["host", "--check", str(path)])
                self.assertEqual(result.exit_code, 0 if "usable:" in message else 2, result.output)
                self.assertIn(message, result.output)
