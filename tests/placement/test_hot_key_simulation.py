"""Hot keys in the simulation of measurements.hot_keys, cut to one hot set."""

from __future__ import annotations

import pytest

from measurements import hot_keys


@pytest.mark.parametrize("seed", [31, 32])
def test_splitting_is_no_worse_and_does_not_flap(seed: int, monkeypatch):
    monkeypatch.setattr(hot_keys, "SEED", seed)
    monkeypatch.setattr(hot_keys, "PHASES", 2)
    split = hot_keys.Simulation(split_keys=True)
    plain = hot_keys.Simulation(split_keys=False)
    split.run()
    plain.run()
    assert split.settled_imbalance() <= plain.settled_imbalance()
    assert split.repeated_splits == 0
    assert split.splits > 0
    budget = hot_keys.CHURN_PER_MINUTE * hot_keys.BASE_SHARDS
    assert split.busiest_minute() <= 4 * budget
