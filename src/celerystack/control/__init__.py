"""Tasks on the Twisted reactor that run leases, placement and routing on an entry VM."""

from __future__ import annotations
