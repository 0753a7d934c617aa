"""Time constants of leases, peers and requests, in seconds."""

from __future__ import annotations

LEASE_S = 1.0
RENEW_S = 0.2
"""Interval at which lessors renew leases."""
REACHABLE_S = 0.5
"""A lessor refuses the takeover of a server that replied within this time."""
SUSPECT_S = 0.5
"""A server that has not replied for this time is suspected to be lost."""
CLOCK_DRIFT = 0.01
"""Largest relative difference between the rates of two clocks."""

PEER_HEARTBEAT_S = 0.2
PEER_DOWN_S = 0.8
"""A peer that has not been heard for this time is considered down."""
SEND_PERMISSION_S = 1.0
"""Time for which a peer's confirmation that it has the same rows is valid."""
MOVE_WAIT_MAX_S = 1.0
"""Longest time for which a request waits while its shard is being moved."""
CLAIM_WINDOW_S = 60.0
"""Time after the deadline for which the claim of a request id is kept."""
QUARANTINE_S = 60.0
"""Time for which a request that may have crashed servers is quarantined."""
CHANGE_POLL_S = 1.0
"""Interval at which one entry VM per zone polls the change feed."""
