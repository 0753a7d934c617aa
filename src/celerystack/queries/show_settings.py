"""``celerystack settings``: prints the settings in force and their sources."""

from __future__ import annotations

import functools
import json as json_module

from celerystack import settings as declared
from celerystack.commands import job


def settings(*, json: bool = False) -> job.Job:
    """Print all settings with value, unit and source; secrets are masked.

    Parameters
    ----------
    json
        Print JSON.
    """
    return job.LocalJob(run=functools.partial(_run, json))


def _run(as_json: bool, local: job.LocalContext) -> int:
    entries = [
        {
            "name": name,
            "value": declared.display(name, getattr(local.settings, name)),
            "unit": field.metadata["unit"],
            "source": local.sources_by_name[name].value,
        }
        for name, field in declared.FIELDS_BY_NAME.items()
    ]
    if as_json:
        print(json_module.dumps(entries, indent=2), file=local.out)
        return job.ExitCode.OK
    for entry in entries:
        value = f"{entry['value']} {entry['unit']}".strip() or "-"
        print(f"{entry['name']:<24} {value:<40} {entry['source']}", file=local.out)
    return job.ExitCode.OK
