"""Each test plays one story and compares the decisions with the trace kept for reading."""

from __future__ import annotations

from dataclasses import replace

from drumgw.model.events import ClientDisconnected, EndpointStatus, EndpointsUpdated, GatewayStopping, Outcome
from tests.harness import BY_ZONE, CEILED, INQUIRY, OPEN, SOFT, PolicyHarness, TraceCase


def settle(s: PolicyHarness, txn: int) -> None:
    if txn in s.out:
        s.answer(txn)


class Design(TraceCase):
    def test_shares_floors_and_borrowing(self) -> None:
        s = PolicyHarness()
        s.note("the top class takes 8 of 20 units; the lower one has its share and borrows above the floor")
        for _ in range(4):
            settle(s, s.txn(0, 2.0))
        for _ in range(6):
            settle(s, s.txn(1, 2.0))
        s.note("the quota is used: the top class is declined too, and a declined txn is not told")
        for _ in range(3):
            settle(s, s.txn(0, 2.0))
        self.same(s, "shares")

    def test_soft_plan_passes_the_quota_until_refused_as_full(self) -> None:
        s = PolicyHarness(plans=(SOFT,))
        for _ in range(3):
            s.answer(s.txn(1, 10.0))
        s.note("past the quota; now a worker refuses as full")
        txn = s.txn(1, 10.0)
        s.answer(txn, Outcome.REJECTED)
        s.answer(txn)
        s.txn(1, 10.0)
        self.same(s, "soft")

    def test_true_units_settle_the_books(self) -> None:
        s = PolicyHarness(has_counter=False, gateways=1)
        s.note("12 units guessed, 2 true: another 12 fit; 12 true: no more do")
        s.answer(s.txn(1, 12.0, gates=1), units=2.0)
        s.answer(s.txn(1, 12.0, gates=1), units=12.0)
        s.txn(1, 12.0, gates=1)
        self.same(s, "settles")

    def test_the_total_decides_and_tells_the_classes_apart(self) -> None:
        s = PolicyHarness(held=True)
        s.note("others took 16 units, none of the top class: its floor keeps the lower class out")
        s.txn(0, 2.0)
        s.total(0.0)
        s.total(0.0)  # what its old name held
        s.total(2.0)
        s.txn(1, 3.0)
        s.total(16.0)
        s.txn(0, 3.0)
        s.total(16.0)
        s.total(19.01)
        other = PolicyHarness(held=True)
        other.note("another gateway, 16 units, 16 of them the top class's: what it needs is met, and it fits")
        other.txn(1, 3.0)
        other.total(16.02)
        s.trace += other.trace
        self.same(s, "leases")

    def test_an_overfull_store_is_put_right(self) -> None:
        s = PolicyHarness()
        s.answer(s.txn(1, 3.0))
        s.note("ten seconds fill 20 units, but the store lacked 3: the other 17 are added with what is spent")
        s.tick(10000)
        s.txn(1, 3.0)
        self.same(s, "putright")

    def test_what_was_told_beyond_the_quota_is_taken_back(self) -> None:
        """Guards the others: beyond a quota nothing leaves the store; they would decline what it holds."""
        s = PolicyHarness(held=True)
        s.note("too late to be held; others took 18 of 20 units, 0.2 filled: of its 6, 3 are beyond")
        s.txn(1, 6.0, left=2000.0)
        s.total(24.0)
        s.total(20.0)
        other = PolicyHarness(held=True)
        other.note("another gateway, 6 units told beside 14 of the others': nothing is taken back")
        other.txn(1, 6.0, left=2000.0)
        other.total(20.0)
        s.trace += other.trace
        self.same(s, "takenback")

    def test_a_new_name_takes_over_what_the_old_one_held(self) -> None:
        """Guards quotas each 50 s: by who is first there, whether or not it knows the customer."""
        s = PolicyHarness()
        s.tick(49000)
        s.note("two gateways spend 8 units each, a second before the name changes")
        s.txn(0, 6.0)
        s.txn(0, 2.0)
        s.counts[s.name()] += 8.0
        s.tick(1400)
        s.note("the new name is empty: the old one is read, and what has not filled of it is added")
        s.txn(0, 2.0)
        s.txn(0, 6.0)
        self.same(s, "newname")

    def test_a_counter_that_comes_back_empty_is_filled_again(self) -> None:
        """A count can't fall faster than its store fills; one call at a time puts it right."""
        s = PolicyHarness(held=True)
        s.tick(20000)
        s.txn(0, 5.0)
        s.total(53.0)  # 40.2 filled
        s.total(58.0)
        s.note("it knows nothing of 17.8 units used: 2 just fit, and the others are put back")
        s.txn(0, 2.0)
        s.total(0.0)
        s.note("another gateway had put 57 back just before: ours are taken back")
        s.total(115.0)
        s.total(117.0)
        s.total(60.0)
        s.txn(0, 1.0)
        s.tick(2000)
        s.note("an older one, by 10 units")
        s.txn(0, 2.0)
        s.total(50.0)
        while s.adds:
            s.total(50.0 + s.adds[0].amount)
        self.same(s, "refilled")

    def test_what_was_leased_and_not_spent_goes_back_at_the_end(self) -> None:
        """Guards customers through restarts: their blocks would stay used until the store has filled."""
        s = PolicyHarness(gateways=400)
        s.tick(20000)
        while not s.engine.accounts or max(s.engine.accounts[1].reserved_units) < 1:
            s.answer(s.txn(1, 1.0, left=2000.0))
        s.note("of the block that was told just now nothing is spent")
        s.play(GatewayStopping())
        s.note("that was all")
        s.play(GatewayStopping())
        self.same(s, "ending")

    def test_a_txn_waits_for_the_total_only_with_time_to_spare(self) -> None:
        s = PolicyHarness(held=True)
        s.txn(1, 6.0)
        s.note("held until the total comes")
        s.total()
        s.note("too little time left to outlive a stall: decided at once, and told")
        s.txn(1, 6.0, left=2000.0)
        s.note("no total ever came for this customer: quota / gateways, then no more")
        for _ in range(3):
            s.txn(1, 6.0, customer=2, left=2000.0)
        self.same(s, "waits")

    def test_crowded_and_blind_counter_is_asked_less(self) -> None:
        s = PolicyHarness(held=True)
        for took, end in (
            (2.0, Outcome.SUCCEEDED),
            (45.0, Outcome.SUCCEEDED),
            (50.0, Outcome.TIMED_OUT),
            (2.0, Outcome.SUCCEEDED),
        ):
            asked = 0
            for c in range(40):
                s.txn(1, 1.0, customer=10 * c + round(took))
                asked += len(s.adds)
                s.trace = [line for line in s.trace if "--" in line or "log" in line]
                while s.adds:
                    s.total(0.0 if end is Outcome.SUCCEEDED else None, end, took)
                for txn in [t for t in s.out if t in s.engine.pending]:
                    s.answer(txn)
                s.tick(100)
            s.note(f"{end.value} in {took:.0f} ms: {asked} calls for 40 txns")
        s.trace = [line for line in s.trace if "submit" not in line and "add" not in line]
        self.same(s, "counter")


class Rules(TraceCase):
    def test_once_only(self) -> None:
        s = PolicyHarness(has_counter=False)
        s.note("may have run: void, nothing more")
        s.answer(s.txn(0), Outcome.FAILED)
        s.note("client's time up: void")
        s.answer(s.txn(0, left=2000.0), Outcome.TIMED_OUT, 2000.0)
        s.note("never ran: elsewhere, at last declined")
        txn = s.txn(0)
        for _ in range(3):
            s.answer(txn, Outcome.UNREACHABLE)
        self.same(s, "once")

    def test_referenced_stays_in_its_zone_and_time(self) -> None:
        s = PolicyHarness(request_classes=(BY_ZONE, INQUIRY), workers=8, max_attempts=9, has_counter=False)
        for wait in (100.0, 4000.0):
            txn = s.txn(0, left=9000.0)
            s.answer(txn, Outcome.BROKEN_RESPONSE)
            s.note(f"zones so far: {[w % 2 for w in s.out[txn]]}")
            s.now += wait
            s.answer(txn, Outcome.BROKEN_RESPONSE)
            if wait < 1000:
                s.answer(txn)
        self.same(s, "referenced")

    def test_no_worker_known(self) -> None:
        s = PolicyHarness(workers=0, has_counter=False)
        s.txn(0)
        s.txn(1)
        self.same(s, "noworker")

    def used(self, s: PolicyHarness) -> list[int]:
        txns = [s.txn(1, 0.1, c) for c in range(5)]
        for txn in txns:
            s.answer(txn)
        return sorted({w for t in txns for w in s.out[t]})

    def test_drained_and_gone_get_nothing_new(self) -> None:
        s = PolicyHarness(has_counter=False)
        s.play(EndpointsUpdated(False, (s.row(0, EndpointStatus.DRAINING), s.row(1, EndpointStatus.REMOVED))))
        s.note(f"workers used: {self.used(s)}")
        s.play(EndpointsUpdated(True, (s.row(3, EndpointStatus.READY),)))
        s.note(f"workers used: {self.used(s)}")
        self.same(s, "drain")

    def test_cold_worker_gets_a_part(self) -> None:
        s = PolicyHarness(workers=3, has_counter=False)
        s.play(EndpointsUpdated(False, (s.row(3, EndpointStatus.READY, s.now),)))
        counts = [0, 0, 0, 0]
        for step in range(200):
            txn = s.txn(1, 0.1, step)
            counts[s.out[txn][0]] += 1
            s.answer(txn)
            s.tick()
            if step in (9, 49, 199):
                s.note(f"submissions so far, worker 3 started cold: {counts}")
        s.trace = [line for line in s.trace if "--" in line]
        self.same(s, "cold")

    def test_ceiling_is_held_by_each_gateway_alone(self) -> None:
        s = PolicyHarness(plans=(CEILED,))
        s.note("a fresh gateway starts from nothing: the ceiling fills here at 20 / 2 units a second, to 20")
        s.txn(0, 4.0)
        s.tick(500)
        s.txn(0, 4.0)
        s.txn(0, 4.0)
        s.note("a total that was lost changes nothing")
        s.counts.clear()
        s.txn(0, 4.0)
        self.same(s, "ceiling")

    def test_a_customer_seen_late_has_its_whole_part_of_the_ceiling(self) -> None:
        """Guards customers of many gateways: their books are new, or dropped as idle, at nearly each txn."""
        s = PolicyHarness(plans=(replace(CEILED, units_per_s=100.0, burst_units=200.0),), has_counter=False)
        s.tick(1500)
        s.note("1.6 s after our start: 16 of the 20 units that the ceiling may hold here have filled")
        for units in (6.0, 6.0, 6.0):
            settle(s, s.txn(1, units, customer=2))
        s.tick(30000)
        s.note("books dropped as idle: the part is full again, and holds no more than that")
        self.assertNotIn(2, s.engine.accounts)
        for units in (6.0, 6.0, 6.0, 6.0):
            settle(s, s.txn(1, units, customer=2))
        self.same(s, "ceiling-late")


class Fault(TraceCase):
    def test_silent_worker_rests_and_its_txns_go_elsewhere(self) -> None:
        s = PolicyHarness(has_counter=False)
        silent = s.txn(1, 0.1, left=30000.0)
        s.tick(2200)
        s.note("called off; it goes elsewhere, and settles")
        s.answer(silent, Outcome.CANCELLED)
        s.answer(silent)
        s.note("a second one overdue there: the worker rests for this product")
        s.txn(1, 0.1, left=30000.0)
        s.tick(2200)
        self.same(s, "silent")

    def test_answers_that_break_off_from_all_alike_rest_nobody(self) -> None:
        """Guards capacity: a connection that breaks says little of its worker, and nothing where all do."""
        s = PolicyHarness(has_counter=False)
        s.note("one broken answer rests nobody")
        s.answer(s.txn(0, 0.1), Outcome.BROKEN_RESPONSE)
        s.note("nor do some in each eight, from whichever worker")
        for n in range(40):
            s.answer(s.txn(0, 0.1, customer=n), Outcome.BROKEN_RESPONSE if n % 8 < 2 else Outcome.SUCCEEDED)
        s.note("one worker breaks all it gets: it rests")
        for n in range(40):
            txn = s.txn(0, 0.1, customer=n)
            s.answer(txn, Outcome.BROKEN_RESPONSE if s.out[txn][-1] == 2 else Outcome.SUCCEEDED)
        s.trace = [line for line in s.trace if "submit" not in line and "void" not in line]
        self.same(s, "broken")

    def test_room_is_wide_while_no_answer_is_late(self) -> None:
        """Guards the lower class: it was declined while workers had room and answers came early."""
        s = PolicyHarness(has_counter=False)
        for n in range(16):
            s.txn(1, 0.1, customer=n)
        self.same(s, "wide")

    def test_a_worker_that_fails_one_product_serves_the_other(self) -> None:
        s = PolicyHarness(workers=2, has_counter=False, warm_up_ms=0.0)
        for c in range(12):
            txn = s.txn(0, 0.1, c)
            s.answer(txn, Outcome.FAILED if s.out[txn][-1] == 0 else Outcome.SUCCEEDED)
        counts = [[0, 0], [0, 0]]
        for c in range(40):
            txn = s.txn(c % 2, 0.1, c)
            counts[c % 2][s.out[txn][-1]] += 1
            s.answer(txn)
        s.trace = [line for line in s.trace if "log" in line]
        s.note(f"worker 0 fails one product; then to workers 0, 1: {counts[0]}, other {counts[1]}")
        s.tick(16000)
        first = [s.out[s.txn(0, 0.1, c)] for c in range(6)].count([0])
        s.trace = [line for line in s.trace if "submit" not in line]
        s.note(f"after its rest it is tried: of 6 txns out at once it has {first}")
        self.same(s, "failing")

    def test_once_only_keeps_away_from_a_worker_that_failed_anything(self) -> None:
        """Guards what can't be sent again: requests that may run again find out whether a worker is well."""
        s = PolicyHarness(has_counter=False)

        def once(bad: int) -> int:
            """How many of 20 once-only requests go to the worker."""
            chosen = list[int]()
            for customer in range(2, 22):
                txn = s.txn(0, 0.1, customer)
                chosen.append(s.out[txn][0])
                s.answer(txn)
            return chosen.count(bad)

        failed = s.txn(1, 0.1)
        bad = s.out[failed][0]
        s.answer(failed, Outcome.FAILED)
        s.answer(failed)
        s.note(f"worker {bad} failed what may run again; of 20 once-only requests it got {once(bad)}")
        s.tick(17000)
        s.note(f"its rest is over, and nothing tried it yet: {once(bad)}")
        tried = set[int]()
        for customer in range(22, 62):
            txn = s.txn(1, 0.1, customer)
            tried.add(s.out[txn][0])
            s.answer(txn)
        self.assertIn(bad, tried)
        s.note(f"a trial settled: {once(bad)}")
        s.trace = [line for line in s.trace if "--" in line or "ejected" in line]
        self.same(s, "once-careful")

    def test_late_answers_shed_the_lower_class_first(self) -> None:
        s = PolicyHarness(has_counter=False, gateways=10)
        for took in (100.0, 1900.0, 100.0):
            for step in range(60):
                txn = s.txn(1, 0.1, 1000 + step)
                if txn in s.out:
                    s.answer(txn, took=took)
                s.answer(s.txn(0, 0.1, 2000 + step), took=min(took, 700.0))
                s.tick(100)
            let = [0, 0]
            for k in (1, 0):
                let[k] = [s.txn(k, 0.1, 100 + c) in s.out for c in range(10)].count(True)
                for txn in [t for t in s.out if t in s.engine.pending]:
                    s.answer(txn, took=min(took, 700.0))
            s.trace = [line for line in s.trace if "--" in line or "log: back" in line]
            s.note(f"answers in {took:.0f} ms: let out {let[0]} of the top class, {let[1]} of the other")
        self.same(s, "room")

    def test_own_stall_is_not_charged_to_workers(self) -> None:
        s = PolicyHarness(has_counter=False)
        txns = [s.txn(1, 0.1, c, left=30000.0) for c in range(6)]
        s.note("we stand still for 8 s; the answers are there, late")
        s.now += 8000
        s.tick(0)
        for txn in txns:
            s.answer(txn, took=8000.0)
        s.tick(200)
        late, left = s.engine.overload.late_share, s.engine.counter_sync.min_time_left_to_wait_ms
        s.note(f"late {late:.2f}; from now a txn is held only with {left:.0f} ms left")
        self.same(s, "stall")

    def test_gateways_share_the_fleet_out(self) -> None:
        s = PolicyHarness(workers=0)
        use: dict[int, int] = {}
        for ordinal in range(50):
            g = PolicyHarness(workers=50, has_counter=False, gateways=250, ordinal=ordinal)
            for _ in range(3):
                txn = g.txn(1, 0.1)
                use[g.out[txn][0]] = use.get(g.out[txn][0], 0) + 1
                g.answer(txn)
        s.note(f"150 txns through 50 gateways: {len(use)} of 50 workers, {max(use.values())} at most")
        self.same(s, "near")

    def test_open_cap_is_split_over_the_gateways(self) -> None:
        s = PolicyHarness(has_counter=False, plans=(OPEN,))
        first = s.txn(1)
        s.txn(1)
        s.answer(first)
        s.txn(1)
        self.same(s, "opencap")

    def test_open_cap_smaller_than_its_gateways(self) -> None:
        s = PolicyHarness(plans=(OPEN,))
        s.note("2 submissions at once through 40 gateways: the store is 12 units deep, not 20")
        for c in (1, 1, 1):
            settle(s, s.txn(1, 5.0, customer=c, gates=40))
        s.note("what is not asked about is not sent on")
        s.engine.counter_calls.poll_probability = 0.0
        s.txn(1, 5.0, customer=2, gates=40)
        self.same(s, "shared")

    def test_client_gone_is_called_off_and_never_sent_again(self) -> None:
        s = PolicyHarness(has_counter=False)
        txn = s.txn(1)
        s.play(ClientDisconnected(txn))
        s.answer(txn, Outcome.CANCELLED, final=True)
        self.same(s, "left")
