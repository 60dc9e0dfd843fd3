"""Measures the decisions; writes a table and a JSON file for each section.

Usage: ``python -m tools.measure_decisions [--only=cascade] [--seed=1]``
"""

from __future__ import annotations

import dataclasses
import json
import platform
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
from tools.results import RESULTS, commit, format_table

_SEED = flags.DEFINE_integer("seed", 1, "Seed of every measurement.")
_ONLY = flags.DEFINE_list("only", [], "Sections to run; all by default.")
_WRITE = flags.DEFINE_boolean("write", True, "Whether to write the JSON file.")

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


def main(arguments: Sequence[str]) -> None:
    """Runs the selected sections."""
    del arguments
    chosen = _ONLY.value or list(_SECTIONS)
    seed = _SEED.value
    measured = commit()
    for name in chosen:
        started = time.perf_counter()
        figures = [dataclasses.asdict(row) for row in _SECTIONS[name](seed)]
        elapsed = time.perf_counter() - started
        print(
            f"\n{name} (seed {seed}, {elapsed:.1f} s)\n{format_table(figures)}"
        )
        if _WRITE.value:
            _write(name, seed, measured, figures)


def _write(
    name: str,
    seed: int,
    measured: str,
    figures: Sequence[Mapping[str, object]],
) -> None:
    document = {
        "section": name,
        "commit": measured,
        "seed": seed,
        "python": platform.python_version(),
        "figures": figures,
    }
    RESULTS.mkdir(parents=True, exist_ok=True)
    path = RESULTS / f"decisions-{name}.json"
    path.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    app.run(main)
