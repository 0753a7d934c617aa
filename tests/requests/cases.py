"""Base class of tests that run a front end with fake servers."""

from __future__ import annotations

from twisted.trial import unittest

from celerystack import model
from standins import scripted_backend as backend_fakes
from tests.requests import fakes


class HarnessTestCase(unittest.TestCase):
    timeout = 20

    async def harness(
        self, *, servers: int = 1, service: model.Service = fakes.ATLAS, **options
    ) -> tuple[fakes.Harness, list[backend_fakes.FakeServer]]:
        """Return a harness and its fake servers, named ``a0``, ``a1`` and so on."""
        backends = [backend_fakes.FakeServer() for _ in range(servers)]
        declared = [
            fakes.server(f"a{index}", backend.address, service)
            for index, backend in enumerate(backends)
        ]
        harness = fakes.Harness(*declared, **options)
        self.addCleanup(self._stop, harness, backends)
        return harness, backends

    async def _stop(self, harness, backends):
        for backend in backends:
            await backend.stop()
        await harness.stop()

    def assert_outcome(self, response, status, outcome):
        self.assertEqual(
            (response.status, response.header(b"x-celerystack-outcome")), (status, outcome)
        )
