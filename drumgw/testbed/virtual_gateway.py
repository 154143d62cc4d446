"""A gateway on the virtual clock: the real request lifecycle and policy engine, without I/O.

The components around them (client connections, connection pool, discovery client and counter client) are
emulated here; they make no decisions of their own.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from drumgw.gateway.clock import STALL_THRESHOLD_MS
from drumgw.gateway.commands import (
    AbortAttempt,
    Command,
    LogEngineError,
    ScheduleDeadline,
    SendResponse,
    StartAttempt,
)
from drumgw.gateway.discovery import MAX_POLL_INTERVAL_MS
from drumgw.gateway.endpoint_list_reader import STATUS_BY_LIFECYCLE, endpoint_id_of
from drumgw.gateway.request_lifecycle import PolicyEngineProtocol, RequestLifecycle
from drumgw.model.actions import AddToCounter, LogMessage, SetTimer
from drumgw.model.events import EndpointInfo, EndpointStatus, EndpointsUpdated, Outcome, RequestReceived
from drumgw.model.settings import GatewaySettings
from drumgw.model.settings_reader import read_settings
from drumgw.testbed.client_requests import ClientAttempt
from drumgw.testbed.clocks import TimerHandle
from drumgw.testbed.counter import CounterStatus
from drumgw.testbed.discovery import EndpointRow, ListUpdate
from drumgw.testbed.endpoint import EmulatedEndpoint
from drumgw.testbed.environment import Environment
from drumgw.testbed.logged_events import EngineFailed, GatewayLogged
from drumgw.testbed.virtual_endpoint_client import AttemptKey, VirtualEndpointClient

EngineFactory = Callable[[int, GatewaySettings], PolicyEngineProtocol]
"""Creates a policy engine from a seed and the gateway's settings."""


class VirtualGateway:
    """One gateway process; a restart creates a new instance."""

    def __init__(
        self, environment: Environment, number: int, seed: int, engine_factory: EngineFactory
    ) -> None:
        self.environment = environment
        self.clock = environment.clock
        self.number = number
        self.is_alive = True
        self.is_stopping = False
        self.list_generation: int | None = None
        """Generation of the endpoint list; None before the first update from the discovery agent."""
        settings, self._names = read_settings(environment.gateway_settings(number))
        self.lifecycle = RequestLifecycle(engine_factory(seed, settings), settings)
        self.client_attempts: dict[int, ClientAttempt] = {}
        """Client attempts without a response, by request id."""
        self.request_ids: dict[str, int] = {}
        """Request ids of the same attempts, by attempt id."""
        self._endpoint_client = VirtualEndpointClient(environment, self)
        self._endpoints_by_id: dict[int, EmulatedEndpoint] = {}
        """Endpoints of the endpoint list, by endpoint id."""
        self._not_ready_ids: set[int] = set()
        """Ids of endpoints that are draining or were removed."""
        self._paused_until_ms = 0.0
        self.execute(self.lifecycle.start(self.clock.now(), EndpointsUpdated(True, ())))

    # Time

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> TimerHandle:
        """Runs a callback at a time, or after the gateway's pause if it is paused then."""
        return self.clock.call_at(at_ms, partial(self.run_unless_paused, callback))

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> TimerHandle:
        """Runs a callback after a delay, or after the gateway's pause if it is paused then."""
        return self.call_at(self.clock.now() + delay_ms, callback)

    def run_unless_paused(self, callback: Callable[[], None]) -> None:
        """Runs a callback now, or after the gateway's pause; not at all if the gateway has ended."""
        if self._paused_until_ms > self.clock.now():
            self.clock.call_at(self._paused_until_ms, partial(self.run_unless_paused, callback))
        elif self.is_alive:
            callback()

    def pause(self, duration_ms: float) -> None:
        """Pauses the process: callbacks that become due during the pause run at its end."""
        self._paused_until_ms = self.clock.now() + duration_ms
        self.lifecycle.stalled_ms += duration_ms

    # Discovery

    def watch(self) -> None:
        """Reads the agent's updates and watches for the next; polls again if the agent does not answer."""
        if not self.is_alive:
            return
        discovery = self.environment.discovery
        if discovery.is_silent:
            self.call_after(MAX_POLL_INTERVAL_MS, self.watch)
            return
        self.read_update()
        discovery.watchers[self.number] = partial(self.run_unless_paused, self.watch)

    def read_update(self) -> None:
        """Applies a pending update of the endpoint list; also called before each write to an endpoint."""
        discovery = self.environment.discovery
        if discovery.is_silent:
            return
        update = discovery.updates_since(self.number, self.list_generation)
        if update is not None:
            endpoints = self.apply_update(update)
            self.execute(self.lifecycle.endpoints_updated(self.clock.now(), endpoints))

    def apply_update(self, update: ListUpdate) -> EndpointsUpdated:
        """Applies an update of the endpoint list and returns the event for the policy engine."""
        endpoints: list[EndpointInfo] = []
        for row in update["instances"]:
            info = self._read_row(row)
            endpoints.append(info)
            if info.status is EndpointStatus.READY:
                self._endpoints_by_id[info.endpoint_id] = self.environment.endpoints[row["instanceId"]]
                self._not_ready_ids.discard(info.endpoint_id)
            elif info.endpoint_id in self._endpoints_by_id:
                self._stop_sending_to(info.endpoint_id, is_removed=info.status is EndpointStatus.REMOVED)
        if update["reset"]:
            for endpoint_id in set(self._endpoints_by_id) - {info.endpoint_id for info in endpoints}:
                self._stop_sending_to(endpoint_id, is_removed=True)
        self.list_generation = update["generation"]
        return EndpointsUpdated(update["reset"], tuple(endpoints))

    def _read_row(self, row: EndpointRow) -> EndpointInfo:
        return EndpointInfo(
            endpoint_id=endpoint_id_of(row["instanceId"]),
            zone=self._names.zone_index(row["zone"]),
            cell=row["cell"],
            machine_type=row["machineType"],
            status=STATUS_BY_LIFECYCLE[row["lifecycle"]],
            started_at_ms=row["startedAtMs"] or None,
            weight=row["weight"],
        )

    def _stop_sending_to(self, endpoint_id: int, is_removed: bool) -> None:
        self._not_ready_ids.add(endpoint_id)
        self._endpoint_client.stop_sending_to(self._endpoints_by_id[endpoint_id])
        if is_removed:
            del self._endpoints_by_id[endpoint_id]

    # Commands of the request lifecycle

    def execute(self, commands: list[Command]) -> None:
        """Executes commands of the request lifecycle in order."""
        for command in commands:
            match command:
                case StartAttempt():
                    self._forward(command)
                case AbortAttempt():
                    self._endpoint_client.abort(AttemptKey(command.request_id, command.attempt))
                case SendResponse():
                    self.respond(command)
                case ScheduleDeadline():
                    self.call_at(command.at_ms, partial(self._deadline_reached, command))
                case SetTimer():
                    self.call_after(command.delay_ms, partial(self._timer_fired, command.timer_id))
                case AddToCounter():
                    self._call_counter(command)
                case LogEngineError():
                    self.environment.event_log.add(
                        EngineFailed(self.clock.now(), self.number, repr(command.error))
                    )
                case LogMessage():
                    self.environment.event_log.add(GatewayLogged(self.clock.now(), self.number, command.text))

    def _deadline_reached(self, deadline: ScheduleDeadline) -> None:
        self.execute(self.lifecycle.deadline_reached(self.clock.now(), deadline.request_id, deadline.attempt))

    def _timer_fired(self, timer_id: int) -> None:
        self.execute(self.lifecycle.timer_fired(self.clock.now(), timer_id))

    # Clients

    def receive(self, attempt: ClientAttempt) -> None:
        """Reads a client's request, which may have waited for the end of a pause."""
        now = self.clock.now()
        arrival = attempt.request.arrival
        customer = arrival.customer
        unread_ms = now - attempt.sent_at_ms
        request = RequestReceived(
            request_id=0,
            time_left_ms=attempt.time_left_ms,
            plan=self._names.plans[customer.plan.name],
            customer=customer.number,
            request_class=self._names.request_classes[arrival.request_class.name],
            units=float(arrival.units),
            is_client_retry=False,
            gateway_count=len(customer.gateways),
            first_gateway=customer.gateways[0],
        )
        request_id = self.lifecycle.received_count + 1
        self.client_attempts[request_id] = attempt
        self.request_ids[attempt.attempt_id] = request_id
        waited_ms = unread_ms if unread_ms > STALL_THRESHOLD_MS else 0.0
        _, commands = self.lifecycle.request_received(now, request, waited_ms)
        self.execute(commands)

    def client_disconnected(self, attempt: ClientAttempt) -> None:
        """Handles a client that closed its connection before it had a response."""
        request_id = self.request_ids.pop(attempt.attempt_id, None)
        if request_id is not None:
            self.client_attempts.pop(request_id, None)
            self.execute(self.lifecycle.client_disconnected(self.clock.now(), request_id))

    def respond(self, response: SendResponse) -> None:
        """Sends a response to the client, unless it has disconnected."""
        attempt = self.client_attempts.pop(response.request_id, None)
        if attempt is None:
            return
        self.request_ids.pop(attempt.attempt_id, None)
        self.clock.call_at(
            self.clock.now() + self.environment.scenario.fleet.client_ms,
            partial(
                self.environment.clients.response_received,
                attempt,
                response.status,
                response.response or "",
                response.retry_after_ms,
            ),
        )

    def client_attempt(self, request_id: int) -> ClientAttempt | None:
        """Returns the client's attempt; None if it was answered or the client has disconnected."""
        return self.client_attempts.get(request_id)

    # Endpoints

    def _forward(self, command: StartAttempt) -> None:
        key = AttemptKey(command.request_id, command.attempt)
        endpoint = self._endpoints_by_id.get(command.endpoint_id)
        if endpoint is None or command.endpoint_id in self._not_ready_ids:
            self.call_after(0.0, partial(self.attempt_ended, key, Outcome.NOT_SENT))
        else:
            self._endpoint_client.forward(key, endpoint)

    def attempt_ended(
        self, key: AttemptKey, outcome: Outcome, billed_units: float = 0.0, body_attempt_id: str = ""
    ) -> None:
        """Handles the end of an attempt that the gateway did not abort."""
        self._endpoint_client.remove_attempt(key)
        self.execute(
            self.lifecycle.attempt_ended(
                self.clock.now(), key.request_id, key.attempt, outcome, billed_units, {}, body_attempt_id
            )
        )

    # The shared counter

    def _call_counter(self, command: AddToCounter) -> None:
        """Calls the shared counter; the reply or the timeout is handled, whichever comes first."""
        counter = self.environment.counter
        section = self.environment.scenario.counter
        assert counter is not None
        assert section is not None
        one_way_ms = section.one_way_ms
        called_ms = self.clock.now()
        is_finished = False

        def finish(outcome: Outcome, total: float) -> None:
            nonlocal is_finished
            if is_finished:
                return
            is_finished = True
            now = self.clock.now()
            self.execute(
                self.lifecycle.counter_replied(now, command.counter_key, outcome, total, now - called_ms)
            )

        def reply(status: CounterStatus, total: float) -> None:
            outcome = Outcome.SUCCEEDED if status is CounterStatus.ADDED else Outcome.REJECTED
            self.call_after(one_way_ms, partial(finish, outcome, total))

        def reach_counter() -> None:
            counter.call(self.number, str(command.counter_key), command.amount, command.ttl_ms, reply)

        self.clock.call_at(called_ms + one_way_ms, reach_counter)
        timeout_ms = self.environment.scenario.allowed.counter_wait_ms
        self.call_after(timeout_ms, partial(finish, Outcome.TIMED_OUT, 0.0))

    # Termination

    def stop(self) -> None:
        """Marks the process as ended or killed, and closes its connections to clients and endpoints."""
        self.is_alive = False
        self._endpoint_client.abort_all()
        for endpoint in self.environment.endpoints.values():
            endpoint.connections.pop(self.number, None)
        self.environment.discovery.watchers[self.number] = None
        closed_ms = self.clock.now() + self.environment.scenario.fleet.client_ms
        for attempt in list(self.client_attempts.values()):
            self.clock.call_at(closed_ms, partial(self.environment.clients.connection_closed, attempt))
