"""Forwarder: holds, refusals, retries, claims, losses and queueing behind the front end."""

from __future__ import annotations

import dataclasses
import time

from celerystack import errors, ids, model, timing
from celerystack.peers import messages
from tests.backend import fakes as backend_fakes
from tests.requests import cases, fakes

ID = ((b"X-Request-Id", b"r1"),)
DESK = "/filing/desk/x"


def short(ms: int) -> tuple[tuple[bytes, bytes], ...]:
    return ((b"X-Deadline-Ms", b"%d" % ms),)


class PlainTest(cases.RigTestCase):
    async def test_answer_and_headers(self):
        """Guards against lost bodies and missing ownership headers."""
        rig, (server,) = await self.rig()
        response = await rig.call(method="POST", body=b"hello")
        self.assert_outcome(response, 200, b"answered")
        self.assertEqual(response.body, b"ok")
        request = server.requests[0]
        self.assertEqual(request.line, b"POST /atlas/browse/k1/x HTTP/1.1")
        self.assertEqual(request.body, b"hello")
        self.assertEqual(request.header(b"X-Celerystack-Service"), b"atlas-browse")
        self.assertEqual(request.header(b"X-Celerystack-Key"), b"k1")
        self.assertEqual(request.header(b"X-Celerystack-Shard"), b"3")
        self.assertEqual(request.header(b"X-Celerystack-Epoch"), b"7")

    async def test_connections_are_kept(self):
        """Guards against a new backend connection for every request."""
        rig, (server,) = await self.rig()
        for _ in range(5):
            await rig.call()
        self.assertEqual(server.accepted, 1)

    async def test_large_answer_is_streamed(self):
        """Guards against lost or reordered bytes of an answer above the whole-read bound."""
        rig, (server,) = await self.rig()
        body = bytes(range(256)) * 4096
        server.answers(backend_fakes.answer(body))
        response = await rig.call()
        self.assert_outcome(response, 200, b"answered")
        self.assertEqual(response.body, body)
        self.assertEqual(rig.forwarder.in_flight("a0"), ())


class HoldTest(cases.RigTestCase):
    async def test_held_while_moving(self):
        """Guards against a failure of a request whose shard is being moved."""
        rig, (_, target) = await self.rig(servers=2)
        rig.routes.change(model.Moving(ids.ShardId(3)))
        sent = rig.call(method="POST")
        await backend_fakes.sleep(0.1)
        rig.routes.change(rig.routes.to("a1", epoch=8))
        self.assert_outcome(await sent, 200, b"answered")
        self.assertEqual(target.requests[0].header(b"X-Celerystack-Epoch"), b"8")

    async def test_move_that_lasts(self):
        """Guards against a hold beyond its bound, also when unrelated routes change."""
        rig, _ = await self.rig()
        rig.routes.change(model.Moving(ids.ShardId(3)))
        started = time.monotonic()
        sent = rig.call(method="POST", headers=short(4000))
        for _ in range(5):
            await backend_fakes.sleep(0.15)
            rig.routes.wake()
        self.assert_outcome(await sent, 503, b"not-run")
        held_s = time.monotonic() - started
        self.assertGreaterEqual(held_s, timing.HOLD_MAX_S)
        self.assertLess(held_s, timing.HOLD_MAX_S + 0.5)

    async def test_no_owner_until_the_deadline(self):
        """Guards against giving up before a takeover that comes in time."""
        rig, (_, heir) = await self.rig(servers=2)
        rig.routes.change(model.NoOwner(ids.ShardId(3)))
        sent = rig.call(method="POST", headers=short(3000))
        await backend_fakes.sleep(1.3)
        rig.routes.change(rig.routes.to("a1"))
        self.assert_outcome(await sent, 200, b"answered")
        self.assertEqual(len(heir.requests), 1)

    async def test_no_owner_at_the_deadline(self):
        """Guards against a wait past the deadline."""
        rig, _ = await self.rig()
        rig.routes.change(model.NoOwner(ids.ShardId(3)))
        started = time.monotonic()
        self.assert_outcome(await rig.call(headers=short(100)), 503, b"not-run")
        self.assertLess(time.monotonic() - started, 0.6)

    async def test_undeclared_owner_is_held(self):
        """Guards against an error while the configuration lags behind the shard map."""
        rig, _ = await self.rig()
        rig.routes.change(rig.routes.to("unheard-of"))
        self.assert_outcome(await rig.call(headers=short(100)), 503, b"not-run")

    async def test_permission_withdrawn(self):
        """Guards against a write to a server that section 4.6 forbids."""
        rig, (server,) = await self.rig()
        rig.routes.permitted = False
        sent = rig.call(method="POST", headers=ID)
        await backend_fakes.sleep(0.2)
        self.assertEqual(server.bytes_received, 0)
        rig.routes.permitted = True
        rig.routes.wake()
        self.assert_outcome(await sent, 200, b"answered")
        self.assertEqual(len(server.requests), 1)


class RefusalTest(cases.RigTestCase):
    async def test_stale_epoch_and_no_lease_wait(self):
        """Guards against an error for a request that a change of routes can still serve."""
        for kind in (b"stale-epoch", b"no-lease", b"draining"):
            rig, (server,) = await self.rig()
            refusal = backend_fakes.refusal(kind)
            server.answers(refusal, refusal, backend_fakes.answer(b"done"))
            response = await rig.call(method="POST", headers=ID)
            self.assert_outcome(response, 200, b"answered")
            self.assertEqual(len(server.requests), 3)

    async def test_refused_until_the_deadline(self):
        """Guards against a storm of attempts, and against an unknown outcome of refusals."""
        rig, (server,) = await self.rig()
        server.answers(backend_fakes.refusal(b"no-lease"))
        response = await rig.call(method="POST", headers=(*ID, *short(1000)))
        self.assert_outcome(response, 503, b"not-run")
        self.assertLess(len(server.requests), 15)
        self.assertEqual(rig.claims.finished[0][2], messages.ClaimState.NOT_RUN)

    async def test_change_of_routes_ends_the_wait(self):
        """Guards against waiting out the delay when the new route is known."""
        rig, (old, new) = await self.rig(servers=2)
        old.answers(backend_fakes.refusal(b"stale-epoch"))
        sent = rig.call(method="POST")
        await backend_fakes.settle(until=lambda: old.requests)
        rig.routes.change(rig.routes.to("a1"))
        self.assert_outcome(await sent, 200, b"answered")
        self.assertEqual(len(new.requests), 1)

    async def test_draining_and_shedding_use_another_server(self):
        """Guards against returning to a server that refuses while others are free."""
        for kind in (b"draining", b"shedding"):
            rig, (first, second) = await self.rig(servers=2, service=fakes.DESK)
            first.answers(backend_fakes.refusal(kind))
            self.assert_outcome(await rig.call(DESK, method="POST"), 200, b"answered")
            self.assertEqual((len(first.requests), len(second.requests)), (1, 1))

    async def test_shedding_needs_the_budget(self):
        """Guards against retries that multiply the load of an overloaded service."""
        rig, (first, second) = await self.rig(servers=2, service=fakes.DESK)
        rig.budget.retries = 0
        first.answers(backend_fakes.refusal(b"shedding"))
        self.assert_outcome(await rig.call(DESK, method="POST"), 503, b"not-run")
        self.assertEqual(second.requests, [])

    async def test_deadline_refusal_is_final(self):
        """Guards against retrying what the server has found to be too late."""
        rig, (server,) = await self.rig()
        server.answers(backend_fakes.refusal(b"deadline"))
        self.assert_outcome(await rig.call(), 503, b"not-run")
        self.assertEqual(len(server.requests), 1)

    async def test_unknown_refusal_is_unknown(self):
        """Guards against a not-run that rests on a reason nobody has defined."""
        rig, (server,) = await self.rig()
        server.answers(backend_fakes.refusal(b"mood"))
        self.assert_outcome(await rig.call(method="POST"), 502, b"unknown")
        self.assertEqual(len(server.requests), 1)

    async def test_plain_409_and_503_are_answers(self):
        """Guards against taking the application's own status for a refusal."""
        for status in (b"409 Conflict", b"503 Service Unavailable"):
            rig, (server,) = await self.rig()
            server.answers(backend_fakes.answer(b"mine", status=status))
            response = await rig.call(method="POST")
            self.assert_outcome(response, int(status[:3]), b"answered")
            self.assertEqual(response.body, b"mine")

    async def test_refusal_header_on_another_status_is_an_answer(self):
        """Guards against a second run of a request that the server says it completed."""
        rig, (server,) = await self.rig()
        header = b"X-Celerystack-Refusal: no-lease\r\n"
        server.answers(backend_fakes.answer(b"ran", headers=header))
        response = await rig.call(method="POST")
        self.assert_outcome(response, 200, b"answered")
        self.assertIsNone(response.header(b"x-celerystack-refusal"))
        self.assertEqual(len(server.requests), 1)


class RetryTest(cases.RigTestCase):
    async def test_refused_connection_waits_for_the_new_owner(self):
        """Guards against a failure in the time between a server's death and its takeover."""
        rig, (dead, heir) = await self.rig(servers=2)
        await dead.stop_listening()
        sent = rig.call(method="POST", headers=ID)
        await backend_fakes.sleep(0.3)
        rig.routes.change(rig.routes.to("a1"))
        self.assert_outcome(await sent, 200, b"answered")
        self.assertEqual(len(heir.requests), 1)

    async def test_refused_connection_uses_another_server(self):
        """Guards against a failure while other servers of the service are free."""
        rig, (dead, other) = await self.rig(servers=2, service=fakes.DESK)
        await dead.stop_listening()
        self.assert_outcome(await rig.call(DESK, method="POST"), 200, b"answered")
        self.assertEqual(len(other.requests), 1)

    async def test_post_is_sent_once_when_the_connection_breaks(self):
        """Guards against a second run of a non-idempotent request."""
        partial = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"
        scripts = (
            lambda r: r.connection.abort(),
            lambda r: r.connection.close(),
            lambda r: (r.connection.send(partial), r.connection.close()),
            lambda r: r.connection.send(b"garbage\r\n\r\n"),
        )
        for script in scripts:
            rig, (first, second) = await self.rig(servers=2, service=fakes.DESK)
            first.handler = script
            response = await rig.call(DESK, method="POST", headers=ID)
            self.assert_outcome(response, 502, b"unknown")
            self.assertEqual((len(first.requests), len(second.requests)), (1, 0))
            self.assertEqual(rig.claims.finished[0][2], messages.ClaimState.UNKNOWN)

    async def test_get_is_retried_on_another_server(self):
        """Guards against a failure of an idempotent request that another server can answer."""
        rig, (first, second) = await self.rig(servers=2, service=fakes.DESK)
        partial = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"
        first.handler = lambda r: (r.connection.send(partial), r.connection.close())
        response = await rig.call(DESK)
        self.assert_outcome(response, 200, b"answered")
        self.assertEqual((len(first.requests), len(second.requests)), (1, 1))

    async def test_never_again_on_the_server_that_died(self):
        """Guards against a request that crashes its server again when that has restarted."""
        rig, (server,) = await self.rig()
        server.handler = lambda r: r.connection.abort()
        response = await rig.call(headers=short(400))
        self.assert_outcome(response, 504, b"unknown")
        self.assertEqual(len(server.requests), 1)

    async def test_get_goes_to_the_new_owner(self):
        """Guards against a failure of an idempotent request that the new owner can answer."""
        rig, (dead, heir) = await self.rig(servers=2)
        dead.handler = lambda r: r.connection.abort()
        sent = rig.call()
        await backend_fakes.sleep(0.2)
        rig.routes.change(rig.routes.to("a1"))
        self.assert_outcome(await sent, 200, b"answered")
        self.assertEqual((len(dead.requests), len(heir.requests)), (1, 1))

    async def test_budget(self):
        """Guards against retries beyond the budget."""
        rig, (first, second) = await self.rig(servers=2, service=fakes.DESK)
        rig.budget.retries = 0
        first.handler = lambda r: r.connection.abort()
        self.assert_outcome(await rig.call(DESK), 502, b"unknown")
        self.assertEqual(second.requests, [])

    async def test_declared_idempotent_method_is_retried(self):
        """Guards against ignoring the service's declaration."""
        rig, (first, second) = await self.rig(servers=2, service=fakes.DESK)
        first.handler = lambda r: r.connection.abort()
        response = await rig.call(DESK, method="PUT")
        self.assert_outcome(response, 502, b"unknown")
        declared = dataclasses.replace(fakes.DESK, idempotent_methods=("GET", "PUT"))
        rig.routes.service_for = lambda path: declared
        response = await rig.call(DESK, method="PUT")
        self.assert_outcome(response, 200, b"answered")
        self.assertEqual(len(second.requests), 1)

    async def test_stalled_server(self):
        """Guards against a wait past the deadline, and against a false not-run after the send."""
        rig, (server,) = await self.rig()
        server.handler = lambda r: None
        started = time.monotonic()
        response = await rig.call(method="POST", headers=short(200))
        self.assert_outcome(response, 504, b"unknown")
        self.assertLess(time.monotonic() - started, 1.0)
        await backend_fakes.settle(until=lambda: not server.connections)


class ClaimTest(cases.RigTestCase):
    async def test_claimed_in_the_owners_zone_before_the_send(self):
        """Guards against a run without a claim, and against a claim that is never finished."""
        rig, (server,) = await self.rig()
        server.handler = lambda r: (
            self.assertEqual(len(rig.claims.claimed), 1),
            r.connection.send(backend_fakes.answer()),
        )
        await rig.call(method="POST", headers=ID)
        self.assertEqual(rig.claims.claimed, [("r1", "z1")])
        self.assertEqual(rig.claims.finished, [("r1", "z1", messages.ClaimState.ANSWERED)])

    async def test_no_claim_without_need(self):
        """Guards against claims for idempotent requests and for requests without an id."""
        rig, _ = await self.rig()
        await rig.call(headers=ID)
        await rig.call(method="POST")
        self.assertEqual((rig.claims.claimed, rig.claims.finished), ([], []))

    async def test_undivided_service_has_no_owner_zone(self):
        """Guards against a home zone that depends on the server that was chosen."""
        rig, _ = await self.rig(service=fakes.DESK)
        await rig.call(DESK, method="POST", headers=ID)
        self.assertEqual(rig.claims.claimed, [("r1", None)])

    async def test_earlier_claim(self):
        """Guards against a second run of a repeated id."""
        rig, (server,) = await self.rig()
        for state in (
            messages.ClaimState.RUNNING,
            messages.ClaimState.ANSWERED,
            messages.ClaimState.UNKNOWN,
        ):
            rig.claims.state = state
            response = await rig.call(method="POST", headers=ID)
            self.assert_outcome(response, 409, b"unknown")
            self.assertEqual(response.header(b"x-celerystack-claim"), state.value.encode())
        self.assertEqual((server.requests, rig.claims.finished), ([], []))

    async def test_claim_fails(self):
        """Guards against a send without the consent of every holder."""
        rig, (server,) = await self.rig()
        rig.claims.error = errors.PeerError("no answer", step="claim")
        response = await rig.call(method="POST", headers=ID)
        self.assert_outcome(response, 503, b"not-run")
        self.assertEqual((server.requests, rig.claims.finished), ([], []))

    async def test_caller_gone_after_the_send(self):
        """Guards against releasing the claim of a request that may have run."""
        rig, (server,) = await self.rig()
        server.handler = lambda r: None
        sent = rig.call(method="POST", headers=ID)
        sent.addErrback(lambda _: None)
        await backend_fakes.settle(until=lambda: server.requests)
        sent.cancel()
        await backend_fakes.settle(until=lambda: rig.claims.finished)
        self.assertEqual(rig.claims.finished[0][2], messages.ClaimState.UNKNOWN)

    async def test_caller_gone_before_the_send(self):
        """Guards against blocking an id whose request was never sent."""
        rig, (server,) = await self.rig()
        rig.routes.permitted = False
        sent = rig.call(method="POST", headers=ID)
        sent.addErrback(lambda _: None)
        await backend_fakes.settle(until=lambda: rig.claims.claimed)
        await backend_fakes.sleep(0.1)
        sent.cancel()
        await backend_fakes.settle(until=lambda: rig.claims.finished)
        self.assertEqual(rig.claims.finished[0][2], messages.ClaimState.NOT_RUN)
        self.assertEqual(server.bytes_received, 0)

    async def test_one_claim_for_several_attempts(self):
        """Guards against a request that is refused by its own claim."""
        rig, (server,) = await self.rig()
        server.answers(backend_fakes.refusal(b"no-lease"), backend_fakes.answer())
        self.assert_outcome(await rig.call(method="POST", headers=ID), 200, b"answered")
        self.assertEqual((len(rig.claims.claimed), len(rig.claims.finished)), (1, 1))


class LossTest(cases.RigTestCase):
    async def in_flight(self, rig, server, count):
        server.handler = lambda r: None
        sent = [
            rig.call(f"/atlas/browse/k1/{index}", method="POST", wait=10) for index in range(count)
        ]
        await backend_fakes.settle(until=lambda: len(server.requests) == count)
        return sent

    async def test_all_in_flight_are_reported_as_one_loss(self):
        """Guards against counting one loss per broken connection."""
        rig, (server,) = await self.rig()
        sent = await self.in_flight(rig, server, 2)
        server.kill()
        for d in sent:
            self.assert_outcome(await d, 502, b"unknown")
        await backend_fakes.settle(until=lambda: rig.losses.lost)
        await backend_fakes.sleep(0.1)
        self.assertEqual(len(rig.losses.lost), 1)
        server_id, fingerprints = rig.losses.lost[0]
        self.assertEqual((server_id, len(fingerprints)), ("a0", 2))

    async def test_one_broken_connection_is_no_loss(self):
        """Guards against quarantine because of a single connection that broke."""
        rig, (server,) = await self.rig()
        sent = await self.in_flight(rig, server, 2)
        server.requests[0].connection.abort()
        self.assert_outcome(await sent[0], 502, b"unknown")
        await backend_fakes.sleep(0.15)
        self.assertEqual(rig.losses.lost, [])
        server.requests[1].connection.send(backend_fakes.answer())
        self.assert_outcome(await sent[1], 200, b"answered")

    async def test_idle_close_is_no_loss(self):
        """Guards against quarantine because a server closed a kept connection."""
        rig, (server,) = await self.rig()
        await rig.call()
        server.handler = lambda r: r.connection.close()
        self.assert_outcome(await rig.call(method="POST"), 502, b"unknown")
        await backend_fakes.sleep(0.2)
        self.assertEqual(rig.losses.lost, [])

    async def test_loss_on_a_kept_connection(self):
        """Guards against missing a loss because its connection was a kept one."""
        rig, (server,) = await self.rig()
        await rig.call()
        await server.stop_listening()
        server.handler = lambda r: r.connection.abort()
        self.assert_outcome(await rig.call(method="POST"), 502, b"unknown")
        await backend_fakes.settle(until=lambda: rig.losses.lost)

    async def test_quarantined(self):
        """Guards against sending a request that is known to crash servers."""
        rig, (server,) = await self.rig()
        rig.losses.is_quarantined = lambda fingerprint: True
        self.assert_outcome(await rig.call(), 503, b"not-run")
        self.assertEqual(server.requests, [])

    async def test_takeover(self):
        """Guards against requests that wait for a server that was taken over."""
        rig, (old, heir) = await self.rig(servers=2)
        old.handler = lambda r: None
        post = rig.call(method="POST", wait=10)
        get = rig.call(wait=10)
        await backend_fakes.settle(until=lambda: len(old.requests) == 2)
        self.assertEqual(len(rig.forwarder.in_flight("a0")), 2)
        started = time.monotonic()
        rig.routes.change(rig.routes.to("a1"))
        rig.forwarder.server_lost("a0")
        self.assert_outcome(await post, 502, b"unknown")
        self.assert_outcome(await get, 200, b"answered")
        self.assertLess(time.monotonic() - started, 0.5)
        self.assertEqual([r.line[:3] for r in heir.requests], [b"GET"])
        self.assertEqual(rig.forwarder.in_flight("a0"), ())

    async def test_new_address(self):
        """Guards against interrupting requests in flight at a server's former address."""
        rig, (old, new) = await self.rig(servers=2)
        (first,) = await self.in_flight(rig, old, 1)
        rig.routes.servers_by_id["a0"] = fakes.server("a0", new.address)
        self.assert_outcome(await rig.call(method="POST"), 200, b"answered")
        self.assertEqual((len(old.requests), len(new.requests)), (1, 1))
        self.assertEqual(len(rig.forwarder.in_flight("a0")), 1)
        old.requests[0].connection.send(backend_fakes.answer(b"old"))
        self.assertEqual((await first).body, b"old")
        self.assertEqual(rig.forwarder.in_flight("a0"), ())


class QueueTest(cases.RigTestCase):
    async def test_waiting_requests_are_bounded_by_the_limit(self):
        """Guards against more requests at a server than the concurrency limit."""
        rig, (server,) = await self.rig()
        server.handler = lambda r: None
        running = [rig.call(method="POST", headers=short(2000)) for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(server.requests) == 2)
        sent = [rig.call(method="POST", headers=short(300)) for _ in range(4)]
        answers = [await d for d in (*sent, *running)]
        self.assertEqual(len(server.requests), 2)
        outcomes = sorted(a.header(b"x-celerystack-outcome") for a in answers)
        self.assertEqual(outcomes, [b"not-run"] * 4 + [b"unknown"] * 2)

    async def test_route_changes_while_waiting(self):
        """Guards against a write to a server that lost the key while the request waited for it."""
        rig, (old, new) = await self.rig(servers=2)
        old.handler = lambda r: None
        first = [rig.call(method="POST") for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(old.requests) == 2)
        waiting = [rig.call("/atlas/browse/k1/waiting", method="POST") for _ in range(3)]
        await backend_fakes.sleep(0.05)
        rig.routes.change(rig.routes.to("a1", epoch=8))
        for request in old.requests[:]:
            request.connection.send(backend_fakes.answer())
        for d in (*first, *waiting):
            self.assert_outcome(await d, 200, b"answered")
        self.assertEqual((len(old.requests), len(new.requests)), (2, 3))

    async def test_server_leaves_while_waiting(self):
        """Guards against new work for a server that became unusable while a request waited."""
        rig, (old, new) = await self.rig(servers=2, service=fakes.DESK)
        old.handler = lambda r: None
        first = [rig.call(DESK, method="POST") for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(old.requests) == 2)
        waiting = rig.call(DESK, method="POST")
        await backend_fakes.sleep(0.05)
        del rig.routes.servers_by_id["a0"]
        for request in old.requests[:]:
            request.connection.send(backend_fakes.answer())
        for d in (*first, waiting):
            self.assert_outcome(await d, 200, b"answered")
        self.assertEqual((len(old.requests), len(new.requests)), (2, 1))

    async def test_forgotten_server(self):
        """Guards against interrupting or stranding requests at a server that was undeclared."""
        rig, (old, _) = await self.rig(servers=2, service=fakes.DESK)
        rig.budget.retries = 0
        old.handler = lambda r: None
        first = [rig.call(DESK, method="POST") for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(old.requests) == 2)
        waiting = rig.call(DESK, method="POST")
        await backend_fakes.sleep(0.05)
        del rig.routes.servers_by_id["a0"]
        rig.forwarder.forget("a0")
        self.assert_outcome(await waiting, 200, b"answered")
        self.assertEqual(len(rig.forwarder.in_flight("a0")), 2)
        for request in old.requests:
            request.connection.send(backend_fakes.answer())
        for d in first:
            self.assert_outcome(await d, 200, b"answered")
        await backend_fakes.settle(until=lambda: not old.connections)

    async def test_earlier_deadline_goes_first(self):
        """Guards against first come, first served when deadlines differ."""
        rig, (server,) = await self.rig()
        server.handler = lambda r: None
        first = [rig.call(method="POST") for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(server.requests) == 2)
        patient = rig.call("/atlas/browse/k1/patient", headers=short(5000))
        await backend_fakes.sleep(0.05)
        urgent = rig.call("/atlas/browse/k1/urgent", headers=short(3000))
        await backend_fakes.sleep(0.05)
        server.handler = lambda r: r.connection.send(backend_fakes.answer(r.line))
        server.requests[0].connection.send(backend_fakes.answer())
        await urgent
        await patient
        self.assertIn(b"urgent", server.requests[2].line)
        server.requests[1].connection.send(backend_fakes.answer())
        for d in first:
            self.assert_outcome(await d, 200, b"answered")

    async def test_without_a_share_nothing_is_sent(self):
        """Guards against connections of a newcomer before its peers have shrunk."""
        rig, (server,) = await self.rig()
        rig.forwarder.set_entry_vms(0)
        self.assert_outcome(await rig.call(headers=short(100)), 503, b"not-run")
        self.assertEqual(server.accepted, 0)
        sent = rig.call()
        rig.forwarder.set_entry_vms(10)
        self.assert_outcome(await sent, 200, b"answered")

    async def test_many_queued_failures_do_not_exhaust_the_stack(self):
        """Guards against recursion through the queue when every attempt ends at once."""
        rig, (server,) = await self.rig()
        server.handler = lambda r: None
        rig.pool.set_limit(400)
        first = [rig.call(method="POST", wait=10) for _ in range(2)]
        await backend_fakes.settle(until=lambda: len(server.requests) == 2)
        sent = [rig.call(method="POST", headers=short(1500), wait=10) for _ in range(300)]
        await backend_fakes.sleep(0.5)
        rig.routes.permitted = False
        for request in server.requests:
            request.connection.send(backend_fakes.answer())
        for d in first:
            self.assert_outcome(await d, 200, b"answered")
        for d in sent:
            self.assert_outcome(await d, 503, b"not-run")
        self.assertEqual(len(server.requests), 2)
