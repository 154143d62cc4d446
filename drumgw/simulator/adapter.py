"""Runs many gateway instances and passes the simulator's messages to their policy engines.

The simulator sends messages in rounds. All messages from the start of a round to its flush take effect at the
round's time, and the flush requests the resulting actions. Instances share no state.
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
    """A running gateway: its policy engine, and the index of the names in its settings."""

    engine: PolicyEngine
    names: NameIndex


class SimulatorAdapter:
    """The running gateway instances and the state of the current round."""

    def __init__(self) -> None:
        self._now_ms = 0.0
        self._in_round = False
        self._instances: dict[int, GatewayInstance] = {}
        """By instance number; an instance is removed when the simulator retires it."""
        self._endpoint_rows: dict[int, list[JsonObject]] = {}
        """Last rows sent under each list number; the simulator reuses numbers, also within a round."""
        self._reply: list[JsonObject] = []

    def receive_line(self, line: str) -> bool:
        """Processes one line; returns whether the simulator now waits for the reply.

        Raises:
            WireError: the line violates the protocol.
        """
        name, fields = _parse_message(line)
        try:
            return self._receive(name, fields)
        except KeyError as error:
            raise MalformedMessageError(f"{name}: missing or unknown {error.args[0]!r}") from error
        except (TypeError, ValueError) as error:
            raise MalformedMessageError(f"{name}: {error}") from error

    def take_reply(self) -> list[JsonObject]:
        """Returns and clears the pending messages, followed by the one that ends the reply."""
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
            self._begin_instance(number, fields)
            return
        if number not in self._instances:
            raise UnexpectedMessageError(f"{name}: instance {number} is not running")
        instance = self._instances[number]
        if name == "Retire":
            del self._instances[number]
        elif name == "Endpoints":
            self._update_endpoints(number, instance, fields)
        else:
            event = wire.read_event(instance.names, name, fields)
            if event is not None:
                self._collect_actions(number, lambda: instance.engine.handle(self._now_ms, event))

    def _begin_instance(self, number: int, fields: JsonObject) -> None:
        settings, names = read_settings(fields["options"])
        seed = int(fields["seed"])
        self._collect_actions(number, lambda: self._start_instance(number, seed, settings, names))

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
        self._collect_actions(number, lambda: instance.engine.handle(self._now_ms, update))

    def _collect_actions(self, number: int, decide: Callable[[], Iterable[Action]]) -> None:
        """Calls a policy engine; adds its actions, or a message that reports its exception, to the reply."""
        try:
            actions = decide()
        except Exception as error:  # a failing engine must not stop the other instances
            self._reply.append(wire.write_engine_failure(number, _describe_exception(error)))
            return
        self._reply.extend(wire.write_action(number, action) for action in actions)


def _parse_message(line: str) -> tuple[str, JsonObject]:
    """Returns a message's name and fields."""
    try:
        message = json.loads(line)
    except ValueError as error:
        raise MalformedMessageError(f"not JSON: {error}") from error
    if not isinstance(message, dict) or len(message) != 1:
        raise MalformedMessageError("expected an object with one key")
    name, fields = next(iter(message.items()))
    if not isinstance(fields, dict):
        raise MalformedMessageError(f"{name}: its fields are not an object")
    return name, fields


def _describe_exception(error: Exception) -> str:
    """Returns an exception's type, its text and the number of the line that raised it."""
    frame = error.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    line_number = frame.tb_lineno if frame is not None else 0
    return f"{type(error).__name__}: {error} (line {line_number})"
