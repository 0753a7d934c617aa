"""Callers' HTTP front end, forwarding to servers, retries, request id claims and quarantine."""

from __future__ import annotations
