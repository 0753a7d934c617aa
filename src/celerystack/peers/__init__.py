"""Streams between entry VMs: frames, authentication and mesh."""

from __future__ import annotations
