"""Guards against overloading a backend server that has told how many requests it accepts."""

from __future__ import annotations

import dataclasses
import random

import testtools
from twisted.internet import defer, task

from celerystack import ids
from celerystack.backend import http
from celerystack.fleet import servers
from celerystack.forwarding import owners
from celerystack.gateway import calls, request_path, retries
from celerystack.limits import byte_budget, cold_starts
from celerystack.platform import requests
from tests.gateway import fakes as gateway_fakes
from tests.gateway import test_dispatch
from tests.ranges import fakes

ENTRY_VMS = 9
LIMIT_PER_S = 3.8
DEMAND_PER_S = 12.0
STABLE_S = 3.0
WINDOW_S = 4.0
ARRIVALS_MAX = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Arrivals from all VMs that a server must tolerate within `WINDOW_S`."""
SERVICE_S = 0.08
STEP_S = 0.01


class LimitedServer:
    """A server that answers every request, and names its limit if it has one.

    Attributes
    ----------
    arrivals : list of float
        Clock times at which requests arrived.
    """

    def __init__(self, clock):
        self._clock = clock
        self.limit = b"%.1f" % LIMIT_PER_S
        self.status = 200
        self.extra_headers = []
        self.arrivals = []

    def exchange(self, request, **_):
        self.arrivals.append(self._clock.seconds())
        request_id = http.first_value(request.headers, requests.ATTEMPT_ID)
        headers = [(requests.ATTEMPT_ID, request_id), (requests.SIGNATURE, b"s")]
        if self.limit is not None:
            headers.append((b"server-limit", self.limit))
        headers.extend(self.extra_headers)
        response = http.HttpResponse(
            status=self.status, reason=b"", headers=tuple(headers), body=b""
        )
        return task.deferLater(self._clock, SERVICE_S, lambda: response)

    def set_limit(self, limit):
        pass

    def close(self, reason):
        pass

    def most_arrivals(self, start):
        """Return the largest number of arrivals within `WINDOW_S` from ``start`` on."""
        times = [at for at in self.arrivals if at >= start]
        return max(
            (sum(first <= at < first + WINDOW_S for at in times) for first in times), default=0
        )


class RateLimitCase(testtools.TestCase):
    """Several entry VMs without contact to each other send requests to the same servers."""

    sharded = True

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(10.0)
        self.random = random.Random(7)
        self.server_by_name = {name: LimitedServer(self.clock) for name in "12"}
        self.server_by_name["2"].limit = None
        self.paths = []
        self.dispatchers = [self.start_vm() for _ in range(ENTRY_VMS)]
        self.running = []
        self.replies = []

    def start_vm(self):
        key_routing = test_dispatch.KeyRouting()
        key_routing.entry_vms = ENTRY_VMS
        directory = servers.Directory()
        vm = ids.EntryVmId("vm-1")
        path = request_path.RequestPath(
            self.clock,
            vm=vm,
            zone=fakes.ZONE,
            queue_owners=owners.QueueOwners(vm=vm, now=self.clock.seconds),
            cold_tolerance=cold_starts.ColdTolerance(),
            directory=directory,
            key_routing=key_routing,
            request_codec=requests.HeaderRequestCodec(),
            budget=retries.RetryBudgetShare(ratio=1.0, allowance=1000.0, window_s=10.0),
            answer_budget=byte_budget.ByteBudget(1_000_000),
            now=self.clock.seconds,
            open_pool=lambda reactor, *, address, **_: self.server_by_name[address[7]],
        )
        policy = dataclasses.replace(test_dispatch.POLICY, sharded=self.sharded)
        path.apply({fakes.SERVICE: policy})
        entries = [fakes.entry(name, address=f"10.0.0.{name}:80") for name in "12"]
        directory.apply_all(entries, self.clock.seconds())
        key_routing.range_maps.adopt(fakes.whole(fakes.incarnation("1")), 1, self.clock.seconds())
        self.paths.append(path)
        return path.dispatcher

    def send(self, dispatcher):
        now = self.clock.seconds()
        number = len(self.running)
        call = calls.Call(
            request_id=ids.RequestId(f"r{number}"),
            route=gateway_fakes.ROUTE,
            service=fakes.SERVICE,
            method=b"GET",
            target=b"/",
            headers=((requests.ATTEMPT_ID, b"r%d" % number),),
            body=b"",
            key=7 if self.sharded else None,
            arrived_at=now,
            deadline=now + 1.0,
        )
        running = defer.Deferred.fromCoroutine(dispatcher.dispatch(call))
        self.running.append(running.addCallback(self.replies.append))

    def run_for(self, seconds, *, demand_per_s=DEMAND_PER_S, dispatchers=None):
        """Send requests at random times through random entry VMs."""
        for _ in range(round(seconds / STEP_S)):
            # The clock shows the end of a step to everything that is due within it.
            self.clock.advance(STEP_S)
            if self.random.random() < demand_per_s * STEP_S:
                self.send(self.random.choice(dispatchers or self.dispatchers))

    def refused(self):
        return [reply for reply in self.replies if isinstance(reply, calls.Refused)]


class KeyedRateLimitTest(RateLimitCase):
    def test_server_gets_no_more_than_it_accepts_from_all_vms_together(self):
        """Guards against a server that names a limit, as it cannot serve more, and gets three times
        as many requests because no VM counts those of the others."""
        started = self.clock.seconds()
        self.run_for(20.0)
        most = self.server_by_name["1"].most_arrivals(started + STABLE_S)
        self.assertLessEqual(most, ARRIVALS_MAX)


class UnkeyedRateLimitTest(RateLimitCase):
    sharded = False

    def test_requests_go_to_the_servers_without_a_limit(self):
        """Guards against the same for a service whose requests any server can run, and against
        refusals while another server has room."""
        started = self.clock.seconds()
        self.run_for(20.0, demand_per_s=2 * DEMAND_PER_S)
        most = self.server_by_name["1"].most_arrivals(started + STABLE_S)
        self.assertLessEqual(most, ARRIVALS_MAX)
        self.assertEqual([], self.refused())
