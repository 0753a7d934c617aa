"""Servers that write an earlier response once more, late, on a kept connection."""

from __future__ import annotations

from standins import scripted_backend as fakes
from tests.backend import test_client

ID_HEADER = b"X-Id"


class RepeatedAnswerTest(test_client.ClientTestCase):
    def matching(self, request_id):
        return lambda headers: dict(headers).get(ID_HEADER.lower()) == request_id

    def answer(self, request_id, body):
        return fakes.answer(body, headers=b"%s: %s\r\n" % (ID_HEADER, request_id))

    async def send(self, pool, request_id, **options):
        response = await pool.exchange(
            test_client.GET,
            deadline=test_client.deadline_in(),
            matches_request=self.matching(request_id),
            **options,
        )
        return response.body

    async def test_late_copy_of_another_answer_is_skipped(self):
        """Guards against a caller that receives the answer to the request before its own."""
        first = self.answer(b"1", b"first")
        server = self.server(first, first + self.answer(b"2", b"second"))
        pool = self.pool(server)
        self.assertEqual(b"first", await self.send(pool, b"1"))
        self.assertEqual(b"second", await self.send(pool, b"2"))

    async def test_repeated_request_gets_a_connection_of_its_own(self):
        """Guards against an earlier refusal of the same request that is written once more.

        It has the id of the request, so only a connection on which the request was not sent before
        shows that a response belongs to the repeat.
        """
        refused = self.answer(b"1", b"refused")
        server = self.server(refused)
        seen = []

        def handle(request):
            repeated = any(request.connection is other for other in seen)
            seen.append(request.connection)
            if repeated:
                request.connection.send(refused)
            request.connection.send(refused if len(seen) == 1 else self.answer(b"1", b"run"))

        server.handler = handle
        pool = self.pool(server, limit=1)
        self.assertEqual(b"refused", await self.send(pool, b"1"))
        self.assertEqual(b"run", await self.send(pool, b"1", needs_new_connection=True))
        self.assertEqual(2, server.accepted)

    async def test_waiting_repeat_leaves_kept_connections_to_others(self):
        """Guards against requests that wait behind a repeat although a connection is idle."""
        held = []
        server = self.server(held.append)
        pool = self.pool(server, limit=1)
        first = pool.exchange(test_client.GET, deadline=test_client.deadline_in())
        repeat = pool.exchange(
            test_client.post(b"r"), deadline=test_client.deadline_in(), needs_new_connection=True
        )
        other = pool.exchange(test_client.post(b"o"), deadline=test_client.deadline_in())
        for index, sent in enumerate((first, other, repeat)):
            await fakes.wait_until(until=lambda index=index: len(held) > index)
            held[index].connection.send(fakes.answer(held[index].body))
            await sent
        self.assertEqual([b"", b"o", b"r"], [request.body for request in held])
        self.assertIs(held[0].connection, held[1].connection)
        self.assertIsNot(held[0].connection, held[2].connection)

    async def test_connections_that_are_not_kept(self):
        """Guards against the response to an earlier order taken for that to the next one."""
        server = self.server(fakes.answer(b"x"))
        pool = self.pool(server, keeps_connections=False)
        for _ in range(3):
            await pool.exchange(test_client.GET, deadline=test_client.deadline_in())
        self.assertEqual(3, server.accepted)
        self.assertEqual(0, pool.idle_count)
