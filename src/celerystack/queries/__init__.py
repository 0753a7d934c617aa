"""Subcommands that only read state."""

from __future__ import annotations
