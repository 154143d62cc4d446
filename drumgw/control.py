"""The decisions of a drumgw gatekeeper, all of them.

Call: keeper = Gatekeeper(seed, terms); actions = keeper.start(now_ms); then
actions = keeper.handle(now_ms, event) for each event. Events, actions and terms: drumgw/interface.py.

The design (docs/design.md): reserved class shares of a customer's global unit quota with idle borrowing,
leases from a shared counter. Beside it stand these mechanisms:
 1. local ceiling stores: each gateway of a customer's set holds its part of the ceiling, whatever the rest do
 2. hashed ranking with bounded load: first in rank, next when that one has enough
 3. worker health: a high quantile of answer times against fellows', failures, silence; rest and trial
 4. cold budget: a starting worker is sent a part of what its warm fellows settle
 5. resubmission budget: what may run again is sent again, within a part of the first submissions
"""
from __future__ import annotations

import random
from hashlib import blake2b
from typing import Any, Callable

from drumgw import interface as api
from drumgw.interface import End, Group, Health, Repeat

SHARES, FLOORS = (0.70, 0.20, 0.10), (0.70, 0.10, 0.05)   # the source's, classes ranked by value
NAME_WINDOWS = 8        # a count's name changes every so many windows
BLOCK_MS = 1500.0       # a block covers this much of the class's demand here ...
BLOCK_PART = 0.25       # ... but no more than this part of the quota
QUIET_PART = 0.25       # below this part of the even allowance a customer's use is kept to ourselves
STALE_PART = 0.25       # a total older than this part of a window is read again before it refuses
CALLS_PER_TXN = 0.25    # counter calls a txn, on average
CALLS_SAVED = 20.0
MISSES = 3              # calls unanswered in a row until we judge blind
BLIND_RETRY_MS = 400.0
RATE_MEMORY_MS = 3000.0
ENOUGH = 1.3            # a worker has enough at this multiple of its fair part of what is out
QUANTILE = 0.9
FEW = 12.0              # answers until a worker's own quantile is believed
SICK_FAILURES = 0.3     # share of failures that rests a worker
SILENT = 2.0            # a submission this many high quantiles old, with no answer since, rests its worker
REST_MS, REST_MOST_MS = 1000.0, 6000.0
FULL_REST_MS = 150.0
COLD_PART = 0.4         # of the multiple under which a cold worker must stay
RESEND_PART = 0.15      # resubmissions to first submissions
RESEND_SAVED = 20.0
TICK_MS = 100.0
CEILING_OWN = 0.6       # part of a ceiling that the customer's gateways hold evenly, without asking
CEILING_POOL = 0.38     # part that they lease from the counter ...
POOL_PART = 0.25        # ... in windows of this part of the time in which the ceiling's store fills
ROOM_START = 6.0        # submissions out a worker, all gateways together, until learned
ROOM_LEAST = 1.0
LATE_MOST, LATE_FEW = 0.12, 0.06   # shares of late answers above and below which the room shrinks and grows
ROOM_SHRINK, ROOM_GROW = 0.9, 1.04
LOWER_ROOM = 0.85       # each class leaves this part of the room of the class above
LATE_AT = 0.8           # of the SLA time
LATE_MEMORY = 0.05

FIT, RESTING, TRIAL, LEFT_LIST = "fit", "resting", "trial", "left"
NEW, OUT, DONE = "new", "out", "done"
HEARD, BLIND = "heard", "blind"
QUIET, PRESSED = "quiet", "pressed"


def mix(*parts: int) -> int:
    """A stable hash, the same at all gateways."""
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest(), "big") >> 1


def blend(a: int, b: int) -> int:
    """A quick stable hash for rankings."""
    x = (a * 0x9E3779B97F4A7C15 ^ b * 0xC2B2AE3D27D4EB4F) & (2**64 - 1)
    x = (x ^ x >> 29) * 0xBF58476D1CE4E5B9 & (2**64 - 1)
    return x ^ x >> 32


class Worker:
    """One worker. Emptied when the list drops it and nothing is out."""

    def __init__(self, wid: int, entry: api.Entry) -> None:
        self.wid, self.zone, self.cell, self.size = wid, entry.zone, entry.cell, entry.size
        self.born = entry.born_ms
        self.state, self.until, self.rest_ms = FIT, 0.0, REST_MS
        self.out: dict[int, tuple[float, float]] = {}   # txn: sent, thought slow at; emptied by answers
        self.slow, self.answers, self.failures = 1.0, 0.0, 0.0
        self.heard_at, self.settled = 0.0, 0.0
        self.tokens, self.tokens_at, self.weight = 0.0, 0.0, 1.0


class Account:
    """A customer's books here. Aged out after some idle windows."""

    def __init__(self, keeper: Gatekeeper, t: api.Txn) -> None:
        plan, n = keeper.plans[t.plan], len(keeper.rank)
        self.plan, self.customer, self.gates = plan, t.customer, max(1, t.gates)
        self.at = self.window_at = self.seen_at = keeper.now
        self.use, self.rate, self.guess = [0.0] * n, [0.0] * n, [0.0] * n   # rate: of the others, units/ms
        self.mine, self.mine_rate = 0.0, [0.0] * n
        self.spent, self.last = [0.0] * n, [0.0] * n      # this window, last window
        self.lease, self.unsure, self.seen = [0.0] * n, [0.0] * n, [0.0] * n
        self.epoch, self.asked, self.told = [-1] * n, [False] * n, [keeper.now] * n
        self.out, self.over_until = 0, 0.0
        self.ceiling = 0.0      # a fresh gateway can't know what its predecessor spent
        self.pool, self.pool_epoch, self.pool_asked = 0.0, -1, False
        self.ranking: list[Worker] = []
        self.ranked = -1


class Plan:
    """The few figures that decisions use of a plan."""

    def __init__(self, p: api.Plan, counter: bool) -> None:
        self.quota = p.burst if p.rate else float("inf")
        self.rate = p.rate / 1000.0
        self.window = p.burst / self.rate if p.rate else 1000.0
        self.open_cap = p.open_cap
        self.soft = p.over_value > p.over_cost
        own = CEILING_OWN if counter else 1.0
        self.ceiling_rate, self.ceiling_burst = own * p.ceiling_rate / 1000.0, own * p.ceiling_burst
        self.pool_ms = POOL_PART * p.ceiling_burst / p.ceiling_rate * 1000.0 if p.ceiling_rate else 0.0
        self.pool = CEILING_POOL * p.ceiling_rate / 1000.0 * self.pool_ms


class Held:
    """A txn in hand. Emptied by its final answer and its last submission's end."""

    def __init__(self, t: api.Txn, account: Account, now: float) -> None:
        self.txn, self.account, self.units, self.product = t.txn, account, t.units, t.product
        self.expiry, self.state = now + t.left_ms, NEW
        self.tries, self.counted, self.over = 0, False, False
        self.ran: Worker | None = None      # the first worker that may have run it
        self.ran_at = self.sent_at = 0.0
        self.tried: list[Worker] = []
        self.worker: Worker | None = None
        self.begun = False


class Gatekeeper:
    """One gateway's decisions."""

    def __init__(self, seed: int, terms: api.Terms) -> None:
        self.chance = random.Random(seed)
        self.now, self.out = 0.0, list[api.Action]()
        self.ordinal, self.zone, self.fee = terms.ordinal, terms.zone, terms.zone_fee > 0
        self.products, self.gatekeepers = terms.products, terms.gatekeepers
        by_value = sorted(range(len(terms.products)), key=lambda i: -terms.products[i].value)
        self.rank = {p: r for r, p in enumerate(by_value)}
        self.shares, self.floors = portions(SHARES, len(by_value)), portions(FLOORS, len(by_value))
        self.plans = [Plan(p, terms.counter) for p in terms.plans]
        self.top_units = terms.top_units
        self.has_counter, self.can_cancel = terms.counter, terms.cancel
        self.longest_wait, self.most = terms.retry_after_ms, terms.submissions
        self.cold_from, self.cold_ms = terms.cold_from, terms.cold_ms
        self.cold_multiple = COLD_PART * terms.fall_multiple
        self.workers: dict[int, Worker] = {}
        self.listing = 0
        self.accounts: dict[int, Account] = {}
        self.held: dict[int, Held] = {}
        self.calls: dict[int, list[tuple[Account, int, float, int]]] = {}   # emptied by answers
        self.counter, self.missed, self.call_at = HEARD, 0, 0.0
        self.call_tokens, self.resends = CALLS_SAVED, RESEND_SAVED
        self.high = [p.sla_ms / 2 for p in terms.products]    # high quantile of answer times
        self.mean = [p.sla_ms / 4 for p in terms.products]
        self.full_at = -1e12
        self.settle_at = 0.0
        self.outs, self.weights, self.warm_mean = 0, 1.0, 0.0
        self.room, self.late, self.state = 0.0, 0.0, QUIET

    def start(self, now: float) -> list[api.Action]:
        self.now = self.settle_at = now
        return [api.Wake(TICK_MS, 0)]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.now, self.out = now, []
        HANDLERS[type(event)](self, event)
        return self.out

    def step(self, table: dict[tuple[str, str], tuple[str, Callable[..., None]]], thing: Any, word: str) -> None:
        """The short loop: state and input give the next state and the effect, which may give another input."""
        following: str | None = word
        while following is not None:
            row = table.get((thing.state, following))
            if row is None:
                return
            thing.state, effect = row
            following = effect(self, thing)     # type: ignore[func-returns-value]

    # -- the worker list

    def on_listed(self, e: api.Listed) -> None:
        named = set()
        for entry in e.entries:
            named.add(entry.worker)
            w = self.workers.get(entry.worker)
            if entry.health is not Health.READY:
                if w is not None:
                    self.leave(w)
            elif w is None or w.state is LEFT_LIST or (entry.born_ms or 0) > (w.born or 0):
                fresh = Worker(entry.worker, entry)
                if w is not None:
                    fresh.out = w.out
                fresh.heard_at = self.now
                fresh.tokens, fresh.tokens_at = self.chance.random(), self.now
                self.workers[entry.worker] = fresh
        if e.whole:
            for wid, w in self.workers.items():
                if wid not in named:
                    self.leave(w)
        self.listing += 1

    def leave(self, w: Worker) -> None:
        w.state = LEFT_LIST

    # -- choice of worker

    def pick(self, h: Held) -> Worker | None:
        """First in the customer's rank that has not enough; else the least loaded."""
        a = h.account
        if a.ranked != self.listing:
            a.ranked = self.listing
            a.ranking = sorted((w for w in self.workers.values() if w.state is not LEFT_LIST),
                               key=lambda w: (self.fee and w.zone != self.zone, blend(a.customer, w.wid)))
        fair = ENOUGH * (1 + self.outs) / self.weights
        for w in a.ranking:
            if len(w.out) + 1 <= max(1.0, fair * w.weight) and w not in h.tried and self.able(w, h):
                return w
        able = [w for w in a.ranking if self.able(w, h)]
        fresh = [w for w in able if w not in h.tried] or able
        return min(fresh, key=lambda w: (len(w.out) + 1) / w.weight) if fresh else None

    def weigh(self, w: Worker) -> float:
        trust = min(1.0, w.answers / FEW)
        return max(0.2, min(1.5, (1 / w.slow) ** trust))

    def able(self, w: Worker, h: Held) -> bool:
        if w.state is LEFT_LIST:
            return False
        p = self.products[h.product]
        if h.ran is not None and p.repeat is Repeat.REFERENCED and p.group is not Group.ALL:
            if (w.zone if p.group is Group.ZONE else w.cell) != (h.ran.zone if p.group is Group.ZONE else h.ran.cell):
                return False
        if w.state is RESTING:
            if self.now < w.until:
                return False
            self.step(WORKER_TABLE, w, "rested")
        if w.state is TRIAL and (w.out or p.repeat is Repeat.ONCE and self.chance.random() < 0.5):
            return False
        return self.warmth(w) >= 1.0 or self.cold_tokens(w) >= 1.0

    def warmth(self, w: Worker) -> float:
        if w.born is None or self.cold_ms <= 0:
            return 1.0
        return min(1.0, self.cold_from + (1 - self.cold_from) * (self.now - w.born) / self.cold_ms)

    def cold_tokens(self, w: Worker) -> float:
        """Guards cold workers: a part of what warm fellows settle here, so all gateways stay under the rule."""
        rate = self.cold_multiple * self.warmth(w) * self.warm_mean / RATE_MEMORY_MS
        w.tokens = min(1.0, w.tokens + rate * (self.now - w.tokens_at)) if w.tokens < 1 else w.tokens
        w.tokens_at = self.now
        return w.tokens

    # -- admission

    def on_txn(self, t: api.Txn) -> None:
        a = self.accounts.get(t.customer)
        if a is None:
            a = self.accounts[t.customer] = Account(self, t)
        self.call_tokens = min(CALLS_SAVED, self.call_tokens + CALLS_PER_TXN)
        self.age(a)
        a.seen_at = self.now
        h = self.held[t.txn] = Held(t, a, self.now)
        wait = self.admit(h)
        if wait > 0:
            h.over_wait = wait      # type: ignore[attr-defined]
            self.step(TXN_TABLE, h, "no units")
        elif self.outs >= self.room * LOWER_ROOM ** self.rank[h.product]:
            h.over_wait = self.longest_wait * self.chance.uniform(0.3, 1.0)      # type: ignore[attr-defined]
            self.step(TXN_TABLE, h, "no room")
        else:
            self.step(TXN_TABLE, h, "admitted")

    def admit(self, h: Held) -> float:
        """0: pass; else how long until it would fit."""
        a, c, units = h.account, self.rank[h.product], h.units
        plan = a.plan
        if plan.ceiling_rate:
            lack = units - a.ceiling - self.pool(a)
            if lack > -units:
                self.lease_pool(a)
            if lack > 0:
                return max(1.0, lack * a.gates / plan.ceiling_rate)
        total = sum(a.use)
        lack = max(0.0, total + units - plan.quota)
        if plan.open_cap and a.out >= max(1, plan.open_cap // a.gates):
            lack = max(lack, units)
        elif lack <= 0 and a.use[c] + units <= self.shares[c] * plan.quota:
            return 0.0
        elif lack <= 0:
            lack = max(0.0, units - (plan.quota - total - self.reserved_above(a, c)))
            if lack <= 0:
                return 0.0
        if plan.soft and self.state is QUIET and self.now - self.full_at > plan.window:
            h.over = True
            return 0.0
        self.refresh(a)
        return max(1.0, lack / plan.rate) if plan.rate else 100.0

    def reserved_above(self, a: Account, c: int) -> float:
        """Floors of higher classes, each up to its last window's use and one block."""
        total = 0.0
        for d in range(c):
            floor = min(self.floors[d] * a.plan.quota, max(a.last[d], a.spent[d]) + self.block(a, d))
            total += max(0.0, floor - a.use[d])
        return total

    def pool(self, a: Account) -> float:
        """What is left of this window's leases of the ceiling; they end with the window."""
        epoch = int(self.now // a.plan.pool_ms)
        if a.pool_epoch != epoch:
            a.pool, a.pool_epoch, a.pool_open = 0.0, epoch, True
        return a.pool

    def lease_pool(self, a: Account) -> None:
        if self.has_counter and a.pool_open and not a.pool_asked and self.counter_free():
            a.pool_asked = True
            self.add(a, -1, max(self.top_units, a.plan.pool * BLOCK_PART), a.pool_epoch, 2 * a.plan.pool_ms)

    def grant_pool(self, a: Account, amount: float, epoch: int, e: api.Total) -> None:
        """Only what was surely added, in its own window, within the pool."""
        a.pool_asked = False
        if e.end is End.SETTLED and self.pool(a) >= 0 and epoch == a.pool_epoch:
            a.pool += max(0.0, min(amount, a.plan.pool - (e.total - amount)))
            a.pool_open = e.total < a.plan.pool

    def spend(self, h: Held) -> None:
        """The first submission takes its units."""
        a, c = h.account, self.rank[h.product]
        h.counted = True
        if a.plan.ceiling_rate:
            leased = min(self.pool(a), h.units)
            a.pool -= leased
            a.ceiling -= h.units - leased
        if not h.over:
            self.book(a, c, h.units)

    def book(self, a: Account, c: int, units: float) -> None:
        a.use[c] = max(0.0, a.use[c] + units)
        a.mine = max(0.0, a.mine + units)
        a.spent[c] += units
        a.lease[c] -= units
        a.mine_rate[c] += max(0.0, units) / RATE_MEMORY_MS
        if a.lease[c] < 0 and a.mine > QUIET_PART * a.plan.quota / a.gates:
            self.call(a, c, self.block(a, c) - a.lease[c])

    def block(self, a: Account, c: int) -> float:
        return min(BLOCK_PART * a.plan.quota, a.mine_rate[c] * BLOCK_MS)

    def age(self, a: Account) -> None:
        """Lets the store fill: use leaks at the plan's rate; what others spend meanwhile is guessed."""
        dt = self.now - a.at
        if dt <= 0:
            return
        a.at, plan = self.now, a.plan
        if plan.ceiling_rate:
            part = 1 / a.gates
            a.ceiling = min(part * plan.ceiling_burst, a.ceiling + part * plan.ceiling_rate * dt)
        for c, rate in enumerate(a.rate):
            a.use[c] += rate * dt
            a.guess[c] += rate * dt
            a.spent[c] += rate * dt
            a.mine_rate[c] *= max(0.0, 1 - dt / RATE_MEMORY_MS)
        total = sum(a.use)
        if total > 0:
            keep = max(0.0, 1 - plan.rate * dt / total)
            keep = min(keep, plan.quota / total)
            a.use = [u * keep for u in a.use]
        if a.mine > 0:
            keep = max(0.0, 1 - plan.rate * dt / a.gates / a.mine)
            a.mine *= keep
            a.lease = [v * keep if v < 0 else v for v in a.lease]
        if self.now - a.window_at >= plan.window:
            a.last = a.spent if self.now - a.window_at < 2 * plan.window else [0.0] * len(a.spent)
            a.spent, a.window_at = [0.0] * len(a.spent), self.now

    # -- the counter

    def refresh(self, a: Account) -> None:
        """Before stale totals refuse more, the oldest is read again."""
        c = min(range(len(a.told)), key=lambda i: a.told[i])
        if self.now - a.told[c] > STALE_PART * a.plan.window:
            self.call(a, c, max(0.0, -a.lease[c]))

    def call(self, a: Account, c: int, amount: float) -> None:
        if not self.has_counter or a.asked[c] or self.call_tokens < 1 or not self.counter_free():
            return
        self.call_tokens -= 1
        a.asked[c] = True
        span = NAME_WINDOWS * a.plan.window
        self.add(a, c, amount, int(self.now // span), 2 * span)

    def counter_free(self) -> bool:
        return self.counter is HEARD or self.now - self.call_at >= BLIND_RETRY_MS

    def add(self, a: Account, c: int, amount: float, epoch: int, lives: float) -> None:
        name, amount = mix(a.customer, c, epoch), round(amount, 2)
        self.call_at = self.now
        self.calls.setdefault(name, []).append((a, c, amount, epoch))
        self.out.append(api.Add(name, amount, min(60000.0, lives)))

    def on_total(self, e: api.Total) -> None:
        waiting = self.calls.get(e.name)
        if not waiting:
            return
        a, c, amount, epoch = waiting.pop(0)
        if not waiting:
            del self.calls[e.name]
        self.age(a)
        if c < 0:
            self.grant_pool(a, amount, epoch, e)
            return self.step_counter(e.end is End.SETTLED)
        a.asked[c] = False
        if e.end is End.SETTLED:
            a.lease[c] += amount
            self.learn(a, c, e.total - amount, epoch)
            a.seen[c] = e.total
            self.step_counter(True)
            return
        if e.end is End.TIMEOUT:
            a.lease[c] += amount
            a.unsure[c] += amount
        self.step_counter(False)

    def learn(self, a: Account, c: int, total: float, epoch: int) -> None:
        """Others' use since the last total, in place of what was guessed."""
        window = NAME_WINDOWS * a.plan.window
        if a.epoch[c] == epoch:
            news = total - a.seen[c]
            since = a.told[c]
        else:
            news, since = total, max(a.told[c], epoch * window)
            if a.epoch[c] < 0:      # a fresh book: what leaked since the name began is over
                news = max(0.0, total - a.plan.rate * (self.now - epoch * window))
                since = epoch * window
            a.unsure[c] = 0.0
        if news < -1:
            self.say(f"counter forgot: total lower by {-news:.0f}")
            news = a.guess[c]
        mine = min(news, a.unsure[c])
        news, a.unsure[c] = news - mine, 0.0
        a.use[c] = min(a.plan.quota, max(0.0, a.use[c] + news - a.guess[c]))
        a.spent[c] = max(0.0, a.spent[c] + news - a.guess[c])
        dt = max(1.0, self.now - since)
        part = min(1.0, dt / RATE_MEMORY_MS)
        a.rate[c] += part * (news / dt - a.rate[c])
        a.guess[c], a.told[c], a.epoch[c] = 0.0, self.now, epoch

    def step_counter(self, answered: bool) -> None:
        self.missed = 0 if answered else self.missed + 1
        mode = BLIND if self.missed >= MISSES else HEARD
        if mode is not self.counter:
            self.counter = mode
            self.say(f"counter {mode}: {self.missed} calls missed")

    # -- submissions

    def submit(self, h: Held) -> str | None:
        w = self.pick(h) if h.tries < self.most and h.expiry - self.now > 1 else None
        if w is None:
            return "no worker"
        if not h.counted:
            self.spend(h)
        h.account.out += 1
        if self.warmth(w) < 1.0:
            w.tokens -= 1.0
        self.resends = min(RESEND_SAVED, self.resends + RESEND_PART) if h.tries == 0 else self.resends - 1
        h.tries += 1
        h.worker, h.sent_at = w, self.now
        h.tried.append(w)
        w.out[h.txn] = (self.now, self.now + SILENT * self.high[h.product])
        self.outs += 1
        self.out.append(api.Submit(h.txn, w.wid, h.expiry))
        return None

    def on_answer(self, e: api.Answer) -> None:
        w = self.workers.get(e.worker)
        if w is not None:
            self.judge(w, e)
            if w.out.pop(e.txn, None):
                self.outs -= 1
        h = self.held.get(e.txn)
        if h is None or h.worker is None or h.worker.wid != e.worker:
            return
        h.account.out -= 1
        if e.end is End.SETTLED:
            if e.units and not h.over:
                self.age(h.account)
                self.book(h.account, self.rank[h.product], e.units - h.units)
            self.step(TXN_TABLE, h, "settled")
            return
        if e.end is End.FULL:
            self.full_at = self.now
        if e.final:
            self.step(TXN_TABLE, h, "left")
            return
        if e.end not in (End.FULL, End.UNREACHED, End.NOT_SENT) and h.ran is None:
            h.ran, h.ran_at = h.worker, h.sent_at
        self.step(TXN_TABLE, h, "unsettled")

    def again(self, h: Held) -> str | None:
        """Sends again what may run again."""
        p = self.products[h.product]
        if h.begun or self.resends < 1 and h.ran is not None:
            return "no worker"
        if h.ran is not None:
            if p.repeat is Repeat.ONCE:
                return "no worker"
            if p.repeat is Repeat.REFERENCED and self.now >= h.ran_at + p.remember_ms:
                return "no worker"
        return self.submit(h)

    def finish(self, h: Held) -> None:
        """The final answer, at once: declined where that is known to be harmless, else voided."""
        p = self.products[h.product]
        harmless = (h.ran is None or p.repeat is Repeat.INQUIRY
                    or p.repeat is Repeat.REFERENCED and p.group is Group.ALL)
        wait = getattr(h, "over_wait", 200.0)
        self.out.append(self.refusal(wait) if harmless else api.Void(h.txn))
        if harmless:
            self.out[-1] = api.Decline(h.txn, self.refusal(wait))
        self.forget(h)

    def refusal(self, wait: float) -> float:
        return min(self.longest_wait, wait * (1 + 0.2 * self.chance.random()))

    def forget(self, h: Held) -> None:
        self.held.pop(h.txn, None)

    def on_left(self, e: api.Left) -> None:
        h = self.held.get(e.txn)
        if h is not None:
            if self.can_cancel and h.worker is not None and h.txn in h.worker.out and not h.begun:
                self.out.append(api.Cancel(h.txn, h.tries - 1))
            if h.worker is not None and h.txn in h.worker.out:
                h.account.out -= 1
            self.step(TXN_TABLE, h, "left")

    def on_begun(self, e: api.Begun) -> None:
        h = self.held.get(e.txn)
        if h is not None:
            h.begun = True

    # -- health

    def judge(self, w: Worker, e: api.Answer) -> None:
        h = self.held.get(e.txn)
        w.answers += 1
        if e.end is not End.TIMEOUT and e.end is not End.CANCELLED and e.end is not End.NOT_SENT:
            w.heard_at = self.now
        if e.end is End.SETTLED and h is not None:
            k = h.product
            over = e.took_ms > self.high[k]
            self.high[k] *= 1 + 0.03 * (QUANTILE if over else QUANTILE - 1)
            ratio = e.took_ms / max(1.0, self.high[k])
            step = 0.1
            w.slow = max(0.3, min(5.0, w.slow * (1 + step * (QUANTILE if ratio > w.slow else QUANTILE - 1))))
            w.settled += 1
            self.late += LATE_MEMORY * ((e.took_ms > LATE_AT * self.products[k].sla_ms) - self.late)
            w.failures *= 0.8
            self.step(WORKER_TABLE, w, "settled")
        elif e.end is End.TIMEOUT and w.heard_at > self.now - e.took_ms:
            self.late += LATE_MEMORY * (1 - self.late)
        elif e.end in (End.ERROR, End.BROKEN, End.UNREACHED, End.TIMEOUT):
            w.failures += 0.2 * (1 - w.failures)
            if w.failures > SICK_FAILURES or e.end is End.UNREACHED or e.end is End.BROKEN or w.state is TRIAL:
                self.step(WORKER_TABLE, w, "sick")
        elif e.end is End.FULL:
            w.until = self.now + FULL_REST_MS
            self.late += LATE_MEMORY * (1 - self.late)
            self.step(WORKER_TABLE, w, "full")

    def rest(self, w: Worker) -> None:
        w.until = self.now + w.rest_ms
        self.say(f"worker {w.wid} rests {w.rest_ms:.0f} ms: failures {w.failures:.2f}, out {len(w.out)}")
        for txn in w.out if self.can_cancel else ():
            h = self.held.get(txn)
            if h is not None and h.worker is w and self.products[h.product].repeat is not Repeat.ONCE:
                self.out.append(api.Cancel(txn, h.tries - 1))
        w.rest_ms = min(REST_MOST_MS, 2 * w.rest_ms)

    def restore(self, w: Worker) -> None:
        w.rest_ms, w.failures = REST_MS, 0.0
        self.say(f"worker {w.wid} fit again")

    def on_due(self, e: api.Due) -> None:
        """The tick: silent workers rest, idle books age out, rates fade."""
        self.out.append(api.Wake(TICK_MS, 0))
        fade, warm, weights = 1 - TICK_MS / RATE_MEMORY_MS, [0.0], 0.0
        for w in list(self.workers.values()):
            w.settled *= fade
            w.weight = self.weigh(w)
            if w.state is LEFT_LIST and not w.out:
                del self.workers[w.wid]
                continue
            if w.state is FIT:
                weights += w.weight
                if self.warmth(w) >= 1.0:
                    warm.append(w.settled)
            if w.state is not RESTING and sum(self.now > late and w.heard_at < sent for sent, late in w.out.values()) > 1:
                self.step(WORKER_TABLE, w, "sick")
        self.weights = max(1.0, weights)
        self.warm_mean = sum(warm) / max(1, len(warm) - 1)
        self.make_room()
        for a in list(self.accounts.values()):
            idle = self.now - a.seen_at
            if idle > 4 * a.plan.window and not a.out and not any(a.asked) and idle > 10000:
                del self.accounts[a.customer]

    def make_room(self) -> None:
        """Guards against the spiral of late answers, whatever slows the workers: fewer are let out at once."""
        n = sum(w.state is not LEFT_LIST for w in self.workers.values()) / self.gatekeepers
        if not self.room:
            self.room = ROOM_START * n
        if self.late > LATE_MOST:
            self.room = min(self.room, max(ROOM_LEAST * n, ROOM_SHRINK * min(self.room, self.outs + 1.0)))
        elif self.late < LATE_FEW and self.outs > 0.7 * self.room:
            self.room *= ROOM_GROW
        self.room = max(2.0, self.room)
        self.late *= 1 - 0.2 * LATE_MEMORY
        state = PRESSED if self.late > LATE_MOST else QUIET if self.late < LATE_FEW else self.state
        if state is not self.state:
            self.state = state
            self.say(f"back end {state}: late {self.late:.2f}, out {self.outs}, room {self.room:.0f}")

    def say(self, text: str) -> None:
        self.out.append(api.Say(text))


def portions(source: tuple[float, ...], n: int) -> list[float]:
    """The source's three figures for n classes: the last one's is split evenly among the rest."""
    if n <= len(source):
        return list(source[:n])
    rest = source[-1] / (n - len(source) + 1)
    return list(source[:-1]) + [rest] * (n - len(source) + 1)


def nothing(_k: Gatekeeper, _t: Any) -> None:
    return None


TXN_TABLE: dict[tuple[str, str], tuple[str, Callable[..., Any]]] = {
    (NEW, "admitted"): (OUT, Gatekeeper.submit),
    (NEW, "no units"): (DONE, Gatekeeper.finish),
    (NEW, "no room"): (DONE, Gatekeeper.finish),
    (OUT, "no worker"): (DONE, Gatekeeper.finish),
    (OUT, "unsettled"): (OUT, Gatekeeper.again),
    (OUT, "settled"): (DONE, Gatekeeper.forget),
    (OUT, "left"): (DONE, Gatekeeper.forget),
}
WORKER_TABLE: dict[tuple[str, str], tuple[str, Callable[..., Any]]] = {
    (FIT, "sick"): (RESTING, Gatekeeper.rest),
    (FIT, "full"): (RESTING, nothing),
    (RESTING, "rested"): (TRIAL, nothing),
    (TRIAL, "settled"): (FIT, Gatekeeper.restore),
    (TRIAL, "sick"): (RESTING, Gatekeeper.rest),
    (TRIAL, "full"): (RESTING, nothing),
}
HANDLERS: dict[type, Callable[..., None]] = {
    api.Listed: Gatekeeper.on_listed, api.Txn: Gatekeeper.on_txn, api.Answer: Gatekeeper.on_answer,
    api.Left: Gatekeeper.on_left, api.Due: Gatekeeper.on_due, api.Total: Gatekeeper.on_total,
    api.Begun: Gatekeeper.on_begun, api.Probed: lambda k, e: None,
}
