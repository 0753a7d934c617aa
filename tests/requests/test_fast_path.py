"""The minimal server and the answer check of `measurements.fast_path`."""

from __future__ import annotations

import json

import testtools
from twisted.internet import testing

from measurements import fast_path, fast_path_server
from standins import lease_state

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + b"x" * 100


class LeanServerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        lease = lease_state.LeaseState(incarnation="one", checked=True)
        self.server = fast_path_server.LeanServer(lease, ANSWER)
        self.transport = testing.StringTransport()
        self.transport.setTcpNoDelay = lambda _: None
        self.server.makeConnection(self.transport)

    def order(self, name, **fields):
        body = json.dumps(fields).encode()
        head = b"POST /orders/%s HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % (name, len(body))
        self.server.dataReceived(head + body)
        reply = json.loads(self.transport.value().partition(b"\r\n\r\n")[2])
        self.transport.clear()
        return reply

    def test_requests_in_parts_get_one_answer_each(self):
        """Guards against a wrong number of answers when a request arrives in several parts."""
        self.server.dataReceived(b"GET /browse/a HTTP/1.1\r\nHost: x\r\n")
        self.assertEqual(b"", self.transport.value())
        self.server.dataReceived(b"\r\nPOST /browse/b HTTP/1.1\r\ncontent-length: 2\r\n\r\na")
        self.assertEqual(ANSWER, self.transport.value())
        self.server.dataReceived(b"b")
        self.assertEqual(ANSWER * 2, self.transport.value())

    def test_renewal_without_a_grant_is_rejected(self):
        """Guards against a server that accepts renewals without a grant and so skips grants."""
        stamp = self.order(b"probe")["stamp"]
        order = {"incarnation": "one", "token": 1, "echo_stamp": stamp}
        self.assertEqual("no_grant", self.order(b"renew", **order)["result"])
        self.assertEqual("ok", self.order(b"grant", **order, shards=[])["result"])
        self.assertEqual("ok", self.order(b"renew", **order)["result"])


class AnswerCheckTest(testtools.TestCase):
    def test_failed_requests_are_not_counted(self):
        """Guards against a measured throughput that includes rejected requests."""
        rejected = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
        self.assertRaises(RuntimeError, fast_path._is_complete, rejected)

    def test_partial_answers_are_not_complete(self):
        """Guards against measuring the latency of an answer before it is complete."""
        self.assertFalse(fast_path._is_complete(ANSWER[:20]))
        self.assertFalse(fast_path._is_complete(ANSWER[:-1]))
        self.assertTrue(fast_path._is_complete(ANSWER))
