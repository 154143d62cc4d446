"""Each test plays one story and compares the decisions with the trace kept for reading."""
from __future__ import annotations

from drumgw.interface import End, Health, Left, Listed
from tests.stage import BY_ZONE, CEILED, INQUIRY, OPEN, SOFT, Stage, TraceCase


class Design(TraceCase):
    def test_shares_floors_and_borrowing(self) -> None:
        s = Stage(counter=False)
        s.note("the top class takes 8 of 20 units; the lower one has its 4 and borrows above the floor")
        for _ in range(4):
            s.answer(s.txn(0, 2.0))
        for _ in range(6):
            txn = s.txn(1, 2.0)
            if txn in s.out:
                s.answer(txn)
        s.note("the top class still finds its floor, until the quota is used")
        for _ in range(3):
            txn = s.txn(0, 2.0)
            if txn in s.out:
                s.answer(txn)
        self.same(s, "shares")

    def test_soft_plan_passes_the_quota_until_refused_as_full(self) -> None:
        s = Stage(counter=False, plans=(SOFT,))
        for _ in range(3):
            s.answer(s.txn(1, 10.0))
        s.note("past the quota; now a worker refuses as full")
        txn = s.txn(1, 10.0)
        s.answer(txn, End.FULL)
        s.answer(txn)
        s.txn(1, 10.0)
        self.same(s, "soft")

    def test_true_units_settle_the_books(self) -> None:
        s = Stage(counter=False)
        s.note("12 units guessed, 2 true: another 12 fit; 12 true: no more do")
        s.answer(s.txn(1, 12.0), units=2.0)
        s.answer(s.txn(1, 12.0), units=12.0)
        s.txn(1, 12.0)
        self.same(s, "settles")

    def test_leases_and_totals(self) -> None:
        s = Stage()
        s.answer(s.txn(1, 3.0))
        s.note("others took 14.5 units since the name began, of which most have leaked: it fits")
        s.total(19.0)
        s.txn(1, 3.0)
        self.same(s, "leases")

    def test_a_txn_waits_for_the_total_that_may_save_it(self) -> None:
        s = Stage()
        s.note("12 units at once pass quota / gateways and nothing is known: held until the totals come")
        s.txn(1, 12.0)
        s.note("others have spent 2 of each class: it fits")
        s.totals(2.0)
        s.totals(19.0)
        s.tick(3000)
        s.note("does not fit, and the totals are fresh: declined at once")
        s.txn(1, 13.0)
        s.totals(32.0)
        s.note("the client has too little time to wait: decided at once")
        s.tick(3000)
        s.txn(1, 16.0, left=60.0)
        self.same(s, "waits")

    def test_counter_blind_and_forgetful(self) -> None:
        s = Stage()
        s.answer(s.txn(1, 3.0))
        for end in (End.TIMEOUT, End.UNREACHED, End.FULL):
            s.total(0.0, end)
            s.tick(1000)
            s.answer(s.txn(1, 3.0))
        s.note("asked again after a while; it answers, empty of what was known")
        s.tick(1000)
        s.answer(s.txn(1, 3.0))
        s.total(9.0)
        s.answer(s.txn(1, 3.0))
        s.total(1.0)
        self.same(s, "counter")


class Rules(TraceCase):
    def test_once_only(self) -> None:
        s = Stage()
        s.note("may have run: void, nothing more")
        s.answer(s.txn(0), End.ERROR)
        s.note("client's time up: void")
        s.answer(s.txn(0, left=2000.0), End.TIMEOUT, 2000.0)
        s.note("never ran: elsewhere, at last declined")
        txn = s.txn(0)
        for _ in range(3):
            s.answer(txn, End.UNREACHED)
        self.same(s, "once")

    def test_referenced_stays_in_its_zone_and_time(self) -> None:
        s = Stage(products=(BY_ZONE, INQUIRY), workers=8, submissions=9)
        for wait in (100.0, 4000.0):
            txn = s.txn(0, left=9000.0)
            s.answer(txn, End.BROKEN)
            s.note(f"zones so far: {[w % 2 for w in s.out[txn]]}")
            s.now += wait
            s.answer(txn, End.BROKEN)
            if wait < 1000:
                s.answer(txn)
        self.same(s, "referenced")

    def test_no_worker_known(self) -> None:
        s = Stage(workers=0)
        s.txn(0)
        s.txn(1)
        self.same(s, "noworker")

    def used(self, s: Stage) -> list[int]:
        txns = [s.txn(1, 0.1, c) for c in range(5)]
        for txn in txns:
            s.answer(txn)
        return sorted({w for t in txns for w in s.out[t]})

    def test_drained_and_gone_get_nothing_new(self) -> None:
        s = Stage()
        s.play(Listed(False, (s.row(0, Health.DRAINING), s.row(1, Health.GONE))))
        s.note(f"workers used: {self.used(s)}")
        s.play(Listed(True, (s.row(3, Health.READY),)))
        s.note(f"workers used: {self.used(s)}")
        self.same(s, "drain")

    def test_cold_worker_gets_a_part(self) -> None:
        s = Stage(workers=3, counter=False)
        s.play(Listed(False, (s.row(3, Health.READY, s.now),)))
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

    def test_ceiling_holds_alone_and_leases_the_rest(self) -> None:
        s = Stage(plans=(CEILED,))
        s.note("a fresh gateway starts from nothing: the ceiling fills here at 20 x 0.6 / 2 units a second")
        s.txn(0, 4.0)
        s.note("the counter grants its window's pool of 3.8 units once, whatever is asked")
        s.total(6.0)
        s.txn(0, 4.0)
        s.txn(0, 3.0)
        s.totals(0.0)
        s.note("an answer that comes a window late grants nothing")
        s.tick(500)
        s.txn(0, 9.0)
        s.tick(500)
        s.totals(6.0)
        self.same(s, "ceiling")


class Trouble(TraceCase):
    def test_silent_worker_rests_and_its_txns_go_elsewhere(self) -> None:
        s = Stage(counter=False)
        silent = None
        for c in range(8):
            txn = s.txn(1, 0.1, c, left=30000.0)
            if s.out[txn] == [0] and silent is None:
                silent = txn
            else:
                s.answer(txn)
        assert silent is not None
        s.tick(6000)
        s.note("called off; they go elsewhere")
        s.answer(silent, End.CANCELLED)
        self.same(s, "silent")

    def test_failing_worker_rests_and_comes_back_by_trial(self) -> None:
        s = Stage(workers=2, counter=False)
        for c in range(9):
            txn = s.txn(1, 0.1, c)
            while s.out[txn][-1] == 0 and c < 8:
                s.answer(txn, End.ERROR)
            s.answer(txn)
        s.tick(1000)
        s.trace.clear()
        s.note("after its rest it gets one txn at a time until one settles")
        first = [s.txn(1, 0.1, c) for c in range(3)]
        for txn in first:
            s.answer(txn)
        self.same(s, "failing")

    def test_room_follows_the_pace_and_lower_classes_yield(self) -> None:
        s = Stage(counter=False)
        s.note("3.5 a worker for two gateways: 7 at least, of which inquiries fill three quarters")
        waiting = [s.txn(1, 0.1, c) for c in range(7)] + [s.txn(0, 0.1, c) for c in range(3)]
        s.tick(100)
        for txn in waiting:
            if txn in s.out:
                s.answer(txn, took=100.0)
        for step in range(40):
            s.answer(s.txn(1, 0.1, 100 + step))
            s.tick(100 * (step % 4 == 3))
        room = [s.txn(1, 0.1, c) in s.out for c in range(20)]
        s.trace = s.trace[:12] + [f"inquiries let out at once at 40 a second: {room.count(True)} of 20"]
        self.same(s, "room")

    def test_open_cap_is_split_over_the_gateways(self) -> None:
        s = Stage(counter=False, plans=(OPEN,))
        first = s.txn(1)
        s.txn(1)
        s.answer(first)
        s.txn(1)
        self.same(s, "opencap")

    def test_client_gone_is_called_off_and_never_sent_again(self) -> None:
        s = Stage()
        txn = s.txn(1)
        s.play(Left(txn))
        s.answer(txn, End.CANCELLED, final=True)
        self.same(s, "left")
