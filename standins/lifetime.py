"""Ends a stand-in process when its parent process has ended."""

from __future__ import annotations

import os
from typing import Any

from twisted.internet import task

EXIT_WITH_PARENT_VARIABLE = "STANDINS_EXIT_WITH_PARENT"
PARENT_CHECK_INTERVAL_S = 1.0


def exit_with_parent(reactor: Any) -> None:
    """Exit once the parent process has ended, if `EXIT_WITH_PARENT_VARIABLE` is set.

    A killed test run cannot end its child processes itself.
    """
    if not os.environ.get(EXIT_WITH_PARENT_VARIABLE):
        return
    parent_pid = os.getppid()

    def check() -> None:
        if os.getppid() != parent_pid:
            os._exit(1)

    loop = task.LoopingCall(check)
    loop.clock = reactor
    loop.start(PARENT_CHECK_INTERVAL_S)
