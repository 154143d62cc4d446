"""A day on a virtual clock: hundreds of gatekeepers round the I/O-free core, stand-ins, a wire between.

The wire does what the gate's adapters do on sockets: connections are opened and kept, what is given up is
gone, drains stop what was not written. The same seed gives the same record, byte for byte.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from drumgw.gateway.clock import STALL_THRESHOLD_MS
from drumgw.gateway.commands import (
    AbortAttempt,
    Command,
    ReportFault,
    ScheduleDeadline,
    SendResponse,
    StartAttempt,
)
from drumgw.gateway.discovery import MAX_POLL_INTERVAL_MS
from drumgw.gateway.membership import STATUS_BY_LIFECYCLE, endpoint_id_of
from drumgw.gateway.process import SHUTDOWN_LINGER_MS
from drumgw.gateway.request_lifecycle import PolicyEngineProtocol, RequestLifecycle
from drumgw.model.actions import AddToCounter, LogMessage, SetTimer
from drumgw.model.events import EndpointInfo, EndpointStatus, EndpointsUpdated, Outcome, RequestReceived
from drumgw.model.settings import GatewaySettings
from drumgw.model.settings_reader import read_settings
from drumgw.policy.engine import PolicyEngine
from drumgw.testbed.clients import TERM_SEEN_MS, ClientAttempt
from drumgw.testbed.clocks import Handle, VirtualClock
from drumgw.testbed.endpoint import EmulatedEndpoint, ReceivedAttempt, Says
from drumgw.testbed.environment import Environment
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.scenario import Scenario

START_MS = 1_700_000_000_000.0  # of Unix time; any will do, but each run the same
READY_MS = 300.0  # from its start until it takes clients
ENDS = {
    "settled": Outcome.SUCCEEDED,
    "error": Outcome.FAILED,
    "full": Outcome.REJECTED,
    "reset": Outcome.BROKEN_RESPONSE,
    "spoilt": Outcome.BROKEN_RESPONSE,
}
MakePolicyEngine = Callable[[int, GatewaySettings], PolicyEngineProtocol]


class ForwardedAttempt:
    """A submission on its way, out, or coming back."""

    __slots__ = ("worker", "ticket", "written", "over")

    def __init__(self, worker: EmulatedEndpoint) -> None:
        self.worker, self.written, self.over = worker, False, False
        self.ticket: ReceivedAttempt | None = None


class VirtualGateway:
    """One gatekeeper: a core, and its adapters as far as they decide nothing."""

    def __init__(self, runner: VirtualRunner, number: int, seed: int) -> None:
        self.runner, self.world, self.clock, self.number = runner, runner.world, runner.clock, number
        settings, self.names = read_settings(self.world.settings(number))
        self.lifecycle = RequestLifecycle(runner.make(seed, settings), settings)
        self.listed: dict[int, EmulatedEndpoint] = {}  # by the module's number; emptied by the list
        self.closed: set[int] = set()  # of them, those that drain
        self.idle: dict[str, list[float]] = {}  # kept connections: since when idle; emptied as they age
        self.sent: dict[tuple[int, int], ForwardedAttempt] = {}  # emptied by ends and stops
        self.tries: dict[int, ClientAttempt] = {}  # txns in hand; emptied by replies
        self.txns: dict[str, int] = {}  # the same, by name
        self.alive, self.closing, self.paused_until = True, False, 0.0
        self.generation: int | None = None  # none: its agent was not heard yet
        self.carry(self.lifecycle.start(self.clock.now(), EndpointsUpdated(True, ())))

    # Time: what reaches a gatekeeper that stands waits until it runs again

    def at(self, at_ms: float, call: Callable[[], None]) -> Handle:
        return self.clock.at(at_ms, partial(self.when_running, call))

    def after(self, ms: float, call: Callable[[], None]) -> Handle:
        return self.at(self.clock.now() + ms, call)

    def when_running(self, call: Callable[[], None]) -> None:
        if self.paused_until > self.clock.now():
            self.clock.at(self.paused_until, partial(self.when_running, call))
        elif self.alive:
            call()

    def pause(self, for_ms: float) -> None:
        self.paused_until = self.clock.now() + for_ms
        self.lifecycle.stalled_ms += for_ms

    # The list

    def heed(self, told: dict[str, Any]) -> EndpointsUpdated:
        entries, named = [], set[int]()
        for row in told["instances"]:
            number, health = endpoint_id_of(row["instanceId"]), STATUS_BY_LIFECYCLE[row["lifecycle"]]
            named.add(number)
            entries.append(
                EndpointInfo(
                    number,
                    self.names.zone_index(row["zone"]),
                    row["cell"],
                    row["machineType"],
                    health,
                    row["startedAtMs"] or None,
                    row["weight"],
                )
            )
            if health is EndpointStatus.READY:
                self.listed[number] = self.world.workers[row["instanceId"]]
                self.closed.discard(number)
            elif number in self.listed:
                self.drain(number, health is EndpointStatus.REMOVED)
        for number in set(self.listed) - named if told["reset"] else ():
            self.drain(number, gone=True)
        self.generation = told["generation"]
        return EndpointsUpdated(told["reset"], tuple(entries))

    def drain(self, number: int, gone: bool) -> None:
        worker = self.listed[number]
        self.closed.add(number)
        self.idle.pop(worker.name, None)
        for key in [k for k, s in self.sent.items() if s.worker is worker and not s.written]:
            self.give_up(key)
            self.after(0.0, partial(self.ended, key, Outcome.NOT_SENT))
        if gone:
            del self.listed[number]

    def hear(self) -> None:
        """The watch: answered when there is news, and at once asked again; a silent agent is asked anew."""
        if not self.alive:
            return
        registry = self.world.registry
        if registry.lost:
            self.after(MAX_POLL_INTERVAL_MS, self.hear)
            return
        self.look()
        registry.waiting[self.number] = partial(self.when_running, self.hear)

    def look(self) -> None:
        """What the agent has is read before anything is sent."""
        registry = self.world.registry
        told = None if registry.lost else registry.news(self.number, self.generation)
        if told is not None:
            self.carry(self.lifecycle.endpoints_updated(self.clock.now(), self.heed(told)))

    # Effects

    def carry(self, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case StartAttempt():
                    self.send(command)
                case AbortAttempt():
                    self.give_up((command.request_id, command.attempt))
                case SendResponse():
                    self.reply(command)
                case ScheduleDeadline():
                    self.at(command.at_ms, partial(self.ring, command))
                case SetTimer():
                    self.after(command.delay_ms, partial(self.due, command.timer_id))
                case AddToCounter():
                    self.add(command)
                case ReportFault():
                    self.world.record.add(
                        self.clock.now(), "fault", gate=self.number, error=repr(command.error)
                    )
                case LogMessage():
                    self.world.record.add(self.clock.now(), "says", gate=self.number, text=command.text)

    def ring(self, alarm: ScheduleDeadline) -> None:
        self.carry(self.lifecycle.deadline_reached(self.clock.now(), alarm.request_id, alarm.attempt))

    def due(self, label: int) -> None:
        self.carry(self.lifecycle.timer_fired(self.clock.now(), label))

    # Clients

    def take(self, one: ClientAttempt) -> None:
        a, now = one.order.arrival, self.clock.now()
        waited = (
            now - one.sent_at if now - one.sent_at > STALL_THRESHOLD_MS else 0.0
        )  # read late, after a stall
        asked = RequestReceived(
            0,
            one.left_ms,
            self.names.plans[a.customer.plan.name],
            a.customer.number,
            self.names.request_classes[a.product.name],
            float(a.units),
            False,
            len(a.customer.gates),
            a.customer.gates[0],
        )
        txn = self.lifecycle.received_count + 1
        self.tries[txn], self.txns[one.name] = one, txn
        _, commands = self.lifecycle.request_received(now, asked, waited)
        self.carry(commands)

    def left(self, one: ClientAttempt) -> None:
        txn = self.txns.pop(one.name, None)
        if txn is not None:
            self.tries.pop(txn, None)
            self.carry(self.lifecycle.client_disconnected(self.clock.now(), txn))

    def reply(self, reply: SendResponse) -> None:
        one = self.tries.pop(reply.request_id, None)
        if one is not None:
            self.txns.pop(one.name, None)
            self.clock.at(
                self.clock.now() + self.world.day.fleet.client_ms,
                partial(
                    self.world.clients.answered, one, reply.status, reply.response or "", reply.retry_after_ms
                ),
            )

    # Workers

    def send(self, order: StartAttempt) -> None:
        key, worker = (order.request_id, order.attempt), self.listed.get(order.endpoint_id)
        if worker is None or order.endpoint_id in self.closed:
            self.after(0.0, partial(self.ended, key, Outcome.NOT_SENT))
            return
        sent = self.sent[key] = ForwardedAttempt(worker)
        way = self.world.one_way(self.number, worker)
        if self.kept(worker):
            self.write(key, sent, way)
        else:
            self.connect(key, sent, way)

    def kept(self, worker: EmulatedEndpoint) -> bool:
        """A connection that is idle, not for longer than half of its worker's limit."""
        idle = self.idle.get(worker.name, [])
        oldest = self.clock.now() - self.world.day.allowed.idle_ms / 2
        fresh = [at for at in idle if at > oldest]
        for _ in range(len(idle) - len(fresh)):
            worker.closed(self.number)
        self.idle[worker.name] = fresh[:-1]
        return bool(fresh)

    def connect(self, key: tuple[int, int], sent: ForwardedAttempt, way: float) -> None:
        day, worker = self.world.day, sent.worker
        if self.world.parted(self.number, worker.zone):
            self.after(day.allowed.connect_ms, partial(self.ended, key, Outcome.UNREACHABLE))
            return

        def arrives() -> None:
            if not worker.takes(self.number):
                self.after(way, partial(self.ended, key, Outcome.UNREACHABLE))
                return
            self.clock.at(self.clock.now() + day.worker.handshake_ms + way, up)

        def up() -> None:
            if self.sent.get(key) is sent and self.alive:
                self.when_running(partial(self.write, key, sent, way))
            else:
                worker.closed(self.number)

        self.clock.at(self.clock.now() + way, arrives)

    def write(self, key: tuple[int, int], sent: ForwardedAttempt, way: float) -> None:
        self.look()
        if self.sent.get(key) is not sent:
            sent.worker.closed(self.number)
            return
        one = self.tries.get(key[0])
        name = one.name if one is not None else ""
        first, sent.written = self.clock.now(), True
        ticket = sent.ticket = ReceivedAttempt(
            self.world.ticket(), name, one, self.number, partial(self.told, key, sent, way)
        )
        if not self.world.parted(self.number, sent.worker.zone):
            self.clock.at(first + way, lambda: self.come(ticket, sent, first))

    def come(self, ticket: ReceivedAttempt, sent: ForwardedAttempt, first: float) -> None:
        if not sent.over:
            sent.worker.come(ticket, first)

    def told(
        self, key: tuple[int, int], sent: ForwardedAttempt, way: float, ticket: ReceivedAttempt, says: Says
    ) -> None:
        if self.world.parted(self.number, sent.worker.zone):
            return
        units = float(ticket.asked.order.arrival.true_units) if ticket.asked and says == "settled" else 0.0
        self.clock.at(
            self.clock.now() + way,
            partial(self.when_running, partial(self.back, key, sent, says, units, ticket.name)),
        )

    def back(self, key: tuple[int, int], sent: ForwardedAttempt, says: Says, units: float, mark: str) -> None:
        if self.sent.get(key) is not sent:
            return
        if says in ("reset", "spoilt"):
            sent.worker.closed(self.number)
        else:
            self.idle.setdefault(sent.worker.name, []).append(self.clock.now())
        self.ended(key, ENDS[says], units, mark)

    def ended(self, key: tuple[int, int], end: Outcome, units: float = 0.0, mark: str = "") -> None:
        self.sent.pop(key, None)
        self.carry(self.lifecycle.attempt_ended(self.clock.now(), *key, end, units, {}, mark))

    def give_up(self, key: tuple[int, int]) -> None:
        """Its connection is closed at once."""
        sent = self.sent.pop(key, None)
        if sent is None:
            return
        sent.over = True
        if sent.written:
            sent.worker.closed(self.number)
            if sent.ticket is not None and sent.ticket.worker is not None:
                sent.worker.give_up(sent.ticket)

    # The counter

    def add(self, order: AddToCounter) -> None:
        counter, kind = self.world.counter, self.world.day.counter
        assert counter is not None and kind is not None
        way = kind.one_way_ms
        asked, done = self.clock.now(), [False]

        def finish(end: Outcome, total: float) -> None:
            if not done[0]:
                done[0] = True
                self.carry(
                    self.lifecycle.counter_replied(
                        self.clock.now(), order.counter_key, end, total, self.clock.now() - asked
                    )
                )

        def answer(says: str, total: float) -> None:
            self.clock.at(
                self.clock.now() + way,
                partial(
                    self.when_running,
                    partial(finish, Outcome.SUCCEEDED if says == "added" else Outcome.REJECTED, total),
                ),
            )

        self.clock.at(
            asked + way,
            lambda: counter.call(self.number, str(order.counter_key), order.amount, order.ttl_ms, answer),
        )
        self.after(self.world.day.allowed.counter_wait_ms, partial(finish, Outcome.TIMED_OUT, 0.0))

    # Its end

    def die(self) -> None:
        """Killed, or ended: its connections are reset."""
        self.alive = False
        for key in list(self.sent):
            self.give_up(key)
        for worker in self.world.workers.values():
            worker.lines.pop(self.number, None)
        self.world.registry.waiting[self.number] = None
        for one in list(self.tries.values()):
            self.clock.at(
                self.clock.now() + self.world.day.fleet.client_ms, partial(self.world.clients.closed, one)
            )


class VirtualRunner:
    """All gatekeepers of the day, and how tries reach them."""

    gate_kind: type[VirtualGateway] = VirtualGateway  # tests put broken ones in its place

    def __init__(
        self, day: Scenario, seed: int, make: MakePolicyEngine = PolicyEngine, record: EventLog | None = None
    ) -> None:
        self.day, self.make = day, make
        self.clock = VirtualClock(START_MS)
        self.record = record or EventLog({"day": day.name, "seed": seed, "clock": "virtual"})
        self.world = Environment(day, seed, self.clock, self.record)
        self.world.gateways = self.world.clients.gates = self
        self.chance = self.world.book.chance("gatekeepers")
        self.world.registry.first()
        self.gates = [self.new(number) for number in range(day.fleet.gatekeepers)]

    def run(self) -> EventLog:
        for gate in self.gates:
            gate.hear()
        self.clock.run(START_MS + READY_MS)
        self.world.begin()
        self.clock.run(self.world.ends_at())
        self.world.end()
        return self.record

    def new(self, number: int) -> VirtualGateway:
        self.record.add(self.clock.now(), "gate", gate=number, state="starts")
        self.world.registry.starts(number)
        return self.gate_kind(self, number, self.chance.getrandbits(63))

    # The clients' port

    def send(self, one: ClientAttempt) -> None:
        self.clock.at(self.clock.now() + self.day.fleet.client_ms, partial(self.reach, one))

    def reach(self, one: ClientAttempt) -> None:
        gate = self.gates[one.gate]
        if one.over:
            return
        if gate.alive:
            gate.when_running(partial(gate.take, one))
        else:
            self.clock.at(
                self.clock.now() + self.day.fleet.client_ms, partial(self.world.clients.unreached, one)
            )

    def leave(self, one: ClientAttempt) -> None:
        gate = self.gates[one.gate]
        self.clock.at(
            self.clock.now() + self.day.fleet.client_ms, partial(gate.when_running, partial(gate.left, one))
        )

    # What troubles reach

    def restart(self, number: int) -> None:
        """Told to end: not ready for the front, it serves on for a while and finishes what it has."""
        gate = self.gates[number]
        if gate.closing or not gate.alive:
            return
        gate.closing = True
        self.record.add(self.clock.now(), "gate", gate=number, state="told to end")
        self.clock.at(self.clock.now() + TERM_SEEN_MS, lambda: self.world.clients.front(number, False))
        self.clock.at(self.clock.now() + SHUTDOWN_LINGER_MS, partial(self.finish, gate))

    def finish(self, gate: VirtualGateway) -> None:
        if gate.alive and gate.tries:
            self.clock.at(self.clock.now() + 10.0, partial(self.finish, gate))
        elif gate.alive:
            gate.carry(gate.lifecycle.gateway_stopping(self.clock.now()))
            gate.die()
            self.record.add(self.clock.now(), "gate", gate=gate.number, state="ended")
            self.clock.at(self.clock.now() + self.day.fleet.restart_ms, partial(self.again, gate.number))

    def kill(self, number: int) -> None:
        gate = self.gates[number]
        if not gate.alive:
            return
        self.record.add(self.clock.now(), "gate", gate=number, state="killed")
        gate.die()
        fleet = self.day.fleet
        self.clock.at(self.clock.now() + fleet.front_notices_ms, lambda: self.believe(number))
        self.clock.at(self.clock.now() + fleet.restart_ms, partial(self.again, number))

    def believe(self, number: int) -> None:
        if not self.gates[number].alive:
            self.world.clients.front(number, False)

    def again(self, number: int) -> None:
        gate = self.gates[number] = self.new(number)
        gate.hear()
        self.clock.at(self.clock.now() + READY_MS, lambda: self.let_in(gate))

    def let_in(self, gate: VirtualGateway) -> None:
        """Nobody before its agent has spoken."""
        if gate.generation is None and gate.alive:
            self.clock.at(self.clock.now() + MAX_POLL_INTERVAL_MS, lambda: self.let_in(gate))
        elif gate.alive:
            self.world.clients.front(gate.number, True)

    def pause(self, number: int, for_ms: float) -> None:
        self.record.add(self.clock.now(), "gate", gate=number, state="paused", ms=for_ms)
        self.gates[number].pause(for_ms)

    def moves(self) -> None:
        """Discovery has no address here; on sockets it moves by SIGHUP."""
