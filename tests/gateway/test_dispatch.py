"""Tests of the choice of servers and of retries, without network."""

import dataclasses

import testtools
from twisted.internet import defer, task

from celerystack import errors, ids
from celerystack.backend import http
from celerystack.fleet import servers
from celerystack.forwarding import owners
from celerystack.gateway import (
    attempts,
    calls,
    config,
    dispatch,
    request_path,
    retries,
    server_queue,
)
from celerystack.limits import byte_budget, cold_starts, crash_suspects
from celerystack.ranges import model, range_maps
from tests.gateway import fakes as gateway_fakes
from tests.ranges import fakes

IN_FLIGHT_LIMIT = 1
OWN_VM = ids.EntryVmId("vm-1")
OTHER_SERVER_REASON = b"another server"
POLICY = config.ServicePolicy(
    name=fakes.SERVICE, sharded=True, connections_max=100, health_path="/health"
)


class Pool:
    """Connection pool of one server whose answers and failures the test triggers."""

    def __init__(self, *, address):
        self.address = address
        self.sent = []
        self.closed = False
        self.new_connections = []

    def exchange(self, request, *, needs_new_connection, **_):
        self.new_connections.append(needs_new_connection)
        answer = defer.Deferred()
        self.sent.append((request, answer))
        return answer

    def set_limit(self, limit):
        pass

    def close(self, reason):
        self.closed = True

    def answer(self, status=200, reason=b""):
        _, answer = self.sent.pop(0)
        answer.callback(http.HttpResponse(status=status, reason=reason, headers=(), body=b""))

    def fail(self, error):
        _, answer = self.sent.pop(0)
        answer.errback(error)


class RequestCodec:
    def encode(self, call, server, remaining_s):
        return http.HttpRequest(method=call.method, target=call.target)

    def matches_request(self, call, headers):
        return True

    def classify(self, call, server, response):
        if response.status == 421 and response.reason == OTHER_SERVER_REASON:
            return calls.NotRun(calls.NotRunReason.OTHER_SERVER)
        if response.status == 421:
            return calls.NotRun(calls.NotRunReason.KEY_NOT_HELD)
        if response.status == 503:
            return calls.NotRun(calls.NotRunReason.FULL)
        return calls.Answered(response)

    def rate_limit(self, response):
        return None

    def is_leaving(self, response):
        return False

    def pause_s(self, response):
        return 0.0

    def server_load(self, response):
        return None


class KeyRouting:
    admits = True

    def __init__(self):
        self.range_maps = range_maps.RangeMaps()
        self.find = self.range_maps.find
        self.changed = self.range_maps.changed
        self.on_change = self.range_maps.on_change
        self.map_version_and_confirmation = self.range_maps.version_and_confirmation
        self.quarantine = crash_suspects.Quarantine()
        self.entry_vms = 50

    def grant_again(self, incarnation):
        pass

    def admit(self, server):
        return self.admits

    def count_request(self, service, key):
        pass

    def record_service_time(self, server, service_s):
        pass


class DispatchCase(testtools.TestCase):
    sharded = True

    def setUp(self):
        super().setUp()
        self.clock = task.Clock()
        self.clock.advance(10.0)
        self.directory = servers.Directory()
        self.key_routing = KeyRouting()
        self.pools = {}
        self.running = []
        self.queue_owners = owners.QueueOwners(vm=OWN_VM, now=self.clock.seconds)
        self.request_path = request_path.RequestPath(
            self.clock,
            vm=OWN_VM,
            zone=fakes.ZONE,
            queue_owners=self.queue_owners,
            cold_tolerance=cold_starts.ColdTolerance(),
            directory=self.directory,
            key_routing=self.key_routing,
            request_codec=RequestCodec(),
            budget=retries.RetryBudgetShare(ratio=1.0, allowance=1000.0, window_s=10.0),
            answer_budget=byte_budget.ByteBudget(1_000_000),
            now=self.clock.seconds,
            open_pool=self.open_pool,
        )
        policy = POLICY if self.sharded else dataclasses.replace(POLICY, sharded=False)
        self.request_path.apply({fakes.SERVICE: policy})
        self.entries = {name: fakes.entry(name, address=f"10.0.0.{name}:80") for name in "12"}
        self.directory.apply_all(self.entries.values(), 10.0)
        self.version = 0
        self.set_owner("1")

    def open_pool(self, reactor, *, address, **_):
        pool = self.pools[address[7]] = Pool(address=address)
        return pool

    def set_owner(self, name, *, pending=()):
        self.version += 1
        ranges = fakes.whole(fakes.incarnation(name), self.version)
        if pending:
            incarnations = tuple(fakes.incarnation(holder) for holder in pending)
            segment = dataclasses.replace(
                ranges.segments[0], pending=incarnations, phase=model.Phase.MOVING
            )
            ranges = dataclasses.replace(ranges, segments=(segment,))
        self.key_routing.range_maps.adopt(ranges, self.version, self.clock.seconds())

    def call(self, *, idempotent=True, deadline_s=1.0, target_latency_s=0.4):
        now = self.clock.seconds()
        call = calls.Call(
            request_id=ids.RequestId("r"),
            route=dataclasses.replace(
                gateway_fakes.ROUTE, idempotent=idempotent, target_latency_s=target_latency_s
            ),
            service=fakes.SERVICE,
            method=b"GET",
            target=b"/",
            headers=(),
            body=b"",
            key=7 if self.sharded else None,
            arrived_at=now,
            deadline=now + deadline_s,
        )
        replies = []
        running = defer.Deferred.fromCoroutine(self.request_path.dispatcher.dispatch(call))
        # Without a reference the garbage collector would end the call.
        self.running.append(running.addCallback(replies.append))
        return replies

    def sent(self, name):
        return len(self.pools[name].sent) if name in self.pools else 0


class MovedKeysTest(DispatchCase):
    """Keys of an overloaded server move while calls are queued for it."""

    def test_waiting_calls_go_on_to_the_new_owner_at_once(self):
        """Guards against calls that stay queued for a server that no longer owns their keys."""
        first, second = self.call(), self.call()
        self.assertEqual(IN_FLIGHT_LIMIT, self.sent("1"))
        self.set_owner("2")
        self.assertEqual(1, self.sent("2"))
        self.pools["2"].answer()
        self.assertIsInstance(second[0], calls.Answered)
        self.assertEqual([], first)

    def test_waiting_calls_wait_for_the_end_of_the_hand_over(self):
        """Guards against sending calls to the new owner before it holds the key."""
        self.call()
        replies = self.call()
        self.set_owner("2", pending="1")
        self.assertEqual((0, []), (self.sent("2"), replies))
        self.set_owner("2")
        self.assertEqual(1, self.sent("2"))

    def test_calls_of_other_keys_keep_their_place(self):
        """Guards against shedding queued calls whose keys have not moved."""
        self.call()
        replies = self.call()
        self.set_owner("1")
        self.assertEqual([], replies)
        self.pools["1"].answer()
        self.pools["1"].answer()
        self.assertIsInstance(replies[0], calls.Answered)

    def test_call_that_moved_back_is_sent_to_its_first_owner(self):
        """Guards against excluding a server for which the call was queued but never sent."""
        self.call()
        self.call()
        self.set_owner("2", pending="1")
        self.set_owner("1")
        self.pools["1"].answer()
        self.assertEqual(1, self.sent("1"))


class SlowMoveTest(DispatchCase):
    """A key moves while long requests run, for which its owner waits."""

    def setUp(self):
        super().setUp()
        self.set_owner("2", pending="1")

    def test_call_with_a_long_target_is_answered_after_a_long_move(self):
        """Guards against refusing calls that could still be answered within their target."""
        replies = self.call(deadline_s=4.0, target_latency_s=1.5)
        self.clock.advance(1.0)
        self.assertEqual([], replies)
        self.set_owner("2")
        self.pools["2"].answer()
        self.assertIsInstance(replies[0], calls.Answered)

    def test_call_is_refused_when_its_target_cannot_be_met(self):
        """Guards against callers that are held although they could try again."""
        replies = self.call(deadline_s=4.0, target_latency_s=1.5)
        self.clock.advance(1.2)
        self.assertIsInstance(replies[0], calls.Refused)

    def test_call_with_a_short_target_is_not_held_longer(self):
        """Guards against callers that are held although they could try again."""
        replies = self.call(deadline_s=4.0, target_latency_s=0.2)
        self.clock.advance(attempts.MOVE_WAIT_S + 0.01)
        self.assertIsInstance(replies[0], calls.Refused)


class OverloadedServerTest(DispatchCase):
    """Calls for keys of a server that is given more requests than it can process."""

    def retry_after_s(self, target_latency_s):
        self.key_routing.admits = False
        replies = [self.call(target_latency_s=target_latency_s)[0] for _ in range(50)]
        return sorted(reply.retry_after_s for reply in replies)

    def test_callers_return_spread_over_a_part_of_their_target(self):
        """Guards against callers that return before the overload can have ended."""
        found = self.retry_after_s(1.5)
        self.assertTrue(0.6 <= found[0] < 0.8 and 1.0 < found[-1] <= 1.2, found)

    def test_callers_with_a_short_target_do_not_return_at_once(self):
        """Guards against a second wave of requests right after the first."""
        found = self.retry_after_s(0.1)
        self.assertTrue(found[0] >= 0.15 and found[-1] <= 0.35, found)


class LeavingServerTest(DispatchCase):
    """The servers of a service are replaced while calls are queued for them."""

    sharded = False

    def test_waiting_calls_go_to_another_server(self):
        """Guards against refusing queued calls although other servers have capacity."""
        replies = [self.call() for _ in range(8)]
        leaving = dataclasses.replace(self.entries["1"], state=servers.ServerState.DRAINING)
        self.directory.apply_changes([leaving], [], self.clock.seconds())
        replies.append(self.call())
        while self.sent("2"):
            self.pools["2"].answer()
        self.assertEqual([], [one for one in replies if one and isinstance(one[0], calls.Refused)])
        self.assertEqual(8, len([one for one in replies if one]))

    def test_connections_are_closed_after_the_last_answer(self):
        """Guards against connections to servers that have left, which nothing closes later."""
        for _ in range(2):
            self.call()
        leaving = [
            dataclasses.replace(entry, state=servers.ServerState.DRAINING)
            for entry in self.entries.values()
        ]
        self.directory.apply_changes(leaving, [], self.clock.seconds())
        self.call()
        busy = [pool for pool in self.pools.values() if pool.sent]
        self.assertTrue(busy)
        self.assertFalse(any(pool.closed for pool in busy))
        for pool in busy:
            pool.answer()
        self.assertTrue(all(pool.closed for pool in self.pools.values()))


class EvacuatedZoneTest(DispatchCase):
    """The zone of a key's server is evacuated."""

    def evacuate(self, *closed):
        self.directory.set_evacuations(evacuated=frozenset({fakes.ZONE}), closed=frozenset(closed))

    def test_owner_is_used_until_the_zone_is_closed(self):
        """Guards against unserved keys before they have moved, and against requests afterwards."""
        self.evacuate()
        self.call()
        self.assertEqual(1, self.sent("1"))
        self.evacuate(fakes.ZONE)
        self.assertIsInstance(self.call()[0], calls.Refused)
        self.assertEqual(1, self.sent("1"))

    def test_queued_calls_are_not_sent_to_a_closed_zone(self):
        """Guards against a request that waited for a server of the zone and reaches it later."""
        self.call()
        queued = self.call()
        self.evacuate(fakes.ZONE)
        self.call()
        self.pools["1"].answer()
        self.assertIsInstance(queued[0], calls.Refused)


class UnshardedEvacuationTest(DispatchCase):
    sharded = False

    def test_calls_go_to_other_zones_at_once(self):
        """Guards against new requests to an evacuated zone, which any other server can run."""
        entry = dataclasses.replace(self.entries["2"], zone=ids.ZoneName("z2"))
        self.directory.apply_changes([entry], [], self.clock.seconds())
        self.directory.set_evacuations(evacuated=frozenset({fakes.ZONE}), closed=frozenset())
        for _ in range(4):
            self.call()
            self.pools["2"].answer()
        self.assertEqual(0, self.sent("1"))


class RepeatTest(DispatchCase):
    def test_key_that_is_not_held_is_asked_for_again(self):
        """Guards against a failed call because the grant arrives shortly after the request."""
        replies = self.call()
        self.pools["1"].answer(421)
        self.clock.advance(attempts.NOT_HELD_WAIT_S)
        self.pools["1"].answer()
        self.assertIsInstance(replies[0], calls.Answered)

    def test_call_that_is_sent_again_needs_a_new_connection(self):
        """Guards against an earlier refusal of the call that the server writes once more."""
        self.call()
        self.pools["1"].answer(421)
        self.clock.advance(attempts.NOT_HELD_WAIT_S)
        self.assertEqual([False, True], self.pools["1"].new_connections)

    def test_lost_answer_of_a_request_that_may_run_once_is_final(self):
        """Guards against running a request twice that is not idempotent."""
        replies = self.call(idempotent=False)
        self.pools["1"].fail(errors.OutcomeUnknownError("reset", step="s"))
        self.assertIsInstance(replies[0], calls.Failed)
        self.assertEqual(0, self.sent("1"))

    def test_address_of_another_server_gets_no_further_calls(self):
        """Guards against requests that reach the server that has taken over the address."""
        replies = self.call()
        self.pools["1"].answer(421, OTHER_SERVER_REASON)
        self.assertIsInstance(replies[0], calls.Refused)
        self.assertEqual(0, self.sent("1"))
        self.assertIsInstance(self.call()[0], calls.Refused)
        self.assertTrue(self.directory.has_ended(fakes.incarnation("1")))

    def test_call_that_is_rejected_again_and_again_is_refused(self):
        """Guards against a single call that uses up the retry budget of all calls."""
        replies = self.call(deadline_s=5.0)
        for _ in range(dispatch.REJECTIONS_MAX):
            self.assertEqual([], replies)
            self.pools["1"].answer(421)
            self.clock.advance(attempts.NOT_HELD_WAIT_S)
        self.assertIsInstance(replies[0], calls.Refused)

    def test_unreachable_owner_is_not_waited_for(self):
        """Guards against calls that wait until their deadline for an owner that is unreachable."""
        replies = self.call()
        for _ in range(server_queue.FAILURES_TO_SUSPECT):
            self.pools["1"].fail(errors.ConnectFailedError("refused", step="s"))
            self.clock.advance(attempts.NOT_HELD_WAIT_S)
        self.assertIsInstance(replies[0], calls.Refused)
        self.assertIsInstance(self.call()[0], calls.Refused)
        self.clock.advance(server_queue.SUSPECT_S)
        self.call()
        self.assertEqual(1, self.sent("1"))

    def test_silent_owner_gets_one_call_at_a_time(self):
        """Guards against calls that are queued for a server that does not answer."""
        self.call(deadline_s=2.0)
        self.clock.advance(server_queue.SILENT_MINIMUM_S + 0.1)
        self.assertIsInstance(self.call()[0], calls.Refused)
        self.pools["1"].answer()
        self.assertEqual([], self.call())


class ColdServerTest(DispatchCase):
    """A server is cold and tolerates few requests of all entry VMs."""

    def setUp(self):
        super().setUp()
        cold = cold_starts.ColdPolicy(cold_s=3.0, per_s=1.0)
        self.request_path.apply(
            {fakes.SERVICE: dataclasses.replace(POLICY, sharded=self.sharded, cold=cold)}
        )
        entry = dataclasses.replace(self.entries["1"], cold_s=3.0)
        self.directory.apply_changes([entry], [], self.clock.seconds())
        own = owners.Owner(OWN_VM, fakes.ZONE, ("10.0.0.1", 7000), 1.0)
        self.own, self.other = own, dataclasses.replace(own, vm=ids.EntryVmId("vm-2"))

    def test_only_the_owner_of_the_queue_sends(self):
        """Guards against requests of all entry VMs to a server that has gone cold."""
        self.queue_owners.announce((self.other,), entry_vms=4)
        self.assertIsInstance(self.call()[0], calls.Refused)
        self.assertEqual(0, self.sent("1"))
        self.queue_owners.announce((self.own,), entry_vms=4)
        self.call()
        self.assertEqual(1, self.sent("1"))

    def test_everyone_sends_when_the_server_is_warm(self):
        """Guards against a server that stays without requests after it has warmed up."""
        self.queue_owners.announce((self.other,), entry_vms=4)
        self.clock.advance(3.1)
        self.call()
        self.assertEqual(1, self.sent("1"))

    def test_queued_call_counts_when_it_is_sent(self):
        """Guards against calls that were queued for a warm server and are sent when it is cold."""
        self.clock.advance(3.1)
        self.call()
        queued = self.call()
        entry = dataclasses.replace(self.entries["1"], cold_s=3.0)
        self.directory.apply_changes([entry], [], self.clock.seconds())
        self.pools["1"].answer()
        self.clock.advance(attempts.NOT_HELD_WAIT_S)
        self.assertEqual(0, self.sent("1"))
        self.assertIsInstance(queued[0], calls.Refused)

    def test_server_that_refused_a_connection_may_have_restarted(self):
        """Guards against a full load for a server that restarted under its id and is cold."""
        self.queue_owners.announce((self.other,), entry_vms=4)
        self.clock.advance(3.1)
        self.call()
        self.pools["1"].fail(errors.ConnectFailedError("refused", step="s"))
        replies = self.call()
        self.assertIsInstance(replies[0], calls.Refused)


class OwnedQueueTest(DispatchCase):
    """This VM owns the queue of a key's server."""

    def setUp(self):
        super().setUp()
        own = owners.Owner(OWN_VM, fakes.ZONE, ("10.0.0.1", 7000), 1.0)
        self.queue_owners.announce((own,), entry_vms=owners.FORWARDING_VMS_MIN)

    def test_owner_uses_all_slots(self):
        """Guards against an owner that keeps to its share although no other VM sends."""
        for _ in range(5):
            self.call()
        self.assertEqual(self.entries["1"].slots, self.sent("1"))

    def test_owner_needs_no_admitted_fraction(self):
        """Guards against rejected calls although the queue's owner sees that they fit."""
        self.key_routing.admits = False
        self.call()
        self.assertEqual(1, self.sent("1"))


class LostOwnerTest(DispatchCase):
    def test_calls_are_sent_directly_without_a_stream(self):
        """Guards against rejected calls while the owner of the queue cannot be reached."""
        other = owners.Owner(ids.EntryVmId("vm-2"), fakes.ZONE, ("10.0.0.2", 7000), 1.0)
        self.queue_owners.announce((other,), entry_vms=owners.FORWARDING_VMS_MIN)
        self.call()
        self.assertEqual(1, self.sent("1"))


class OwnerWithoutServersTest(DispatchCase):
    """The servers whose queues this VM owns cannot be reached, others can."""

    sharded = False

    def test_calls_go_to_servers_of_other_owners(self):
        """Guards against rejected calls because one owner's zone has lost its servers."""
        own = owners.Owner(OWN_VM, fakes.ZONE, ("10.0.0.1", 7000), 1.0)
        other_zone = ids.ZoneName("z2")
        other = owners.Owner(ids.EntryVmId("vm-2"), other_zone, ("10.0.0.2", 7000), 1e-9)
        entry = dataclasses.replace(self.entries["2"], zone=other_zone)
        self.directory.apply_changes([entry], [], self.clock.seconds())
        self.queue_owners.announce((own, other), entry_vms=owners.FORWARDING_VMS_MIN)
        replies = self.call()
        self.pools["1"].fail(errors.ConnectFailedError("refused", step="s"))
        self.assertEqual((0, 1), (self.sent("1"), self.sent("2")))
        self.pools["2"].answer()
        self.assertIsInstance(replies[0], calls.Answered)
