from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

import testtools
from twisted.internet import defer, reactor

from celerystack import errors
from celerystack.queries import admin_pages, where
from standins import memory_platform as fakes

REPORT: dict[str, Any] = {
    "vm": "e-1",
    "zone": "z1",
    "config_version": 4,
    "service": "rota-view",
    "prefix": "/rota/view/",
    "deadline_s": 2.0,
    "key": "k1",
    "key_hash": "00000000000000ff",
    "shard": 5,
    "epoch": 3,
    "server": {
        "id": "rv-01",
        "zone": "z2",
        "address": "10.0.0.1:80",
        "state": "active",
        "token": 7,
        "lessors": ["e-1", "e-2"],
        "last_reply_s": 0.1,
        "leaving": "",
    },
    "why": "owner of the shard",
    "queue": {"running": 2, "limit": 2, "waiting": 4, "ahead": 3},
    "expected_wait_s": 1.5,
    "expected_answer_s": 1.75,
    "waits_for": "",
    "rejected_by": "",
    "retry_after_s": None,
    "unusable_servers": {"rv-02": "it is drained"},
}
TEXT = """\
entry VM: e-1 (zone z1)
configuration version: 4
route: service rota-view, prefix /rota/view/
key: k1 (hash 00000000000000ff)
shard: 5, epoch 3
server: rv-01 (zone z2, 10.0.0.1:80), active
lease: token 7, held by entry VMs e-1, e-2; last reply 0.100 s ago
why: owner of the shard
queue: 2 running of at most 2, 4 waiting, 3 ahead of this request
expected wait: 1.500 s
expected answer: after 1.750 s
deadline: after 2.000 s
rejected by: nothing
not usable: rv-02 (it is drained)
"""


class FakeAdmin:
    """Answers with a status and content as set by the test."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, dict[str, str]]] = []
        self.status = 200
        self.content: dict[str, Any] = REPORT

    def get(self, page: str, fields: Mapping[str, str]) -> defer.Deferred[tuple[int, Any]]:
        self.asked.append((page, dict(fields)))
        return defer.succeed((self.status, self.content))


class WhereTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.platform = fakes.FakePlatform()
        self.admin = self.platform.admin = FakeAdmin()

    def test_text(self) -> None:
        """Guards against an answer without server, lease, queue, wait or reason."""
        self.assertEqual((0, TEXT), self.platform.run(where.where("get", "/rota/view/k1?x=1")))
        fields = {"method": "GET", "path": "/rota/view/k1?x=1"}
        self.assertEqual([("where", fields)], self.admin.asked)

    def test_json_and_options(self) -> None:
        """Guards against options that do not reach the entry VM."""
        requested = where.where("GET", "/a", key="k", deadline_ms=300, priority=2, json=True)
        self.assertEqual(REPORT, json.loads(self.platform.run(requested)[1]))
        ((_, fields),) = self.admin.asked
        self.assertEqual(("k", "300"), (fields["key"], fields["deadline_ms"]))

    def test_request_without_a_server(self) -> None:
        """Guards against a traceback for a request that would wait or be rejected."""
        self.admin.content = {
            **REPORT,
            "server": None,
            "queue": None,
            "epoch": None,
            "why": "the shard has no owner",
            "waits_for": "an owner",
            "rejected_by": "no server is usable",
            "retry_after_s": 2.5,
        }
        out = self.platform.run(where.where("GET", "/rota/view/k1"))[1]
        for line in (
            "shard: 5, epoch none",
            "server: none",
            "waits for: an owner",
            "rejected by: no server is usable",
            "retry after: 2.500 s",
        ):
            self.assertIn(f"{line}\n", out)

    def test_unknown_route_is_an_error(self) -> None:
        """Guards against exit code 0 for a path that no service owns."""
        self.admin.status = 404
        self.admin.content = {"vm": "e-1", "error": "no service owns this path"}
        error = self.assertRaises(
            errors.CelerystackError, self.platform.run, where.where("GET", "/nowhere")
        )
        self.assertEqual(
            "where [e-1]: the request would be answered with 404: no service owns this path",
            str(error),
        )

    def test_priority_is_said_to_have_no_effect(self) -> None:
        """Guards against an operator who compares priorities that do not exist."""
        out = self.platform.run(where.where("GET", "/rota/view/k1", priority=1))[1]
        self.assertIn("priority: 1 has no effect", out)

    def test_admin_address_is_required(self) -> None:
        """Guards against a traceback if no entry VM is named."""
        self.assertEqual(("admin_address",), where.where("GET", "/a").required)


class HttpAdminTest(testtools.TestCase):
    def test_refused_and_foreign_answers_are_described(self) -> None:
        """Guards against an error that does not say that no entry VM answers."""
        admin = admin_pages.HttpAdmin(reactor, "127.0.0.1:9", timeout_s=1.0)

        def fail(*_: object, **__: object) -> defer.Deferred:
            return defer.fail(errors.PlatformUnavailableError("refused", step="x"))

        admin._http.call = fail
        self.assertIn("no entry VM answers: refused", self.failure_of(admin))
        for body in (b"<html>", b'{"error": "no such path"}', b"[]"):
            response = admin_pages.http.Response(404, body)
            admin._http.call = lambda *_, response=response, **__: defer.succeed(response)
            self.assertIn("no page of an entry VM: status 404", self.failure_of(admin))

    def failure_of(self, admin: admin_pages.HttpAdmin) -> str:
        failures: list = []
        admin.get("where", {}).addErrback(failures.append)
        return str(failures[0].value)
