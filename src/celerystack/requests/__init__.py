"""Caller front end, forwarding, outcomes, claims and quarantine."""

from __future__ import annotations
