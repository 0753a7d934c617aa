"""Encoding of requests, checked against h11 as an independent parser."""

from __future__ import annotations

import h11
import hypothesis
import testtools
from hypothesis import strategies

from celerystack.backend import http, wire

HOST = (b"Host", b"h")


def request(*headers, method=b"GET", target=b"/x", body=b""):
    return http.HttpRequest(method=method, target=target, headers=headers, body=body)


def parse(data):
    """Return head and body of the request that an h11 server reads, and any bytes after it."""
    server = h11.Connection(h11.SERVER)
    server.receive_data(data)
    head = server.next_event()
    body = b""
    while not isinstance(event := server.next_event(), h11.EndOfMessage):
        body += bytes(event.data)
    return head, body, server.trailing_data[0]


class EncodeTest(testtools.TestCase):
    def test_plain(self):
        """Guards against a wrong request line, header or body."""
        data = wire.encode(request(HOST, (b"X", b"a b"), method=b"POST", body=b"abc"))
        expected = b"POST /x HTTP/1.1\r\nHost: h\r\nX: a b\r\nContent-Length: 3\r\n\r\nabc"
        self.assertEqual(data, expected)
        self.assertIn(b"Content-Length: 0", wire.encode(request(HOST, method=b"POST")))
        self.assertNotIn(b"Content-Length", wire.encode(request(HOST)))

    def test_refused(self):
        """Guards against injected headers or requests and against conflicting framing headers."""
        bad = (
            request(HOST, (b"X", b"a\r\nY: b")),
            request(HOST, (b"X", b"a\nY: b")),
            request(HOST, (b"X", b"a\r")),
            request(HOST, (b"X", b"\x00")),
            request(HOST, (b"X\r\nY", b"b")),
            request(HOST, (b"X ", b"b")),
            request(HOST, (b"", b"b")),
            request(HOST, (b"X: y\r\nZ", b"b")),
            request(HOST, (b"X", b"a\r\n\r\nGET / HTTP/1.1\r\nHost: h")),
            request(HOST, target=b"/a b"),
            request(HOST, target=b"/a HTTP/1.1\r\nX: y\r\n\r\n"),
            request(HOST, target=b"x"),
            request(HOST, method=b"GET /"),
            request(HOST, method=b""),
            request(HOST, (b"content-LENGTH", b"3")),
            request(HOST, (b"Transfer-Encoding", b"chunked")),
            request(HOST, (b"Connection", b"close")),
            request(HOST, (b"Upgrade", b"h2c")),
            request(),
            request(HOST, (b"HOST", b"other")),
        )
        for item in bad:
            self.assertRaises(ValueError, wire.encode, item)

    @hypothesis.settings(max_examples=400, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.binary(max_size=4) | strategies.sampled_from([b"X", b"X-Long-Name"]),
                strategies.binary(max_size=8)
                | strategies.sampled_from([b"", b" ", b"a", b"a\r\nB: c", b"a: b"]),
            ),
            max_size=4,
        ),
        strategies.sampled_from([b"/", b"/a?b=c", b"/\x7f", b"/a b", b"/\r\n"]),
        strategies.binary(max_size=20),
    )
    def test_another_parser_reads_the_same(self, headers, target, body):
        """Guards against a head that a server parses into headers other than the given ones."""
        item = request(HOST, *headers, method=b"POST", target=target, body=body)
        try:
            data = wire.encode(item)
        except ValueError:
            return
        head, read, rest = parse(data)
        self.assertEqual((head.method, head.target, read, rest), (b"POST", target, body, b""))
        length = (b"content-length", b"%d" % len(body))
        expected = [(name.lower(), value.strip(b" \t")) for name, value in item.headers]
        self.assertEqual([*head.headers], [*expected, length])
