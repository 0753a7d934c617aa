"""Tests of the failure detection and the concurrency limit for one server."""

import collections
import dataclasses

import testtools
from twisted.internet import defer, task

from celerystack import errors, ids
from celerystack.backend import http
from celerystack.fleet import servers
from celerystack.gateway import calls, server_queue
from celerystack.limits import deadline_queue
from tests.gateway import fakes as gateway_fakes
from tests.ranges import fakes

CALL = calls.Call(
    request_id=ids.RequestId("r1"),
    route=gateway_fakes.ROUTE,
    service=fakes.SERVICE,
    method=b"GET",
    target=b"/",
    headers=(),
    body=b"",
    key=None,
    arrived_at=10.0,
    deadline=11.0,
)


class Pool:
    def __init__(self):
        self.results = []

    def exchange(self, request, **options):
        result = self.results.pop(0)
        return defer.fail(result) if isinstance(result, Exception) else result


class RequestCodec:
    def encode(self, call, server, remaining_s):
        return http.HttpRequest(method=b"GET", target=b"/")

    def matches_request(self, call, headers):
        return True

    def classify(self, call, server, response):
        return calls.Answered(response)


class ServerQueueTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(10.0)
        self.pool = Pool()
        self.running = []
        record = servers.ServerRecord(
            entry=fakes.entry("a"), appeared_at=0.0, seen_at=0.0, warm_at=0.0
        )
        self.server_queue = server_queue.ServerQueue(
            self.clock,
            record,
            pool=self.pool,
            request_codec=RequestCodec(),
            entry_vms=3,
            cold=gateway_fakes.no_cold_starts(),
            on_answer=lambda *_: None,
            on_response=lambda queue, response: None,
            now=self.clock.seconds,
        )

    def run_call(self, result):
        self.pool.results.append(result)
        outcome = []
        running = defer.Deferred.fromCoroutine(self.server_queue.run(CALL))
        # Without a reference the garbage collector would end the call.
        self.running.append(running.addCallback(outcome.append))
        return outcome

    def test_busy_connections_are_no_sign_of_a_silent_server(self):
        """Guards against mistaking overload for an unreachable server, whose keys are not moved."""
        self.run_call(errors.NotRunError("the deadline passed", step="s"))
        self.assertFalse(self.server_queue.is_refusing)

    def test_failed_connect_is_reported(self):
        """Guards against keys that stay assigned to a server that accepts no connections."""
        self.run_call(errors.ConnectFailedError("refused", step="s"))
        self.assertTrue(self.server_queue.is_refusing)

    def test_broken_exchange_may_have_run(self):
        """Guards against reporting a request as not run although it may have run."""
        outcome = self.run_call(errors.OutcomeUnknownError("connection lost", step="s"))
        self.assertEqual([calls.OutcomeUnknown("connection lost", broken=True)], outcome)

    def test_server_without_any_answer_is_suspected(self):
        """Guards against sending further requests to a server that has stopped answering."""
        self.run_call(defer.Deferred())
        self.clock.advance(server_queue.SILENT_MINIMUM_S + 0.1)
        self.assertTrue(self.server_queue.is_suspect())

    def test_places_are_given_back(self):
        """Guards against failed calls that are never released from the concurrency limit."""
        for _ in range(20):
            self.run_call(errors.OutcomeUnknownError("connection lost", step="s"))
        self.assertTrue(self.server_queue.is_idle)


class ManyVmsTest(testtools.TestCase):
    """Twenty entry VMs that have sent nothing yet, and ten servers of one service."""

    def open_queues(self):
        return [
            server_queue.ServerQueue(
                task.Clock(),
                servers.ServerRecord(
                    entry=fakes.entry(f"s{number}"), appeared_at=0.0, seen_at=0.0, warm_at=0.0
                ),
                pool=None,
                request_codec=None,
                entry_vms=20,
                cold=gateway_fakes.no_cold_starts(),
                on_answer=lambda *_: None,
                on_response=lambda queue, response: None,
                now=lambda: 100.0,
            )
            for number in range(10)
        ]

    def test_load_of_other_senders_is_avoided(self):
        """Guards against calls that wait at a server whose slots others use."""
        loaded, *others = self.open_queues()
        loaded.tie_breaker = -1.0
        self.assertIs(loaded, server_queue.best([loaded, *others], zone=fakes.ZONE, now=100.0))
        loaded.note_stated_load(calls.ServerLoad(running=2, waiting=0, slots=2))
        self.assertIsNot(loaded, server_queue.best([loaded, *others], zone=fakes.ZONE, now=100.0))

    def test_first_calls_of_many_vms_spread_over_the_servers(self):
        """Guards against one server that rejects calls while the others are idle."""
        chosen = collections.Counter(
            server_queue.best(self.open_queues(), zone=fakes.ZONE, now=100.0).incarnation
            for _ in range(20)
        )
        self.assertGreater(len(chosen), 3)


class TimedPool:
    """Answers after a time; without one it stays silent until the deadline."""

    def __init__(self, clock, answer_s):
        self._clock = clock
        self.answer_s = answer_s
        self.calls = 0

    def exchange(self, request, *, deadline, **options):
        self.calls += 1
        if self.answer_s is None:
            remaining_s = deadline - self._clock.seconds()
            lost = errors.OutcomeUnknownError("the deadline passed", step="s")
            return task.deferLater(self._clock, remaining_s, defer.fail, lost)
        response = http.HttpResponse(status=200, reason=b"", headers=(), body=b"")
        return task.deferLater(self._clock, self.answer_s, lambda: response)


class SilentServerTest(testtools.TestCase):
    """Load pattern: calls one after the other, and one of ten servers never answers."""

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(10.0)
        self.pools = [TimedPool(self.clock, 0.3) for _ in range(10)]
        self.queues = [
            server_queue.ServerQueue(
                self.clock,
                servers.ServerRecord(
                    entry=fakes.entry(f"s{number}"), appeared_at=0.0, seen_at=0.0, warm_at=0.0
                ),
                pool=pool,
                request_codec=RequestCodec(),
                entry_vms=20,
                cold=gateway_fakes.no_cold_starts(),
                on_answer=lambda *_: None,
                on_response=lambda queue, response: None,
                now=self.clock.seconds,
            )
            for number, pool in enumerate(self.pools)
        ]
        self.silent = self.pools[0]
        self.silent.answer_s = None

    def send_for(self, seconds):
        """Send a call every 0.5 s, each with a deadline 1.5 s later."""
        running = []
        for _ in range(round(seconds / 0.5)):
            chosen = server_queue.best(self.queues, zone=fakes.ZONE, now=self.clock.seconds())
            call = dataclasses.replace(CALL, deadline=self.clock.seconds() + 1.5)
            running.append(defer.Deferred.fromCoroutine(chosen.run(call)))
            self.clock.advance(0.5)
        self.clock.advance(2.0)
        self.assertTrue(all(sent.called for sent in running))

    def test_silent_server_gets_few_calls(self):
        """Guards against preferring a server because it has never answered slowly."""
        self.send_for(60.0)
        self.assertLessEqual(self.silent.calls, 60.0 / 1.5 / 5)

    def test_server_that_answers_again_gets_its_share(self):
        """Guards against a server that stays unused for good after it was silent."""
        self.send_for(20.0)
        self.silent.answer_s = 0.3
        self.send_for(20.0)
        before = self.silent.calls
        self.send_for(30.0)
        self.assertGreaterEqual(self.silent.calls - before, 3)


class OrderingTest(testtools.TestCase):
    """An urgent call that is late and a less urgent one in time wait for the same server."""

    def first_started(self, **options):
        """Return the priority of the call that starts first."""
        clock = task.Clock()
        pool = TimedPool(clock, 1.0)
        started = []

        class Codec(RequestCodec):
            def encode(self, call, server, remaining_s):
                started.append(call.route.priority)
                return super().encode(call, server, remaining_s)

        queue = server_queue.ServerQueue(
            clock,
            servers.ServerRecord(entry=fakes.entry("a"), appeared_at=0.0, seen_at=0.0, warm_at=0.0),
            pool=pool,
            request_codec=Codec(),
            entry_vms=20,
            cold=gateway_fakes.no_cold_starts(),
            on_answer=lambda *_: None,
            on_response=lambda queue, response: None,
            now=clock.seconds,
            **options,
        )
        running = []

        def run(priority, target_latency_s):
            route = dataclasses.replace(
                gateway_fakes.ROUTE, priority=priority, target_latency_s=target_latency_s
            )
            call = dataclasses.replace(CALL, route=route, arrived_at=clock.seconds(), deadline=60.0)
            running.append(defer.Deferred.fromCoroutine(queue.run(call)))

        run(0, 5.0)
        clock.advance(1.0)
        while queue.has_room:
            run(0, 5.0)
        started.clear()
        run(0, 0.5)
        run(1, 30.0)
        clock.advance(1.0)
        return started[0]

    def test_default(self):
        """Guards against a change of the order where no other one is asked for."""
        self.assertEqual(0, self.first_started())

    def test_late_behind_all(self):
        """Guards against an ordering that does not reach the queue."""
        ordering = deadline_queue.Ordering(late_behind_all=True)
        self.assertEqual(1, self.first_started(ordering=ordering))
