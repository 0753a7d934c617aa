"""Problems of a configuration folder, each with file, field and reason."""

from __future__ import annotations

import dataclasses
import difflib
from collections.abc import Iterable

from celerystack import errors


@dataclasses.dataclass(frozen=True, order=True)
class Problem:
    """One problem of a configuration folder.

    Attributes
    ----------
    file : str
        File that contains the problem.
    field : str
        Dotted path, such as ``server.ab-01.address``; empty for a problem of the whole file.
    reason : str
        What is wrong, with a suggestion if a known name is similar.
    """

    file: str
    field: str
    reason: str

    def __str__(self) -> str:
        where = f"{self.file}: {self.field}" if self.field else self.file
        return f"{where}: {self.reason}"


def hint(name: str, known: Iterable[str]) -> str:
    """Return ``; did you mean ...?`` if a known name is similar, else an empty string."""
    close = difflib.get_close_matches(name, list(known), n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def config_error(problems: Iterable[Problem], *, step: str) -> errors.ConfigError:
    """Return an error that lists all problems on one line."""
    return errors.ConfigError("; ".join(str(problem) for problem in problems), step=step)
