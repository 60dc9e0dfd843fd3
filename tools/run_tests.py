"""Runs the test suite without the known failures listed in KNOWN-RED.txt.

An entry of KNOWN-RED.txt starts with a line ``test: <pytest node id>``. The
listed tests run separately, before the suite, and their outcomes are printed so
that a test that passes again is noticed; they do not affect the exit status.

The suite mostly waits for real processes and sockets, so its parts run at the
same time. Tests that measure a process run alone after them. Arguments are
passed on to a single pytest that runs the whole suite.
"""

from __future__ import annotations

import concurrent.futures
import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_ENTRY_PREFIX = "test:"
_PLATFORM = "trefoilpitch/platform"
_GATEWAY = "trefoilpitch/gateway"
# Tests of the memory that a process holds, which other load would disturb.
_MEMORY = "trefoilpitch/platform/tests/memory"
# Every test is in one of these parts or in the last one; each is a list of
# pytest's arguments.
_PARTS = (
    ("tests",),
    (_PLATFORM, f"--ignore={_MEMORY}"),
    (_GATEWAY,),
    ("trefoilpitch", f"--ignore={_PLATFORM}", f"--ignore={_GATEWAY}"),
)


def _listed_tests() -> list[str]:
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.startswith(_ENTRY_PREFIX)]
    return [entry.removeprefix(_ENTRY_PREFIX).strip() for entry in entries]


def _pytest(arguments: list[str]) -> int:
    command = [sys.executable, "-m", "pytest", *arguments]
    return subprocess.run(command, cwd=_ROOT, check=False).returncode


def _run_part(arguments: list[str]) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "pytest", *arguments]
    return subprocess.run(
        command,
        cwd=_ROOT,
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
    )


def _run_parts(deselected: list[str]) -> int:
    """Runs the parts at the same time, and then the last one.

    Returns:
        The first failing status; 0 if there is none.
    """
    with concurrent.futures.ThreadPoolExecutor(len(_PARTS)) as pool:
        runs = [pool.submit(_run_part, [*part, *deselected]) for part in _PARTS]
        statuses = []
        for part, run in zip(_PARTS, runs, strict=True):
            completed = run.result()
            print(f"{' '.join(part)}:\n{completed.stdout}", flush=True)
            statuses.append(completed.returncode)
    statuses.append(_pytest([_MEMORY, *deselected]))
    return next((status for status in statuses if status), 0)


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
    if sys.argv[1:]:
        return _pytest([*deselected, *sys.argv[1:]])
    return _run_parts(deselected)


if __name__ == "__main__":
    sys.exit(main())
