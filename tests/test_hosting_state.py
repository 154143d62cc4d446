"""Tests of a host's routing, admission, registry, permissions and state file, without sockets."""

from __future__ import annotations

import json
import os
import pathlib
import random
import tempfile
import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any

from drumgw.hosting.api_operations import OPERATIONS
from drumgw.hosting.authentication import (
    ApiToken,
    Authenticator,
    Permission,
    Role,
    generate_token,
    hash_token,
    is_allowed,
)
from drumgw.hosting.errors import ApiError
from drumgw.hosting.registry_persistence import registry_from_json, registry_to_json
from drumgw.hosting.resource_limits import FairShares
from drumgw.hosting.routing import AmbiguousRouteError, Route, RoutingTable
from drumgw.hosting.state_file import FileSystem, LoadedState, NewerVersionError, StateFile, StateFileError
from drumgw.hosting.tenant_registry import (
    MAX_IDEMPOTENCY_KEYS,
    MAX_OPERATIONS,
    ChangeKind,
    TenantRegistry,
)
from drumgw.hosting.tenant_states import OperationState, TenantCommand, TenantState
from drumgw.hosting.weighted_fair_limiter import WeightedFairLimiter


def spec(*routes: tuple[str, str], **more: Any) -> dict[str, Any]:
    """Returns a tenant's spec with routes for these pairs of host and path."""
    return {"route": [{"host": host, "path": path} for host, path in routes], "weight": 1.0, **more}


class Routing(unittest.TestCase):
    """Finding the tenant for a host and a path."""

    def test_the_exact_host_takes_precedence_then_the_longest_prefix(self) -> None:
        routes = RoutingTable(
            [
                ("any", Route("", "")),
                ("a", Route("a.example", "")),
                ("a-deep", Route("a.example", "/x/y")),
                ("a-x", Route("a.example", "/x")),
                ("shop", Route("", "/shop")),
            ]
        )
        for host, target, tenant, path in (
            ("a.example", "/preview?q=1", "a", "/preview?q=1"),
            ("A.Example.:8080", "/x/y/preview?q=/x", "a-deep", "/preview?q=/x"),
            ("a.example", "/x/yy/preview", "a-x", "/yy/preview"),
            ("a.example", "/xx/preview", "a", "/xx/preview"),
            ("a.example", "/shop/preview", "a", "/shop/preview"),  # the exact host takes precedence
            ("b.example", "/shop/preview", "shop", "/preview"),
            ("b.example", "/shop", "shop", "/"),
            ("b.example", "/shop?x", "shop", "?x"),
            (None, "/preview", "any", "/preview"),
            ("[::1]:80", "//preview", "any", "//preview"),
        ):
            with self.subTest(host=host, target=target):
                self.assertEqual(routes.find(host, target), (tenant, path))
        self.assertIsNone(RoutingTable([("a", Route("a.example", ""))]).find("b.example", "/"))
        self.assertIsNone(RoutingTable([("a", Route("", "/x"))]).find(None, "/%78/preview"))

    def test_one_route_for_two_tenants_is_rejected_with_both_names(self) -> None:
        with self.assertRaisesRegex(AmbiguousRouteError, "any host/x is routed to a and to b"):
            RoutingTable([("a", Route("", "/x")), ("a", Route("", "/x")), ("b", Route("", "/x"))])


class SharedCapacity(unittest.TestCase):
    """Limits on the requests of each tenant: its share of the capacity, and its rate while the loop lags."""

    def test_each_tenant_keeps_its_share_and_none_borrows_everything(self) -> None:
        """Two tenants acquire as many units as they can before the third acquires any.

        Each gets its guaranteed share and half of the borrowable units; the third still gets its full share.
        """
        shares = FairShares(100)
        for name, weight in (("big", 3.0), ("one", 1.0), ("two", 1.0)):
            shares.set_weight(name, weight)
        self.assertEqual([share.guaranteed for share in shares.tenants.values()], [30, 10, 10])
        self.assertEqual(sum(shares.acquire("one") for _ in range(1000)), 10 + 25)
        self.assertEqual(sum(shares.acquire("two") for _ in range(1000)), 10 + 25)
        self.assertEqual(sum(shares.acquire("big") for _ in range(1000)), 30)  # nothing is left to borrow
        shares.release("one")
        self.assertTrue(shares.acquire("big"))
        self.assertEqual((shares.tenants["one"].refused_count, shares.borrowed), (965, 50))

    def test_counts_are_consistent_after_random_calls(self) -> None:
        rng = random.Random(5)
        for _ in range(40):
            shares = FairShares(rng.randint(2, 60))
            acquired: Counter[str] = Counter()
            for _ in range(400):
                name = rng.choice("abcdef")
                choice = rng.random()
                if choice < 0.08:
                    shares.set_weight(name, rng.choice((0.5, 1.0, 4.0)))
                elif choice < 0.11 and name in shares.tenants:
                    shares.remove(name)
                elif choice < 0.6:
                    acquired[name] += shares.acquire(name)
                elif acquired[name]:
                    shares.release(name)
                    acquired[name] -= 1
                in_use = {name: share.in_use for name, share in shares.tenants.items() if share.in_use}
                self.assertEqual(in_use, {name: count for name, count in acquired.items() if count})
                borrowed = sum(max(0, share.in_use - share.guaranteed) for share in shares.tenants.values())
                self.assertEqual(shares.borrowed, borrowed)

    def test_a_lagging_event_loop_limits_a_busy_tenant_but_not_a_quiet_one(self) -> None:
        """One tenant sends a burst of requests, another a few, and the event loop starts to lag.

        Without lag both are admitted. With lag, the busy tenant is rejected until its burst has left the
        window, and the quiet one never is; a tenant that is the only one in the window is not rejected.
        """
        limiter = WeightedFairLimiter()
        weights = {"busy": 1.0, "quiet": 1.0}
        quiet_count = sum(limiter.admit(now, "quiet", weights) for now in range(0, 1000, 50))
        self.assertEqual(sum(limiter.admit(999.0, "busy", weights) for _ in range(400)), 400)
        limiter.lag_ms = 100.0
        self.assertFalse(limiter.admit(1000.0, "busy", weights))
        self.assertTrue(limiter.admit(1000.0, "quiet", weights))
        self.assertEqual(quiet_count, 20)
        self.assertTrue(limiter.admit(3000.0, "busy", weights))
        self.assertEqual(sum(limiter.admit(3001.0, "busy", weights) for _ in range(50)), 50)


class Registry(unittest.TestCase):
    """Versions, states, idempotency keys and the stored format of the tenant registry."""

    def assert_rejected(self, status: int, call: Callable[..., Any], *arguments: Any) -> ApiError:
        with self.assertRaises(ApiError) as context:
            call(*arguments)
        self.assertEqual(context.exception.status, status, context.exception)
        return context.exception

    def test_a_change_based_on_a_stale_version_is_rejected(self) -> None:
        """Two administrators change a tenant on the basis of the same version: the second is rejected."""
        registry = TenantRegistry()
        change = registry.create("a", spec(("a.example", "")))
        self.assertEqual((change.kind, change.tenant.version), (ChangeKind.CREATED, 1))
        self.assert_rejected(428, registry.replace_spec, "a", spec(("a.example", "")), None)
        registry.replace_spec("a", spec(("a.example", "/x")), '"1"')
        self.assert_rejected(412, registry.replace_spec, "a", spec(("a.example", "/y")), '"1"')
        self.assert_rejected(412, registry.apply_command, "a", TenantCommand.SUSPEND, '"1"')
        self.assertEqual(registry.routes.find("a.example", "/x/p"), ("a", "/p"))
        self.assert_rejected(404, registry.replace_spec, "b", spec(), '"1"')

    def test_a_route_of_another_tenant_is_rejected_and_nothing_changes(self) -> None:
        registry = TenantRegistry()
        registry.create("a", spec(("a.example", "")))
        error = self.assert_rejected(409, registry.create, "b", spec(("b.example", ""), ("a.example", "")))
        self.assertEqual([field.pointer for field in error.field_errors], ["/route/1"])
        self.assertEqual(list(registry.tenants), ["a"])
        self.assertIsNone(registry.routes.find("b.example", "/"))
        registry.create("b", spec(("b.example", "")))
        self.assert_rejected(409, registry.replace_spec, "b", spec(("a.example", "")), '"2"')
        self.assertEqual(registry.tenants["b"].version, 2)

    def test_commands_change_the_state_of_a_tenant(self) -> None:
        registry = TenantRegistry()
        registry.create("a", spec(("a.example", "")))
        for command, state in (
            (TenantCommand.SUSPEND, TenantState.SUSPENDED),
            (TenantCommand.RESUME, TenantState.ACTIVE),
            (TenantCommand.DRAIN, TenantState.DRAINING),
            (TenantCommand.RESUME, TenantState.ACTIVE),
            (TenantCommand.DRAIN, TenantState.DRAINING),
        ):
            tenant = registry.apply_command("a", command, f'"{registry.tenants["a"].version}"').tenant
            self.assertEqual(tenant.state, state)
        etag = f'"{tenant.version}"'
        self.assert_rejected(409, registry.apply_command, "a", TenantCommand.SUSPEND, etag)
        operation_id = tenant.operation_id or ""
        self.assertEqual(
            [operation.state for operation in registry.operations.values()],
            [OperationState.CANCELLED, OperationState.RUNNING],
        )
        registry.finish_drain(tenant.serial)
        self.assertEqual(tenant.state, TenantState.DRAINED)
        self.assertEqual(registry.get_operation(operation_id).state, OperationState.DONE)
        self.assert_rejected(412, registry.apply_command, "a", TenantCommand.RESUME, etag)

    def test_enum_values_of_the_api_and_the_state_file_are_stable(self) -> None:
        """Stored files and API clients depend on these values, whatever the enum members are called."""
        self.assertEqual(
            [state.value for state in TenantState],
            ["active", "suspended", "draining", "drained", "removed"],
        )
        self.assertEqual([state.value for state in OperationState], ["running", "done", "called off"])
        self.assertEqual(
            [command.value for command in TenantCommand], ["suspend", "resume", "drain", "remove"]
        )
        self.assertEqual([role.value for role in Role], ["operator", "tenant"])

    def test_a_removed_name_can_be_reused_and_the_old_tenant_stays_separate(self) -> None:
        """A tenant is created under the name of a removed one that still has requests in flight.

        The old versions, the old idempotency key and the end of the removal must not affect the new tenant.
        """
        registry = TenantRegistry()
        old = registry.create("a", spec(("a.example", "")), "key-1").tenant
        removal = registry.apply_command("a", TenantCommand.REMOVE, '"1"')
        self.assertEqual(removal.kind, ChangeKind.REMOVED)
        self.assertIsNone(registry.routes.find("a.example", "/"))
        self.assert_rejected(410, registry.create, "a", spec(("a.example", "")), "key-1")
        new = registry.create("a", spec(("a.example", ""))).tenant
        self.assertNotEqual((new.serial, new.version), (old.serial, old.version))
        self.assert_rejected(412, registry.apply_command, "a", TenantCommand.REMOVE, '"1"')
        self.assertIsNone(registry.finish_drain(old.serial))
        operation = registry.get_operation(removal.tenant.operation_id or "")
        self.assertEqual(operation.state, OperationState.DONE)
        self.assertEqual(registry.tenants["a"].state, TenantState.ACTIVE)

    def test_a_repeated_create_takes_effect_once(self) -> None:
        """The response to a create is lost, and the client repeats it with the same idempotency key."""
        registry = TenantRegistry()
        first = registry.create("a", spec(("a.example", "")), "k").tenant
        repeat = registry.create("a", spec(("a.example", "")), "k")
        self.assertIs(repeat.tenant, first)
        self.assertEqual(repeat.kind, ChangeKind.NONE)
        self.assert_rejected(422, registry.create, "a", spec(("b.example", "")), "k")
        self.assert_rejected(409, registry.create, "a", spec(("a.example", "")), "other")
        self.assert_rejected(409, registry.create, "a", spec(("a.example", "")))

    def test_tenants_are_listed_in_pages(self) -> None:
        registry = TenantRegistry()
        for n in range(7):
            registry.create(f"t{n}", spec((f"h{n}", "")))
        page, after = registry.list_page("", 3)
        self.assertEqual(([tenant.name for tenant in page], after), (["t0", "t1", "t2"], "t2"))
        page, after = registry.list_page("t5", 3)
        self.assertEqual(([tenant.name for tenant in page], after), (["t6"], None))
        self.assertEqual([tenant.name for tenant in registry.list_page("", 9, "t4")[0]], ["t4"])

    def test_tables_stay_bounded_when_thousands_of_tenants_are_created_and_removed(self) -> None:
        registry = TenantRegistry()
        for n in range(3000):
            tenant = registry.create("t", spec(("h", "")), f"key-{n}").tenant
            registry.apply_command("t", TenantCommand.DRAIN, f'"{tenant.version}"')
            registry.apply_command("t", TenantCommand.REMOVE, f'"{tenant.version}"')
            registry.finish_drain(tenant.serial)
        self.assertEqual((len(registry.tenants), len(registry.pending_removals)), (0, 0))
        self.assertEqual(registry.routes.tenants_by_host, {})
        self.assertEqual(len(registry.idempotency_records), MAX_IDEMPOTENCY_KEYS)
        self.assertEqual(len(registry.operations), MAX_OPERATIONS)

    def test_a_stored_registry_is_restored_and_a_copy_is_independent(self) -> None:
        """After a restart, a draining tenant is drained and idempotency keys are still recognized."""
        registry = TenantRegistry()
        registry.create("a", spec(("a.example", "")), "k")
        b = registry.create("b", spec(("b.example", ""))).tenant
        registry.apply_command("b", TenantCommand.DRAIN, f'"{b.version}"')
        copy = registry.copy()
        copy.apply_command("a", TenantCommand.SUSPEND, '"1"')
        states = (registry.tenants["a"].state, copy.tenants["a"].state)
        self.assertEqual(states, (TenantState.ACTIVE, TenantState.SUSPENDED))
        restored = registry_from_json(json.loads(json.dumps(registry_to_json(registry))))
        self.assertEqual(
            [(tenant.name, tenant.state) for tenant in restored.tenants.values()],
            [("a", TenantState.ACTIVE), ("b", TenantState.DRAINED)],
        )
        self.assertEqual(restored.routes.find("b.example", "/p"), ("b", "/p"))
        self.assertEqual(restored.create("a", spec(("a.example", "")), "k").kind, ChangeKind.NONE)
        self.assertGreater(restored.next_sequence_number(), registry.last_sequence_number)

    def test_the_stored_format_is_stable(self) -> None:
        """State files must stay readable in both directions between this release and the previous one."""
        registry = TenantRegistry()
        registry.create("a", spec(("a.example", "")), "k")
        digest = registry.idempotency_records["k"].digest
        self.assertEqual(
            json.loads(json.dumps(registry_to_json(registry))),
            {
                "counted": 1,
                "tenants": [["a", 1, 1, "active", spec(("a.example", ""))]],
                "keys": {"k": [digest, "a", 1]},
            },
        )


class Permissions(unittest.TestCase):
    """Authentication, and the operations that each role may call."""

    def test_a_token_is_authenticated_by_its_hash(self) -> None:
        text, digest = generate_token()
        operator = ApiToken("one", Role.OPERATOR, None, digest)
        tenant = ApiToken("two", Role.TENANT, "a", hash_token("x"))
        authenticator = Authenticator((operator, tenant))
        for header, caller in (
            (f"Bearer {text}", operator),
            ("bearer x", tenant),
            (f"Bearer {digest}", None),
            (None, None),
            ("Basic x", None),
            ("Bearer", None),
            ("x", None),
            ("Bearer \udce9", None),
        ):
            with self.subTest(header):
                self.assertEqual(authenticator.authenticate(header), caller)

    def test_each_role_and_operation(self) -> None:
        allowed_to_tenants = {
            Permission.LIST,
            Permission.READ,
            Permission.READ_PART,
            Permission.READ_USAGE,
            Permission.REPLACE,
            Permission.REPLACE_PART,
            Permission.DRAIN,
            Permission.RESUME,
            Permission.READ_OPERATION,
        }
        operator = ApiToken("o", Role.OPERATOR, None, "")
        tenant = ApiToken("t", Role.TENANT, "a", "")
        for operation in OPERATIONS:
            permission = operation.permission
            with self.subTest(permission):
                self.assertTrue(is_allowed(operator, permission, "a"))
                self.assertEqual(is_allowed(tenant, permission, "a"), permission in allowed_to_tenants)
                self.assertFalse(is_allowed(tenant, permission, "b"))


class InterruptedFileSystem(FileSystem):
    """Simulates a kill after a number of calls; a write that is interrupted leaves a part of its data."""

    def __init__(self, calls_left: int, written_fraction: float) -> None:
        self.calls_left = calls_left
        self.written_fraction = written_fraction

    def count_call(self) -> None:
        self.calls_left -= 1
        if self.calls_left < 0:
            raise KeyboardInterrupt

    def write(self, path: pathlib.Path, data: bytes) -> None:
        try:
            self.count_call()
        except KeyboardInterrupt:
            path.write_bytes(data[: int(len(data) * self.written_fraction)])
            raise
        super().write(path, data)

    def link(self, source: pathlib.Path, target: pathlib.Path) -> None:
        self.count_call()
        super().link(source, target)

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        self.count_call()
        super().replace(source, target)

    def remove(self, path: pathlib.Path) -> None:
        self.count_call()
        super().remove(path)

    def sync(self, folder: pathlib.Path) -> None:
        self.count_call()
        super().sync(folder)


class StateFiles(unittest.TestCase):
    """Interrupted writes, damaged files and other format versions."""

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def load(self) -> LoadedState:
        loaded = StateFile(self.folder).load()
        assert loaded is not None
        return loaded

    def test_a_complete_file_exists_after_a_kill_at_any_step_of_a_write(self) -> None:
        """The process is killed at random steps of many writes.

        The state that is read next must be the last one stored or the one being written, without a warning.
        """
        rng = random.Random(3)
        stored = 0
        StateFile(self.folder).save({"n": 0})
        for n in range(1, 2000):
            calls_left = rng.randrange(7)
            try:
                content = {"n": n, "text": "x" * rng.randrange(99)}
                StateFile(self.folder, InterruptedFileSystem(calls_left, rng.random())).save(content)
                stored = n
            except KeyboardInterrupt:
                pass
            loaded = self.load()
            self.assertIsNone(loaded.warning)
            self.assertIn(loaded.content["n"], (stored, n))
            stored = loaded.content["n"]
        self.assertGreater(stored, 1900)
        self.assertLessEqual(len(os.listdir(self.folder)), 4)

    def test_the_last_good_copy_is_used_for_a_damaged_file(self) -> None:
        """The state file is truncated, empty or has changed bytes.

        The last good copy, with the previous state, is read with a warning; without a copy, loading fails.
        """
        state_file = StateFile(self.folder)
        self.assertIsNone(state_file.load())
        state_file.save({"n": 1})
        state_file.save({"n": 2})
        whole = state_file.path.read_bytes()
        for damaged in (whole[:-1], whole[:9], b"", whole.replace(b'"n":2', b'"n":3'), b"\x00\xff"):
            state_file.path.write_bytes(damaged)
            loaded = self.load()
            self.assertEqual(loaded.content, {"n": 1})
            self.assertIn("using the last good copy", loaded.warning or "")
        state_file.last_good_path.unlink()
        with self.assertRaisesRegex(StateFileError, "not a state file"):
            state_file.load()

    def test_a_file_of_a_newer_version_is_rejected(self) -> None:
        """A host is started with an older release than the one that wrote its state folder.

        The last good copy, which the older release could read, must not be used instead of the newer file.
        """
        state_file = StateFile(self.folder)
        state_file.save({"n": 1})
        state_file.save({"n": 2})
        content = state_file.path.read_bytes()
        state_file.path.write_bytes(content.replace(b'"drumgw state": 1', b'"drumgw state": 2'))
        with self.assertRaisesRegex(NewerVersionError, "newer version, 2$"):
            state_file.load()
