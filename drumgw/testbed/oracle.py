"""The independent judge: the five rules, from what the stand-ins saw. It shares no code with the gatekeeper.

Each rule is a function of the sightings; each breach names the rule, the time, the txn and the gatekeepers it
touched. What the lab did itself (a gatekeeper killed, a client that left) is no breach.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from drumgw.testbed.event_log import EventLog
from drumgw.testbed.scenario import Scenario

Row = dict[str, Any]
SLACK_MS = 50.0  # by which each time limit grows on sockets (the protocol's figure)
CEILING_MS = 150.0  # of a ceiling's rate, by which its slack widens there
DECLINES = (429, 503)
CHANCE_PARTS = 3  # a cold worker's budget allows so many of the last txn's work more, for chance


class Violation(NamedTuple):
    rule: str
    t: float
    txn: str
    gates: tuple[int, ...]
    what: str

    def __str__(self) -> str:
        gates = ", ".join(f"n{g}" for g in self.gates) or "none"
        return f"{self.rule} at {self.t:.0f} ms, txn {self.txn or '-'}, gatekeepers {gates}: {self.what}"


class AttemptHistory:
    """All that was seen of one try."""

    def __init__(self, asked: Row) -> None:
        self.asked = asked
        self.answers: list[Row] = []
        self.end: Row | None = None  # left, weary, closed, unreached
        self.came: list[Row] = []
        self.over: dict[int, Row] = {}  # ticket: ended or given up


class Observations:
    """The sightings, sorted by what they are about."""

    def __init__(self, record: EventLog, day: Scenario, sockets: bool) -> None:
        self.rows, self.scenario = record.rows, day
        self.slack = SLACK_MS if sockets else 0.0
        self.ceiling_ms = CEILING_MS if sockets else 0.0
        self.request_classes = {p.name: p for p in day.product}
        self.plans = {p.name: p for p in day.plan}
        self.cases: dict[str, AttemptHistory] = {}
        self.strays: list[Row] = []
        self.zones: dict[str, tuple[str, int]] = {}
        self.gates: dict[int, list[Row]] = defaultdict(list)
        for row in self.rows:
            self.sort(row)

    def sort(self, row: Row) -> None:
        what = row["what"]
        if what == "asked":
            self.cases[row["txn"]] = AttemptHistory(row)
        elif what == "worker" and row["state"] == "starts":
            self.zones[row["worker"]] = row["zone"], row["cell"]
        elif what == "gate":
            self.gates[row["gate"]].append(row)
        case = self.cases.get(row.get("txn", ""))
        if case is None:
            if what == "came":
                self.strays.append(row)
        elif what == "answered":
            case.answers.append(row)
        elif what in ("left", "weary", "closed", "unreached"):
            case.end = row
        elif what == "came":
            case.came.append(row)
        elif what in ("ended", "given up"):
            case.over[row["ticket"]] = row

    def gate_died(self, gate: int, since: float, until: float) -> bool:
        """The lab killed it while it held the txn, or some ms before: a connection outlives its process that
        long, and what was sent on it was never held. What ends by itself is no excuse."""
        rows = [row for row in self.gates[gate] if row["t"] <= until]
        dead = bool(rows) and rows[-1]["state"] == "killed"
        return dead or any(row["state"] == "killed" and since <= row["t"] for row in rows)

    def may_have_run(self, case: AttemptHistory, came: Row, at: float) -> bool:
        """Unless its worker had said by then that it never began."""
        over = case.over.get(came["ticket"])
        return not (over is not None and over["what"] == "ended" and not over["ran"] and over["t"] <= at)


def lost(bench: Observations) -> Iterator[Violation]:
    """Each txn taken has one final answer in time, made for it by a worker."""
    for name, case in bench.cases.items():
        asked = case.asked
        gate, due = (
            asked["gate"],
            asked["t"] + asked["left"] + bench.scenario.rules.answer_slack_ms + bench.slack,
        )
        touched = (gate,)
        if len(case.answers) > 1:
            yield Violation("lost", case.answers[1]["t"], name, touched, "answered twice")
        for answer in case.answers[:1]:
            if answer["t"] > due:
                yield Violation(
                    "lost", answer["t"], name, touched, f"answered {answer['t'] - due:.0f} ms too late"
                )
            ran = {ticket for ticket, over in case.over.items() if over.get("how") == "settled"}
            if answer["status"] == 200 and (answer["mark"] != name or not ran):
                yield Violation(
                    "lost",
                    answer["t"],
                    name,
                    touched,
                    f"served with the answer of {answer['mark'] or 'none'}",
                )
        end = case.end
        if case.answers or end is not None and end["what"] in ("left", "unreached"):
            continue
        ended = end["t"] if end is not None else float("inf")
        if bench.gate_died(gate, asked["t"], ended):
            continue
        what = {"closed": "its connection was closed with no answer", "weary": "never answered"}
        yield Violation(
            "lost",
            end["t"] if end else due,
            name,
            touched,
            what[end["what"]] if end else "still open when the day ended",
        )


def doubled(bench: Observations) -> Iterator[Violation]:
    """No effect happens twice: what may have run goes no further than its product allows."""
    for row in bench.strays:
        yield Violation("doubled", row["t"], row["txn"], (row["gate"],), "a submission of no client's txn")
    for name, case in bench.cases.items():
        product, touched = bench.request_classes[case.asked["product"]], (case.asked["gate"],)
        for n, came in enumerate(case.came):
            for earlier in case.came[:n]:
                over = case.over.get(earlier["ticket"])
                if not bench.scenario.allowed.second_copies and (
                    over is None or over["t"] > came["t"] + bench.slack
                ):
                    yield Violation("doubled", came["t"], name, touched, "a second copy while one was out")
                if bench.may_have_run(case, earlier, came["t"] + bench.slack) and (
                    why := beyond(bench, product, earlier, came)
                ):
                    yield Violation("doubled", came["t"], name, touched, why)
        for answer in case.answers[:1]:
            ran = [c for c in case.came if bench.may_have_run(case, c, answer["t"])]
            harmless = (
                product.repeat == "inquiry-like" or product.repeat == "referenced" and product.group == "all"
            )
            if answer["status"] in DECLINES and ran and not harmless:
                yield Violation("doubled", answer["t"], name, touched, "declined though it may have run")


def beyond(bench: Observations, product: Any, earlier: Row, came: Row) -> str | None:
    """Why a repeat of what may have run is not allowed; none where it is."""
    if product.repeat == "once-only":
        return "a once-only txn was sent again though it may have run"
    if product.repeat == "referenced":
        (zone, cell), (other, others) = bench.zones[earlier["worker"]], bench.zones[came["worker"]]
        if (
            product.group == "zone"
            and zone != other
            or product.group == "cell"
            and (zone, cell) != (other, others)
        ):
            return f"a referenced txn was sent beyond its {product.group}"
        if came["first"] > earlier["t"] + product.remember_ms + bench.slack:
            return "a referenced txn was sent again after its workers forgot it"
    return None


def drains(bench: Observations) -> Iterator[Violation]:
    """Nothing new to a worker once the grace is over, after it was told that the worker drains or is gone."""
    grace = bench.scenario.rules.drain_grace_ms + bench.slack
    told: dict[tuple[int, str], tuple[str, float]] = {}
    for row in bench.rows:
        if row["what"] == "told":
            told[row["gate"], row["worker"]] = row["state"], row["t"]
        elif row["what"] == "gate" and row["state"] == "starts":
            for key in [key for key in told if key[0] == row["gate"]]:
                del told[key]  # a new process knows nothing of what the last was told
        elif row["what"] == "came":
            state, at = told.get((row["gate"], row["worker"]), ("up", 0.0))
            if state != "up" and row["first"] > at + grace:
                yield Violation(
                    "drains",
                    row["t"],
                    row["txn"],
                    (row["gate"],),
                    f"sent to {row['worker']}, {state}, {row['first'] - at:.0f} ms after it was told",
                )


def pushed(bench: Observations) -> Iterator[Violation]:
    """A cold worker is not sent more than a multiple of what it can do, by those told that it is cold."""
    rules = bench.scenario.rules
    cold: dict[str, tuple[float, float]] = {}  # worker: started, work it can do in a ms when warm
    came: dict[str, deque[Row]] = {}
    known: dict[str, set[int]] = defaultdict(set)  # who was told of this start
    for row in bench.rows:
        what = row["what"]
        if what == "worker" and row["state"] == "starts" and row["cold"]:
            cold[row["worker"]], came[row["worker"]] = (row["t"], row["cores"] * row["speed"]), deque()
            known[row["worker"]].clear()
        elif what == "told" and row["state"] == "up" and row["worker"] in cold:
            started, _ = cold[row["worker"]]
            if row["born"] >= started - 1:
                known[row["worker"]].add(row["gate"])
        elif what == "came" and row["worker"] in cold:
            if breach := press(row, cold[row["worker"]], came[row["worker"]], known[row["worker"]], rules):
                yield breach
                del cold[row["worker"]]  # it fell; what comes after is another matter


def press(
    row: Row, start: tuple[float, float], came: deque[Row], known: set[int], rules: Any
) -> Violation | None:
    at, full = start
    warmth = min(1.0, rules.cold_from + (1 - rules.cold_from) * (row["t"] - at) / max(1.0, rules.cold_ms))
    if warmth >= 1.0:
        return None
    came.append(row)
    while came[0]["t"] <= row["t"] - rules.fall_ms:
        came.popleft()
    work = sum(r["work"] for r in came)
    if work <= rules.fall_multiple * full * warmth * rules.fall_ms + CHANCE_PARTS * row["work"]:
        return None
    knew = sum(r["work"] for r in came if r["gate"] in known)
    if knew < 2 * work / 3:
        return None  # most came from those who could not know
    gates = tuple(sorted({r["gate"] for r in came}))
    return Violation(
        "pushed", row["t"], row["txn"], gates, f"{row['worker']} was sent {work:.0f} ms of work while cold"
    )


def ceilings(bench: Observations) -> Iterator[Violation]:
    """What all gatekeepers send on for a customer never passes its plan's ceiling by more than the slack."""
    stores: dict[int, tuple[float, float]] = {}  # customer: units it holds, at
    seen: set[str] = set()
    for row in bench.rows:
        if row["what"] != "came" or row["txn"] in seen or row["txn"] not in bench.cases:
            continue
        seen.add(row["txn"])
        asked = bench.cases[row["txn"]].asked
        plan = bench.plans[asked["plan"]]
        if not plan.ceiling_per_s:
            continue
        rate = plan.ceiling_per_s / 1000.0
        holds, at = stores.get(asked["customer"], (plan.ceiling_burst, row["t"]))
        holds = min(plan.ceiling_burst, holds + rate * (row["t"] - at)) - asked["units"]
        stores[asked["customer"]] = holds, row["t"]
        if holds < -plan.ceiling_slack - rate * bench.ceiling_ms - 1e-6:
            yield Violation(
                "ceilings",
                row["t"],
                row["txn"],
                (row["gate"],),
                f"customer {asked['customer']} is {-holds:.1f} units beyond its ceiling",
            )


def lives(bench: Observations) -> Iterator[Violation]:
    """No gatekeeper ends by itself, or never takes clients."""
    for gate, rows in bench.gates.items():
        for row in rows:
            if row["state"] in ("crashed", "never ready"):
                yield Violation("lives", row["t"], "", (gate,), f"the gatekeeper {row['state']}")


RULES: dict[str, Callable[[Observations], Iterator[Violation]]] = {
    "lost": lost,
    "doubled": doubled,
    "drains": drains,
    "pushed": pushed,
    "ceilings": ceilings,
    "lives": lives,
}


def find_violations(record: EventLog, day: Scenario) -> list[Violation]:
    bench = Observations(record, day, sockets=record.head.get("clock") == "sockets")
    return sorted((b for rule in RULES.values() for b in rule(bench)), key=lambda b: (b.t, b.rule, b.txn))
