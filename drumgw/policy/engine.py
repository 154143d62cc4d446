"""The decisions of a drumgw gatekeeper, all of them.

Call keeper = Gatekeeper(seed, terms); keeper.start(now_ms); then keeper.handle(now_ms, event) for each event;
both return actions. Events, actions, terms: drumgw/interface.py. The design (docs/design.md): reserved class
shares of a customer's global unit quota, idle borrowing, blocks leased from a shared counter. Beside it:
 1. ceiling: held evenly by its gateways, so no failure lets it be passed
 2. choice of worker: a near part of the fleet, in it by hashed ranking, the next when one has enough
 3. health by worker and product: failures, silence, answer times; rests and trials
 4. room and shedding: what is out is bounded; lower classes yield first while answers come late
 5. cold budget: a starting worker is sent a part of what its warm fellows settle
 6. resubmission: what may run again is sent elsewhere, within a part of the first submissions
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from itertools import islice
from types import SimpleNamespace
from typing import Any, NamedTuple

from drumgw.model.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    FailRequest,
    ForwardRequest,
    LogMessage,
    RejectRequest,
    SetTimer,
)
from drumgw.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointInfo,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    GatewayStopping,
    Outcome,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from drumgw.model.settings import DeduplicationScope, GatewaySettings, Idempotency, Plan
from drumgw.stable_hash import stable_hash

SHARES, FLOORS = (0.70, 0.20, 0.10), (0.70, 0.10, 0.05)  # the source's; classes ranked by value
BLOCK_MS, BLOCK_PART = 1000.0, 0.2  # a block is this much demand here, this part of the quota at most
COUNT_MS, COUNT_LIVES_MS, TOP_STEP, TOP_DIGITS = 50000.0, 60000.0, 8.0, 100  # a count's name; its decimals
ASK_FIRST, ASK_LEAST, ASK_MORE, ASK_LESS = 100.0, 0.1, 0.04, 0.8  # odds of a call; first / gatekeepers
LOST_PART, LOST_LEAST, RESTORE_MS = 0.1, 2.0, 1000.0  # of the quota: what neither fill nor use explains
MOST_LEVEL, MOST_FIX = 2.0, 10**8  # quotas that a level may stand at; units put right by one call
PROMPT, MISSES = 0.3, 3  # part of its time-out in which the counter is well; misses until blind
HOLD_MS, STALL_MS = 2100.0, 300.0  # who is held for a total has this time; no event so long: we stood
RATE_MEMORY_MS, IDLE_MS, SWEEP_ODDS = 3000.0, 20000.0, 0.02  # rates kept in mind; books unused, swept
NEAR_LEAST, NEAR_PART, NEAR_FEW, GOLDEN = 8, 4.0, 3, 0.618  # workers used: most, or by our part; least
ENOUGH, QUANTILE, HIGH_STEP = 1.3, 0.9, 0.03  # multiple of a fair part; the high quantile, and its pace
SLOW_STEP, SLOW_STEP_MOST, SLOW_LEAST, SLOW_MOST = 0.1, 0.5, 0.67, 5.0  # a worker's to its fellows'
FAILURE_STEP, SICK_FAILURES, FULL_REST_MS = 0.2, 0.15, 150.0  # share of failures that rests a lane
REST_MS, REST_MOST_MS, SILENT, LATE_PART = 1000.0, 16000.0, 2.0, 0.6  # overdue; late: of the SLA time
LATE_STEP, LATE_MOST, LATE_FADE_MS = 0.1, 0.3, 18000.0  # share of late answers: followed, borne, forgotten
DOUBT_PART, RESEND_PART, RESEND_SAVED, COLD_PART, SHARED = 0.5, 0.15, 20.0, 0.4, 4  # gateways to a cap
PACE_MS, CALM_STEP, PRESSED_AT, QUIET_AT, FILL_STEP = 1000.0, 0.02, 0.7, 0.4, 0.3  # parts of the room
WAIT_SLA, ROOM_LEAST, ROOM_CALM, ROOM_MORE, LOWER_ROOM = 0.2, 3.5, 8.0, 0.7, 0.75  # by worker; by gateway
ROOM_FIRST, ROOM_GROW, TICK_MS, SHED_MORE, SHED_LESS, NO_ROOM_WAIT = 2.5, 0.1, 100.0, 0.05, 0.015, (0.3, 1.0)

FIT, RESTING, TRIAL, NEW, OUT, DONE, ANY = "fit", "resting", "trial", "new", "out", "done", "any"
HEARD, BLIND, QUIET, PRESSED = "counter heard", "counter blind", "back end quiet", "back end pressed"
NEVER, LONG_AGO = float("inf"), -1e12
Table = dict[tuple[str, str], tuple[str, Callable[..., "str | None"]]]


class Endpoint:
    """One worker. Dropped when the list lacks it and nothing is out."""

    def __init__(self, entry: EndpointInfo, now: float, chance: float, products: int) -> None:
        self.wid, self.zone, self.cell, self.born = (
            entry.endpoint_id,
            entry.zone,
            entry.cell,
            entry.started_at_ms,
        )
        self.key, self.listed = stable_hash(entry.endpoint_id), True
        self.lanes = [
            SimpleNamespace(state=FIT, until=0.0, rest_ms=0.0, failures=0.0, heard_at=LONG_AGO)
            for _ in range(products)
        ]  # a worker may fail one product and serve the others
        self.out: dict[int, tuple[float, float, int]] = {}  # txn: sent, overdue, product; emptied by answers
        self.slow, self.tokens, self.heard_at, self.tokens_at = 1.0, chance, now, now


class PlanLimits:
    """The few figures that decisions use of a plan. The window is the time in which its store fills."""

    def __init__(self, p: Plan) -> None:
        self.rate, self.quota = p.units_per_s / 1000.0, p.burst_units if p.units_per_s else NEVER
        self.window = p.burst_units / self.rate if p.units_per_s else 1000.0
        self.open_cap, self.soft = (
            p.max_concurrent_attempts,
            p.over_quota_value_share > p.over_quota_cost_share,
        )
        self.ceiling_rate, self.ceiling_burst = p.ceiling_units_per_s / 1000.0, p.ceiling_burst_units


class QuotaAccount:
    """A customer's books here, by class. Dropped when idle."""

    def __init__(self, plan: PlanLimits, t: RequestReceived, engine: PolicyEngine) -> None:
        classes, now, top = engine.classes, engine.now, engine.top_units
        self.plan, self.customer = plan, t.customer
        self.gates, self.key = max(1, t.gateway_count), stable_hash(t.customer)
        self.at = self.window_at = now
        self.use, self.spent, self.last = ([0.0] * classes for _ in range(3))  # all gateways'; by window
        self.mine, self.lease = ([0.0] * classes for _ in range(2))  # pace of spending; unspent blocks
        self.count, self.counted, self.told = 0.0, -1, LONG_AGO  # the last total, its epoch, when it came
        self.phase = self.key % int(COUNT_MS)  # names change at a moment of each customer's own
        self.sure, self.restored = 0.0, LONG_AGO  # in the store by the totals, less what filled; put back
        self.here = 0.0  # of that, sent on here: no counter makes us forget it
        self.rate, self.out = 0.0, 0  # others' pace; out here
        # What filled since we began, or the books were dropped: whoever was here before may have spent all
        self.ceiling = plan.ceiling_rate * min(IDLE_MS, now - engine.began) / self.gates
        self.shared = 0 < plan.open_cap * SHARED < self.gates  # no gateway keeps such a cap alone
        self.depth = min(plan.quota, plan.open_cap * top) if self.shared else plan.quota  # so bursts are low
        self.most = self.allowance = max(top, plan.quota / self.gates)  # without a total; a txn at least


class PendingRequest:
    """A txn in hand. Dropped at its final answer."""

    def __init__(self, t: RequestReceived, account: QuotaAccount, rank: int, now: float) -> None:
        self.txn, self.account, self.units, self.product, self.rank = (
            t.request_id,
            account,
            t.units,
            t.request_class,
            rank,
        )
        self.expiry, self.state, self.wait, self.repeat = now + t.time_left_ms, NEW, 0.0, t.is_client_retry
        self.over, self.tried, self.ran_at, self.sent_at = False, list[Endpoint](), 0.0, 0.0
        self.epoch, self.lag, self.top = -1, 0.0, 0.0  # of the count it is told to
        self.ran: Endpoint | None = None  # the first worker that may have run it


class CounterCall(NamedTuple):
    """A call to the counter: what it adds, of that to put the count right, and the total before it."""

    held: PendingRequest
    amount: float
    epoch: int
    fix: int
    before: float


class PolicyEngine:
    def __init__(self, seed: int, settings: GatewaySettings) -> None:
        self.chance, self.now, self.acts = random.Random(seed), 0.0, list[Action]()
        self.ordinal, self.gatekeepers, self.zone, self.fee = (
            settings.ordinal,
            settings.gateways,
            settings.zone,
            settings.cross_zone_fee > 0,
        )
        self.products, self.plans = settings.request_classes, [PlanLimits(p) for p in settings.plans]
        by_value = sorted(
            range(len(settings.request_classes)), key=lambda i: -settings.request_classes[i].priority_weight
        )
        self.rank, self.classes = {p: r for r, p in enumerate(by_value)}, len(by_value)
        self.shares, self.floors = portions(SHARES, self.classes), portions(FLOORS, self.classes)
        self.has_counter, self.counter_wait = settings.has_counter, settings.counter_timeout_ms
        self.can_cancel, self.top_units, self.submissions = (
            settings.cancellation_allowed,
            settings.max_request_units,
            settings.max_attempts,
        )
        self.longest_wait, self.cold_from, self.cold_ms = (
            settings.max_retry_after_ms,
            settings.warm_up_initial_fraction,
            settings.warm_up_ms,
        )
        self.workers, self.around = dict[int, Endpoint](), list[Endpoint]()  # all; listed, nearest first
        self.busy, self.calls = dict[int, Endpoint](), dict[int, list[CounterCall]]()  # till answers
        self.accounts, self.held = dict[int, QuotaAccount](), dict[int, PendingRequest]()
        self.counter, self.back_end = SimpleNamespace(state=HEARD), SimpleNamespace(state=QUIET)
        self.high, self.answers = (
            [p.latency_objective_ms / 2 for p in settings.request_classes],
            [0] * self.classes,
        )  # quantiles
        self.missed = self.outs = self.stuck = 0  # counter calls; submissions out; of them overdue
        self.settled = self.pace = self.late = self.shed = self.fill = self.broken = 0.0  # lately; they fade
        self.resends, self.room, self.grown, self.near = RESEND_SAVED, ROOM_CALM, ROOM_FIRST, NEAR_LEAST
        self.began, self.woke, self.full_at, self.call_at = 0.0, LONG_AGO, LONG_AGO, LONG_AGO
        self.asking, self.fleet = min(1.0, ASK_FIRST / settings.gateways), 1.0  # odds of a call
        self.hold, self.cold_multiple = (
            max(HOLD_MS, 2 * self.counter_wait),
            COLD_PART * settings.warm_up_overload_multiple,
        )
        self.wait_ms = self.calm_ms = WAIT_SLA * min(
            p.latency_objective_ms for p in settings.request_classes
        )  # calm: mean answer

    def start(self, now: float) -> list[Action]:
        self.began = now
        return [SetTimer(TICK_MS, 0)]

    def handle(self, now: float, event: Event) -> list[Action]:
        if self.now and now - self.now > STALL_MS:
            self.wake(now)
        self.now, self.acts = now, []
        HANDLERS[type(event)](self, event)
        return self.acts

    def wake(self, now: float) -> None:
        """Guards against our own stalls: none is charged with them, nothing held would not outlive one."""
        gap, self.woke = now - self.now, now
        self.hold = max(self.hold, 1.25 * gap + 2 * self.counter_wait)
        for w in self.busy.values():
            w.out = {t: (sent + gap, late + gap, k) for t, (sent, late, k) in w.out.items()}

    def step(self, table: Table, thing: Any, word: str | None) -> None:
        """State and input give the next state and the effect, which may give a further input."""
        while word and (row := table.get((thing.state, word)) or table.get((ANY, word))):
            thing.state, effect = row
            word = effect(self, thing)

    # The worker list and the choice of worker

    def on_listed(self, e: EndpointsUpdated) -> None:
        gone = (
            set(self.workers) - {entry.endpoint_id for entry in e.endpoints} if e.is_complete else set[int]()
        )
        for entry in e.endpoints:
            w = self.workers.get(entry.endpoint_id)
            if entry.status is not EndpointStatus.READY:
                gone.add(entry.endpoint_id)
            elif w is None or not w.listed or (entry.started_at_ms or 0) > (w.born or 0):
                new = self.workers[entry.endpoint_id] = Endpoint(
                    entry, self.now, self.chance.random(), self.classes
                )
                if w is not None and w.out:
                    new.out, self.busy[entry.endpoint_id] = w.out, new
        for wid in gone & set(self.workers):
            self.workers[wid].listed = False
        self.workers = {wid: w for wid, w in self.workers.items() if w.listed or w.out}
        order = sorted((w for w in self.workers.values() if w.listed), key=lambda w: w.key)
        at = int(self.ordinal * GOLDEN % 1 * len(order))  # so gateways begin evenly spread over the fleet
        order, self.fleet = order[at:] + order[:at], max(0.1, len(order) / self.gatekeepers)
        self.near = max(NEAR_LEAST, round(NEAR_PART * self.fleet))
        self.around = sorted(order, key=lambda w: self.fee and w.zone != self.zone)[: self.near]
        self.around += [w for w in order if w not in self.around]  # the next may be in any zone

    def pick(self, h: PendingRequest) -> Endpoint | None:
        """First in the customer's rank of the near workers that has not enough; else the least loaded."""
        near = [w for w in self.around[: self.near] if w not in h.tried and self.able(w, h)]
        if len(near) < NEAR_FEW:  # not more: each further one may be as sick, and is found out by a txn
            further = (w for w in self.around[self.near :] if w not in h.tried and self.able(w, h))
            near += islice(further, NEAR_FEW - len(near))
        if (
            self.products[h.product].idempotency is Idempotency.NOT_IDEMPOTENT
        ):  # a failure is final: others find out who is well
            near = [w for w in near if not self.doubted(w, h)] or near
        near = near or [w for w in self.around if self.allowed(w, h) and self.warmth(w) >= 1]
        near.sort(key=lambda w: (w.key ^ h.account.key) * 0x9E3779B97F4A7C15 & (2**64 - 1))
        fair = ENOUGH / max(1e-9, sum(1 / w.slow for w in near))
        for w in near:
            if (
                len(w.out) + 1 <= max(1.0, fair * (1 + self.outs) / w.slow)
                and self.chance.random() * w.slow * w.slow < ENOUGH
            ):
                return w
        return min(near, key=lambda w: (len(w.out) + 1) * w.slow) if near else None

    def allowed(self, w: Endpoint, h: PendingRequest) -> bool:
        """Repeats of a referenced txn stay where they are known."""
        p, ran = self.products[h.product], h.ran
        if (
            ran is None
            or p.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY
            or p.deduplication_scope is DeduplicationScope.ALL
        ):
            return True
        return w.zone == ran.zone if p.deduplication_scope is DeduplicationScope.ZONE else w.cell == ran.cell

    def able(self, w: Endpoint, h: PendingRequest) -> bool:
        lane = w.lanes[h.product]
        if lane.state is RESTING and self.now >= lane.until:
            self.step(LANE_TABLE, lane, "rested")
        if lane.state is RESTING or lane.state is TRIAL and w.out:
            return False
        return self.allowed(w, h) and (self.warmth(w) >= 1.0 or self.cold_tokens(w) >= 1.0)

    def doubted(self, w: Endpoint, h: PendingRequest) -> bool:
        """While another product rests there, and for as long again, in which that one may be tried first."""
        return any(
            lane.state is not FIT and self.now < lane.until + lane.rest_ms
            for k, lane in enumerate(w.lanes)
            if k != h.product
        )

    def warmth(self, w: Endpoint) -> float:
        age = 1.0 if w.born is None else (self.now - w.born) / max(1.0, self.cold_ms)
        return min(1.0, self.cold_from + (1 - self.cold_from) * age)

    def cold_tokens(self, w: Endpoint) -> float:
        """Guards cold workers: a part of what near fellows settle here, so all gateways keep the rule."""
        rate = self.cold_multiple * self.warmth(w) / self.between()
        w.tokens, w.tokens_at = min(1.0, w.tokens + rate * (self.now - w.tokens_at)), self.now
        return w.tokens

    def between(self) -> float:
        return RATE_MEMORY_MS * min(self.near, len(self.around)) / max(0.01, self.settled)

    # Admission

    def on_txn(self, t: RequestReceived) -> None:
        if (a := self.accounts.get(t.customer)) is None:
            a = self.accounts[t.customer] = QuotaAccount(self.plans[t.plan], t, self)
        self.age(a)
        h = self.held[t.request_id] = PendingRequest(t, a, self.rank[t.request_class], self.now)
        h.wait = self.lacks(h)
        if not self.ask(h, t.time_left_ms > self.hold):
            self.decide(h)

    def decide(self, h: PendingRequest) -> None:
        """Where answers are late, lower classes are shed first; for them what is overdue is still out."""
        outs = self.outs if self.late > LATE_MOST and h.rank else self.outs - self.stuck
        full = outs + self.chance.random() > self.room * LOWER_ROOM**h.rank
        if not h.wait and (full or self.chance.random() < self.shed - (self.classes - 1 - h.rank)):
            h.wait = max(1.0, self.longest_wait * self.chance.uniform(*NO_ROOM_WAIT))
        self.step(TXN_TABLE, h, "refused" if h.wait else "admitted")

    def ask(self, h: PendingRequest, may_wait: bool) -> bool:
        """True while held for the total, by odds where the counter is crowded; else an allowance counts."""
        a, plan, age = h.account, h.account.plan, self.now - h.account.told
        needless = not (plan.rate and self.around) or plan.soft and self.asking < 1 and self.quiet(plan)
        if needless or h.units <= a.lease[h.rank] or h.wait and age < plan.window:
            return False
        if self.has_counter and self.chance.random() < self.asking:
            h.epoch = int((self.now + a.phase) // COUNT_MS)
            if may_wait and self.add(h, 0.0):
                return True
        if (age > IDLE_MS or a.shared and h.epoch < 0) and self.has_counter and not plan.soft:
            if h.repeat or a.shared or a.allowance < h.units:
                h.wait = max(1.0, self.longest_wait)
            else:
                a.allowance -= h.units
        return False

    def lacks(self, h: PendingRequest) -> float:
        """The design: own share, else borrowing, else past a soft quota. 0: pass; else how long to wait."""
        a, c, units, plan = h.account, h.rank, h.units, h.account.plan
        if plan.ceiling_rate and units > a.ceiling:
            return max(1.0, (units - a.ceiling) * a.gates / plan.ceiling_rate)
        lack = units - (spare := a.depth - sum(a.use))
        if plan.open_cap and a.out >= max(1, plan.open_cap // a.gates):
            lack = max(lack, units)
        elif lack <= 0 and a.use[c] + units > self.shares[c] * plan.quota:
            lack = units - (spare - self.reserved_above(a, c))
        h.over = lack > 0 and plan.soft and self.quiet(plan)
        return 0.0 if lack <= 0 or h.over else max(1.0, lack / plan.rate if plan.rate else self.longest_wait)

    def quiet(self, plan: PlanLimits) -> bool:
        return self.back_end.state is QUIET and self.now - self.full_at > plan.window

    def reserved_above(self, a: QuotaAccount, c: int) -> float:
        """Floors of the higher classes, each up to its last window's use and one block."""
        needs = (max(a.last[d], a.spent[d]) + self.block(a, d) for d in range(c))
        return sum(max(0.0, min(self.floors[d] * a.plan.quota, n) - a.use[d]) for d, n in enumerate(needs))

    def block(self, a: QuotaAccount, c: int) -> float:
        return (1 - self.asking) * min(BLOCK_PART * a.plan.quota, a.mine[c] * BLOCK_MS)

    def spend(self, h: PendingRequest) -> None:
        """The first submission takes its units; a lease used up is renewed."""
        a, c, block = h.account, h.rank, self.block(h.account, h.rank)
        a.ceiling -= h.units
        if h.over:
            return
        a.use[c], a.spent[c], a.lease[c] = a.use[c] + h.units, a.spent[c] + h.units, a.lease[c] - h.units
        a.here = min(a.plan.quota, a.here + h.units)
        a.mine[c] += h.units / RATE_MEMORY_MS
        if h.epoch >= 0:
            self.tell(h, block)

    def age(self, a: QuotaAccount) -> None:
        """The store fills, so use leaks, and what is leased with it."""
        dt, plan, a.at = self.now - a.at, a.plan, self.now
        a.sure, a.here = max(0.0, a.sure - plan.rate * dt), max(0.0, a.here - plan.rate * dt)
        a.ceiling = min(plan.ceiling_burst / a.gates, a.ceiling + plan.ceiling_rate * dt / a.gates)
        a.allowance = min(a.most, a.allowance + plan.rate * dt / a.gates)
        a.use[-1] += min(a.rate, plan.rate * (1 - 1 / a.gates)) * dt  # others', guessed; never our part
        a.mine = [m * max(0.0, 1 - dt / RATE_MEMORY_MS) for m in a.mine]
        if (total := sum(a.use) + sum(v for v in a.lease if v > 0)) > 0:
            keep = max(0.0, min(1 - plan.rate * dt / total, plan.quota / total))
            a.use, a.lease = [u * keep for u in a.use], [v * keep for v in a.lease]
        if (passed := self.now - a.window_at) >= plan.window:
            a.last = a.spent if passed < 2 * plan.window else [0.0] * len(a.spent)
            a.spent, a.window_at = [0.0] * len(a.spent), self.now

    # The counter

    def add(self, h: PendingRequest, amount: float, fix: int = 0, back: int = 0) -> bool:
        """Adds to the customer's count for a txn. A blind counter is asked seldom until it answers."""
        if self.counter.state is BLIND and self.now - self.call_at < TICK_MS / self.asking:
            return False
        name, self.call_at = stable_hash(h.account.customer, h.epoch - back), self.now
        calls = self.calls.setdefault(name, [])
        before = h.account.count * (h.account.counted == h.epoch) + sum(math.floor(c.amount) for c in calls)
        calls.append(CounterCall(h, amount, h.epoch - back, fix, before))
        self.acts.append(AddToCounter(name, amount, COUNT_LIVES_MS))
        return True

    def on_total(self, e: CounterReplied) -> None:
        if e.counter_key not in self.calls:
            return
        call = self.calls[e.counter_key].pop(0)
        h, a = call.held, call.held.account
        if not self.calls[e.counter_key]:
            del self.calls[e.counter_key]
        self.age(a)
        if call.epoch < h.epoch:
            self.carry(
                h, max(0.0, e.total - self.filled(a, call.epoch)) if e.outcome is Outcome.SUCCEEDED else 0.0
            )
        elif (
            e.outcome is Outcome.SUCCEEDED and call.epoch >= a.counted
        ):  # else its name is not in use any more
            self.take_back(call, e.total, self.read(call, e.total))
        elif e.outcome not in (Outcome.TIMED_OUT, Outcome.SUCCEEDED):
            a.lease[h.rank] -= math.floor(call.amount) - call.fix  # was not told: it is owed
        if h.state is NEW and h.txn in self.held:
            h.wait = self.lacks(h)
            self.decide(h)
        if self.now != self.woke:  # guards a crowded counter: all ask less by what each sees
            prompt = e.outcome is Outcome.SUCCEEDED and e.duration_ms < PROMPT * self.counter_wait
            asking = self.asking + ASK_MORE if prompt else self.asking * ASK_LESS
            self.asking = min(1.0, max(ASK_LEAST, asking))
        self.missed = 0 if e.outcome is Outcome.SUCCEEDED else self.missed + 1
        word = "told" if not self.missed else "missed" if self.missed >= MISSES else None
        self.step(MODE_TABLE, self.counter, word)

    def take_back(self, call: CounterCall, total: float, level: float) -> None:
        """Guards the others: what went beyond a quota takes nothing from the store, so the count loses it;
        and so does what others had put right before us, as the counter's order of calls tells."""
        h, a, c = call.held, call.held.account, call.held.rank
        beyond = min(math.floor(call.amount) - call.fix, math.floor(level - a.plan.quota))
        others, fix = math.floor(total - call.before - call.amount + 0.5), call.fix
        twice = min(max(fix, 0), max(others, 0)) + max(min(fix, 0), min(others, 0))
        if (back := max(0, beyond) + twice) and self.add(h, -back):
            a.lease[c] -= min(max(0, beyond), max(0.0, a.lease[c]))

    def filled(self, a: QuotaAccount, epoch: int) -> float:
        return a.plan.rate * (self.now + a.phase - epoch * COUNT_MS)

    def read(self, call: CounterCall, total: float) -> float:
        """The store's level is what was told less what has filled; decimals count the top class's steps."""
        h, a = call.held, call.held.account
        quota, filled, own = a.plan.quota, self.filled(a, h.epoch), math.floor(call.amount) - call.fix
        told, steps = divmod(round(total * TOP_DIGITS), TOP_DIGITS)
        if a.counted == h.epoch:
            news, dt = max(0.0, told - a.count - math.floor(call.amount)), max(1.0, self.now - a.told)
            a.rate += min(1.0, dt / RATE_MEMORY_MS) * (news / dt - a.rate)
        a.count, a.counted = told, h.epoch
        h.lag, h.top, a.told = max(0.0, filled - told), min(1.0, steps * TOP_STEP / max(1.0, told)), self.now
        later = self.calls.get(stable_hash(a.customer, h.epoch), ())  # calls that come after this one
        out = [math.floor(c.amount) for c in later]
        level = max(0.0, told - filled + sum(n for n in out if n < 0))
        top, used = h.top if self.classes > 1 else 1.0, max(a.here, told - filled + sum(out))
        slack, fresh = max(LOST_LEAST, LOST_PART * quota), total - call.amount < 0.5 / TOP_DIGITS
        lost = a.sure >= LOST_LEAST and a.sure - (told - own - filled) >= slack
        if lost:  # a new name, or a counter that forgot: we did not
            level = max(level, a.sure + max(0, own))
        if spoilt := level - max(0, own) > MOST_LEVEL * quota:  # a store holds no such use: we go by ours
            level = used = min(quota, max(sum(a.use), a.here))
        a.sure, used = min(quota, level), max(level, used)
        if lost or spoilt or fresh and filled < quota:
            self.restore(h, fresh)
        parts = [top] + [(1 - top) * share / sum(self.shares[1:]) for share in self.shares[1:]]
        a.use = [max(0.0, used * part - max(0.0, v)) for part, v in zip(parts, a.lease, strict=True)]
        return level

    def restore(self, h: PendingRequest, fresh: bool) -> None:
        """A count that lost what it held, or holds more than a store can, is put right by one call at a time.
        Who finds a new name empty is the first there, so it alone asks what the old one held."""
        a = h.account
        if self.now - a.restored < RESTORE_MS or self.chance.random() >= self.asking:
            return
        a.restored = self.now
        if not (fresh and self.filled(a, h.epoch) < a.plan.quota and self.add(h, 0.0, back=1)):
            self.carry(h, 0.0)

    def carry(self, h: PendingRequest, level: float) -> None:
        """What the old name held, or what we know to be there, whichever is more."""
        a = h.account
        known = max(min(a.plan.quota, level), a.sure)
        out = self.calls.get(stable_hash(a.customer, h.epoch), ())
        lacking = math.floor(known - a.count + self.filled(a, h.epoch)) - sum(c.fix for c in out)
        lacking = max(lacking, -MOST_FIX) if known >= LOST_LEAST or lacking < 0 else 0
        if abs(lacking) >= LOST_LEAST and a.counted == h.epoch and self.add(h, lacking, lacking):
            h.lag = 0.0

    def tell(self, h: PendingRequest, block: float) -> None:
        """Adds what was spent and a block, for the untold too, by odds; puts an overfull store right."""
        a, c = h.account, h.rank
        units = max(h.units, min(h.units / self.asking, a.plan.quota / 2)) - h.units + block - a.lease[c]
        steps = math.floor((units * (c == 0) + h.lag * h.top) / TOP_STEP + self.chance.random())
        lag = math.floor(min(h.lag, MOST_FIX) + self.chance.random())
        whole = math.floor(max(0.0, units) + self.chance.random()) + lag
        if self.add(h, whole + max(0, steps) / TOP_DIGITS, lag):
            a.lease[c] = block

    def on_ending(self, _e: GatewayStopping) -> None:
        """What is leased here and was not spent is not lost to its customers."""
        for a in self.accounts.values():
            self.age(a)
            unspent = math.floor(sum(v for v in a.lease if v > 0))
            if unspent >= 1 and a.counted == int((self.now + a.phase) // COUNT_MS):
                none = RequestReceived(-1, 0.0, 0, a.customer, 0, 0.0, False, a.gates, 0)
                h = PendingRequest(none, a, self.classes - 1, self.now)
                h.epoch, h.state, a.lease = a.counted, DONE, [min(v, 0.0) for v in a.lease]
                self.add(h, -unspent)

    # Submissions

    def submit(self, h: PendingRequest) -> str | None:
        w = self.pick(h) if len(h.tried) < self.submissions and h.expiry - self.now > 1 else None
        if w is None:
            return "no worker"
        w.tokens -= 1.0
        if not h.tried:
            self.spend(h)
        self.resends = max(0.0, min(RESEND_SAVED, self.resends + (-1.0 if h.tried else RESEND_PART)))
        h.account.out, self.outs, h.sent_at = h.account.out + 1, self.outs + 1, self.now
        h.tried.append(w)
        late = min(
            self.products[h.product].latency_objective_ms,
            SILENT * self.high[h.product] * w.slow / self.warmth(w),
        )
        w.out[h.txn], self.busy[w.wid] = (self.now, self.now + late, h.product), w
        self.acts.append(ForwardRequest(h.txn, w.wid, h.expiry, self.known_until(h)))
        return None

    def on_answer(self, e: AttemptEnded) -> None:
        h, w = self.held.get(e.request_id), self.workers.get(e.endpoint_id)
        if w is not None and (out := w.out.pop(e.request_id, None)) is not None:
            self.outs, self.stuck = self.outs - 1, self.stuck - (out[1] == NEVER)
            self.judge(w, e, out)
            if not w.out:
                del self.busy[w.wid]
        if h is None:
            return
        h.account.out -= 1
        if e.outcome is Outcome.SUCCEEDED and e.billed_units and not h.over:
            self.age(h.account)
            h.account.use[h.rank] = max(0.0, h.account.use[h.rank] + e.billed_units - h.units)
        if (
            e.outcome in (Outcome.FAILED, Outcome.TIMED_OUT, Outcome.BROKEN_RESPONSE, Outcome.CANCELLED)
            and h.ran is None
        ):
            h.ran, h.ran_at = h.tried[-1], h.sent_at
        self.step(
            TXN_TABLE,
            h,
            "settled" if e.outcome is Outcome.SUCCEEDED else "left" if e.is_final else "unsettled",
        )

    def again(self, h: PendingRequest) -> str | None:
        """Sends again what may run again, within the budget; what never ran is always free to go."""
        p = self.products[h.product]
        spent = self.resends < 1 and (h.ran is not None or self.late > LATE_MOST)
        if (
            spent
            or h.ran is not None
            and p.idempotency is Idempotency.NOT_IDEMPOTENT
            or self.now >= self.known_until(h)
        ):
            return "no worker"
        return self.submit(h)

    def known_until(self, h: PendingRequest) -> float:
        """Guards referenced txns: a repeat whose last byte comes after the workers forgot the first has a
        second effect, however early it was decided."""
        p = self.products[h.product]
        bound = h.ran is not None and p.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        return h.ran_at + p.idempotency_window_ms if bound else NEVER

    def finish(self, h: PendingRequest) -> None:
        """The final answer, at once: declined where trying again is known to be harmless, else voided."""
        p = self.products[h.product]
        left = self.known_until(h) - self.now  # guards referenced txns: it comes again while it is known
        wait = min(self.longest_wait, (h.wait or REST_MS) * self.chance.uniform(1.0, 1.2), DOUBT_PART * left)
        known = p.deduplication_scope is DeduplicationScope.ALL and left > 1
        harmless = (
            p.idempotency is Idempotency.IDEMPOTENT
            or p.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and known
        )
        self.acts.append(
            RejectRequest(h.txn, max(0.0, wait)) if harmless or h.ran is None else FailRequest(h.txn)
        )
        self.forget(h)

    def forget(self, h: PendingRequest) -> None:
        del self.held[h.txn]

    def on_left(self, e: ClientDisconnected) -> None:
        if (h := self.held.get(e.request_id)) is not None:
            if h.tried:
                h.account.out -= 1
                if self.can_cancel:
                    self.acts.append(CancelAttempt(h.txn, len(h.tried) - 1))
            self.step(TXN_TABLE, h, "left")

    # Health

    def judge(self, w: Endpoint, e: AttemptEnded, out: tuple[float, float, int]) -> None:
        k, lane = out[2], w.lanes[out[2]]
        self.broken += HIGH_STEP * ((e.outcome is Outcome.BROKEN_RESPONSE) - self.broken)
        if e.outcome is Outcome.SUCCEEDED:
            self.pace, self.settled = self.pace + 1 / PACE_MS, self.settled + 1
            if self.now != self.woke:
                self.time(w, k, e.duration_ms, e.attempt > 0)
            lane.failures = 0.0 if lane.state is TRIAL else lane.failures * (1 - FAILURE_STEP)
            lane.rest_ms, lane.heard_at = 0.0, self.now
            self.step(LANE_TABLE, lane, "settled")
        elif (
            e.outcome in (Outcome.FAILED, Outcome.BROKEN_RESPONSE, Outcome.UNREACHABLE)
            or e.outcome is Outcome.TIMED_OUT
            and out[1] != NEVER
        ):
            for each in w.lanes if e.outcome is Outcome.UNREACHABLE else [lane]:
                self.fail(w, each, DOUBT_PART if e.outcome is Outcome.BROKEN_RESPONSE else 1.0)
        elif e.outcome is Outcome.REJECTED:
            self.full_at = self.now
            lane.rest_ms = lane.rest_ms or FULL_REST_MS / 2
            self.step(LANE_TABLE, lane, "full")

    def time(self, w: Endpoint, k: int, took: float, again: bool) -> None:
        """Follows the high quantiles of answer times; first and rare answers move them most."""
        self.answers[k] += 1
        step = max(HIGH_STEP, 1 / (1 + self.answers[k]))
        if self.back_end.state is QUIET:
            self.calm_ms += CALM_STEP * (took - self.calm_ms)
        self.high[k] *= 1 + step * (QUANTILE - (took <= self.high[k]))
        self.slower(w, took > w.slow * self.high[k])
        late = took > LATE_PART * self.products[k].latency_objective_ms
        self.grown = self.grown if late else min(ROOM_CALM, self.grown + ROOM_GROW)
        lost = LATE_STEP if again and not late else 0.0  # in time elsewhere: the first was lost, not late
        self.late = max(0.0, self.late + LATE_STEP * (late - self.late) - lost)

    def slower(self, w: Endpoint, late: bool) -> None:
        step = min(SLOW_STEP_MOST, max(SLOW_STEP, (self.now - w.heard_at) / RATE_MEMORY_MS))
        w.slow, w.heard_at = w.slow * (1 + step * (QUANTILE - (not late))), self.now
        w.slow = min(SLOW_MOST, max(SLOW_LEAST, w.slow))

    def fail(self, w: Endpoint, lane: SimpleNamespace, part: float = 1.0) -> None:
        lane.failures += part * FAILURE_STEP * (1 - lane.failures)
        if lane.failures > SICK_FAILURES + self.broken or lane.state is TRIAL:  # all break: no use
            self.acts.append(
                LogMessage(f"worker {w.wid} rests: failures {lane.failures:.2f}, out {len(w.out)}")
            )
            self.step(LANE_TABLE, lane, "sick")

    def rest(self, lane: SimpleNamespace) -> None:
        """Longer where a worker gets few txns, as each trial may cost one."""
        lane.rest_ms = min(REST_MOST_MS, max(self.between(), 2 * lane.rest_ms or REST_MS))
        lane.until = self.now + lane.rest_ms

    def overdue(self, w: Endpoint, txn: int, sent: float, k: int) -> None:
        """Guards against answers that never come: their lane rests, and what may run again is called off."""
        w.out[txn], self.stuck = (sent, NEVER, k), self.stuck + 1
        self.slower(w, True)
        self.late += LATE_STEP * (1 - self.late)
        if self.late > LATE_MOST:  # all are late: no fault of this one
            return
        if w.lanes[k].heard_at < sent:
            self.fail(w, w.lanes[k], DOUBT_PART)
        may = self.can_cancel and self.products[k].idempotency is not Idempotency.NOT_IDEMPOTENT
        if may and self.fill < PRESSED_AT and txn in self.held and self.resends >= 1:
            self.acts.append(CancelAttempt(txn, len(self.held[txn].tried) - 1))

    def on_due(self, _e: TimerFired) -> None:
        """The tick: what is overdue is judged, rates fade, room is made, idle books are dropped."""
        self.acts.append(SetTimer(TICK_MS, 0))
        self.settled *= 1 - TICK_MS / RATE_MEMORY_MS
        for w in self.busy.values():
            for txn, (sent, late, k) in w.out.items():
                if late < self.now:
                    self.overdue(w, txn, sent, k)
        self.make_room()
        if self.chance.random() < SWEEP_ODDS:
            self.accounts = {c: a for c, a in self.accounts.items() if a.out or self.now - a.at < IDLE_MS}

    def make_room(self) -> None:
        """Guards against a spiral of late answers: out is what settles in a calm answer's time and a wait."""
        more = min(1.0, ROOM_MORE * self.wait_ms / self.calm_ms)  # slow work leaves less time to wait in
        least, calm = ROOM_LEAST * self.fleet, 1 + more * (1 - self.late / LATE_MOST)
        self.grown = 1.0 if self.late > LATE_MOST else self.grown
        least = max(self.grown, least if self.late > LATE_MOST else calm * least)
        self.room = max(least, self.pace * (self.calm_ms + self.wait_ms))
        self.pace, self.late = self.pace * (1 - TICK_MS / PACE_MS), self.late * (1 - TICK_MS / LATE_FADE_MS)
        more = SHED_MORE if self.late > LATE_MOST and self.fleet < 1 else -SHED_LESS  # else by room
        self.shed = min(self.classes - 1.0, max(0.0, self.shed + more))
        self.fill += FILL_STEP * ((self.outs - self.stuck) / self.room - self.fill)
        pressed = self.fill > PRESSED_AT or self.late > LATE_MOST
        self.step(MODE_TABLE, self.back_end, "full" if pressed else "slack" if self.fill < QUIET_AT else None)

    def announce(self, mode: SimpleNamespace) -> None:
        figures = f"missed {self.missed}, out {self.outs}, room {self.room:.0f}, late {self.late:.2f}"
        self.acts.append(LogMessage(f"{mode.state}: {figures}"))


def portions(source: tuple[float, ...], n: int) -> list[float]:
    """The source's figures for n classes; more than three share the last one evenly."""
    more = max(0, n - len(source)) + 1
    return [*source[:-1], *[source[-1] / more] * more][:n]


def nothing(_keeper: PolicyEngine, _thing: Any) -> None: ...


TXN_TABLE: Table = {
    (NEW, "admitted"): (OUT, PolicyEngine.submit),
    (NEW, "refused"): (DONE, PolicyEngine.finish),
    (OUT, "no worker"): (DONE, PolicyEngine.finish),
    (OUT, "unsettled"): (OUT, PolicyEngine.again),
    (OUT, "settled"): (DONE, PolicyEngine.forget),
    (ANY, "left"): (DONE, PolicyEngine.forget),
}
LANE_TABLE: Table = {
    (FIT, "sick"): (RESTING, PolicyEngine.rest),
    (FIT, "full"): (RESTING, PolicyEngine.rest),
    (RESTING, "rested"): (TRIAL, nothing),
    (TRIAL, "settled"): (FIT, nothing),
    (TRIAL, "sick"): (RESTING, PolicyEngine.rest),
    (TRIAL, "full"): (RESTING, PolicyEngine.rest),
}
MODE_TABLE: Table = {
    (HEARD, "missed"): (BLIND, PolicyEngine.announce),
    (BLIND, "told"): (HEARD, PolicyEngine.announce),
    (QUIET, "full"): (PRESSED, PolicyEngine.announce),
    (PRESSED, "slack"): (QUIET, PolicyEngine.announce),
}
HANDLERS: dict[type, Callable[..., None]] = {
    EndpointsUpdated: PolicyEngine.on_listed,
    RequestReceived: PolicyEngine.on_txn,
    AttemptEnded: PolicyEngine.on_answer,
    ClientDisconnected: PolicyEngine.on_left,
    TimerFired: PolicyEngine.on_due,
    CounterReplied: PolicyEngine.on_total,
    ResponseStarted: nothing,
    GatewayStopping: PolicyEngine.on_ending,
}
