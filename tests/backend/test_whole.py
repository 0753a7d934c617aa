"""Answers read without h11, checked against h11 as an independent parser."""

from __future__ import annotations

import h11
import hypothesis
import testtools
from hypothesis import strategies

from celerystack.backend import http, whole

BODY_MAX = 64
PLAIN = b"HTTP/1.1 200 OK\r\nX-Name:  a b \r\nContent-Length: 3\r\n\r\nabc"
PIECES = strategies.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 ",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 204 No Content\r\n",
        b"HTTP/1.1 304 x\r\n",
        b"HTTP/1.1 100 Continue\r\n",
        b"HTTP/1.1 503 \r\n",
        b"Content-Length: 3\r\n",
        b"content-length:0\r\n",
        b"Content-Length: +3\r\n",
        b"Content-Length: 3, 3\r\n",
        b"Content-Length: 4\r\n",
        b"Content-Length : 3\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"X: a \t b \r\n",
        b"X:\r\n",
        b" folded\r\n",
        b"X: \x80\r\n",
        b"X: \x0b\r\n",
        b"X: a\n",
        b"\r\n",
        b"\n",
        b"\r",
        b"abc",
        b"x",
        b"3\r\nabc\r\n0\r\n\r\n",
    ]
)
NOISE = strategies.builds(b"".join, strategies.lists(PIECES, max_size=8))
MUTATED = strategies.builds(
    lambda at, new, cut: PLAIN[:at] + new + PLAIN[at + cut :],
    strategies.integers(0, len(PLAIN)),
    strategies.one_of(strategies.binary(max_size=2), PIECES),
    strategies.integers(0, 2),
)
FRAMED = strategies.builds(
    lambda lines, body: (
        b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (b"".join(lines), len(body), body)
    ),
    strategies.lists(PIECES, max_size=4),
    strategies.binary(max_size=8),
)


def by_h11(data):
    """Return the answer that h11 reads, and whether it ends the connection's use."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method=b"GET", target=b"/", headers=((b"Host", b"x"),)))
    client.send(h11.EndOfMessage())
    client.receive_data(data)
    head = client.next_event()
    body = b""
    while not isinstance(event := client.next_event(), h11.EndOfMessage):
        body += bytes(event.data)
    answer = http.HttpResponse(
        status=head.status_code,
        reason=bytes(head.reason),
        headers=tuple((bytes(name), bytes(value)) for name, value in head.headers),
        body=body,
    )
    reusable = client.their_state is h11.DONE and client.our_state is h11.DONE
    return answer, reusable and not client.trailing_data[0]


class ReadTest(testtools.TestCase):
    def test_plain(self):
        """Guards against a reader that leaves the common answer to h11."""
        expected = http.HttpResponse(
            status=200,
            reason=b"OK",
            headers=((b"x-name", b"a b"), (b"content-length", b"3")),
            body=b"abc",
        )
        self.assertEqual(expected, whole.read(PLAIN, body_max=BODY_MAX))

    def test_left_to_h11(self):
        """Guards against a truncated, delimited otherwise, or too large answer taken as whole."""
        head = b"HTTP/1.1 200 OK\r\n"
        left = (
            *(PLAIN[:end] for end in range(len(PLAIN))),
            PLAIN + b"x",
            PLAIN + PLAIN,
            PLAIN.replace(b"1.1", b"1.0"),
            PLAIN.replace(b"200", b"204"),
            PLAIN.replace(b"200", b"304"),
            PLAIN.replace(b"200", b"100"),
            PLAIN.replace(b"X-Name", b"Connection"),
            PLAIN.replace(b"X-Name", b"Transfer-Encoding"),
            PLAIN.replace(b"X-Name", b"Upgrade"),
            PLAIN.replace(b"X-Name:  a b ", b"Content-Length: 3"),
            PLAIN.replace(b"X-Name:  a b ", b"X-Name : a"),
            PLAIN.replace(b": 3", b": +3"),
            PLAIN.replace(b": 3", b": 3,3"),
            PLAIN.replace(b"a b", b"a\nb"),
            head + b"\r\nabc",
            head + b"X: y\r\n\r\n",
        )
        for data in left:
            self.assertIsNone(whole.read(data, body_max=BODY_MAX), data)
        self.assertIsNone(whole.read(PLAIN, body_max=2))

    @hypothesis.settings(max_examples=2000, deadline=None)
    @hypothesis.given(data=strategies.one_of(NOISE, MUTATED, FRAMED))
    def test_h11_reads_the_same(self, data):
        """Guards against an answer that h11 would reject, or would read differently."""
        answer = whole.read(data, body_max=BODY_MAX)
        if answer is not None:
            self.assertEqual((answer, True), by_h11(data))
