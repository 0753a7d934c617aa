"""Versioned table rows: their keys, encoding and cache, and the shard map."""

from __future__ import annotations
