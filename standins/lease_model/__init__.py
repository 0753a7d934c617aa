"""Simulated entry VMs, servers and table, for tests of the lease logic."""

from __future__ import annotations
