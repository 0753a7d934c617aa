"""``celerystack check``: reports every error in a configuration folder."""

from __future__ import annotations

import functools
import pathlib

from celerystack.commands import job
from celerystack.config import loader


def check(folder: pathlib.Path) -> job.Job:
    """Report every error in a configuration folder.

    Parameters
    ----------
    folder
        Folder of ``*.toml`` files.
    """
    return job.LocalJob(run=functools.partial(_run, folder))


def _run(folder: pathlib.Path, local: job.LocalContext) -> int:
    text_by_file = loader.read_folder(folder)
    configuration, found = loader.examine(text_by_file)
    for problem in found:
        print(problem, file=local.out)
    if found:
        print(f"{len(found)} errors in {len(text_by_file)} files", file=local.out)
        return job.ExitCode.INVALID_CONFIGURATION
    print(
        f"valid: {len(text_by_file)} files, {len(configuration.services_by_name)} services, "
        f"{len(configuration.servers_by_id)} servers",
        file=local.out,
    )
    return job.ExitCode.OK
