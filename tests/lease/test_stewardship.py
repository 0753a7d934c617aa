from __future__ import annotations

import testtools

from celerystack import ids, model, timing
from celerystack.lease import records, stewardship
from standins.lease_model import builders

A, B, C, D = builders.A, builders.B, builders.C, builders.D
NOW = 0.0
"""Zero, so that differences to the time constants are exact."""
OTHER_ZONE = ids.ZoneName("zone-2")


def peers(*lessors: model.LessorRef, heard_at: float = NOW) -> tuple[stewardship.PeerView, ...]:
    return tuple(builders.peer(lessor, heard_at) for lessor in lessors)


class StewardOfTest(testtools.TestCase):
    def test_first_live_lessor(self) -> None:
        """Guards against two stewards while all lessors are live."""
        live = [builders.entry(lessor) for lessor in (C, B, D)]
        self.assertEqual(B.vm, stewardship.steward_of(builders.row(), builders.ZONE, live))

    def test_restarted_lessor_is_not_live(self) -> None:
        """Guards against a steward that is recorded as a lessor only by an earlier process."""
        restarted = model.LessorRef(A.vm, ids.Incarnation("a2"))
        live = [builders.entry(restarted), builders.entry(C)]
        self.assertEqual(C.vm, stewardship.steward_of(builders.row(), builders.ZONE, live))

    def test_zone_before_other_zones(self) -> None:
        """Guards against a steward that reaches the server over a zone boundary without need."""
        live = [builders.entry(D)] + [
            builders.entry(
                model.LessorRef(ids.EntryVmId(f"x{n}"), ids.Incarnation("1")), OTHER_ZONE
            )
            for n in range(8)
        ]
        self.assertEqual(D.vm, stewardship.steward_of(builders.row(), builders.ZONE, live))
        self.assertIn(
            stewardship.steward_of(builders.row(), builders.ZONE, live[1:]),
            [entry.vm for entry in live[1:]],
        )

    def test_server_without_row(self) -> None:
        """Guards against all new servers having the same steward."""
        live = [builders.entry(lessor) for lessor in (A, B, C, D)]
        chosen = {
            stewardship.steward_of(None, builders.ZONE, live, server=ids.ServerId(f"s{number}"))
            for number in range(50)
        }
        self.assertEqual({A.vm, B.vm, C.vm, D.vm}, chosen)

    def test_nobody_live(self) -> None:
        """Guards against an error while the first entry VM starts."""
        self.assertIsNone(stewardship.steward_of(builders.row(), builders.ZONE, []))


class ChooseLessorsTest(testtools.TestCase):
    def test_three_by_hash(self) -> None:
        """Guards against lessor sets that depend on the order in which peers connected."""
        entries = [builders.entry(lessor) for lessor in (A, B, C, D)]
        chosen = stewardship.choose_lessors(builders.SERVER, entries)
        self.assertEqual(3, len(set(chosen)))
        self.assertEqual(chosen, stewardship.choose_lessors(builders.SERVER, entries[::-1]))

    def test_kept_lessors_stay(self) -> None:
        """Guards against a new set of three when one lessor is lost."""
        entries = [builders.entry(lessor) for lessor in (A, B, C, D)]
        chosen = stewardship.choose_lessors(builders.SERVER, entries, keep=(D, B))
        self.assertEqual((D, B), chosen[:2])
        self.assertEqual(3, len(chosen))


class DecideTest(testtools.TestCase):
    def decide(self, **changes: object) -> stewardship.Decision:
        return stewardship.decide(builders.view(NOW, **changes), NOW)

    def test_nothing(self) -> None:
        """Guards against transactions for a server that needs none."""
        self.assertEqual(stewardship.Nothing(), self.decide())

    def test_create_row(self) -> None:
        """Guards against a declared server that never gets a row."""
        decision = self.decide(row=None)
        self.assertIsInstance(decision, stewardship.CreateRow)
        self.assertEqual({A, B, C}, set(decision.lessors))
        self.assertEqual(builders.PROCESS, decision.incarnation)

    def test_create_row_waits_for_peers(self) -> None:
        """Guards against a row with one lessor because the other peers connect a moment later."""
        started = {"row": None, "peers": peers(A), "watched_since": NOW - 0.1}
        self.assertEqual(stewardship.Nothing(), self.decide(**started))
        started["watched_since"] = NOW - timing.PEER_DOWN_S
        self.assertEqual((A,), self.decide(**started).lessors)

    def test_silent_lessor_is_replaced(self) -> None:
        """Guards against a silent lessor that would block a later takeover."""
        view = peers(A, B, D) + peers(C, heard_at=NOW - timing.PEER_DOWN_S)
        decision = self.decide(peers=view)
        self.assertEqual(stewardship.ReplaceLessors((A, B, D), (A, B, C)), decision)

    def test_silent_lessor_is_removed_without_substitute(self) -> None:
        """Guards against a silent lessor that stays because the zone has no other entry VM."""
        decision = self.decide(peers=peers(A, B))
        self.assertEqual(stewardship.ReplaceLessors((A, B), (A, B, C)), decision)

    def test_restarted_lessor_becomes_lessor_again(self) -> None:
        """Guards against a zone of three entry VMs that has fewer lessors after each restart."""
        restarted = model.LessorRef(C.vm, ids.Incarnation("c2"))
        decision = self.decide(peers=peers(A, B, restarted))
        self.assertEqual(stewardship.ReplaceLessors((A, B, restarted), (A, B, C)), decision)

    def test_lessor_set_grows_to_three(self) -> None:
        """Guards against a set that stays small although entry VMs came back."""
        decision = self.decide(row=builders.row(lessors=(A, B)))
        self.assertEqual(stewardship.ReplaceLessors((A, B, C), (A, B)), decision)

    def test_leaving_lessor_is_replaced(self) -> None:
        """Guards against leases that end with the process of a lessor that announced it."""
        leaving = builders.peer(C, NOW, draining=True)
        decision = self.decide(peers=(*peers(A, B, D), leaving))
        self.assertEqual(stewardship.ReplaceLessors((A, B, D), (A, B, C)), decision)

    def test_previous_lessors_accumulate(self) -> None:
        """Guards against a second replacement that forgets lessors from before the first."""
        row = builders.row(2, lessors=(B, C), previous_lessors=(A, B))
        decision = self.decide(row=row, peers=peers(B, D))
        self.assertEqual(stewardship.ReplaceLessors((B, D), (B, C, A)), decision)

    def test_no_replacement_while_the_steward_starts(self) -> None:
        """Guards against a new steward that replaces lessors it has not heard from yet."""
        starting = NOW - timing.PEER_DOWN_S + 0.01
        self.assertEqual(stewardship.Nothing(), self.decide(peers=peers(A), watched_since=starting))

    def test_no_replacement_after_a_pause(self) -> None:
        """Guards against a resumed steward that takes its own pause for its peers' silence."""
        view = peers(A) + peers(B, C, heard_at=NOW - 5.0)
        self.assertEqual(stewardship.Nothing(), self.decide(peers=view, watched_since=NOW))

    def test_promised_lessor_needs_a_new_token(self) -> None:
        """Guards against a lessor that stays idle after an abandoned takeover."""
        decision = self.decide(promised=frozenset({B}))
        self.assertEqual(stewardship.ReplaceLessors((A, B, C), (A, B, C)), decision)

    def test_deputies_need_a_new_token(self) -> None:
        """Guards against a deputy that is lost after the outage and blocks a takeover."""
        decision = self.decide(has_deputies=True)
        self.assertEqual(stewardship.ReplaceLessors((A, B, C), (A, B, C)), decision)

    def test_silent_lessor_of_unreachable_server_stays(self) -> None:
        """Guards against a lessor that leaves the set while it may still renew the lease."""
        decision = self.decide(peers=peers(A, B), last_reply_at=NOW - 5.0)
        self.assertEqual(stewardship.StartTakeover(), decision)

    def test_previous_lessors_are_cleared_after_a_lease(self) -> None:
        """Guards against clearing them while a lease that they caused still runs."""
        row = builders.row(2, previous_lessors=(D,))
        acknowledged = {"row": row, "acknowledged_token": ids.Token(2)}
        early = NOW - records.LEASE_BOUND_S + 0.01
        self.assertEqual(stewardship.Nothing(), self.decide(**acknowledged, acknowledged_at=early))
        self.assertEqual(
            stewardship.ClearPrevious(),
            self.decide(**acknowledged, acknowledged_at=NOW - records.LEASE_BOUND_S),
        )

    def test_previous_lessors_stay_until_acknowledged(self) -> None:
        """Guards against clearing them while the server may still obey their token."""
        row = builders.row(2, previous_lessors=(D,))
        self.assertEqual(stewardship.Nothing(), self.decide(row=row))

    def test_suspicion(self) -> None:
        """Guards against a takeover attempt after a single lost reply, or none at all."""
        early, late = NOW - timing.SUSPECT_S + 0.01, NOW - timing.SUSPECT_S
        self.assertEqual(stewardship.Nothing(), self.decide(last_reply_at=early))
        self.assertEqual(stewardship.StartTakeover(), self.decide(last_reply_at=late))
        self.assertEqual(stewardship.StartTakeover(), self.decide(last_reply_at=None))

    def test_no_takeover_without_the_table(self) -> None:
        """Guards against promises in an outage, which stop lessors and lead to no takeover."""
        decision = self.decide(last_reply_at=NOW - 5.0, table_reachable=False)
        self.assertEqual(stewardship.Nothing(), decision)

    def test_no_suspicion_right_after_a_pause(self) -> None:
        """Guards against a resumed steward that takes its own pause for the server's silence."""
        decision = self.decide(last_reply_at=NOW - 5.0, watched_since=NOW - 0.1)
        self.assertEqual(stewardship.Nothing(), decision)

    def test_lost_server_that_is_silent(self) -> None:
        """Guards against a second takeover of the same server."""
        row = builders.row(2, state=model.ServerState.LOST, lessors=())
        self.assertEqual(stewardship.Nothing(), self.decide(row=row, last_reply_at=NOW - 5.0))

    def test_lost_server_that_answers(self) -> None:
        """Guards against a server that is never used again after it was lost."""
        row = builders.row(2, state=model.ServerState.LOST, lessors=())
        decision = self.decide(row=row)
        self.assertIsInstance(decision, stewardship.Revive)
        self.assertEqual({A, B, C}, set(decision.lessors))

    def test_all_lessors_gone(self) -> None:
        """Guards against a reachable server without a lease after all its lessors were lost."""
        decision = self.decide(peers=peers(D))
        self.assertEqual(stewardship.Revive((D,), (A, B, C), builders.PROCESS), decision)

    def test_restarted_server(self) -> None:
        """Guards against a restarted process that nobody may grant to."""
        decision = self.decide(seen_incarnation=ids.Incarnation("process-2"))
        self.assertEqual(
            stewardship.Revive((A, B, C), (A, B, C), ids.Incarnation("process-2")), decision
        )
