"""Short soak runs with fixed seeds; a test of a seed that once failed names the cause."""

import pathlib
import tempfile

import pytest
from twisted.trial import unittest

from soak import run
from standins import layout

pytestmark = pytest.mark.ranges

NETWORK = f"127.{100 + layout.worker_number()}.8"
SIZE = run.Size(vms=2, servers=3, fault_window_s=8.0)


class RunTest(unittest.TestCase):
    timeout = 90

    async def soak(self, seed: int) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            result = await run.run(seed, folder, size=SIZE, network=NETWORK)
            self.assertEqual((), result.violations)
            self.assertGreater(result.answered, 100)

    async def test_short_run(self):
        """Guards against invariant violations under overlapping faults."""
        await self.soak(11)
