"""Ends a stand-in process when the process that started it is gone."""

from __future__ import annotations

import os
from typing import Any

from twisted.internet import task

ENVIRONMENT_NAME = "STANDINS_EXIT_WITH_PARENT"
CHECK_S = 1.0


def follow_parent(reactor: Any) -> None:
    """Exit once the parent process has ended, if the environment asks for it.

    A test run that is killed cannot end its processes itself.
    """
    if not os.environ.get(ENVIRONMENT_NAME):
        return
    parent = os.getppid()

    def check() -> None:
        if os.getppid() != parent:
            os._exit(1)

    loop = task.LoopingCall(check)
    loop.clock = reactor
    loop.start(CHECK_S)
