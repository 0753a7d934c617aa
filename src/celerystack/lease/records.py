"""State that a lessor keeps for each server."""

from __future__ import annotations

import dataclasses

from celerystack import ids, model, timing
from celerystack.backend import messages as order_messages

FOLLOW_UPS_MAX = 3
"""Largest number of orders that replies may trigger between two periodic ones to a server."""

LEASE_BOUND_S = timing.LEASE_S * (1 + timing.CLOCK_DRIFT)
"""Upper bound in seconds on a lease of `timing.LEASE_S` on the server's clock, measured by this
entry VM's clock, which may be faster by `timing.CLOCK_DRIFT`."""


@dataclasses.dataclass(frozen=True)
class Stamp:
    """A timestamp of a server's clock and the local time at which it arrived."""

    value: float
    arrived_at: float


@dataclasses.dataclass
class ServerRecord:
    """Newest row and stamps of one server, and this lessor's promise and role for it.

    Attributes
    ----------
    promised_token : Token
        No grant or renewal is issued under this token or a lower one.
    deputy_token : Token
        Newest token under which this process was appointed as a deputy; 0 if it never was.
    newest_token_seen : Token
        Highest token in any reply; the row is outdated if its token is lower.
    deputy_tokens_by_ref : dict
        The deputies that this process appointed, with the newest token of each appointment.
    acting_since : float
        When this process last became a lessor or deputy of the server.
    acknowledged_at : float or None
        When the row's token was first acknowledged by the recorded server process.
    has_grant : bool
        Whether the server holds a grant of the row's token, according to its last reply.
    probed : bool
        Whether the server is probed even if this process is not one of its lessors.
    follow_ups_left : int
        Orders that replies may still trigger before the next periodic order.
    """

    server: ids.ServerId
    row: model.ServerRow | None = None
    shards: tuple[model.ShardGrant, ...] = ()
    promised_token: ids.Token = ids.Token(0)
    deputy_token: ids.Token = ids.Token(0)
    newest_token_seen: ids.Token = ids.Token(0)
    deputy_tokens_by_ref: dict[model.LessorRef, ids.Token] = dataclasses.field(default_factory=dict)
    stamps_by_incarnation: dict[ids.Incarnation, Stamp] = dataclasses.field(default_factory=dict)
    seen_incarnation: ids.Incarnation | None = None
    last_reply_at: float | None = None
    acting_since: float = float("-inf")
    acknowledged_at: float | None = None
    has_grant: bool = False
    running_dropped: int = 0
    probed: bool = False
    renew_at: float = float("-inf")
    follow_ups_left: int = FOLLOW_UPS_MAX

    def replace_row(self, row: model.ServerRow, shards: tuple[model.ShardGrant, ...]) -> None:
        """Store the newest row and its shards, and prune the stamps."""
        self.row = row
        self.shards = shards
        self._prune_stamps()

    def reset_grant(self) -> None:
        """Clear the acknowledgement and the grant, because the token or the shards changed."""
        self.acknowledged_at = None
        self.has_grant = False
        self.running_dropped = 0
        self.follow_ups_left = FOLLOW_UPS_MAX

    def forget(self) -> None:
        """Drop the row and stop probing; the promise and the reply times stay."""
        self.row = None
        self.shards = ()
        self.probed = False
        self.reset_grant()

    def record_reply(self, reply: order_messages.OrderReply, now: float) -> bool:
        """Record a reply; returns False if its stamp is not newer than the last one."""
        self.newest_token_seen = max(self.newest_token_seen, reply.token)
        known = self.stamps_by_incarnation.get(reply.incarnation)
        if known is not None and reply.stamp <= known.value:
            return False
        self.stamps_by_incarnation[reply.incarnation] = Stamp(reply.stamp, now)
        self.seen_incarnation = reply.incarnation
        self.last_reply_at = now
        self._prune_stamps()
        if self.row is not None and reply.incarnation == self.row.incarnation:
            self._record_grant_state(self.row.token, reply, now)
        return True

    def fresh_stamp(self, now: float) -> Stamp | None:
        """Return the recorded process's newest stamp if it is younger than `timing.LEASE_S`."""
        stamp = self.stamps_by_incarnation.get(self.row.incarnation) if self.row else None
        if stamp is None or now - stamp.arrived_at >= timing.LEASE_S:
            return None
        return stamp

    def remaining_s(self, now: float) -> float:
        """Return the time until every lease that this lessor granted or renewed has expired.

        Every order, including those in flight, echoes a stamp that the server took before the last
        reply arrived.
        """
        if self.last_reply_at is None:
            return 0.0
        return max(0.0, self.last_reply_at + LEASE_BOUND_S - now)

    def active_deputies(self, now: float) -> tuple[model.LessorRef, ...]:
        """Return the appointed deputies that may still grant or renew a lease.

        Deputies of an older token can do so until the server process has acknowledged the newer
        token and the leases from before the acknowledgement have expired.
        """
        token = self.row.token if self.row else ids.Token(0)
        acknowledged = self.acknowledged_at
        if acknowledged is not None and now >= acknowledged + LEASE_BOUND_S:
            return tuple(
                deputy for deputy, held in self.deputy_tokens_by_ref.items() if held >= token
            )
        return tuple(self.deputy_tokens_by_ref)

    def renewal(self, now: float) -> order_messages.Renew | None:
        """Return a renewal of the row's token; None without a fresh stamp."""
        stamp = self.fresh_stamp(now)
        if self.row is None or stamp is None:
            return None
        return order_messages.Renew(
            server=self.server,
            incarnation=self.row.incarnation,
            token=self.row.token,
            echo_stamp=stamp.value,
        )

    def grant(self, now: float) -> order_messages.Grant | None:
        """Return a grant of the row's token and shards; None without a fresh stamp."""
        stamp = self.fresh_stamp(now)
        if self.row is None or stamp is None:
            return None
        return order_messages.Grant(
            server=self.server,
            incarnation=self.row.incarnation,
            token=self.row.token,
            echo_stamp=stamp.value,
            shards=self.shards,
        )

    def _record_grant_state(
        self, token: ids.Token, reply: order_messages.OrderReply, now: float
    ) -> None:
        if reply.token != token:
            self.has_grant = False
            return
        if self.acknowledged_at is None:
            self.acknowledged_at = now
        self.running_dropped = reply.running_dropped
        self.has_grant = reply.result is order_messages.OrderResult.OK

    def _prune_stamps(self) -> None:
        kept = {self.seen_incarnation, self.row.incarnation if self.row else None}
        self.stamps_by_incarnation = {
            incarnation: stamp
            for incarnation, stamp in self.stamps_by_incarnation.items()
            if incarnation in kept
        }
