"""Entry point: parses the command line, loads settings and runs the subcommand."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Callable, Mapping, Sequence

import defopt

import celerystack
from celerystack import clock, errors, settings
from celerystack.commands import apply, drain, evacuate, job, release, restore, router, undrain
from celerystack.observe import logs
from celerystack.queries import (
    check,
    diff,
    explain,
    owner,
    show_audit,
    show_settings,
    status,
    where,
)

SUBCOMMANDS: dict[str, Callable[..., job.Job]] = {
    "router": router.router,
    "check": check.check,
    "diff": diff.diff,
    "apply": apply.apply,
    "drain": drain.drain,
    "undrain": undrain.undrain,
    "evacuate": evacuate.evacuate,
    "restore": restore.restore,
    "release": release.release,
    "status": status.status,
    "owner": owner.owner,
    "where": where.where,
    "explain": explain.explain,
    "audit": show_audit.audit,
    "settings": show_settings.settings,
}


def main(argv: list[str] | None = None) -> int:
    """Run one subcommand.

    Parameters
    ----------
    argv : list of str or None
        Arguments without the program name; None for those of the process.

    Returns
    -------
    int
        Exit code, see `job.ExitCode`.
    """
    arguments = sys.argv[1:] if argv is None else argv
    try:
        return int(_run(arguments, os.environ))
    except SystemExit as error:
        return error.code if isinstance(error.code, int) else job.ExitCode.USAGE
    except KeyboardInterrupt:
        return _print_failure("interrupted", job.ExitCode.FAILED)
    except Exception as error:
        return _print_failure(describe(error), exit_code(error))


def exit_code(error: BaseException) -> job.ExitCode:
    """Return the exit code of an error."""
    match error:
        case errors.SettingsError():
            return job.ExitCode.USAGE
        case errors.ConfigConflictError() | errors.TransactionConflictError():
            return job.ExitCode.CONFLICT
        case errors.ConfigError():
            return job.ExitCode.INVALID_CONFIGURATION
        case errors.PlatformError():
            return job.ExitCode.PLATFORM
        case _:
            return job.ExitCode.FAILED


def describe(error: BaseException) -> str:
    """Describe an error on one line."""
    if isinstance(error, errors.CelerystackError):
        return " ".join(str(error).split())
    return " ".join(f"internal error: {type(error).__name__}: {error}".split())


def _print_failure(text: str, code: job.ExitCode) -> int:
    print(f"celerystack: {text}", file=sys.stderr)
    return int(code)


def _run(arguments: Sequence[str], environ: Mapping[str, str]) -> int:
    flags, rest = split_flags(arguments)
    call = defopt.bind(
        SUBCOMMANDS,
        argv=rest,
        short={},
        no_negated_flags=True,
        version=celerystack.__version__,
        argparse_kwargs={
            "prog": "celerystack",
            "allow_abbrev": False,
            "epilog": _settings_help(),
            "formatter_class": argparse.RawDescriptionHelpFormatter,
        },
    )
    requested_job: job.Job = call()
    loaded = settings.load(flags=flags, environ=environ, required=requested_job.required)
    sources = settings.sources_by_name(flags=flags, environ=environ)
    match requested_job:
        case job.LocalJob():
            return requested_job.run(
                job.LocalContext(settings=loaded, sources_by_name=sources, out=sys.stdout)
            )
        case job.RemoteJob():
            _configure_logs(loaded, sources["log_level"])
            return _run_in_reactor(requested_job, loaded)


def split_flags(arguments: Sequence[str]) -> tuple[dict[str, str], list[str]]:
    """Separate settings flags, which all subcommands accept, from the other arguments."""
    parser = argparse.ArgumentParser(prog="celerystack", add_help=False, allow_abbrev=False)
    for name in settings.FIELDS_BY_NAME:
        parser.add_argument(settings.flag_name(name), dest=name)
    known, rest = parser.parse_known_args(list(arguments))
    flags = {name: value for name, value in vars(known).items() if value is not None}
    return flags, rest


def _settings_help() -> str:
    lines = ["settings of all subcommands (flag, or CELERYSTACK_<NAME> in the environment):"]
    for name, field in settings.FIELDS_BY_NAME.items():
        kind = field.metadata["unit"] or field.metadata["kind"]
        lines.append(f"  {settings.flag_name(name)} ({kind}): {field.metadata['help']}")
    return "\n".join(lines)


def _configure_logs(loaded: settings.Settings, source: settings.Source) -> None:
    """Log only errors unless a level is set, because commands print their failure themselves."""
    default = source is settings.Source.DEFAULT
    logs.configure(
        log_format=loaded.log_format,
        log_level=settings.LogLevel.ERROR if default else loaded.log_level,
    )
    logs.forward_twisted()


def _run_in_reactor(requested_job: job.RemoteJob, loaded: settings.Settings) -> int:
    # Imported here, because the import installs the reactor, which other subcommands do not need.
    from twisted.internet import defer, reactor

    outcome: list[int | BaseException] = []

    def start() -> None:
        running = defer.ensureDeferred(_run_remote_job(requested_job, loaded, reactor))
        running.addCallbacks(outcome.append, lambda failure: outcome.append(failure.value))
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if not outcome:
        return _print_failure("interrupted: unknown whether it took effect", job.ExitCode.FAILED)
    result = outcome[0]
    if isinstance(result, BaseException):
        raise result
    return result


async def _run_remote_job(
    requested_job: job.RemoteJob, loaded: settings.Settings, reactor: object
) -> int:
    # The adapters are built in a coroutine, so that a failure to build them stops the reactor.
    from celerystack.queries import admin_pages
    from celerystack.store import objects, table

    monotonic = clock.MonotonicClock(reactor)
    remote = job.RemoteContext(
        settings=loaded,
        clock=monotonic,
        table=table.HttpTable(
            reactor,
            address=loaded.table_address,
            timeout_s=loaded.store_timeout_s,
        ),
        objects=objects.HttpObjects(
            reactor,
            address=loaded.object_address,
            timeout_s=loaded.store_timeout_s,
        )
        if loaded.object_address
        else None,
        admin=admin_pages.HttpAdmin(
            reactor,
            address=loaded.admin_address,
            timeout_s=loaded.store_timeout_s,
        )
        if loaded.admin_address
        else None,
        deadline=monotonic.seconds() + loaded.command_limit_s,
        out=sys.stdout,
    )
    return await requested_job.run(remote)
