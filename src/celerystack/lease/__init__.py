"""Lease decisions: lessors, takeovers and stewardship, free of I/O."""

from __future__ import annotations
