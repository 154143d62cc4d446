"""Figures of a run, computed from its event log: results by class, plan, zone and time; load distribution.

The keys of the figures are a public format that other programs read.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

from drumgw.testbed.event_log import EventLog
from drumgw.testbed.logged_events import (
    AttemptSent,
    CounterSummary,
    EndpointFinished,
    EndpointReceived,
    EngineFailed,
    RunEnded,
    RunStarted,
)
from drumgw.testbed.oracle import find_violations
from drumgw.testbed.quota_usage import largest_shares_in_outages, usage_beyond_quotas
from drumgw.testbed.request_outcomes import RequestOutcome, RequestOutcomes, RequestResult
from drumgw.testbed.scenario import Scenario

Figures = dict[str, Any]

HISTOGRAM_UNITS_PER_MS = 10
MAX_RESPONSE_TIME_MS = 600_000
SIGNIFICANT_DIGITS = 3
QUANTILES = (50, 90, 99)
TIME_WINDOW_COUNT = 12
"""Approximate number of time windows of a run, each a whole number of seconds."""
MAX_LATE_SHARE = 0.01
"""A run in which the testbed sent a larger share of the requests late is invalid."""


class RequestStats:
    """Results, value and response times of a group of requests."""

    def __init__(self) -> None:
        self._results: Counter[RequestResult] = Counter()
        self._value = 0.0
        self._earned = 0.0
        self._response_times = HdrHistogram(
            1, MAX_RESPONSE_TIME_MS * HISTOGRAM_UNITS_PER_MS, SIGNIFICANT_DIGITS
        )

    def add(self, outcome: RequestOutcome) -> None:
        """Adds one request; its response time counts only if it was served."""
        self._results[outcome.result] += 1
        self._value += outcome.value
        self._earned += outcome.earned
        if outcome.response_time_ms is not None:
            self._response_times.record_value(
                max(1, round(outcome.response_time_ms * HISTOGRAM_UNITS_PER_MS))
            )

    def figures(self) -> Figures:
        """Returns counts by result, the earned share of the value, and quantiles of the response time."""
        return {
            "orders": sum(self._results.values()),
            "served": round(self._earned / self._value, 4) if self._value else 0.0,
            **{result.value: self._results[result] for result in RequestResult},
            **self._quantiles(),
        }

    def _quantiles(self) -> Figures:
        if not self._response_times.total_count:
            return {}
        return {
            f"p{quantile:g}_ms": self._response_times.get_value_at_percentile(quantile)
            / HISTOGRAM_UNITS_PER_MS
            for quantile in QUANTILES
        }


def run_figures(event_log: EventLog, scenario: Scenario) -> Figures:
    """Computes all figures of one run, for reports and `figures.json`."""
    outcomes = RequestOutcomes(event_log, scenario)
    invalid_reason = _invalid_reason(event_log, outcomes.request_count)
    header = event_log.header
    return {
        "day": header.scenario,
        "seed": header.seed,
        "clock": header.clock,
        "valid": invalid_reason is None,
        "invalid": invalid_reason,
        "breaches": [violation.to_figures() for violation in find_violations(event_log, scenario)],
        **_result_figures(event_log, scenario, outcomes),
        **_load_figures(event_log),
        "beyond quotas": usage_beyond_quotas(event_log, scenario),
        "while the counter was lost": largest_shares_in_outages(event_log, scenario),
    }


def _invalid_reason(event_log: EventLog, request_count: int) -> str | None:
    """Returns why the run is invalid; None if it is valid."""
    ended = next((event for event in reversed(event_log.events) if isinstance(event, RunEnded)), None)
    if ended is None:
        return "the event log has no end: the run was cut off"
    if ended.sent_late_count > MAX_LATE_SHARE * max(1, ended.sent_count):
        return (
            f"the testbed sent {ended.sent_late_count} of {ended.sent_count} requests late: "
            f"the figures do not describe the gateways"
        )
    return None


def _result_figures(event_log: EventLog, scenario: Scenario, outcomes: RequestOutcomes) -> Figures:
    """Results of all requests together, and by request class, plan, zone of the first gateway, and time."""
    whole = RequestStats()
    breakdowns: dict[str, defaultdict[str, RequestStats]] = {
        name: defaultdict(RequestStats) for name in ("product", "plan", "zone", "time")
    }
    zones = scenario.fleet.zones
    window_s = _window_length_s(scenario)
    start_ms = next((event.time_ms for event in event_log.events if isinstance(event, RunStarted)), 0.0)
    for outcome in outcomes.all():
        request = outcome.request
        zone = zones[outcomes.first_gateways.get(request.request, 0) % len(zones)]
        window_start_s = int((request.intended_ms - start_ms) / 1000.0 / window_s) * window_s
        whole.add(outcome)
        breakdowns["product"][request.request_class].add(outcome)
        breakdowns["plan"][request.plan].add(outcome)
        breakdowns["zone"][zone].add(outcome)
        breakdowns["time"][f"{window_start_s:05.0f} s"].add(outcome)
    figures: Figures = {"whole": whole.figures()}
    for name, groups in breakdowns.items():
        figures[f"by {name}"] = {key: stats.figures() for key, stats in sorted(groups.items())}
    return figures


def _window_length_s(scenario: Scenario) -> int:
    return max(1, round(scenario.seconds / TIME_WINDOW_COUNT))


def _load_figures(event_log: EventLog) -> Figures:
    """Forwarded attempts by endpoint, gateway and outcome, calls to the counter, and engine failures."""
    by_endpoint = Counter[str]()
    by_gateway = Counter[int]()
    by_outcome = Counter[str]()
    attempts = 0
    counter_calls = 0
    engine_failures = 0
    for event in event_log.events:
        match event:
            case EndpointReceived():
                by_endpoint[event.endpoint] += 1
                by_gateway[event.gateway] += 1
            case EndpointFinished():
                by_outcome[event.outcome.value] += 1
            case AttemptSent():
                attempts += 1
            case CounterSummary():
                counter_calls = event.call_count
            case EngineFailed():
                engine_failures += 1
    return {
        "tries": attempts,
        "submissions": sum(by_endpoint.values()),
        "submissions ended": dict(sorted(by_outcome.items())),
        "by worker": dict(sorted(by_endpoint.items())),
        "by gatekeeper": {f"n{gateway}": count for gateway, count in sorted(by_gateway.items())},
        "counter calls": counter_calls,
        "calls a try": round(counter_calls / attempts, 4) if attempts else 0.0,
        "faults": engine_failures,
    }
