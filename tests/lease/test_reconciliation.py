from __future__ import annotations

import testtools

from celerystack import ids, model, timing
from celerystack.lease import reconciliation, records
from standins.lease_model import builders

A, B, C, D = builders.A, builders.B, builders.C, builders.D
NOW = 0.0
"""Zero, so that adding and subtracting the time constants is exact."""
OTHER_ZONE = ids.ZoneName("zone-2")


def peers(*lessors: model.LessorRef, heard_at: float = NOW) -> tuple[reconciliation.PeerView, ...]:
    return tuple(builders.peer(lessor, heard_at) for lessor in lessors)


class ReconcilerOfTest(testtools.TestCase):
    def test_first_live_lessor(self) -> None:
        """Guards against entry VMs that choose different reconcilers while lessors are live."""
        live = [builders.entry(lessor) for lessor in (C, B, D)]
        self.assertEqual(B.vm, reconciliation.reconciler_of(builders.row(), builders.ZONE, live))

    def test_restarted_lessor_is_not_live(self) -> None:
        """Guards against choosing an entry VM of which only an earlier process is a lessor."""
        restarted = model.LessorRef(A.vm, ids.Incarnation("a2"))
        live = [builders.entry(restarted), builders.entry(C)]
        self.assertEqual(C.vm, reconciliation.reconciler_of(builders.row(), builders.ZONE, live))

    def test_zone_before_other_zones(self) -> None:
        """Guards against a reconciler in another zone while the server's zone has a live one."""
        live = [builders.entry(D)] + [
            builders.entry(
                model.LessorRef(ids.EntryVmId(f"x{n}"), ids.Incarnation("1")), OTHER_ZONE
            )
            for n in range(8)
        ]
        self.assertEqual(D.vm, reconciliation.reconciler_of(builders.row(), builders.ZONE, live))
        self.assertIn(
            reconciliation.reconciler_of(builders.row(), builders.ZONE, live[1:]),
            [entry.vm for entry in live[1:]],
        )

    def test_server_without_row(self) -> None:
        """Guards against all new servers having the same reconciler."""
        live = [builders.entry(lessor) for lessor in (A, B, C, D)]
        chosen = {
            reconciliation.reconciler_of(
                None, builders.ZONE, live, server=ids.ServerId(f"s{number}")
            )
            for number in range(50)
        }
        self.assertEqual({A.vm, B.vm, C.vm, D.vm}, chosen)

    def test_nobody_live(self) -> None:
        """Guards against an exception when no entry VM is live yet."""
        self.assertIsNone(reconciliation.reconciler_of(builders.row(), builders.ZONE, []))


class ChooseLessorsTest(testtools.TestCase):
    def test_three_by_hash(self) -> None:
        """Guards against lessor sets that depend on the order in which peers connected."""
        entries = [builders.entry(lessor) for lessor in (A, B, C, D)]
        chosen = reconciliation.choose_lessors(builders.SERVER, entries)
        self.assertEqual(3, len(set(chosen)))
        self.assertEqual(chosen, reconciliation.choose_lessors(builders.SERVER, entries[::-1]))

    def test_kept_lessors_stay(self) -> None:
        """Guards against replacing all three lessors when only one is lost."""
        entries = [builders.entry(lessor) for lessor in (A, B, C, D)]
        chosen = reconciliation.choose_lessors(builders.SERVER, entries, keep=(D, B))
        self.assertEqual((D, B), chosen[:2])
        self.assertEqual(3, len(chosen))


class DecideTest(testtools.TestCase):
    def decide(self, **changes: object) -> reconciliation.Decision:
        return reconciliation.decide(builders.view(NOW, **changes), NOW)

    def test_nothing(self) -> None:
        """Guards against needless transactions while the row is up to date."""
        self.assertEqual(reconciliation.NoChange(), self.decide())

    def test_create_row(self) -> None:
        """Guards against a declared server that never gets a row."""
        decision = self.decide(row=None)
        self.assertIsInstance(decision, reconciliation.CreateRow)
        self.assertEqual({A, B, C}, set(decision.lessors))
        self.assertEqual(builders.PROCESS, decision.incarnation)

    def test_create_row_waits_for_peers(self) -> None:
        """Guards against a row with one lessor that is created before the other peers connect."""
        started = {"row": None, "peers": peers(A), "observed_since": NOW - 0.1}
        self.assertEqual(reconciliation.NoChange(), self.decide(**started))
        started["observed_since"] = NOW - timing.PEER_DOWN_S
        self.assertEqual((A,), self.decide(**started).lessors)

    def test_silent_lessor_is_replaced(self) -> None:
        """Guards against keeping a silent lessor, which would block a later takeover."""
        view = peers(A, B, D) + peers(C, heard_at=NOW - timing.PEER_DOWN_S)
        decision = self.decide(peers=view)
        self.assertEqual(reconciliation.ReplaceLessors((A, B, D), (A, B, C)), decision)

    def test_silent_lessor_is_removed_without_substitute(self) -> None:
        """Guards against keeping a silent lessor because the zone has no other entry VM."""
        decision = self.decide(peers=peers(A, B))
        self.assertEqual(reconciliation.ReplaceLessors((A, B), (A, B, C)), decision)

    def test_restarted_lessor_becomes_lessor_again(self) -> None:
        """Guards against losing a lessor at each restart in a zone of three entry VMs."""
        restarted = model.LessorRef(C.vm, ids.Incarnation("c2"))
        decision = self.decide(peers=peers(A, B, restarted))
        self.assertEqual(reconciliation.ReplaceLessors((A, B, restarted), (A, B, C)), decision)

    def test_lessor_set_grows_to_three(self) -> None:
        """Guards against a row that keeps too few lessors after entry VMs have returned."""
        decision = self.decide(row=builders.row(lessors=(A, B)))
        self.assertEqual(reconciliation.ReplaceLessors((A, B, C), (A, B)), decision)

    def test_leaving_lessor_is_replaced(self) -> None:
        """Guards against leases that expire because a draining lessor shuts down."""
        leaving = builders.peer(C, NOW, draining=True)
        decision = self.decide(peers=(*peers(A, B, D), leaving))
        self.assertEqual(reconciliation.ReplaceLessors((A, B, D), (A, B, C)), decision)

    def test_previous_lessors_accumulate(self) -> None:
        """Guards against a second replacement that drops previous lessors of the first."""
        row = builders.row(2, lessors=(B, C), previous_lessors=(A, B))
        decision = self.decide(row=row, peers=peers(B, D))
        self.assertEqual(reconciliation.ReplaceLessors((B, D), (B, C, A)), decision)

    def test_no_replacement_while_the_reconciler_starts(self) -> None:
        """Guards against a new reconciler that replaces lessors it has not heard from yet."""
        starting = NOW - timing.PEER_DOWN_S + 0.01
        self.assertEqual(
            reconciliation.NoChange(), self.decide(peers=peers(A), observed_since=starting)
        )

    def test_no_replacement_after_a_pause(self) -> None:
        """Guards against a resumed reconciler that replaces lessors not heard during its pause."""
        view = peers(A) + peers(B, C, heard_at=NOW - 5.0)
        self.assertEqual(reconciliation.NoChange(), self.decide(peers=view, observed_since=NOW))

    def test_promised_lessor_needs_a_new_token(self) -> None:
        """Guards against a lessor that never renews again after an abandoned takeover."""
        decision = self.decide(promised_lessors=frozenset({B}))
        self.assertEqual(reconciliation.ReplaceLessors((A, B, C), (A, B, C)), decision)

    def test_deputies_need_a_new_token(self) -> None:
        """Guards against a deputy that is lost after a table outage and then blocks a takeover."""
        decision = self.decide(has_deputies=True)
        self.assertEqual(reconciliation.ReplaceLessors((A, B, C), (A, B, C)), decision)

    def test_silent_lessor_of_unreachable_server_stays(self) -> None:
        """Guards against removing a silent lessor that may still renew an unreachable server."""
        decision = self.decide(peers=peers(A, B), last_reply_at=NOW - 5.0)
        self.assertEqual(reconciliation.StartTakeover(), decision)

    def test_previous_lessors_are_cleared_after_a_lease(self) -> None:
        """Guards against clearing previous lessors while a lease that they renewed is valid."""
        row = builders.row(2, previous_lessors=(D,))
        acknowledged = {"row": row, "acknowledged_token": ids.Token(2)}
        early = NOW - records.LEASE_BOUND_S + 0.01
        self.assertEqual(
            reconciliation.NoChange(), self.decide(**acknowledged, acknowledged_at=early)
        )
        self.assertEqual(
            reconciliation.ClearPreviousLessors(),
            self.decide(**acknowledged, acknowledged_at=NOW - records.LEASE_BOUND_S),
        )

    def test_previous_lessors_stay_until_acknowledged(self) -> None:
        """Guards against clearing previous lessors while the server accepts their token."""
        row = builders.row(2, previous_lessors=(D,))
        self.assertEqual(reconciliation.NoChange(), self.decide(row=row))

    def test_suspicion(self) -> None:
        """Guards against a takeover after a single lost reply, and against none after silence."""
        early, late = NOW - timing.SUSPECT_S + 0.01, NOW - timing.SUSPECT_S
        self.assertEqual(reconciliation.NoChange(), self.decide(last_reply_at=early))
        self.assertEqual(reconciliation.StartTakeover(), self.decide(last_reply_at=late))
        self.assertEqual(reconciliation.StartTakeover(), self.decide(last_reply_at=None))

    def test_no_takeover_without_the_table(self) -> None:
        """Guards against promises in a table outage, which stop renewals but allow no takeover."""
        decision = self.decide(last_reply_at=NOW - 5.0, table_reachable=False)
        self.assertEqual(reconciliation.NoChange(), decision)

    def test_no_suspicion_right_after_a_pause(self) -> None:
        """Guards against a takeover because no reply was read during the reconciler's own pause."""
        decision = self.decide(last_reply_at=NOW - 5.0, observed_since=NOW - 0.1)
        self.assertEqual(reconciliation.NoChange(), decision)

    def test_lost_server_that_is_silent(self) -> None:
        """Guards against a second takeover of a server that is already lost."""
        row = builders.row(2, state=model.ServerState.LOST, lessors=())
        self.assertEqual(reconciliation.NoChange(), self.decide(row=row, last_reply_at=NOW - 5.0))

    def test_lost_server_that_answers(self) -> None:
        """Guards against a lost server that gets no lessors after it replies again."""
        row = builders.row(2, state=model.ServerState.LOST, lessors=())
        decision = self.decide(row=row)
        self.assertIsInstance(decision, reconciliation.Reactivate)
        self.assertEqual({A, B, C}, set(decision.lessors))

    def test_all_lessors_gone(self) -> None:
        """Guards against a reachable server that stays without a lease after losing all lessors."""
        decision = self.decide(peers=peers(D))
        self.assertEqual(reconciliation.Reactivate((D,), (A, B, C), builders.PROCESS), decision)

    def test_restarted_server(self) -> None:
        """Guards against a restarted process that gets no lease because the row names another."""
        decision = self.decide(seen_incarnation=ids.Incarnation("process-2"))
        self.assertEqual(
            reconciliation.Reactivate((A, B, C), (A, B, C), ids.Incarnation("process-2")), decision
        )
