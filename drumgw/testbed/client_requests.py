"""A client's request and its attempts, shared by the testbed's clients, gateways and endpoints."""

from __future__ import annotations

from drumgw.config.sections import RequestClassSection
from drumgw.testbed.clocks import TimerHandle
from drumgw.testbed.workload import Arrival, Customer


class ClientRequest:
    """A client's request; its attempts are made one after another, never concurrently."""

    __slots__ = ("arrival", "deadline_ms", "attempt_count", "idempotency_key")

    def __init__(self, arrival: Arrival, intended_ms: float) -> None:
        self.arrival = arrival
        self.deadline_ms = intended_ms + arrival.request_class.expiry_ms
        self.attempt_count = 0
        self.idempotency_key = f"{arrival.number:x}"


class ClientAttempt:
    """One transmission of a request to a gateway.

    It is closed by its response, by a connection failure, or by the client giving up or disconnecting.
    """

    __slots__ = ("attempt_id", "request", "gateway", "time_left_ms", "sent_at_ms", "is_closed", "timers")

    def __init__(
        self, attempt_id: str, request: ClientRequest, gateway: int, time_left_ms: float, sent_at_ms: float
    ) -> None:
        self.attempt_id = attempt_id
        self.request = request
        self.gateway = gateway
        self.time_left_ms = time_left_ms
        self.sent_at_ms = sent_at_ms
        self.is_closed = False
        self.timers: list[TimerHandle] = []

    @property
    def request_class(self) -> RequestClassSection:
        """The request class's section of the scenario, with its deadline and retry rule."""
        return self.request.arrival.request_class

    @property
    def customer(self) -> Customer:
        """The customer whose quota the request uses."""
        return self.request.arrival.customer

    @property
    def work_ms(self) -> float:
        """Processor time that the request takes on an endpoint of speed 1."""
        return self.request.arrival.work_ms

    @property
    def idempotency_key(self) -> str:
        """The request's idempotency key, identical for all of its attempts."""
        return self.request.idempotency_key
