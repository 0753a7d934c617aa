"""``celerystack router``: runs an entry VM."""

from __future__ import annotations

from celerystack import settings
from celerystack.commands import job


def router() -> job.Job:
    """Run an entry VM until SIGTERM."""
    return job.LocalJob(run=_run, required=settings.ROUTER_REQUIRED)


def _run(local: job.LocalContext) -> int:
    # Imported here, because no other subcommand needs the router's modules.
    from celerystack.control import service

    return service.run(local.settings) or job.ExitCode.OK
