"""What a host decides without I/O: routes, shares, turns, the registry, access; and its state file."""

from __future__ import annotations

import json
import os
import pathlib
import random
import tempfile
import unittest
from typing import Any

from drumgw.hosting.admin_api import LIST
from drumgw.hosting.authentication import (
    OPERATOR,
    TENANT,
    Authenticator,
    Token,
    hash_of,
    is_allowed,
    new_token,
)
from drumgw.hosting.resource_limits import FairShares, FairTurns
from drumgw.hosting.routing import AmbiguousRouteError, Route, Routes
from drumgw.hosting.state_file import Disk, StateFile, StateFileError
from drumgw.hosting.tenant_registry import (
    ACTIVE,
    DONE,
    DRAINED,
    DRAINING,
    MOST_KEYS,
    MOST_OPERATIONS,
    RUNNING,
    SUSPENDED,
    ChangeRejected,
    TenantRegistry,
)


def spec(*routes: tuple[str, str], **more: Any) -> dict[str, Any]:
    return {"route": [{"host": h, "path": p} for h, p in routes], "weight": 1.0, **more}


class Finding(unittest.TestCase):
    def test_the_exact_host_then_the_longer_prefix(self) -> None:
        routes = Routes(
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
            ("a.example", "/shop/preview", "a", "/shop/preview"),  # the host goes first
            ("b.example", "/shop/preview", "shop", "/preview"),
            ("b.example", "/shop", "shop", "/"),
            ("b.example", "/shop?x", "shop", "?x"),
            (None, "/preview", "any", "/preview"),
            ("[::1]:80", "//preview", "any", "//preview"),
        ):
            with self.subTest(host=host, target=target):
                self.assertEqual(routes.find(host, target), (tenant, path))
        self.assertIsNone(Routes([("a", Route("a.example", ""))]).find("b.example", "/"))
        self.assertIsNone(Routes([("a", Route("", "/x"))]).find(None, "/%78/preview"))

    def test_one_route_for_two_tenants_is_refused_with_both(self) -> None:
        with self.assertRaisesRegex(AmbiguousRouteError, "any host/x is routed to a and to b"):
            Routes([("a", Route("", "/x")), ("a", Route("", "/x")), ("b", Route("", "/x"))])


class Sharing(unittest.TestCase):
    def test_each_keeps_its_part_and_nobody_borrows_all(self) -> None:
        shares = FairShares(100)
        for name, weight in (("big", 3.0), ("one", 1.0), ("two", 1.0)):
            shares.put(name, weight)
        self.assertEqual([p.own for p in shares.parts.values()], [30, 10, 10])
        self.assertEqual(sum(shares.take("one") for _ in range(1000)), 10 + 25)  # and half of what is lent
        self.assertEqual(sum(shares.take("two") for _ in range(1000)), 10 + 25)
        self.assertEqual(sum(shares.take("big") for _ in range(1000)), 30)  # all was lent; its part was not
        shares.give("one")
        self.assertTrue(shares.take("big"))
        self.assertEqual((shares.parts["one"].refused, shares.lent), (965, 50))

    def test_any_order_of_takes_gives_and_changes_adds_up(self) -> None:
        chance = random.Random(5)
        for _ in range(40):
            shares, held, names = FairShares(chance.randint(2, 60)), dict[str, int](), "abcdef"
            for _ in range(400):
                name, what = chance.choice(names), chance.random()
                if what < 0.08:
                    shares.put(name, chance.choice((0.5, 1.0, 4.0)))
                elif what < 0.11 and name in shares.parts:
                    shares.drop(name)
                elif what < 0.6:
                    if shares.take(name):
                        held[name] = held.get(name, 0) + 1
                elif held.get(name):
                    shares.give(name)
                    held[name] -= 1
                self.assertEqual(
                    {n: p.open for n, p in shares.parts.items() if p.open},
                    {n: count for n, count in held.items() if count},
                )
                self.assertEqual(shares.lent, sum(max(0, p.open - p.own) for p in shares.parts.values()))

    def test_while_the_loop_lags_who_rushes_waits_and_who_does_not_is_served(self) -> None:
        turns, weights = FairTurns(), {"rush": 1.0, "calm": 1.0}
        calm = sum(turns.take(now, "calm", weights) for now in range(0, 1000, 50))
        self.assertEqual(sum(turns.take(999.0, "rush", weights) for _ in range(400)), 400)  # no lag
        turns.lag_ms = 100.0
        self.assertFalse(turns.take(1000.0, "rush", weights))
        self.assertTrue(turns.take(1000.0, "calm", weights))
        self.assertEqual(calm, 20)
        self.assertTrue(turns.take(3000.0, "rush", weights))  # forgotten, and alone
        self.assertEqual(sum(turns.take(3001.0, "rush", weights) for _ in range(50)), 50)


class Registering(unittest.TestCase):
    def refused(self, status: int, call: Any, *args: Any) -> ChangeRejected:
        with self.assertRaises(ChangeRejected) as no:
            call(*args)
        self.assertEqual(no.exception.status, status, no.exception)
        return no.exception

    def test_versions_keep_two_administrators_apart(self) -> None:
        r = TenantRegistry()
        tenant, change = r.create("a", spec(("a.example", "")))
        assert change
        self.assertEqual((change.what, tenant.version), ("opened", 1))
        self.refused(428, r.replace, "a", spec(("a.example", "")), None)
        r.replace("a", spec(("a.example", "/x")), '"1"')
        self.refused(412, r.replace, "a", spec(("a.example", "/y")), '"1"')
        self.refused(412, r.mark, "a", "suspend", '"1"')
        self.assertEqual(r.routes.find("a.example", "/x/p"), ("a", "/p"))
        self.refused(404, r.replace, "b", spec(), '"1"')

    def test_a_route_of_another_is_refused_and_nothing_changes(self) -> None:
        r = TenantRegistry()
        r.create("a", spec(("a.example", "")))
        no = self.refused(409, r.create, "b", spec(("b.example", ""), ("a.example", "")))
        self.assertEqual((no.pointer, list(r.tenants)), ("/route/1", ["a"]))
        self.assertIsNone(r.routes.find("b.example", "/"))
        r.create("b", spec(("b.example", "")))
        self.refused(409, r.replace, "b", spec(("a.example", "")), '"2"')
        self.assertEqual(r.tenants["b"].version, 2)

    def test_states(self) -> None:
        r = TenantRegistry()
        r.create("a", spec(("a.example", "")))
        for word, state in (
            ("suspend", SUSPENDED),
            ("resume", ACTIVE),
            ("drain", DRAINING),
            ("resume", ACTIVE),
            ("drain", DRAINING),
        ):
            tenant, _ = r.mark("a", word, f'"{r.tenants["a"].version}"')
            self.assertEqual(tenant.state, state)
        version = f'"{tenant.version}"'
        self.refused(409, r.mark, "a", "suspend", version)
        operation = tenant.operation or ""
        self.assertEqual([o.state for o in r.operations.values()], ["called off", RUNNING])
        r.emptied(tenant.serial)
        self.assertEqual((tenant.state, r.operation(operation).state), (DRAINED, DONE))
        self.refused(412, r.mark, "a", "resume", version)

    def test_a_name_is_free_at_once_and_what_was_there_is_not_mixed_up(self) -> None:
        r = TenantRegistry()
        old, _ = r.create("a", spec(("a.example", "")), "key-1")
        gone, change = r.mark("a", "remove", '"1"')
        self.assertEqual((change.what, r.routes.find("a.example", "/")), ("removed", None))
        self.refused(410, r.create, "a", spec(("a.example", "")), "key-1")  # that one is no more
        new, _ = r.create("a", spec(("a.example", "")))
        self.assertNotEqual((new.serial, new.version), (old.serial, old.version))
        self.refused(412, r.mark, "a", "remove", '"1"')
        self.assertIsNone(r.emptied(old.serial))
        self.assertEqual((r.operation(gone.operation or "").state, r.tenants["a"].state), (DONE, ACTIVE))

    def test_repeats_of_a_create_act_once(self) -> None:
        r = TenantRegistry()
        first, _ = r.create("a", spec(("a.example", "")), "k")
        again, change = r.create("a", spec(("a.example", "")), "k")
        self.assertIs(again, first)
        self.assertIsNone(change)
        self.refused(422, r.create, "a", spec(("b.example", "")), "k")
        self.refused(409, r.create, "a", spec(("a.example", "")), "other")
        self.refused(409, r.create, "a", spec(("a.example", "")))

    def test_pages(self) -> None:
        r = TenantRegistry()
        for n in range(7):
            r.create(f"t{n}", spec((f"h{n}", "")))
        found, after = r.page("", 3)
        self.assertEqual(([t.name for t in found], after), (["t0", "t1", "t2"], "t2"))
        found, after = r.page("t5", 3)
        self.assertEqual(([t.name for t in found], after), (["t6"], None))
        self.assertEqual([t.name for t in r.page("", 9, "t4")[0]], ["t4"])

    def test_thousands_come_and_go_and_no_table_grows(self) -> None:
        r = TenantRegistry()
        for n in range(3000):
            tenant, _ = r.create("t", spec(("h", "")), f"key-{n}")
            r.mark("t", "drain", f'"{tenant.version}"')
            r.mark("t", "remove", f'"{tenant.version}"')
            r.emptied(tenant.serial)
        self.assertEqual((len(r.tenants), len(r.leaving), r.routes.table), (0, 0, {}))
        self.assertEqual((len(r.keys), len(r.operations)), (MOST_KEYS, MOST_OPERATIONS))

    def test_what_is_kept_comes_back_and_a_copy_is_apart(self) -> None:
        r = TenantRegistry()
        r.create("a", spec(("a.example", "")), "k")
        b, _ = r.create("b", spec(("b.example", "")))
        r.mark("b", "drain", f'"{b.version}"')
        copy = r.copy()
        copy.mark("a", "suspend", '"1"')
        self.assertEqual((r.tenants["a"].state, copy.tenants["a"].state), (ACTIVE, SUSPENDED))
        back = TenantRegistry.of(json.loads(json.dumps(r.kept())))
        self.assertEqual([(t.name, t.state) for t in back.tenants.values()], [("a", ACTIVE), ("b", DRAINED)])
        self.assertEqual(back.routes.find("b.example", "/p"), ("b", "/p"))
        self.assertEqual(back.create("a", spec(("a.example", "")), "k")[1], None)
        self.assertGreater(back.number(), r.counted)


class Allowed(unittest.TestCase):
    def test_a_token_is_known_by_its_hash(self) -> None:
        text, digest = new_token()
        one, other = Token("one", OPERATOR, None, digest), Token("two", TENANT, "a", hash_of("x"))
        access = Authenticator((one, other))
        for header, who in (
            (f"Bearer {text}", one),
            ("bearer x", other),
            (f"Bearer {digest}", None),
            (None, None),
            ("Basic x", None),
            ("Bearer", None),
            ("x", None),
            ("Bearer \udce9", None),
        ):
            with self.subTest(header):
                self.assertEqual(access.who(header), who)

    def test_each_role_and_call(self) -> None:
        own = {"list", "read", "read part", "use", "replace", "replace part", "drain", "resume", "operation"}
        operator, tenant = Token("o", OPERATOR, None, ""), Token("t", TENANT, "a", "")
        for action, _ in LIST:
            with self.subTest(action.name):
                self.assertTrue(is_allowed(operator, action.name, "a"))
                self.assertEqual(is_allowed(tenant, action.name, "a"), action.name in own)
                self.assertFalse(is_allowed(tenant, action.name, "b"))


class Dying(Disk):
    """The process ends at the call of a number, or in the midst of a write."""

    def __init__(self, at: int, part: float) -> None:
        self.left, self.part = at, part

    def step(self) -> None:
        self.left -= 1
        if self.left < 0:
            raise KeyboardInterrupt

    def write(self, path: pathlib.Path, data: bytes) -> None:
        try:
            self.step()
        except KeyboardInterrupt:
            path.write_bytes(data[: int(len(data) * self.part)])
            raise
        super().write(path, data)

    def link(self, old: pathlib.Path, new: pathlib.Path) -> None:
        self.step()
        super().link(old, new)

    def replace(self, old: pathlib.Path, new: pathlib.Path) -> None:
        self.step()
        super().replace(old, new)

    def remove(self, path: pathlib.Path) -> None:
        self.step()
        super().remove(path)

    def sync(self, folder: pathlib.Path) -> None:
        self.step()
        super().sync(folder)


class Keeping(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def test_killed_at_every_point_of_a_write(self) -> None:
        """Whatever was kept last, or what was being written, is read; never anything else."""
        chance, kept = random.Random(3), 0
        StateFile(self.folder).save({"n": 0})
        for n in range(1, 2000):
            at = chance.randrange(7)
            try:
                told = {"n": n, "text": "x" * chance.randrange(99)}
                StateFile(self.folder, Dying(at, chance.random())).save(told)
                kept = n
            except KeyboardInterrupt:
                pass
            content, said = StateFile(self.folder).load()
            self.assertIsNone(said)
            self.assertIn(content["n"], (kept, n))
            kept = content["n"]
        self.assertGreater(kept, 1900)
        self.assertLessEqual(len(os.listdir(self.folder)), 4)

    def test_a_damaged_file_gives_way_to_the_last_good_one(self) -> None:
        store = StateFile(self.folder)
        self.assertEqual(store.load(), (None, None))
        store.save({"n": 1})
        store.save({"n": 2})
        whole = store.path.read_bytes()
        for damaged in (whole[:-1], whole[:9], b"", whole.replace(b'"n":2', b'"n":3'), b"\x00\xff"):
            store.path.write_bytes(damaged)
            content, said = store.load()
            self.assertEqual(content, {"n": 1})
            self.assertIn("the last good state stands", said or "")
        store.last.unlink()
        with self.assertRaisesRegex(StateFileError, "no state file"):
            store.load()

    def test_a_file_of_a_newer_version_is_refused_in_one_line(self) -> None:
        store = StateFile(self.folder)
        store.save({"n": 1})
        store.save({"n": 2})
        store.path.write_bytes(store.path.read_bytes().replace(b'"drumgw state": 1', b'"drumgw state": 2'))
        with self.assertRaisesRegex(StateFileError, "newer version, 2$"):
            store.load()
