"""Guards against fields that are lost or changed between an entry VM and a queue owner."""

import testtools

from celerystack import errors, ids
from celerystack.backend import http
from celerystack.forwarding import messages
from tests.ranges import fakes

CALL = messages.ForwardedCall(
    number=3,
    request_id=ids.RequestId("r"),
    service=fakes.SERVICE,
    route="view",
    priority=1,
    idempotent=True,
    target_latency_s=0.4,
    timeout_s=2.0,
    attempts_max=2,
    method=b"POST",
    target=b"/a?b",
    headers=((b"host", b"h"), (b"x", b"\xff")),
    body=b"\x00body",
    key=7,
    age_s=0.1,
    repeats_for_s=0.7,
    remaining_s=1.5,
    tried=(fakes.incarnation("a"),),
)
RESPONSE = http.HttpResponse(status=200, reason=b"OK", headers=((b"x", b"y"),), body=b"\x00")
MESSAGES = (
    CALL,
    messages.CancelledCall(3),
    messages.Result(
        number=3,
        kind=messages.ResultKind.ANSWERED,
        incarnation=fakes.incarnation("a"),
        response=RESPONSE,
    ),
    messages.Result(number=4, kind=messages.ResultKind.REFUSED, reason="full", retry_after_s=0.5),
    messages.Result(number=5, kind=messages.ResultKind.UNKNOWN, reason="reset", is_broken=True),
    *messages.Signal,
)


class MessagesTest(testtools.TestCase):
    def test_messages_survive_encoding(self):
        """Guards against fields that the encoder and the decoder treat differently."""
        for message in MESSAGES:
            self.assertEqual(message, messages.decode(messages.encode(message), peer="p"))

    def test_malformed_frame_is_an_error(self):
        """Guards against decoding errors of other types, which end the stream's task."""
        for data in (b"", b"\xc1", b"\x91\xa3abc", messages.encode(CALL)[:-2]):
            self.assertRaises(errors.BadFrameError, messages.decode, data, peer="p")
