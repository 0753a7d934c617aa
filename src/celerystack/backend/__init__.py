"""HTTP client for backend servers, and the client that sends orders to them."""

from __future__ import annotations
