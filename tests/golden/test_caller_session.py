"""Compares the bytes of caller connections and of the server requests with a transcript."""

from __future__ import annotations

import re
import time
from collections.abc import Callable

from twisted.internet import defer

from celerystack import ids, model
from celerystack.requests import callerhttp, claims, dispatch, quarantine
from standins import scripted_backend as backend_fakes
from tests.golden import transcripts
from tests.requests import cases, fakes

ME = ids.EntryVmId("e1")
GET = b"GET /atlas/browse/k1/page HTTP/1.1\r\nHost: router\r\n"
POST = b"POST /atlas/browse/k1/order HTTP/1.1\r\nHost: router\r\nContent-Length: 3\r\n"
CLOSE = b"Connection: close\r\n"


class ClaimPort:
    """Request-id claims with this entry VM as the only holder."""

    def __init__(self) -> None:
        self.table = claims.ClaimTable()

    def claim(self, request_id, home_zones, deadline):
        return defer.succeed(self.table.claim(request_id, ME, deadline, time.monotonic()))

    def record_final_state(self, request_id, home_zones, state):
        self.table.record_final_state(request_id, state, time.monotonic(), claimant=ME)


class LossPort:
    """Quarantine of one entry VM without peers; every server loss is of a new incarnation."""

    def __init__(self) -> None:
        self.losses = 0
        self.quarantine = quarantine.Quarantine()

    def record_loss(self, server_id, fingerprints_in_flight):
        self.losses += 1
        incarnation = ids.Incarnation(f"p{self.losses}")
        self.quarantine.record_loss(server_id, incarnation, fingerprints_in_flight, 0.0)

    def record_completion(self, fingerprint):
        self.quarantine.record_completion(fingerprint, 0.0)

    def is_quarantined(self, fingerprint):
        return self.quarantine.is_quarantined(fingerprint, 0.0)


class CallerSessionTest(cases.HarnessTestCase):
    async def open_session(self) -> None:
        limits = callerhttp.Limits(body_bytes_max=1000)
        self.router, self.servers = await self.harness(servers=2, limits=limits)
        claim_port, self.losses = ClaimPort(), LossPort()
        self.router.claims.claim, self.router.claims.record_final_state = (
            claim_port.claim,
            claim_port.record_final_state,
        )
        for name in ("record_loss", "record_completion", "is_quarantined"):
            setattr(self.router.losses, name, getattr(self.losses, name))
        self.parts: list[str] = []

    def shown(self, data: bytes) -> str:
        """Replace values that differ between runs (addresses, times, dates) by placeholders."""
        for index, server in enumerate(self.servers):
            data = data.replace(server.address.encode(), b"<address of a%d>" % index)
        data = re.sub(rb"(?i)(x-celerystack-deadline-ms: )\d+", rb"\1<remaining>", data)
        data = re.sub(rb"(?m)^(Date: )[^\r]+", rb"\1<date>", data)
        return transcripts.indented(transcripts.shown_bytes(data))

    async def exchange(self, title: str, data: bytes, *scripts: bytes | Callable) -> None:
        """Send bytes on a new connection, wait until it is closed, and record both sides.

        ``scripts`` are the responses of the servers, in the order of the servers.
        """
        for server, script in zip(self.servers, scripts, strict=False):
            server.script_answers(script)
        counts = [len(server.requests) for server in self.servers]
        caller = await backend_fakes.connect_raw(self.router.port)
        self.addCleanup(caller.transport.abortConnection)
        caller.transport.write(data)
        await backend_fakes.wait_until(until=lambda: caller.closed, what=title)
        self.parts.append(f"# {title}\n\ncaller sends:\n{self.shown(data)}")
        for index, (server, count) in enumerate(zip(self.servers, counts, strict=True)):
            for request in server.requests[count:]:
                received = self.shown(request.head + b"\r\n\r\n" + request.body)
                self.parts.append(f"a{index} receives:\n{received}")
        end = "closed" if caller.clean else "aborted"
        self.parts.append(f"caller receives, then its connection is {end}:\n")
        self.parts.append(self.shown(caller.received) + "\n")

    async def test_session(self):
        """Guards against unintended changes of the bytes between callers, entry VM and servers."""
        await self.open_session()
        await self.outcomes()
        await self.repeated_ids()
        await self.quarantined()
        await self.rejected_bytes()
        transcripts.compare("caller_session", "".join(self.parts).rstrip("\n") + "\n")

    async def outcomes(self):
        page_response = backend_fakes.answer(b"page", headers=b"Content-Type: text/plain\r\n")
        forged = b"X-Celerystack-Epoch: 99\r\nX-Deadline-Ms: 900\r\n"
        await self.exchange(
            "answered; the caller's X-Celerystack header is removed",
            GET + forged + CLOSE + b"\r\n",
            page_response,
        )

        def newer_map(request):
            request.connection.send(backend_fakes.refusal(b"stale-epoch"))
            self.router.routes.change(self.router.routes.to("a1", epoch=8))

        await self.exchange(
            "a0 rejects the epoch; the newer map names a1",
            POST + CLOSE + b"\r\nabc",
            newer_map,
            page_response,
        )
        self.router.routes.change(model.NoOwner(ids.ShardId(3)))
        short_deadline = b"X-Deadline-Ms: 500\r\n" + CLOSE + b"\r\n"
        await self.exchange(
            "not run: no server owns the key within the deadline", GET + short_deadline
        )
        self.router.routes.change(fakes.Routes.to("a0"))
        await self.exchange(
            "unknown: no response before the deadline",
            POST + short_deadline + b"abc",
            lambda request: None,
        )
        await self.exchange(
            "unknown: the response of a0 ends before its length",
            POST + CLOSE + b"\r\nabc",
            lambda r: (r.connection.send(page_response[:-2]), r.connection.close()),
        )
        await self.exchange(
            "a path that no service owns", b"GET /x HTTP/1.1\r\nHost: h\r\n" + CLOSE + b"\r\n"
        )

    async def repeated_ids(self):
        data = POST + b"X-Request-Id: r1\r\n" + CLOSE + b"\r\nabc"
        await self.exchange("first use of request id r1", data, backend_fakes.answer())
        await self.exchange("request id r1 again", data, backend_fakes.answer())

    async def quarantined(self):
        data = POST + CLOSE + b"\r\nbad"
        # Connections that break within one loss window count as one loss of the server.
        await backend_fakes.sleep(4 * dispatch.LOSS_WINDOW_S)
        before = self.losses.losses
        # A server that still accepts connections counts as one that closed an idle connection.
        await self.servers[0].stop_listening()
        await self.exchange("a0 crashes while it runs this request alone", data, self._crash)
        await backend_fakes.wait_until(until=lambda: self.losses.losses == before + 1)
        await self.exchange("not run: the same request is quarantined", data, self._crash)

    def _crash(self, request):
        self.servers[0].kill()

    async def rejected_bytes(self):
        head = b"POST /atlas/browse/k1 HTTP/1.1\r\nHost: router\r\n"
        smuggled_request = b"GET /atlas/browse/smuggled HTTP/1.1\r\nHost: router\r\n\r\n"
        await self.exchange(
            "the declared body is above the limit of 1000 bytes",
            head + b"Content-Length: 1001\r\n\r\n" + b"x" * 1001,
        )
        for title, framing in {
            "smuggling: length and chunked encoding": b"Content-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "smuggling: two lengths": b"Content-Length: 0\r\nContent-Length: 55\r\n\r\n",
            "smuggling: space before the colon": b"Content-Length : 55\r\n\r\n",
        }.items():
            await self.exchange(title, head + framing + smuggled_request)
