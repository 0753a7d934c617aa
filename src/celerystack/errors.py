"""The exception tree. Every error carries the step and the peer at which it arose."""

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
        Address or id of the other side; empty if the error is local.
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
    """The platform surely did not carry out the call (refused or never sent)."""


class AnswerLostError(PlatformError):
    """The call may or may not have taken effect: timeout or connection lost."""


class TransactionConflictError(PlatformError):
    """A condition of the transaction did not hold; nothing was written."""


class CorruptRowError(CelerystackError):
    """A table row cannot be decoded."""


class PeerError(CelerystackError):
    """A peer stream failed."""


class BadFrameError(PeerError):
    """A peer sent a frame that is too large, unauthenticated or malformed."""


class BackendError(CelerystackError):
    """A backend server failed."""


class NotRunError(BackendError):
    """The request was surely not run by the backend server."""


class ConnectFailedError(NotRunError):
    """The backend server accepted no connection."""


class OutcomeUnknownError(BackendError):
    """The request may have been run by the backend server."""


class TruncatedAnswerError(OutcomeUnknownError):
    """The backend server's answer ended before it was complete."""
