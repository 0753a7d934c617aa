"""``celerystack diff``: shows what `apply` would change."""

from __future__ import annotations

import difflib
import functools
import pathlib

from celerystack.commands import job
from celerystack.config import change, loader
from celerystack.queries import table_reads


def diff(folder: pathlib.Path, *, base: int | None = None) -> job.Job:
    """Show what apply would change; nothing is committed.

    Parameters
    ----------
    folder
        Folder of ``*.toml`` files.
    base
        Configuration version on which the folder is based; default: the one that the last
        apply recorded in the folder.
    """
    run = functools.partial(_run, folder=folder, base=base)
    return job.RemoteJob(run=run, required=("table_address", "object_address"))


async def _run(remote: job.RemoteContext, *, folder: pathlib.Path, base: int | None) -> int:
    text_by_file = loader.read_folder(folder)
    current = await table_reads.accepted(remote, files=text_by_file)
    merge_base = await table_reads.resolve_base(remote, folder, base, current)
    planned = change.plan(base=merge_base, accepted=current, folder=text_by_file)
    if planned is None:
        print(f"no change: version {current.version} is in force", file=remote.out)
        return job.ExitCode.OK
    for file in (*planned.written, *planned.deleted):
        before = current.text_by_file.get(file, "")
        after = text_by_file.get(file, "")
        lines = difflib.unified_diff(
            before.splitlines(),
            after.splitlines(),
            f"{file} (version {current.version})",
            f"{file} (folder)",
            lineterm="",
        )
        print("\n".join(lines), file=remote.out)
    if planned.kept:
        print(
            f"changed by others, older in this folder: {', '.join(planned.kept)}", file=remote.out
        )
    return job.ExitCode.OK
