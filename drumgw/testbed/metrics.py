"""Figures of a run, from its record: value served, declines, voids by product, plan, zone, time; load."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

from drumgw.config.quota_bounds import sending_bound
from drumgw.testbed.event_log import EventLog
from drumgw.testbed.oracle import find_violations
from drumgw.testbed.scenario import Scenario

LONGEST_MS, DIGITS = 600_000, 3
WINDOWS = 12  # that a day is told in, each a whole second at least
LATE_SHARE = 0.01  # of arrivals that the lab may send late; beyond it the run is invalid
LOSSES = ("counter silent", "counter refuses", "counter empty", "counter older", "counter split")
REPLACED_MS = 5000.0  # looked at after a counter was replaced
Row = dict[str, Any]


class Tally:
    """Orders of one kind: what became of each, and how long those took that were served."""

    def __init__(self) -> None:
        self.ends: Counter[str] = Counter()
        self.asked = self.earned = 0.0
        self.took = HdrHistogram(1, LONGEST_MS * 10, DIGITS)  # tenths of a millisecond

    def add(self, end: str, value: float, earned: float, took_ms: float | None) -> None:
        self.ends[end] += 1
        self.asked, self.earned = self.asked + value, self.earned + earned
        if took_ms is not None:
            self.took.record_value(max(1, round(took_ms * 10)))

    def figures(self) -> dict[str, Any]:
        quantiles = (
            {f"p{q:g}_ms": self.took.get_value_at_percentile(q) / 10 for q in (50, 90, 99)}
            if self.took.total_count
            else {}
        )
        orders = sum(self.ends.values())
        return {
            "orders": orders,
            "served": round(self.earned / self.asked, 4) if self.asked else 0.0,
            **{
                end: self.ends[end]
                for end in ("in time", "late", "declined", "voided", "unreached", "lost", "left")
            },
            **quantiles,
        }


class RequestOutcomes:
    """Each order's tries, value and end. Latencies run from when it should have been sent."""

    def __init__(self, record: EventLog, day: Scenario) -> None:
        self.scenario = day
        self.request_classes = {p.name: p for p in day.product}
        self.plans = {p.name: p for p in day.plan}
        self.wanted: dict[int, Row] = {}
        self.by_try: dict[str, Row] = {}
        self.answers: dict[int, list[Row]] = defaultdict(list)
        self.gates: dict[int, int] = {}
        for row in record.rows:
            if row["what"] == "wanted":
                self.wanted[row["order"]] = row
            elif row["what"] == "asked":
                self.by_try[row["txn"]] = row
                self.gates.setdefault(row["order"], row["gate"])
            elif (
                row["what"] in ("answered", "closed", "unreached", "weary", "left")
                and row["txn"] in self.by_try
            ):
                self.answers[self.by_try[row["txn"]]["order"]].append(row)

    def each(self) -> list[tuple[Row, str, float, float, float | None]]:
        """Order, end, value, earned, time taken."""
        found = []
        for number, row in self.wanted.items():
            product, plan = self.request_classes[row["product"]], self.plans[row["plan"]]
            value = product.value * plan.price * row["units"]
            end, earned, took = self.ending(number, row, product)
            found.append((row, end, value, value * earned, took))
        return found

    def ending(self, number: int, row: Row, product: Any) -> tuple[str, float, float | None]:
        answers = self.answers[number]
        for answer in answers:
            if answer["what"] == "answered" and answer["status"] == 200:
                took = answer["t"] - row["intended"]
                if took > product.expiry_ms:
                    return "late", 0.0, took
                return (
                    ("in time", 1.0, took) if took <= product.sla_ms else ("late", product.late_value, took)
                )
        last = answers[-1] if answers else {"what": "weary"}
        if last["what"] == "answered":
            return ("declined" if last["status"] in (429, 503) else "voided"), 0.0, None
        return (last["what"] if last["what"] in ("left", "unreached") else "lost"), 0.0, None


def figures(record: EventLog, day: Scenario) -> dict[str, Any]:
    """All that a report says of one run; for programs as it is."""
    orders = RequestOutcomes(record, day)
    whole, parts = (
        Tally(),
        {name: defaultdict[str, Tally](Tally) for name in ("product", "plan", "zone", "time")},
    )
    wide = window_s(day)
    start = next((row["t"] for row in record.rows if row["what"] == "begins"), 0.0)
    for row, end, value, earned, took in orders.each():
        zone = day.fleet.zones[orders.gates.get(row["order"], 0) % len(day.fleet.zones)]
        window = int((row["intended"] - start) / 1000.0 / wide) * wide
        for tally in (
            whole,
            parts["product"][row["product"]],
            parts["plan"][row["plan"]],
            parts["zone"][zone],
            parts["time"][f"{window:05.0f} s"],
        ):
            tally.add(end, value, earned, took)
    ends = next((row for row in reversed(record.rows) if row["what"] == "ends"), None)
    breaches = find_violations(record, day)
    late, sent = (ends["late"], ends["sent"]) if ends else (0, len(orders.wanted))
    invalid = None
    if ends is None:
        invalid = "the record has no end: the run was cut off"
    elif late > LATE_SHARE * max(1, sent):
        invalid = f"the lab sent {late} of {sent} orders late: no figure says anything of the gatekeepers"
    return {
        "day": record.head.get("day"),
        "seed": record.head.get("seed"),
        "clock": record.head.get("clock"),
        "valid": invalid is None,
        "invalid": invalid,
        "breaches": [b._asdict() for b in breaches],
        "whole": whole.figures(),
        **{f"by {name}": {k: t.figures() for k, t in sorted(found.items())} for name, found in parts.items()},
        **load(record),
        "beyond quotas": beyond(record, day),
        "while the counter was lost": lost_shares(record, day),
    }


def window_s(day: Scenario) -> int:
    return max(1, round(day.seconds / WINDOWS))


def load(record: EventLog) -> dict[str, Any]:
    """Submissions by worker and gatekeeper, what workers did, calls to the counter."""
    workers, gates, hows = Counter[str](), Counter[int](), Counter[str]()
    tries = calls = faults = 0
    for row in record.rows:
        if row["what"] == "came":
            workers[row["worker"]] += 1
            gates[row["gate"]] += 1
        elif row["what"] == "ended":
            hows[row["how"]] += 1
        elif row["what"] == "asked":
            tries += 1
        elif row["what"] == "counter":
            calls = row["calls"]
        elif row["what"] == "fault":
            faults += 1
    return {
        "tries": tries,
        "submissions": sum(workers.values()),
        "submissions ended": dict(sorted(hows.items())),
        "by worker": dict(sorted(workers.items())),
        "by gatekeeper": {f"n{g}": n for g, n in sorted(gates.items())},
        "counter calls": calls,
        "calls a try": round(calls / tries, 4) if tries else 0.0,
        "faults": faults,
    }


def beyond(record: EventLog, day: Scenario) -> dict[str, Any]:
    """Units sent on beyond the customers' quotas, by plan; each store as all gatekeepers drew on it."""
    plans, asked = {p.name: p for p in day.plan}, dict[str, Row]()
    stores: dict[int, tuple[float, float]] = {}
    over, sent = Counter[str](), Counter[str]()
    for row in record.rows:
        if row["what"] == "asked":
            asked[row["txn"]] = row
        elif row["what"] == "came" and (one := asked.pop(row["txn"], None)) is not None:
            plan = plans[one["plan"]]
            if not plan.units_per_s:
                continue
            holds, at = stores.get(one["customer"], (plan.burst_units, row["t"]))
            holds = min(plan.burst_units, holds + plan.units_per_s * (row["t"] - at) / 1000.0)
            sent[plan.name] += one["units"]
            if holds >= one["units"]:
                holds -= one["units"]
            else:
                over[plan.name] += one["units"]
            stores[one["customer"]] = holds, row["t"]
    return {
        name: {"units": sent[name], "beyond": over[name], "share": round(over[name] / sent[name], 4)}
        for name in sorted(sent)
    }


def sent_while_lost(record: EventLog, day: Scenario) -> list[Row]:
    """For each customer and trouble of the counter: units sent on, quota, declared bound."""
    plans, asked = {p.name: p for p in day.plan}, dict[str, Row]()
    spans, begun = list[tuple[str, float, float]](), dict[int, tuple[str, float]]()
    for row in record.rows:
        if row["what"] == "trouble" and row["kind"] in LOSSES:
            begun[row["number"]] = row["kind"], row["t"]
        elif row["what"] == "trouble over" and row["number"] in begun:
            spans.append((*begun.pop(row["number"]), row["t"]))
    last = record.rows[-1]["t"] if record.rows else 0.0  # a replaced one stays replaced
    spans += [(*span, min(last, span[1] + REPLACED_MS)) for span in begun.values()]
    found = []
    for kind, since, until in spans:
        sent = Counter[tuple[int, str]]()
        for row in record.rows:
            if row["what"] == "asked":
                asked[row["txn"]] = row
            elif (
                row["what"] == "came" and (one := asked.pop(row["txn"], None)) and since <= row["t"] <= until
            ):
                sent[one["customer"], one["plan"]] += one["units"]
        asked.clear()
        seconds = (until - since) / 1000.0
        widths = {c.plan: c.gatekeepers for c in day.customers}
        for (customer, name), units in sorted(sent.items()):
            plan = plans[name]
            if (b := sending_bound(plan, widths[name], seconds)) is not None:
                found.append(
                    {
                        "kind": kind,
                        "customer": customer,
                        "plan": name,
                        "seconds": seconds,
                        "sent": units,
                        "quota": b.quota_units,
                        "bound": b.max_units,
                        "share": round(units / b.max_units, 4),
                    }
                )
    return found


def lost_shares(record: EventLog, day: Scenario) -> dict[str, Any]:
    """By trouble and plan: customers seen, and the largest share of bound and quota that one of them sent."""
    found: dict[str, Any] = {}
    for row in sent_while_lost(record, day):
        name = f"{row['kind']}, {row['plan']}"
        plan = found.setdefault(name, {"customers": 0, "of bound": 0.0, "of quota": 0.0})
        plan["customers"] += 1
        plan["of bound"] = max(plan["of bound"], row["share"])
        plan["of quota"] = max(plan["of quota"], round(row["sent"] / row["quota"], 4))
    return found
