"""Ports to the platform's services and their HTTP adapters."""

from __future__ import annotations
