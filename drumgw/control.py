"""The decisions of a drumgw gatekeeper, all of them.

Call: keeper = Gatekeeper(seed, terms); actions = keeper.start(now_ms); then
actions = keeper.handle(now_ms, event) for each event. Events, actions and terms: drumgw/interface.py.

The design (docs/design.md): reserved class shares of a customer's global unit quota with idle borrowing,
in blocks leased from a shared counter. Beside it stand these mechanisms:
 1. ceiling: held evenly in part, the rest leased per short window, so no failure lets it be passed
 2. choice of worker: hashed ranking, the next when one has enough (bounded load, weighed by health)
 3. health: a high quantile of answer times against the fellows', failures, silence; rest and trial
 4. room: what is out at once follows the pace of answers, the higher classes keep more of it
 5. cold budget: a starting worker is sent a part of what its warm fellows settle
 6. resubmission: what may run again is sent elsewhere, within a part of the first submissions
"""
from __future__ import annotations

import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from drumgw import interface as api
from drumgw.interface import End, Group, Health, Repeat

SHARES, FLOORS = (0.70, 0.20, 0.10), (0.70, 0.10, 0.05)   # the source's; classes ranked by value
NAME_WINDOWS = 8        # a count's name changes every so many windows
BLOCK_MS, BLOCK_PART = 1500.0, 0.25   # a block covers this much demand here, this part of the quota at most
QUIET_PART, CAUTION = 0.1, 0.15   # parts of the quota: use kept to ourselves; kept back, by passing's cost
STALE_PART, KNOWN_WINDOWS = 0.7, 2.0   # windows after which a total is read before it refuses, or grants
CALLS_PER_TXN, CALLS_SAVED = 0.25, 20.0
MISSES, BLIND_RETRY_MS = 3, 400.0      # calls missed in a row until judged blind; then one call in this time
RATE_MEMORY_MS, IDLE_MS = 3000.0, 20000.0   # how long rates are kept in mind; and books unused
CEILING_OWN, CEILING_POOL = 0.6, 0.38   # parts of a ceiling: held evenly without asking, and leased ...
POOL_PART, POOL = 0.25, -1   # ... in windows of this part of the time in which it fills; its place in books
ENOUGH = 1.3            # a worker has enough at this multiple of its fair part of what is out
QUANTILE, HIGH_STEP, SLOW_STEP = 0.9, 0.03, 0.1   # the high quantile and how fast it is followed
SLOW_LEAST, SLOW_MOST = 0.67, 5.0                 # bounds of a worker's quantile to its fellows'
FAILURE_STEP, SICK_FAILURES = 0.2, 0.3   # share of failures that rests a worker
SILENT, OVERDUE = 2.0, 2.0   # high quantiles to be overdue; two such, or one twice as old, rest their worker
REST_MS, REST_MOST_MS, FULL_REST_MS = 1000.0, 6000.0, 150.0
COLD_PART = 0.4         # of the multiple under which a cold worker must stay
RESEND_PART, RESEND_SAVED = 0.15, 20.0   # resubmissions to first submissions
WAIT_SLA, ROOM_LEAST = 0.2, 3.5   # part of the least SLA time to spend waiting; least out by worker
PACE_MS, CALM_STEP, PRESSED_AT, QUIET_AT = 1000.0, 0.02, 0.7, 0.4   # modes change at these parts of the room
LOWER_ROOM = 0.75       # a class may fill this part of the room of the class above it
NO_ROOM_WAIT, TICK_MS = (0.3, 1.0), 100.0   # parts of the longest wait, advised when there is no room

FIT, RESTING, TRIAL, DROPPED = "fit", "resting", "trial", "dropped"
NEW, OUT, DONE, ANY = "new", "out", "done", "any"
HEARD, BLIND, QUIET, PRESSED = "counter heard", "counter blind", "back end quiet", "back end pressed"
Table = dict[tuple[str, str], tuple[str, Callable[..., "str | None"]]]


def mix(*parts: int) -> int:
    """A stable hash, the same at all gateways."""
    x = 0
    for part in parts:
        x = ((x ^ part & (2**64 - 1)) * 0x9E3779B97F4A7C15 + 0x632BE59BD9B4E019) & (2**64 - 1)
        x = (x ^ x >> 29) * 0xBF58476D1CE4E5B9 & (2**64 - 1)
        x ^= x >> 32
    return x >> 1


class Worker:
    """One worker. Dropped when the list lacks it and nothing is out."""

    def __init__(self, entry: api.Entry, now: float, chance: float) -> None:
        self.wid, self.zone, self.cell, self.born = entry.worker, entry.zone, entry.cell, entry.born_ms
        self.state, self.until, self.rest_ms = FIT, 0.0, REST_MS
        self.out: dict[int, tuple[float, float]] = {}   # txn: sent, overdue; emptied by answers
        self.slow = self.weight = 1.0
        self.failures = self.settled = 0.0
        self.heard_at = self.tokens_at = now
        self.tokens = chance


class Plan:
    """The few figures that decisions use of a plan. The window is the time in which its store fills."""

    def __init__(self, p: api.Plan, counter: bool) -> None:
        self.rate, self.quota = p.rate / 1000.0, p.burst if p.rate else float("inf")
        self.window = p.burst / self.rate if p.rate else 1000.0
        self.open_cap, self.soft = p.open_cap, p.over_value > p.over_cost
        self.usable = self.quota * max(0.5, 1 - CAUTION * p.over_cost)
        own = CEILING_OWN if counter else 1.0
        self.ceiling_rate, self.ceiling_burst = own * p.ceiling_rate / 1000.0, own * p.ceiling_burst
        self.pool_ms = POOL_PART * 1000.0 * p.ceiling_burst / p.ceiling_rate if p.ceiling_rate else 0.0
        self.pool = CEILING_POOL * POOL_PART * p.ceiling_burst


class Account:
    """A customer's books here, by class. Dropped when idle."""

    def __init__(self, plan: Plan, t: api.Txn, classes: int, now: float) -> None:
        self.plan, self.customer, self.gates = plan, t.customer, max(1, t.gates)
        self.at = self.window_at = self.seen_at = now
        self.use, self.spent, self.last = ([0.0] * classes for _ in range(3))   # all gateways'; by window
        self.rate, self.guess = ([0.0] * classes for _ in range(2))       # others', since the last total
        self.mine, self.lease, self.unsure, self.total = ([0.0] * classes for _ in range(4))
        self.epoch, self.asked, self.told = [-1] * classes, [False] * (classes + 1), [-1e12] * classes
        self.out, self.ceiling = 0, 0.0     # a fresh gateway can't know what its predecessor spent
        self.pool, self.pool_epoch, self.pool_open = 0.0, -1, True
        self.waiting = list[Held]()     # for totals; emptied by their answers
        self.ranking, self.ranked = list[Worker](), -1


class Held:
    """A txn in hand. Dropped at its final answer."""

    def __init__(self, t: api.Txn, account: Account, rank: int, now: float) -> None:
        self.txn, self.account, self.units, self.product, self.rank = t.txn, account, t.units, t.product, rank
        self.expiry, self.state, self.wait = now + t.left_ms, NEW, 0.0
        self.over, self.tried, self.ran_at, self.sent_at = False, list[Worker](), 0.0, 0.0
        self.ran: Worker | None = None      # the first worker that may have run it


class Gatekeeper:
    def __init__(self, seed: int, terms: api.Terms) -> None:
        self.chance, self.now, self.acts = random.Random(seed), 0.0, list[api.Action]()
        self.gatekeepers, self.zone, self.fee = terms.gatekeepers, terms.zone, terms.zone_fee > 0
        self.products, self.plans = terms.products, [Plan(p, terms.counter) for p in terms.plans]
        by_value = sorted(range(len(terms.products)), key=lambda i: -terms.products[i].value)
        self.rank = {p: r for r, p in enumerate(by_value)}
        self.shares, self.floors = portions(SHARES, len(by_value)), portions(FLOORS, len(by_value))
        self.has_counter, self.counter_wait = terms.counter, terms.counter_wait_ms
        self.can_cancel, self.top_units = terms.cancel, terms.top_units
        self.longest_wait, self.most = terms.retry_after_ms, terms.submissions
        self.cold_from, self.cold_ms = terms.cold_from, terms.cold_ms
        self.cold_multiple = COLD_PART * terms.fall_multiple
        self.workers: dict[int, Worker] = {}
        self.accounts: dict[int, Account] = {}
        self.held: dict[int, Held] = {}
        self.calls: dict[int, list[tuple[Account, int, float, int]]] = {}   # emptied by answers
        self.counter, self.back_end = SimpleNamespace(state=HEARD), SimpleNamespace(state=QUIET)
        self.missed, self.call_at, self.call_tokens = 0, 0.0, CALLS_SAVED
        self.high = [p.sla_ms / 2 for p in terms.products]    # high quantile of answer times
        self.listing, self.outs, self.weights, self.warm_mean = 0, 0, 1.0, 0.0
        self.room, self.pace, self.full_at, self.resends, self.fleet = 0.0, 0.0, -1e12, RESEND_SAVED, 1.0
        self.wait_ms = WAIT_SLA * min(p.sla_ms for p in terms.products)
        self.calm_ms = self.wait_ms         # mean answer time while quiet

    def start(self, _now: float) -> list[api.Action]:
        return [api.Wake(TICK_MS, 0)]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.now, self.acts = now, []
        HANDLERS[type(event)](self, event)
        return self.acts

    def step(self, table: Table, thing: Any, word: str | None) -> None:
        """State and input give the next state and the effect, which may give a further input."""
        while word and (row := table.get((thing.state, word)) or table.get((ANY, word))):
            thing.state, effect = row
            word = effect(self, thing)

    def say(self, text: str) -> None:
        self.acts.append(api.Say(text))

    # The worker list and the choice of worker

    def on_listed(self, e: api.Listed) -> None:
        gone = set(self.workers) - {entry.worker for entry in e.entries} if e.whole else set[int]()
        for entry in e.entries:
            w = self.workers.get(entry.worker)
            if entry.health is not Health.READY:
                gone.add(entry.worker)
            elif w is None or w.state is DROPPED or (entry.born_ms or 0) > (w.born or 0):
                self.workers[entry.worker] = Worker(entry, self.now, self.chance.random())
                self.workers[entry.worker].out = w.out if w else {}
        for wid in gone & set(self.workers):
            self.step(WORKER_TABLE, self.workers[wid], "dropped")
        self.listing += 1
        self.fleet = max(1.0, sum(w.state is not DROPPED for w in self.workers.values()) / self.gatekeepers)
        self.room = max(self.room, ROOM_LEAST * self.fleet)

    def pick(self, h: Held) -> Worker | None:
        """First in the customer's rank that has not enough; else the least loaded."""
        a = h.account
        if a.ranked != self.listing:
            a.ranked = self.listing
            a.ranking = sorted((w for w in self.workers.values() if w.state is not DROPPED), key=lambda w: (
                self.fee and w.zone != self.zone, mix(a.customer, w.wid)))
        fair = ENOUGH * (1 + self.outs) / self.weights
        for w in a.ranking:
            if len(w.out) + 1 <= max(1.0, fair * w.weight) and w not in h.tried and self.able(w, h):
                return w
        able = [w for w in a.ranking if self.able(w, h)]
        return min(able, key=lambda w: (w in h.tried, (len(w.out) + 1) / w.weight)) if able else None

    def able(self, w: Worker, h: Held) -> bool:
        p = self.products[h.product]
        if h.ran is not None and p.repeat is Repeat.REFERENCED:     # repeats stay where they are known
            if {Group.ZONE: w.zone != h.ran.zone, Group.CELL: w.cell != h.ran.cell}.get(p.group):
                return False
        if w.state is RESTING and self.now >= w.until:
            self.step(WORKER_TABLE, w, "rested")
        if w.state is TRIAL and (w.out or p.repeat is Repeat.ONCE and self.chance.random() < 0.5):
            return False
        return w.state in (FIT, TRIAL) and (self.warmth(w) >= 1.0 or self.cold_tokens(w) >= 1.0)

    def warmth(self, w: Worker) -> float:
        age = 1.0 if w.born is None else (self.now - w.born) / max(1.0, self.cold_ms)
        return min(1.0, self.cold_from + (1 - self.cold_from) * age)

    def cold_tokens(self, w: Worker) -> float:
        """Guards cold workers: a part of what warm fellows settle here, so all gateways keep the rule."""
        rate = self.cold_multiple * self.warmth(w) * self.warm_mean / RATE_MEMORY_MS
        w.tokens, w.tokens_at = min(1.0, w.tokens + rate * (self.now - w.tokens_at)), self.now
        return w.tokens

    # Admission

    def on_txn(self, t: api.Txn) -> None:
        a = self.accounts.get(t.customer)
        if a is None:
            a = self.accounts[t.customer] = Account(self.plans[t.plan], t, len(self.rank), self.now)
        self.call_tokens = min(CALLS_SAVED, self.call_tokens + CALLS_PER_TXN)
        self.age(a)
        a.seen_at = self.now
        h = self.held[t.txn] = Held(t, a, self.rank[t.product], self.now)
        self.decide(h, t.left_ms < 2 * self.counter_wait)

    def decide(self, h: Held, sure: bool) -> None:
        """What stale totals would refuse, or grant beyond quota / gateways, waits once for fresh ones."""
        a, plan, h.wait = h.account, h.account.plan, self.lacks(h)
        unknown = sum(a.use) + h.units > plan.quota / a.gates and (
            self.now - max(a.told) > KNOWN_WINDOWS * plan.window)
        if not sure and (h.wait or unknown and not plan.soft) and self.refresh(a):
            return a.waiting.append(h)
        if not h.wait and self.outs >= self.room * LOWER_ROOM ** h.rank:
            h.wait = max(1.0, self.longest_wait * self.chance.uniform(*NO_ROOM_WAIT))
        return self.step(TXN_TABLE, h, "refused" if h.wait else "admitted")

    def lacks(self, h: Held) -> float:
        """The design: own share, else borrowing, else past a soft quota. 0: pass; else how long to wait."""
        a, c, units, plan = h.account, h.rank, h.units, h.account.plan
        if plan.ceiling_rate:
            lack = units - a.ceiling - self.pool(a)
            if lack > -units and a.pool_open:
                self.add(a, POOL, max(self.top_units, plan.pool * BLOCK_PART), a.pool_epoch, 2 * plan.pool_ms)
            if lack > 0:
                return max(1.0, lack * a.gates / plan.ceiling_rate)
        spare = plan.usable - sum(a.use)
        lack = units - spare
        if plan.open_cap and a.out >= max(1, plan.open_cap // a.gates):
            lack = max(lack, units)
        elif lack <= 0 and a.use[c] + units > self.shares[c] * plan.quota:
            lack = units - (spare - self.reserved_above(a, c))
        quiet = self.back_end.state is QUIET and self.now - self.full_at > plan.window
        h.over = lack > 0 and plan.soft and quiet
        if lack <= 0 or h.over:
            return 0.0
        return max(1.0, lack / plan.rate) if plan.rate else self.longest_wait

    def reserved_above(self, a: Account, c: int) -> float:
        """Floors of the higher classes, each up to its last window's use and one block."""
        total = 0.0
        for d in range(c):
            floor = min(self.floors[d] * a.plan.quota, max(a.last[d], a.spent[d]) + self.block(a, d))
            total += max(0.0, floor - a.use[d])
        return total

    def block(self, a: Account, c: int) -> float:
        return min(BLOCK_PART * a.plan.quota, a.mine[c] * BLOCK_MS)

    def spend(self, h: Held) -> None:
        """The first submission takes its units."""
        a = h.account
        if a.plan.ceiling_rate:
            leased = min(self.pool(a), h.units)
            a.pool -= leased
            a.ceiling -= h.units - leased
        if not h.over:
            self.book(a, h.rank, h.units)

    def book(self, a: Account, c: int, units: float) -> None:
        """Spends from the lease; a lease used up is renewed, once the customer's use is worth telling."""
        a.use[c] = max(0.0, a.use[c] + units)
        a.spent[c] += units
        a.lease[c] -= units
        a.mine[c] += max(0.0, units) / RATE_MEMORY_MS
        if a.lease[c] < 0 and sum(a.use) > QUIET_PART * a.plan.quota:
            self.call(a, c, self.block(a, c) - a.lease[c])

    def age(self, a: Account) -> None:
        """The store fills, so use leaks. Others' use is guessed: guards against late or missing totals."""
        dt, plan, a.at = self.now - a.at, a.plan, self.now
        if plan.ceiling_rate:
            part = 1 / a.gates
            a.ceiling = min(part * plan.ceiling_burst, a.ceiling + part * plan.ceiling_rate * dt)
        others = plan.rate * (1 - 1 / a.gates)      # our even part of the fill is never guessed away
        fair = min(1.0, others / max(sum(a.rate), 1e-9))
        for c, rate in enumerate(a.rate):
            a.use[c] += fair * rate * dt
            a.guess[c] += fair * rate * dt
            a.spent[c] += fair * rate * dt
            a.mine[c] *= max(0.0, 1 - dt / RATE_MEMORY_MS)
        if (total := sum(a.use)) > 0:
            keep = max(0.0, min(1 - plan.rate * dt / total, plan.quota / total))
            a.use = [u * keep for u in a.use]
            a.lease = [v * keep if v < 0 else v for v in a.lease]
        if (passed := self.now - a.window_at) >= plan.window:
            a.last = a.spent if passed < 2 * plan.window else [0.0] * len(a.spent)
            a.spent, a.window_at = [0.0] * len(a.spent), self.now

    # The ceiling's leased part

    def pool(self, a: Account) -> float:
        """What is left of this window's leases of the ceiling; they end with the window."""
        epoch = int(self.now // a.plan.pool_ms)
        if a.pool_epoch != epoch:
            a.pool, a.pool_epoch, a.pool_open = 0.0, epoch, True
        return a.pool

    def grant_pool(self, a: Account, amount: float, epoch: int, e: api.Total) -> None:
        """Only what was surely added, in its own window. The parts leave room for a pool granted twice."""
        if e.end is End.SETTLED and self.pool(a) >= 0 and epoch == a.pool_epoch:
            a.pool += max(0.0, min(amount, a.plan.pool - (e.total - amount)))
            a.pool_open = e.total < a.plan.pool

    # The counter

    def refresh(self, a: Account) -> bool:
        """Stale totals are read again. True while any answer is out."""
        for c, told in enumerate(a.told):
            if self.now - told > STALE_PART * a.plan.window and not a.asked[POOL]:
                self.call(a, c, max(0.0, -a.lease[c]))
        return any(a.asked)

    def call(self, a: Account, c: int, amount: float) -> None:
        span = NAME_WINDOWS * a.plan.window
        if self.call_tokens >= 1 and self.add(a, c, amount, int(self.now // span), 2 * span):
            self.call_tokens -= 1

    def add(self, a: Account, c: int, amount: float, epoch: int, lives: float) -> bool:
        """One call a class at a time; a counter that misses calls is asked seldom until it answers."""
        blind = self.counter.state is BLIND and self.now - self.call_at < BLIND_RETRY_MS
        if blind or a.asked[c] or not self.has_counter:
            return False
        name, amount, a.asked[c], self.call_at = mix(a.customer, c, epoch), round(amount, 2), True, self.now
        self.calls.setdefault(name, []).append((a, c, amount, epoch))
        self.acts.append(api.Add(name, amount, min(60000.0, lives)))
        return True

    def on_total(self, e: api.Total) -> None:
        if e.name not in self.calls:
            return
        a, c, amount, epoch = self.calls[e.name].pop(0)
        if not self.calls[e.name]:
            del self.calls[e.name]
        a.asked[c] = False
        self.age(a)
        if c == POOL:
            self.grant_pool(a, amount, epoch, e)
        elif e.end in (End.SETTLED, End.TIMEOUT):
            a.lease[c] += amount
            if e.end is End.SETTLED:
                self.learn(a, c, amount, e.total, epoch)
            else:
                a.unsure[c] += amount
        while a.waiting and not any(a.asked):
            if (h := a.waiting.pop(0)).txn in self.held:
                self.decide(h, True)
        self.missed = 0 if e.end is End.SETTLED else self.missed + 1
        self.step(MODE_TABLE, self.counter, "missed" * (self.missed >= MISSES) or "told" * (not self.missed))

    def learn(self, a: Account, c: int, amount: float, total: float, epoch: int) -> None:
        """Others' use since the last total, in place of what was guessed."""
        began = epoch * NAME_WINDOWS * a.plan.window
        news, since = total - amount - a.total[c], a.told[c]
        if a.epoch[c] != epoch:
            news, since, a.unsure[c] = total - amount, max(since, began), 0.0
        if a.epoch[c] < 0:      # a fresh book: what leaked since the name began is over
            news, since = max(0.0, news - a.plan.rate * (self.now - began)), began
        if news < -1:           # a counter that forgot tells nothing
            self.say(f"counter forgot: total lower by {-news:.0f}")
            news = a.guess[c]
        news, a.unsure[c] = max(0.0, news - a.unsure[c]), 0.0
        a.use[c] = min(a.plan.quota, max(0.0, a.use[c] + news - a.guess[c]))
        a.spent[c] = max(0.0, a.spent[c] + news - a.guess[c])
        dt = max(1.0, self.now - since)
        a.rate[c] += min(1.0, dt / RATE_MEMORY_MS) * (news / dt - a.rate[c])
        a.guess[c], a.total[c], a.told[c], a.epoch[c] = 0.0, total, self.now, epoch

    # Submissions

    def submit(self, h: Held) -> str | None:
        w = self.pick(h) if len(h.tried) < self.most and h.expiry - self.now > 1 else None
        if w is None:
            return "no worker"
        if self.warmth(w) < 1.0:
            w.tokens -= 1.0
        if not h.tried:
            self.spend(h)
        self.resends = max(0.0, min(RESEND_SAVED, self.resends + (-1.0 if h.tried else RESEND_PART)))
        h.account.out += 1
        self.outs += 1
        h.sent_at = self.now
        h.tried.append(w)
        w.out[h.txn] = (self.now, self.now + SILENT * self.high[h.product] * w.slow / self.warmth(w))
        self.acts.append(api.Submit(h.txn, w.wid, h.expiry))
        return None

    def on_answer(self, e: api.Answer) -> None:
        h, w = self.held.get(e.txn), self.workers.get(e.worker)
        if w is not None:
            self.outs -= w.out.pop(e.txn, None) is not None
            self.judge(w, e, h)
        if h is None:
            return
        h.account.out -= 1
        if e.end is End.SETTLED and e.units and not h.over:
            self.age(h.account)
            self.book(h.account, h.rank, e.units - h.units)
        if e.end in (End.ERROR, End.TIMEOUT, End.BROKEN, End.CANCELLED) and h.ran is None:
            h.ran, h.ran_at = h.tried[-1], h.sent_at
        self.step(TXN_TABLE, h, "settled" if e.end is End.SETTLED else "left" if e.final else "unsettled")

    def again(self, h: Held) -> str | None:
        """Sends again what may run again, within the budget; what never ran is always free to go."""
        p = self.products[h.product]
        if h.ran is not None and (p.repeat is Repeat.ONCE or self.resends < 1
                                  or p.repeat is Repeat.REFERENCED and self.now >= h.ran_at + p.remember_ms):
            return "no worker"
        return self.submit(h)

    def finish(self, h: Held) -> None:
        """The final answer, at once: declined where trying again is known to be harmless, else voided."""
        p = self.products[h.product]
        harmless = p.repeat is Repeat.INQUIRY or p.repeat is Repeat.REFERENCED and p.group is Group.ALL
        wait = min(self.longest_wait, (h.wait or REST_MS) * self.chance.uniform(1.0, 1.2))
        self.acts.append(api.Decline(h.txn, wait) if harmless or h.ran is None else api.Void(h.txn))
        self.forget(h)

    def forget(self, h: Held) -> None:
        del self.held[h.txn]

    def on_left(self, e: api.Left) -> None:
        if (h := self.held.get(e.txn)) is not None:
            if h.tried:
                h.account.out -= 1
                self.acts += [api.Cancel(h.txn, len(h.tried) - 1)] * self.can_cancel
            self.step(TXN_TABLE, h, "left")

    # Health

    def judge(self, w: Worker, e: api.Answer, h: Held | None) -> None:
        silent = e.end is End.TIMEOUT and w.heard_at < self.now - e.took_ms
        if e.end in (End.SETTLED, End.ERROR, End.FULL):
            w.heard_at = self.now
        if e.end is End.SETTLED and h is not None:
            k = h.product
            self.pace += 1 / PACE_MS
            self.calm_ms += CALM_STEP * (e.took_ms - self.calm_ms) * (self.back_end.state is QUIET)
            self.high[k] *= 1 + HIGH_STEP * (QUANTILE - (e.took_ms <= self.high[k]))
            slow = w.slow * (1 + SLOW_STEP * (QUANTILE - (e.took_ms <= w.slow * self.high[k])))
            w.slow = min(SLOW_MOST, max(SLOW_LEAST, slow))
            w.settled += 1
            w.failures *= 1 - FAILURE_STEP
            self.step(WORKER_TABLE, w, "settled")
        elif silent or e.end in (End.ERROR, End.BROKEN, End.UNREACHED):
            w.failures += FAILURE_STEP * (1 - w.failures)
            if w.failures > SICK_FAILURES or e.end is not End.ERROR or w.state is TRIAL:
                self.step(WORKER_TABLE, w, "sick")
        elif e.end is End.FULL:
            self.full_at, w.until = self.now, self.now + FULL_REST_MS
            self.step(WORKER_TABLE, w, "full")

    def rest(self, w: Worker) -> None:
        """What may run again is called off a sick worker, and goes elsewhere."""
        w.until = self.now + w.rest_ms
        self.say(f"worker {w.wid} rests {w.rest_ms:.0f} ms: failures {w.failures:.2f}, out {len(w.out)}")
        w.rest_ms = min(REST_MOST_MS, 2 * w.rest_ms)
        for h in [self.held[t] for t in w.out if t in self.held]:
            if self.can_cancel and self.products[h.product].repeat is not Repeat.ONCE:
                self.acts.append(api.Cancel(h.txn, len(h.tried) - 1))

    def restore(self, w: Worker) -> None:
        w.rest_ms, w.failures = REST_MS, 0.0
        self.say(f"worker {w.wid} fit again")

    def on_due(self, _e: api.Due) -> None:
        """The tick: silent workers rest, rates fade, room is made, idle books are dropped."""
        self.acts.append(api.Wake(TICK_MS, 0))
        warm, self.weights = [0.0], 0.0
        for w in list(self.workers.values()):
            if w.state is DROPPED and not w.out:
                del self.workers[w.wid]
                continue
            w.settled *= 1 - TICK_MS / RATE_MEMORY_MS
            w.weight = 1 / w.slow
            self.weights += w.weight * (w.state is FIT)
            if w.state is FIT and self.warmth(w) >= 1.0:
                warm.append(w.settled)
            waits = [(self.now - sent) / (late - sent) for sent, late in w.out.values() if w.heard_at < sent]
            if sum(x for x in waits if x > 1) >= OVERDUE:
                self.step(WORKER_TABLE, w, "sick")
        self.weights, self.warm_mean = max(1.0, self.weights), sum(warm) / max(1, len(warm) - 1)
        self.make_room()
        for a in [a for a in self.accounts.values() if self.now - a.seen_at > IDLE_MS and not a.out]:
            del self.accounts[a.customer]

    def make_room(self) -> None:
        """Guards against a spiral of late answers: out is what settles in a calm answer's time and a wait."""
        self.room = max(ROOM_LEAST * self.fleet, self.pace * (self.calm_ms + self.wait_ms))
        self.pace *= 1 - TICK_MS / PACE_MS
        part = self.outs / self.room
        self.step(MODE_TABLE, self.back_end, "full" * (part > PRESSED_AT) or "slack" * (part < QUIET_AT))

    def tell(self, mode: SimpleNamespace) -> None:
        self.say(f"{mode.state}: {self.missed} counter calls missed, out {self.outs}, room {self.room:.0f}")


def portions(source: tuple[float, ...], n: int) -> list[float]:
    """The source's figures for n classes; more than three share the last one evenly."""
    more = max(0, n - len(source)) + 1
    return [*source[:-1], *[source[-1] / more] * more][:n]


def nothing(_keeper: Gatekeeper, _thing: Any) -> None: ...


TXN_TABLE: Table = {
    (NEW, "admitted"): (OUT, Gatekeeper.submit),
    (NEW, "refused"): (DONE, Gatekeeper.finish),
    (OUT, "no worker"): (DONE, Gatekeeper.finish),
    (OUT, "unsettled"): (OUT, Gatekeeper.again),
    (OUT, "settled"): (DONE, Gatekeeper.forget),
    (ANY, "left"): (DONE, Gatekeeper.forget),
}
WORKER_TABLE: Table = {
    (FIT, "sick"): (RESTING, Gatekeeper.rest),
    (FIT, "full"): (RESTING, nothing),
    (RESTING, "rested"): (TRIAL, nothing),
    (TRIAL, "settled"): (FIT, Gatekeeper.restore),
    (TRIAL, "sick"): (RESTING, Gatekeeper.rest),
    (TRIAL, "full"): (RESTING, nothing),
    (ANY, "dropped"): (DROPPED, nothing),
}
MODE_TABLE: Table = {
    (HEARD, "missed"): (BLIND, Gatekeeper.tell),
    (BLIND, "told"): (HEARD, Gatekeeper.tell),
    (QUIET, "full"): (PRESSED, Gatekeeper.tell),
    (PRESSED, "slack"): (QUIET, Gatekeeper.tell),
}
HANDLERS: dict[type, Callable[..., None]] = {
    api.Listed: Gatekeeper.on_listed, api.Txn: Gatekeeper.on_txn, api.Answer: Gatekeeper.on_answer,
    api.Left: Gatekeeper.on_left, api.Due: Gatekeeper.on_due, api.Total: Gatekeeper.on_total,
    api.Begun: nothing, api.Probed: nothing,
}
