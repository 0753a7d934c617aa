"""Builds audit rows; their texts are bounded, single-line and deterministic."""

from __future__ import annotations

import enum
import re
from collections.abc import Iterable

from celerystack import ids, model
from celerystack.state import codec

TEXT_CHARACTERS_MAX = 1000
ROUTER_OPERATOR = "router"
"""Prefix of the operator name in audit rows of changes that an entry VM makes by itself."""

_CONTROL_CHARACTERS = re.compile(r"[\x00-\x1f\x7f-\x9f\u2028\u2029]+")
_CONFIG_TEXT = re.compile(r"version=(\d+) snapshot=(\S+)(?: .*)?")


class Action(enum.Enum):
    """What a transaction did."""

    APPLY = "apply"
    DRAIN = "drain"
    UNDRAIN = "undrain"
    EVACUATE = "evacuate"
    RESTORE = "restore"
    RELEASE = "release"
    ASSIGN = "assign"
    MOVE_START = "move_start"
    MOVE_END = "move_end"
    TAKEOVER = "takeover"
    LESSORS = "lessors"
    CREATE_SERVER = "create_server"
    CREATE_MAP = "create_map"
    SUSPEND = "suspend"
    HOT_SPLIT = "hot_split"
    HOT_MERGE = "hot_merge"


def one_line(text: str) -> str:
    """Replace control characters and line breaks by spaces, and truncate long texts."""
    line = _CONTROL_CHARACTERS.sub(" ", text).strip()
    if len(line) <= TEXT_CHARACTERS_MAX:
        return line
    return line[: TEXT_CHARACTERS_MAX - 3] + "..."


def build_row(
    *,
    transaction: ids.TransactionId,
    operator: str,
    time_ms: int,
    action: Action,
    subject: str,
    reason: str = "",
    before: str = "",
    after: str = "",
) -> codec.AuditRow:
    """Build an audit row; every text is reduced to one line.

    Parameters
    ----------
    operator : str
        Account of the operator, or the name by `router_operator`.
    time_ms : int
        Unix time in milliseconds; together with ``transaction`` it determines the row's key.
    subject : str
        What was changed, such as ``config``, ``server/<id>``, ``zone/<zone>`` or ``map/<service>``.
    """
    return codec.AuditRow(
        transaction=transaction,
        operator=one_line(operator),
        time_ms=time_ms,
        action=action.value,
        subject=one_line(subject),
        reason=one_line(reason),
        before=one_line(before),
        after=one_line(after),
    )


def router_operator(vm: ids.EntryVmId) -> str:
    """Return the operator name of an entry VM."""
    return f"{ROUTER_OPERATOR}:{vm}"


def config_text(version: ids.ConfigVersion, snapshot: str, *, files: Iterable[str] = ()) -> str:
    """Describe a configuration version and the files that changed."""
    text = f"version={version} snapshot={snapshot or '-'}"
    names = ",".join(files)
    return f"{text} files={names}" if names else text


def parse_config_text(text: str) -> tuple[ids.ConfigVersion, str] | None:
    """Return version and snapshot name of a text by `config_text`; None for other texts."""
    match = _CONFIG_TEXT.fullmatch(text)
    return (ids.ConfigVersion(int(match[1])), match[2]) if match else None


def server_text(server: model.ServerRow | None) -> str:
    """Describe a server's row."""
    if server is None:
        return "absent"
    lessors = ",".join(lessor.vm for lessor in server.lessors) or "-"
    return f"state={server.state.value} token={server.token} lessors={lessors}"


def shards_text(owners_by_shard: dict[ids.ShardId, ids.ServerId | None], *, shown: int = 20) -> str:
    """Describe owners of shards; only the first ``shown`` shards are listed."""
    parts = [f"{shard}={owner or '-'}" for shard, owner in sorted(owners_by_shard.items())[:shown]]
    hidden = len(owners_by_shard) - len(parts)
    return " ".join(parts) + (f" and {hidden} more" if hidden > 0 else "")
