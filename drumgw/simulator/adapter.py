"""Hosts many gateway instances and plays the simulator's messages to their policy engines.

The simulator sends messages in rounds: all messages between the start of a round and its flush happen at the
round's time, and the flush asks for the actions that they brought about. Instances share nothing.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from drumgw.model.actions import Action
from drumgw.model.settings import GatewaySettings
from drumgw.model.settings_reader import JsonObject, NameIndex, read_settings
from drumgw.policy.engine import PolicyEngine
from drumgw.simulator import wire
from drumgw.simulator.errors import MalformedMessageError, UnexpectedMessageError


@dataclass(slots=True)
class GatewayInstance:
    """One hosted gateway: its policy engine, and the index of its settings' names."""

    engine: PolicyEngine
    names: NameIndex


class SimulatorAdapter:
    """The hosted gateways and the round that is being read."""

    def __init__(self) -> None:
        self._now_ms = 0.0
        self._in_round = False
        self._instances: dict[int, GatewayInstance] = {}
        """By instance number; an instance is dropped when it is retired."""
        self._endpoint_rows: dict[int, list[JsonObject]] = {}
        """Endpoint lists by their number; the simulator reuses a few numbers."""
        self._reply: list[JsonObject] = []

    def receive_line(self, line: str) -> bool:
        """Takes one line of the wire; True when it asks for the reply.

        Raises:
            WireError: where the wire does not allow the line.
        """
        name, fields = _parse_message(line)
        try:
            return self._receive(name, fields)
        except KeyError as error:
            raise MalformedMessageError(f"{name}: missing or unknown {error.args[0]!r}") from error
        except (TypeError, ValueError) as error:
            raise MalformedMessageError(f"{name}: {error}") from error

    def take_reply(self) -> list[JsonObject]:
        """The messages due since the last reply, with the one that ends it."""
        reply = [*self._reply, wire.write_end_of_reply()]
        self._reply.clear()
        return reply

    def _receive(self, name: str, fields: JsonObject) -> bool:
        if name == "Round":
            self._now_ms = float(fields["tMs"])
            self._in_round = True
            return False
        if not self._in_round:
            raise UnexpectedMessageError(f"{name}: outside a round")
        if name == "Flush":
            self._in_round = False
            return True
        if name == "SnapshotRows":
            self._endpoint_rows[fields["rosterId"]] = fields["entries"]
            return False
        self._receive_for_instance(name, fields["who"], fields)
        return False

    def _receive_for_instance(self, name: str, number: int, fields: JsonObject) -> None:
        if name == "Begin":
            self._begin(number, fields)
            return
        if number not in self._instances:
            raise UnexpectedMessageError(f"{name}: instance {number} never began")
        instance = self._instances[number]
        if name == "Retire":
            del self._instances[number]
        elif name == "Endpoints":
            self._update_endpoints(number, instance, fields)
        else:
            event = wire.read_event(instance.names, name, fields)
            if event is not None:
                self._collect(number, lambda: instance.engine.handle(self._now_ms, event))

    def _begin(self, number: int, fields: JsonObject) -> None:
        settings, names = read_settings(fields["options"])
        seed = int(fields["seed"])
        self._collect(number, lambda: self._start_instance(number, seed, settings, names))

    def _start_instance(
        self, number: int, seed: int, settings: GatewaySettings, names: NameIndex
    ) -> list[Action]:
        instance = GatewayInstance(PolicyEngine(seed, settings), names)
        self._instances[number] = instance
        return instance.engine.start(self._now_ms)

    def _update_endpoints(self, number: int, instance: GatewayInstance, fields: JsonObject) -> None:
        form = fields["form"]
        if form == wire.DISCOVERY_FAILED:
            return
        update = wire.read_endpoints(instance.names, form, self._endpoint_rows[fields["rosterId"]])
        self._collect(number, lambda: instance.engine.handle(self._now_ms, update))

    def _collect(self, number: int, decide: Callable[[], Iterable[Action]]) -> None:
        """Runs a policy engine; what it raises is reported as its failure, not as the wire's."""
        try:
            actions = decide()
        except Exception as error:  # whatever the engine raises
            self._reply.append(wire.write_engine_failure(number, _describe(error)))
            return
        self._reply.extend(wire.write_action(number, action) for action in actions)


def _parse_message(line: str) -> tuple[str, JsonObject]:
    """A message's name and fields."""
    try:
        message = json.loads(line)
    except ValueError as error:
        raise MalformedMessageError(f"not JSON: {error}") from error
    if not isinstance(message, dict) or len(message) != 1:
        raise MalformedMessageError("a message is an object with one key")
    name, fields = next(iter(message.items()))
    if not isinstance(fields, dict):
        raise MalformedMessageError(f"{name}: its fields are not an object")
    return name, fields


def _describe(error: Exception) -> str:
    """An exception's type, text and the line that raised it."""
    frame = error.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    line_number = frame.tb_lineno if frame is not None else 0
    return f"{type(error).__name__}: {error} (line {line_number})"
