from __future__ import annotations

import testtools

from celerystack import ids, model
from celerystack.lease import evidence
from standins.lease_model import builders

OTHER_ZONE = ids.ZoneName("zone-2")


def observe(
    history: evidence.ListingHistory,
    listed: list[ids.ServerId],
    incarnation: ids.Incarnation = builders.PROCESS,
) -> None:
    history.observe(listed, incarnations_by_server={builders.SERVER: incarnation})


def delisting_evidence(
    history: evidence.ListingHistory,
    *,
    connected: ids.ZoneName = builders.ZONE,
    zone_loss: model.ZoneLossPolicy = model.ZoneLossPolicy.WAIT,
    row: model.ServerRow | None = None,
) -> evidence.Evidence | None:
    return evidence.from_delisting(
        history,
        row=row or builders.row(),
        zone=builders.ZONE,
        connected_zones=frozenset({connected}),
        zone_loss=zone_loss,
    )


class DelistingTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.history = evidence.ListingHistory()

    def test_named_and_dropped(self) -> None:
        """Guards against ignoring a listed server's removal, which would leave its keys unowned."""
        observe(self.history, [builders.SERVER])
        self.assertIsNone(delisting_evidence(self.history))
        observe(self.history, [])
        self.assertIs(evidence.Evidence.DELISTED, delisting_evidence(self.history))

    def test_never_named(self) -> None:
        """Guards against a takeover of a new server that the lagging list does not contain yet."""
        observe(self.history, [])
        self.assertIsNone(delisting_evidence(self.history))

    def test_named_again(self) -> None:
        """Guards against evidence from an earlier list although the server is listed again."""
        for listed in ([builders.SERVER], [], [builders.SERVER]):
            observe(self.history, listed)
        self.assertIsNone(delisting_evidence(self.history))

    def test_dropped_before_the_present_process(self) -> None:
        """Guards against taking the removal of an earlier process for that of a restarted one."""
        observe(self.history, [builders.SERVER])
        observe(self.history, [])
        restarted = builders.row(2, incarnation=ids.Incarnation("process-2"))
        self.assertIsNone(delisting_evidence(self.history, row=restarted))

    def test_partitioned_zone(self) -> None:
        """Guards against a takeover of a whole zone that is partitioned but still serves."""
        observe(self.history, [builders.SERVER])
        observe(self.history, [])
        self.assertIsNone(delisting_evidence(self.history, connected=OTHER_ZONE))

    def test_partitioned_zone_of_service_that_takes(self) -> None:
        """Guards against ignoring the setting ``zone_loss = "take"`` of the service."""
        observe(self.history, [builders.SERVER])
        observe(self.history, [])
        found = delisting_evidence(
            self.history, connected=OTHER_ZONE, zone_loss=model.ZoneLossPolicy.TAKE
        )
        self.assertIs(evidence.Evidence.DELISTED, found)
