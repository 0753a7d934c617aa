"""Claims of request ids by the forwarder: made once, before the send, and always finished."""

from __future__ import annotations

from celerystack import errors
from celerystack.peers import messages
from standins import scripted_backend as backend_fakes
from tests.requests import cases, fakes

REQUEST_ID_HEADERS = ((b"X-Request-Id", b"r1"),)
DESK_PATH = "/filing/desk/x"


class ClaimTest(cases.HarnessTestCase):
    async def test_claimed_in_the_owners_zone_before_the_send(self):
        """Guards against sending a request without a claim, and against an unfinished claim."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: (
            self.assertEqual(len(harness.claims.claimed), 1),
            r.connection.send(backend_fakes.answer()),
        )
        await harness.call(method="POST", headers=REQUEST_ID_HEADERS)
        self.assertEqual(harness.claims.claimed, [("r1", ("z1",))])
        self.assertEqual(harness.claims.finished, [("r1", ("z1",), messages.ClaimState.ANSWERED)])

    async def test_no_claim_without_need(self):
        """Guards against claims for idempotent requests and for requests without an id."""
        harness, _ = await self.harness()
        await harness.call(headers=REQUEST_ID_HEADERS)
        await harness.call(method="POST")
        self.assertEqual((harness.claims.claimed, harness.claims.finished), ([], []))

    async def test_undivided_service_has_no_owner_zone(self):
        """Guards against a home zone that depends on the server that was chosen."""
        harness, _ = await self.harness(service=fakes.DESK)
        await harness.call(DESK_PATH, method="POST", headers=REQUEST_ID_HEADERS)
        self.assertEqual(harness.claims.claimed, [("r1", ())])

    async def test_earlier_claim(self):
        """Guards against running a request again when its id is repeated."""
        harness, (server,) = await self.harness()
        for state in (
            messages.ClaimState.RUNNING,
            messages.ClaimState.ANSWERED,
            messages.ClaimState.UNKNOWN,
        ):
            harness.claims.state = state
            response = await harness.call(method="POST", headers=REQUEST_ID_HEADERS)
            self.assert_outcome(response, 409, b"unknown")
            self.assertEqual(response.header(b"x-celerystack-claim"), state.value.encode())
        self.assertEqual((server.requests, harness.claims.finished), ([], []))

    async def test_claim_fails(self):
        """Guards against sending a request although a holder did not accept the claim."""
        harness, (server,) = await self.harness()
        harness.claims.error = errors.PeerError("no answer", step="claim")
        response = await harness.call(method="POST", headers=REQUEST_ID_HEADERS)
        self.assert_outcome(response, 503, b"not-run")
        self.assertEqual((server.requests, harness.claims.finished), ([], []))

    async def test_caller_gone_after_the_send(self):
        """Guards against releasing the claim of a request that may have run."""
        harness, (server,) = await self.harness()
        server.handler = lambda r: None
        sent = harness.call(method="POST", headers=REQUEST_ID_HEADERS)
        sent.addErrback(lambda _: None)
        await backend_fakes.wait_until(until=lambda: server.requests)
        sent.cancel()
        await backend_fakes.wait_until(until=lambda: harness.claims.finished)
        self.assertEqual(harness.claims.finished[0][2], messages.ClaimState.UNKNOWN)

    async def test_caller_gone_before_the_send(self):
        """Guards against blocking an id whose request was never sent."""
        harness, (server,) = await self.harness()
        harness.routes.permitted = False
        sent = harness.call(method="POST", headers=REQUEST_ID_HEADERS)
        sent.addErrback(lambda _: None)
        await backend_fakes.wait_until(until=lambda: harness.claims.claimed)
        await backend_fakes.sleep(0.1)
        sent.cancel()
        await backend_fakes.wait_until(until=lambda: harness.claims.finished)
        self.assertEqual(harness.claims.finished[0][2], messages.ClaimState.NOT_RUN)
        self.assertEqual(server.bytes_received, 0)

    async def test_one_claim_for_several_attempts(self):
        """Guards against a retry that claims its id again and is refused by its own claim."""
        harness, (server,) = await self.harness()
        server.script_answers(backend_fakes.refusal(b"no-lease"), backend_fakes.answer())
        self.assert_outcome(
            await harness.call(method="POST", headers=REQUEST_ID_HEADERS), 200, b"answered"
        )
        self.assertEqual((len(harness.claims.claimed), len(harness.claims.finished)), (1, 1))
