"""celerystack: a request router for backend servers that own keys exclusively."""

from __future__ import annotations

__version__ = "0.1.0"
