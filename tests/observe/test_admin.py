from __future__ import annotations

import json
import logging

import prometheus_client
import testtools
from twisted.internet import address, testing
from twisted.web import http

from celerystack.observe import admin


class AdminTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ready = True
        self.status = {"vm": "e-1"}
        registry = prometheus_client.CollectorRegistry()
        prometheus_client.Gauge("g", "Gauge.", registry=registry).set(5)
        self.site = admin.site(
            registry=registry,
            ready=lambda: self.ready,
            status=lambda: self.status,
            where=self.where,
        )

    def where(self, fields: dict[str, str]) -> tuple[int, dict]:
        self.where_fields = fields
        return self.where_result

    def fetch(self, path: str, method: str = "GET") -> tuple[int, bytes]:
        peer = address.IPv4Address("TCP", "127.0.0.1", 1)
        protocol = self.site.buildProtocol(peer)
        transport = testing.StringTransportWithDisconnection(peerAddress=peer)
        transport.protocol = protocol
        protocol.makeConnection(transport)
        protocol.dataReceived(f"{method} {path} HTTP/1.0\r\n\r\n".encode())
        head, _, body = transport.value().partition(b"\r\n\r\n")
        return int(head.split()[1]), body

    def test_metrics(self) -> None:
        """Guards against exposing another registry than the one passed."""
        code, body = self.fetch("/metrics")
        self.assertEqual(http.OK, code)
        self.assertIn(b"g 5.0", body)

    def test_readiness_follows_the_callable(self) -> None:
        """Guards against an entry VM that still reports ready while it shuts down."""
        self.assertEqual(http.OK, self.fetch("/readyz")[0])
        self.ready = False
        self.assertEqual(http.SERVICE_UNAVAILABLE, self.fetch("/readyz")[0])
        self.assertEqual(http.OK, self.fetch("/healthz")[0])

    def test_status_is_json(self) -> None:
        """Guards against a status that is not valid JSON."""
        self.assertEqual({"vm": "e-1"}, json.loads(self.fetch("/status")[1]))

    def test_where_passes_the_fields_of_the_query(self) -> None:
        """Guards against a query that is answered for another request, or with another status."""
        self.where_result = (http.NOT_FOUND, {"error": "no service owns this path"})
        code, body = self.fetch("/where?method=GET&path=%2Fa%2Fk%3Fx%3D1")
        self.assertEqual({"method": "GET", "path": "/a/k?x=1"}, self.where_fields)
        self.assertEqual(http.NOT_FOUND, code)
        self.assertEqual({"error": "no service owns this path"}, json.loads(body))

    def test_failing_status_is_one_line_without_details(self) -> None:
        """Guards against a response with a traceback if the status cannot be rendered."""
        logging.getLogger(admin.__name__).disabled = True
        self.addCleanup(setattr, logging.getLogger(admin.__name__), "disabled", False)
        self.status = object()
        code, body = self.fetch("/status")
        self.assertEqual((http.INTERNAL_SERVER_ERROR, b"internal error\n"), (code, body))

    def test_unknown_pages_and_methods(self) -> None:
        """Guards against responding with 200 for unknown pages or other methods than GET."""
        self.assertEqual(http.NOT_FOUND, self.fetch("/")[0])
        self.assertEqual(http.NOT_FOUND, self.fetch("/status/x")[0])
        self.assertEqual(http.NOT_FOUND, self.fetch("/nope")[0])
        self.assertEqual(http.NOT_ALLOWED, self.fetch("/status", "POST")[0])
