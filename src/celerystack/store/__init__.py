"""Ports to the platform's services, and the HTTP adapters that implement them."""

from __future__ import annotations
