"""Randomized soak test: injects faults into entry VM processes and checks invariants."""
