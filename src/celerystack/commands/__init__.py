"""Subcommands that change state."""

from __future__ import annotations
