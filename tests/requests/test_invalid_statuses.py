"""Servers that answer with a value that is no status, behind a front end."""

from celerystack import model
from standins import scripted_backend
from tests.requests import cases

STATUSES = (b"000 Nothing", b"042 Low", b"600 High", b"999 High", b"2000 Long", b"101 Switch")


class InvalidStatusTest(cases.HarnessTestCase):
    async def test_caller_gets_an_unknown_outcome(self):
        """Guards against a caller that receives a value that is no status as its answer."""
        harness, (backend,) = await self.harness()
        for status in STATUSES:
            backend.script_answers(scripted_backend.answer(status=status))
            response = await harness.call(method="POST")
            self.assert_outcome(response, 502, model.Outcome.UNKNOWN.value.encode())
