"""Calls between an entry VM and a queue owner, over a connection in memory."""

import testtools
from twisted.internet import defer, task, testing

from celerystack.forwarding import links, listener, messages, owners
from tests.forwarding import test_messages, test_owners

DEADLINE_S = 1.5


class Transport(testing.StringTransportWithDisconnection):
    """Transport whose bytes the test carries to the other side; nothing arrives while ``cut``."""

    cut = False

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.loseConnection()

    def getPeer(self):  # noqa: N802
        return type("Address", (), {"host": "10.0.0.1", "port": 7000})


class Reactor(task.Clock):
    """A clock that connects the link to the listener at once."""

    def __init__(self):
        super().__init__()
        self.transports = []
        self.accepts = True

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        if not self.accepts:
            factory.clientConnectionFailed(None, None)
            return
        sides = [factory.buildProtocol(None), self.listener.buildProtocol(None)]
        self.transports = []
        for side in sides:
            transport = Transport()
            transport.protocol = side
            self.transports.append(transport)
        for side, transport in zip(sides, self.transports, strict=True):
            side.makeConnection(transport)

    def carry(self):
        """Carry bytes in both directions until nothing is left."""
        first, second = self.transports
        while not first.cut and (first.value() or second.value()):
            for source, target in ((first, second), (second, first)):
                data = source.value()
                source.clear()
                if data and target.connected:
                    target.protocol.dataReceived(data)


class HopCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = Reactor()
        self.running = {}
        self.cancelled = []
        self.listener = self.reactor.listener = listener.CallListener(self.run_call)
        self.link = links.OwnerLink(self.reactor, test_owners.vm("b"), now=self.reactor.seconds)
        self.link.watch()
        self.results = []

    def run_call(self, message):
        running = defer.Deferred(lambda _: self.cancelled.append(message.number))
        self.running[message.number] = running
        return running

    def forward(self):
        def message(number):
            fields = {name: getattr(test_messages.CALL, name) for name in _FIELDS}
            return messages.ForwardedCall(**(fields | {"number": number}))

        forwarded = self.link.forward(message, deadline=self.reactor.seconds() + DEADLINE_S)
        forwarded.addCallbacks(self.results.append, lambda failure: None)
        self.reactor.carry()
        return forwarded

    def answer(self, number):
        result = messages.Result(
            number=number, kind=messages.ResultKind.ANSWERED, response=test_messages.RESPONSE
        )
        self.running[number].callback(result)
        self.reactor.carry()

    def watch_for(self, seconds):
        for _ in range(round(seconds / links.WATCH_S)):
            self.reactor.advance(links.WATCH_S)
            self.link.watch()
            self.reactor.carry()


_FIELDS = tuple(messages.ForwardedCall.__dataclass_fields__)


class HopTest(HopCase):
    def test_results_find_their_calls(self):
        """Guards against the response to another call when results arrive in another order."""
        self.forward()
        self.forward()
        self.answer(2)
        self.answer(1)
        self.assertEqual([2, 1], [result.number for result in self.results])
        self.assertEqual(0, self.listener.open_connections)

    def test_broken_stream_makes_outcomes_unknown(self):
        """Guards against "not run" for a call that the owner may have sent to a server."""
        self.forward()
        self.reactor.transports[0].loseConnection()
        self.assertEqual([messages.ResultKind.UNKNOWN], [r.kind for r in self.results])
        self.assertFalse(self.link.is_usable)

    def test_owner_ends_calls_of_a_broken_stream(self):
        """Guards against servers that work on for a caller whose entry VM was lost."""
        self.forward()
        self.reactor.transports[1].loseConnection()
        self.assertEqual([1], self.cancelled)

    def test_caller_that_leaves_cancels_at_the_owner(self):
        """Guards against servers that work on after the caller has left."""
        self.forward().cancel()
        self.reactor.carry()
        self.assertEqual([1], self.cancelled)
        self.assertEqual(0, self.link.pending_count)

    def test_call_without_a_stream_has_not_run(self):
        """Guards against an unknown outcome of a call that never left this VM."""
        self.reactor.transports[0].loseConnection()
        self.forward()
        self.assertEqual([messages.ResultKind.NOT_RUN], [r.kind for r in self.results])

    def test_deadline_ends_a_call_and_cancels_it(self):
        """Guards against callers that are held when an owner does not answer."""
        self.forward()
        self.reactor.advance(DEADLINE_S + links.RESULT_GRACE_S)
        self.reactor.carry()
        self.assertEqual([messages.ResultKind.UNKNOWN], [r.kind for r in self.results])
        self.assertEqual([1], self.cancelled)

    def test_silent_owner_gets_no_further_calls_and_is_given_up(self):
        """Guards against calls to an owner without power, whose connection reports no error."""
        self.forward()
        self.reactor.transports[0].cut = True
        self.watch_for(links.SUSPECT_AFTER_S + links.WATCH_S)
        self.assertFalse(self.link.is_usable)
        self.watch_for(links.SILENT_AFTER_S)
        self.assertEqual([messages.ResultKind.UNKNOWN], [r.kind for r in self.results])

    def test_busy_owner_that_answers_pings_stays_usable(self):
        """Guards against giving up an owner whose servers take long."""
        self.forward()
        self.watch_for(1.2)
        self.assertTrue(self.link.is_usable)

    def test_draining_owner_gets_no_new_calls_and_finishes_the_others(self):
        """Guards against calls that a planned stop of the owner cuts off."""
        self.forward()
        self.listener.announce_drain()
        self.reactor.carry()
        self.assertFalse(self.link.is_usable)
        self.assertEqual(1, self.listener.open_connections)
        self.answer(1)
        self.assertEqual([messages.ResultKind.ANSWERED], [r.kind for r in self.results])

    def test_stream_is_opened_again(self):
        """Guards against an owner that stays unused after its restart."""
        self.reactor.transports[0].loseConnection()
        self.watch_for(links.RECONNECT_S + links.WATCH_S)
        self.assertTrue(self.link.is_usable)

    def test_error_in_a_call_is_an_unknown_outcome(self):
        """Guards against a caller without any reply after an unexpected error at the owner."""
        self.forward()
        self.running[1].errback(ValueError("unexpected"))
        self.reactor.carry()
        self.assertEqual([messages.ResultKind.UNKNOWN], [r.kind for r in self.results])

    def test_closed_link_to_a_silent_owner_ends_its_calls(self):
        """Guards against calls that wait until their deadlines for a VM that was lost."""
        owner = test_owners.vm("b")
        queue_owners = owners.QueueOwners(vm="a", now=self.reactor.seconds)
        owner_links = links.OwnerLinks(
            self.reactor, queue_owners, own_vm="a", now=self.reactor.seconds
        )
        queue_owners.announce((owner,), entry_vms=owners.FORWARDING_VMS_MIN)
        owner_links.start()
        self.reactor.advance(links.WATCH_S)
        self.link = owner_links.find(owner)
        self.forward()
        self.reactor.transports[0].cut = True
        queue_owners.announce((test_owners.vm("c"),), entry_vms=owners.FORWARDING_VMS_MIN)
        self.reactor.accepts = False
        self.reactor.pump([links.WATCH_S] * 9)
        self.assertEqual([messages.ResultKind.UNKNOWN], [r.kind for r in self.results])
        self.assertLess(self.reactor.seconds(), DEADLINE_S + 1.0)

    def test_link_that_was_closed_while_it_connected_stays_closed(self):
        """Guards against a stream to a former owner that is never closed."""
        link = links.OwnerLink(self.reactor, test_owners.vm("b"), now=self.reactor.seconds)
        link.close()
        link.connected(self.reactor.transports[0].protocol)
        self.assertFalse(self.reactor.transports[0].connected)
        self.assertFalse(link.is_usable)

    def test_part_of_a_large_result_shows_that_the_owner_lives(self):
        """Guards against giving up an owner while a large result is on its way."""
        self.forward()
        for _ in range(12):
            self.reactor.advance(links.WATCH_S)
            self.reactor.transports[0].protocol.dataReceived(b"")
            self.link.watch()
        self.assertTrue(self.link.is_usable)
