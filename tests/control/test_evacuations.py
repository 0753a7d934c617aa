"""Tests of evacuated zones in the view, the routes, the placement and the reports."""

from __future__ import annotations

import logging

import prometheus_client
import testtools

from celerystack import ids, model
from celerystack.config import derive
from celerystack.control import evacuations, routes, view
from celerystack.observe import metrics
from celerystack.state import cache, codec, keys, shard_map
from tests.control import table_cluster, test_placer_task

B1, B2, BROWSE, D1 = table_cluster.B1, table_cluster.B2, table_cluster.BROWSE, table_cluster.D1
DESK = ids.ServiceName("desk")
Z1, Z2 = ids.ZoneName("z1"), ids.ZoneName("z2")
LATER_SERVER = """
[server.d2]
service = "desk"
zone = "z2"
address = "127.0.2.1:9004"
"""


def evacuate(cluster: table_cluster.TableCluster, zone: ids.ZoneName) -> None:
    row = codec.OperatorRow(operator="op", time_ms=1, reason="")
    cluster.write(keys.evacuate(zone), codec.encode_fields(row))


def restore(cluster: table_cluster.TableCluster, zone: ids.ZoneName) -> None:
    cluster.write(keys.evacuate(zone), None)


def declare(cluster: table_cluster.TableCluster, text: str) -> None:
    """Put version 2 of the configuration in force."""
    cluster.write(keys.config_file("10.toml"), text.encode())
    head = codec.ConfigHead(
        version=ids.ConfigVersion(2),
        sha256_by_file={"10.toml": derive.sha256(text)},
        snapshot="",
    )
    cluster.write(keys.CONFIG_HEAD, codec.encode_fields(head))


class ViewTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cluster = table_cluster.TableCluster()
        self.view = self.cluster.view

    def test_evacuation_holds_for_servers_that_are_declared_later(self) -> None:
        """Guards against an evacuation of the servers that a zone has when it is requested."""
        evacuate(self.cluster, Z2)
        self.assertEqual([False, True], [self.view.is_evacuated(s) for s in (B1, B2)])
        declare(self.cluster, table_cluster.CONFIG + LATER_SERVER)
        self.assertTrue(self.view.is_evacuated(ids.ServerId("d2")))
        restore(self.cluster, Z2)
        self.assertFalse(self.view.is_evacuated(ids.ServerId("d2")))

    def test_entry_vm_that_starts_later_has_the_evacuation_from_its_peers(self) -> None:
        """Guards against an evacuation that only entry VMs running at the time know of."""
        evacuate(self.cluster, Z2)
        rows = cache.RowCache()
        later_view = view.ClusterView(rows)
        known_rows = [self.cluster.cache.get(key) for key in self.cluster.cache.versions_by_key()]
        # The zone's row may arrive before the configuration that declares its servers.
        rows.merge(reversed(known_rows))
        self.assertEqual({Z2}, later_view.evacuated_zones())

    def test_older_copy_of_the_row_does_not_evacuate_again(self) -> None:
        """Guards against a restored zone that a peer with older rows evacuates again."""
        evacuate(self.cluster, Z2)
        old = self.cluster.cache.get(keys.evacuate(Z2))
        restore(self.cluster, Z2)
        self.cluster.cache.merge([old])
        self.assertEqual(frozenset(), self.view.evacuated_zones())

    def test_zone_without_servers_has_no_effect(self) -> None:
        """Guards against a row with an unknown zone that counts as an evacuation."""
        evacuate(self.cluster, ids.ZoneName("z9"))
        self.assertEqual(frozenset(), self.view.evacuated_zones())
        self.assertEqual(frozenset(), self.view.evacuated_services())

    def test_service_counts_as_evacuated_with_all_its_servers(self) -> None:
        """Guards against rejecting a service that has servers in another zone."""
        evacuate(self.cluster, Z1)
        self.assertEqual({DESK}, self.view.evacuated_services())
        evacuate(self.cluster, Z2)
        self.assertEqual({DESK, BROWSE}, self.view.evacuated_services())


class RoutesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cluster = table_cluster.TableCluster()
        self.routes = routes.Routes(
            self.cluster.view,
            may_send=lambda _: True,
            is_usable=lambda server: not self.cluster.view.is_evacuated(server),
            on_route=lambda *_: None,
        )
        self.cluster.create_servers()
        self.cluster.assign_all()
        self.service = self.cluster.view.configuration.services_by_name[BROWSE]

    def owner(self) -> ids.ServerId | None:
        found = self.routes.current_route(self.service, shard_map.key_hash("k1"))
        return found.server if isinstance(found, model.Route) else None

    def test_owner_receives_requests_until_its_shards_have_moved(self) -> None:
        """Guards against rejecting the requests of a whole zone while its shards move."""
        evacuate(self.cluster, Z1)
        self.assertEqual(B1, self.owner())

    def test_owners_get_nothing_if_no_zone_is_left_for_the_service(self) -> None:
        """Guards against requests to evacuated servers whose shards have nowhere to go."""
        evacuate(self.cluster, Z2)
        evacuate(self.cluster, Z1)
        self.assertIsNone(self.owner())
        restore(self.cluster, Z1)
        self.assertEqual(B1, self.owner())

    def test_waiting_requests_are_woken_when_an_evacuation_ends(self) -> None:
        """Guards against requests that wait until their deadline although the zone is back."""
        evacuate(self.cluster, Z1)
        evacuate(self.cluster, Z2)
        fired: list[str] = []
        self.routes.wait_for_change(self.service).addCallback(lambda _: fired.append("changed"))
        restore(self.cluster, Z1)
        self.assertEqual(["changed"], fired)


class PlacementTest(test_placer_task.PlacerTest):
    def test_shards_leave_the_zone_by_planned_moves(self) -> None:
        """Guards against shards that stay in an evacuated zone, or leave it without a release."""
        self.place_two_shards_each()
        self.lessor.releasing = {B2}
        evacuate(self.cluster, Z2)
        self.run_for(1.0)
        self.assertEqual(["move_start"], self.actions())
        self.lessor.releasing = set()
        self.run_for(1.0)
        self.assertEqual([B1] * 4, self.owners())

    def test_server_that_starts_in_the_zone_gets_no_shards(self) -> None:
        """Guards against shards for a server that registers in a zone after its evacuation."""
        evacuate(self.cluster, Z2)
        self.start(B1, B2)
        self.run_for(placer_wait_s())
        self.assertEqual([B1] * 4, self.owners())
        self.assertFalse(self.placer.servers.is_usable(B2))

    def test_shards_of_a_lost_server_stay_out_of_the_zone(self) -> None:
        """Guards against a takeover that gives shards to a server in an evacuated zone."""
        self.place_two_shards_each()
        evacuate(self.cluster, Z2)
        self.assertEqual({None}, set(self.placer.receivers(B1).values()))

    def test_shards_return_when_the_zone_is_restored(self) -> None:
        """Guards against a zone that stays empty after its evacuation has ended."""
        self.place_two_shards_each()
        evacuate(self.cluster, Z2)
        self.run_for(1.0)
        restore(self.cluster, Z2)
        self.run_for(300.0)
        self.assertIn(B2, self.owners())


def placer_wait_s() -> float:
    """Return a time after which the first assignment has certainly been made."""
    return test_placer_task.placer_task.FIRST_ASSIGNMENT_WAIT_S + 0.5


class ReportsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cluster = table_cluster.TableCluster()
        self.registry = prometheus_client.CollectorRegistry()
        self.reports = evacuations.EvacuationReports(
            view=self.cluster.view, counters=metrics.Metrics(self.registry)
        )
        self.lines: list[str] = []
        handler = logging.Handler()
        handler.emit = lambda record: self.lines.append(record.getMessage())
        logger = logging.getLogger(evacuations.__name__)
        logger.addHandler(handler)
        self.addCleanup(logger.removeHandler, handler)

    def gauge(self, zone: ids.ZoneName) -> float | None:
        return self.registry.get_sample_value("celerystack_zone_evacuated", {"zone": zone})

    def count(self, text: str) -> int:
        return sum(text in line for line in self.lines)

    def test_begin_and_end_are_reported_once(self) -> None:
        """Guards against an evacuation that begins or ends unnoticed, or is logged repeatedly."""
        evacuate(self.cluster, Z2)
        evacuate(self.cluster, Z2)
        declare(self.cluster, table_cluster.CONFIG + LATER_SERVER)
        self.assertEqual(1, self.count("evacuation of zone z2 begins"))
        self.assertEqual((1.0, 0), (self.gauge(Z2), self.count("ends")))
        restore(self.cluster, Z2)
        self.assertEqual((0.0, 1), (self.gauge(Z2), self.count("evacuation of zone z2 ends")))

    def test_zone_that_gets_servers_later_is_reported(self) -> None:
        """Guards against an evacuation that is not shown because its zone had no servers."""
        evacuate(self.cluster, ids.ZoneName("z3"))
        self.assertEqual([], self.lines)
        declare(self.cluster, table_cluster.CONFIG + LATER_SERVER.replace("z2", "z3"))
        self.assertEqual(1, self.count("evacuation of zone z3 begins"))

    def test_rejected_services_and_a_wholly_evacuated_cluster_are_reported(self) -> None:
        """Guards against rejections of a whole service or cluster whose cause is not logged."""
        evacuate(self.cluster, Z1)
        self.assertEqual(1, self.count("service desk has servers in evacuated zones only"))
        self.assertEqual(0, self.count("service browse"))
        evacuate(self.cluster, Z2)
        self.assertEqual(1, self.count("all zones with servers are evacuated"))
        self.assertEqual(1, self.count("service browse has servers in evacuated zones only"))
