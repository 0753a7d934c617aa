"""Subcommands that change the cluster's state."""

from __future__ import annotations
