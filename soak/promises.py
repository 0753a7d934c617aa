"""Checks the promises from what callers and servers saw, and from nothing else."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Iterable

from standins import key_server

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
ATTEMPTS_MAX = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What a caller got; ``status`` is None if the connection ended without an answer."""

    request_id: str
    idempotent: bool
    status: int | None
    echoed_id: str = ""
    signature: str = ""
    body: str = ""


class Promises:
    """Collects what was seen and the promises that were broken.

    Parameters
    ----------
    keys : iterable of int
        The keys that callers use; ownership is checked for these.
    """

    def __init__(self, keys: Iterable[int]) -> None:
        self._keys = tuple(keys)
        self._servers: dict[key_server.KeyServer, None] = {}
        self._holder_by_key: dict[int, tuple[str, int]] = {}
        self._token_by_key: dict[int, int] = dict.fromkeys(self._keys, 0)
        self._runs_by_id: dict[str, int] = {}
        self._sent: set[str] = set()
        self._replies: list[Reply] = []
        self.broken: list[str] = []

    @property
    def requests(self) -> int:
        """Number of requests sent."""
        return len(self._sent)

    @property
    def answered(self) -> int:
        """Number of requests that were answered with success."""
        return sum(reply.status == 200 for reply in self._replies)

    def watch(self, server: key_server.KeyServer) -> None:
        """Check a server while it is up."""
        self._servers[server] = None
        server.on_run = self._began
        server.on_grant = self._granted

    def forget(self, server: key_server.KeyServer) -> None:
        """Take notice that a server has ended."""
        self._servers.pop(server, None)

    def sent(self, request_id: str) -> None:
        """Record a request of a caller."""
        self._sent.add(request_id)

    def replied(self, reply: Reply) -> None:
        """Check an answer as far as it can be checked at once."""
        self._replies.append(reply)
        if reply.status != 200:
            return
        if reply.echoed_id != reply.request_id:
            self.broken.append(f"mixed: {reply.request_id} got the answer to {reply.echoed_id}")
        if not reply.signature or reply.signature != reply.body:
            self.broken.append(f"mixed: {reply.request_id} got {reply.body!r} as {reply.signature}")

    def _began(self, server: key_server.KeyServer, request_id: str, key: int | None) -> None:
        self._runs_by_id[request_id] = self._runs_by_id.get(request_id, 0) + 1
        if request_id not in self._sent:
            self.broken.append(f"unasked: {server.server} runs {request_id!r}")
        if key is None:
            return
        others = [s.server for s in self._servers if s is not server and s.holds(key)]
        if others:
            self.broken.append(f"owner: {server.server} and {others} hold key {key}")

    def _granted(self, server: key_server.KeyServer, grant: key_server.Grant) -> None:
        if grant.until <= time.monotonic():
            return
        incarnation = (server.server, server.started_ms)
        for key in self._keys:
            if not grant.start <= key <= grant.end:
                continue
            is_new = self._holder_by_key.get(key) not in (None, incarnation)
            if is_new and grant.token <= self._token_by_key[key]:
                self.broken.append(f"token: {incarnation} takes key {key} with {grant.token}")
            self._holder_by_key[key] = incarnation
            self._token_by_key[key] = max(self._token_by_key[key], grant.token)

    def finish(self) -> list[str]:
        """Check what only the end shows, and return everything that was broken."""
        for reply in self._replies:
            runs = self._runs_by_id.get(reply.request_id, 0)
            if not reply.idempotent and runs > 1:
                self.broken.append(f"twice: {reply.request_id} ran {runs} times")
            if not reply.idempotent and reply.status in NOT_RUN_STATUSES and runs:
                self.broken.append(f"refused: {reply.request_id} got {reply.status} and ran")
            if runs > ATTEMPTS_MAX:
                self.broken.append(f"budget: {reply.request_id} ran on {runs} servers")
        return self.broken
