from __future__ import annotations

import dataclasses

from celerystack import ids, model
from celerystack.config import derive
from celerystack.control import (
    changes,
    losses_task,
    queueing_chooser,
    request_locator,
    routes,
)
from celerystack.limits import deadline_queue
from celerystack.requests import calls, dispatch, server_choice
from celerystack.state import codec, keys, shard_map
from tests.control import table_cluster, test_placer_task

B1, B2, BROWSE, D1 = table_cluster.B1, table_cluster.B2, table_cluster.BROWSE, table_cluster.D1
D2 = ids.ServerId("d2")
DESK = ids.ServiceName("desk")
KEY_HASH = shard_map.key_hash("k1")
SHARD = shard_map.base_shard(KEY_HASH, 4)
CONFIG = (
    table_cluster.CONFIG
    + """
[server.d2]
service = "desk"
zone = "z2"
address = "127.0.2.1:9004"

[service.ledger]
prefixes = ["/ledger/"]
key_header = "X-Account"
"""
)


class RequestLocatorTest(test_placer_task.PlacerTest):
    def setUp(self) -> None:
        super().setUp()
        self.mesh.broadcast = lambda _: None
        view = self.cluster.view
        self.counted: list[tuple] = []
        self.may_send = True
        self.routes = routes.Routes(
            view,
            may_send=lambda _: self.may_send,
            is_usable=self.placer.servers.is_usable,
            on_route=lambda *counted: self.counted.append(counted),
        )
        self.chooser = queueing_chooser.QueueingChooser(
            server_choice.ServerChooser(zone=test_placer_task.ME.zone, seed=1)
        )
        self.losses = losses_task.LossesTask(self.clock, view=view, mesh=self.mesh)
        self.queue_states: dict[ids.ServerId, dispatch.QueueState] = {}
        self.locator = request_locator.RequestLocator(
            self.clock,
            own_entry_vm=test_placer_task.ME,
            view=view,
            routes=self.routes,
            servers=self.placer.servers,
            chooser=self.chooser,
            losses=self.losses,
            queue_state=lambda server, _: self.queue_states.get(server),
            last_reply_at=lambda server: -0.25 if server == B1 else None,
        )
        self.declare(CONFIG)
        self.cluster.create_servers()
        created = changes.create_server(view, D2, table_cluster.LESSORS, ids.Incarnation("s1"))
        self.cluster.commit(created)

    def declare(self, text: str) -> None:
        self.cluster.write(keys.config_file("10.toml"), text.encode())
        head = codec.ConfigHead(
            version=ids.ConfigVersion(2),
            sha256_by_file={"10.toml": derive.sha256(text)},
            snapshot="",
        )
        self.cluster.write(keys.CONFIG_HEAD, codec.encode_fields(head))

    def locate(self, path: str = "/browse/k1", **fields: str) -> dict:
        status, report = self.locator.locate({"method": "GET", "path": path, **fields})
        self.assertEqual(200, status, report)
        return report

    def refusal(self, path: str, **fields: str) -> tuple[int, str]:
        status, report = self.locator.locate({"method": "GET", "path": path, **fields})
        return status, report["error"]


class OwnerTest(RequestLocatorTest):
    def test_owner_of_a_key(self) -> None:
        """Guards against another server, shard or lease than those of a real request."""
        self.cluster.assign_all()
        report = self.locate("/browse/k1/page?x=1")
        route = self.routes.current_route(
            self.cluster.view.configuration.services_by_name[BROWSE], KEY_HASH
        )
        self.assertEqual(
            (BROWSE, "/browse/", "k1", f"{KEY_HASH:016x}", route.shard, route.epoch),
            tuple(report[n] for n in ("service", "prefix", "key", "key_hash", "shard", "epoch")),
        )
        self.assertEqual(
            (route.server, ["e1"], None, self.cluster.row(B1).token),
            tuple(report["server"][n] for n in ("id", "lessors", "last_reply_s", "token")),
        )
        self.assertEqual(
            ("owner of the shard", "", "", 0.0),
            tuple(report[n] for n in ("why", "waits_for", "rejected_by", "expected_wait_s")),
        )

    def test_last_reply_is_shown_on_a_lessor_only(self) -> None:
        """Guards against an old reply of a server that answers its lessors."""
        self.cluster.assign_all()
        self.assertIsNone(self.locate()["server"]["last_reply_s"])
        lessors = (model.LessorRef(test_placer_task.ME.vm, test_placer_task.ME.incarnation),)
        row = dataclasses.replace(self.cluster.row(B1), lessors=lessors)
        self.cluster.write(keys.server(B1), codec.encode_server(row))
        self.assertEqual(0.25, self.locate()["server"]["last_reply_s"])

    def test_a_lookup_is_not_counted_as_traffic(self) -> None:
        """Guards against queries of an operator that make a key look hot and move it."""
        self.cluster.assign_all()
        self.locate()
        self.assertEqual([], self.counted)

    def test_moving_shard(self) -> None:
        """Guards against naming the receiver of a shard that it does not own yet."""
        self.cluster.assign_all()
        change = changes.start_moves(self.cluster.view, BROWSE, {SHARD: B2}, reason="test")
        self.cluster.commit(change)
        report = self.locate()
        self.assertIsNone(report["server"])
        self.assertEqual("the shard is moving from b1 to b2", report["why"])
        self.assertIn("at most 1 s; then rejected", report["waits_for"])

    def test_no_owner(self) -> None:
        """Guards against a report without the cause of a request that waits for its deadline."""
        report = self.locate()
        self.assertEqual((None, "the shard has no owner"), (report["server"], report["why"]))
        self.assertIn("until the deadline", report["waits_for"])

    def test_evacuated_service_and_leaving_owner(self) -> None:
        """Guards against an evacuation that is not given as the cause of a rejection or a move."""
        self.cluster.assign_all()
        row = codec.encode_fields(codec.OperatorRow(operator="op", time_ms=1, reason=""))
        self.cluster.write(keys.evacuate(ids.ZoneName("z1")), row)
        report = self.locate()
        self.assertEqual("zone z1 is evacuated", report["server"]["leaving"])
        self.assertEqual({B1: "zone z1 is evacuated"}, report["unusable_servers"])
        self.cluster.write(keys.evacuate(ids.ZoneName("z2")), row)
        report = self.locate()
        self.assertIsNone(report["server"])
        self.assertEqual("all servers of the service are in evacuated zones", report["why"])

    def test_server_that_may_not_be_sent_to(self) -> None:
        """Guards against an expected wait of 0 for a request that is not written."""
        self.cluster.assign_all()
        self.may_send = False
        report = self.locate()
        self.assertIn("permission to send", report["waits_for"])
        self.assertIsNone(report["expected_wait_s"])

    def test_queue_and_rejection(self) -> None:
        """Guards against a queue or rejection that is left out, or a wrong time to come back."""
        self.cluster.assign_all()
        state = dispatch.QueueState(
            running=2,
            limit=2,
            waiting=5,
            service_time_s=0.25,
            prospect=deadline_queue.Prospect(ahead=3, wait_s=1.5, retry_s=None),
        )
        self.queue_states[B1] = state
        report = self.locate()
        self.assertEqual({"running": 2, "limit": 2, "waiting": 5, "ahead": 3}, report["queue"])
        self.assertEqual((1.5, ""), (report["expected_wait_s"], report["rejected_by"]))
        self.assertEqual(1.75, report["expected_answer_s"])
        late = deadline_queue.Prospect(ahead=3, wait_s=1.5, retry_s=0.7)
        self.queue_states[B1] = dataclasses.replace(state, prospect=late)
        report = self.locate()
        self.assertEqual(
            (dispatch.SHED_REASON, 0.7), (report["rejected_by"], report["retry_after_s"])
        )

    def test_quarantined_request(self) -> None:
        """Guards against a report that hides a quarantine, or its end."""
        self.cluster.assign_all()
        service = self.cluster.view.configuration.services_by_name[BROWSE]
        call = calls.Call(
            service=service, method="GET", target=b"/browse/k1", headers=(), body=b"", deadline=1.0
        )
        self.losses.record_loss(B1, (call.fingerprint(),))
        self.clock.advance(10.0)
        report = self.locate()
        self.assertIn("quarantined", report["rejected_by"])
        self.assertEqual(50.0, report["retry_after_s"])
        self.assertEqual("", self.locate("/browse/k2")["rejected_by"])
        self.clock.advance(50.0)
        self.assertEqual("", self.locate()["rejected_by"])


class ChoiceTest(RequestLocatorTest):
    def desk_servers(self) -> tuple[model.BackendServer, ...]:
        return self.routes.servers(self.cluster.view.configuration.services_by_name[DESK])

    def test_choice_of_a_service_without_keys(self) -> None:
        """Guards against another server than the one that the chooser takes."""
        for _ in range(50):
            for server, latency_s in zip(self.desk_servers(), (0.9, 0.01), strict=True):
                self.chooser.started(server, 0.0)
                self.chooser.finished(server, latency_s, model.Outcome.ANSWERED, 0.0)
        report = self.locate("/desk/form")
        service = self.cluster.view.configuration.services_by_name[DESK]
        self.assertEqual(
            self.chooser.choose(service, self.desk_servers(), 0.0).server, report["server"]["id"]
        )
        self.assertEqual((D2, ""), (report["server"]["id"], report["key"]))
        self.assertEqual("lowest score of 2 usable servers", report["why"])

    def test_servers_that_are_not_usable(self) -> None:
        """Guards against a server that is left out without its reason."""
        row = codec.encode_fields(codec.OperatorRow(operator="op", time_ms=1, reason=""))
        self.cluster.write(keys.drain(D1), row)
        report = self.locate("/desk/form")
        self.assertEqual(D2, report["server"]["id"])
        self.assertEqual({D1: "it is drained"}, report["unusable_servers"])
        self.cluster.write(keys.server(D2), None)
        report = self.locate("/desk/form")
        self.assertEqual("no server is usable", report["rejected_by"])
        self.assertEqual("it has no row yet", report["unusable_servers"][D2])


class RefusalTest(RequestLocatorTest):
    def test_requests_that_the_front_end_rejects(self) -> None:
        """Guards against a route for a request that the front end answers with an error."""
        self.assertEqual((404, "no service owns this path"), self.refusal("/nowhere/k1"))
        self.assertEqual(400, self.refusal("/browse/")[0])
        self.assertEqual(400, self.refusal("browse/k1")[0])
        self.assertEqual(400, self.refusal("/browse/k1", deadline_ms="0")[0])
        status, report = self.locator.locate({})
        self.assertEqual((400, "e2"), (status, report["vm"]))

    def test_key_from_a_header(self) -> None:
        """Guards against a service with a key header that cannot be asked about."""
        self.assertEqual(400, self.refusal("/ledger/x")[0])
        self.assertEqual("k1", self.locate("/ledger/x", key="k1")["key"])
        self.assertEqual(
            (400, "service browse has no key header"), self.refusal("/browse/k1", key="k2")
        )

    def test_deadline_of_the_request_and_of_the_service(self) -> None:
        """Guards against an expected rejection by another deadline than the request's."""
        self.assertEqual(2.0, self.locate()["deadline_s"])
        self.assertEqual(0.3, self.locate(deadline_ms="300")["deadline_s"])

    def test_entry_vm_without_configuration(self) -> None:
        """Guards against an unknown route as the answer of an entry VM that knows none yet."""
        self.cluster.view.configuration = model.Configuration()
        status, reason = self.refusal("/browse/k1")
        self.assertEqual((503, "the entry VM has no configuration yet"), (status, reason))
