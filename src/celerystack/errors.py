"""Exceptions of the package. Each has the step that failed and the peer involved."""

from __future__ import annotations


class CelerystackError(Exception):
    """Base of all errors raised by this package.

    Parameters
    ----------
    reason : str
        What went wrong, in one sentence.
    step : str
        The operation that failed, such as ``"table.transact"``.
    peer : str
        Address or id of the remote side; empty if the error is local.
    """

    def __init__(self, reason: str, *, step: str, peer: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step} [{self.peer}]" if self.peer else self.step
        return f"{where}: {self.reason}"


class SettingsError(CelerystackError):
    """One or more settings are missing or invalid."""


class ConfigError(CelerystackError):
    """The configuration folder is invalid."""


class ConfigConflictError(ConfigError):
    """Another operator changed the same file since the base version."""


class PlatformError(CelerystackError):
    """A platform service failed."""


class PlatformUnavailableError(PlatformError):
    """The platform did not execute the call: it was refused or never sent."""


class AnswerLostError(PlatformError):
    """The response was lost by timeout or disconnect; whether the call took effect is unknown."""


class TransactionConflictError(PlatformError):
    """A condition of the transaction did not hold; nothing was committed."""


class CorruptRowError(CelerystackError):
    """A table row cannot be decoded."""


class PeerError(CelerystackError):
    """A peer stream failed."""


class BadFrameError(PeerError):
    """A peer sent a frame that is too large, unauthenticated or malformed."""


class BackendError(CelerystackError):
    """A backend server failed."""


class NotRunError(BackendError):
    """The backend server did not run the request."""


class ConnectFailedError(NotRunError):
    """The backend server accepted no connection."""


class OutcomeUnknownError(BackendError):
    """The backend server may have run the request."""


class TruncatedAnswerError(OutcomeUnknownError):
    """The response of the backend server ended before it was complete."""
