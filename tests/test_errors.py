from __future__ import annotations

import testtools

from celerystack import errors


class ErrorsTest(testtools.TestCase):
    def test_message_names_step_and_peer(self) -> None:
        """Guards against an error message without the step and the peer."""
        error = errors.PeerError("stream closed", step="peers.read", peer="10.0.0.1:7000")
        self.assertEqual("peers.read [10.0.0.1:7000]: stream closed", str(error))
