"""Requests to read the settings again, which may come before the process can serve them.

This module imports nothing that takes long.
"""

from __future__ import annotations

from collections.abc import Callable


class ReloadRequests:
    """Handler of SIGHUP: keeps a request until there is somebody to pass it on to."""

    def __init__(self) -> None:
        self._is_pending = False
        self._listener: Callable[[], None] | None = None

    def handle(self, *_: object) -> None:
        """Take the signal."""
        if self._listener is None:
            self._is_pending = True
        else:
            self._listener()

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` for each request from now on, and at once if one has come before."""
        self._listener = listener
        if self._is_pending:
            self._is_pending = False
            listener()
