"""Guards against link faults of the soak that have no effect on the traffic."""

from twisted.trial import unittest

from soak import proxy
from standins import scripted_backend


class ProxyTest(unittest.TestCase):
    timeout = 20

    async def connect_through_proxy(self):
        server = scripted_backend.FakeServer()
        link = proxy.Proxy(server.address)
        self.addCleanup(server.stop)
        self.addCleanup(link.stop)
        caller = await scripted_backend.connect_raw(int(link.address.rpartition(":")[2]))
        caller.transport.write(b"GET / HTTP/1.1\r\n\r\n")
        await scripted_backend.wait_until(until=lambda: caller.received)
        return server, link, caller

    def send_again(self, caller):
        caller.parts = []
        caller.transport.write(b"GET / HTTP/1.1\r\n\r\n")

    async def test_silent_link_passes_nothing_until_it_is_open(self):
        server, link, caller = await self.connect_through_proxy()
        link.set_mode(proxy.Mode.SILENT)
        self.send_again(caller)
        await scripted_backend.sleep(0.2)
        self.assertEqual((1, b""), (len(server.requests), caller.received))
        link.set_mode(proxy.Mode.OPEN)
        await scripted_backend.wait_until(until=lambda: caller.received)

    async def test_one_way_link_loses_only_answers(self):
        server, link, caller = await self.connect_through_proxy()
        link.set_mode(proxy.Mode.ONE_WAY)
        self.send_again(caller)
        await scripted_backend.wait_until(until=lambda: len(server.requests) == 2)
        await scripted_backend.sleep(0.1)
        self.assertEqual(b"", caller.received)

    async def test_reset_breaks_open_connections(self):
        _, link, caller = await self.connect_through_proxy()
        link.set_mode(proxy.Mode.RESET)
        await scripted_backend.wait_until(until=lambda: caller.closed)

    async def test_delay_is_not_a_loss(self):
        _, link, caller = await self.connect_through_proxy()
        link.set_mode(proxy.Mode.DELAY)
        self.send_again(caller)
        await scripted_backend.sleep(proxy.DELAY_S)
        self.assertEqual(b"", caller.received)
        await scripted_backend.wait_until(until=lambda: caller.received)
