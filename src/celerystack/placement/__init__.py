"""Assignment of shards to servers, move planning and hot keys, free of I/O."""

from __future__ import annotations
