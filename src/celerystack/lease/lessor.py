"""Grants, renewals and promises of one entry VM, for all servers.

See sections 4.1 to 4.4 of the design page. A lessor grants leases only to the server process that
is recorded in the server's row. A process that started later has not seen the newest token, so it
could not refuse the orders of a lessor with an old row; the reconciler first records the process
under a new token.

While the table is unavailable, lessors appoint deputies: other entry VMs of their zone, which may
grant and renew under the same token.
"""

from __future__ import annotations

from celerystack import ids, model, timing
from celerystack.backend import messages as order_messages
from celerystack.lease import records
from celerystack.peers import messages as peer_messages


class Lessor:
    """The lessor role of this process.

    Parameters
    ----------
    self_ref : LessorRef
        This process, as it is named in server rows.
    """

    def __init__(self, *, self_ref: model.LessorRef) -> None:
        self.self_ref = self_ref
        self._records_by_server: dict[ids.ServerId, records.ServerRecord] = {}

    def update(
        self, row: model.ServerRow, shards: tuple[model.ShardGrant, ...], now: float
    ) -> list[order_messages.Order]:
        """Store a server's newest row and the full list of its shards.

        ``row`` and ``shards`` must come from the same snapshot of the table: each token belongs
        to exactly one list of shards. A row with an older token is ignored.

        Returns
        -------
        list of Order
            A grant or a probe to be sent at once, if this process is a lessor or deputy.
        """
        record = self._record(row.server)
        if record.row is not None and row.token < record.row.token:
            return []
        was_acting = self._may_grant_or_renew(record)
        changed = record.row is None or row.token != record.row.token or shards != record.shards
        record.replace_row(row, shards)
        if not changed:
            return []
        record.reset_grant()
        if not self._may_grant_or_renew(record):
            return []
        if not was_acting:
            record.acting_since = now
        record.renew_at = now + timing.RENEW_S
        return [self._next_order(record, now)]

    def set_probed_servers(self, servers: frozenset[ids.ServerId]) -> None:
        """Also probe these servers, whether or not this process is one of their lessors.

        The reconciler of a server whose lessors have all ended learns in this way that the server
        replies.
        """
        for server in sorted(servers):
            self._record(server)
        for server, record in self._records_by_server.items():
            record.probed = server in servers

    def forget(self, server: ids.ServerId) -> None:
        """Stop renewing the lease of a server that is no longer declared; the promise is kept."""
        self._record(server).forget()

    def tick(self, now: float) -> list[order_messages.Order]:
        """Return the orders that are due; must be called several times per `timing.RENEW_S`."""
        due = []
        for record in self._records_by_server.values():
            may_grant_or_renew = self._may_grant_or_renew(record)
            if now < record.renew_at or not (
                may_grant_or_renew or record.probed or self._is_lessor_or_deputy(record)
            ):
                continue
            record.renew_at = now + timing.RENEW_S
            record.follow_ups_left = records.FOLLOW_UPS_MAX
            due.append(
                self._next_order(record, now)
                if may_grant_or_renew
                else order_messages.Probe(record.server)
            )
        return due

    def on_reply(self, reply: order_messages.OrderReply, now: float) -> list[order_messages.Order]:
        """Record a server's reply and return the orders that must be sent at once because of it."""
        record = self._record(reply.server)
        fresh_before = record.fresh_stamp(now) is not None
        if not record.record_reply(reply, now) or not self._may_grant_or_renew(record):
            return []
        if record.row is None or reply.incarnation != record.row.incarnation:
            return []
        if fresh_before and record.has_grant:
            return []
        # Without this limit, a faulty server that always replies "no_grant" gets grants in a loop.
        if record.follow_ups_left <= 0:
            return []
        record.follow_ups_left -= 1
        return [record.grant(now) or order_messages.Probe(record.server)]

    def on_promise_request(
        self, request: peer_messages.PromiseRequest, now: float
    ) -> peer_messages.PromiseReply:
        """Promise not to grant or renew under tokens up to the requested one, or refuse.

        The promise is refused if the server replied within `timing.REACHABLE_S`, if this process
        became a lessor or deputy within that time and so cannot know yet whether the server
        replies, or if a newer token is known. An earlier promise stays in force in all cases.
        """
        record = self._record(request.server)
        superseded = record.row is not None and record.row.token > request.token
        starting = (
            self._may_grant_or_renew(record) and now - record.acting_since < timing.REACHABLE_S
        )
        promised = not (superseded or starting or self.is_reachable(request.server, now))
        if promised:
            record.promised_token = max(record.promised_token, request.token)
        return peer_messages.PromiseReply(
            server=request.server,
            token=request.token,
            lessor=self.self_ref,
            promised=promised,
            remaining_s=record.remaining_s(now) if promised else 0.0,
            deputies=record.active_deputies(now),
        )

    def deputize(
        self, server: ids.ServerId, deputy: model.LessorRef
    ) -> peer_messages.Deputize | None:
        """Appoint a deputy under the row's token; None if it cannot be appointed.

        Only a lessor or deputy that has not promised can appoint one. Every later promise names
        the deputy, even if the message is lost.
        """
        record = self._record(server)
        if (
            record.row is None
            or not self._may_grant_or_renew(record)
            or deputy in (self.self_ref, *record.row.lessors)
        ):
            return None
        record.deputy_tokens_by_ref[deputy] = record.row.token
        return peer_messages.Deputize(server, record.row.token)

    def on_deputize(
        self, message: peer_messages.Deputize, now: float
    ) -> list[order_messages.Order]:
        """Become a deputy unless a promise covers the token; returns orders to be sent at once.

        The role takes effect when the row with the token is known.
        """
        record = self._record(message.server)
        if message.token <= max(record.promised_token, record.deputy_token):
            return []
        was_acting = self._may_grant_or_renew(record)
        record.deputy_token = message.token
        if was_acting or not self._may_grant_or_renew(record):
            return []
        record.acting_since = now
        record.renew_at = now + timing.RENEW_S
        return [self._next_order(record, now)]

    def last_reply_at(self, server: ids.ServerId) -> float | None:
        """Return when the server's newest reply arrived; None if there was none."""
        return self._record(server).last_reply_at

    def is_reachable(self, server: ids.ServerId, now: float) -> bool:
        """Return whether a reply arrived within `timing.REACHABLE_S`."""
        last = self._record(server).last_reply_at
        return last is not None and now - last < timing.REACHABLE_S

    def seen_incarnation(self, server: ids.ServerId) -> ids.Incarnation | None:
        """Return the incarnation in the newest reply; None if there was none."""
        return self._record(server).seen_incarnation

    def running_dropped(self, server: ids.ServerId) -> int | None:
        """Return how many requests still run for shards that the row's token withdrew.

        None until the server has acknowledged that token.
        """
        record = self._record(server)
        return record.running_dropped if record.acknowledged_at is not None else None

    def acknowledged_token(self, server: ids.ServerId) -> ids.Token | None:
        """Return the row's token if the recorded server process has accepted a grant of it."""
        record = self._record(server)
        if record.row is None or record.acknowledged_at is None:
            return None
        return record.row.token

    def acknowledged_at(self, server: ids.ServerId) -> float | None:
        """Return when the acknowledgement of the row's token arrived."""
        return self._record(server).acknowledged_at

    def has_promised(self, server: ids.ServerId) -> bool:
        """Return whether a promise forbids grants and renewals under the row's token."""
        record = self._record(server)
        return record.row is not None and record.promised_token >= record.row.token

    def may_grant_or_renew(self, server: ids.ServerId) -> bool:
        """Return whether this process, as lessor or deputy, may grant and renew the lease."""
        return self._may_grant_or_renew(self._record(server))

    def deputies(self, server: ids.ServerId) -> tuple[model.LessorRef, ...]:
        """Return the deputies that this process appointed under the row's token."""
        record = self._record(server)
        token = record.row.token if record.row is not None else 0
        return tuple(ref for ref, held in record.deputy_tokens_by_ref.items() if held >= token)

    def _record(self, server: ids.ServerId) -> records.ServerRecord:
        record = self._records_by_server.get(server)
        if record is None:
            record = self._records_by_server[server] = records.ServerRecord(server)
        return record

    def _is_lessor_or_deputy(self, record: records.ServerRecord) -> bool:
        row = record.row
        return row is not None and (
            self.self_ref in row.lessors or record.deputy_token == row.token
        )

    def _may_grant_or_renew(self, record: records.ServerRecord) -> bool:
        """Return whether this process may grant and renew under the row's token."""
        row = record.row
        return (
            row is not None
            and row.state is not model.ServerState.LOST
            and row.token > record.promised_token
            and row.token >= record.newest_token_seen
            and self._is_lessor_or_deputy(record)
        )

    def _next_order(self, record: records.ServerRecord, now: float) -> order_messages.Order:
        order = record.renewal(now) if record.has_grant else record.grant(now)
        return order or order_messages.Probe(record.server)
