"""In-process implementations of the protocols that the forwarder uses."""

from __future__ import annotations

import time

from twisted.internet import defer, reactor

from celerystack import ids, model
from celerystack.backend import client, http
from celerystack.peers import messages
from celerystack.requests import forwarder, frontend

# Deadlines refer to the monotonic clock. The reactor uses the wall clock by default, on which a
# timer may fire just before its deadline on the monotonic clock.
reactor.seconds = time.monotonic

CALLER_CONNECT_TIMEOUT_S = 5.0
"""Hundreds of callers connect at once, in the same process that accepts them."""

ATLAS = model.Service(
    name=ids.ServiceName("atlas-browse"), prefixes=("/atlas/browse/",), checks_token=True
)
DESK = model.Service(
    name=ids.ServiceName("filing-desk"), prefixes=("/filing/desk/",), divided=False
)


def server(name: str, address: str, service: model.Service = ATLAS) -> model.BackendServer:
    return model.BackendServer(
        server=ids.ServerId(name), service=service.name, zone=ids.ZoneName("z1"), address=address
    )


class Routes:
    """A route source that returns ``result`` for all keys; tests replace the result."""

    def __init__(self, *servers: model.BackendServer) -> None:
        self.servers_by_id = {s.server: s for s in servers}
        self.result: model.RouteResult = model.NoOwner(ids.ShardId(3))
        self.permitted = True
        self.waiting: list[defer.Deferred[None]] = []
        self.sends = 0
        for first in servers[:1]:
            self.result = self.to(first.server)

    @staticmethod
    def to(server_id: str, epoch: int = 7) -> model.Route:
        return model.Route(ids.ServerId(server_id), ids.ShardId(3), ids.Epoch(epoch))

    def change(self, result: model.RouteResult) -> None:
        self.result = result
        self.wake()

    def wake(self) -> None:
        waiting, self.waiting = self.waiting, []
        for d in waiting:
            if not d.called:
                d.callback(None)

    def service_for(self, path):
        for service in (ATLAS, DESK):
            if path.startswith(service.prefixes[0]):
                return service
        return None

    def request_key(self, service, path, headers):
        return path[len(service.prefixes[0]) :].split("/")[0] or None

    def route(self, service, key_hash):
        return self.result

    def current_route(self, service, key_hash):
        return self.route(service, key_hash)

    def servers(self, service):
        return tuple(s for s in self.servers_by_id.values() if s.service == service.name)

    def server(self, server_id):
        return self.servers_by_id.get(server_id)

    def may_send(self, server):
        self.sends += 1
        return self.permitted

    def wait_for_change(self, service):
        d = defer.Deferred()
        self.waiting.append(d)
        return d


class Claims:
    def __init__(self):
        self.state = messages.ClaimState.ACCEPTED
        self.claimed = []
        self.finished = []
        self.error = None

    def claim(self, request_id, home_zone, deadline):
        self.claimed.append((request_id, home_zone))
        if self.error is not None:
            return defer.fail(self.error)
        return defer.succeed(self.state)

    def record_final_state(self, request_id, home_zone, state):
        self.finished.append((request_id, home_zone, state))


class Losses:
    def __init__(self):
        self.lost = []
        self.quarantined = set()
        self.cleared = []

    def record_loss(self, server_id, fingerprints_in_flight):
        self.lost.append((server_id, fingerprints_in_flight))

    def record_completion(self, fingerprint):
        self.cleared.append(fingerprint)

    def is_quarantined(self, fingerprint):
        return fingerprint in self.quarantined


class FirstServerChooser:
    """Always chooses the first server."""

    def __init__(self):
        self.running = 0
        self.outcomes = []

    def choose(self, service, servers, now):
        return servers[0]

    def started(self, server, now):
        self.running += 1

    def finished(self, server, latency_s, outcome, now):
        self.running -= 1
        self.outcomes.append(outcome)


class Budget:
    def __init__(self, retries: int = 100):
        self.retries = retries
        self.requests = 0

    def on_request(self, now):
        self.requests += 1

    def try_retry(self, now):
        self.retries -= 1
        return self.retries >= 0


class Harness:
    """A front end and a forwarder in front of fake servers."""

    def __init__(self, *servers, routes=None, port=0, **options):
        self.routes = routes or Routes(*servers)
        self.claims = Claims()
        self.losses = Losses()
        self.chooser = FirstServerChooser()
        self.budget = Budget()
        self.forwarder = forwarder.Forwarder(
            reactor,
            forwarder.Dependencies(
                routes=self.routes,
                claims=self.claims,
                losses=self.losses,
                chooser=self.chooser,
                budget=self.budget,
            ),
        )
        self.front = frontend.FrontEnd(reactor, self.routes, self.forwarder, **options)
        self.port = self.front.listen("127.0.0.1", port)
        self.pool = client.ServerPool(
            reactor,
            address=f"127.0.0.1:{self.port}",
            limit=50,
            connect_timeout_s=CALLER_CONNECT_TIMEOUT_S,
        )

    def call(self, target="/atlas/browse/k1/x", *, method="GET", headers=(), body=b"", wait=5.0):
        request = http.HttpRequest(
            method=method.encode(),
            target=target.encode(),
            headers=((b"Host", b"router"), *headers),
            body=body,
        )
        return self.pool.exchange(request, deadline=time.monotonic() + wait)

    async def stop(self):
        self.pool.close()
        await self.front.stop_accepting()
        await self.front.drained()
        self.forwarder.close()
