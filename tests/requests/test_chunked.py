"""Tests of the decoder of chunked bodies."""

import hypothesis
import testtools
from hypothesis import strategies
from twisted.web import http

from celerystack.requests import chunked

PARTS = strategies.sampled_from(
    [
        b"1\r\nx\r\n",
        b"A\r\n0123456789\r\n",
        b"00a\r\n0123456789\r\n",
        b"3;name=value\r\nabc\r\n",
        b"3;\xff \t\r\nabc\r\n",
        b"3;\x01\r\nabc\r\n",
        b"0\r\n",
        b"X: y\r\n",
        b"\r\n",
        b"\n",
        b"\r",
        b"-1\r\n",
        b"0x1\r\nx\r\n",
        b" 1\r\nx\r\n",
        b"1 \r\nx\r\n",
        b"GET / HTTP/1.1\r\n",
        b"5\r\nab",
        b"cde\r\n",
    ]
)


class Result:
    """What a decoder has passed on."""

    def __init__(self):
        self.data = b""
        self.rest = None

    def on_data(self, data):
        self.data += data

    def on_end(self, rest):
        self.rest = rest

    def __eq__(self, other):
        return (self.data, self.rest) == (other.data, other.rest)

    def __repr__(self):
        return repr((self.data, self.rest))


def decode(pieces, chunks_max=1000):
    """Return the result and whether the body was accepted so far."""
    result = Result()
    decoder = chunked.Decoder(result.on_data, result.on_end)
    try:
        for piece in pieces:
            if result.rest is not None:
                result.rest += piece
                continue
            decoder.receive(piece)
            while decoder.decode(chunks_max):
                pass
    except chunked.MalformedChunksError:
        return result, False
    return result, True


def decode_by_twisted(data):
    result = Result()
    decoder = http._ChunkedTransferDecoder(result.on_data, result.on_end)
    try:
        decoder.dataReceived(data)
    except http._MalformedChunkedDataError:
        return result, False
    return result, True


class DecoderTest(testtools.TestCase):
    def test_pieces_of_one_byte(self):
        """Guards against a boundary between two reads that changes the body."""
        data = b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX: y\r\n\r\nGET"
        result, accepted = decode([data[i : i + 1] for i in range(len(data))])
        self.assertEqual((b"abcde", b"GET", True), (result.data, result.rest, accepted))

    @hypothesis.given(strategies.lists(PARTS, max_size=12))
    def test_same_result_as_twisted(self, parts):
        """Guards against bodies that end elsewhere than with the decoder used before."""
        data = b"".join(parts)
        expected, expected_accepted = decode_by_twisted(data)
        result, accepted = decode([data])
        self.assertEqual(expected_accepted, accepted)
        if accepted:
            self.assertEqual(expected, result)

    @hypothesis.given(strategies.lists(PARTS, max_size=12), strategies.integers(1, 5))
    def test_same_result_in_small_steps(self, parts, chunks_max):
        """Guards against a limit on the work that changes the body."""
        data = b"".join(parts)
        expected, expected_accepted = decode([data])
        result, accepted = decode([data[:7], data[7:9], data[9:]], chunks_max)
        self.assertEqual(expected_accepted, accepted)
        if accepted:
            self.assertEqual(expected, result)

    def test_work_per_call_is_bounded(self):
        """Guards against a packet of tiny chunks that holds up all other connections."""
        result = Result()
        decoder = chunked.Decoder(result.on_data, result.on_end)
        decoder.receive(b"1\r\nx\r\n" * 1000)
        self.assertTrue(decoder.decode(10))
        self.assertEqual(10, len(result.data))

    def test_small_chunks_are_passed_on_together(self):
        """Guards against an object for each tiny chunk."""
        pieces = []
        decoder = chunked.Decoder(pieces.append, lambda _: None)
        decoder.receive(b"1\r\nx\r\n" * 1000)
        decoder.decode(1000)
        self.assertEqual([b"x" * 1000], pieces)

    def test_lines_without_end_are_rejected(self):
        """Guards against a size line or trailers that are kept without a limit."""
        for data in (b"1" * 2000, b"1;" + b"x" * 2000 + b"\r\n", b"0\r\n" + b"X: y\r\n" * 20_000):
            _, accepted = decode([data])
            self.assertFalse(accepted)

    def test_stop_from_the_callback(self):
        """Guards against a rejected body that is decoded further."""
        ended = []
        decoder = chunked.Decoder(lambda _: decoder.stop(), ended.append)
        decoder.receive(b"1\r\nx\r\n0\r\n\r\n")
        self.assertFalse(decoder.decode(1))
        self.assertFalse(decoder.decode(1000))
        self.assertEqual(([], 0), (ended, decoder.unread_bytes))
