"""Shard placement: assignment to servers, balancing moves and hot keys; does no I/O."""

from __future__ import annotations
