"""The process of an entry VM on the users' platform."""

from __future__ import annotations

import logging
import signal
import sys
import time
from typing import Any

from celerystack import errors, settings
from celerystack.observe import logs, nonblocking_log
from celerystack.platform import reload_signal

_log = logging.getLogger(__name__)


def _now() -> float:
    """Return monotonic time in seconds, which includes the time that the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(reload_requests: reload_signal.ReloadRequests) -> int:
    """Run until SIGTERM; returns the exit code."""
    from celerystack.platform import allocator
    from celerystack.platform import settings as node_settings

    allocator.map_large_blocks()
    handler = nonblocking_log.NonBlockingHandler(sys.stdout.fileno())
    handler.addFilter(nonblocking_log.VolumeFilter())
    logs.configure(
        log_format=settings.LogFormat.JSON, log_level=settings.LogLevel.INFO, handler=handler
    )
    try:
        configured = node_settings.load()
    except errors.SettingsError as error:
        _log.critical("%s", error, extra={"step": "start"})
        return 2
    # Imported here, because the import installs the reactor.
    from twisted.internet import reactor

    reactor.seconds = _now
    logs.forward_twisted()
    _run(reactor, configured, reload_requests)
    return 0


def _run(reactor: Any, configured: Any, reload_requests: reload_signal.ReloadRequests) -> None:
    from twisted.internet import defer

    from celerystack.gateway import node, store_watcher
    from celerystack.platform import config, orders, registry, requests, store
    from celerystack.platform import settings as node_settings

    entry_vm = node.EntryVm(
        reactor,
        configured,
        store=store.HttpRowStore(reactor, configured.store_address, now=_now),
        port=orders.HttpOrders(reactor, now=_now),
        row_layout=store_watcher.RowLayout(
            config_table=config.TABLE,
            config_key=config.KEY,
            servers_table=registry.TABLE,
            decode_config=config.decode,
            decode_server=registry.decode,
            evacuated_zone=config.evacuated_zone,
        ),
        request_codec=requests.HeaderRequestCodec(),
        now=_now,
    )

    def terminate(*_: object) -> None:
        reactor.callFromThread(stop)

    def stop() -> None:
        if entry_vm.stopping:
            return
        done = defer.Deferred.fromCoroutine(entry_vm.stop())
        done.addErrback(lambda failure: _log.error("shutdown failed: %s", failure.getTraceback()))
        done.addBoth(lambda _: reactor.stop())

    def reload() -> None:
        try:
            entry_vm.reload(node_settings.load())
        except errors.SettingsError as error:
            _log.error(
                "settings could not be reloaded, the old ones stay in force: %s",
                error,
                extra={"step": "reload"},
            )

    signal.signal(signal.SIGTERM, terminate)
    signal.signal(signal.SIGINT, terminate)
    reload_requests.listen(lambda: reactor.callFromThread(reload))
    reactor.callWhenRunning(entry_vm.start)
    reactor.run(installSignalHandlers=False)
