from __future__ import annotations

import collections

import testtools

from celerystack.lease import rendezvous

KNOWN = ["vm2", "vm0", "vm1", "vm3"]


class RendezvousTest(testtools.TestCase):
    def test_order_does_not_depend_on_input_order(self) -> None:
        """Guards against entry VMs that choose different reconcilers from the same set of peers."""
        members = [f"vm{number}" for number in range(9)]
        self.assertEqual(
            rendezvous.ranked("s1", members), rendezvous.ranked("s1", reversed(members * 2))
        )

    def test_known_order(self) -> None:
        """Guards against a change of the hash between two releases that run side by side."""
        self.assertEqual(KNOWN, rendezvous.ranked("server-8", ["vm0", "vm1", "vm2", "vm3"]))

    def test_loss_of_a_member_moves_only_its_keys(self) -> None:
        """Guards against a new reconciler for every server when one entry VM leaves."""
        members = [f"vm{number}" for number in range(9)]
        for key in map(str, range(200)):
            first = rendezvous.ranked(key, members)[0]
            if first != "vm4":
                rest = [member for member in members if member != "vm4"]
                self.assertEqual(first, rendezvous.ranked(key, rest)[0])

    def test_keys_are_spread(self) -> None:
        """Guards against an uneven distribution, one entry VM being the reconciler of most."""
        members = [f"vm{number}" for number in range(9)]
        counts = collections.Counter(rendezvous.ranked(str(key), members)[0] for key in range(9000))
        self.assertEqual(set(members), set(counts))
        self.assertTrue(all(800 <= count <= 1200 for count in counts.values()), counts)
