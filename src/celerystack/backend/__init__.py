"""HTTP client to backend servers and the orders adapter."""

from __future__ import annotations
