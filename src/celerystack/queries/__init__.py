"""Read-only subcommands."""

from __future__ import annotations
