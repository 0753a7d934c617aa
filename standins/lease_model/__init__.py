"""Entry VMs, servers and a table in simulated time, for tests of the lease decisions."""

from __future__ import annotations
