"""Hot key splitting in a shortened simulation of measurements.hot_keys."""

from __future__ import annotations

import pytest

from measurements import hot_keys


@pytest.mark.parametrize("seed", [31, 32])
def test_splitting_is_no_worse_and_does_not_flap(seed: int, monkeypatch):
    """Guards against splits that increase the imbalance, flap or exceed the churn budget."""
    monkeypatch.setattr(hot_keys, "SEED", seed)
    monkeypatch.setattr(hot_keys, "PHASES", 2)
    split = hot_keys.Simulation(split_keys=True)
    unsplit = hot_keys.Simulation(split_keys=False)
    split.run()
    unsplit.run()
    assert split.settled_imbalance() <= unsplit.settled_imbalance()
    assert split.repeated_splits == 0
    assert split.splits > 0
    budget = hot_keys.CHURN_PER_MINUTE * hot_keys.BASE_SHARDS
    assert split.busiest_minute() <= 4 * budget
