"""Runs an entry VM on the users' platform: ``python -m celerystack.platform``.

SIGHUP ends a process that does not handle it, and may come at any moment. Its handler is therefore
installed before the modules are imported that take most of the start.
"""

from __future__ import annotations

import signal
import sys

from celerystack.platform import reload_signal


def main() -> int:
    """Run until SIGTERM; returns the exit code."""
    requests = reload_signal.ReloadRequests()
    signal.signal(signal.SIGHUP, requests.handle)
    from celerystack.platform import process

    return process.run(requests)


if __name__ == "__main__":
    sys.exit(main())
