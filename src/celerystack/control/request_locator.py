"""Tells where a request would go now and why, without sending it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import interfaces

from celerystack import ids, model, timing
from celerystack.backend import http
from celerystack.control import losses_task, queueing_chooser, server_status
from celerystack.control import routes as route_lookup
from celerystack.control import view as cluster_view
from celerystack.requests import calls, dispatch, forwarder, frontend, targets

STATUS_OK = 200


class RequestLocator:
    """Finds the server of a request as the front end and the forwarder would.

    Changes nothing: the lookup is not counted as traffic, and nothing is queued.

    Parameters
    ----------
    queue_state : callable
        Returns the queue for a server as a request with a deadline would find it.
    last_reply_at : callable
        Returns when a server last replied to this entry VM as its lessor; None if it never did.
    """

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        own_entry_vm: model.EntryVm,
        view: cluster_view.ClusterView,
        routes: route_lookup.Routes,
        servers: server_status.ServerStatus,
        chooser: queueing_chooser.QueueingChooser,
        losses: losses_task.LossesTask,
        queue_state: Callable[[ids.ServerId, float], dispatch.QueueState | None],
        last_reply_at: Callable[[ids.ServerId], float | None],
    ) -> None:
        self._clock = clock
        self._own_entry_vm = own_entry_vm
        self._view = view
        self._routes = routes
        self._servers = servers
        self._chooser = chooser
        self._losses = losses
        self._queue_state = queue_state
        self._last_reply_at = last_reply_at

    def locate(self, fields: Mapping[str, str]) -> tuple[int, dict[str, Any]]:
        """Return HTTP status and report for a request.

        Parameters
        ----------
        fields : mapping
            ``method``, ``path``, and optionally ``key`` (value of the service's key header) and
            ``deadline_ms``.

        Returns
        -------
        tuple of int and dict
            For a request that the front end would not forward, the status and reason of its
            response. Otherwise 200 and a report, whose durations are in seconds.
        """
        try:
            call = self._parse_call(fields)
        except frontend.RequestError as error:
            return error.status, {"vm": self._own_entry_vm.vm, "error": error.reason}
        report = self._call_report(call)
        if call.service.divided:
            self._describe_owner(call, report)
        else:
            self._describe_choice(call, report)
        rest_s = self._losses.quarantine_s(call.fingerprint())
        if rest_s is not None:
            report |= _rejection(forwarder.QUARANTINED_REASON, rest_s) | {"waits_for": ""}
        return STATUS_OK, report

    def _parse_call(self, fields: Mapping[str, str]) -> calls.Call:
        method = fields.get("method", "").encode("utf-8")
        target = fields.get("path", "").encode("utf-8")
        frontend.check_request_line(method, target)
        if not self._view.configuration.version:
            raise frontend.RequestError(503, "the entry VM has no configuration yet")
        service = frontend.find_service(self._routes, target)
        headers = _headers(service, fields)
        duration_s = frontend.deadline_ms(method, headers, service) / 1000
        return calls.Call(
            service=service,
            method=method.decode("ascii"),
            target=target,
            headers=headers,
            body=b"",
            deadline=self._clock.seconds() + duration_s,
            key=frontend.find_key(self._routes, service, target, headers),
        )

    def _call_report(self, call: calls.Call) -> dict[str, Any]:
        path = call.target.partition(b"?")[0].decode("ascii")
        prefixes = [prefix for prefix in call.service.prefixes if path.startswith(prefix)]
        return {
            "vm": self._own_entry_vm.vm,
            "zone": self._own_entry_vm.zone,
            "config_version": self._view.configuration.version,
            "service": call.service.name,
            "prefix": max(prefixes, key=len, default=""),
            "deadline_s": round(call.deadline - self._clock.seconds(), 3),
            "key": call.key,
            "key_hash": f"{call.key_hash():016x}" if call.service.divided else "",
            "shard": None,
            "epoch": None,
            "server": None,
            "why": "",
            "queue": None,
            "expected_wait_s": None,
            "expected_answer_s": None,
            "waits_for": "",
            "rejected_by": "",
            "retry_after_s": None,
            "unusable_servers": self._unusable_servers(call.service),
        }

    def _unusable_servers(self, service: model.Service) -> dict[str, str]:
        reasons = {
            server.server: self._servers.unusable_reason(server.server)
            for server in self._view.servers_of(service.name)
        }
        return {server: reason for server, reason in reasons.items() if reason}

    def _describe_owner(self, call: calls.Call, report: dict[str, Any]) -> None:
        match self._routes.current_route(call.service, call.key_hash()):
            case model.Route() as route:
                report |= {"shard": route.shard, "epoch": route.epoch}
                declared = self._routes.server(route.server)
                if declared is None:
                    report["waits_for"] = f"another owner: {route.server} is not declared"
                    return
                report["why"] = "owner of the shard"
                self._describe_server(call, declared, report)
            case model.Moving(shard=shard):
                report |= {"shard": shard, "why": self._move_text(call.service, shard)}
                report["waits_for"] = (
                    f"the end of the move, at most {timing.MOVE_WAIT_MAX_S:g} s; "
                    f"then rejected: {targets.MOVING_REASON}"
                )
            case model.NoOwner(shard=shard):
                report |= {"shard": shard, "why": self._no_owner_text(call.service)}
                report["waits_for"] = (
                    f"an owner, until the deadline; then rejected: {targets.NO_OWNER_REASON}"
                )

    def _move_text(self, service: model.Service, shard: ids.ShardId) -> str:
        for _, chunk in self._view.chunks(service.name):
            move = chunk.moves_by_shard.get(shard)
            if move is not None:
                return f"the shard is moving from {move.source} to {move.target}"
        return "the shard is moving"

    def _no_owner_text(self, service: model.Service) -> str:
        if service.name in self._view.evacuated_services():
            return "all servers of the service are in evacuated zones"
        return "the shard has no owner"

    def _describe_choice(self, call: calls.Call, report: dict[str, Any]) -> None:
        servers = self._routes.servers(call.service)
        if not servers:
            report |= _rejection(targets.NO_SERVER_REASON, None)
            return
        scores = self._chooser.scores(servers, self._clock.seconds())
        lowest = min(scores)
        best = [s for s, score in zip(servers, scores, strict=True) if score <= lowest]
        why = f"lowest score of {len(servers)} usable servers"
        if len(best) > 1:
            others = ", ".join(server.server for server in best[1:])
            why += f"; chosen at random from it and {others}, which have the same score"
        report["why"] = why
        self._describe_server(call, best[0], report)

    def _describe_server(
        self, call: calls.Call, server: model.BackendServer, report: dict[str, Any]
    ) -> None:
        row = self._view.server_rows_by_id.get(server.server)
        lessors = [lessor.vm for lessor in row.lessors] if row else []
        report["server"] = {
            "id": server.server,
            "zone": server.zone,
            "address": server.address,
            "state": row.state.value if row else "unknown",
            "token": row.token if row else 0,
            "lessors": lessors,
            "last_reply_s": self._last_reply_s(server.server, lessors),
            "leaving": self._servers.leaving_reason(server.server),
        }
        self._describe_queue(call, server, report)
        if not self._routes.may_send(server):
            report["waits_for"] = "permission to send to the server, until the deadline"
            report |= {"expected_wait_s": None, "expected_answer_s": None}

    def _last_reply_s(self, server: ids.ServerId, lessors: list[ids.EntryVmId]) -> float | None:
        """Return the age of the server's last reply; None unless this entry VM is its lessor.

        Servers reply to others only while these plan a move, so that age would tell nothing.
        """
        replied_at = self._last_reply_at(server)
        if replied_at is None or self._own_entry_vm.vm not in lessors:
            return None
        return round(self._clock.seconds() - replied_at, 3)

    def _describe_queue(
        self, call: calls.Call, server: model.BackendServer, report: dict[str, Any]
    ) -> None:
        state = self._queue_state(server.server, call.deadline)
        report["expected_wait_s"] = 0.0
        if state is None:
            return
        prospect = state.prospect
        report["queue"] = {
            "running": state.running,
            "limit": state.limit,
            "waiting": state.waiting,
            "ahead": 0 if prospect is None else prospect.ahead,
        }
        wait_s = 0.0 if prospect is None else prospect.wait_s
        report["expected_wait_s"] = round(wait_s, 3)
        report["expected_answer_s"] = round(wait_s + state.service_time_s, 3)
        if prospect is not None and prospect.retry_s is not None:
            report |= _rejection(dispatch.SHED_REASON, prospect.retry_s)


def _headers(service: model.Service, fields: Mapping[str, str]) -> http.HeaderList:
    """Return the headers that a caller would send."""
    headers: list[tuple[bytes, bytes]] = []
    if fields.get("key"):
        if not service.key_header:
            raise frontend.RequestError(400, f"service {service.name} has no key header")
        headers.append((service.key_header.lower().encode(), fields["key"].encode("utf-8")))
    if fields.get("deadline_ms"):
        headers.append((b"x-deadline-ms", fields["deadline_ms"].encode("utf-8")))
    return tuple(headers)


def _rejection(reason: str, retry_after_s: float | None) -> dict[str, Any]:
    rounded = None if retry_after_s is None else round(retry_after_s, 3)
    return {"rejected_by": reason, "retry_after_s": rounded}
