"""Logs, metrics, admin endpoints and audit records."""

from __future__ import annotations
