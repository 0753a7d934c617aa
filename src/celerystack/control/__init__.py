"""Twisted tasks that drive the lease and placement decisions."""

from __future__ import annotations
