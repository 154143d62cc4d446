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
from drumgw.gateway.endpoint_list_reader import STATUS_BY_LIFECYCLE, endpoint_id_of
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

    __slots__ = ("endpoint", "received", "is_written", "is_aborted")

    def __init__(self, worker: EmulatedEndpoint) -> None:
        self.endpoint, self.is_written, self.is_aborted = worker, False, False
        self.received: ReceivedAttempt | None = None


class VirtualGateway:
    """One gatekeeper: a core, and its adapters as far as they decide nothing."""

    def __init__(self, runner: VirtualRunner, number: int, seed: int) -> None:
        self.runner, self.environment, self.clock, self.number = (
            runner,
            runner.environment,
            runner.clock,
            number,
        )
        settings, self.names = read_settings(self.environment.gateway_settings(number))
        self.lifecycle = RequestLifecycle(runner.make_engine(seed, settings), settings)
        self.listed_endpoints: dict[int, EmulatedEndpoint] = {}  # by the module's number; emptied by the list
        self.not_ready_ids: set[int] = set()  # of them, those that drain
        self.idle_connections: dict[
            str, list[float]
        ] = {}  # kept connections: since when idle; emptied as they age
        self.forwarded: dict[tuple[int, int], ForwardedAttempt] = {}  # emptied by ends and stops
        self.client_attempts: dict[int, ClientAttempt] = {}  # txns in hand; emptied by replies
        self.request_ids: dict[str, int] = {}  # the same, by name
        self.is_alive, self.is_stopping, self.paused_until_ms = True, False, 0.0
        self.list_generation: int | None = None  # none: its agent was not heard yet
        self.execute(self.lifecycle.start(self.clock.now(), EndpointsUpdated(True, ())))

    # Time: what reaches a gatekeeper that stands waits until it runs again

    def at(self, at_ms: float, call: Callable[[], None]) -> Handle:
        return self.clock.call_at(at_ms, partial(self.when_running, call))

    def after(self, ms: float, call: Callable[[], None]) -> Handle:
        return self.at(self.clock.now() + ms, call)

    def when_running(self, call: Callable[[], None]) -> None:
        if self.paused_until_ms > self.clock.now():
            self.clock.call_at(self.paused_until_ms, partial(self.when_running, call))
        elif self.is_alive:
            call()

    def pause(self, for_ms: float) -> None:
        self.paused_until_ms = self.clock.now() + for_ms
        self.lifecycle.stalled_ms += for_ms

    # The list

    def apply_update(self, told: dict[str, Any]) -> EndpointsUpdated:
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
                self.listed_endpoints[number] = self.environment.endpoints[row["instanceId"]]
                self.not_ready_ids.discard(number)
            elif number in self.listed_endpoints:
                self.drain(number, health is EndpointStatus.REMOVED)
        for number in set(self.listed_endpoints) - named if told["reset"] else ():
            self.drain(number, gone=True)
        self.list_generation = told["generation"]
        return EndpointsUpdated(told["reset"], tuple(entries))

    def drain(self, number: int, gone: bool) -> None:
        worker = self.listed_endpoints[number]
        self.not_ready_ids.add(number)
        self.idle_connections.pop(worker.name, None)
        for key in [k for k, s in self.forwarded.items() if s.endpoint is worker and not s.is_written]:
            self.give_up(key)
            self.after(0.0, partial(self.attempt_ended, key, Outcome.NOT_SENT))
        if gone:
            del self.listed_endpoints[number]

    def watch(self) -> None:
        """The watch: answered when there is news, and at once asked again; a silent agent is asked anew."""
        if not self.is_alive:
            return
        registry = self.environment.discovery
        if registry.is_silent:
            self.after(MAX_POLL_INTERVAL_MS, self.watch)
            return
        self.read_update()
        registry.watchers[self.number] = partial(self.when_running, self.watch)

    def read_update(self) -> None:
        """What the agent has is read before anything is sent."""
        registry = self.environment.discovery
        told = None if registry.is_silent else registry.updates_since(self.number, self.list_generation)
        if told is not None:
            self.execute(self.lifecycle.endpoints_updated(self.clock.now(), self.apply_update(told)))

    # Effects

    def execute(self, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case StartAttempt():
                    self.send(command)
                case AbortAttempt():
                    self.give_up((command.request_id, command.attempt))
                case SendResponse():
                    self.respond(command)
                case ScheduleDeadline():
                    self.at(command.at_ms, partial(self.ring, command))
                case SetTimer():
                    self.after(command.delay_ms, partial(self.due, command.timer_id))
                case AddToCounter():
                    self.add(command)
                case ReportFault():
                    self.environment.event_log.add(
                        self.clock.now(), "fault", gate=self.number, error=repr(command.error)
                    )
                case LogMessage():
                    self.environment.event_log.add(
                        self.clock.now(), "says", gate=self.number, text=command.text
                    )

    def ring(self, alarm: ScheduleDeadline) -> None:
        self.execute(self.lifecycle.deadline_reached(self.clock.now(), alarm.request_id, alarm.attempt))

    def due(self, label: int) -> None:
        self.execute(self.lifecycle.timer_fired(self.clock.now(), label))

    # Clients

    def receive(self, one: ClientAttempt) -> None:
        a, now = one.request.arrival, self.clock.now()
        waited = (
            now - one.sent_at_ms if now - one.sent_at_ms > STALL_THRESHOLD_MS else 0.0
        )  # read late, after a stall
        asked = RequestReceived(
            0,
            one.time_left_ms,
            self.names.plans[a.customer.plan.name],
            a.customer.number,
            self.names.request_classes[a.request_class.name],
            float(a.units),
            False,
            len(a.customer.gateways),
            a.customer.gateways[0],
        )
        txn = self.lifecycle.received_count + 1
        self.client_attempts[txn], self.request_ids[one.attempt_id] = one, txn
        _, commands = self.lifecycle.request_received(now, asked, waited)
        self.execute(commands)

    def client_disconnected(self, one: ClientAttempt) -> None:
        txn = self.request_ids.pop(one.attempt_id, None)
        if txn is not None:
            self.client_attempts.pop(txn, None)
            self.execute(self.lifecycle.client_disconnected(self.clock.now(), txn))

    def respond(self, reply: SendResponse) -> None:
        one = self.client_attempts.pop(reply.request_id, None)
        if one is not None:
            self.request_ids.pop(one.attempt_id, None)
            self.clock.call_at(
                self.clock.now() + self.environment.scenario.fleet.client_ms,
                partial(
                    self.environment.clients.response_received,
                    one,
                    reply.status,
                    reply.response or "",
                    reply.retry_after_ms,
                ),
            )

    # Workers

    def send(self, order: StartAttempt) -> None:
        key, worker = (order.request_id, order.attempt), self.listed_endpoints.get(order.endpoint_id)
        if worker is None or order.endpoint_id in self.not_ready_ids:
            self.after(0.0, partial(self.attempt_ended, key, Outcome.NOT_SENT))
            return
        sent = self.forwarded[key] = ForwardedAttempt(worker)
        way = self.environment.one_way_ms(self.number, worker)
        if self.kept(worker):
            self.write(key, sent, way)
        else:
            self.connect(key, sent, way)

    def kept(self, worker: EmulatedEndpoint) -> bool:
        """A connection that is idle, not for longer than half of its worker's limit."""
        idle = self.idle_connections.get(worker.name, [])
        oldest = self.clock.now() - self.environment.scenario.allowed.idle_ms / 2
        fresh = [at for at in idle if at > oldest]
        for _ in range(len(idle) - len(fresh)):
            worker.connection_closed(self.number)
        self.idle_connections[worker.name] = fresh[:-1]
        return bool(fresh)

    def connect(self, key: tuple[int, int], sent: ForwardedAttempt, way: float) -> None:
        day, worker = self.environment.scenario, sent.endpoint
        if self.environment.is_partitioned(self.number, worker.zone):
            self.after(day.allowed.connect_ms, partial(self.attempt_ended, key, Outcome.UNREACHABLE))
            return

        def arrives() -> None:
            if not worker.accept_connection(self.number):
                self.after(way, partial(self.attempt_ended, key, Outcome.UNREACHABLE))
                return
            self.clock.call_at(self.clock.now() + day.worker.handshake_ms + way, up)

        def up() -> None:
            if self.forwarded.get(key) is sent and self.is_alive:
                self.when_running(partial(self.write, key, sent, way))
            else:
                worker.connection_closed(self.number)

        self.clock.call_at(self.clock.now() + way, arrives)

    def write(self, key: tuple[int, int], sent: ForwardedAttempt, way: float) -> None:
        self.read_update()
        if self.forwarded.get(key) is not sent:
            sent.endpoint.connection_closed(self.number)
            return
        one = self.client_attempts.get(key[0])
        name = one.attempt_id if one is not None else ""
        first, sent.is_written = self.clock.now(), True
        ticket = sent.received = ReceivedAttempt(
            self.environment.next_attempt_number(), name, one, self.number, partial(self.told, key, sent, way)
        )
        if not self.environment.is_partitioned(self.number, sent.endpoint.zone):
            self.clock.call_at(first + way, lambda: self.come(ticket, sent, first))

    def come(self, ticket: ReceivedAttempt, sent: ForwardedAttempt, first: float) -> None:
        if not sent.is_aborted:
            sent.endpoint.receive(ticket, first)

    def told(
        self, key: tuple[int, int], sent: ForwardedAttempt, way: float, ticket: ReceivedAttempt, says: Says
    ) -> None:
        if self.environment.is_partitioned(self.number, sent.endpoint.zone):
            return
        units = (
            float(ticket.client_attempt.request.arrival.true_units)
            if ticket.client_attempt and says == "settled"
            else 0.0
        )
        self.clock.call_at(
            self.clock.now() + way,
            partial(self.when_running, partial(self.back, key, sent, says, units, ticket.attempt_id)),
        )

    def back(self, key: tuple[int, int], sent: ForwardedAttempt, says: Says, units: float, mark: str) -> None:
        if self.forwarded.get(key) is not sent:
            return
        if says in ("reset", "spoilt"):
            sent.endpoint.connection_closed(self.number)
        else:
            self.idle_connections.setdefault(sent.endpoint.name, []).append(self.clock.now())
        self.attempt_ended(key, ENDS[says], units, mark)

    def attempt_ended(self, key: tuple[int, int], end: Outcome, units: float = 0.0, mark: str = "") -> None:
        self.forwarded.pop(key, None)
        self.execute(self.lifecycle.attempt_ended(self.clock.now(), *key, end, units, {}, mark))

    def give_up(self, key: tuple[int, int]) -> None:
        """Its connection is closed at once."""
        sent = self.forwarded.pop(key, None)
        if sent is None:
            return
        sent.is_aborted = True
        if sent.is_written:
            sent.endpoint.connection_closed(self.number)
            if sent.received is not None and sent.received.endpoint is not None:
                sent.endpoint.abandon(sent.received)

    # The counter

    def add(self, order: AddToCounter) -> None:
        counter, kind = self.environment.counter, self.environment.scenario.counter
        assert counter is not None and kind is not None
        way = kind.one_way_ms
        asked, done = self.clock.now(), [False]

        def finish(end: Outcome, total: float) -> None:
            if not done[0]:
                done[0] = True
                self.execute(
                    self.lifecycle.counter_replied(
                        self.clock.now(), order.counter_key, end, total, self.clock.now() - asked
                    )
                )

        def answer(says: str, total: float) -> None:
            self.clock.call_at(
                self.clock.now() + way,
                partial(
                    self.when_running,
                    partial(finish, Outcome.SUCCEEDED if says == "added" else Outcome.REJECTED, total),
                ),
            )

        self.clock.call_at(
            asked + way,
            lambda: counter.call(self.number, str(order.counter_key), order.amount, order.ttl_ms, answer),
        )
        self.after(self.environment.scenario.allowed.counter_wait_ms, partial(finish, Outcome.TIMED_OUT, 0.0))

    # Its end

    def stop(self) -> None:
        """Killed, or ended: its connections are reset."""
        self.is_alive = False
        for key in list(self.forwarded):
            self.give_up(key)
        for worker in self.environment.endpoints.values():
            worker.connections.pop(self.number, None)
        self.environment.discovery.watchers[self.number] = None
        for one in list(self.client_attempts.values()):
            self.clock.call_at(
                self.clock.now() + self.environment.scenario.fleet.client_ms,
                partial(self.environment.clients.connection_closed, one),
            )


class VirtualRunner:
    """All gatekeepers of the day, and how tries reach them."""

    gateway_class: type[VirtualGateway] = VirtualGateway  # tests put broken ones in its place

    def __init__(
        self, day: Scenario, seed: int, make: MakePolicyEngine = PolicyEngine, record: EventLog | None = None
    ) -> None:
        self.scenario, self.make_engine = day, make
        self.clock = VirtualClock(START_MS)
        self.event_log = record or EventLog({"day": day.name, "seed": seed, "clock": "virtual"})
        self.environment = Environment(day, seed, self.clock, self.event_log)
        self.environment.gateways = self.environment.clients.sender = self
        self.random = self.environment.workload.random_stream("gatekeepers")
        self.environment.discovery.publish_initial_list()
        self.gateways = [self.new(number) for number in range(day.fleet.gatekeepers)]

    def run(self) -> EventLog:
        for gate in self.gateways:
            gate.watch()
        self.clock.run_until(START_MS + READY_MS)
        self.environment.start()
        self.clock.run_until(self.environment.end_time_ms())
        self.environment.finish()
        return self.event_log

    def new(self, number: int) -> VirtualGateway:
        self.event_log.add(self.clock.now(), "gate", gate=number, state="starts")
        self.environment.discovery.gateway_started(number)
        return self.gateway_class(self, number, self.random.getrandbits(63))

    # The clients' port

    def send(self, one: ClientAttempt) -> None:
        self.clock.call_at(self.clock.now() + self.scenario.fleet.client_ms, partial(self.reach, one))

    def reach(self, one: ClientAttempt) -> None:
        gate = self.gateways[one.gateway]
        if one.is_closed:
            return
        if gate.is_alive:
            gate.when_running(partial(gate.receive, one))
        else:
            self.clock.call_at(
                self.clock.now() + self.scenario.fleet.client_ms,
                partial(self.environment.clients.connect_failed, one),
            )

    def cancel(self, one: ClientAttempt) -> None:
        gate = self.gateways[one.gateway]
        self.clock.call_at(
            self.clock.now() + self.scenario.fleet.client_ms,
            partial(gate.when_running, partial(gate.client_disconnected, one)),
        )

    # What troubles reach

    def restart(self, number: int) -> None:
        """Told to end: not ready for the front, it serves on for a while and finishes what it has."""
        gate = self.gateways[number]
        if gate.is_stopping or not gate.is_alive:
            return
        gate.is_stopping = True
        self.event_log.add(self.clock.now(), "gate", gate=number, state="told to end")
        self.clock.call_at(
            self.clock.now() + TERM_SEEN_MS, lambda: self.environment.clients.set_in_rotation(number, False)
        )
        self.clock.call_at(self.clock.now() + SHUTDOWN_LINGER_MS, partial(self.finish, gate))

    def finish(self, gate: VirtualGateway) -> None:
        if gate.is_alive and gate.client_attempts:
            self.clock.call_at(self.clock.now() + 10.0, partial(self.finish, gate))
        elif gate.is_alive:
            gate.execute(gate.lifecycle.gateway_stopping(self.clock.now()))
            gate.stop()
            self.event_log.add(self.clock.now(), "gate", gate=gate.number, state="ended")
            self.clock.call_at(
                self.clock.now() + self.scenario.fleet.restart_ms, partial(self.again, gate.number)
            )

    def kill(self, number: int) -> None:
        gate = self.gateways[number]
        if not gate.is_alive:
            return
        self.event_log.add(self.clock.now(), "gate", gate=number, state="killed")
        gate.stop()
        fleet = self.scenario.fleet
        self.clock.call_at(self.clock.now() + fleet.front_notices_ms, lambda: self.believe(number))
        self.clock.call_at(self.clock.now() + fleet.restart_ms, partial(self.again, number))

    def believe(self, number: int) -> None:
        if not self.gateways[number].is_alive:
            self.environment.clients.set_in_rotation(number, False)

    def again(self, number: int) -> None:
        gate = self.gateways[number] = self.new(number)
        gate.watch()
        self.clock.call_at(self.clock.now() + READY_MS, lambda: self.let_in(gate))

    def let_in(self, gate: VirtualGateway) -> None:
        """Nobody before its agent has spoken."""
        if gate.list_generation is None and gate.is_alive:
            self.clock.call_at(self.clock.now() + MAX_POLL_INTERVAL_MS, lambda: self.let_in(gate))
        elif gate.is_alive:
            self.environment.clients.set_in_rotation(gate.number, True)

    def pause(self, number: int, for_ms: float) -> None:
        self.event_log.add(self.clock.now(), "gate", gate=number, state="paused", ms=for_ms)
        self.gateways[number].pause(for_ms)

    def move_discovery(self) -> None:
        """Discovery has no address here; on sockets it moves by SIGHUP."""
