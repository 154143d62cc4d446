"""python -m drumgw.simulator: plays gatekeepers on the bench's wire over standard input and output."""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

from drumgw.model.events import EndpointsUpdated
from drumgw.model.settings_reader import NameIndex, SettingsError, read_settings
from drumgw.policy.engine import PolicyEngine
from drumgw.simulator import wire


class BadWire(Exception):
    """A line that the wire does not allow."""


class Drill:
    """The hosted gatekeepers; they share nothing but this table."""

    def __init__(self) -> None:
        self.now = 0.0
        self.in_round = False
        self.hosts: dict[int, tuple[PolicyEngine, NameIndex]] = {}  # emptied by Retire
        self.lists: dict[int, list[dict[str, Any]]] = {}  # 16 list numbers at most, reused
        self.out: list[dict[str, Any]] = []

    def line(self, text: str) -> bool:
        """Takes one line; True when a reply is due."""
        try:
            message = json.loads(text)
        except ValueError as bad:
            raise BadWire(f"not JSON: {bad}") from bad
        if not isinstance(message, dict) or len(message) != 1:
            raise BadWire("a message is an object with one key")
        name, body = next(iter(message.items()))
        if not isinstance(body, dict):
            raise BadWire(f"{name}: its fields are not an object")
        try:
            return self.take(name, body)
        except KeyError as lack:
            raise BadWire(f"{name}: missing or unknown {lack.args[0]!r}") from lack
        except (TypeError, ValueError) as bad:
            raise BadWire(f"{name}: {bad}") from bad

    def take(self, name: str, body: dict[str, Any]) -> bool:
        if name == "Round":
            self.now = float(body["tMs"])
            self.in_round = True
            return False
        if not self.in_round:
            raise BadWire(f"{name}: outside a round")
        if name == "Flush":
            self.in_round = False
            return True
        if name == "SnapshotRows":
            self.lists[body["rosterId"]] = body["entries"]
            return False
        self.event(name, body["who"], body)
        return False

    def event(self, name: str, who: int, body: dict[str, Any]) -> None:
        if name == "Begin":
            settings, names = read_settings(body["options"])
            seed = int(body["seed"])
            self.decide(who, lambda: self.begin(who, seed, settings, names))
            return
        if who not in self.hosts:
            raise BadWire(f"{name}: instance {who} never began")
        if name == "Retire":
            del self.hosts[who]
            return
        engine, names = self.hosts[who]
        if name == "Endpoints":
            if body["form"] == "error":
                return
            rows = tuple(wire.read_entry(names, row) for row in self.lists[body["rosterId"]])
            listed = EndpointsUpdated(body["form"] != "diff", rows)
            self.decide(who, lambda: engine.handle(self.now, listed))
            return
        event = wire.read_event(names, name, body)
        if event is not None:
            self.decide(who, lambda: engine.handle(self.now, event))

    def begin(self, who: int, seed: int, settings: Any, names: NameIndex) -> list[Any]:
        engine = PolicyEngine(seed, settings)
        self.hosts[who] = engine, names
        return engine.start(self.now)

    def decide(self, who: int, call: Any) -> None:
        """Runs decision code; whatever it raises is reported as its failure, not the wire's."""
        try:
            actions = call()
        except Exception as fault:  # the module's own failure, whatever it is
            where = fault.__traceback__
            while where is not None and where.tb_next is not None:
                where = where.tb_next
            line = where.tb_lineno if where is not None else 0
            text = f"{type(fault).__name__}: {fault} (line {line})"
            self.out.append({"InternalError": {"who": who, "reasonText": text}})
            return
        self.out.extend(wire.write_action(who, action) for action in actions)


def serve(source: TextIO, sink: TextIO, complaints: TextIO) -> int:
    drill = Drill()
    for number, text in enumerate(source, 1):
        try:
            if not drill.line(text):
                continue
        except (BadWire, SettingsError) as bad:
            print(f"line {number}: {bad}", file=complaints)
            return 2
        drill.out.append({"Next": {}})
        sink.write("".join(json.dumps(m, separators=(",", ":")) + "\n" for m in drill.out))
        sink.flush()
        drill.out.clear()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
