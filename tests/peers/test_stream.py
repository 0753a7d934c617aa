from __future__ import annotations

import testtools
from twisted.internet import testing

from celerystack.peers import auth, codec, messages, stream

FIRST_SECRET = b"first-secret-of-test"
SECOND_SECRET = b"second-secret-of-test"
HELLO = messages.Hello(vm="a", incarnation="1", zone="z", address="127.0.0.1:1")


class StreamPair:
    """A sender and a receiver; the test transfers the bytes between them."""

    def __init__(
        self, *, sign: bytes = FIRST_SECRET, verify: tuple[bytes, ...] = (FIRST_SECRET,)
    ) -> None:
        self.received: list[messages.Message] = []
        self.receiver = stream.PeerReceiver(
            secrets=verify, on_message=lambda _, message: self.received.append(message)
        )
        self.sender = stream.PeerSender(
            secret=sign, hello=HELLO, on_ready=lambda _: None, on_lost=lambda _: None
        )
        self.to_sender = testing.StringTransport()
        self.to_receiver = testing.StringTransport()
        self.to_sender.setTcpNoDelay = self.to_receiver.setTcpNoDelay = lambda _: None
        self.receiver.makeConnection(self.to_sender)
        self.sender.makeConnection(self.to_receiver)
        self.transfer()

    def transfer(self) -> None:
        data = self.to_sender.value()
        self.to_sender.clear()
        self.sender.dataReceived(data)
        self.transfer_to_receiver()

    def transfer_to_receiver(self) -> bytes:
        data = self.to_receiver.value()
        self.to_receiver.clear()
        self.receiver.dataReceived(data)
        return data

    @property
    def closed(self) -> bool:
        return self.to_sender.disconnecting or self.to_sender.disconnected


class PeerStreamTest(testtools.TestCase):
    def test_messages_arrive_after_hello(self):
        """Guards against a handshake after which no messages are delivered."""
        pair = StreamPair()
        pair.sender.send(messages.Deputize("s", 3))
        pair.transfer_to_receiver()
        self.assertEqual([HELLO, messages.Deputize("s", 3)], pair.received)

    def test_second_secret_is_accepted(self):
        """Guards against rejected frames while the secret is rotated."""
        self.assertEqual(
            [HELLO], StreamPair(sign=SECOND_SECRET, verify=(FIRST_SECRET, SECOND_SECRET)).received
        )

    def test_wrong_secret_closes_the_stream(self):
        """Guards against accepting messages of a process that does not know the secret."""
        pair = StreamPair(sign=SECOND_SECRET)
        self.assertEqual([], pair.received)
        self.assertTrue(pair.closed)

    def test_replayed_frame_closes_the_stream(self):
        """Guards against accepting a recorded frame a second time."""
        pair = StreamPair()
        pair.sender.send(messages.Deputize("s", 3))
        frame = pair.transfer_to_receiver()
        pair.receiver.dataReceived(frame)
        self.assertEqual(2, len(pair.received))
        self.assertTrue(pair.closed)

    def test_malformed_message_closes_the_stream(self):
        """Guards against an unhandled error because of an authenticated frame that is malformed."""
        for payload in (b"\xc1", b"\x91\xa3abc", codec.encode(HELLO)[:-3]):
            pair = StreamPair()
            pair.sender.sendString(pair.sender._signer.sign(payload))
            pair.transfer_to_receiver()
            self.assertTrue(pair.closed)
            self.assertEqual([HELLO], pair.received)

    def test_oversized_frame_closes_the_stream(self):
        """Guards against unbounded memory use because of the announced length of a frame."""
        pair = StreamPair()
        pair.receiver.dataReceived((stream.FRAME_BYTES_MAX + 1).to_bytes(4, "big"))
        self.assertTrue(pair.closed)

    def test_short_nonce_closes_the_stream(self):
        """Guards against a short nonce, which would allow replay on another connection."""
        receiver = stream.PeerReceiver(secrets=(FIRST_SECRET,), on_message=lambda *_: None)
        transport = testing.StringTransport()
        transport.setTcpNoDelay = lambda _: None
        receiver.makeConnection(transport)
        receiver.dataReceived(b"\x00\x00\x00\x01x")
        self.assertTrue(transport.disconnected or transport.disconnecting)

    def test_messages_are_dropped_while_the_peer_does_not_read(self):
        """Guards against a send buffer that grows while a peer is suspended."""
        pair = StreamPair()
        pair.sender.pauseProducing()
        pair.sender.send(messages.Deputize("s", 3))
        self.assertEqual(b"", pair.to_receiver.value())
        pair.sender.resumeProducing()
        pair.sender.send(messages.Deputize("s", 4))
        pair.transfer_to_receiver()
        self.assertEqual(messages.Deputize("s", 4), pair.received[-1])


class CodecTest(testtools.TestCase):
    def test_every_message_survives_the_round_trip(self):
        """Guards against messages whose field types change when they are decoded."""
        from celerystack import model

        lessor = model.LessorRef("a", "1")
        samples = [
            HELLO,
            messages.Heartbeat(digest=(1 << 64) - 1, config_version=3, stamp=1.5, echo_stamp=2.0),
            messages.RowVersions({"a": 1}),
            messages.RowsWanted(("a", "b")),
            messages.Rows((("a", 1, b"x"), ("b", 2, None))),
            messages.PromiseRequest("s", 1),
            messages.PromiseReply(
                server="s",
                token=1,
                lessor=lessor,
                promised=True,
                remaining_s=0.5,
                deputies=(lessor,),
            ),
            messages.Claim(request="r", claimant="a", remaining_ms=5, attempt=7),
            messages.ClaimReply("r", messages.ClaimState.RUNNING, 7),
            messages.ClaimResult("r", messages.ClaimState.NOT_RUN),
        ]
        for sample in samples:
            self.assertEqual(sample, codec.decode(codec.encode(sample), peer="p"))

    def test_nonces_differ(self):
        """Guards against frames that are valid on two connections because the nonces are equal."""
        self.assertNotEqual(auth.new_nonce(), auth.new_nonce())
