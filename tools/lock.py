"""Writes the lock files, with pinned versions and hashes of all packages.

requirements.lock covers the project, its tests and its build;
deploy/requirements.txt covers the daemon on the users' platform.

Run it with a plain interpreter of the Python version that the project supports:
``python3 tools/lock.py``. It lets pip resolve the declared dependencies and
records their names, versions and SHA-256 hashes, but no index and no host.

The hashes of a package are those of the distributions that pip takes for it on
each supported architecture, whichever of them the script runs on.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile
import tomllib
from typing import Any

_ROOT = pathlib.Path(__file__).resolve().parent.parent

_HEADER = "# Written by tools/lock.py; do not edit."
# Packages that the daemon imports on the platform, and their dependencies.
_PLATFORM = frozenset(
    {
        "h11",
        "hdrhistogram",
        "logbook",
        "msgspec",
        "pbr",
        "prometheus_client",
        "setuptools",
        "typing_extensions",
        "xxhash",
    }
)

# Architectures that the lock files cover.
_ARCHITECTURES = ("x86_64", "aarch64")
# Minor version of the newest glibc 2 whose wheels are taken, as on Debian 12.
_NEWEST_GLIBC = 36
# Minor versions of glibc 2 that also have a named manylinux standard.
_NAMED_STANDARDS = {17: "manylinux2014", 12: "manylinux2010", 5: "manylinux1"}


class MissingDistributionError(Exception):
    """No distribution of a package fits an architecture."""


def _declared() -> list[str]:
    with (_ROOT / "pyproject.toml").open("rb") as file:
        project = tomllib.load(file)
    extras = project["project"]["optional-dependencies"]["dev"]
    build = project["build-system"]["requires"]
    return [*project["project"]["dependencies"], *extras, *build]


def _plan(report: pathlib.Path, *arguments: str) -> list[dict[str, Any]]:
    """Returns the packages that pip would install for the arguments."""
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--dry-run"]
    command += ["--ignore-installed", "--report", str(report), *arguments]
    subprocess.run(command, check=True)
    planned: list[dict[str, Any]] = json.loads(report.read_text())["install"]
    return planned


def _hashes(planned: list[dict[str, Any]]) -> dict[str, str]:
    """Maps the requirements of the planned packages to their hashes."""
    hashes = {}
    for item in planned:
        metadata = item["metadata"]
        pinned = f"{metadata['name'].lower()}=={metadata['version']}"
        hashes[pinned] = item["download_info"]["archive_info"]["hashes"][
            "sha256"
        ]
    return hashes


def _platforms(architecture: str) -> list[str]:
    """Returns pip's options for the wheels that an architecture takes."""
    tags = []
    for minor in range(_NEWEST_GLIBC, 4, -1):
        tags.append(f"manylinux_2_{minor}_{architecture}")
        if minor in _NAMED_STANDARDS:
            tags.append(f"{_NAMED_STANDARDS[minor]}_{architecture}")
    tags.append(f"linux_{architecture}")
    return [f"--platform={tag}" for tag in tags]


def _hash_for(pinned: str, architecture: str, folder: pathlib.Path) -> str:
    """Returns the hash of what pip takes for a package, wheels first."""
    report = folder / "report.json"
    # pip requires a target with a platform; a dry run leaves it empty.
    wheel = [*_platforms(architecture), "--only-binary=:all:"]
    wheel.append(f"--target={folder / 'target'}")
    source = ["--no-binary=:all:"]
    for kind in (wheel, source):
        try:
            planned = _plan(report, "--no-deps", *kind, pinned)
        except subprocess.CalledProcessError:
            continue
        return _hashes(planned)[pinned]
    raise MissingDistributionError(
        f"{pinned} has no distribution for {architecture}"
    )


def _lock(folder: pathlib.Path) -> dict[str, list[str]]:
    """Maps each pinned requirement to its hashes, one or more."""
    locked = {}
    for pinned in sorted(_hashes(_plan(folder / "report.json", *_declared()))):
        hashes = [_hash_for(pinned, each, folder) for each in _ARCHITECTURES]
        locked[pinned] = list(dict.fromkeys(hashes))
    return locked


def main() -> None:
    """Resolves the dependencies and writes the lock files."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            locked = _lock(pathlib.Path(folder))
        except MissingDistributionError as error:
            sys.exit(f"tools/lock.py: {error}")
    _write(_ROOT / "requirements.lock", locked)
    on_platform = {
        pinned: hashes
        for pinned, hashes in locked.items()
        if pinned.partition("==")[0] in _PLATFORM
    }
    _write(_ROOT / "deploy" / "requirements.txt", on_platform)


def _write(path: pathlib.Path, locked: dict[str, list[str]]) -> None:
    lines = [_HEADER]
    for pinned, hashes in locked.items():
        options = [f"    --hash=sha256:{digest}" for digest in hashes]
        lines.append(" \\\n".join([pinned, *options]))
    path.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
