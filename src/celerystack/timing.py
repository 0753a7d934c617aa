"""Time constants of leases, peers and requests, in seconds."""

from __future__ import annotations

LEASE_S = 1.0
RENEW_S = 0.2
REACHABLE_S = 0.5
SUSPECT_S = 0.5
CLOCK_DRIFT = 0.01
"""Largest relative difference between the rates of two clocks."""

PEER_HEARTBEAT_S = 0.2
PEER_DOWN_S = 0.8
VIEW_S = 1.0
HOLD_MAX_S = 1.0
CLAIM_WINDOW_S = 60.0
QUARANTINE_S = 60.0
CHANGE_POLL_S = 1.0
