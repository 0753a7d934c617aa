"""Adapter for the platform's membership list of VMs, which is eventually consistent."""

from __future__ import annotations

from typing import Any

from twisted.internet import defer

from celerystack import ids
from celerystack.store import http, ports


def _decode_members(body: dict[str, Any]) -> list[ports.Member]:
    return [
        ports.Member(
            vm=str(fields["vm"]),
            role=ports.VmRole(fields["role"]),
            zone=ids.ZoneName(fields["zone"]),
            address=str(fields["address"]),
            state=ports.VmState(fields["state"]),
        )
        for fields in body["members"]
    ]


class HttpMembership:
    """The membership list over HTTP and JSON; implements `ports.MembershipPort`.

    Parameters
    ----------
    address : str
        ``IP:port`` of the service.
    timeout_s : float
        Timeout of each call in seconds.
    """

    def __init__(self, reactor: Any, address: str, *, timeout_s: float) -> None:
        self._http = http.PlatformHttp(reactor, address=address, timeout_s=timeout_s)

    def members(self) -> defer.Deferred[list[ports.Member]]:
        """Read the membership list."""
        return defer.Deferred.fromCoroutine(self._members())

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections."""
        return self._http.close()

    async def _members(self) -> list[ports.Member]:
        step = "membership.members"
        response = await self._http.call("GET", "/membership", step=step)
        return self._http.decode(response, _decode_members, step=step)
