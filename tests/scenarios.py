"""Short scenarios for the testbed, and faulty gateways that violate one rule each."""

from __future__ import annotations

import tempfile
from typing import Any

from drumgw.gateway.commands import SendResponse
from drumgw.model.actions import RejectRequest
from drumgw.model.events import EndpointsUpdated, Outcome
from drumgw.policy.admission import AdmissionControl
from drumgw.policy.endpoint_selection import EndpointSelector
from drumgw.policy.endpoint_state import EndpointState
from drumgw.policy.engine import PolicyEngine
from drumgw.policy.request_flow import RequestFlow
from drumgw.policy.request_state import PendingRequest, RequestInput, RequestState
from drumgw.testbed.discovery import EndpointRow, ListUpdate
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.logged_events import Lifecycle
from drumgw.testbed.observations import Violation
from drumgw.testbed.oracle import find_violations
from drumgw.testbed.scenario import Scenario, read_scenario
from drumgw.testbed.virtual_endpoint_client import AttemptKey
from drumgw.testbed.virtual_gateway import VirtualGateway
from drumgw.testbed.virtual_runner import VirtualRunner

SCENARIO_TEMPLATE = """
version = 1
name = "short"
seconds = {seconds}
units_spread = {units_spread}
[fleet]
gatekeepers = {gatekeepers}
workers = {workers}
zones = ["a", "b"]
[worker]
cores = {cores}
dead_noticed_ms = 500
[discovery]
delay_ms = 100
spread_ms = 50
[rules]
cold_from = {cold_from}
cold_ms = {cold_ms}
fall_multiple = {fall_multiple}
fall_ms = 500
[[product]]
name = "preview"
sla_ms = 900
expiry_ms = 2500
repeat = "inquiry-like"
[[product]]
name = "sold-copy"
value = 3
sla_ms = 400
expiry_ms = 1200
repeat = "once-only"
[[product]]
name = "booking"
value = 2
sla_ms = 500
expiry_ms = 1500
repeat = "referenced"
group = "zone"
remember_ms = 1000
[[plan]]
name = "basic"
units_per_s = 4
burst_units = 12
over_cost = 0.8
[[plan]]
name = "flagship"
units_per_s = 20
burst_units = 40
price = 1.8
ceiling_per_s = 25
ceiling_burst = 50
ceiling_slack = 5
[[work]]
product = "preview"
share = 0.5
mean_ms = 40
[[work]]
product = "sold-copy"
share = 0.3
mean_ms = 20
[[work]]
product = "booking"
share = 0.2
mean_ms = 20
[[customers]]
plan = "basic"
number = 20
[[customers]]
plan = "flagship"
number = 6
use = {use}
"""
DEFAULT_VALUES: dict[str, Any] = {
    "seconds": 3,
    "gatekeepers": 3,
    "workers": 6,
    "cores": 2,
    "cold_from": 0.2,
    "cold_ms": 3000,
    "fall_multiple": 4,
    "use": 0.4,
    "units_spread": 0.4,
}


def make_scenario(*faults: str, **values: Any) -> Scenario:
    """Returns a short scenario.

    Args:
        faults: the keys of each fault as TOML, separated by "; ".
        values: replace values of `DEFAULT_VALUES`.
    """
    text = SCENARIO_TEMPLATE.format(**{**DEFAULT_VALUES, **values})
    for fault in faults:
        text += "[[trouble]]\n" + fault.replace("; ", "\n") + "\n"
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        return read_scenario(file.name)


def run_scenario_virtually(
    scenario: Scenario,
    seed: int = 1,
    engine: Any = PolicyEngine,
    gateway: type[VirtualGateway] = VirtualGateway,
) -> tuple[EventLog, list[Violation]]:
    """Runs a scenario on the virtual clock; returns its event log and the violations of rules."""

    class Runner(VirtualRunner):
        gateway_class = gateway

    event_log = Runner(scenario, seed, engine).run()
    return event_log, find_violations(event_log, scenario)


# Faulty gateways


class RetriesAlways(RequestFlow):
    """Retries requests even if an endpoint may have processed them."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        row = (RequestState.IN_FLIGHT, RequestInput.ATTEMPT_FAILED)
        self.transitions = {**self.transitions, row: (RequestState.IN_FLIGHT, RequestFlow.forward)}


class RetryingEngine(PolicyEngine):
    """Retries after every failed attempt."""

    request_flow_class = RetriesAlways


class SelectsNewest(EndpointSelector):
    """Selects the endpoint that started last, regardless of warm-up and load."""

    def select(self, request: PendingRequest) -> EndpointState | None:
        """Returns the untried endpoint that started last; None if all were tried."""
        untried = [
            endpoint for endpoint in self.endpoints.preferred if endpoint not in request.tried_endpoints
        ]
        return max(untried, key=started_at_ms) if untried else None


def started_at_ms(endpoint: EndpointState) -> float:
    """Returns when an endpoint started; 0 for one that was warm when it was first listed."""
    return endpoint.started_at_ms or 0.0


class NewestFirstEngine(PolicyEngine):
    """Sends all requests to the endpoint that started last, even during its warm-up."""

    selector_class = SelectsNewest


class IgnoresQuotas(AdmissionControl):
    """Admits requests without regard to quotas."""

    def quota_wait_ms(self, request: PendingRequest) -> float:
        """Returns 0: no request has to wait for its quota."""
        return 0.0


class NoQuotasEngine(PolicyEngine):
    """Admits requests beyond their quota."""

    admission_class = IgnoresQuotas


class RejectsProcessed(RequestFlow):
    """Rejects a request that an endpoint may have processed; a correct gateway fails it."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        row = (RequestState.IN_FLIGHT, RequestInput.NO_ENDPOINT)
        self.transitions = {**self.transitions, row: (RequestState.DONE, reject)}


def reject(flow: RequestFlow, request: PendingRequest) -> None:
    """Rejects a request; for the client this means that it was not processed."""
    flow.context.actions.append(RejectRequest(request.request_id, 10.0))
    flow.remove(request)


class RejectingEngine(PolicyEngine):
    """Rejects requests that may have been processed, so that clients retry them."""

    request_flow_class = RejectsProcessed


def up_row(row: EndpointRow) -> EndpointRow:
    """Returns a copy of the row in which the endpoint is up."""
    row = row.copy()
    row["lifecycle"] = Lifecycle.UP
    return row


class IgnoresDraining(VirtualGateway):
    """Forwards requests to draining endpoints."""

    def apply_update(self, update: ListUpdate) -> EndpointsUpdated:
        """Applies the update as an incremental one with all endpoints up, so that none is removed."""
        rows = [up_row(row) for row in update["instances"]]
        return super().apply_update({"generation": update["generation"], "reset": False, "instances": rows})


class DoesNotWaitForDiscovery(VirtualGateway):
    """In its first second, uses the endpoint list from the start of the run instead of its agent's list."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.ignore_until_ms = self.clock.now() + 1000.0
        rows = self.environment.discovery.rows.values()
        first_rows = [up_row(row) for row in rows if not row["startedAtMs"]]
        endpoints = self.apply_update({"generation": 0, "reset": True, "instances": first_rows})
        self.execute(self.lifecycle.endpoints_updated(self.clock.now(), endpoints))

    def read_update(self) -> None:
        """Ignores updates in the first second."""
        if self.clock.now() >= self.ignore_until_ms:
            super().read_update()


class LosesResponses(VirtualGateway):
    """Never responds to one request in twenty."""

    def respond(self, response: SendResponse) -> None:
        """Drops the response to every twentieth request."""
        if response.request_id % 20:
            super().respond(response)
        else:
            attempt = self.client_attempts.pop(response.request_id)
            self.request_ids.pop(attempt.attempt_id)


class MixesResponses(VirtualGateway):
    """Answers a client with the response to another attempt."""

    last_body_attempt_id = ""

    def attempt_ended(
        self, key: AttemptKey, outcome: Outcome, billed_units: float = 0.0, body_attempt_id: str = ""
    ) -> None:
        """Delivers the response of the previous successful attempt instead."""
        if outcome is Outcome.SUCCEEDED:
            previous = self.last_body_attempt_id or body_attempt_id
            self.last_body_attempt_id = body_attempt_id
            body_attempt_id = previous
        super().attempt_ended(key, outcome, billed_units, body_attempt_id)
