"""Requests that crash servers, in 40 s of the simulation of `measurements.crash`."""

from __future__ import annotations

import pytest

from measurements import crash


@pytest.mark.parametrize("seed", [21, 22, 23])
def test_few_servers_are_lost_and_few_other_requests_refused(seed: int, monkeypatch):
    """Guards against a request that crashes many servers, and against rejecting other requests.

    The rule allows two losses per request, plus a loss that is not yet known to all peers.
    """
    monkeypatch.setattr(crash, "SEED", seed)
    simulation = crash.Simulation(protected=True, duration_s=40.0)
    simulation.run()
    assert simulation.losses_per_request(0.0, 20.0) <= 2.0
    refused = set(simulation.refused_s_by_request) | set(simulation._first_refused_at_by_request)
    assert len(refused) <= simulation.harmless_requests / 1000
