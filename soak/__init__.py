"""Randomized soak: real entry VM processes, faults from outside, promises checked meanwhile."""
