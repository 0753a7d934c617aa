"""Builds the program as one executable zip archive of Python modules (docs/binary.md).

The archive contains this project and the installed files of its dependencies, without compiled
extension modules, which Python cannot import from a zip archive. The build is reproducible.
"""

from __future__ import annotations

import argparse
import importlib._bootstrap_external
import importlib.metadata
import importlib.util
import os
import pathlib
import re
import sys
import tomllib
import zipfile

from packaging import requirements

ROOT = pathlib.Path(__file__).resolve().parents[1]
DEFAULT_INTERPRETER = "/usr/bin/env -S python3 -IBS"
"""Isolated (-I -S -B): imports only from the archive and writes no byte code."""
TIMESTAMP = (1980, 1, 1, 0, 0, 0)
SKIPPED_PARTS = {"test", "tests", "__pycache__", "conch", "mail", "words", "names", "trial"}
MAIN = """\
import sys

if sys.version_info < (3, 11):
    sys.exit("celerystack: start: needs Python 3.11 or newer, not " + sys.version.split()[0])

from celerystack import run

sys.exit(run.main())
"""


def normalize_name(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def dependencies() -> list[importlib.metadata.Distribution]:
    """Return the installed distributions that the project needs, transitively."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    pending = list(project["dependencies"])
    distribution_by_name: dict[str, importlib.metadata.Distribution] = {}
    while pending:
        requirement = requirements.Requirement(pending.pop())
        name = normalize_name(requirement.name)
        if name in distribution_by_name or (
            requirement.marker and not requirement.marker.evaluate()
        ):
            continue
        distribution_by_name[name] = importlib.metadata.distribution(name)
        # A requirement of an extra has a marker that is false without the extra.
        pending += [
            text for text in distribution_by_name[name].requires or () if "extra ==" not in text
        ]
    return [distribution_by_name[name] for name in sorted(distribution_by_name)]


def collect_sources() -> dict[str, bytes]:
    """Return the modules of the project and its dependencies by path in the archive."""
    content_by_path: dict[str, bytes] = {}
    for distribution in dependencies():
        for file in distribution.files or ():
            if (
                file.suffix == ".py"
                and not SKIPPED_PARTS & set(file.parts)
                and ".." not in file.parts
            ):
                content_by_path[file.as_posix()] = pathlib.Path(file.locate()).read_bytes()
    for path in sorted((ROOT / "src" / "celerystack").rglob("*.py")):
        content_by_path[path.relative_to(ROOT / "src").as_posix()] = path.read_bytes()
    content_by_path["__main__.py"] = MAIN.encode()
    return content_by_path


def compile_byte_code(path: str, content: bytes) -> bytes:
    """Compile a module to an unchecked hash-based .pyc."""
    code = compile(content, path, "exec", dont_inherit=True, optimize=0)
    source_hash = importlib.util.source_hash(content)
    return bytes(importlib._bootstrap_external._code_to_hash_pyc(code, source_hash, checked=False))


def archive_entries(with_source: bool) -> dict[str, bytes]:
    """Return the files and directories of the archive by path."""
    content_by_path: dict[str, bytes] = {}
    for path, content in collect_sources().items():
        parents = pathlib.PurePosixPath(path).parents
        # Imports find a namespace package only through its directory entry.
        content_by_path.update({f"{parent}/": b"" for parent in parents if str(parent) != "."})
        content_by_path[path + "c"] = compile_byte_code(path, content)
        if with_source:
            content_by_path[path] = content
    return content_by_path


def write_archive(target: pathlib.Path, *, interpreter: str, stored: bool, source: bool) -> None:
    """Write the archive to a temporary file, then replace the target atomically."""
    target.parent.mkdir(parents=True, exist_ok=True)
    temporary = target.with_name(f"{target.name}.{os.getpid()}.new")
    method = zipfile.ZIP_STORED if stored else zipfile.ZIP_DEFLATED
    with temporary.open("wb") as stream:
        stream.write(f"#!{interpreter}\n".encode())
        with zipfile.ZipFile(stream, "w", method) as archive:
            for path, content in sorted(archive_entries(source).items()):
                info = zipfile.ZipInfo(path, TIMESTAMP)
                info.compress_type = method
                info.external_attr = (0o40755 if path.endswith("/") else 0o100644) << 16
                archive.writestr(info, content)
    temporary.chmod(0o755)
    temporary.replace(target)


def main() -> int:
    """Build the archive and print its size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--output", type=pathlib.Path, default=ROOT / "dist" / "celerystack")
    parser.add_argument("--interpreter", default=DEFAULT_INTERPRETER, help="text after #!")
    parser.add_argument("--stored", action="store_true", help="do not compress")
    parser.add_argument(
        "--no-source", action="store_true", help="byte code only, for one minor version of Python"
    )
    options = parser.parse_args()
    write_archive(
        options.output,
        interpreter=options.interpreter,
        stored=options.stored,
        source=not options.no_source,
    )
    print(f"{options.output}: {options.output.stat().st_size} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
