"""Checks the invariants of the router against what callers and servers observed."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Iterable

from standins import key_server

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
ATTEMPTS_MAX = 2  # `max_attempts` of the routes in `range_cluster.config_row_value`


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Reply to a caller; ``status`` is None if the connection closed without one."""

    request_id: str
    idempotent: bool
    status: int | None
    echoed_id: str = ""
    signature: str = ""
    body: str = ""


class InvariantChecker:
    """Records requests, runs, replies and grants, and checks them against the invariants.

    Parameters
    ----------
    keys : iterable of int
        The keys that callers use; exclusive ownership is checked for these.
    """

    def __init__(self, keys: Iterable[int]) -> None:
        self._keys = tuple(keys)
        self._servers: dict[key_server.KeyServer, None] = {}
        self._last_holder_by_key: dict[int, tuple[str, int]] = {}
        self._highest_token_by_key: dict[int, int] = dict.fromkeys(self._keys, 0)
        self._run_count_by_id: dict[str, int] = {}
        self._request_ids: set[str] = set()
        self._replies: list[Reply] = []
        self.violations: list[str] = []

    @property
    def requests(self) -> int:
        """Number of requests that were sent."""
        return len(self._request_ids)

    @property
    def answered(self) -> int:
        """Number of requests with a reply of status 200."""
        return sum(reply.status == 200 for reply in self._replies)

    def has_run(self, request_id: str) -> bool:
        """Return whether a server has run a request."""
        return request_id in self._run_count_by_id

    def record_lost(self, vm: str, request_ids: Iterable[str]) -> None:
        """Record requests that ran and whose answers a planned stop of an entry VM cut off."""
        self.violations += [f"lost: {vm} cut off the answer to {one}" for one in request_ids]

    def add_server(self, server: key_server.KeyServer) -> None:
        """Observe the runs and grants of a server that has started."""
        self._servers[server] = None
        server.on_run = self._on_run
        server.on_grant = self._on_grant

    def remove_server(self, server: key_server.KeyServer) -> None:
        """Stop counting a server that has ended as a holder of keys."""
        self._servers.pop(server, None)

    def record_request(self, request_id: str) -> None:
        """Record that a caller sends a request."""
        self._request_ids.add(request_id)

    def record_reply(self, reply: Reply) -> None:
        """Record a reply and check that it belongs to its request."""
        self._replies.append(reply)
        if reply.status != 200:
            return
        if reply.echoed_id != reply.request_id:
            self.violations.append(f"mixed: {reply.request_id} got the answer to {reply.echoed_id}")
        if not reply.signature or reply.signature != reply.body:
            self.violations.append(
                f"mixed: {reply.request_id} got {reply.body!r} as {reply.signature}"
            )

    def _on_run(self, server: key_server.KeyServer, request_id: str, key: int | None) -> None:
        self._run_count_by_id[request_id] = self._run_count_by_id.get(request_id, 0) + 1
        if request_id not in self._request_ids:
            self.violations.append(f"unasked: {server.server} runs {request_id!r}")
        if key is None:
            return
        other_holders = [s.server for s in self._servers if s is not server and s.holds(key)]
        if other_holders:
            self.violations.append(f"owner: {server.server} and {other_holders} hold key {key}")

    def _on_grant(self, server: key_server.KeyServer, grant: key_server.Grant) -> None:
        if grant.expires_at <= time.monotonic():
            return
        incarnation = (server.server, server.started_ms)
        for key in self._keys:
            if not grant.start <= key <= grant.end:
                continue
            is_new_holder = self._last_holder_by_key.get(key) not in (None, incarnation)
            if is_new_holder and grant.token <= self._highest_token_by_key[key]:
                self.violations.append(f"token: {incarnation} takes key {key} with {grant.token}")
            self._last_holder_by_key[key] = incarnation
            self._highest_token_by_key[key] = max(self._highest_token_by_key[key], grant.token)

    def finish(self) -> list[str]:
        """Check run counts and statuses after the run, and return all violations."""
        for reply in self._replies:
            run_count = self._run_count_by_id.get(reply.request_id, 0)
            if not reply.idempotent and run_count > 1:
                self.violations.append(f"twice: {reply.request_id} ran {run_count} times")
            if not reply.idempotent and reply.status in NOT_RUN_STATUSES and run_count:
                self.violations.append(f"refused: {reply.request_id} got {reply.status} and ran")
            if run_count > ATTEMPTS_MAX:
                self.violations.append(f"budget: {reply.request_id} ran on {run_count} servers")
        return self.violations
