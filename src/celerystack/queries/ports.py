"""Interfaces to running entry VMs, without the libraries that their adapters import."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from twisted.internet import defer


class AdminPort(Protocol):
    """Admin pages of one entry VM."""

    def get(self, page: str, fields: Mapping[str, str]) -> defer.Deferred[tuple[int, Any]]:
        """Return HTTP status and JSON content of a page.

        Raises
        ------
        errors.CelerystackError
            If no entry VM answers, or not with JSON.
        """
