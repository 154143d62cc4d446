"""Tests the administration API of a host over sockets: validation, roles, versions, state file, commands."""

from __future__ import annotations

import asyncio
import json
import pathlib
import re
import tempfile
import threading
import unittest
from typing import Any, NamedTuple
from unittest import mock

from click.testing import CliRunner

from drumgw.cli.__main__ import main
from drumgw.gateway.process_config import ConfigError
from drumgw.hosting.admin_api import MAX_BODY_BYTES, MAX_CONCURRENT_CALLS
from drumgw.hosting.admin_connections import AdminConnection
from drumgw.hosting.api_operations import OPERATIONS, possible_responses
from drumgw.hosting.authentication import hash_token
from drumgw.hosting.openapi import openapi_document
from drumgw.hosting.registry_persistence import registry_to_json
from drumgw.hosting.state_file import StateFile
from tests.hosting_harness import OPERATOR_TOKEN, PLANS, POLL_S, TENANT_TOKEN, HostCase
from tests.live_objects import LiveObjects, stop_garbage_collector


class ValidationAndLimits(HostCase):
    """Validation of calls, limits on them, and the OpenAPI document."""

    async def test_invalid_calls_are_rejected_and_change_nothing(self) -> None:
        host_process = await self.start_host(await self.tenant("t1"))
        valid_body = await self.tenant("t2")
        registry_before = json.dumps(registry_to_json(host_process.services.registry))
        for body, status, pointer in (
            ({**valid_body, "plan": [{**PLANS[0], "units_per_s": -1.0}]}, 422, "/plan/0/units_per_s"),
            ({**valid_body, "plan": "p"}, 422, "/plan"),
            ({**valid_body, "colour": 1}, 422, "/colour"),
            ({**valid_body, "route": [{"host": "t1.example"}]}, 409, "/route/0"),
            ({**valid_body, "route": [{"host": "a/b"}]}, 422, "/route/0/host"),
            ({**valid_body, "name": "t1"}, 409, "/name"),
            ({**valid_body, "name": "T 1"}, 422, "/name"),
            ({**valid_body, "discovery": "nowhere"}, 422, "/discovery"),
            ({key: value for key, value in valid_body.items() if key != "product"}, 422, "/product"),
            ({**valid_body, "weight": float("nan")}, 422, "/weight"),
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
        response = await self.call("POST", "/v1/tenants", valid_body, Content_Type="text/plain")
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
        self.assertEqual(json.dumps(registry_to_json(host_process.services.registry)), registry_before)
        self.assertEqual(await self.send("t1"), (200, b"t1"))

    async def test_incomplete_bodies_and_excess_calls_do_not_affect_tenants(self) -> None:
        """Guards against incomplete bodies and floods of calls that block the API or the tenants' requests.

        Callers open MAX_CONCURRENT_CALLS calls and send only the first byte of each body. Another call must
        get 429 while the tenants are served, and the API must answer again once the callers have
        disconnected.
        """
        host_process = await self.start_host(await self.tenant("t1"))
        writers = []
        for _ in range(MAX_CONCURRENT_CALLS):
            _, writer = await asyncio.open_connection(*self.api)
            writer.write(
                f"POST /v1/tenants HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {OPERATOR_TOKEN}\r\n"
                "Content-Type: application/json\r\nContent-Length: 99\r\n\r\n{".encode()
            )
            writers.append(writer)
        while host_process.api.open_call_count < MAX_CONCURRENT_CALLS:
            await asyncio.sleep(POLL_S)
        self.assertEqual((await self.call("GET", "/v1/tenants")).status, 429)
        self.assertEqual(await self.send("t1"), (200, b"t1"))
        for writer in writers:
            writer.close()
        while host_process.api.open_call_count:
            await asyncio.sleep(POLL_S)
        self.assertEqual((await self.call("GET", "/v1/tenants")).status, 200)

    async def test_a_caller_that_disconnects_in_a_body_leaves_one_audit_line_and_no_memory(self) -> None:
        """Regression: each left the log of an internal error, so that callers could flood the log."""
        await self.start_host(await self.tenant("t1"))
        log = self.log_lines()
        stop_garbage_collector(self)
        connections = LiveObjects(AdminConnection)
        for body in (b"", b"{", 1000 * b" "):
            _, writer = await asyncio.open_connection(*self.api)
            writer.write(
                f"POST /v1/tenants HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {OPERATOR_TOKEN}\r\n"
                "Content-Type: application/json\r\nContent-Length: 9999\r\n\r\n".encode()
                + body
            )
            while not self.host_process.api.open_call_count:
                await asyncio.sleep(POLL_S)
            writer.transport.abort()
            async with asyncio.timeout(10):
                while self.host_process.api.open_call_count or connections.count():
                    await asyncio.sleep(POLL_S)
        lines = [line.strip() for line in log if not line.startswith("process stalled")]
        self.assertEqual(lines, 3 * ["audit: ops asked to create : 499"])

    async def test_calls_that_cannot_be_read_are_rejected_and_leave_nothing_behind(self) -> None:
        """Regression: the error of a head that never ends kept what was read until the next collection."""
        await self.start_host(await self.tenant("t1"))
        stop_garbage_collector(self)
        connections = LiveObjects(AdminConnection)
        post = (
            f"POST /v1/tenants HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {OPERATOR_TOKEN}\r\n"
            "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode()
        for call, status in (
            (b"GET /v1/tenants HTTP/1.1\r\nX-Note: " + 500_000 * b"y", 400),
            (b"GET /v1/tenants HTTP/1.1\r\n" + 50 * (b"X-Note: " + 4000 * b"y" + b"\r\n"), 431),
            (post + b"1\r\n{\r\nnoise\r\n", 400),
            (post + b"1\r\n{\r\n0\r\n" + 50 * (b"X-Note: " + 4000 * b"y" + b"\r\n"), 413),
        ):
            reader, writer = await asyncio.open_connection(*self.api)
            writer.write(call)
            async with asyncio.timeout(10):
                self.assertEqual(int((await reader.readline()).split()[1]), status)
                writer.transport.abort()
                while connections.count():
                    await asyncio.sleep(POLL_S)

    async def test_openapi_document_matches_served_operations(self) -> None:
        host_process = await self.start_host(await self.tenant("t1"))
        status, served_document, _ = await self.call("GET", "/openapi.json", token=None)
        self.assertEqual((status, served_document), (200, json.loads(json.dumps(openapi_document()))))
        served_calls = {
            (route.method, route.resource.canonical)
            for route in host_process.api.app.router.routes()
            if route.resource and route.method != "HEAD"
        }
        documented_calls = {
            (method.upper(), path) for path, methods in served_document["paths"].items() for method in methods
        }
        self.assertEqual(documented_calls, served_calls)
        self.assertEqual(documented_calls, {(operation.method, operation.path) for operation in OPERATIONS})
        references = re.findall(r'"#/components/schemas/([^"]+)"', json.dumps(served_document))
        self.assertEqual(set(references) - set(served_document["components"]["schemas"]), set())
        for operation in OPERATIONS:
            path = operation.path.replace("{tenant}", "t1").replace("{operation}", "op-1")
            for token, body in ((OPERATOR_TOKEN, None), (TENANT_TOKEN, 7), (None, None)):
                response = await self.call(operation.method, path, body, token=token)
                self.assertIn(response.status, possible_responses(operation), (operation.method, path))


class RolesAndAudit(HostCase):
    """Roles, concurrent administrators and the audit log."""

    async def test_each_role_is_limited_to_its_permissions(self) -> None:
        await self.start_host(await self.tenant("t1"), await self.tenant("t2"))
        for token in (None, "", "guess", hash_token(OPERATOR_TOKEN)):
            self.assertEqual((await self.call("GET", "/v1/tenants", token=token)).status, 401)
        page = (await self.call("GET", "/v1/tenants", token=TENANT_TOKEN)).body
        self.assertEqual([tenant["name"] for tenant in page["tenants"]], ["t1"])
        _, own_tenant, headers = await self.call("GET", "/v1/tenants/t1", token=TENANT_TOKEN)
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
            spec = {**own_tenant["spec"], **change}
            response = await self.call("PUT", "/v1/tenants/t1", spec, token=TENANT_TOKEN, If_Match=etag)
            self.assertEqual(response.status, status, change)
        drain = await self.call("POST", "/v1/tenants/t2/drain", If_Match='"2"')
        response = await self.call("GET", f"/v1/operations/{drain.body['id']}", token=TENANT_TOKEN)
        self.assertEqual(response.status, 404)

    async def test_concurrent_changes_and_creates(self) -> None:
        """Guards against lost updates and duplicate creates.

        Of concurrent changes to one version only one succeeds, and concurrent creates with one idempotency
        key create one tenant.
        """
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

    async def test_audit_log_has_a_line_per_change_and_no_secrets(self) -> None:
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
    """The state file after changes, restarts, write errors and shutdown."""

    async def test_changes_survive_a_restart(self) -> None:
        folder = self.folder()
        first = await self.start_host(await self.tenant("t1"), state=folder)
        created = await self.call("POST", "/v1/tenants", await self.tenant("t2"))
        self.assertEqual(created.status, 201)
        await self.call("DELETE", "/v1/tenants/t1", If_Match='"1"')
        while first.services.closing or first.services.awaiting_drain:
            await asyncio.sleep(POLL_S)
        # The host file defines tenants only where no state is stored, so t3 is ignored.
        second = await self.start_host(await self.tenant("t3"), state=folder)
        self.assertEqual(list(second.services.services), ["t2"])
        self.assertEqual(await self.send("t2"), (200, b"t2"))
        path = pathlib.Path(folder) / "tenants.state"
        path.write_bytes(path.read_bytes().replace(b'"drumgw state": 1', b'"drumgw state": 9'))
        with self.assertRaisesRegex(ConfigError, "newer version"):
            await self.start_host(state=folder)

    async def test_failed_write_of_the_state_file_changes_nothing(self) -> None:
        """Guards against a change that takes effect although it could not be stored.

        The disk is full when a tenant is removed: the call fails and the tenant is served as before.
        """
        host_process = await self.start_host(await self.tenant("t1"))
        assert host_process.state_file is not None
        with mock.patch.object(host_process.state_file, "save", side_effect=OSError("full")):
            response = await self.call("DELETE", "/v1/tenants/t1", If_Match='"1"')
            self.assertEqual(response.status, 500)
        self.assertEqual(await self.send("t1"), (200, b"t1"))
        self.assertEqual((await self.call("GET", "/v1/tenants/t1")).body["state"], "active")

    async def test_shutdown_during_a_change_keeps_the_change(self) -> None:
        """Guards against a shutdown that loses a change or reports it as failed.

        The host is closed while a thread writes the change to disk. The state file must hold the change, and
        the caller must get status 200 or no answer.
        """
        folder = self.folder()
        host_process = await self.start_host(await self.tenant("t1"), state=folder)
        assert host_process.state_file is not None
        save_started = threading.Event()
        may_save = threading.Event()
        save = host_process.state_file.save

        def slow_save(content: Any) -> None:
            save_started.set()
            may_save.wait(20)
            save(content)

        with (
            mock.patch.object(host_process.state_file, "save", slow_save),
            mock.patch("drumgw.hosting.host_process.SHUTDOWN_LINGER_MS", 0.0),
        ):
            change = asyncio.create_task(self.call("POST", "/v1/tenants/t1/suspend", If_Match='"1"'))
            await asyncio.to_thread(save_started.wait)
            closing = asyncio.create_task(host_process.close())
            await asyncio.sleep(0)
            may_save.set()
            await closing
            response = (await asyncio.gather(change, return_exceptions=True))[0]
        loaded = StateFile(folder).load()
        states = [row[3] for row in loaded.content["tenants"]] if loaded else ["active"]
        self.assertEqual(states, ["suspended"])
        self.assertEqual(response[0] if isinstance(response, tuple) else 200, 200)

    async def test_without_a_state_folder_changes_are_rejected(self) -> None:
        await self.start_host(await self.tenant("t1"), state=None)
        response = await self.call("DELETE", "/v1/tenants/t1", If_Match='"1"')
        self.assertEqual((response.status, "the host file only" in response.body["detail"]), (405, True))
        self.assertEqual((await self.call("GET", "/v1/tenants/t1")).status, 200)


class CommandResult(NamedTuple):
    """What a command left: its exit code and both of its outputs."""

    exit_code: int
    stdout: str
    stderr: str


class TenantCommands(HostCase):
    """The command `drumgw tenants` against a running host."""

    async def run_tenants(self, *arguments: str, body: Any = None) -> CommandResult:
        """Runs `drumgw tenants` with the operator's token.

        Standard error also has what asyncio logs in this process meanwhile.

        Args:
            arguments: follow the option --api.
            body: sent to standard input as JSON; None sends nothing.
        """
        result = await asyncio.to_thread(
            CliRunner().invoke,
            main,
            ["tenants", "--api", "{}:{}".format(*self.api), *arguments],
            None if body is None else json.dumps(body),
            {"DRUMGW_TOKEN": OPERATOR_TOKEN},
        )
        return CommandResult(result.exit_code, result.stdout, result.stderr)

    async def test_commands_administer_tenants(self) -> None:
        host_process = await self.start_host(await self.tenant("t1"))
        tenant = await self.tenant("t2")
        run = self.run_tenants
        self.assertEqual((await run("list"))[:2], (0, "t1  active  1\n"))
        self.assertEqual((await run("create", "-", body=tenant)).exit_code, 0)
        await self.wait_until_ready()
        refused = await run("create", "-", body=tenant)
        self.assertEqual((refused.exit_code, refused.stdout), (1, ""))
        self.assertIn("Name already in use", refused.stderr)
        replaced = await run("replace", "t2", "-", "--part", "limits", body={"submissions": 2})
        self.assertEqual(replaced.exit_code, 0)
        await self.wait_until_ready()
        config = host_process.services.services["t2"].gateway_service.config
        self.assertEqual(config.settings.max_attempts, 2)
        for arguments in (("suspend", "t2"), ("resume", "t2"), ("show", "t2", "--use"), ("show", "t2")):
            self.assertEqual((await run(*arguments)).exit_code, 0, arguments)
        removed = await run("remove", "t2", "--wait", "10")
        self.assertEqual((removed.exit_code, json.loads(removed.stdout)["state"]), (0, "done"))
        self.assertEqual((await run("list"))[:2], (0, "t1  active  1\n"))
        self.assertEqual((await run("show", "t2")).exit_code, 1)

    async def test_what_asyncio_logs_meanwhile_is_not_taken_for_output(self) -> None:
        """Guards against a test that fails on a slow machine, as asyncio then logs callbacks over 100 ms."""
        await self.start_host(await self.tenant("t1"))
        asyncio.get_running_loop().slow_callback_duration = 0.0  # seconds
        listed = await self.run_tenants("list")
        self.assertEqual((listed.exit_code, listed.stdout), (0, "t1  active  1\n"))
        self.assertIn("Executing", listed.stderr)


class HostFileCheck(unittest.TestCase):
    """The command `drumgw host --check`."""

    def test_host_file_check_accepts_the_example_and_reports_errors(self) -> None:
        path = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory())) / "host.toml"
        text = pathlib.Path("examples/host.toml").read_text()
        for old, new, message in (
            ("", "", ": valid: 2 tenant(s)"),
            ('host = "b.example"', 'host = "a.example"', "is routed to"),
            ('api = "127.0.0.1:9090"', 'api = "0.0.0.0:9090"', "tokens pass in the clear"),
            ("sla_ms = 3000", "sla_ms = 30000", "exceeds expiry_ms"),
            ("weight = 1.0", "wait = 1.0", "no such key"),
        ):
            with self.subTest(message):
                self.assertIn(old, text)
                path.write_text(text.replace(old, new, 1))
                result = CliRunner().invoke(main, ["host", "--check", str(path)])
                self.assertEqual(result.exit_code, 0 if ": valid:" in message else 2, result.output)
                self.assertIn(message, result.output)
