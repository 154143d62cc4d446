"""How far customers exceeded their quotas, in the whole run and during outages of the shared counter."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from drumgw.config.quota_bounds import sending_bound
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.logged_events import AttemptSent, EndpointReceived, FaultEnded, FaultStarted
from drumgw.testbed.scenario import FaultKind, Scenario

COUNTER_OUTAGE_KINDS = (
    FaultKind.COUNTER_SILENT,
    FaultKind.COUNTER_REJECTS,
    FaultKind.COUNTER_EMPTY,
    FaultKind.COUNTER_STALE,
    FaultKind.COUNTER_SPLIT,
)
OPEN_ENDED_OUTAGE_MS = 5000.0
"""How long usage is measured for a fault that has no end, such as an emptied counter."""


class _FirstForward(NamedTuple):
    """A client's attempt and the time at which an endpoint first received it."""

    sent: AttemptSent
    time_ms: float


@dataclass(slots=True)
class _QuotaAccount:
    """Token bucket of one customer's quota."""

    units: float
    updated_at_ms: float


class _Outage(NamedTuple):
    """A period in which the shared counter was not usable."""

    kind: FaultKind
    start_ms: float
    end_ms: float


@dataclass(frozen=True, slots=True)
class OutageUsage:
    """Units that one customer had forwarded during an outage of the shared counter."""

    kind: FaultKind
    customer: int
    plan: str
    seconds: float
    sent_units: int
    quota_units: float
    """Units that the quota allows in that time, starting from a full token bucket."""
    bound_units: float
    """Upper bound on `sent_units`, as derived in drumgw/config/quota_bounds.py."""
    share_of_bound: float


def usage_beyond_quotas(event_log: EventLog, scenario: Scenario) -> dict[str, Any]:
    """Returns the units forwarded and those beyond the customers' quotas, by plan.

    Each customer has one account for all gateways, as if they shared their usage without delay.
    """
    plans = {section.name: section for section in scenario.plan}
    accounts: dict[int, _QuotaAccount] = {}
    excess_units = Counter[str]()
    sent_units = Counter[str]()
    for forwarded in _first_forwards(event_log):
        sent = forwarded.sent
        plan = plans[sent.plan]
        if not plan.units_per_s:
            continue
        account = accounts.setdefault(sent.customer, _QuotaAccount(plan.burst_units, forwarded.time_ms))
        refilled = account.units + plan.units_per_s * (forwarded.time_ms - account.updated_at_ms) / 1000.0
        account.units = min(plan.burst_units, refilled)
        account.updated_at_ms = forwarded.time_ms
        sent_units[plan.name] += sent.units
        if account.units >= sent.units:
            account.units -= sent.units
        else:
            excess_units[plan.name] += sent.units
    return {
        name: {
            "units": sent_units[name],
            "beyond": excess_units[name],
            "share": round(excess_units[name] / sent_units[name], 4),
        }
        for name in sorted(sent_units)
    }


def usage_in_outages(event_log: EventLog, scenario: Scenario) -> list[OutageUsage]:
    """Returns the usage of each customer with forwarded requests, for each outage of the shared counter."""
    return [
        usage for outage in _outages(event_log) for usage in _usage_in_outage(event_log, scenario, outage)
    ]


def largest_shares_in_outages(event_log: EventLog, scenario: Scenario) -> dict[str, Any]:
    """By fault and plan: customers, and the largest shares of bound and quota that one of them used."""
    figures: dict[str, Any] = {}
    for usage in usage_in_outages(event_log, scenario):
        name = f"{usage.kind}, {usage.plan}"
        shares = figures.setdefault(name, {"customers": 0, "of bound": 0.0, "of quota": 0.0})
        shares["customers"] += 1
        shares["of bound"] = max(shares["of bound"], usage.share_of_bound)
        shares["of quota"] = max(shares["of quota"], round(usage.sent_units / usage.quota_units, 4))
    return figures


def _first_forwards(event_log: EventLog) -> Iterator[_FirstForward]:
    """Yields each client attempt that was forwarded, once, leaving out the gateways' own retries."""
    waiting: dict[str, AttemptSent] = {}
    for event in event_log.events:
        match event:
            case AttemptSent():
                waiting[event.attempt_id] = event
            case EndpointReceived():
                sent = waiting.pop(event.attempt_id, None)
                if sent is not None:
                    yield _FirstForward(sent, event.time_ms)


def _outages(event_log: EventLog) -> list[_Outage]:
    """Returns the outages that ended, in the order of their ends, and then those that did not end."""
    outages: list[_Outage] = []
    active_faults: dict[int, FaultStarted] = {}
    for event in event_log.events:
        match event:
            case FaultStarted() if event.kind in COUNTER_OUTAGE_KINDS:
                active_faults[event.number] = event
            case FaultEnded() if event.number in active_faults:
                fault = active_faults.pop(event.number)
                outages.append(_Outage(fault.kind, fault.time_ms, event.time_ms))
    run_end_ms = event_log.events[-1].time_ms if event_log.events else 0.0
    for fault in active_faults.values():
        end_ms = min(run_end_ms, fault.time_ms + OPEN_ENDED_OUTAGE_MS)
        outages.append(_Outage(fault.kind, fault.time_ms, end_ms))
    return outages


def _usage_in_outage(event_log: EventLog, scenario: Scenario, outage: _Outage) -> Iterator[OutageUsage]:
    plans = {section.name: section for section in scenario.plan}
    gateway_counts = {group.plan: group.gatekeepers for group in scenario.customers}
    seconds = (outage.end_ms - outage.start_ms) / 1000.0
    sent_units = Counter[tuple[int, str]]()
    for sent, time_ms in _first_forwards(event_log):
        if outage.start_ms <= time_ms <= outage.end_ms:
            sent_units[sent.customer, sent.plan] += sent.units
    for (customer, plan_name), units in sorted(sent_units.items()):
        bound = sending_bound(plans[plan_name], gateway_counts[plan_name], seconds)
        if bound is not None:
            yield OutageUsage(
                kind=outage.kind,
                customer=customer,
                plan=plan_name,
                seconds=seconds,
                sent_units=units,
                quota_units=bound.quota_units,
                bound_units=bound.max_units,
                share_of_bound=round(units / bound.max_units, 4),
            )
