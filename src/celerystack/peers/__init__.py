"""Peer streams between entry VMs: messages, authentication, liveness and row exchange."""

from __future__ import annotations
