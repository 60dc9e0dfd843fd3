"""Runs the test suite without the known failures listed in KNOWN-RED.txt.

An entry of KNOWN-RED.txt starts with a line ``test: <pytest node id>``. The
listed tests run separately, before the suite, and their outcomes are printed so
that a test that passes again is noticed; they do not affect the exit status.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_ENTRY_PREFIX = "test:"


def _listed_tests() -> list[str]:
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.startswith(_ENTRY_PREFIX)]
    return [entry.removeprefix(_ENTRY_PREFIX).strip() for entry in entries]


def _pytest(arguments: list[str]) -> int:
    command = [sys.executable, "-m", "pytest", *arguments]
    return subprocess.run(command, cwd=_ROOT, check=False).returncode


def _report_known_red(listed: list[str]) -> None:
    print(_KNOWN_RED.read_text())
    for test in listed:
        outcome = "passes again" if _pytest([test]) == 0 else "still fails"
        print(f"known red: {test}: {outcome}")


def main() -> int:
    """Runs the test suite and returns its exit status."""
    listed = _listed_tests()
    if listed:
        _report_known_red(listed)
    deselected = [f"--deselect={test}" for test in listed]
    return _pytest([*deselected, *sys.argv[1:]])


if __name__ == "__main__":
    sys.exit(main())
