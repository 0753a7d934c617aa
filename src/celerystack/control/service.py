"""Runs the router process: reactor, signal handlers and admin listener."""

from __future__ import annotations

import logging
import signal
import time
from typing import Any

from celerystack import settings

_log = logging.getLogger(__name__)


def run(configured: settings.Settings) -> int:
    """Run an entry VM until SIGTERM or SIGINT; return the exit code."""
    # Importing the reactor installs it, so it is not imported at module level.
    from twisted.internet import defer, reactor

    from celerystack.control import entry_vm, status
    from celerystack.observe import admin, logs

    # By default the reactor uses the wall clock, whose steps would shift all timers.
    reactor.seconds = time.monotonic
    logs.configure(log_format=configured.log_format, log_level=configured.log_level)
    logs.forward_twisted()
    process = entry_vm.EntryVmProcess(reactor, configured)
    host, port = settings.split_address(configured.admin_address)
    site = admin.site(
        registry=process.registry,
        ready=process.is_ready,
        status=lambda: status.of_process(process),
        where=process.locator.locate,
    )
    reactor.listenTCP(port, site, interface=host)
    reactor.callWhenRunning(process.start)

    def drain(*_: Any) -> None:
        reactor.callFromThread(begin_drain)

    def begin_drain() -> None:
        if process.draining:
            return
        _log.info("shutting down", extra={"step": "drain"})
        done = defer.ensureDeferred(process.drain())
        done.addErrback(lambda failure: _log.error("drain failed: %s", failure.getTraceback()))
        done.addBoth(lambda _: reactor.stop())

    signal.signal(signal.SIGTERM, drain)
    signal.signal(signal.SIGINT, drain)
    reactor.run(installSignalHandlers=False)
    return 0
