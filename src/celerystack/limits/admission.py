"""Admission control that admits a fixed fraction of the requests to each server, evenly spaced."""

from __future__ import annotations

from celerystack import ids


class FractionalAdmission:
    """Keeps a credit per server: a request adds the admitted fraction, an admitted one costs 1."""

    def __init__(self) -> None:
        self._fraction_by_server: dict[ids.ServerId, float] = {}
        self._credit_by_server: dict[ids.ServerId, float] = {}

    def update(self, fraction_by_server: dict[ids.ServerId, float]) -> None:
        """Set the fractions, 0 to 1; servers without a fraction admit all requests."""
        self._fraction_by_server = fraction_by_server
        self._credit_by_server = {
            server: self._credit_by_server.get(server, 0.5) for server in fraction_by_server
        }

    def admit(self, server: ids.ServerId) -> bool:
        """Return whether the next request for a server is admitted."""
        fraction = self._fraction_by_server.get(server)
        if fraction is None:
            return True
        credit = self._credit_by_server[server] + fraction
        admitted = credit >= 1.0
        self._credit_by_server[server] = credit - 1.0 if admitted else credit
        return admitted
