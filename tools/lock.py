"""Writes the lock files, with pinned versions and hashes of all packages.

requirements.lock covers the project, its tests and its build;
deploy/requirements.txt covers the daemon on the users' platform.

Run it with a plain interpreter of the Python version that the project supports:
``python3 tools/lock.py``. It lets pip resolve the declared dependencies and
records their names, versions and SHA-256 hashes, but no index and no host.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import tempfile
import tomllib

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


def _declared() -> list[str]:
    with (_ROOT / "pyproject.toml").open("rb") as file:
        project = tomllib.load(file)
    extras = project["project"]["optional-dependencies"]["dev"]
    build = project["build-system"]["requires"]
    return [*project["project"]["dependencies"], *extras, *build]


def _resolve(report: pathlib.Path) -> list[tuple[str, str, str]]:
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--dry-run"]
    command += ["--ignore-installed", "--only-binary", ":all:"]
    command += ["--report", str(report), *_declared()]
    subprocess.run(command, check=True)
    pinned = []
    for item in json.loads(report.read_text())["install"]:
        metadata = item["metadata"]
        digest = item["download_info"]["archive_info"]["hashes"]["sha256"]
        pinned.append((metadata["name"].lower(), metadata["version"], digest))
    return sorted(pinned)


def main() -> None:
    """Resolves the dependencies and writes the lock files."""
    with tempfile.TemporaryDirectory() as folder:
        pinned = _resolve(pathlib.Path(folder) / "report.json")
    _write(_ROOT / "requirements.lock", pinned)
    on_platform = [package for package in pinned if package[0] in _PLATFORM]
    _write(_ROOT / "deploy" / "requirements.txt", on_platform)


def _write(path: pathlib.Path, pinned: list[tuple[str, str, str]]) -> None:
    lines = [_HEADER]
    for name, version, digest in pinned:
        lines.append(f"{name}=={version} \\\n    --hash=sha256:{digest}")
    path.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
