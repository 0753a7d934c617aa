"""Tasks on the Twisted reactor that renew leases, place shards and route requests."""

from __future__ import annotations
