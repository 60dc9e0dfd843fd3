"""Measures the decisions and writes a table and a JSON file.

Usage: ``python -m tools.measure_decisions [--only=cascade] [--seed=1]``
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import platform
import subprocess
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from absl import app, flags

from tools.decisions import (
    cascade,
    exposure,
    load,
    outage,
    recovery,
    speed,
    subsets,
    version_change,
)

_SEED = flags.DEFINE_integer("seed", 1, "Seed of every measurement.")
_ONLY = flags.DEFINE_list("only", [], "Sections to run; all by default.")
_WRITE = flags.DEFINE_boolean("write", True, "Whether to write the JSON file.")

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_RESULTS = _ROOT / "docs" / "measurements"

_SECTIONS: Mapping[str, Callable[[int], Sequence[Any]]] = {
    "cascade": cascade.measure,
    "version-change": version_change.measure,
    "load": load.measure,
    "exposure": exposure.measure,
    "outage": outage.measure,
    "recovery": recovery.measure,
    "speed": speed.measure,
    "subsets": subsets.measure,
}


def _commit() -> str:
    command = ["git", "describe", "--always", "--dirty", "--abbrev=12"]
    result = subprocess.run(
        command, cwd=_ROOT, capture_output=True, text=True, check=False
    )
    return result.stdout.strip() or "unknown"


def _table(rows: Sequence[Mapping[str, object]]) -> str:
    header = list(rows[0])
    lines = [header, *([str(row[name]) for name in header] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def main(arguments: Sequence[str]) -> None:
    """Runs the chosen sections."""
    del arguments
    chosen = _ONLY.value or list(_SECTIONS)
    seed = _SEED.value
    commit = _commit()
    for name in chosen:
        started = time.perf_counter()
        figures = [dataclasses.asdict(row) for row in _SECTIONS[name](seed)]
        elapsed = time.perf_counter() - started
        print(f"\n{name} (seed {seed}, {elapsed:.1f} s)\n{_table(figures)}")
        if _WRITE.value:
            _write(name, seed, commit, figures)


def _write(
    name: str,
    seed: int,
    commit: str,
    figures: Sequence[Mapping[str, object]],
) -> None:
    document = {
        "section": name,
        "commit": commit,
        "seed": seed,
        "python": platform.python_version(),
        "figures": figures,
    }
    _RESULTS.mkdir(parents=True, exist_ok=True)
    path = _RESULTS / f"decisions-{name}.json"
    path.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    app.run(main)
