"""Rules with one rule broken each; the randomized simulation must find a violation of each."""

from __future__ import annotations

import dataclasses

from celerystack import ids, model, timing
from celerystack.backend import messages as orders
from celerystack.lease import lessor, reconciliation, takeover
from celerystack.peers import messages as peer_messages
from standins.lease_model import model_server, sim_cluster, sim_faults


class RenewalFromReceipt(model_server.ModelServer):
    """Starts the lease at the receipt of the order instead of the echoed stamp."""

    def lease_end(self, order: orders.Renew | orders.Grant, clock: float) -> float:
        return clock + timing.LEASE_S


class MajorityTakeover(takeover.Takeover):
    """Commits when a majority of the lessors promised, instead of all."""

    def state(self, now: float) -> takeover.TakeoverState:
        promised = self._leases_expire_at_by_lessor
        if 2 * len(promised) > len(self._reply_deadline_by_lessor):
            until = max(promised.values())
            return takeover.Ready(None) if now >= until else takeover.AwaitingLeaseExpiry(until)
        return super().state(now)


class TakeoverWithoutPrevious(takeover.Takeover):
    """Does not ask the previous lessors."""

    def __init__(self, row: model.ServerRow, *, now: float) -> None:
        super().__init__(row, now=now)
        for previous in set(row.previous_lessors) - set(row.lessors):
            del self._reply_deadline_by_lessor[previous]


class TakeoverWithoutDeputies(takeover.Takeover):
    """Does not ask the deputies that a promise names."""

    def on_promise(self, reply: peer_messages.PromiseReply, now: float) -> None:
        super().on_promise(dataclasses.replace(reply, deputies=()), now)


class LessorDroppingPromise(lessor.Lessor):
    """Drops its promise and renews the lease again when the server replies."""

    def on_reply(self, reply: orders.OrderReply, now: float) -> list[orders.Order]:
        self._record(reply.server).promised_token = ids.Token(0)
        return super().on_reply(reply, now)


class LessorIgnoringIncarnation(lessor.Lessor):
    """Grants to any process that replies, not only to the incarnation in the row."""

    def on_reply(self, reply: orders.OrderReply, now: float) -> list[orders.Order]:
        record = self._record(reply.server)
        if record.row is not None and reply.incarnation != record.row.incarnation:
            row = dataclasses.replace(record.row, incarnation=reply.incarnation)
            record.replace_row(row, record.shards)
        return super().on_reply(reply, now)


class LessorOmittingOldDeputies(lessor.Lessor):
    """Omits the deputies of older tokens, whose orders the server may still accept."""

    def on_promise_request(
        self, request: peer_messages.PromiseRequest, now: float
    ) -> peer_messages.PromiseReply:
        reply = super().on_promise_request(request, now)
        record = self._record(request.server)
        token = record.row.token if record.row is not None else 0
        named = [ref for ref, held in record.deputy_tokens_by_ref.items() if held >= token]
        return dataclasses.replace(reply, deputies=tuple(named))


def clear_previous_at_once(view: reconciliation.ServerView, now: float) -> reconciliation.Decision:
    """Clear the previous lessors before the server acknowledged the current token."""
    if view.row is not None:
        view = dataclasses.replace(
            view, acknowledged_token=view.row.token, acknowledged_at=float("-inf")
        )
    return reconciliation.decide(view, now)


@dataclasses.dataclass(frozen=True)
class Variant:
    """A broken rule and the scenario whose faults reveal it."""

    rules: sim_cluster.Rules
    scenario: sim_faults.Scenario


VARIANTS_BY_NAME = {
    "renewal timed from receipt": Variant(
        sim_cluster.Rules(server=RenewalFromReceipt), sim_faults.DELAY_FAULTS
    ),
    "majority of promises": Variant(sim_cluster.Rules(takeover=MajorityTakeover), sim_faults.MIXED),
    "previous lessors ignored": Variant(
        sim_cluster.Rules(takeover=TakeoverWithoutPrevious), sim_faults.LESSOR_FAULTS
    ),
    "previous lessors cleared early": Variant(
        sim_cluster.Rules(decide=clear_previous_at_once), sim_faults.LESSOR_FAULTS
    ),
    "deputies ignored": Variant(
        sim_cluster.Rules(takeover=TakeoverWithoutDeputies), sim_faults.DEPUTY_FAULTS
    ),
    "deputies of older tokens not named": Variant(
        sim_cluster.Rules(lessor=LessorOmittingOldDeputies), sim_faults.TOKEN_FAULTS
    ),
    "promise not sticky": Variant(
        sim_cluster.Rules(lessor=LessorDroppingPromise), sim_faults.FLAP_FAULTS
    ),
    "grant to any process": Variant(
        sim_cluster.Rules(lessor=LessorIgnoringIncarnation), sim_faults.RESTART_FAULTS
    ),
}
