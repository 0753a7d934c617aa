"""Variants of the rules with one rule broken each; the randomized driver must reject them."""

from __future__ import annotations

import dataclasses

from celerystack import ids, model, timing
from celerystack.backend import messages as orders
from celerystack.lease import lessor, stewardship, takeover
from celerystack.peers import messages as peer_messages
from standins.lease_model import model_server, sim_faults, sim_world


class RenewalFromReceipt(model_server.ModelServer):
    """Counts the lease time from the receipt of the order instead of the echoed stamp."""

    def lease_end(self, order: orders.Renew | orders.Grant, clock: float) -> float:
        return clock + timing.LEASE_S


class MajorityTakeover(takeover.Takeover):
    """Commits when most lessors promised."""

    def state(self, now: float) -> takeover.TakeoverState:
        promised = self._expires_at_by_lessor
        if 2 * len(promised) > len(self._silent_at_by_lessor):
            until = max(promised.values())
            return takeover.Ready(None) if now >= until else takeover.Waiting(until)
        return super().state(now)


class TakeoverWithoutPrevious(takeover.Takeover):
    """Does not ask the previous lessors."""

    def __init__(self, row: model.ServerRow, *, now: float) -> None:
        super().__init__(row, now=now)
        for previous in set(row.previous_lessors) - set(row.lessors):
            del self._silent_at_by_lessor[previous]


class TakeoverWithoutDeputies(takeover.Takeover):
    """Does not ask the deputies that a promise names."""

    def on_promise(self, reply: peer_messages.PromiseReply, now: float) -> None:
        super().on_promise(dataclasses.replace(reply, deputies=()), now)


class ForgetfulLessor(lessor.Lessor):
    """Promises, but goes on when the server answers again."""

    def on_reply(self, reply: orders.OrderReply, now: float) -> list[orders.Order]:
        self._record(reply.server).promised_token = ids.Token(0)
        return super().on_reply(reply, now)


class LessorOfAnyProcess(lessor.Lessor):
    """Grants the row's token to every process that answers, not only to the recorded one."""

    def on_reply(self, reply: orders.OrderReply, now: float) -> list[orders.Order]:
        record = self._record(reply.server)
        if record.row is not None and reply.incarnation != record.row.incarnation:
            row = dataclasses.replace(record.row, incarnation=reply.incarnation)
            record.replace_row(row, record.shards)
        return super().on_reply(reply, now)


class LessorWithoutOldDeputies(lessor.Lessor):
    """Does not name the deputies of an older token that the server may still obey."""

    def on_promise_request(
        self, request: peer_messages.PromiseRequest, now: float
    ) -> peer_messages.PromiseReply:
        reply = super().on_promise_request(request, now)
        record = self._record(request.server)
        token = record.row.token if record.row is not None else 0
        named = [ref for ref, held in record.deputy_tokens_by_ref.items() if held >= token]
        return dataclasses.replace(reply, deputies=tuple(named))


def clear_previous_at_once(view: stewardship.ServerView, now: float) -> stewardship.Decision:
    """Clear the previous lessors without waiting for the acknowledgement."""
    if view.row is not None:
        view = dataclasses.replace(
            view, acknowledged_token=view.row.token, acknowledged_at=float("-inf")
        )
    return stewardship.decide(view, now)


@dataclasses.dataclass(frozen=True)
class Variant:
    """A broken rule and the scenario whose faults it does not withstand."""

    rules: sim_world.Rules
    scenario: sim_faults.Scenario


VARIANTS_BY_NAME = {
    "renewal timed from receipt": Variant(
        sim_world.Rules(server=RenewalFromReceipt), sim_faults.DELAY_FAULTS
    ),
    "majority of promises": Variant(sim_world.Rules(takeover=MajorityTakeover), sim_faults.MIXED),
    "previous lessors ignored": Variant(
        sim_world.Rules(takeover=TakeoverWithoutPrevious), sim_faults.LESSOR_FAULTS
    ),
    "previous lessors cleared early": Variant(
        sim_world.Rules(decide=clear_previous_at_once), sim_faults.LESSOR_FAULTS
    ),
    "deputies ignored": Variant(
        sim_world.Rules(takeover=TakeoverWithoutDeputies), sim_faults.DEPUTY_FAULTS
    ),
    "deputies of older tokens not named": Variant(
        sim_world.Rules(lessor=LessorWithoutOldDeputies), sim_faults.TOKEN_FAULTS
    ),
    "promise not sticky": Variant(sim_world.Rules(lessor=ForgetfulLessor), sim_faults.FLAP_FAULTS),
    "grant to any process": Variant(
        sim_world.Rules(lessor=LessorOfAnyProcess), sim_faults.RESTART_FAULTS
    ),
}
