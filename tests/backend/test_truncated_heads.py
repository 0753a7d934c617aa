"""Guards against a response whose head was cut and that is taken for a whole one without a body."""

from __future__ import annotations

from celerystack import errors
from standins import scripted_backend
from tests.backend import test_client

HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Celerystack-Request-Attempt-Id: 9c41\r\n"
    b"Celerystack-Server-Signature: 3e1b\r\n"
    b"Content-Length: 4\r\n"
    b"\r\n"
)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class TruncatedHeadTest(test_client.ClientTestCase):
    def send_and_close(self, data):
        def script(request: scripted_backend.Received) -> None:
            request.connection.send(data)
            request.connection.close()

        return script

    async def expect_no_answer(self, data):
        pool = self.pool(self.server(self.send_and_close(data)))
        sent = pool.exchange(
            test_client.GET, deadline=test_client.deadline_in(), allow_close_delimited=True
        )
        await self.expect_failure(sent, errors.BackendError)

    async def test_server_closes_within_the_head(self):
        """Guards against a 200 with an empty or short body, framed as whole by this side."""
        for end in range(len(HEAD)):
            await self.expect_no_answer(HEAD[:end])

    async def test_server_closes_within_the_head_after_an_interim_response(self):
        """Guards against the same where an earlier head was whole."""
        for end in range(0, len(HEAD), 7):
            await self.expect_no_answer(INTERIM + HEAD[:end])

    async def test_server_closes_within_the_body(self):
        """Guards against a body that is shorter than its stated length."""
        await self.expect_no_answer(HEAD + b"abc")
